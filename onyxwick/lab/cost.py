"""What cells cost: the deciders alone in a process each, and the whole program beside an earlier revision."""

from __future__ import annotations

import json
import math
import statistics
import subprocess
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import replace
from pathlib import Path
from typing import Any

from onyxwick.cells import Cell, CellPlan, CellRouter, TenantSpec
from onyxwick.cells.placement import CellOrderCache, compute_placement
from onyxwick.interface import (
    AnswerDetail,
    AttemptEnded,
    AttemptStatus,
    EndpointListKind,
    EndpointsChanged,
    ForwardRequest,
    ForwardWithFill,
    Member,
    MemberState,
    RequestArrived,
    RequestRouter,
    RouterSettings,
    TimerFired,
)
from onyxwick.lab.model import Scenario
from onyxwick.routing import Router

S = 1_000_000
OPEN = 40  # requests under way at once in the measurement of a decider
OBJECTS = 5000


def _settings(scenario: Scenario) -> RouterSettings:
    from onyxwick.lab.platform import settings
    from onyxwick.settings import SettingValues, read_settings

    return read_settings(SettingValues.from_json({**settings(scenario), "self_index": 0}))


def _resident_kb() -> int:
    for line in Path("/proc/self/status").read_text().splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1])
    return 0


def decider(
    scenario: Scenario, cells: int, boxes: int, tenants: int, requests: int, sites: int = 0
) -> dict[str, Any]:
    """Processor time (us) and memory (kB) of one decider; `cells` 0: the router alone, as with cells off;
    `sites`: so many, all of them steady."""
    told, now = _settings(scenario), 100 * S
    before = _resident_kb()
    if cells:
        rows = {f"t{n}": TenantSpec(f"t{n}", cells=(f"c{n % cells}",)) for n in range(tenants)}
        plan = CellPlan({f"c{n}": Cell(f"c{n}") for n in range(cells)}, rows)
        router: RequestRouter = CellRouter(told, 7, now, plan, 2000)
    elif sites:
        router = _with_sites(told, now, sites)
    else:
        router = Router(told, 7, now)
    members = [Member(f"b{n:04d}", told.zone, "box", 0, MemberState.READY, 6.0, 0) for n in range(boxes)]
    members += [Member(f"p{n}", "hub", "parent", 0, MemberState.READY, 30.0, 0) for n in range(2)]
    members.append(Member("o", "hub", "origin", 0, MemberState.READY, 60.0, 0))
    members += [Member(f"s{n}", f"s{n:03d}", "box", 0, MemberState.READY, 6.0, 0) for n in range(1, sites)]
    router.handle(now, [EndpointsChanged(EndpointListKind.SNAPSHOT, tuple(members))])
    spent, served = _drive(router, told.classes[0].name, now, tenants, requests)
    return {
        "cells": cells,
        "sites": sites,
        "boxes": boxes,
        "tenants": tenants,
        "us_a_request": round(spent / requests * 1e6, 1),
        "served": served,
        "memory_kb": _resident_kb() - before,
    }


def _with_sites(told: RouterSettings, now: int, count: int) -> RequestRouter:
    from onyxwick.lab.plans import topology
    from onyxwick.sites import SitePlan, SiteRouter

    top = topology(count)
    own = replace(top.sites["s000"], zone=told.zone)
    top = replace(top, sites={**top.sites, "s000": own})
    return SiteRouter(told, 7, now, top, SitePlan(top))


def _drive(
    router: RequestRouter, class_name: str, now: int, tenants: int, requests: int
) -> tuple[float, int]:
    """Arrivals 2 ms apart, each answered when `OPEN` later ones have come; seconds spent, how many served."""
    out: list[tuple[str, str]] = []
    served, begin = 0, time.process_time()
    for n in range(requests):
        now += 2000
        ask = RequestArrived(
            f"r{n}", class_name, f"o{n * 7919 % OBJECTS}", 3 * S, object_group=1, tenant=f"t{n % tenants}"
        )
        for action in router.handle(now, [ask]):
            if isinstance(action, ForwardRequest | ForwardWithFill):
                out.append((action.request_id, action.member))
        if len(out) > OPEN:
            request, member = out.pop(0)
            end = AttemptEnded(request, 0, member, AttemptStatus.OK, OPEN * 2000, True, AnswerDetail.HIT)
            router.handle(now, [end])
            served += 1
        if n % 500 == 0:
            router.handle(now, [TimerFired("cells"), TimerFired("due")])
        if n % 50 == 0:
            router.handle(now, [TimerFired("sites")])
    return time.process_time() - begin, served


