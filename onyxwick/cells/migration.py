"""The state machine of one migration of a tenant between cells.

Takes the time (microseconds) and the health of both sides, and returns the phase and the share (0 to 1) of
the objects that the target cells serve. A director does not store the state of a migration: after a restart
the migration starts again with nothing moved. This is safe in every phase, as both sides may serve the tenant
until the plan names only the target cells. The cut-over is the moment at which the share reaches 1.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from onyxwick.cells.model import MICROSECONDS_PER_SECOND, CellsError, MigrationSpec
from onyxwick.cells.placement import MAX_HASH, cells_hash, mix_hashes

HEALTHY_BEFORE_RESUME_US = 2 * MICROSECONDS_PER_SECOND
MAX_PAUSE_US = 120 * MICROSECONDS_PER_SECOND  # a migration that is paused for longer is aborted
MIN_REDUCTION_INTERVAL_US = MICROSECONDS_PER_SECOND // 2
REDUCTION_FACTOR = 0.7  # the moved share is multiplied by this in each reduction
# Share of rejected and late answers at the target above which the moved share is reduced.
REDUCE_PRESSURE = 0.2
GROW_PRESSURE = 0.08  # pressure at the target up to which the moved share grows
ABORT_PRESSURE = 0.5  # pressure at the target above which a migration is aborted after the cut-over
# Lowest growth rate of the moved share, as a part of the full rate: cold caches slow a migration down but
# never stop it.
MIN_PACE = 0.25
MIN_MOVED_SHARE = 0.02  # share of the objects that even entirely cold target caches may serve
MIN_READY_SHARE = 0.5  # share of the target's caches that must be ready for the target to be healthy
MAX_WARM_UP_FACTOR = 8  # a migration that takes this many times its warm-up time is aborted
KEY_PREFIX_SHIFT = 56  # right shift that leaves the first byte of a 64-bit hash


class MigrationPhase(Enum):
    """The phases of a migration. The values appear in logs and the administration API."""

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
    """Raised for a transition between two phases that `LEGAL_TRANSITIONS` does not allow."""

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
    """The health of both sides of a migration at one instant.

    The requests in flight are those of the migrating tenant."""

    target_caches: int  # caches of the target cells in this zone, including those that are not ready
    target_ready: int
    target_warm_share: float  # share of their warm capacity that the ready caches have now, 0 to 1
    target_pressure: float  # share of rejected and late answers at the target, 0 to 1
    source_ready: int
    source_in_flight: int
    target_in_flight: int


class Migration:
    """The phase of one migration at one director, and the share of the objects already migrated."""

    def __init__(self, spec: MigrationSpec, now: int) -> None:
        self.spec = spec
        self.phase = MigrationPhase.PLANNED
        self.share = 0.0  # share of the objects that the target cells serve
        self.phase_started_us = now
        self.last_step_us = now
        self.warm_up_started_us = 0
        self.healthy_since_us = 0
        self.last_reduction_us = 0
        self.reason = (
            "waits for its start time" if spec.starts_at_us else "waits for caches of the target cells"
        )
        self.salt = cells_hash(f"move {spec.name}")

    def covers(self, key: int) -> bool:
        """Return whether an object, given by its 64-bit hash, is in the key range that migrates."""
        return self.spec.first <= key >> KEY_PREFIX_SHIFT <= self.spec.last

    def is_migrated(self, key: int) -> bool:
        """Return whether the target cells serve an object now.

        While the share grows, each object changes sides only once, so it is filled only once."""
        return self.share > 0 and mix_hashes(key, self.salt) <= self.share * MAX_HASH

    def status(self) -> dict[str, object]:
        """Return the state of the migration with the keys of the administration API."""
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
        """Move all objects back to the source cells; False if the migration has already ended."""
        if self.phase in ENDED:
            return False
        if self.phase is MigrationPhase.PLANNED:
            self._transition(MigrationPhase.ABORTED, now, reason)
        elif self.phase is not MigrationPhase.RETURNING:
            self._transition(MigrationPhase.RETURNING, now, reason)
        return True

    def step(self, now: int, signals: CellHealthSignals) -> None:
        """Advance the migration to the time `now` with the health signals of that instant."""
        elapsed_us = max(0, now - self.last_step_us)
        self.last_step_us = now
        match self.phase:
            case MigrationPhase.PLANNED:
                self._step_planned(now, signals)
            case MigrationPhase.WARMING:
                self._step_warm_up(now, signals, elapsed_us)
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
            self._transition(MigrationPhase.WARMING, now, "the share of the target cells grows")

    def _step_warm_up(self, now: int, signals: CellHealthSignals, elapsed_us: int) -> None:
        if not self._target_is_healthy(signals):
            self.share *= signals.target_ready / max(1, signals.target_caches)
            self.healthy_since_us = 0
            reason = f"{signals.target_ready} of {signals.target_caches} target caches are ready"
            self._transition(MigrationPhase.PAUSED, now, reason)
        elif self.warm_up_started_us + MAX_WARM_UP_FACTOR * self.spec.warm_up_us < now:
            reason = "the target cells did not sustain the load in time"
            self._transition(MigrationPhase.RETURNING, now, reason)
        elif signals.target_pressure > REDUCE_PRESSURE:
            self._reduce_share(now)
        else:
            self._grow_share(now, signals, elapsed_us)

    def _reduce_share(self, now: int) -> None:
        if now - self.last_reduction_us >= MIN_REDUCTION_INTERVAL_US:
            self.share *= REDUCTION_FACTOR
            self.last_reduction_us = now

    def _grow_share(self, now: int, signals: CellHealthSignals, elapsed_us: int) -> None:
        if signals.target_pressure <= GROW_PRESSURE:
            # Growth is slower into cold caches, as they have to fill from parents or the origin.
            pace = max(MIN_PACE, signals.target_warm_share)
            self.share += pace * elapsed_us / self.spec.warm_up_us
        # The moved share never exceeds the share of their warm capacity that the target caches have now.
        self.share = min(self.share, max(signals.target_warm_share, MIN_MOVED_SHARE))
        if self.share >= 1.0:
            self._transition(MigrationPhase.CUTTING, now, "all new requests go to the target cells")

    def _step_paused(self, now: int, signals: CellHealthSignals) -> None:
        if not self._target_is_healthy(signals):
            self.healthy_since_us = 0
            if signals.target_ready == 0:
                self.share = 0.0
            if now - self.phase_started_us > MAX_PAUSE_US:
                reason = "the target cells stayed without ready caches"
                self._transition(MigrationPhase.RETURNING, now, reason)
            return
        self.healthy_since_us = self.healthy_since_us or now
        if now - self.healthy_since_us >= HEALTHY_BEFORE_RESUME_US:
            self._transition(MigrationPhase.WARMING, now, "the target cells have ready caches again")

    def _step_soak(self, now: int, signals: CellHealthSignals) -> None:
        """Keep the source cells for a while after the cut-over, in case the target cells fail."""
        lost_caches = signals.target_ready == 0
        fails = lost_caches or signals.target_pressure > ABORT_PRESSURE
        if fails and signals.source_ready:
            reason = "the target cells lost all their caches" if lost_caches else "the target cells fail"
            self._transition(MigrationPhase.RETURNING, now, reason)
        elif not fails and now - self.phase_started_us >= self.spec.soak_us:
            self._transition(MigrationPhase.DRAINING, now, "the source cells complete their requests")

    def _step_draining(self, now: int, signals: CellHealthSignals) -> None:
        if signals.target_ready == 0 and signals.source_ready:
            self._transition(MigrationPhase.RETURNING, now, "the target cells lost all their caches")
        elif signals.source_in_flight == 0:
            self._transition(MigrationPhase.DONE, now, "no request is in flight in the source cells")
