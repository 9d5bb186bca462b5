"""One migration of a tenant between cells: a state machine, and the share of objects that the target cells
serve.

In: the time (microseconds) and the health of both sides. Out: a phase and a share, 0 to 1. No director
remembers a migration over a restart: it starts again with nothing moved, which is safe in every phase, as
both sides may serve the tenant until the plan itself names the target alone.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from onyxwick.cells.model import MICROSECONDS_PER_SECOND, CellsError, MigrationSpec
from onyxwick.cells.placement import MAX_HASH, cells_hash, mix_hashes

HEALTHY_BEFORE_RESUME_US = 2 * MICROSECONDS_PER_SECOND
MAX_PAUSE_US = 120 * MICROSECONDS_PER_SECOND  # then the migration is aborted
MIN_REDUCTION_INTERVAL_US = MICROSECONDS_PER_SECOND // 2
REDUCTION_FACTOR = 0.7  # what one reduction leaves of the share
REDUCE_PRESSURE = 0.2  # share of rejected and late answers at the target, above which the share is reduced
GROW_PRESSURE = 0.08  # up to which it grows
ABORT_PRESSURE = 0.5  # above which a migration is aborted after the cut-over
MIN_PACE = 0.25  # of the full pace: cold caches slow a migration down, but never stop it
MIN_MOVED_SHARE = 0.02  # that cold caches may serve
MIN_READY_SHARE = 0.5  # of the target's caches
MAX_WARM_UP_FACTOR = 8  # times its warm-up time that a migration may take; then it is aborted
KEY_PREFIX_SHIFT = 56  # to the first byte of a 64-bit hash


class MigrationPhase(Enum):
    """The states of a migration. The values appear in logs and the administration API."""

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
FULLY_MOVED = (MigrationPhase.CUTTING, MigrationPhase.DRAINING, MigrationPhase.DONE)
NOT_MOVED = (MigrationPhase.RETURNING, MigrationPhase.ABORTED)


class IllegalMigrationTransitionError(CellsError, RuntimeError):
    """A transition between two phases that `LEGAL_TRANSITIONS` does not allow."""

    def __init__(self, migration: str, phase: MigrationPhase, requested: MigrationPhase) -> None:
        expected = ", ".join(sorted(legal.value for legal in LEGAL_TRANSITIONS[phase])) or "none"
        super().__init__(
            f"move '{migration}': {phase.value} to {requested.value}, expected one of: {expected}"
        )
        self.migration = migration
        self.phase = phase
        self.requested = requested


@dataclass(frozen=True, slots=True)
class CellHealthSignals:
    """The health of both sides of a migration at one instant; requests are the migrating tenant's."""

    target_caches: int  # of the target cells in this zone, ready or not
    target_ready: int
    target_warm_share: float  # of the ready ones' capacity that they can give now, 0 to 1
    target_pressure: float  # share of rejected and late among the target's latest answers, 0 to 1
    source_ready: int
    source_in_flight: int
    target_in_flight: int


