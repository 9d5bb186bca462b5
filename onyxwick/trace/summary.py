"""Figures of a trace by class, tenant, cell, member and time: one pass, memory bounded by the names and
windows."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

import numpy as np
from hdrh.histogram import HdrHistogram

from onyxwick.trace import format as f
from onyxwick.trace.model import RETRY, RecordedVerdict
from onyxwick.trace.table import Column, Table

SECOND = 1_000_000
WORST_S = 10
DIGITS = 1000  # latencies are kept to three digits before they are counted
HIT, FILLED, ORIGIN, JOINED, STALE = 1, 2, 3, 4, 5  # details of an answer
SOURCES = {HIT: "hit", FILLED: "filled", ORIGIN: "from the origin", JOINED: "joined", STALE: "stale"}


@dataclass(slots=True)
class SummaryGroup:
    """One class, tenant, cell or member."""

    counts: Column = field(default_factory=lambda: np.zeros(len(RecordedVerdict), np.int64))
    asked: float = 0.0  # worth, as are in_time and served
    in_time: float = 0.0
    served: float = 0.0
    retries: int = 0
    attempts: int = 0
    bytes: int = 0
    latency: HdrHistogram = field(default_factory=lambda: HdrHistogram(1, 3_600_000_000, 3))

    def shown(self) -> dict[str, Any]:
        quantile = self.latency.get_value_at_percentile
        return {
            "requests": int(self.counts.sum()),
            **{v.name.lower(): int(self.counts[v]) for v in RecordedVerdict},
            "worth": round(self.asked, 1),
            "service": round(self.served / self.asked, 4) if self.asked else 1.0,
            "in_time": round(self.in_time / self.asked, 4) if self.asked else 1.0,
            "retries": self.retries,
            "attempts": self.attempts,
            "bytes": self.bytes,
            "p50_ms": round(quantile(50) / 1000, 1),
            "p99_ms": round(quantile(99) / 1000, 1),
            "p999_ms": round(quantile(99.9) / 1000, 1),
        }


def record(histogram: HdrHistogram, values: Column) -> None:
    """Many values at once: each kept to three digits, each different one told with its count."""
    if not len(values):
        return
    scale = np.maximum(1, 10 ** np.maximum(0, np.floor(np.log10(np.maximum(values, 1))) - 3)).astype(np.int64)
    unique, counts = np.unique(values // scale * scale, return_counts=True)
    for value, count in zip(unique.tolist(), counts.tolist(), strict=True):
        histogram.record_value(max(1, value), count)


class PriorityWeights:
    """What requests are worth, by class; the header says it."""

    def __init__(self, header: f.FileHeader) -> None:
        self.classes = {str(c["name"]): c for c in header.classes}

    def column(self, table: Table, name: str, default: float) -> Column:
        """A class's figure for each request."""
        numbers = table.lives["class"]
        out = np.full(len(table), default)
        for number in np.unique(numbers):
            told = self.classes.get(table.strings[int(number)], {})
            out[numbers == number] = float(told.get(name, default))
        return out

    def of(self, table: Table) -> tuple[Column, Column, Column]:
        """Worth asked for, in time and served, each by request. What comes late earns the class's late
        part."""
        worth, late = self.column(table, "worth", 1.0), self.column(table, "late_worth", 0.0)
        limit = self.column(table, "aim_us", np.inf) + self.column(table, "grace_us", 0.0)
        served = table.lives["verdict"] == RecordedVerdict.SERVED
        in_time = served & (table.lives["took"] <= limit)
        return worth, worth * in_time, worth * (in_time + late * (served & ~in_time))


