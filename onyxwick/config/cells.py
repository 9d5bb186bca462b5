"""Reads cell plans from the service file's blocks and from the administration API's JSON.

Both forms share one reader: JSON is converted into blocks first. The readers return a validated `CellPlan`,
with durations in microseconds.
"""

from __future__ import annotations

import re
from typing import Any

from onyxwick.cells.model import (
    DEFAULT_ASSIGNMENT_RETENTION_US,
    DEFAULT_RESERVED_SHARE,
    DEFAULT_SOAK_US,
    DEFAULT_TENANT_FIELD,
    DEFAULT_WARM_UP_US,
    KEY_PREFIX_COUNT,
    Cell,
    CellPlan,
    CellPlanError,
    CellPolicy,
    KeyRange,
    MigrationSpec,
    TenantSpec,
)
from onyxwick.cells.plan_check import MAX_SPAN, check_plan
from onyxwick.config.errors import ConfigError
from onyxwick.config.fields import Fields, format_duration
from onyxwick.config.hcl import Block, Value

S_US = 1_000_000
HOUR_US = 3_600 * S_US
MIN_PHASE_US = 100_000
MAX_CELL_WEIGHT = 1000
MAX_TENANT_WEIGHT = 1e6
MAX_RATE_PER_S = 1e6
MAX_OPEN_REQUESTS = 1_000_000
MAX_UNIX_S = 2**40
ALL_KEYS = f"00-{KEY_PREFIX_COUNT - 1:02x}"
TENANT_FIELDS = ("weight", "span", "cells", "rate_per_s", "most_open", "ranges")
API_ROWS = {"cells": "cell", "tenants": "tenant", "moves": "move"}
"""Maps each table of the API's JSON to the block type of its rows."""
API_POLICY = "policy"

_match_key_range = re.compile(r"([0-9a-f]{2})(?:-([0-9a-f]{2}))?").fullmatch
is_field_name = re.compile(r"[A-Za-z][A-Za-z0-9-]{0,63}").fullmatch
"""Match a valid name of a request field; None if the text is not one."""


# ---- rows ------------------------------------------------------------------------------------------------


def _read_cell(row: Fields) -> Cell:
    cell = Cell(
        name=row.own_name(),
        members=tuple(row.strings("members", ())),
        weight=row.number("weight", 0.001, MAX_CELL_WEIGHT, 1.0),
        fallback=row.string("fallback", "") or None,
    )
    row.reject_unknown()
    return cell


def _read_keys(row: Fields, field: str, text: str, line: int | None = None) -> tuple[int, int]:
    """Parse a key range such as `00-7f` into its lowest and highest first byte.

    Raises ConfigError if the text is not a key range.
    """
    match = _match_key_range(text)
    if match is None:
        raise row.error(field, f"{text!r} is not a range of first bytes such as 00-7f", line)
    first = int(match[1], 16)
    last = int(match[2] or match[1], 16)
    if first > last:
        hint = f"did you mean {match[2]}-{match[1]}?"
        raise row.error(field, f"{text!r} ends before it begins; {hint}", line)
    return first, last


def _read_ranges(row: Fields) -> tuple[KeyRange, ...]:
    ranges = []
    for text, value in row.items("ranges").items():
        cells = value.plain()
        if isinstance(cells, str):
            cells = [cells]
        if not isinstance(cells, list) or not cells or not all(isinstance(cell, str) for cell in cells):
            raise row.error("ranges", f"range {text!r} names no cell", value.line)
        first, last = _read_keys(row, "ranges", text, value.line)
        ranges.append(KeyRange(first, last, tuple(cells)))
    return tuple(ranges)


def read_tenant(row: Fields) -> TenantSpec:
    """Read the fields of a tenant's row that concern cells; other readers read the remaining fields."""
    return TenantSpec(
        name=row.own_name(),
        weight=row.number("weight", 0.0001, MAX_TENANT_WEIGHT, 1.0),
        span=row.integer("span", 1, MAX_SPAN, 1),
        cells=tuple(row.strings("cells", ())),
        ranges=_read_ranges(row),
        rate_per_s=row.number("rate_per_s", 0, MAX_RATE_PER_S, 0),
        max_in_flight=row.integer("most_open", 0, MAX_OPEN_REQUESTS, 0),
    )


def _read_migration(row: Fields) -> MigrationSpec:
    first, last = _read_keys(row, "keys", row.string("keys", ALL_KEYS))
    migration = MigrationSpec(
        name=row.own_name(),
        tenant=row.string("tenant"),
        target_cells=tuple(row.strings("to")),
        first=first,
        last=last,
        starts_at_us=row.integer("begins_unix", 0, MAX_UNIX_S, 0) * S_US,
        warm_up_us=row.duration("warm", MIN_PHASE_US, HOUR_US, DEFAULT_WARM_UP_US),
        soak_us=row.duration("bake", MIN_PHASE_US, HOUR_US, DEFAULT_SOAK_US),
    )
    row.reject_unknown()
    return migration


def _read_policy(row: Fields | None) -> CellPolicy:
    if row is None:
        return CellPolicy()
    tenant_field = row.string("tenant_field", DEFAULT_TENANT_FIELD)
    if not is_field_name(tenant_field):
        raise row.error("tenant_field", f"{tenant_field!r} is not a request field name such as X-Tenant")
    policy = CellPolicy(
        tenant_field=tenant_field,
        default_tenant=row.string("default_tenant", "") or None,
        assignment_retention_us=row.duration("seat", 0, HOUR_US, DEFAULT_ASSIGNMENT_RETENTION_US),
        reserved_share=row.fraction("reserved", DEFAULT_RESERVED_SHARE),
    )
    row.reject_unknown()
    return policy


