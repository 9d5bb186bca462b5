"""What operators are shown of the cells, and the reasons for where an object goes."""

from __future__ import annotations

from onyxwick.cells.active_cell import ActiveCell
from onyxwick.cells.migration import MigrationPhase
from onyxwick.cells.placement import stable_hash
from onyxwick.cells.router import CellRouter


def explain(cells: CellRouter, tenant: str, name: str) -> list[str]:
    """Why an object of a tenant goes where it goes at this instant. KeyError for an unknown tenant."""
    out = cells.membership.placement.explain(tenant, name)
    key = stable_hash(name)
    for move in cells.migrations_of_tenant.get(tenant, ()):
        if move.covers(key) and move.phase is not MigrationPhase.ABORTED:
            side = "already goes" if move.is_migrated(key) else "does not go yet"
            out.append(
                f"Move '{move.spec.name}' is {move.phase.value} with {move.share:.0%} over"
                f" ({move.reason}): the object {side} to {', '.join(move.spec.target_cells)}."
            )
    order = cells.cells_for(tenant, name)
    alive = next((cell for cell in order if cells.has_ready_cache(cell)), None)
    if alive is not None:
        return [*out, f"It is served by cell '{alive}'."]
    fallback = cells.plan.cells[order[0]].fallback
    then = f"'{fallback}' takes it within its spare room" if fallback else "it is refused at once"
    return [*out, f"No box of {', '.join(order)} is ready: {then}."]


def router_status(cells: CellRouter) -> dict[str, object]:
    """All of the state that an operator can act on."""
    writes = cells.admission.write_gate
    return {
        "version": cells.plan.version,
        "cells": {name: _unit(cells, unit) for name, unit in sorted(cells.cells.items())},
        "tenants": len(cells.plan.tenants),
        "moves": {name: move.status() for name, move in sorted(cells.migrations.items())},
        "writes": {"open": writes.in_flight, "limit": round(writes.adaptive_limit.limit, 1)},
        "counts": dict(sorted(cells.counts.items())),
    }


def _unit(cells: CellRouter, unit: ActiveCell) -> dict[str, object]:
    placement = cells.membership.placement
    return {
        "members": placement.members(unit.name),
        "ready": unit.ready_caches,
        "tenants": sum(unit.name in homes for homes in placement.cells_of_tenant.values()),
        "open": unit.in_flight,
        "limit": round(unit.gate.adaptive_limit.limit, 1),
        "most": round(unit.gate.adaptive_limit.upper_bound, 1),
        "pressure": round(unit.pressure, 3),
        "parents_part": round(cells.arbiter.shares.get(unit.name, 0.0), 4),
        "leaving": unit.retired,
    }