def placement(cells: int, span: int, boxes: int, tenants: int) -> dict[str, Any]:
    """Placing tenants on a fleet: seconds, what a lost hundredth of the boxes moves, and the share of tenants
    that one lost cell touches beside what the arithmetic gives."""
    fleet = [
        Member(f"box-{n:05d}", f"depot-{n % 10}", "box", 0, MemberState.READY, 6.0, 0) for n in range(boxes)
    ]
    rows = {f"t{n}": TenantSpec(f"t{n}", span=span) for n in range(tenants)}
    plan, draws, begin = (
        CellPlan({f"c{n}": Cell(f"c{n}") for n in range(cells)}, rows),
        CellOrderCache(),
        time.perf_counter(),
    )
    before = compute_placement(plan, fleet, ("parent", "origin"), draws)
    first, begin = time.perf_counter() - begin, time.perf_counter()
    after = compute_placement(plan, fleet[boxes // 100 :], ("parent", "origin"), draws)
    again = time.perf_counter() - begin
    homes = before.cells_of_tenant
    moved = sum(set(after.cells_of_tenant[t]) != set(homes[t]) for t in homes) / tenants
    touched = [sum(cell in home for home in homes.values()) / tenants for cell in plan.cells]
    sets = Counter(frozenset(home) for home in homes.values())
    return {
        "cells": cells,
        "span": span,
        "boxes": boxes,
        "tenants": tenants,
        "seconds": round(first, 3),
        "seconds_again": round(again, 3),
        "tenants_moved": round(moved, 4),
        "boxes_moved": sum(after.cell_of_cache[m] != before.cell_of_cache[m] for m in after.cell_of_cache),
        "touched": {"mean": round(statistics.mean(touched), 4), "most": round(max(touched), 4)},
        "touched_by_arithmetic": round(span / cells, 4),
        "same_cells": round(sum(n * (n - 1) for n in sets.values()) / (tenants * (tenants - 1)), 5),
        "same_by_arithmetic": round(1 / math.comb(cells, span), 5),
    }


def in_processes(
    path: Path, rows: list[tuple[int, int, int]], requests: int, runs: int
) -> list[dict[str, Any]]:
    """Each (cells, boxes, tenants) `runs` times, in turn, each time in a process of its own; medians."""
    told: dict[tuple[int, int, int], list[dict[str, Any]]] = {row: [] for row in rows}
    for _ in range(runs):
        for row in rows:
            words = [
                sys.executable,
                "-m",
                "onyxwick",
                "lab",
                "decider",
                str(path),
                "--requests",
                str(requests),
            ]
            for name, value in zip(("--cells", "--boxes", "--tenants"), row, strict=True):
                words += [name, str(value)]
            done = subprocess.run(words, capture_output=True, text=True, check=True)
            told[row].append(json.loads(done.stdout))
    out = []
    for group in told.values():
        costs = [one["us_a_request"] for one in group]
        memory = int(statistics.median(one["memory_kb"] for one in group))
        out.append(
            {
                **group[0],
                "us_a_request": statistics.median(costs),
                "us_least": min(costs),
                "us_most": max(costs),
                "memory_kb": memory,
            }
        )
    return out


@contextmanager
def tree_of(revision: str | None) -> Iterator[Path | None]:
    """The files of an earlier revision, for as long as they are wanted; None for none."""
    if revision is None:
        yield None
        return
    with tempfile.TemporaryDirectory() as folder:
        tree = Path(folder) / "earlier"
        subprocess.run(["git", "worktree", "add", "-q", "--detach", str(tree), revision], check=True)
        try:
            yield tree
        finally:
            subprocess.run(["git", "worktree", "remove", "--force", str(tree)], check=True)


def against(path: Path, revision: str, pairs: int, seed: int) -> dict[str, Any]:
    """The program of this tree and of an earlier revision, alternating, at the same seeds with cells off:
    processor seconds of the director over the whole run, and its peak memory; ratios pair by pair."""
    with tree_of(revision) as tree:
        rows = [
            {name: _one(path, seed + n, program) for name, program in (("now", None), ("earlier", tree))}
            for n in range(pairs)
        ]
    return {"revision": revision, "runs": rows, **_ratios(rows, "now", "earlier")}


def tracing(path: Path, pairs: int, seed: int) -> dict[str, Any]:
    """The director with a trace and without, alternating, at the same seeds; and once more without, which
    tells the noise."""
    rows = []
    for n in range(pairs):
        with tempfile.TemporaryDirectory() as folder:
            rows.append(
                {
                    "on": _one(path, seed + n, trace=Path(folder)),
                    "off": _one(path, seed + n, trace=Path(folder), idle=True),
                    "again": _one(path, seed + n, trace=Path(folder), idle=True),
                }
            )
    return {"runs": rows, "on": _ratios(rows, "on", "off"), "noise": _ratios(rows, "again", "off")}


def storing(path: Path, pairs: int, seed: int) -> dict[str, Any]:
    """The director with a store (bookings' intents durable before their send) and without, alternating, at
    the same seeds; and once more without, which tells the noise."""
    rows = [
        {
            "on": _one(path, seed + n, store=True),
            "off": _one(path, seed + n),
            "again": _one(path, seed + n),
        }
        for n in range(pairs)
    ]
    return {"runs": rows, "on": _ratios(rows, "on", "off"), "noise": _ratios(rows, "again", "off")}


def _ratios(rows: list[dict[str, dict[str, Any]]], one: str, other: str) -> dict[str, Any]:
    """Ratios pair by pair: median and ends."""
    out = {}
    for figure in ("director_cpu_s", "director_peak_mb", "p99_ms"):
        ratios = sorted(row[one][figure] / row[other][figure] for row in rows)
        out[figure] = {
            "median": round(statistics.median(ratios), 4),
            "least": round(ratios[0], 4),
            "most": round(ratios[-1], 4),
        }
    return out


def _one(
    path: Path,
    seed: int,
    program: Path | None = None,
    trace: Path | None = None,
    idle: bool = False,
    store: bool = False,
) -> dict[str, Any]:
    words = [sys.executable, "-m", "onyxwick", "lab", "play", str(path), "--seed", str(seed), "--no-cells"]
    words += ["--store"] if store else []
    words += ["--program", str(program)] if program else []
    words += ["--trace", str(trace)] if trace else []
    words += ["--idle"] if idle else []
    done = subprocess.run(words, capture_output=True, text=True, check=False)
    if done.returncode not in (0, 1):
        raise RuntimeError(done.stderr[-2000:])
    told = json.loads(done.stdout)
    kept = ("audited", "broken", "director_cpu_s", "director_peak_mb")
    worst = max(row["p99_ms"] for row in told["tenants"].values())
    return {name: told[name] for name in kept} | {"p99_ms": worst}
