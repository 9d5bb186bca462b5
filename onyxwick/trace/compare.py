"""Compares the lost priority weight of two traces, or of two time windows of one trace, by name.

The module takes the losses of both and returns rows by class, tenant, cell, member, source, outcome and
reason, sorted by descending absolute difference. Lost weight is the difference between the requested weight,
which all requests would be credited with if they were answered within their latency objectives, and the
weight credited for the recorded answers.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

import numpy as np

from onyxwick.trace import format as f
from onyxwick.trace.model import (
    NOT_ENDED_STATUS,
    REASON_WORDS,
    STATUS_WORDS,
    VERDICT_WORDS,
    DecisionReason,
)
from onyxwick.trace.summary import PriorityWeights
from onyxwick.trace.table import Column, Table

MIN_DIFFERENCE = 0.0005
"""Rows whose difference is below this share of the total weight are not listed."""
REASON_COUNT = 256
DETAIL_COUNT = 16
"""Number of distinct answer details. Higher detail numbers are counted as the last one."""


@dataclass(slots=True)
class Losses:
    """Requested and lost priority weight, in total and for each class, tenant, member and so on."""

    requested: float = 0.0
    lost: float = 0.0
    by_name: dict[tuple[str, str], list[float]] = field(default_factory=dict)
    """The [requested, lost] weight by kind and name, for example by ("tenant", the tenant's name). The kinds
    are those of `_names`: class, tenant, cell, member, source, outcome, cause, choice and verdict."""

    def add(self, header: f.FileHeader, table: Table) -> None:
        """Add the requests of a table."""
        if not len(table):
            return
        weights = PriorityWeights(header).of(table)
        requested = weights.requested
        lost = requested - weights.served
        self.requested += float(requested.sum())
        self.lost += float(lost.sum())
        for kind, (numbers, names) in _names(table).items():
            requested_sums = np.bincount(numbers, requested, len(names))
            lost_sums = np.bincount(numbers, lost, len(names))
            for number in np.unique(numbers).tolist():
                row = self.by_name.setdefault((kind, names[number]), [0.0, 0.0])
                row[0] += float(requested_sums[number])
                row[1] += float(lost_sums[number])

    @property
    def service(self) -> float:
        """Return the share of the requested weight that was not lost; 1.0 if no weight was requested."""
        return round(1 - self.lost / self.requested, 4) if self.requested else 1.0


def _names(table: Table) -> dict[str, tuple[Column, list[str]]]:
    """Return for each kind of name (class, tenant and so on) the name number of each request, and the names.

    The number of a request is an index into the list of names.
    """
    strings = table.strings.names
    requests = table.requests
    names = {kind: (requests[kind].astype(np.int64), strings) for kind in ("class", "tenant", "cell")}
    names["member"] = (table.last_attempt("member"), strings)
    names["source"] = (table.last_attempt("source"), strings)
    names["outcome"] = _outcomes(table)
    unknown = REASON_WORDS[DecisionReason.UNKNOWN]
    words_by_number = {int(reason): word for reason, word in REASON_WORDS.items()}
    reasons = [words_by_number.get(number, unknown) for number in range(REASON_COUNT)]
    names["cause"] = (requests["why"].astype(np.int64), reasons)
    names["choice"] = (table.last_attempt("why"), reasons)
    names["verdict"] = (requests["verdict"].astype(np.int64), list(VERDICT_WORDS.values()))
    return names


def _outcomes(table: Table) -> tuple[Column, list[str]]:
    """Return names that combine status and detail, and for each request the name number of its last
    attempt."""
    status = np.minimum(table.last_attempt("status", NOT_ENDED_STATUS), len(STATUS_WORDS))
    detail = np.minimum(table.last_attempt("detail"), DETAIL_COUNT - 1)
    names = [f"{word} / {number}" for word in (*STATUS_WORDS, "none") for number in range(DETAIL_COUNT)]
    return status * DETAIL_COUNT + detail, names


def losses(header: f.FileHeader, tables: Iterable[Table]) -> Losses:
    """Return the total losses of all tables."""
    total = Losses()
    for table in tables:
        total.add(header, table)
    return total


def _share(part: float, total: float) -> float:
    return part / total if total else 0.0


def compare(a: Losses, b: Losses) -> dict[str, Any]:
    """Compare B with A and return a document for JSON.

    Each row states how much larger the share of the total weight lost under a name is in B (`lost_more`). The
    row splits this difference into the part caused by a larger share of such requests (`by_more_of_it`) and
    the part caused by a higher loss rate (`by_worse_service`).
    """
    rows = [_row(kind, name, a, b) for kind, name in sorted(set(a.by_name) | set(b.by_name))]
    listed = [row for row in rows if row is not None]
    listed.sort(key=lambda row: -abs(row["lost_more"]))
    return {"service_a": a.service, "service_b": b.service, "rows": listed}


def _row(kind: str, name: str, a: Losses, b: Losses) -> dict[str, Any] | None:
    requested_a, lost_a = a.by_name.get((kind, name), [0.0, 0.0])
    requested_b, lost_b = b.by_name.get((kind, name), [0.0, 0.0])
    lost_more = _share(lost_b, b.requested) - _share(lost_a, a.requested)
    if abs(lost_more) < MIN_DIFFERENCE:
        return None
    rate_a = _share(lost_a, requested_a)
    rate_b = _share(lost_b, requested_b)
    part_a = _share(requested_a, a.requested)
    part_b = _share(requested_b, b.requested)
    return {
        "kind": kind,
        "name": name,
        "lost_more": round(lost_more, 4),
        "by_more_of_it": round((part_b - part_a) * (rate_a + rate_b) / 2, 4),
        "by_worse_service": round((rate_b - rate_a) * (part_a + part_b) / 2, 4),
        "loss_a": round(rate_a, 4),
        "loss_b": round(rate_b, 4),
    }
