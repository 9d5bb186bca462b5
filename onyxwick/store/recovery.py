"""State machine of a director's restart: which members it may use before, while and after it reads its store.

The store has the drains and purges from before the director ended. The coordinator has the present ones,
which are known once its feed has been received up to the number that the store had recorded. Until then the
stricter of the two states applies to each member. After that the coordinator's state applies, except for
drains by an operator, which only an operator lifts. Times are in Unix microseconds. The module does no I/O.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace
from enum import Enum

from onyxwick.errors import OnyxwickError
from onyxwick.interface import EndpointsChanged, Member, MemberState, ObjectsPurged

FEED_TIMEOUT_US = 10_000_000
"""If the feed is not received for this long, the director serves from its present endpoint list.

The recorded drains stay in force.
"""


class RecoveryPhase(Enum):
    """Phase of a director's recovery. `TRANSITIONS` has the legal transitions."""

    OPENING = "opening"
    REPLAYING = "replaying"
    CHECKING = "checking"
    SERVING = "serving"
    REFUSED = "refused"


TRANSITIONS = {
    RecoveryPhase.OPENING: {RecoveryPhase.REPLAYING, RecoveryPhase.REFUSED},
    RecoveryPhase.REPLAYING: {RecoveryPhase.CHECKING, RecoveryPhase.REFUSED},
    RecoveryPhase.CHECKING: {RecoveryPhase.SERVING},
    RecoveryPhase.SERVING: set[RecoveryPhase](),
    RecoveryPhase.REFUSED: set[RecoveryPhase](),
}


class IllegalRecoveryPhaseError(OnyxwickError, RuntimeError):
    """A transition that is not in `TRANSITIONS`."""

    def __init__(self, phase: RecoveryPhase, wanted: RecoveryPhase) -> None:
        super().__init__(f"recovery: illegal transition from {phase.value} to {wanted.value}")
        self.phase = phase
        self.wanted = wanted


class DrainSource(Enum):
    """Who ordered a drain and may therefore lift it."""

    OPERATOR = "operator"
    COORDINATOR = "coordinator"


@dataclass(frozen=True, slots=True)
class MemberDrain:
    """A member that must get no requests.

    `process_started_us` is the start time of the drained process as reported by the endpoint list.
    """

    member: str
    source: DrainSource
    process_started_us: int = 0
    reason: str = ""
    recorded_at_us: int = 0


@dataclass(frozen=True, slots=True)
class RecordedPurge:
    """A purge of one object, or of a group if `object_id` is None, made at `unix_us`."""

    object_group: int
    object_id: str | None
    unix_us: int
    feed_number: int = 0


