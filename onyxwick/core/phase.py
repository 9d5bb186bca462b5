"""The phases of a director's process with their legal transitions, and its readiness. No I/O."""

from __future__ import annotations

from enum import Enum

from onyxwick.core.errors import CoreError


class DirectorPhase(Enum):
    """What a director's process is doing. The values appear in log lines and in the health document."""

    STARTING = "starting"
    SERVING = "serving"
    DRAINED = "drained"
    """Drained by the operators: not ready, its clients disconnect, the process goes on."""
    DRAINING = "draining"
    """Graceful shutdown after SIGTERM."""
    STOPPED = "stopped"


PHASE_TRANSITIONS: dict[DirectorPhase, set[DirectorPhase]] = {
    DirectorPhase.STARTING: {DirectorPhase.SERVING, DirectorPhase.DRAINED, DirectorPhase.DRAINING},
    DirectorPhase.SERVING: {DirectorPhase.DRAINED, DirectorPhase.DRAINING},
    DirectorPhase.DRAINED: {DirectorPhase.SERVING, DirectorPhase.DRAINING},
    DirectorPhase.DRAINING: {DirectorPhase.STOPPED},
    DirectorPhase.STOPPED: set(),
}


class IllegalPhaseChangeError(CoreError):
    """A transition between phases that `PHASE_TRANSITIONS` does not have."""

    def __init__(self, found: DirectorPhase, requested: DirectorPhase) -> None:
        legal = ", ".join(sorted(phase.value for phase in PHASE_TRANSITIONS[found])) or "none"
        super().__init__(f"from phase {found.value} to {requested.value}; legal: {legal}")
        self.found = found
        self.requested = requested


class Readiness(Enum):
    """The answer of the operations endpoint's readiness call. The values are the platform's."""

    READY = "YES"
    NOT_READY = "NO"
    STOPPING = "END"