# ---- the plan --------------------------------------------------------------------------------------------


def read_plan(top: Fields, version: int = 1) -> CellPlan | None:
    """Read the plan from the blocks `cells`, `cell`, `tenant` and `move`; None if there is no `cell` block.

    Raises ConfigError, which names file, line and field. Unknown fields of `tenant` blocks are not rejected
    here, because other readers use them.
    """
    cells = {cell.name: cell for cell in map(_read_cell, top.blocks("cell", 1))}
    policy = _read_policy(top.single_block("cells"))
    migrations = {each.name: each for each in map(_read_migration, top.blocks("move", 1))}
    if not cells:
        _reject_rows_without_cells(top)
        return None
    tenants = {tenant.name: tenant for tenant in map(read_tenant, top.blocks("tenant", 1))}
    plan = CellPlan(cells, tenants, migrations, policy, version)
    try:
        return check_plan(plan)
    except CellPlanError as error:
        raise _located(top, error) from None


def _reject_rows_without_cells(top: Fields) -> None:
    for kind in ("cells", "move"):
        for block in top.block.blocks_of(kind):
            raise ConfigError.at(top.file, block.line, f"block '{kind}' without any block 'cell'")


def _located(top: Fields, error: CellPlanError) -> ConfigError:
    """Convert a plan error to a ConfigError with the file and line of the row that it names."""
    labels = 0 if error.kind == "cells" else 1
    for row in top.blocks(error.kind, labels):
        if not labels or row.label == error.name:
            return row.error(error.field, error.reason)
    return ConfigError.at(top.file, 1, str(error))


# ---- the API's JSON --------------------------------------------------------------------------------------


def plan_of_json(data: dict[str, Any], version: int) -> CellPlan:
    """Read a plan from the API's JSON object. Raises ConfigError, which names row and field."""
    if unknown := set(data) - {*API_ROWS, API_POLICY}:
        raise ConfigError(f"plan: unknown field '{min(unknown)}'", field=min(unknown))
    top = Block("", [], 1)
    for table, kind in API_ROWS.items():
        top.blocks += _blocks_of_json(kind, data.get(table, {}))
    if policy := data.get(API_POLICY):
        if not isinstance(policy, dict):
            raise ConfigError(f"plan: '{API_POLICY}' is not an object", field=API_POLICY)
        top.blocks.append(Block("cells", [], 1, _values_of_json(policy)))
    fields = Fields(top, "plan")
    plan = read_plan(fields, version)
    if plan is None:
        raise ConfigError("plan: 'cells' names no cell", field="cells")
    for row in fields.blocks("tenant", 1):
        row.accept(TENANT_FIELDS)
        row.reject_unknown()
    return plan


def _blocks_of_json(kind: str, data: Any) -> list[Block]:
    if not isinstance(data, dict) or not all(isinstance(row, dict) for row in data.values()):
        raise ConfigError(f"plan: '{kind}' is not an object of objects", field=kind)
    return [Block(kind, [str(name)], 1, _values_of_json(row)) for name, row in data.items()]


def _values_of_json(row: dict[str, Any]) -> dict[str, Value]:
    return {name: _value_of_json(value) for name, value in row.items()}


def _value_of_json(data: Any) -> Value:
    if isinstance(data, list):
        return Value([_value_of_json(inner) for inner in data], 1)
    if isinstance(data, dict):
        return Value({str(key): _value_of_json(inner) for key, inner in data.items()}, 1)
    return Value(data, 1)


def json_of_plan(plan: CellPlan) -> dict[str, Any]:
    """Return the plan in the API's JSON form. `plan_of_json` reads the same plan back from it."""
    return {
        "cells": {cell.name: _json_of_cell(cell) for cell in plan.cells.values()},
        "tenants": {tenant.name: _json_of_tenant(tenant) for tenant in plan.tenants.values()},
        "moves": {migration.name: _json_of_migration(migration) for migration in plan.migrations.values()},
        API_POLICY: _json_of_policy(plan.policy),
    }


def _json_of_cell(cell: Cell) -> dict[str, Any]:
    return _without_empty({"members": list(cell.members), "weight": cell.weight, "fallback": cell.fallback})


def _json_of_tenant(tenant: TenantSpec) -> dict[str, Any]:
    return _without_empty(
        {
            "weight": tenant.weight,
            "span": tenant.span,
            "cells": list(tenant.cells),
            "ranges": {f"{each.first:02x}-{each.last:02x}": list(each.cells) for each in tenant.ranges},
            "rate_per_s": tenant.rate_per_s,
            "most_open": tenant.max_in_flight,
        }
    )


def _json_of_migration(migration: MigrationSpec) -> dict[str, Any]:
    return _without_empty(
        {
            "tenant": migration.tenant,
            "to": list(migration.target_cells),
            "keys": f"{migration.first:02x}-{migration.last:02x}",
            "begins_unix": migration.starts_at_us // S_US,
            "warm": format_duration(migration.warm_up_us),
            "bake": format_duration(migration.soak_us),
        }
    )


def _json_of_policy(policy: CellPolicy) -> dict[str, Any]:
    row = {
        "tenant_field": policy.tenant_field,
        "default_tenant": policy.default_tenant,
        "seat": format_duration(policy.assignment_retention_us),
    }
    return _without_empty(row) | {"reserved": policy.reserved_share}


def _without_empty(row: dict[str, Any]) -> dict[str, Any]:
    return {name: value for name, value in row.items() if value not in ((), [], {}, None, 0)}
