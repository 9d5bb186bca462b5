"""The phases of a director's process, the legal transitions between them, and its readiness. No I/O."""

from __future__ import annotations

from enum import Enum

from onyxwick.core.errors import CoreError


class DirectorPhase(Enum):
    """Phase of a director's process. The values appear in log lines and in the health document."""

    STARTING = "starting"
    SERVING = "serving"
    DRAINED = "drained"
    """Drained by the operators: the director is not ready, its clients disconnect, and it keeps running."""
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
    """A transition between phases was requested that `PHASE_TRANSITIONS` does not allow."""

    def __init__(self, found: DirectorPhase, requested: DirectorPhase) -> None:
        legal = ", ".join(sorted(phase.value for phase in PHASE_TRANSITIONS[found])) or "none"
        super().__init__(
            f"illegal phase change from {found.value} to {requested.value}; legal from there: {legal}"
        )
        self.found = found
        self.requested = requested


class Readiness(Enum):
    """Answer to the readiness call of the operations endpoint. The platform defines the values."""

    READY = "YES"
    NOT_READY = "NO"
    STOPPING = "END"