class Migration:
    """The state of one migration at one director."""

    def __init__(self, spec: MigrationSpec, now: int) -> None:
        self.spec = spec
        self.phase = MigrationPhase.PLANNED
        self.share = 0.0  # of the objects, served by the target cells
        self.phase_started_us = now
        self.stepped_us = now
        self.warm_up_started_us = 0
        self.healthy_since_us = 0
        self.reduced_us = 0
        self.reason = "waits for its time" if spec.starts_at_us else "waits for its cells"
        self.salt = cells_hash(f"move {spec.name}")

    def covers(self, key: int) -> bool:
        """Whether an object, by its 64-bit hash, is in the key range that migrates."""
        return self.spec.first <= key >> KEY_PREFIX_SHIFT <= self.spec.last

    def is_migrated(self, key: int) -> bool:
        """Whether the target cells serve an object now. Each object changes sides once as the share grows, so
        that it is filled once."""
        return self.share > 0 and mix_hashes(key, self.salt) <= self.share * MAX_HASH

    def status(self) -> dict[str, object]:
        """The migration with the keys of the administration API."""
        return {
            "tenant": self.spec.tenant,
            "to": list(self.spec.target_cells),
            "phase": self.phase.value,
            "share": round(self.share, 4),
            "why": self.reason,
        }

    def _transition(self, phase: MigrationPhase, now: int, reason: str) -> None:
        if phase not in LEGAL_TRANSITIONS[self.phase]:
            raise IllegalMigrationTransitionError(self.spec.name, self.phase, phase)
        self.phase = phase
        self.phase_started_us = now
        self.reason = reason
        if phase in FULLY_MOVED:
            self.share = 1.0
        elif phase in NOT_MOVED:
            self.share = 0.0

    def abort(self, now: int, reason: str) -> bool:
        """Turn back from whatever phase; False where the migration has ended already."""
        if self.phase in ENDED:
            return False
        if self.phase is MigrationPhase.PLANNED:
            self._transition(MigrationPhase.ABORTED, now, reason)
        elif self.phase is not MigrationPhase.RETURNING:
            self._transition(MigrationPhase.RETURNING, now, reason)
        return True

    def step(self, now: int, signals: CellHealthSignals) -> None:
        """Apply the signals of one instant."""
        passed_us = max(0, now - self.stepped_us)
        self.stepped_us = now
        match self.phase:
            case MigrationPhase.PLANNED:
                self._step_planned(now, signals)
            case MigrationPhase.WARMING:
                self._step_warm_up(now, signals, passed_us)
            case MigrationPhase.PAUSED:
                self._step_paused(now, signals)
            case MigrationPhase.CUTTING:
                self._step_soak(now, signals)
            case MigrationPhase.DRAINING:
                self._step_draining(now, signals)
            case MigrationPhase.RETURNING:
                if signals.target_in_flight == 0:
                    self._transition(MigrationPhase.ABORTED, now, self.reason)

    def _target_is_healthy(self, signals: CellHealthSignals) -> bool:
        enough_ready = signals.target_ready >= MIN_READY_SHARE * signals.target_caches
        return signals.target_caches > 0 and enough_ready

    def _step_planned(self, now: int, signals: CellHealthSignals) -> None:
        if now >= self.spec.starts_at_us and self._target_is_healthy(signals):
            self.warm_up_started_us = now
            self._transition(MigrationPhase.WARMING, now, "the share of the new cells grows")

    def _step_warm_up(self, now: int, signals: CellHealthSignals, passed_us: int) -> None:
        if not self._target_is_healthy(signals):
            self.share *= signals.target_ready / max(1, signals.target_caches)
            self.healthy_since_us = 0
            reason = f"{signals.target_ready} of {signals.target_caches} new boxes are ready"
            self._transition(MigrationPhase.PAUSED, now, reason)
        elif self.warm_up_started_us + MAX_WARM_UP_FACTOR * self.spec.warm_up_us < now:
            reason = "the new cells did not bear the load in time"
            self._transition(MigrationPhase.RETURNING, now, reason)
        elif signals.target_pressure > REDUCE_PRESSURE:
            self._reduce_share(now)
        else:
            self._grow_share(now, signals, passed_us)

    def _reduce_share(self, now: int) -> None:
        if now - self.reduced_us >= MIN_REDUCTION_INTERVAL_US:
            self.share *= REDUCTION_FACTOR
            self.reduced_us = now

    def _grow_share(self, now: int, signals: CellHealthSignals, passed_us: int) -> None:
        if signals.target_pressure <= GROW_PRESSURE:
            pace = max(MIN_PACE, signals.target_warm_share)  # cold caches fill from afar
            self.share += pace * passed_us / self.spec.warm_up_us
        # Never more of the tenant than the caches can give of what they can give when warm.
        self.share = min(self.share, max(signals.target_warm_share, MIN_MOVED_SHARE))
        if self.share >= 1.0:
            self._transition(MigrationPhase.CUTTING, now, "all new requests go to the new cells")

    def _step_paused(self, now: int, signals: CellHealthSignals) -> None:
        if not self._target_is_healthy(signals):
            self.healthy_since_us = 0
            if signals.target_ready == 0:
                self.share = 0.0
            if now - self.phase_started_us > MAX_PAUSE_US:
                reason = "the new cells stayed without their boxes"
                self._transition(MigrationPhase.RETURNING, now, reason)
            return
        self.healthy_since_us = self.healthy_since_us or now
        if now - self.healthy_since_us >= HEALTHY_BEFORE_RESUME_US:
            self._transition(MigrationPhase.WARMING, now, "the new cells have their boxes again")

    def _step_soak(self, now: int, signals: CellHealthSignals) -> None:
        """After the cut-over: keep the source cells for a while, in case the target fails."""
        lost_caches = signals.target_ready == 0
        fails = lost_caches or signals.target_pressure > ABORT_PRESSURE
        if fails and signals.source_ready:
            reason = "the new cells lost all their boxes" if lost_caches else "the new cells fail"
            self._transition(MigrationPhase.RETURNING, now, reason)
        elif not fails and now - self.phase_started_us >= self.spec.soak_us:
            self._transition(MigrationPhase.DRAINING, now, "the old cells end what they have")

    def _step_draining(self, now: int, signals: CellHealthSignals) -> None:
        if signals.target_ready == 0 and signals.source_ready:
            self._transition(MigrationPhase.RETURNING, now, "the new cells lost all their boxes")
        elif signals.source_in_flight == 0:
            self._transition(MigrationPhase.DONE, now, "nothing is under way in the old cells")