class Summary:
    """Add tables in any order, then ask for `shown`."""

    def __init__(self, header: f.FileHeader) -> None:
        self.worths = PriorityWeights(header)
        self.groups: dict[str, dict[str, SummaryGroup]] = {
            k: {} for k in ("class", "tenant", "cell", "member")
        }
        self.seconds: dict[int, list[float]] = {}  # second: [asked, served]
        self.sources: dict[str, int] = {}
        self.origin_bytes: dict[str, int] = {}
        self.whole = SummaryGroup()
        self.dropped = self.lives = 0

    def add(self, table: Table, dropped: int = 0) -> None:
        self.dropped += dropped
        self.lives += len(table)
        if not len(table):
            return
        worths = self.worths.of(table)
        everything = np.ones(len(table), bool)
        self._group(self.whole, table, everything, worths)
        for kind in ("class", "tenant", "cell"):
            self._groups(kind, table, table.lives[kind], worths)
        self._groups("member", table, table.last("member"), worths)
        self._seconds(table, worths)
        self._sources(table)

    def _groups(
        self, kind: str, table: Table, numbers: Column, worths: tuple[Column, Column, Column]
    ) -> None:
        groups = self.groups[kind]
        for number in np.unique(numbers):
            name = table.strings[int(number)]
            if name or kind == "class":
                self._group(groups.setdefault(name, SummaryGroup()), table, numbers == number, worths)

    def _group(
        self, group: SummaryGroup, table: Table, rows: Column, worths: tuple[Column, Column, Column]
    ) -> None:
        lives = table.lives
        group.counts += np.bincount(lives["verdict"][rows], minlength=len(RecordedVerdict))[
            : len(RecordedVerdict)
        ]
        asked, in_time, served = (float(w[rows].sum()) for w in worths)
        group.asked, group.in_time, group.served = (
            group.asked + asked,
            group.in_time + in_time,
            group.served + served,
        )
        group.retries += int((lives["flags"][rows] & RETRY != 0).sum())
        group.attempts += int(lives["attempts"][rows].sum(dtype=np.int64))
        group.bytes += int(lives["bytes"][rows].sum(dtype=np.int64))
        record(
            group.latency, lives["took"][rows & (lives["verdict"] == RecordedVerdict.SERVED)].astype(np.int64)
        )

    def _seconds(self, table: Table, worths: tuple[Column, Column, Column]) -> None:
        seconds = table.lives["at"] // SECOND
        unique, back = np.unique(seconds, return_inverse=True)
        asked = np.bincount(back, worths[0])
        served = np.bincount(back, worths[2])
        for second, a, s in zip(unique.tolist(), asked.tolist(), served.tolist(), strict=True):
            row = self.seconds.setdefault(second, [0.0, 0.0])
            row[0] += a
            row[1] += s

    def _sources(self, table: Table) -> None:
        detail = table.serving("detail")
        served = table.lives["verdict"] == RecordedVerdict.SERVED
        for number, name in SOURCES.items():
            rows = served & (detail == number)
            if rows.any():
                self.sources[name] = self.sources.get(name, 0) + int(rows.sum())
        filled = served & np.isin(detail, (FILLED, ORIGIN))
        source = table.serving("source")
        for number in np.unique(source[filled]):
            name, rows = table.strings[int(number)] or "unknown", filled & (source == number)
            size = int(table.lives["bytes"][rows].sum(dtype=np.int64))
            self.origin_bytes[name] = self.origin_bytes.get(name, 0) + size

    def worst(self) -> dict[str, Any]:
        """The ten seconds with the least service."""
        if not self.seconds:
            return {}
        begin, end = min(self.seconds), max(self.seconds)
        rows = np.array([self.seconds.get(s, [0.0, 0.0]) for s in range(begin, end + 1)])
        span = min(WORST_S, len(rows))
        asked = np.convolve(rows[:, 0], np.ones(span), "valid")
        served = np.convolve(rows[:, 1], np.ones(span), "valid")
        share = np.where(asked > 0, served / np.maximum(asked, 1e-9), 1.0)
        at = int(share.argmin())
        return {"begin_unix": begin + at, "seconds": span, "service": round(float(share[at]), 4)}

    def shown(self) -> dict[str, Any]:
        return {
            "requests": self.lives,
            "dropped": self.dropped,
            "all": self.whole.shown(),
            "worst": self.worst(),
            "answers": self.sources,
            "fill_bytes": dict(sorted(self.origin_bytes.items())),
            **{kind: {n: g.shown() for n, g in sorted(rows.items())} for kind, rows in self.groups.items()},
        }


def summarise(header: f.FileHeader, tables: Iterable[tuple[f.BlockHead, Table]]) -> Summary:
    out = Summary(header)
    for head, table in tables:
        out.add(table, head.dropped)
    return out
