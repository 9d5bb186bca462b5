"""The migrations of one director's plan: which are in progress, and to which cells they move objects.

Takes plans, and the health of both sides at each tick. Returns the phases that migrations entered, and the
cells to which an object of a tenant has migrated.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from onyxwick.cells.migration import ENDED, CellHealthSignals, Migration, MigrationPhase
from onyxwick.cells.model import CellPlan
from onyxwick.cells.placement import cells_hash

ABORTED_BY_OPERATOR = "aborted by the operator"


@dataclass(frozen=True, slots=True)
class MigrationTransition:
    """A change of a migration from one phase to another."""

    name: str
    previous_phase: MigrationPhase
    phase: MigrationPhase
    reason: str


class Migrations:
    """All migrations of a plan, and the withdrawn ones until their objects are back at the source cells."""

    def __init__(self) -> None:
        self.by_name: dict[str, Migration] = {}
        self.of_tenant: dict[str, list[Migration]] = {}

    def apply_plan(self, now: int, plan: CellPlan) -> None:
        """Start the plan's new migrations, and abort those that the plan no longer contains or has changed.

        A migration that has ended and is unchanged in the plan stays ended."""
        for name, spec in plan.migrations.items():
            running = self.by_name.get(name)
            if running is None or (running.spec != spec and running.phase in ENDED):
                self.by_name[name] = Migration(spec, now)
            elif running.spec != spec:
                running.abort(now, "changed by the plan")
        for name in [name for name in self.by_name if name not in plan.migrations]:
            migration = self.by_name[name]
            is_possible = migration.spec.tenant in plan.tenants and plan.cells.keys() >= set(
                migration.spec.target_cells
            )
            if not is_possible or not migration.abort(now, ABORTED_BY_OPERATOR):
                del self.by_name[name]
        self.of_tenant = {}
        for migration in self.by_name.values():
            self.of_tenant.setdefault(migration.spec.tenant, []).append(migration)

    def step(
        self, now: int, plan: CellPlan, signals_of: Callable[[Migration], CellHealthSignals]
    ) -> list[MigrationTransition]:
        """Advance every migration and return the transitions between phases."""
        transitions = []
        for name, migration in list(self.by_name.items()):
            if self.by_name.get(name) is not migration:
                continue  # deleted with an earlier one of this tick
            previous_phase = migration.phase
            if previous_phase not in ENDED:
                migration.step(now, signals_of(migration))
            if migration.phase is not previous_phase:
                transitions.append(
                    MigrationTransition(name, previous_phase, migration.phase, migration.reason)
                )
            is_withdrawn = plan.migrations.get(name) != migration.spec
            if migration.phase is MigrationPhase.ABORTED and is_withdrawn:
                del self.by_name[name]
                self.apply_plan(now, plan)
        return transitions

    def target_cells(self, tenant: str, object_name: str) -> tuple[str, ...] | None:
        """Return the cells to which an object of a tenant has migrated, in order of preference.

        None if the object has not migrated."""
        for migration in self.of_tenant.get(tenant, ()):
            key = cells_hash(object_name)
            if migration.covers(key) and migration.is_migrated(key):
                cells = migration.spec.target_cells
                first = key % len(cells)
                return cells[first:] + cells[:first]
        return None

    def abort(self, now: int, name: str) -> bool:
        """Abort a migration; False if it has already ended. KeyError for an unknown migration."""
        return self.by_name[name].abort(now, ABORTED_BY_OPERATOR)
