"""Cells: each tenant or key range confined to a part of the fleet, and moved while it serves. No I/O here."""

from onyxwick.cells.model import Cell, CellPlan, CellPolicy, KeyRange, MigrationSpec, PlanError, TenantSpec
from onyxwick.cells.plan_control import CellPlanControl, PlanVersionConflictError
from onyxwick.cells.router import CellRouter

__all__ = [
    "Cell",
    "CellPlan",
    "CellPlanControl",
    "CellPolicy",
    "CellRouter",
    "KeyRange",
    "MigrationSpec",
    "PlanError",
    "PlanVersionConflictError",
    "TenantSpec",
]
