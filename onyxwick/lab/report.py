"""What came of one run: figures for the report, from the records and the tallies."""

from __future__ import annotations

import resource
from collections import Counter
from collections.abc import Mapping
from pathlib import Path
from typing import Any, Protocol

from onyxwick.cells import CellPlan
from onyxwick.cells.placement import Placement, compute_placement
from onyxwick.interface import Member, MemberState
from onyxwick.lab.audit import Findings, strays
from onyxwick.lab.clients import Clients, ClientTally
from onyxwick.lab.machines import CoordinatorEmulator, World
from onyxwick.lab.model import Scenario


class FinishedRun(Protocol):
    """What a report needs of a run that has ended."""

    scenario: Scenario
    seed: int
    service: Path | None
    store: bool
    killed: int
    misbehaves: str | None
    world: World
    clients: Clients
    coordinator: CoordinatorEmulator


def _placed(run: FinishedRun, service: Path) -> tuple[CellPlan, Placement]:
    from onyxwick.config.service import load

    plan = load(service).cell_plan
    assert plan is not None
    members = [
        Member(m.name, m.zone, m.kind, 0, MemberState.READY, m.tier.capacity, 0)
        for m in run.world.machines.values()
    ]
    return plan, compute_placement(plan, members, ("parent", "origin"))


def _strays(run: FinishedRun) -> dict[str, int]:
    """By the same placement as the director's, against what the boxes' sockets saw."""
    if run.service is None or any(h.what == "service" for h in run.scenario.happenings):
        return {}
    plan, placed = _placed(run, run.service)
    homes = {**placed.cells_of_tenant}
    for order in plan.migrations.values():
        homes[order.tenant] = (*homes[order.tenant], *order.target_cells)
    return strays(run.world.records, homes, placed.cell_of_cache)


def _shifts(run: FinishedRun) -> dict[str, list[float]]:
    """For each move that was ordered: the share of the tenant's attempts at the new cells' boxes, in each
    five seconds, by the boxes' sockets."""
    out: dict[str, list[float]] = {}
    for event in run.scenario.happenings if run.service else ():
        if event.what != "service":
            continue
        plan, placed = _placed(run, run.scenario.service.parent / event.name)  # type: ignore[union-attr]
        for order in plan.migrations.values():
            out[order.tenant] = _shift(run, order.tenant, set(order.target_cells), placed.cell_of_cache)
    return out


def _shift(run: FinishedRun, tenant: str, cells: set[str], seat_of: Mapping[str, str]) -> list[float]:
    records = run.world.records
    begin = min((s.at_us for s in records.sends), default=0)
    counts: dict[int, list[int]] = {}
    for send in records.sends:
        taken, cell = records.taken.get(send.id), seat_of.get(send.member)
        if taken is not None and taken.tenant == tenant and cell is not None:
            window = counts.setdefault((send.at_us - begin) // 5_000_000, [0, 0])
            window[0] += cell in cells
            window[1] += 1
    return [round(new / both, 3) for _, (new, both) in sorted(counts.items())]


def _full_after(run: FinishedRun) -> float | None:
    """Seconds from the last kill of a director to the first second served as the ones before it."""
    killed = run.killed
    if not killed:
        return None
    taken = [t for t in run.world.records.taken.values() if t.verdict]
    before = [t for t in taken if killed - 3_000_000 < t.sent_us < killed - 200_000]
    usual = sum(t.verdict == "served" for t in before) / max(1, len(before))
    for second in range(30):
        begin = killed + second * 500_000
        rows = [t.verdict == "served" for t in taken if begin <= t.sent_us < begin + 1_000_000]
        rows += [False for at in run.clients.unreached if begin <= at < begin + 1_000_000]
        if len(rows) > 5 and sum(rows) / len(rows) >= 0.98 * usual:
            return second * 0.5
    return -1.0


def _herd(run: FinishedRun) -> dict[str, int]:
    """What came at the coordinator and at the boxes in the 3 s after the last kill: in all, and most in
    any 100 ms."""
    killed = run.killed
    if not killed:
        return {}
    boxes = [at for m in run.world.machines.values() if m.kind == "box" for at in m.connects]
    out = {}
    for name, times in (("coordinator", run.coordinator.connects), ("boxes", boxes)):
        after = [at - killed for at in times if killed <= at < killed + 3_000_000]
        windows = Counter(at // 100_000 for at in after)
        out[f"{name}_connects"] = len(after)
        out[f"{name}_connects_most_100ms"] = max(windows.values(), default=0)
    return out


def report_of(run: FinishedRun, findings: Findings) -> dict[str, Any]:
    if run.clients.twice:
        findings.add("one answer", answers_twice=run.clients.twice)
    boxes = [m for m in run.world.machines.values() if m.kind == "box"]
    usage = resource.getrusage(resource.RUSAGE_CHILDREN)
    report = {
        "seed": run.seed,
        "cells": run.service is not None,
        "store": run.store,
        "full_after_s": _full_after(run),
        "misbehaves": run.misbehaves,
        "audited": findings.audited,
        "attempts": len(run.world.records.sends),
        "broken": findings.counts,
        "proofs": findings.broken[:20],
        "strays": _strays(run),
        "shifts": _shifts(run),
        "tenants": {name: shown(tally) for name, tally in sorted(run.clients.tallies.items())},
        "fills": sum(m.fills for m in boxes),
        "hits": sum(m.hits for m in boxes),
        "after_kill": _herd(run),
        "director_cpu_s": round(usage.ru_utime + usage.ru_stime, 2),
        "director_peak_mb": round(usage.ru_maxrss / 1024, 1),
    }
    return report


def shown(tally: ClientTally) -> dict[str, Any]:
    quantile = tally.latency.get_value_at_percentile
    return {
        "asked": tally.asked,
        "worth_asked": round(tally.worth_asked, 1),
        "worth_in_time": round(tally.worth_in_time, 1),
        "service": round(tally.worth_served / tally.worth_asked, 4) if tally.worth_asked else 1.0,
        "p50_ms": round(quantile(50) / 1000, 1),
        "p99_ms": round(quantile(99) / 1000, 1),
        "p999_ms": round(quantile(99.9) / 1000, 1),
        "served": tally.served,
        "refused": tally.refused,
        "told_when_to_return": tally.told_when,
        "failed": tally.failed,
        "retries": tally.retries,
    }
