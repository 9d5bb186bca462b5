"""One move of a tenant between cells, as named states of one object. Time and signs in, a share out.

No director remembers a move over a restart: it begins anew with nothing moved, which is safe in every state,
as both cells may serve the tenant until the plan itself says otherwise.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from onyxwick.cells.model import MigrationSpec, S
from onyxwick.cells.placement import MASK, mix, stable_hash

HELD_US = 2 * S  # the target must be well for so long before a paused move goes on
GIVE_UP_US = 120 * S  # a pause this long turns the move back
SHRINK_US = S // 2  # between two cuts of the share
SHRINK = 0.7  # what one cut leaves of the share
PRESSED, WELL = 0.2, 0.08  # share of refused and late answers at the target: it shrinks, it may grow
FAILING = 0.5  # the same after the cut: it goes back
SLOWEST = 0.25  # of the target's pace at which a move still grows: cold boxes hold it, never for good
READY = 0.5  # of the target's boxes that must be ready
PATIENCE = 8  # times its warm-up time that a move may take to warm; then it turns back


class MigrationPhase(Enum):
    PLANNED = "planned"
    WARMING = "warming"
    PAUSED = "paused"
    CUTTING = "cutting over"
    DRAINING = "draining the old"
    DONE = "done"
    RETURNING = "returning"
    ABORTED = "aborted"


LEGAL = {
    MigrationPhase.PLANNED: {MigrationPhase.WARMING, MigrationPhase.ABORTED},
    MigrationPhase.WARMING: {MigrationPhase.PAUSED, MigrationPhase.CUTTING, MigrationPhase.RETURNING},
    MigrationPhase.PAUSED: {MigrationPhase.WARMING, MigrationPhase.RETURNING},
    MigrationPhase.CUTTING: {MigrationPhase.DRAINING, MigrationPhase.RETURNING},
    MigrationPhase.DRAINING: {MigrationPhase.DONE, MigrationPhase.RETURNING},
    MigrationPhase.RETURNING: {MigrationPhase.ABORTED},
    MigrationPhase.DONE: set[MigrationPhase](),
    MigrationPhase.ABORTED: set[MigrationPhase](),
}
ENDED = (MigrationPhase.DONE, MigrationPhase.ABORTED)


class IllegalMigrationStepError(RuntimeError):
    """A step between two states that no rule allows."""


@dataclass(frozen=True, slots=True)
class CellHealthSignals:
    """What a move sees of both sides at one instant."""

    seats: int  # boxes of the target's cells, ready or not
    ready: int
    warmth: float  # of what the ready ones can give when warm, what they can give now: 0 to 1
    pressure: float  # refused and late among the target's latest answers: 0 to 1
    old_ready: int
    open_old: int  # the tenant's requests under way in the old cells
    open_new: int


class Migration:
    def __init__(self, order: MigrationSpec, now: int) -> None:
        self.order, self.phase = order, MigrationPhase.PLANNED
        self.share = 0.0
        self.since = self.at = now  # of the phase; of the last step
        self.begun = 0  # when it began to warm
        self.well_since = self.shrunk_at = 0
        self.why = "waits for its time" if order.begins_us else "waits for its cells"
        self.salt = stable_hash(f"move {order.name}")

    def covers(self, key: int) -> bool:
        """Is an object, by its word, among the keys that move?"""
        return self.order.first <= key >> 56 <= self.order.last

    def takes(self, key: int) -> bool:
        """Does an object go to the new cells now? Objects go over one by one, so that a copy is made once."""
        return self.share > 0 and mix(key, self.salt) <= self.share * MASK

    def _enter(self, phase: MigrationPhase, now: int, why: str) -> None:
        if phase not in LEGAL[self.phase]:
            raise IllegalMigrationStepError(f"move '{self.order.name}': {self.phase.value} to {phase.value}")
        self.phase, self.since, self.why = phase, now, why
        if phase in (MigrationPhase.CUTTING, MigrationPhase.DRAINING, MigrationPhase.DONE):
            self.share = 1.0
        elif phase in (MigrationPhase.RETURNING, MigrationPhase.ABORTED):
            self.share = 0.0

    def abort(self, now: int, why: str) -> bool:
        """Turn back, from whatever state; False where it has ended already."""
        if self.phase in ENDED:
            return False
        if self.phase is not MigrationPhase.RETURNING:
            self._enter(
                MigrationPhase.ABORTED if self.phase is MigrationPhase.PLANNED else MigrationPhase.RETURNING,
                now,
                why,
            )
        return True

    def step(self, now: int, signs: CellHealthSignals) -> None:
        """One look at both sides."""
        passed, self.at = max(0, now - self.at), now
        match self.phase:
            case MigrationPhase.PLANNED:
                if now >= self.order.begins_us and self._sound(signs):
                    self.begun = now
                    self._enter(MigrationPhase.WARMING, now, "the share of the new cells grows")
            case MigrationPhase.WARMING:
                self._warm(now, signs, passed)
            case MigrationPhase.PAUSED:
                self._wait(now, signs)
            case MigrationPhase.CUTTING:
                self._bake(now, signs)
            case MigrationPhase.DRAINING:
                if signs.ready == 0 and signs.old_ready:
                    self._enter(MigrationPhase.RETURNING, now, "the new cells lost all their boxes")
                elif signs.open_old == 0:
                    self._enter(MigrationPhase.DONE, now, "nothing is under way in the old cells")
            case MigrationPhase.RETURNING:
                if signs.open_new == 0:
                    self._enter(MigrationPhase.ABORTED, now, self.why)

    def _sound(self, signs: CellHealthSignals) -> bool:
        return signs.seats > 0 and signs.ready >= READY * signs.seats

    def _warm(self, now: int, signs: CellHealthSignals, passed: int) -> None:
        if not self._sound(signs):
            self.share *= signs.ready / max(1, signs.seats)
            self.well_since = 0
            return self._enter(
                MigrationPhase.PAUSED, now, f"{signs.ready} of {signs.seats} new boxes are ready"
            )
        if self.begun + PATIENCE * self.order.warm_us < now:
            return self._enter(MigrationPhase.RETURNING, now, "the new cells did not bear the load in time")
        if signs.pressure > PRESSED:
            if now - self.shrunk_at >= SHRINK_US:
                self.share, self.shrunk_at = self.share * SHRINK, now
            return None
        if signs.pressure <= WELL:
            pace = max(SLOWEST, signs.warmth)  # cold boxes fill from afar: they are given longer
            self.share += pace * passed / self.order.warm_us
        # Never more of the tenant than the boxes can give of what they can when warm.
        self.share = min(self.share, max(signs.warmth, 0.02))
        if self.share >= 1.0:
            self._enter(MigrationPhase.CUTTING, now, "all new requests go to the new cells")
        return None

    def _wait(self, now: int, signs: CellHealthSignals) -> None:
        if not self._sound(signs):
            self.well_since = 0
            if signs.ready == 0:
                self.share = 0.0
            if now - self.since > GIVE_UP_US:
                self._enter(MigrationPhase.RETURNING, now, "the new cells stayed without their boxes")
            return
        self.well_since = self.well_since or now
        if now - self.well_since >= HELD_US:
            self._enter(MigrationPhase.WARMING, now, "the new cells have their boxes again")

    def _bake(self, now: int, signs: CellHealthSignals) -> None:
        bad = signs.ready == 0 or signs.pressure > FAILING
        if bad and signs.old_ready:
            why = "the new cells lost all their boxes" if signs.ready == 0 else "the new cells fail"
            self._enter(MigrationPhase.RETURNING, now, why)
        elif not bad and now - self.since >= self.order.bake_us:
            self._enter(MigrationPhase.DRAINING, now, "the old cells end what they have")

    def shown(self) -> dict[str, object]:
        return {
            "tenant": self.order.tenant,
            "to": list(self.order.to),
            "phase": self.phase.value,
            "share": round(self.share, 4),
            "why": self.why,
        }
