"""The migrations of one director's plan: which are under way, and where each sends a tenant's objects.

In: plans, and the health of both sides at each tick. Out: the phases that were entered, and for an object of
a tenant the cells that it has migrated to.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from onyxwick.cells.migration import ENDED, CellHealthSignals, Migration, MigrationPhase
from onyxwick.cells.model import CellPlan
from onyxwick.cells.placement import cells_hash

ABORTED_BY_OPERATOR = "taken back by the operator"


@dataclass(frozen=True, slots=True)
class MigrationTransition:
    """A migration has entered another phase."""

    name: str
    previous_phase: MigrationPhase
    phase: MigrationPhase
    reason: str


class Migrations:
    """All migrations of a plan, and those that it has withdrawn until they have returned."""

    def __init__(self) -> None:
        self.by_name: dict[str, Migration] = {}
        self.of_tenant: dict[str, list[Migration]] = {}

    def apply_plan(self, now: int, plan: CellPlan) -> None:
        """Start the plan's migrations, and abort those that it no longer names or names differently. One that
        has ended and is still named stays ended."""
        for name, spec in plan.migrations.items():
            running = self.by_name.get(name)
            if running is None or (running.spec != spec and running.phase in ENDED):
                self.by_name[name] = Migration(spec, now)
            elif running.spec != spec:
                running.abort(now, "the plan changed it")
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
        """Advance every migration; the phases that were entered."""
        transitions = []
        for name, migration in list(self.by_name.items()):
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
        """The cells that an object of a tenant has migrated to, the first choice first; None where it has
        not."""
        for migration in self.of_tenant.get(tenant, ()):
            key = cells_hash(object_name)
            if migration.covers(key) and migration.is_migrated(key):
                cells = migration.spec.target_cells
                first = key % len(cells)
                return cells[first:] + cells[:first]
        return None

    def abort(self, now: int, name: str) -> bool:
        """Abort a migration; False where it has ended. KeyError for an unknown one."""
        return self.by_name[name].abort(now, ABORTED_BY_OPERATOR)
