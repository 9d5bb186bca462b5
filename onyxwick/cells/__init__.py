"""Cells: each tenant or key range confined to a part of the fleet, and moved while it serves. No I/O here."""

from onyxwick.cells.model import (
    Cell,
    CellPlan,
    CellPlanError,
    CellPolicy,
    KeyRange,
    MigrationSpec,
    TenantSpec,
)
from onyxwick.cells.plan_control import CellPlanControl, PlanVersionConflictError
from onyxwick.cells.router import CellRouter

__all__ = [
    "Cell",
    "CellPlan",
    "CellPlanControl",
    "CellPlanError",
    "CellPolicy",
    "CellRouter",
    "KeyRange",
    "MigrationSpec",
    "PlanVersionConflictError",
    "TenantSpec",
]
