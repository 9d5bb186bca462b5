"""The one reader of plans of cells, for the HCL file and for the administration API's JSON."""

from __future__ import annotations

import re
from typing import Any

from onyxwick.cells.model import (
    BAKE_US,
    KEYS,
    MOST_SPAN,
    RESERVED,
    SEAT_US,
    TENANT_FIELD,
    WARM_US,
    Cell,
    CellPlan,
    CellPolicy,
    KeyRange,
    MigrationSpec,
    PlanError,
    TenantSpec,
    check,
)
from onyxwick.config.errors import ConfigError
from onyxwick.config.fields import NAME, Fields, spoken
from onyxwick.config.hcl import Block, Value

HOUR_US = 3_600_000_000
_RANGE = re.compile(r"([0-9a-f]{2})(?:-([0-9a-f]{2}))?").fullmatch
_FIELD = re.compile(r"[A-Za-z][A-Za-z0-9-]{0,63}").fullmatch
TENANT_FIELDS = ("weight", "span", "cells", "rate_per_s", "most_open", "ranges")


def _named(row: Fields) -> str:
    if not NAME(row.label):
        raise ConfigError(
            f"{row.file}:{row.block.line}: {row.where}: '{row.label}' is no name of small letters, digits and"
            " hyphens"
        )
    return row.label


def _cell(row: Fields) -> Cell:
    out = Cell(
        _named(row),
        tuple(row.texts("members", ())),
        row.number("weight", 0.001, 1000, 1.0),
        row.text("fallback", "") or None,
    )
    row.done()
    return out


def _keys(row: Fields, name: str, text: str, line: int | None = None) -> tuple[int, int]:
    found = _RANGE(text)
    if found is None:
        raise row.error(name, f"{text!r} is no range of first bytes, as 00-7f", line)
    first, last = int(found[1], 16), int(found[2] or found[1], 16)
    if first > last:
        raise row.error(name, f"{text!r} ends before it begins; did you mean {found[2]}-{found[1]}?", line)
    return first, last


def _ranges(row: Fields) -> tuple[KeyRange, ...]:
    out = []
    for text, value in row.items("ranges").items():
        cells = value.plain()
        if isinstance(cells, str):
            cells = [cells]
        if not isinstance(cells, list) or not cells or not all(isinstance(cell, str) for cell in cells):
            raise row.error("ranges", f"range {text!r} names no cell", value.line)
        out.append(KeyRange(*_keys(row, "ranges", text, value.line), tuple(cells)))
    return tuple(out)


def tenant(row: Fields) -> TenantSpec:
    """What a tenant's row says of cells; the caller calls `done`, as others read the row too."""
    return TenantSpec(
        _named(row),
        row.number("weight", 0.0001, 1e6, 1.0),
        row.whole("span", 1, MOST_SPAN, 1),
        tuple(row.texts("cells", ())),
        _ranges(row),
        row.number("rate_per_s", 0, 1e6, 0),
        row.whole("most_open", 0, 1_000_000, 0),
    )


def _move(row: Fields) -> MigrationSpec:
    first, last = _keys(row, "keys", row.text("keys", f"00-{KEYS - 1:02x}"))
    out = MigrationSpec(
        _named(row),
        row.text("tenant"),
        tuple(row.texts("to")),
        first,
        last,
        row.whole("begins_unix", 0, 2**40, 0) * 1_000_000,
        row.duration("warm", 100_000, HOUR_US, WARM_US),
        row.duration("bake", 100_000, HOUR_US, BAKE_US),
    )
    row.done()
    return out


def _policy(row: Fields | None) -> CellPolicy:
    if row is None:
        return CellPolicy()
    field = row.text("tenant_field", TENANT_FIELD)
    if not _FIELD(field):
        raise row.error("tenant_field", f"{field!r} is no name of a request field, as X-Tenant")
    out = CellPolicy(
        field,
        row.text("default_tenant", "") or None,
        row.duration("seat", 0, HOUR_US, SEAT_US),
        row.share("reserved", RESERVED),
    )
    row.done()
    return out


def _where(top: Fields, error: PlanError) -> ConfigError:
    """A plan's error with the file and line of the row that it names."""
    labels = 0 if error.kind == "cells" else 1
    for row in top.blocks(error.kind, labels):
        if not labels or row.label == error.name:
            return row.error(error.field, error.text)
    return ConfigError(f"{top.file}:1: {error}")


