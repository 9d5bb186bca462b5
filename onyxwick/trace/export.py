"""Exports traces to JSON lines and Parquet for use by other programs.

The module takes tables and writes one JSON object or one row per request, with its attempts nested in it.
Fields have the names of the format's columns, and verdicts and reasons are the words from
`model.VERDICT_WORDS` and `REASON_WORDS`.
"""

from __future__ import annotations

import json
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any

import numpy as np

from onyxwick.trace.model import (
    ATTEMPT_COLUMNS,
    NEVER,
    NOT_ENDED_STATUS,
    REQUEST_COLUMNS,
    STATUS_WORDS,
    reason_word,
    verdict_word,
)
from onyxwick.trace.table import ATTEMPT_NAME_COLUMNS, REQUEST_NAME_COLUMNS, Table

TIME_COLUMNS = ("decided", "sent", "ended", "cancel")
"""Times of events of an attempt; the exported value is null if the event did not happen."""


def rows(table: Table) -> Iterator[dict[str, Any]]:
    """Yield each request as plain values for JSON."""
    starts = table.starts
    requests = {name: column.tolist() for name, column in table.requests.items()}
    attempts = {name: column.tolist() for name, column in table.attempts.items()}
    for row in range(len(table)):
        out: dict[str, Any] = {
            name: _request_value(name, requests[name][row], table)
            for name in REQUEST_COLUMNS
            if name != "attempts"
        }
        span = range(int(starts[row]), int(starts[row]) + requests["attempts"][row])
        out["attempts"] = [
            {name: _attempt_value(name, attempts[name][at], table) for name in ATTEMPT_COLUMNS} for at in span
        ]
        yield out


def _request_value(name: str, value: int, table: Table) -> str | int:
    if name in REQUEST_NAME_COLUMNS:
        return table.strings[value]
    if name in ("id", "object"):
        return f"{value:016x}"
    if name == "verdict":
        return verdict_word(value)
    return reason_word(value) if name == "why" else value


def _attempt_value(name: str, value: int, table: Table) -> str | int | None:
    if name in ATTEMPT_NAME_COLUMNS:
        return table.strings[value]
    if name == "status":
        return _status_word(value)
    if name in TIME_COLUMNS:
        return None if value == NEVER else value
    return reason_word(value) if name == "why" else value


def _status_word(value: int) -> str:
    if value < len(STATUS_WORDS):
        return STATUS_WORDS[value]
    return "open" if value == NOT_ENDED_STATUS else str(value)


def json_lines(tables: Iterable[Table], path: Path) -> int:
    """Write JSON lines and return the number of requests written."""
    count = 0
    with path.open("w", encoding="utf-8") as out:
        for table in tables:
            for row in rows(table):
                out.write(json.dumps(row, separators=(",", ":")) + "\n")
                count += 1
    return count


def parquet(tables: Iterable[Table], path: Path) -> int:
    """Write Parquet with one row group per block and return the number of requests written."""
    import pyarrow as pa
    import pyarrow.parquet as pq

    writer = None
    count = 0
    try:
        for table in tables:
            batch = _arrow(table, pa)
            if writer is None:
                writer = pq.ParquetWriter(path, batch.schema, compression="zstd")
            writer.write_table(batch)
            count += len(table)
    finally:
        if writer is not None:
            writer.close()
    return count


def _arrow(table: Table, pa: Any) -> Any:
    names = pa.array(table.strings.names)
    fields = []
    arrays = []
    for name in REQUEST_COLUMNS:
        if name == "attempts":
            continue
        column = table.requests[name]
        array = names.take(pa.array(column)) if name in REQUEST_NAME_COLUMNS else pa.array(column)
        fields.append(name)
        arrays.append(array)
    inner = {
        name: names.take(pa.array(column)) if name in ATTEMPT_NAME_COLUMNS else pa.array(column)
        for name, column in table.attempts.items()
    }
    offsets = np.concatenate(([0], np.cumsum(table.requests["attempts"], dtype=np.int64))).astype(np.int32)
    struct = pa.StructArray.from_arrays(list(inner.values()), list(inner))
    fields.append("attempts")
    arrays.append(pa.ListArray.from_arrays(pa.array(offsets), struct))
    return pa.table(arrays, names=fields)
