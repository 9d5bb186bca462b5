"""Runs soaks of several seeds, one after the other, and shrinks the plans of those that fail."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable, Iterator
from dataclasses import replace
from pathlib import Path

import uvloop

from onyxwick.lab.soak.report import SoakPlan, SoakReport
from onyxwick.lab.soak.run import Soak

FINISHED_LOOPS: list[asyncio.AbstractEventLoop] = []
"""Event loops of finished runs, which are never closed: about one in a hundred closes blocked forever within
uvloop, with nothing of the run left. Each loop holds a few descriptors until the process ends."""
INITIAL_PARTS = 8  # the shrinker first divides the faults into this many parts


def play(plan: SoakPlan, keep: Path | None = None, slot: int = 0) -> SoakReport:
    """Run one soak and return its report. `keep`: folder for the files of a run with findings.

    Soaks that run at the same time need different values of `slot`, which chooses their addresses.
    """

    loop = uvloop.new_event_loop()
    FINISHED_LOOPS.append(loop)
    asyncio.set_event_loop(loop)
    try:
        return loop.run_until_complete(_run_soak(plan, keep, slot))
    finally:
        asyncio.set_event_loop(None)


async def _run_soak(plan: SoakPlan, keep: Path | None, slot: int) -> SoakReport:
    report = await Soak(plan, slot, keep).play()
    tasks = asyncio.all_tasks() - {asyncio.current_task()}
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    return report


def shrink_plan(plan: SoakPlan, fails: Callable[[SoakPlan], bool], plays: int) -> SoakPlan:
    """Return a plan with fewer faults that still fails, by dropping smaller and smaller parts of the faults
    (delta debugging: Zeller and Hildebrandt 2002). `plays`: the largest number of runs."""
    kept = [fault.number for fault in plan.faults()]
    size = max(1, len(kept) // INITIAL_PARTS)
    at = 0
    while plays > 0 and kept:
        rest = kept[:at] + kept[at + size :]
        plays -= 1
        if len(rest) < len(kept) and fails(replace(plan, only=tuple(rest))):
            kept = rest
        else:
            at += size
        if at >= len(kept):
            if size == 1:
                break
            size, at = max(1, size // 2), 0
    return replace(plan, only=tuple(kept))


def play_all(
    seeds: Iterable[int],
    directors: int,
    seconds: float,
    only: tuple[int, ...] | None,
    keep: Path | None,
    shrink: int,
    tree: Path | None = None,
    slot: int = 0,
) -> Iterator[SoakReport]:
    """Yield a report for each seed and, after a failed one, the report of its shrink_plan plan."""
    for seed in seeds:
        plan = SoakPlan(seed, directors, seconds, only, tree)
        report = play(plan, keep, slot)
        yield report
        if report.findings and shrink:
            rules = {finding.rule for finding in report.findings}

            def fails(tried: SoakPlan, rules: set[str] = rules) -> bool:
                return bool(rules & {finding.rule for finding in play(tried, None, slot).findings})

            yield play(shrink_plan(plan, fails, shrink), keep, slot)
