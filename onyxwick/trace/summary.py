"""Summarises a trace: weights, verdicts, latencies, retries and fill sources, by name and by time.

The module takes tables in any order and returns a document for JSON. It makes one pass, and memory is bounded
by the number of names and of seconds. "Weight" is the priority weight of a request's class, which is credited
for an answer within the latency objective.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any, NamedTuple

import numpy as np
from hdrh.histogram import HdrHistogram

from onyxwick.interface import AnswerDetail
from onyxwick.trace import format as f
from onyxwick.trace.model import CLIENT_RETRY_FLAG, US_PER_S, VERDICT_WORDS, RecordedVerdict
from onyxwick.trace.table import Column, Table

WORST_WINDOW_S = 10
"""Length of the window with the worst service, in seconds."""
MS_US = 1000
MAX_LATENCY_US = 3_600_000_000
LATENCY_DIGITS = 3
SOURCE_TEXTS = {
    AnswerDetail.HIT: "hit",
    AnswerDetail.FILLED: "filled",
    AnswerDetail.FILLED_FROM_ORIGIN: "from the origin",
    AnswerDetail.COALESCED: "joined",
    AnswerDetail.STALE: "stale",
}
FILLS = (AnswerDetail.FILLED.value, AnswerDetail.FILLED_FROM_ORIGIN.value)


class Weights(NamedTuple):
    """Priority weight of each request: requested, credited within the objective, and credited in total."""

    requested: Column
    in_time: Column
    served: Column


def _share(part: float, total: float) -> float:
    return round(part / total, 4) if total else 1.0


def _latency_histogram() -> HdrHistogram:
    return HdrHistogram(1, MAX_LATENCY_US, LATENCY_DIGITS)


@dataclass(slots=True)
class SummaryGroup:
    """The requests of one class, tenant, cell or member."""

    counts: Column = field(default_factory=lambda: np.zeros(len(RecordedVerdict), np.int64))
    """Number of requests by verdict."""
    requested_weight: float = 0.0
    in_time_weight: float = 0.0
    served_weight: float = 0.0
    retries: int = 0
    attempts: int = 0
    bytes: int = 0
    latency: HdrHistogram = field(default_factory=_latency_histogram)
    """Time from arrival to answer of served requests, in microseconds."""

    def as_document(self) -> dict[str, Any]:
        """Return the figures of the group for JSON."""
        quantile = self.latency.get_value_at_percentile
        return {
            "requests": int(self.counts.sum()),
            **{word: int(self.counts[verdict]) for verdict, word in VERDICT_WORDS.items()},
            "worth": round(self.requested_weight, 1),
            "service": _share(self.served_weight, self.requested_weight),
            "in_time": _share(self.in_time_weight, self.requested_weight),
            "retries": self.retries,
            "attempts": self.attempts,
            "bytes": self.bytes,
            "p50_ms": round(quantile(50) / MS_US, 1),
            "p99_ms": round(quantile(99) / MS_US, 1),
            "p999_ms": round(quantile(99.9) / MS_US, 1),
        }


def record_values(histogram: HdrHistogram, values: Column) -> None:
    """Record many values, each rounded down to four significant digits.

    Each distinct rounded value is recorded once with its count.
    """
    if not len(values):
        return
    scale = np.maximum(1, 10 ** np.maximum(0, np.floor(np.log10(np.maximum(values, 1))) - 3)).astype(np.int64)
    unique, counts = np.unique(values // scale * scale, return_counts=True)
    for value, count in zip(unique.tolist(), counts.tolist(), strict=True):
        histogram.record_value(max(1, value), count)


class PriorityWeights:
    """Priority weights by class, taken from the header of a trace."""

    def __init__(self, header: f.FileHeader) -> None:
        self.classes = {str(fields["name"]): fields for fields in header.classes}

    def column(self, table: Table, name: str, default: float) -> Column:
        """Return for each request the value of a field of its class, or `default` if it is unknown."""
        numbers = table.requests["class"]
        figures = np.full(len(table), default)
        for number in np.unique(numbers):
            fields = self.classes.get(table.strings[int(number)], {})
            figures[numbers == number] = float(fields.get(name, default))
        return figures

    def of(self, table: Table) -> Weights:
        """Return the weights of each request.

        An answer after the latency objective and grace time of its class is credited with the late share of
        the class."""
        weight = self.column(table, "worth", 1.0)
        late_share = self.column(table, "late_worth", 0.0)
        limit_us = self.column(table, "aim_us", np.inf) + self.column(table, "grace_us", 0.0)
        served = table.requests["verdict"] == RecordedVerdict.SERVED
        in_time = served & (table.requests["took"] <= limit_us)
        return Weights(weight, weight * in_time, weight * (in_time + late_share * (served & ~in_time)))


class Summary:
    """Accumulates the figures of a trace. `add` tables in any order, then call `as_document`."""

    def __init__(self, header: f.FileHeader) -> None:
        self.weights = PriorityWeights(header)
        self.groups: dict[str, dict[str, SummaryGroup]] = {
            kind: {} for kind in ("class", "tenant", "cell", "member")
        }
        self.seconds: dict[int, list[float]] = {}
        """[requested, served] priority weight by Unix second."""
        self.sources: dict[str, int] = {}
        """Number of served requests by the source of the answer."""
        self.origin_bytes: dict[str, int] = {}
        """Number of bytes filled, by fill source."""
        self.total = SummaryGroup()
        self.dropped = 0
        self.request_count = 0

    def add(self, table: Table, dropped: int = 0) -> None:
        """Add a table. `dropped` is the number of requests that its block reports as omitted."""
        self.dropped += dropped
        self.request_count += len(table)
        if not len(table):
            return
        weights = self.weights.of(table)
        self._add_rows(self.total, table, np.ones(len(table), bool), weights)
        for kind in ("class", "tenant", "cell"):
            self._add_groups(kind, table, table.requests[kind], weights)
        self._add_groups("member", table, table.last_attempt("member"), weights)
        self._add_seconds(table, weights)
        self._add_sources(table)

    def _add_groups(self, kind: str, table: Table, numbers: Column, weights: Weights) -> None:
        groups = self.groups[kind]
        for number in np.unique(numbers):
            name = table.strings[int(number)]
            if name or kind == "class":
                group = groups.setdefault(name, SummaryGroup())
                self._add_rows(group, table, numbers == number, weights)

    @staticmethod
    def _add_rows(group: SummaryGroup, table: Table, rows: Column, weights: Weights) -> None:
        requests = table.requests
        verdicts = len(RecordedVerdict)
        group.counts += np.bincount(requests["verdict"][rows], minlength=verdicts)[:verdicts]
        group.requested_weight += float(weights.requested[rows].sum())
        group.in_time_weight += float(weights.in_time[rows].sum())
        group.served_weight += float(weights.served[rows].sum())
        group.retries += int((requests["flags"][rows] & CLIENT_RETRY_FLAG != 0).sum())
        group.attempts += int(requests["attempts"][rows].sum(dtype=np.int64))
        group.bytes += int(requests["bytes"][rows].sum(dtype=np.int64))
        served = rows & (requests["verdict"] == RecordedVerdict.SERVED)
        record_values(group.latency, requests["took"][served].astype(np.int64))

    def _add_seconds(self, table: Table, weights: Weights) -> None:
        seconds, positions = np.unique(table.requests["at"] // US_PER_S, return_inverse=True)
        requested = np.bincount(positions, weights.requested)
        served = np.bincount(positions, weights.served)
        for second, requested_sum, served_sum in zip(
            seconds.tolist(), requested.tolist(), served.tolist(), strict=True
        ):
            row = self.seconds.setdefault(second, [0.0, 0.0])
            row[0] += requested_sum
            row[1] += served_sum

    def _add_sources(self, table: Table) -> None:
        detail = table.serving_attempt("detail")
        served = table.requests["verdict"] == RecordedVerdict.SERVED
        for answer_detail, text in SOURCE_TEXTS.items():
            rows = served & (detail == answer_detail.value)
            if rows.any():
                self.sources[text] = self.sources.get(text, 0) + int(rows.sum())
        filled = served & np.isin(detail, FILLS)
        source = table.serving_attempt("source")
        for number in np.unique(source[filled]):
            name = table.strings[int(number)] or "unknown"
            rows = filled & (source == number)
            size = int(table.requests["bytes"][rows].sum(dtype=np.int64))
            self.origin_bytes[name] = self.origin_bytes.get(name, 0) + size

    def worst(self) -> dict[str, Any]:
        """Return the window of up to ten seconds in which the smallest share of requested weight was served.

        Returns an empty document if there are no requests.
        """
        if not self.seconds:
            return {}
        begin = min(self.seconds)
        end = max(self.seconds)
        rows = np.array([self.seconds.get(second, [0.0, 0.0]) for second in range(begin, end + 1)])
        length = min(WORST_WINDOW_S, len(rows))
        requested = np.convolve(rows[:, 0], np.ones(length), "valid")
        served = np.convolve(rows[:, 1], np.ones(length), "valid")
        share = np.where(requested > 0, served / np.maximum(requested, 1e-9), 1.0)
        at = int(share.argmin())
        return {"begin_unix": begin + at, "seconds": length, "service": round(float(share[at]), 4)}

    def as_document(self) -> dict[str, Any]:
        """Return all figures for JSON."""
        groups = {
            kind: {name: group.as_document() for name, group in sorted(rows.items())}
            for kind, rows in self.groups.items()
        }
        return {
            "requests": self.request_count,
            "dropped": self.dropped,
            "all": self.total.as_document(),
            "worst": self.worst(),
            "answers": self.sources,
            "fill_bytes": dict(sorted(self.origin_bytes.items())),
            **groups,
        }


def summarise(header: f.FileHeader, tables: Iterable[tuple[f.BlockHead, Table]]) -> Summary:
    """Return the summary of all blocks."""
    summary = Summary(header)
    for head, table in tables:
        summary.add(table, head.dropped)
    return summary
