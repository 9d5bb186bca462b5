"""What a director may decide before, while and after it has its state back. Events and time in, answers
out; no I/O.

Two know of drains and purges: the store (what this director was told, or its operator ordered, before it
ended) and the coordinator (what holds now, once its feed has been heard up to the number that the store had
reached). Until then the stricter word wins, member by member; after that the coordinator's does, except for
an operator's own drains, which only an operator lifts.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace
from enum import Enum

from onyxwick.interface import EndpointsChanged, Member, MemberState, ObjectsPurged

MAX_INTENTS = 100_000  # intents remembered
FEED_TIMEOUT_US = 10_000_000  # after so long without the feed the list at hand is taken, drains kept


class RecoveryPhase(Enum):
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


class IllegalRecoveryPhaseError(RuntimeError):
    """A step between two states that no rule allows."""


@dataclass(frozen=True, slots=True)
class MemberDrain:
    """A member that is to get nothing. `by` 'operator' or 'coordinator'; `since_us`: the start of the
    process that was meant, as the list told it."""

    member: str
    by: str
    since_us: int = 0
    reason: str = ""
    at_us: int = 0


@dataclass(frozen=True, slots=True)
class RecordedPurge:
    group: int
    object: str | None
    unix_us: int
    index: int = 0


class Recovery:
    """One director's way back."""

    def __init__(self, now: int, settles_us: int) -> None:
        self.phase, self.phase_since_us = RecoveryPhase.OPENING, now
        self.purge_retention_us = settles_us
        self.drains: dict[str, MemberDrain] = {}
        self.purges: list[RecordedPurge] = []
        self.unresolved_intents: dict[str, None] = {}  # sent and not ended when the director ended
        self.last_feed_number = 0  # the last number of the feed that the store knows of
        self.reason = ""
        self.feed_overdue = (
            False  # serving without the feed heard: the coordinator's recorded drains still hold
        )

    def _transition(self, phase: RecoveryPhase, now: int, why: str = "") -> None:
        if phase not in TRANSITIONS[self.phase]:
            raise IllegalRecoveryPhaseError(f"recovery: {self.phase.value} to {phase.value}")
        self.phase, self.phase_since_us, self.reason = phase, now, why

    # ---- the way back -----------------------------------------------------------------------------------

    def on_opened(self, now: int) -> None:
        self._transition(RecoveryPhase.REPLAYING, now, "the store is read")

    def on_unusable(self, now: int, why: str) -> None:
        """The store cannot be trusted: the director must not serve as if nothing had been ordered."""
        self._transition(RecoveryPhase.REFUSED, now, why)

    def on_replayed(
        self,
        now: int,
        drains: Iterable[MemberDrain],
        purges: Iterable[RecordedPurge],
        bookings: Iterable[str],
        reached: int,
    ) -> None:
        self.drains = {drain.member: drain for drain in drains}
        self.purges = [p for p in purges if now - p.unix_us <= self.purge_retention_us]
        self.unresolved_intents = dict.fromkeys(bookings)
        self.last_feed_number = reached
        self._transition(RecoveryPhase.CHECKING, now, f"waits for number {reached} of the feed")

    def on_feed_number(self, now: int, index: int) -> bool:
        """The feed has been heard up to a number; True where that ends the checking, or lifts the
        coordinator's recorded drains that were kept because the feed came late."""
        if index < self.last_feed_number or not (self.phase is RecoveryPhase.CHECKING or self.feed_overdue):
            return False
        if self.phase is RecoveryPhase.CHECKING:
            self._transition(RecoveryPhase.SERVING, now)
        self.feed_overdue = False
        # What the coordinator had drained it has told again by now, or has lifted.
        self.drains = {m: d for m, d in self.drains.items() if d.by == "operator"}
        return True

    def on_tick(self, now: int) -> bool:
        """True where the feed was not heard in time: the director serves on with what it has, and the drains
        that it knows of stay until the feed is heard."""
        if self.phase is RecoveryPhase.CHECKING and now - self.phase_since_us > FEED_TIMEOUT_US:
            self._transition(
                RecoveryPhase.SERVING, now, "the feed was not heard in time; recorded drains are kept"
            )
            self.feed_overdue = True
            return True
        return False

    @property
    def may_serve(self) -> bool:
        return self.phase in (RecoveryPhase.CHECKING, RecoveryPhase.SERVING)

    # ---- what may be decided ----------------------------------------------------------------------------

    def is_drained(self, m: Member) -> bool:
        """Is a member on the list to get nothing, whatever the list says?"""
        drain = self.drains.get(m.address)
        if drain is None or m.state is MemberState.REMOVED:
            return False
        # A coordinator's drain meant one process: another one under the same name is not drained by it. An
        # operator's means the name, as long as it stands.
        return drain.by == "operator" or m.started_at_us <= drain.since_us

    def with_drains(self, event: EndpointsChanged) -> EndpointsChanged:
        """The list as it is to be decided from."""
        if not self.drains or not any(self.is_drained(m) for m in event.members):
            return event
        rows = (replace(m, state=MemberState.DRAINING) if self.is_drained(m) else m for m in event.members)
        return replace(event, members=tuple(rows))

    def purges_to_replay(self, now: int) -> list[ObjectsPurged]:
        """What binds the first request already: every purge that a cache may not have done yet."""
        return [ObjectsPurged(p.group, p.object, max(0, now - p.unix_us)) for p in self.purges]

    def may_send(self, request: str) -> bool:
        """May a request that must not run twice be sent? Not if an attempt of it was under way at the end."""
        return request not in self.unresolved_intents

    # ---- changes while serving --------------------------------------------------------------------------

    def add_drain(self, drain: MemberDrain) -> None:
        self.drains[drain.member] = drain

    def lift_drain(self, member: str) -> bool:
        """An operator lifts a drain; False where there is none."""
        return self.drains.pop(member, None) is not None

    def status(self) -> Mapping[str, object]:
        return {
            "phase": self.phase.value,
            "why": self.reason,
            "drains": sorted(self.drains),
            "purges": len(self.purges),
            "bookings": len(self.unresolved_intents),
            "reached": self.last_feed_number,
        }
