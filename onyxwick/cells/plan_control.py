"""Atomic, versioned and idempotent changes of the running cell plan."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

from onyxwick.cells.model import CellPlan, CellsError
from onyxwick.cells.router import CellRouter


class PlanVersionConflictError(CellsError):
    """Raised for a change that was made for a version other than the running one."""

    def __init__(self, requested_version: int, running_version: int) -> None:
        super().__init__(f"made for version {requested_version}, and version {running_version} runs")
        self.requested_version = requested_version
        self.running_version = running_version


class CellPlanControl:
    """The only interface for changes of a running plan."""

    def __init__(self, cells: CellRouter, clock: Callable[[], int], flush: Callable[[], None]) -> None:
        """`clock` returns the time in microseconds; `flush` passes the router's actions to the core."""
        self.cells = cells
        self.clock = clock
        self.flush = flush

    @property
    def plan(self) -> CellPlan:
        """Return the running plan."""
        return self.cells.plan

    def replace_plan(self, plan: CellPlan, made_for: int | None = None) -> bool:
        """Replace the running plan and return whether anything changed.

        A plan equal to the running one changes nothing and is not a conflict, so that a call that is repeated
        after a lost answer succeeds. `made_for` is the version that the change is based on; None skips the
        version check. Raises PlanVersionConflictError if the plan has changed since that version, and
        CellPlanError if the plan is not consistent or leaves a cell without caches."""
        if plan.equals_except_version(self.plan):
            return False
        if made_for is not None and made_for != self.plan.version:
            raise PlanVersionConflictError(made_for, self.plan.version)
        self.cells.apply_plan(self.clock(), replace(plan, version=self.plan.version + 1))
        self.flush()
        return True

    def abort_migration(self, name: str) -> bool:
        """Abort a migration; False if it has already ended. KeyError for an unknown migration."""
        is_aborted = self.cells.abort_migration(self.clock(), name)
        self.flush()
        return is_aborted
