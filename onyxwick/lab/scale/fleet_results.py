"""Results of a fleet run: delays, losses and sums computed from the hosts' reports."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import numpy as np

from onyxwick.lab.scale.hollow import ObservationKind


@dataclass
class Published:
    """Publication times of all events, in nanoseconds of the monotonic clock."""

    purges: list[int] = field(default_factory=list)
    lists: list[int] = field(default_factory=list)
    documents: list[int] = field(default_factory=list)


class AppliedEvents:
    """The events that all directors applied, combined from the hosts' reports."""

    def __init__(self, reports: list[dict[str, Any]]) -> None:
        def column(name: str, kind: str) -> Any:
            return np.concatenate([np.frombuffer(r["observations"][name], dtype=kind) for r in reports])

        self.kinds, self.directors = column("kinds", "i1"), column("directors", "i4")
        self.published, self.delay = column("published_ns", "i8"), column("delays_ms", "f4")
        self.since: dict[int, int] = {}
        for report in reports:
            self.since |= report["since_ns"]
        started = np.zeros(max(self.since, default=0) + 1, dtype="i8")
        for number, since in self.since.items():
            started[number] = since
        # Events published before a restarted director's start are left out of the delays: it loads them when
        # it starts, so the time since their publication is no delay.
        self.while_up = self.published >= started[self.directors]

    def delays(self, kind: ObservationKind, below: int = 1 << 30) -> dict[str, float]:
        """Return quantiles of the time from publication to application, in milliseconds.

        Only directors whose number is less than `below` are counted.
        """
        chosen = self.delay[(self.kinds == kind.value) & (self.directors < below) & self.while_up]
        if not len(chosen):
            return {"count": 0}
        quantiles = np.percentile(chosen, [50, 99, 100])
        names = ("p50", "p99", "last")
        return {
            "count": len(chosen),
            **{n: round(float(v), 1) for n, v in zip(names, quantiles, strict=True)},
        }

    def lost(self, published: list[int]) -> int:
        """Count purges published since a director's start that it never applied, over all directors."""
        purges = np.array(sorted(published))
        mask = self.kinds == ObservationKind.PURGE.value
        directors, times = self.directors[mask], self.published[mask]
        lost = 0
        for number, since in self.since.items():
            had = np.unique(times[(directors == number) & (times >= since)])
            lost += int(len(purges) - int(np.searchsorted(purges, since)) - len(had))
        return lost

    def after_restart(self) -> dict[str, float]:
        """Return median and maximum time from a restarted director's start to its first event, in ms."""
        latest = min(self.since.values()) + 5_000_000_000
        chosen = [n for n, since in self.since.items() if since > latest]
        first = []
        for number in chosen:
            mask = (self.directors == number) & (self.published + self.delay * 1e6 > self.since[number])
            applied = self.published[mask] + self.delay[mask].astype("f8") * 1e6
            if len(applied):
                first.append((float(applied.min()) - self.since[number]) / 1e6)
        if not first:
            return {"count": 0}
        return {"count": len(first), "p50": round(float(np.median(first)), 1), "last": round(max(first), 1)}


def short_status(status: dict[str, Any]) -> dict[str, Any]:
    """Return a node's status with its documents replaced by their number."""
    return status | {"documents": len(status.get("documents", {}))}


def machine_cpu_ticks() -> tuple[float, float]:
    """Return the busy and the total processor time since boot, in ticks summed over all cores."""
    fields = [float(word) for word in Path("/proc/stat").read_text().splitlines()[0].split()[1:9]]
    return sum(fields) - fields[3] - fields[4], sum(fields)


def sum_counts(reports: list[dict[str, Any]], name: str) -> dict[str, int]:
    """Sum a group of counts over all hosts."""
    out: dict[str, int] = {}
    for key, value in _pairs(reports, name):
        out[key] = out.get(key, 0) + value
    return out


def largest_table_sizes(reports: list[dict[str, Any]]) -> dict[str, int]:
    """Return the size of the largest table of each kind at any director."""
    out: dict[str, int] = {}
    for key, value in _pairs(reports, "largest_tables"):
        out[key] = max(out.get(key, 0), value)
    return out


def _pairs(reports: list[dict[str, Any]], name: str) -> Iterator[tuple[str, int]]:
    for report in reports:
        yield from report[name].items()
