"""The state of a cell router for operators, and the explanation of the choice of cell for an object.

The keys of `router_status` are those of the administration API.
"""

from __future__ import annotations

from onyxwick.cells.active_cell import ActiveCell
from onyxwick.cells.migration import MigrationPhase
from onyxwick.cells.placement import cells_hash
from onyxwick.cells.router import CellRouter


def explain(router: CellRouter, tenant: str, object_name: str) -> list[str]:
    """Explain the current choice of cell for an object of a tenant, one sentence per step.

    Raises KeyError for an unknown tenant."""
    sentences = router.membership.placement.explain(tenant, object_name)
    sentences += _explain_migrations(router, tenant, object_name)
    cells = router.cells_for(tenant, object_name)
    serving = next((cell for cell in cells if router.has_ready_cache(cell)), None)
    if serving is not None:
        return [*sentences, f"It is served by cell '{serving}'."]
    fallback = router.plan.cells[cells[0]].fallback
    outcome = (
        f"'{fallback}' serves it within its spare capacity" if fallback else "it is rejected immediately"
    )
    return [*sentences, f"No cache of {', '.join(cells)} is ready: {outcome}."]


def _explain_migrations(router: CellRouter, tenant: str, object_name: str) -> list[str]:
    key = cells_hash(object_name)
    sentences = []
    for migration in router.migrations.of_tenant.get(tenant, ()):
        if migration.covers(key) and migration.phase is not MigrationPhase.ABORTED:
            side = "already goes" if migration.is_migrated(key) else "does not go yet"
            sentences.append(
                f"Move '{migration.spec.name}' is {migration.phase.value} with {migration.share:.0%} moved"
                f" ({migration.reason}): the object {side} to {', '.join(migration.spec.target_cells)}."
            )
    return sentences


def router_status(router: CellRouter) -> dict[str, object]:
    """Return the document on cells of the administration API."""
    write_gate = router.admission.write_gate
    migrations = router.migrations.by_name
    return {
        "version": router.plan.version,
        "cells": {name: _cell_status(router, cell) for name, cell in sorted(router.cells.items())},
        "tenants": len(router.plan.tenants),
        "moves": {name: migration.status() for name, migration in sorted(migrations.items())},
        "writes": {"open": write_gate.in_flight, "limit": round(write_gate.adaptive_limit.limit, 1)},
        "counts": dict(sorted(router.counts.items())),
    }


def _cell_status(router: CellRouter, cell: ActiveCell) -> dict[str, object]:
    placement = router.membership.placement
    return {
        "members": placement.members(cell.name),
        "ready": cell.ready_caches,
        "tenants": sum(cell.name in cells for cells in placement.cells_of_tenant.values()),
        "open": cell.in_flight,
        "limit": round(cell.gate.adaptive_limit.limit, 1),
        "most": round(cell.gate.adaptive_limit.upper_bound, 1),
        "pressure": round(cell.pressure, 3),
        "parents_part": round(router.arbiter.shares.get(cell.name, 0.0), 4),
        "leaving": cell.retired,
    }
