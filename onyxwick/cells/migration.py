"""One move of a tenant between cells, as named states of one object. Time and signs in, a share out.

No director remembers a move over a restart: it begins anew with nothing moved, which is safe in every state,
as both cells may serve the tenant until the plan itself says otherwise.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from onyxwick.cells.model import MigrationSpec, S
from onyxwick.cells.placement import MAX_HASH, cells_hash, mix_hashes

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


LEGAL_TRANSITIONS = {
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


class IllegalMigrationTransitionError(RuntimeError):
    """A step between two states that no rule allows."""


@dataclass(frozen=True, slots=True)
class CellHealthSignals:
    """What a move sees of both sides at one instant."""

    target_caches: int  # boxes of the target's cells, ready or not
    target_ready: int
    target_warm_share: float  # of what the ready ones can give when warm, what they can give now: 0 to 1
    target_pressure: float  # refused and late among the target's latest answers: 0 to 1
    source_ready: int
    source_in_flight: int  # the tenant's requests under way in the old cells
    target_in_flight: int


class Migration:
    def __init__(self, spec: MigrationSpec, now: int) -> None:
        self.spec, self.phase = spec, MigrationPhase.PLANNED
        self.share = 0.0
        self.phase_started_us = self.stepped_us = now  # of the phase; of the last step
        self.warm_up_started_us = 0  # when it began to warm
        self.healthy_since_us = self.reduced_us = 0
        self.reason = "waits for its time" if spec.starts_at_us else "waits for its cells"
        self.salt = cells_hash(f"move {spec.name}")

    def covers(self, key: int) -> bool:
        """Is an object, by its word, among the keys that move?"""
        return self.spec.first <= key >> 56 <= self.spec.last

    def is_migrated(self, key: int) -> bool:
        """Does an object go to the new cells now? Objects go over one by one, so that a copy is made once."""
        return self.share > 0 and mix_hashes(key, self.salt) <= self.share * MAX_HASH

    def _transition(self, phase: MigrationPhase, now: int, why: str) -> None:
        if phase not in LEGAL_TRANSITIONS[self.phase]:
            raise IllegalMigrationTransitionError(
                f"move '{self.spec.name}': {self.phase.value} to {phase.value}"
            )
        self.phase, self.phase_started_us, self.reason = phase, now, why
        if phase in (MigrationPhase.CUTTING, MigrationPhase.DRAINING, MigrationPhase.DONE):
            self.share = 1.0
        elif phase in (MigrationPhase.RETURNING, MigrationPhase.ABORTED):
            self.share = 0.0

    def abort(self, now: int, why: str) -> bool:
        """Turn back, from whatever state; False where it has ended already."""
        if self.phase in ENDED:
            return False
        if self.phase is not MigrationPhase.RETURNING:
            self._transition(
                MigrationPhase.ABORTED if self.phase is MigrationPhase.PLANNED else MigrationPhase.RETURNING,
                now,
                why,
            )
        return True

    def step(self, now: int, signs: CellHealthSignals) -> None:
        """One look at both sides."""
        passed, self.stepped_us = max(0, now - self.stepped_us), now
        match self.phase:
            case MigrationPhase.PLANNED:
                if now >= self.spec.starts_at_us and self._target_is_healthy(signs):
                    self.warm_up_started_us = now
                    self._transition(MigrationPhase.WARMING, now, "the share of the new cells grows")
            case MigrationPhase.WARMING:
                self._step_warm_up(now, signs, passed)
            case MigrationPhase.PAUSED:
                self._step_paused(now, signs)
            case MigrationPhase.CUTTING:
                self._step_soak(now, signs)
            case MigrationPhase.DRAINING:
                if signs.target_ready == 0 and signs.source_ready:
                    self._transition(MigrationPhase.RETURNING, now, "the new cells lost all their boxes")
                elif signs.source_in_flight == 0:
                    self._transition(MigrationPhase.DONE, now, "nothing is under way in the old cells")
            case MigrationPhase.RETURNING:
                if signs.target_in_flight == 0:
                    self._transition(MigrationPhase.ABORTED, now, self.reason)

    def _target_is_healthy(self, signs: CellHealthSignals) -> bool:
        return signs.target_caches > 0 and signs.target_ready >= READY * signs.target_caches

    def _step_warm_up(self, now: int, signs: CellHealthSignals, passed: int) -> None:
        if not self._target_is_healthy(signs):
            self.share *= signs.target_ready / max(1, signs.target_caches)
            self.healthy_since_us = 0
            return self._transition(
                MigrationPhase.PAUSED,
                now,
                f"{signs.target_ready} of {signs.target_caches} new boxes are ready",
            )
        if self.warm_up_started_us + PATIENCE * self.spec.warm_up_us < now:
            return self._transition(
                MigrationPhase.RETURNING, now, "the new cells did not bear the load in time"
            )
        if signs.target_pressure > PRESSED:
            if now - self.reduced_us >= SHRINK_US:
                self.share, self.reduced_us = self.share * SHRINK, now
            return None
        if signs.target_pressure <= WELL:
            pace = max(SLOWEST, signs.target_warm_share)  # cold boxes fill from afar: they are given longer
            self.share += pace * passed / self.spec.warm_up_us
        # Never more of the tenant than the boxes can give of what they can when warm.
        self.share = min(self.share, max(signs.target_warm_share, 0.02))
        if self.share >= 1.0:
            self._transition(MigrationPhase.CUTTING, now, "all new requests go to the new cells")
        return None

    def _step_paused(self, now: int, signs: CellHealthSignals) -> None:
        if not self._target_is_healthy(signs):
            self.healthy_since_us = 0
            if signs.target_ready == 0:
                self.share = 0.0
            if now - self.phase_started_us > GIVE_UP_US:
                self._transition(MigrationPhase.RETURNING, now, "the new cells stayed without their boxes")
            return
        self.healthy_since_us = self.healthy_since_us or now
        if now - self.healthy_since_us >= HELD_US:
            self._transition(MigrationPhase.WARMING, now, "the new cells have their boxes again")

    def _step_soak(self, now: int, signs: CellHealthSignals) -> None:
        bad = signs.target_ready == 0 or signs.target_pressure > FAILING
        if bad and signs.source_ready:
            why = "the new cells lost all their boxes" if signs.target_ready == 0 else "the new cells fail"
            self._transition(MigrationPhase.RETURNING, now, why)
        elif not bad and now - self.phase_started_us >= self.spec.soak_us:
            self._transition(MigrationPhase.DRAINING, now, "the old cells end what they have")

    def status(self) -> dict[str, object]:
        return {
            "tenant": self.spec.tenant,
            "to": list(self.spec.target_cells),
            "phase": self.phase.value,
            "share": round(self.share, 4),
            "why": self.reason,
        }
