"""Cells: each tenant or key range confined to a part of the fleet, and moved while it serves. No I/O here."""

from onyxwick.cells.control import PlanVersionConflictError, CellPlanControl
from onyxwick.cells.fleet import CellRouter
from onyxwick.cells.model import Cell, KeyRange, MigrationSpec, CellPlan, PlanError, CellPolicy, TenantSpec

__all__ = [
    "Cell",
    "CellRouter",
    "PlanVersionConflictError",
    "CellPlanControl",
    "KeyRange",
    "MigrationSpec",
    "CellPlan",
    "PlanError",
    "CellPolicy",
    "TenantSpec",
]
