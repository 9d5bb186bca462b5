"""Changes of the cell plan while it runs: complete or not at all, by version, and idempotent."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

from onyxwick.cells.model import CellPlan, CellsError
from onyxwick.cells.router import CellRouter


class PlanVersionConflictError(CellsError):
    """A change was made for another version than the one that runs."""

    def __init__(self, requested_version: int, running_version: int) -> None:
        super().__init__(f"made for version {requested_version}, and version {running_version} runs")
        self.requested_version = requested_version
        self.running_version = running_version


class CellPlanControl:
    """The only way to change a running plan."""

    def __init__(self, cells: CellRouter, clock: Callable[[], int], flush: Callable[[], None]) -> None:
        """`clock`: the time in microseconds. `flush`: passes the router's resulting actions to the core."""
        self.cells = cells
        self.clock = clock
        self.flush = flush

    @property
    def plan(self) -> CellPlan:
        """The plan that runs."""
        return self.cells.plan

    def replace_plan(self, plan: CellPlan, made_for: int | None = None) -> bool:
        """Run another plan; whether anything changed.

        The same plan again changes nothing and is no conflict: a call that is repeated because its answer was
        lost succeeds. PlanVersionConflictError where another change came between; CellPlanError where the
        plan does not fit."""
        if plan.equals_except_version(self.plan):
            return False
        if made_for is not None and made_for != self.plan.version:
            raise PlanVersionConflictError(made_for, self.plan.version)
        self.cells.apply_plan(self.clock(), replace(plan, version=self.plan.version + 1))
        self.flush()
        return True

    def abort_migration(self, name: str) -> bool:
        """Abort a migration; False where it has ended. KeyError for an unknown one."""
        is_aborted = self.cells.abort_migration(self.clock(), name)
        self.flush()
        return is_aborted
