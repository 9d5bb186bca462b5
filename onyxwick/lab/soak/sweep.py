"""Soaks of several seeds, one after the other, and the shrinker of those that fail."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable, Iterator
from dataclasses import replace
from pathlib import Path

import uvloop

from onyxwick.lab.soak.report import SoakPlan, SoakReport
from onyxwick.lab.soak.run import Soak

LOOPS: list[asyncio.AbstractEventLoop] = []
"""Of runs that are over, never closed: one in some hundred closes was seen to wait for good, within uvloop,
with nothing of the run left. Each holds a few descriptors until the process ends."""
CHUNKS = 8  # parts of the faults that are dropped at once at first


def play(plan: SoakPlan, keep: Path | None = None) -> SoakReport:
    """One run."""

    loop = uvloop.new_event_loop()
    LOOPS.append(loop)
    asyncio.set_event_loop(loop)
    try:
        return loop.run_until_complete(_played(plan, keep))
    finally:
        asyncio.set_event_loop(None)


async def _played(plan: SoakPlan, keep: Path | None) -> SoakReport:
    report = await Soak(plan, keep=keep).play()
    tasks = asyncio.all_tasks() - {asyncio.current_task()}
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    return report


def shrunk(plan: SoakPlan, fails: Callable[[SoakPlan], bool], plays: int) -> SoakPlan:
    """A plan with fewer faults that still fails: parts are dropped, ever smaller ones, while it does
    (delta debugging: Zeller and Hildebrandt 2002). `plays`: tried at most."""
    kept = [fault.number for fault in plan.faults()]
    size = max(1, len(kept) // CHUNKS)
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
) -> Iterator[SoakReport]:
    """A report for each seed; after one that failed, that of its plan with fewer faults."""
    for seed in seeds:
        plan = SoakPlan(seed, directors, seconds, only, tree)
        report = play(plan, keep)
        yield report
        if report.findings and shrink:
            rules = {finding.rule for finding in report.findings}

            def fails(tried: SoakPlan, rules: set[str] = rules) -> bool:
                return bool(rules & {finding.rule for finding in play(tried).findings})

            yield play(shrunk(plan, fails, shrink), keep)
