"""Changes of the plan while it runs: whole or not at all, by version, and the same change twice is one."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

from onyxwick.cells.model import CellPlan
from onyxwick.cells.router import CellRouter


class PlanVersionConflictError(Exception):
    """The change was made for another version than the one that runs."""

    def __init__(self, asked: int, runs: int) -> None:
        super().__init__(f"made for version {asked}, and version {runs} runs")
        self.runs = runs


class CellPlanControl:
    """The only way to change a running plan. `flush` hands what a change leads to on to the core."""

    def __init__(self, cells: CellRouter, clock: Callable[[], int], flush: Callable[[], None]) -> None:
        self.cells, self.clock, self.flush = cells, clock, flush

    @property
    def plan(self) -> CellPlan:
        return self.cells.plan

    def change(self, plan: CellPlan, made_for: int | None = None) -> bool:
        """Run another plan; True if anything changed.

        The same plan again changes nothing and is no conflict: a call repeated for want of an answer finds
        what it wished. Conflict where another change came between; PlanError where the plan does not fit.
        """
        if plan.same(self.plan):
            return False
        if made_for is not None and made_for != self.plan.version:
            raise PlanVersionConflictError(made_for, self.plan.version)
        self.cells.apply(self.clock(), replace(plan, version=self.plan.version + 1))
        self.flush()
        return True

    def abort(self, name: str) -> bool:
        """Turn a move back; False where it has ended. KeyError for an unknown one."""
        done = self.cells.abort(self.clock(), name)
        self.flush()
        return done
