"""Parts of a trace: by time, class, tenant, cell, object, member, verdict. Only blocks that can match are
read."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

import numpy as np

from onyxwick.trace import format as f
from onyxwick.trace.model import RecordedVerdict
from onyxwick.trace.reader import Trace
from onyxwick.trace.recorder import number
from onyxwick.trace.table import Column, Strings, Table


@dataclass(frozen=True, slots=True)
class TraceFilter:
    """None: any. Times are Unix us, of the arrival; `end` is not part of it."""

    begin: int | None = None
    end: int | None = None
    class_name: str | None = None
    tenant: str | None = None
    cell: str | None = None
    object: str | None = None
    request: str | None = None
    member: str | None = None
    verdict: RecordedVerdict | None = None

    def in_block(self, head: f.BlockHead) -> bool:
        """Can the block hold a request that is wanted?"""
        if self.begin is not None and head.last < self.begin:
            return False
        if self.end is not None and head.first >= self.end:
            return False
        named = (
            (self.class_name, head.classes),
            (self.tenant, head.tenants),
            (self.cell, head.cells),
            (self.member, head.members),
        )
        if any(name is not None and name not in names for name, names in named):
            return False
        if self.verdict is not None and not head.verdicts >> self.verdict & 1:
            return False
        keys = [number(name) for name in (self.object, self.request) if name is not None]
        return not keys or all(key in f.Bloom(head.bloom) for key in keys)

    def rows(self, table: Table) -> Column:
        """Which requests of a table are wanted."""
        lives = table.lives
        out = np.ones(len(table), bool)
        if self.begin is not None:
            out &= lives["at"] >= self.begin
        if self.end is not None:
            out &= lives["at"] < self.end
        for name, column in ((self.class_name, "class"), (self.tenant, "tenant"), (self.cell, "cell")):
            if name is not None:
                out &= lives[column] == table.strings.numbers.get(name, -1)
        if self.verdict is not None:
            out &= lives["verdict"] == self.verdict
        for name, column in ((self.object, "object"), (self.request, "id")):
            if name is not None:
                out &= lives[column] == np.uint64(number(name))
        if self.member is not None:
            at = table.attempts["member"] == table.strings.numbers.get(self.member, -1)
            met = np.zeros(len(table), bool)
            met[table.owner[at]] = True
            out &= met
        return out


def cut(trace: Trace, wanted: TraceFilter, strings: Strings, told: bool = True) -> Iterator[Table]:
    """The wanted requests, block by block, with what was told in the time that is wanted."""
    for head, table in trace.tables(strings, lambda h: wanted.in_block(h) or (told and _told_in(h, wanted))):
        out = (
            table.take(np.flatnonzero(wanted.rows(table)))
            if wanted.in_block(head)
            else table.take(np.zeros(0, np.int64))
        )
        if told:
            out.told = [t for t in table.told if _in_time(t[1], wanted)]
        if len(out) or out.told:
            yield out


def _in_time(at: int, wanted: TraceFilter) -> bool:
    return (wanted.begin is None or at >= wanted.begin) and (wanted.end is None or at < wanted.end)


def _told_in(head: f.BlockHead, wanted: TraceFilter) -> bool:
    if not head.told:
        return False
    return not (
        (wanted.begin is not None and head.last < wanted.begin)
        or (wanted.end is not None and head.first >= wanted.end)
    )
