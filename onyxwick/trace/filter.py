"""Selects requests of a trace by time, class, tenant, cell, object, request, member and verdict.

The module takes a filter and a trace and yields tables with the matching requests. It reads only the blocks
that may contain a match according to their heads and Bloom filters. Times are Unix microseconds.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

import numpy as np

from onyxwick.trace import format as f
from onyxwick.trace.model import RecordedVerdict
from onyxwick.trace.reader import TraceReader
from onyxwick.trace.recorder import id_number
from onyxwick.trace.table import Column, StringTable, Table

NO_NUMBER = -1
"""Used instead of a string number if the string table does not contain a name."""


@dataclass(frozen=True, slots=True)
class TraceFilter:
    """The conditions that requests must match; None matches anything.

    `begin` (inclusive) and `end` (exclusive) limit the arrival time.
    """

    begin: int | None = None
    end: int | None = None
    class_name: str | None = None
    tenant: str | None = None
    cell: str | None = None
    object: str | None = None
    request: str | None = None
    member: str | None = None
    verdict: RecordedVerdict | None = None

    def may_match(self, head: f.BlockHead) -> bool:
        """Return whether a block may contain a matching request."""
        if not self.overlaps(head):
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
        keys = [id_number(name) for name in (self.object, self.request) if name is not None]
        return not keys or all(key in f.Bloom(head.bloom) for key in keys)

    def overlaps(self, head: f.BlockHead) -> bool:
        """Return whether a block overlaps the time range of the filter."""
        if self.begin is not None and head.last < self.begin:
            return False
        return self.end is None or head.first < self.end

    def contains(self, at_us: int) -> bool:
        """Return whether a time is within the time range of the filter."""
        if self.begin is not None and at_us < self.begin:
            return False
        return self.end is None or at_us < self.end

    def matching_rows(self, table: Table) -> Column:
        """Return a mask of the requests of a table that match."""
        requests = table.requests
        matching = np.ones(len(table), bool)
        if self.begin is not None:
            matching &= requests["at"] >= self.begin
        if self.end is not None:
            matching &= requests["at"] < self.end
        for name, column in ((self.class_name, "class"), (self.tenant, "tenant"), (self.cell, "cell")):
            if name is not None:
                matching &= requests[column] == table.strings.numbers.get(name, NO_NUMBER)
        if self.verdict is not None:
            matching &= requests["verdict"] == self.verdict
        for name, column in ((self.object, "object"), (self.request, "id")):
            if name is not None:
                matching &= requests[column] == np.uint64(id_number(name))
        if self.member is not None:
            at_member = table.attempts["member"] == table.strings.numbers.get(self.member, NO_NUMBER)
            used_member = np.zeros(len(table), bool)
            used_member[table.owner[at_member]] = True
            matching &= used_member
        return matching


def select_requests(
    trace: TraceReader, wanted: TraceFilter, strings: StringTable, notifications: bool = True
) -> Iterator[Table]:
    """Yield the matching requests by block, with the notifications in the filter's time range."""

    def is_needed(head: f.BlockHead) -> bool:
        return wanted.may_match(head) or (notifications and head.told > 0 and wanted.overlaps(head))

    for head, table in trace.tables(strings, is_needed):
        rows = np.zeros(0, np.int64)
        if wanted.may_match(head):
            rows = np.flatnonzero(wanted.matching_rows(table))
        selected = table.take(rows)
        if notifications:
            selected.notifications = [n for n in table.notifications if wanted.contains(n.at_us)]
        if len(selected) or selected.notifications:
            yield selected
