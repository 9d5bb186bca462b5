"""What a director may decide before, while and after it reads its store. Events and time in, answers out.

The store knows the drains and purges from before the director ended; the coordinator knows the present ones,
once its feed has been received up to the number that the store had recorded. Until then the stricter of the
two holds, member by member. After that the coordinator's holds, except for an operator's own drains, which
only an operator lifts. Times in Unix microseconds; no I/O.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace
from enum import Enum

from onyxwick.errors import OnyxwickError
from onyxwick.interface import EndpointsChanged, Member, MemberState, ObjectsPurged

FEED_TIMEOUT_US = 10_000_000
"""Without the feed for so long, the director serves from the list at hand; recorded drains stay."""


class RecoveryPhase(Enum):
    """Where a director is on its way back; `TRANSITIONS` has the legal steps."""

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
    """A transition that the table of phases does not have."""

    def __init__(self, phase: RecoveryPhase, wanted: RecoveryPhase) -> None:
        super().__init__(f"recovery: {phase.value} to {wanted.value}")
        self.phase = phase
        self.wanted = wanted


class DrainSource(Enum):
    """Who ordered a drain, and so who may lift it."""

    OPERATOR = "operator"
    COORDINATOR = "coordinator"


@dataclass(frozen=True, slots=True)
class MemberDrain:
    """A member that is to get no requests. `since_us`: the start of the process that was drained, as the
    endpoint list reported it; `at_us`: when the drain was recorded."""

    member: str
    by: DrainSource
    since_us: int = 0
    reason: str = ""
    at_us: int = 0


@dataclass(frozen=True, slots=True)
class RecordedPurge:
    """A purge of one object or, without one, of a group, made at `unix_us`; `index` is its feed number."""

    group: int
    object: str | None
    unix_us: int
    index: int = 0


class Recovery:
    """One director's recovery, and the drains that hold while it serves."""

    def __init__(self, now: int, purge_retention_us: int) -> None:
        self.phase = RecoveryPhase.OPENING
        self.phase_since_us = now
        self.purge_retention_us = purge_retention_us
        self.drains: dict[str, MemberDrain] = {}
        self.purges: list[RecordedPurge] = []
        self.unresolved_intents: dict[str, None] = {}  # requests under way when the director ended
        self.last_feed_number = 0  # of the feed, as the store has recorded it
        self.reason = ""
        self.feed_overdue = False  # it serves without the feed: the coordinator's recorded drains still hold

    def _transition(self, phase: RecoveryPhase, now: int, reason: str = "") -> None:
        if phase not in TRANSITIONS[self.phase]:
            raise IllegalRecoveryPhaseError(self.phase, phase)
        self.phase = phase
        self.phase_since_us = now
        self.reason = reason

    # ---- phases -----------------------------------------------------------------------------------------

    def on_opened(self, now: int) -> None:
        """The store's files are being read."""
        self._transition(RecoveryPhase.REPLAYING, now, "the store is read")

    def on_unusable(self, now: int, reason: str) -> None:
        """The store cannot be trusted: the director must not serve without the drains in it."""
        self._transition(RecoveryPhase.REFUSED, now, reason)

    def on_replayed(
        self,
        now: int,
        drains: Iterable[MemberDrain],
        purges: Iterable[RecordedPurge],
        intents: Iterable[str],
        last_feed_number: int,
    ) -> None:
        """What the store holds; purges that all caches must have carried out are left out."""
        self.drains = {drain.member: drain for drain in drains}
        self.purges = [purge for purge in purges if now - purge.unix_us <= self.purge_retention_us]
        self.unresolved_intents = dict.fromkeys(intents)
        self.last_feed_number = last_feed_number
        self._transition(RecoveryPhase.CHECKING, now, f"waits for number {last_feed_number} of the feed")

    def on_feed_number(self, now: int, index: int) -> bool:
        """The feed was received up to a number; True where that ends the checking, or lifts the coordinator's
        recorded drains that were kept because the feed was overdue."""
        is_waiting = self.phase is RecoveryPhase.CHECKING or self.feed_overdue
        if index < self.last_feed_number or not is_waiting:
            return False
        if self.phase is RecoveryPhase.CHECKING:
            self._transition(RecoveryPhase.SERVING, now)
        self.feed_overdue = False
        # Drains of the coordinator that still hold were reported again before this number.
        self.drains = {name: drain for name, drain in self.drains.items() if drain.by is DrainSource.OPERATOR}
        return True

    def on_tick(self, now: int) -> bool:
        """True where the feed is overdue: the director serves on, and recorded drains stay until it comes."""
        if self.phase is RecoveryPhase.CHECKING and now - self.phase_since_us > FEED_TIMEOUT_US:
            reason = "the feed was not heard in time; recorded drains are kept"
            self._transition(RecoveryPhase.SERVING, now, reason)
            self.feed_overdue = True
            return True
        return False

    @property
    def may_serve(self) -> bool:
        """May requests be taken?"""
        return self.phase in (RecoveryPhase.CHECKING, RecoveryPhase.SERVING)

    # ---- decisions --------------------------------------------------------------------------------------

    def is_drained(self, member: Member) -> bool:
        """Is a member of the list to get no requests, whatever the list says?"""
        drain = self.drains.get(member.address)
        if drain is None or member.state is MemberState.REMOVED:
            return False
        # The coordinator drains one process: a later one of the same name is not drained. An operator drains
        # the name.
        return drain.by is DrainSource.OPERATOR or member.started_at_us <= drain.since_us

    def with_drains(self, event: EndpointsChanged) -> EndpointsChanged:
        """The list with drained members shown as draining."""
        if not self.drains or not any(self.is_drained(member) for member in event.members):
            return event
        members = (
            replace(member, state=MemberState.DRAINING) if self.is_drained(member) else member
            for member in event.members
        )
        return replace(event, members=tuple(members))

    def purges_to_replay(self, now: int) -> list[ObjectsPurged]:
        """Purges that a cache may not have carried out yet: they bind from the first request on."""
        return [
            ObjectsPurged(purge.group, purge.object, max(0, now - purge.unix_us)) for purge in self.purges
        ]

    def may_send(self, request_id: str) -> bool:
        """May a non-idempotent request be sent? Not if an attempt of it was under way when the director
        ended."""
        return request_id not in self.unresolved_intents

    # ---- changes while serving --------------------------------------------------------------------------

    def add_drain(self, drain: MemberDrain) -> None:
        """A drain that is recorded holds from now on."""
        self.drains[drain.member] = drain

    def lift_drain(self, member: str) -> bool:
        """An operator lifts a drain; False where there is none."""
        return self.drains.pop(member, None) is not None

    def status(self) -> Mapping[str, object]:
        """Figures for logs and the administration API, under their published names."""
        return {
            "phase": self.phase.value,
            "why": self.reason,
            "drains": sorted(self.drains),
            "purges": len(self.purges),
            "bookings": len(self.unresolved_intents),
            "reached": self.last_feed_number,
        }
