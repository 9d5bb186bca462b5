"""Sweep of many runs, each in a separate process and as many at once as the machine has cores for, and the
comparison of their reports."""

from __future__ import annotations

import json
import os
import statistics
import subprocess
import sys
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path
from queue import Queue
from typing import Any

CORES_PER_RUN = 4  # about what a run of the usual size, six directors and the lab, keeps busy
PAIRED = ("before", "during", "worst_10s", "worst_class", "worst_tenant", "worst_site", "after", "whole")
ReportProgress = Callable[[str], None]


def at_once_here(simulated: bool = False) -> int:
    """Return the number of runs that this machine can run concurrently."""
    return max(1, (os.cpu_count() or 1) // (1 if simulated else CORES_PER_RUN))


@dataclass(frozen=True, slots=True)
class Plays:
    """Settings that all runs of a scenario share. `tree` is the source tree of the revision that is run as
    the variant `earlier`."""

    path: Path
    keep: Path | None = None
    tree: Path | None = None
    simulated: bool = False
    directors: int | None = None

    def one(self, seed: int, variant: str, slot: int) -> dict[str, Any]:
        """Run one seed in a separate process and return its report. Raises RuntimeError if it prints no
        report."""
        earlier = variant == "earlier"
        words = [sys.executable, "-m", "onyxwick", "lab", "faults", "run", str(self.path), "--json"]
        words += ["--seed", str(seed), "--variant", "plain" if earlier else variant, "--slot", str(slot)]
        words += ["--keep", str(self.keep / f"{self.path.stem}-{variant}-{seed}")] if self.keep else []
        words += ["--program", str(self.tree)] if earlier and self.tree else []
        words += ["--simulated"] if self.simulated else []
        words += ["--directors", str(self.directors)] if self.directors else []
        done = subprocess.run(words, capture_output=True, text=True, check=False)
        try:
            report = json.loads(done.stdout.splitlines()[-1])
        except (IndexError, ValueError):
            raise RuntimeError(
                f"{self.path.name}, seed {seed}, {variant}: no report, stderr: {done.stderr[-2000:]}"
            ) from None
        assert isinstance(report, dict)
        report["variant"] = variant
        return report


def sweep(
    all_plays: list[Plays],
    seeds: list[int],
    variants: list[str],
    at_once: int,
    report_progress: ReportProgress,
) -> list[dict[str, Any]]:
    """Run every scenario with every seed in every variant, and return the reports. The variant `earlier` is
    the plain variant of an earlier source tree."""
    slots: Queue[int] = Queue()
    for slot in range(at_once):
        slots.put(slot)

    def play(job: tuple[Plays, int, str]) -> dict[str, Any]:
        slot, (plays, seed, variant) = slots.get(), job
        try:
            report = plays.one(seed, variant, slot)
        finally:
            slots.put(slot)
        head = f"{plays.path.stem} seed {seed} {variant}"
        report_progress(
            f"{head}: during {report['during']}, broken {report['broken']} {report['late']}".rstrip()
        )
        return report

    jobs = [(plays, seed, variant) for seed in seeds for plays in all_plays for variant in variants]
    with ThreadPoolExecutor(at_once) as pool:
        return list(pool.map(play, jobs))


def paired(reports: list[dict[str, Any]], one_name: str, other_name: str) -> dict[str, Any]:
    """Compare two variants seed by seed: for each figure the median, least and greatest difference, and how
    many differences are positive. Runs whose own timers were late give no verdict and are left out."""
    by_seed: dict[int, dict[str, dict[str, Any]]] = {}
    for report in reports:
        if report["late"]:
            continue
        by_seed.setdefault(report["seed"], {})[report["variant"]] = report
    out: dict[str, Any] = {}
    for figure in PAIRED:
        pairs = [
            (row[one_name][figure], row[other_name][figure])
            for row in by_seed.values()
            if one_name in row and other_name in row
        ]
        if not pairs:
            continue
        gains = sorted(a - b for a, b in pairs)
        out[figure] = {
            one_name: round(statistics.median(a for a, _ in pairs), 4),
            other_name: round(statistics.median(b for _, b in pairs), 4),
            "gain": round(statistics.median(gains), 4),
            "least": round(gains[0], 4),
            "most": round(gains[-1], 4),
            "better": f"{sum(g > 0 for g in gains)} of {len(gains)}",
        }
    return out
