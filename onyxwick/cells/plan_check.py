"""Checks that the rows of a cell plan are consistent with each other."""

from __future__ import annotations

from onyxwick.cells.model import Cell, CellPlan, CellPlanError, MigrationSpec, TenantSpec

# These maxima bound the memory that a plan uses.
MAX_CELLS = 1024
MAX_TENANTS = 100_000
MAX_MIGRATIONS = 256
MAX_SPAN = 16


def check_plan(plan: CellPlan) -> CellPlan:
    """Return the plan if it is consistent. Raises CellPlanError for the first row that is not."""
    _check_count("cell", len(plan.cells), MAX_CELLS)
    _check_count("tenant", len(plan.tenants), MAX_TENANTS)
    _check_count("move", len(plan.migrations), MAX_MIGRATIONS)
    if not plan.cells:
        raise CellPlanError("cell", "", "count", "a plan needs at least one cell")
    cell_of_member: dict[str, str] = {}
    for cell in plan.cells.values():
        _check_cell(plan, cell, cell_of_member)
    for tenant in plan.tenants.values():
        _check_tenant(plan, tenant)
    earlier: list[MigrationSpec] = []
    for migration in plan.migrations.values():
        _check_migration(plan, migration, earlier)
        earlier.append(migration)
    default_tenant = plan.policy.default_tenant
    if default_tenant is not None and default_tenant not in plan.tenants:
        raise CellPlanError("cells", "", "default_tenant", f"there is no tenant '{default_tenant}'")
    return plan


def _check_count(kind: str, count: int, maximum: int) -> None:
    if count > maximum:
        raise CellPlanError(kind, "", "count", f"{count} rows exceed the maximum of {maximum}")


def _check_known(plan: CellPlan, kind: str, name: str, field_name: str, cells: tuple[str, ...]) -> None:
    for cell in cells:
        if cell not in plan.cells:
            raise CellPlanError(kind, name, field_name, f"there is no cell '{cell}'")


def _check_cell(plan: CellPlan, cell: Cell, cell_of_member: dict[str, str]) -> None:
    for member in cell.members:
        if member in cell_of_member:
            reason = f"'{member}' is listed in cell '{cell_of_member[member]}' too; a cache has only one cell"
            raise CellPlanError("cell", cell.name, "members", reason)
        cell_of_member[member] = cell.name
    if cell.fallback is None:
        return
    _check_known(plan, "cell", cell.name, "fallback", (cell.fallback,))
    if cell.fallback == cell.name:
        raise CellPlanError("cell", cell.name, "fallback", "a cell cannot fall back on itself")
    if plan.cells[cell.fallback].fallback is not None:
        reason = f"cell '{cell.fallback}' has a fallback itself; chains of fallbacks could form a loop"
        raise CellPlanError("cell", cell.name, "fallback", reason)


def _check_tenant(plan: CellPlan, tenant: TenantSpec) -> None:
    _check_known(plan, "tenant", tenant.name, "cells", tenant.cells)
    if not tenant.cells and tenant.span > len(plan.cells):
        reason = f"{tenant.span} cells are requested, but the plan has only {len(plan.cells)}"
        raise CellPlanError("tenant", tenant.name, "span", reason)
    for index, key_range in enumerate(tenant.ranges):
        _check_known(plan, "tenant", tenant.name, "ranges", key_range.cells)
        if any(key_range.overlaps(other) for other in tenant.ranges[:index]):
            reason = f"{key_range.first:02x}-{key_range.last:02x} overlaps another range"
            raise CellPlanError("tenant", tenant.name, "ranges", reason)


def _check_migration(plan: CellPlan, migration: MigrationSpec, earlier: list[MigrationSpec]) -> None:
    name = migration.name
    if migration.tenant not in plan.tenants:
        raise CellPlanError("move", name, "tenant", f"there is no tenant '{migration.tenant}'")
    _check_known(plan, "move", name, "to", migration.target_cells)
    if not migration.target_cells:
        raise CellPlanError("move", name, "to", "names no cell")
    for other in earlier:
        if other.tenant == migration.tenant and other.overlaps(migration):
            reason = f"move '{other.name}' moves the same keys of tenant '{migration.tenant}'"
            raise CellPlanError("move", name, "tenant", reason)
