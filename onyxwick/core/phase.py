"""The phases of a director's process, and which may follow which. No I/O."""

from __future__ import annotations

from enum import Enum


class DirectorPhase(Enum):
    """DRAINED: by the operators' call, said no to and left by clients, without an end of the process.
    DRAINING: the end after SIGTERM."""

    STARTING = "starting"
    SERVING = "serving"
    DRAINED = "drained"
    DRAINING = "draining"
    STOPPED = "stopped"


PHASE_CHANGES: dict[DirectorPhase, set[DirectorPhase]] = {
    DirectorPhase.STARTING: {DirectorPhase.SERVING, DirectorPhase.DRAINED, DirectorPhase.DRAINING},
    DirectorPhase.SERVING: {DirectorPhase.DRAINED, DirectorPhase.DRAINING},
    DirectorPhase.DRAINED: {DirectorPhase.SERVING, DirectorPhase.DRAINING},
    DirectorPhase.DRAINING: {DirectorPhase.STOPPED},
    DirectorPhase.STOPPED: set(),
}


class IllegalPhaseChangeError(Exception):
    """A change of phase that the table does not allow."""
