"""Changes of the plan while it runs: whole or not at all, by version, and the same change twice is one."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

from onyxwick.cells.model import CellPlan
from onyxwick.cells.router import CellRouter


class PlanVersionConflictError(Exception):
    """The change was made for another version than the one that runs."""

    def __init__(self, requested_version: int, running_version: int) -> None:
        super().__init__(f"made for version {requested_version}, and version {running_version} runs")
        self.running_version = running_version


class CellPlanControl:
    """The only way to change a running plan. `flush` hands what a change leads to on to the core."""

    def __init__(self, cells: CellRouter, clock: Callable[[], int], flush: Callable[[], None]) -> None:
        self.cells, self.clock, self.flush = cells, clock, flush

    @property
    def plan(self) -> CellPlan:
        return self.cells.plan

    def replace_plan(self, plan: CellPlan, made_for: int | None = None) -> bool:
        """Run another plan; True if anything changed.

        The same plan again changes nothing and is no conflict: a call repeated for want of an answer finds
        what it wished. Conflict where another change came between; PlanError where the plan does not fit.
        """
        if plan.equals_except_version(self.plan):
            return False
        if made_for is not None and made_for != self.plan.version:
            raise PlanVersionConflictError(made_for, self.plan.version)
        self.cells.apply_plan(self.clock(), replace(plan, version=self.plan.version + 1))
        self.flush()
        return True

    def abort_migration(self, name: str) -> bool:
        """Turn a move back; False where it has ended. KeyError for an unknown one."""
        done = self.cells.abort_migration(self.clock(), name)
        self.flush()
        return done
