"""Cells confine each tenant or key range to a part of the fleet, and migrate it while requests are served.

This package does no I/O.
"""

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