def read_plan(top: Fields, version: int = 1) -> CellPlan | None:
    """The plan in a file's blocks `cells`, `cell`, `tenant` and `move`; None where no cell is named.

    ConfigError names file, line and field. Tenants' rows are left for others to end.
    """
    cells = {cell.name: cell for cell in map(_cell, top.blocks("cell", 1))}
    policy, moves = _policy(top.block_of("cells")), [_move(row) for row in top.blocks("move", 1)]
    if not cells:
        for kind in ("cells", "move"):
            for block in top.block.of(kind):
                raise ConfigError(f"{top.file}:{block.line}: block '{kind}' without any block 'cell'")
        return None
    tenants = {one.name: one for one in map(tenant, top.blocks("tenant", 1))}
    plan = CellPlan(cells, tenants, {move.name: move for move in moves}, policy, version)
    try:
        return check(plan)
    except PlanError as error:
        raise _where(top, error) from None


# ---- the same as JSON -----------------------------------------------------------------------------------


def _value(data: Any) -> Value:
    if isinstance(data, list):
        return Value([_value(inner) for inner in data], 1)
    if isinstance(data, dict):
        return Value({str(key): _value(inner) for key, inner in data.items()}, 1)
    return Value(data, 1)


def _rows(kind: str, data: Any) -> list[Block]:
    if not isinstance(data, dict) or not all(isinstance(row, dict) for row in data.values()):
        raise ConfigError(f"plan: '{kind}' is no object of objects")
    rows = data.items()
    return [Block(kind, [str(n)], 1, {k: _value(v) for k, v in row.items()}) for n, row in rows]


def plan_of_json(data: dict[str, Any], version: int) -> CellPlan:
    """A plan from the API's form; ConfigError names row and field."""
    if unknown := set(data) - {"cells", "tenants", "moves", "policy"}:
        raise ConfigError(f"plan: unknown field '{min(unknown)}'")
    top = Block("", [], 1)
    top.blocks += _rows("cell", data.get("cells", {})) + _rows("tenant", data.get("tenants", {}))
    top.blocks += _rows("move", data.get("moves", {}))
    if policy := data.get("policy"):
        if not isinstance(policy, dict):
            raise ConfigError("plan: 'policy' is no object")
        top.blocks.append(Block("cells", [], 1, {k: _value(v) for k, v in policy.items()}))
    fields = Fields(top, "plan")
    plan = read_plan(fields, version)
    if plan is None:
        raise ConfigError("plan: 'cells' names no cell")
    for row in fields.blocks("tenant", 1):
        for name in TENANT_FIELDS:
            row.asked[name] = None
        row.done()
    return plan


def _less(row: dict[str, Any]) -> dict[str, Any]:
    return {name: value for name, value in row.items() if value not in ((), [], {}, None, 0)}


def json_of_plan(plan: CellPlan) -> dict[str, Any]:
    """The API's form; what `plan_of_json` reads back as the same plan."""
    cells = {
        c.name: _less({"members": list(c.members), "weight": c.weight, "fallback": c.fallback})
        for c in plan.cells.values()
    }
    tenants = {
        t.name: _less(
            {
                "weight": t.weight,
                "span": t.span,
                "cells": list(t.cells),
                "ranges": {f"{r.first:02x}-{r.last:02x}": list(r.cells) for r in t.ranges},
                "rate_per_s": t.rate_per_s,
                "most_open": t.most_open,
            }
        )
        for t in plan.tenants.values()
    }
    moves = {
        m.name: _less(
            {
                "tenant": m.tenant,
                "to": list(m.to),
                "keys": f"{m.first:02x}-{m.last:02x}",
                "begins_unix": m.begins_us // 1_000_000,
                "warm": spoken(m.warm_us),
                "bake": spoken(m.bake_us),
            }
        )
        for m in plan.moves.values()
    }
    policy = plan.policy
    shown = {"tenant_field": policy.tenant_field, "default_tenant": policy.default_tenant}
    shown |= {"seat": spoken(policy.seat_us), "reserved": policy.reserved}  # type: ignore[dict-item]
    return {
        "cells": cells,
        "tenants": tenants,
        "moves": moves,
        "policy": _less(shown) | {"reserved": policy.reserved},
    }
