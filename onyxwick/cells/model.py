"""What operators say of cells: a plan, checked whole. Types and their checks only."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

S = 1_000_000
DEFAULT_WARM_UP_US, DEFAULT_SOAK_US, DEFAULT_SEAT_RETENTION_US = 20 * S, 5 * S, 120 * S
DEFAULT_TENANT_FIELD, DEFAULT_RESERVED_SHARE = "X-Tenant", 0.7
KEY_PREFIX_COUNT = 256  # key ranges are told in the first byte of an object's hash
MAX_CELLS, MAX_TENANTS, MAX_MIGRATIONS, MAX_SPAN = 1024, 100_000, 256, 16  # bounds on memory


class CellPlanError(ValueError):
    """A plan that cannot be used. Names what is wrong: the kind of row, its name and its field."""

    def __init__(self, kind: str, name: str, field_name: str, text: str) -> None:
        super().__init__(f"{kind} '{name}': {field_name}: {text}")
        self.kind, self.name, self.field, self.reason = kind, name, field_name, text


@dataclass(frozen=True, slots=True)
class Cell:
    """A part of the fleet. Without members of its own it shares those that no cell names, by weight."""

    name: str
    members: tuple[str, ...] = ()
    weight: float = 1.0
    fallback: str | None = None  # who takes its requests, within spare room, when it has no boxes left


@dataclass(frozen=True, slots=True)
class KeyRange:
    """Objects of a tenant whose hash begins with a byte from `first` to `last`."""

    first: int
    last: int
    cells: tuple[str, ...]

    def overlaps(self, other: KeyRange | MigrationSpec) -> bool:
        return self.first <= other.last and other.first <= self.last


@dataclass(frozen=True, slots=True)
class TenantSpec:
    """Who asks. Its cells are named, or `span` of them are chosen by shuffle sharding."""

    name: str
    weight: float = 1.0
    span: int = 1
    cells: tuple[str, ...] = ()
    ranges: tuple[KeyRange, ...] = ()
    rate_per_s: float = 0.0  # requests a second at one director; 0: not limited
    max_in_flight: int = 0  # requests at once at one director; 0: what its cell allows


@dataclass(frozen=True, slots=True)
class MigrationSpec:
    """A tenant, or a key range of it, is to go to other cells. `begins_us`: Unix time, 0 for at once."""

    name: str
    tenant: str
    target_cells: tuple[str, ...]
    first: int = 0
    last: int = KEY_PREFIX_COUNT - 1
    starts_at_us: int = 0
    warm_up_us: int = DEFAULT_WARM_UP_US  # in which the share of the new cells grows to all, at the fastest
    soak_us: int = DEFAULT_SOAK_US  # after the cut, before the old cells are let go

    def overlaps(self, other: KeyRange | MigrationSpec) -> bool:
        return self.first <= other.last and other.first <= self.last


@dataclass(frozen=True, slots=True)
class CellPolicy:
    """What holds for all cells of a director."""

    tenant_field: str = DEFAULT_TENANT_FIELD  # the request field that names the tenant
    default_tenant: str | None = None  # whose a request is that names none
    seat_retention_us: int = DEFAULT_SEAT_RETENTION_US  # for so long a box that is gone keeps its cell's seat
    reserved_share: float = (
        DEFAULT_RESERVED_SHARE  # of each bound: split between the cells for good; the rest is lent
    )


@dataclass(frozen=True, slots=True)
class CellPlan:
    cells: Mapping[str, Cell]
    tenants: Mapping[str, TenantSpec] = field(default_factory=dict)
    migrations: Mapping[str, MigrationSpec] = field(default_factory=dict)
    policy: CellPolicy = field(default_factory=CellPolicy)
    version: int = 1

    def equals_except_version(self, other: CellPlan) -> bool:
        """The same but for the version."""
        mine = (self.cells, self.tenants, self.migrations, self.policy)
        return mine == (other.cells, other.tenants, other.migrations, other.policy)


def _known(plan: CellPlan, kind: str, name: str, field_name: str, cells: tuple[str, ...]) -> None:
    for cell in cells:
        if cell not in plan.cells:
            raise CellPlanError(kind, name, field_name, f"there is no cell '{cell}'")


def _check_cell(plan: CellPlan, cell: Cell, claimed: dict[str, str]) -> None:
    for member in cell.members:
        if member in claimed:
            text = f"'{member}' is listed in cell '{claimed[member]}' too; a box has one cell"
            raise CellPlanError("cell", cell.name, "members", text)
        claimed[member] = cell.name
    if cell.fallback is None:
        return
    _known(plan, "cell", cell.name, "fallback", (cell.fallback,))
    if cell.fallback == cell.name:
        raise CellPlanError("cell", cell.name, "fallback", "a cell cannot fall back on itself")
    if plan.cells[cell.fallback].fallback is not None:
        text = f"cell '{cell.fallback}' falls back itself; chains could end in a circle"
        raise CellPlanError("cell", cell.name, "fallback", text)


def _check_tenant(plan: CellPlan, tenant: TenantSpec) -> None:
    _known(plan, "tenant", tenant.name, "cells", tenant.cells)
    if not tenant.cells and tenant.span > len(plan.cells):
        text = f"{tenant.span} cells are wanted and there are {len(plan.cells)}"
        raise CellPlanError("tenant", tenant.name, "span", text)
    for n, one in enumerate(tenant.ranges):
        _known(plan, "tenant", tenant.name, "ranges", one.cells)
        if any(one.overlaps(other) for other in tenant.ranges[:n]):
            text = f"{one.first:02x}-{one.last:02x} overlaps another range"
            raise CellPlanError("tenant", tenant.name, "ranges", text)


def _check_move(plan: CellPlan, move: MigrationSpec, before: list[MigrationSpec]) -> None:
    if move.tenant not in plan.tenants:
        raise CellPlanError("move", move.name, "tenant", f"there is no tenant '{move.tenant}'")
    _known(plan, "move", move.name, "to", move.target_cells)
    if not move.target_cells:
        raise CellPlanError("move", move.name, "to", "names no cell")
    for other in before:
        if other.tenant == move.tenant and other.overlaps(move):
            text = f"move '{other.name}' moves the same keys of tenant '{move.tenant}'"
            raise CellPlanError("move", move.name, "tenant", text)


def check_plan(plan: CellPlan) -> CellPlan:
    """The plan, if all in it fits together; PlanError tells what does not."""
    bounds = (("cell", plan.cells, MAX_CELLS), ("tenant", plan.tenants, MAX_TENANTS))
    for kind, rows, most in (*bounds, ("move", plan.migrations, MAX_MIGRATIONS)):
        if len(rows) > most:
            raise CellPlanError(kind, "", "count", f"{len(rows)} are over the bound of {most}")
    if not plan.cells:
        raise CellPlanError("cell", "", "count", "a plan has one cell at least")
    claimed: dict[str, str] = {}
    for cell in plan.cells.values():
        _check_cell(plan, cell, claimed)
    for tenant in plan.tenants.values():
        _check_tenant(plan, tenant)
    before: list[MigrationSpec] = []
    for move in plan.migrations.values():
        _check_move(plan, move, before)
        before.append(move)
    default = plan.policy.default_tenant
    if default is not None and default not in plan.tenants:
        raise CellPlanError("cells", "", "default_tenant", f"there is no tenant '{default}'")
    return plan