class Recovery:
    """One director's recovery, and the drains in force while it serves."""

    def __init__(self, now: int, purge_retention_us: int) -> None:
        self.phase = RecoveryPhase.OPENING
        self.phase_since_us = now
        self.purge_retention_us = purge_retention_us
        self.drains: dict[str, MemberDrain] = {}
        self.purges: list[RecordedPurge] = []
        self.unresolved_intents: dict[str, None] = {}  # requests in progress when the director ended
        self.last_feed_number = 0  # the last received number of the feed that the store has recorded
        self.reason = ""
        self.feed_overdue = False  # serving without the feed; the coordinator's recorded drains are in force

    def _transition(self, phase: RecoveryPhase, now: int, reason: str = "") -> None:
        if phase not in TRANSITIONS[self.phase]:
            raise IllegalRecoveryPhaseError(self.phase, phase)
        self.phase = phase
        self.phase_since_us = now
        self.reason = reason

    # ---- phases -----------------------------------------------------------------------------------------

    def on_opened(self, now: int) -> None:
        """Enter the replaying phase, in which the store's files are read."""
        self._transition(RecoveryPhase.REPLAYING, now, "the store is being read")

    def on_unusable(self, now: int, reason: str) -> None:
        """Refuse to serve: the store is unusable, and the director must not serve without its drains."""
        self._transition(RecoveryPhase.REFUSED, now, reason)

    def on_replayed(
        self,
        now: int,
        drains: Iterable[MemberDrain],
        purges: Iterable[RecordedPurge],
        intents: Iterable[str],
        last_feed_number: int,
    ) -> None:
        """Take over the store's content, without purges that all caches must have carried out."""
        self.drains = {drain.member: drain for drain in drains}
        self.purges = [purge for purge in purges if now - purge.unix_us <= self.purge_retention_us]
        self.unresolved_intents = dict.fromkeys(intents)
        self.last_feed_number = last_feed_number
        self._transition(RecoveryPhase.CHECKING, now, f"waiting for number {last_feed_number} of the feed")

    def on_feed_number(self, now: int, index: int) -> bool:
        """Handle that the feed was received up to number `index`.

        Returns True if that ends the checking phase, or lifts the coordinator's recorded drains that stayed
        in force because the feed was overdue.
        """
        is_waiting = self.phase is RecoveryPhase.CHECKING or self.feed_overdue
        if index < self.last_feed_number or not is_waiting:
            return False
        if self.phase is RecoveryPhase.CHECKING:
            self._transition(RecoveryPhase.SERVING, now)
        self.feed_overdue = False
        # The coordinator has reported its present drains again before this number.
        self.drains = {
            name: drain for name, drain in self.drains.items() if drain.source is DrainSource.OPERATOR
        }
        return True

    def on_tick(self, now: int) -> bool:
        """Start to serve if the feed is overdue, and return whether that happened.

        The recorded drains stay in force until the feed is received.
        """
        if self.phase is RecoveryPhase.CHECKING and now - self.phase_since_us > FEED_TIMEOUT_US:
            reason = "the feed was not received in time; recorded drains stay in force"
            self._transition(RecoveryPhase.SERVING, now, reason)
            self.feed_overdue = True
            return True
        return False

    @property
    def may_serve(self) -> bool:
        """Return whether the director may accept requests."""
        return self.phase in (RecoveryPhase.CHECKING, RecoveryPhase.SERVING)

    # ---- decisions --------------------------------------------------------------------------------------

    def is_drained(self, member: Member) -> bool:
        """Return whether a member must get no requests, whatever its state in the endpoint list."""
        drain = self.drains.get(member.address)
        if drain is None or member.state is MemberState.REMOVED:
            return False
        # The coordinator drains one process; a later process with the same name is not drained. An operator
        # drains the name, and so every process that has it.
        return drain.source is DrainSource.OPERATOR or member.started_at_us <= drain.process_started_us

    def with_drains(self, event: EndpointsChanged) -> EndpointsChanged:
        """Return the endpoint list with drained members marked as draining."""
        if not self.drains or not any(self.is_drained(member) for member in event.members):
            return event
        members = (
            replace(member, state=MemberState.DRAINING) if self.is_drained(member) else member
            for member in event.members
        )
        return replace(event, members=tuple(members))

    def purges_to_replay(self, now: int) -> list[ObjectsPurged]:
        """Return the purges that a cache may not have carried out yet; they apply from the first request."""
        return [
            ObjectsPurged(purge.object_group, purge.object_id, max(0, now - purge.unix_us))
            for purge in self.purges
        ]

    def may_send(self, request_id: str) -> bool:
        """Return whether a non-idempotent request may be sent.

        It may not be sent if an attempt of it was in progress when the director ended.
        """
        return request_id not in self.unresolved_intents

    # ---- changes while serving --------------------------------------------------------------------------

    def add_drain(self, drain: MemberDrain) -> None:
        """Put a recorded drain in force."""
        self.drains[drain.member] = drain

    def lift_drain(self, member: str) -> bool:
        """Lift a drain for an operator. Returns False if the member is not drained."""
        return self.drains.pop(member, None) is not None

    def status(self) -> Mapping[str, object]:
        """Return figures for logs and the administration API under their published names."""
        return {
            "phase": self.phase.value,
            "why": self.reason,
            "drains": sorted(self.drains),
            "purges": len(self.purges),
            "bookings": len(self.unresolved_intents),
            "reached": self.last_feed_number,
        }
