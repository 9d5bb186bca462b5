"""Several runs of one scenario, each in a process of its own, and what they say of each other."""

from __future__ import annotations

import json
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

from onyxwick.lab.model import Scenario

CALM = "calm"
Variant = tuple[str, bool, str | None, bool]  # name, with cells, the fault that is played, with a store


def variants(scenario: Scenario) -> list[Variant]:
    """What a scenario is played as: with and without cells, with and without what misbehaves."""
    kinds = [("cells", True), ("whole", False)] if scenario.service else [("whole", False)]
    if faults := scenario.faults:
        return [(f"{n}-{f or CALM}", c, f, False) for n, c in kinds for f in (None, *faults)]
    if scenario.store:
        return [("lasting", scenario.service is not None, None, True), ("forgetful", False, None, False)]
    return [(name, cells, None, False) for name, cells in kinds]


def _play(path: Path, seed: int, variant: Variant, slot: int) -> dict[str, Any]:
    _, cells, misbehaves, store = variant
    words = ["--cells" if cells else "--no-cells", *(["--fault", misbehaves] if misbehaves else [])]
    words += ["--store"] if store else []
    command = [sys.executable, "-m", "onyxwick", "lab", "play", str(path), "--seed", str(seed), *words]
    done = subprocess.run([*command, "--slot", str(slot)], capture_output=True, text=True, check=False)
    if done.returncode not in (0, 1) or not done.stdout:
        raise RuntimeError(f"{variant[0]}, seed {seed}: {done.stderr[-2000:]}")
    out = json.loads(done.stdout)
    assert isinstance(out, dict)
    return out


def play_all(path: Path, scenario: Scenario, seeds: list[int], at_once: int) -> list[dict[str, Any]]:
    """Every variant with every seed; `at_once` runs go on beside each other."""
    jobs = [(seed, variant) for seed in seeds for variant in variants(scenario)]
    with ThreadPoolExecutor(at_once) as pool:
        runs = pool.map(lambda j: _play(path, j[1][0], j[1][1], j[0]), list(enumerate(jobs)))
        return [{"variant": variant[0], **run} for (_, variant), run in zip(jobs, runs, strict=True)]


def _service(run: dict[str, Any], tenants: set[str]) -> float:
    rows = [row for name, row in run["tenants"].items() if name in tenants]
    asked = sum(row["worth_asked"] for row in rows)
    return sum(row["service"] * row["worth_asked"] for row in rows) / asked if asked else 1.0


def neighbours(scenario: Scenario) -> tuple[set[str], set[str]]:
    """The well-behaved tenants that share no cell with one that misbehaves, and those that do."""
    bad = {load.name for load in scenario.loads if load.faults}
    good = {load.name for load in scenario.loads} - bad
    if scenario.service is None:
        return good, set()
    from onyxwick.config.service import load as read

    plan = read(scenario.service).cell_plan
    assert plan is not None
    homes = {name: set(tenant.cells) for name, tenant in plan.tenants.items()}
    spoilt = {cell for name in bad for cell in homes.get(name, ())}
    beside = {name for name in good if homes.get(name, set()) & spoilt}
    return good - beside, beside


def summary(scenario: Scenario, runs: list[dict[str, Any]]) -> dict[str, Any]:
    """For each seed: the service of those in other cells, and what the misbehaving tenant cost them."""
    apart, beside = neighbours(scenario)
    by_seed: dict[int, dict[str, dict[str, Any]]] = {}
    for run in runs:
        by_seed.setdefault(run["seed"], {})[run["variant"]] = run
    rows = []
    for seed, played in sorted(by_seed.items()):
        row: dict[str, Any] = {"seed": seed}
        for name, run in played.items():
            row[f"service_{name}"] = round(_service(run, apart), 4)
            row[f"beside_{name}"] = round(_service(run, beside), 4)
            if run["full_after_s"] is not None:
                row[f"full_after_s_{name}"] = run["full_after_s"]
            if shifts := run["shifts"]:
                row[f"moved_{name}"] = round(_service(run, set(shifts)), 4)
                row[f"over_{name}"] = min(shares[-2] for shares in shifts.values())  # the last whole window
        for kind in ("cells", "whole"):
            calm = row.get(f"service_{kind}-{CALM}")
            for fault in scenario.faults if calm else ():
                bad = row[f"service_{kind}-{fault}"]
                row[f"loss_{kind}-{fault}"] = round((calm - bad) / calm, 4)
        rows.append(row)
    # Without its store a director is expected to forget: that shows what the store is for.
    broken = {f"{r['variant']}/{r['seed']}": r["broken"] for r in runs if r["broken"]}
    forgot = {name: broken.pop(name) for name in list(broken) if name.startswith("forgetful/")}
    return {
        "scenario": scenario.name,
        "apart": sorted(apart),
        "beside": sorted(beside),
        "seeds": rows,
        "audited": sum(run["audited"] for run in runs),
        "broken": broken,
        "forgetful": forgot,
        "unmet": unmet(scenario, rows, broken),
    }


def unmet(scenario: Scenario, rows: list[dict[str, Any]], broken: dict[str, Any]) -> list[str]:
    """The scenario's bounds that a seed did not keep, and broken rules."""
    out = [f"rules broken in {name}: {what}" for name, what in broken.items()]
    for name, least in scenario.bounds:
        for row in rows:
            if name in row and row[name] < least:
                out.append(f"seed {row['seed']}: {name} is {row[name]}, under {least}")
            # A loss has a greatest value: written as its negative.
            if name.startswith("most_") and row.get(name[5:], 0.0) > least:
                out.append(f"seed {row['seed']}: {name[5:]} is {row[name[5:]]}, over {least}")
    return out
