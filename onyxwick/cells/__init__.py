"""Cells: each tenant or key range is confined to a part of the fleet, and migrates while it serves. No I/O
here."""

from onyxwick.cells.model import (
    Cell,
    CellPlan,
    CellPlanError,
    CellPolicy,
    CellsError,
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
    "CellsError",
    "KeyRange",
    "MigrationSpec",
    "PlanVersionConflictError",
    "TenantSpec",
]
