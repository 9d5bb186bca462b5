"""Cells: each tenant or key range confined to a part of the fleet, and moved while it serves. No I/O here."""

from onyxwick.cells.control import Conflict, Control
from onyxwick.cells.fleet import Cells
from onyxwick.cells.model import Cell, KeyRange, MoveOrder, Plan, PlanError, Policy, Tenant

__all__ = [
    "Cell",
    "Cells",
    "Conflict",
    "Control",
    "KeyRange",
    "MoveOrder",
    "Plan",
    "PlanError",
    "Policy",
    "Tenant",
]
