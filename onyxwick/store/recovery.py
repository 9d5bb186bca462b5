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

BOOKINGS_MOST = 100_000  # intents remembered
CATCH_UP_US = 10_000_000  # after so long without the feed the list at hand is taken, drains kept


class RecoveryPhase(Enum):
    OPENING = "opening"
    REPLAYING = "replaying"
    CHECKING = "checking"
    SERVING = "serving"
    REFUSED = "refused"


LEGAL = {
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
        self.phase, self.since = RecoveryPhase.OPENING, now
        self.settles_us = settles_us
        self.drains: dict[str, MemberDrain] = {}
        self.purges: list[RecordedPurge] = []
        self.bookings: dict[str, None] = {}  # sent and not ended when the director ended
        self.reached = 0  # the last number of the feed that the store knows of
        self.why = ""
        self.late = False  # serving without the feed heard: the coordinator's recorded drains still hold

    def _enter(self, phase: RecoveryPhase, now: int, why: str = "") -> None:
        if phase not in LEGAL[self.phase]:
            raise IllegalRecoveryPhaseError(f"recovery: {self.phase.value} to {phase.value}")
        self.phase, self.since, self.why = phase, now, why

    # ---- the way back -----------------------------------------------------------------------------------

    def opened(self, now: int) -> None:
        self._enter(RecoveryPhase.REPLAYING, now, "the store is read")

    def refuse(self, now: int, why: str) -> None:
        """The store cannot be trusted: the director must not serve as if nothing had been ordered."""
        self._enter(RecoveryPhase.REFUSED, now, why)

    def replayed(
        self,
        now: int,
        drains: Iterable[MemberDrain],
        purges: Iterable[RecordedPurge],
        bookings: Iterable[str],
        reached: int,
    ) -> None:
        self.drains = {drain.member: drain for drain in drains}
        self.purges = [p for p in purges if now - p.unix_us <= self.settles_us]
        self.bookings = dict.fromkeys(bookings)
        self.reached = reached
        self._enter(RecoveryPhase.CHECKING, now, f"waits for number {reached} of the feed")

    def heard(self, now: int, index: int) -> bool:
        """The feed has been heard up to a number; True where that ends the checking, or lifts the
        coordinator's recorded drains that were kept because the feed came late."""
        if index < self.reached or not (self.phase is RecoveryPhase.CHECKING or self.late):
            return False
        if self.phase is RecoveryPhase.CHECKING:
            self._enter(RecoveryPhase.SERVING, now)
        self.late = False
        # What the coordinator had drained it has told again by now, or has lifted.
        self.drains = {m: d for m, d in self.drains.items() if d.by == "operator"}
        return True

    def tick(self, now: int) -> bool:
        """True where the feed was not heard in time: the director serves on with what it has, and the drains
        that it knows of stay until the feed is heard."""
        if self.phase is RecoveryPhase.CHECKING and now - self.since > CATCH_UP_US:
            self._enter(
                RecoveryPhase.SERVING, now, "the feed was not heard in time; recorded drains are kept"
            )
            self.late = True
            return True
        return False

    @property
    def serves(self) -> bool:
        return self.phase in (RecoveryPhase.CHECKING, RecoveryPhase.SERVING)

    # ---- what may be decided ----------------------------------------------------------------------------

    def held(self, m: Member) -> bool:
        """Is a member on the list to get nothing, whatever the list says?"""
        drain = self.drains.get(m.address)
        if drain is None or m.state is MemberState.REMOVED:
            return False
        # A coordinator's drain meant one process: another one under the same name is not drained by it. An
        # operator's means the name, as long as it stands.
        return drain.by == "operator" or m.started_at_us <= drain.since_us

    def seen(self, event: EndpointsChanged) -> EndpointsChanged:
        """The list as it is to be decided from."""
        if not self.drains or not any(self.held(m) for m in event.members):
            return event
        rows = (replace(m, state=MemberState.DRAINING) if self.held(m) else m for m in event.members)
        return replace(event, members=tuple(rows))

    def purges_to_tell(self, now: int) -> list[ObjectsPurged]:
        """What binds the first request already: every purge that a cache may not have done yet."""
        return [ObjectsPurged(p.group, p.object, max(0, now - p.unix_us)) for p in self.purges]

    def may_send(self, request: str) -> bool:
        """May a request that must not run twice be sent? Not if an attempt of it was under way at the end."""
        return request not in self.bookings

    # ---- changes while serving --------------------------------------------------------------------------

    def drained(self, drain: MemberDrain) -> None:
        self.drains[drain.member] = drain

    def lifted(self, member: str) -> bool:
        """An operator lifts a drain; False where there is none."""
        return self.drains.pop(member, None) is not None

    def shown(self) -> Mapping[str, object]:
        return {
            "phase": self.phase.value,
            "why": self.why,
            "drains": sorted(self.drains),
            "purges": len(self.purges),
            "bookings": len(self.bookings),
            "reached": self.reached,
        }
