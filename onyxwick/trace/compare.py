"""What differs most between two traces, or two windows of one: which class, member, source or cause
accounts for the worth that was lost more."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

import numpy as np

from onyxwick.trace import format as f
from onyxwick.trace.model import OPEN_STATUS, STATUSES, DecisionReason, RecordedVerdict
from onyxwick.trace.summary import PriorityWeights
from onyxwick.trace.table import Column, Table

KINDS = ("class", "tenant", "cell", "member", "source", "outcome", "cause", "choice", "verdict")
LEAST = 0.0005  # of all worth: a smaller difference is not listed


@dataclass(slots=True)
class Losses:
    """Worth asked for and lost, by every kind of name."""

    asked: float = 0.0
    lost: float = 0.0
    by: dict[tuple[str, str], list[float]] = field(default_factory=dict)  # (kind, name): [asked, lost]

    def add(self, header: f.FileHeader, table: Table) -> None:
        if not len(table):
            return
        asked, _, served = PriorityWeights(header).of(table)
        lost = asked - served
        self.asked += float(asked.sum())
        self.lost += float(lost.sum())
        for kind, names in _names(table).items():
            self._by(kind, names, asked, lost)

    def _by(self, kind: str, names: tuple[Column, list[str]], asked: Column, lost: Column) -> None:
        numbers, texts = names
        sums = np.bincount(numbers, asked, len(texts)), np.bincount(numbers, lost, len(texts))
        for n in np.unique(numbers).tolist():
            row = self.by.setdefault((kind, texts[n]), [0.0, 0.0])
            row[0] += float(sums[0][n])
            row[1] += float(sums[1][n])


def _names(table: Table) -> dict[str, tuple[Column, list[str]]]:
    """For each request a number in a list of names, by every kind."""
    texts, lives = table.strings.names, table.lives
    out = {k: (lives[k].astype(np.int64), texts) for k in ("class", "tenant", "cell")}
    out["member"] = (table.last("member"), texts)
    out["source"] = (table.last("source"), texts)
    status, detail = table.last("status", OPEN_STATUS), table.last("detail")
    ends = [f"{s} / {d}" for s in (*STATUSES, "none") for d in range(16)]
    out["outcome"] = (np.minimum(status, len(STATUSES)) * 16 + np.minimum(detail, 15), ends)
    whys = [
        w.name.lower() if w in DecisionReason._value2member_map_ else str(w) for w in map(_why, range(256))
    ]
    out["cause"] = (lives["why"].astype(np.int64), whys)
    out["choice"] = (table.last("why"), whys)
    out["verdict"] = (lives["verdict"].astype(np.int64), [v.name.lower() for v in RecordedVerdict])
    return out


def _why(number: int) -> DecisionReason:
    return DecisionReason(number) if number in DecisionReason._value2member_map_ else DecisionReason.UNKNOWN


def losses(header: f.FileHeader, tables: Iterable[Table]) -> Losses:
    out = Losses()
    for table in tables:
        out.add(header, table)
    return out


def compare(a: Losses, b: Losses) -> dict[str, Any]:
    """B against A. Each row: how much of all worth was lost more under that name, which part of it by more of
    such requests and which by more loss on each; the largest first."""
    rows = []
    for kind, name in sorted(set(a.by) | set(b.by)):
        asked_a, lost_a = a.by.get((kind, name), [0.0, 0.0])
        asked_b, lost_b = b.by.get((kind, name), [0.0, 0.0])
        share_a, share_b = (lost_a / a.asked if a.asked else 0.0), (lost_b / b.asked if b.asked else 0.0)
        if abs(share_b - share_a) < LEAST:
            continue
        rate_a, rate_b = lost_a / asked_a if asked_a else 0.0, lost_b / asked_b if asked_b else 0.0
        part_a, part_b = asked_a / a.asked if a.asked else 0.0, asked_b / b.asked if b.asked else 0.0
        rows.append(
            {
                "kind": kind,
                "name": name,
                "lost_more": round(share_b - share_a, 4),
                "by_more_of_it": round((part_b - part_a) * (rate_a + rate_b) / 2, 4),
                "by_worse_service": round((rate_b - rate_a) * (part_a + part_b) / 2, 4),
                "loss_a": round(rate_a, 4),
                "loss_b": round(rate_b, 4),
            }
        )
    rows.sort(key=lambda row: -abs(row["lost_more"]))  # type: ignore[arg-type]
    return {
        "service_a": round(1 - a.lost / a.asked, 4) if a.asked else 1.0,
        "service_b": round(1 - b.lost / b.asked, 4) if b.asked else 1.0,
        "rows": rows,
    }
