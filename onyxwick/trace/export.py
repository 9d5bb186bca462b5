"""Traces for other programs: JSON lines, one request each, and Parquet with the attempts nested in the
requests."""

from __future__ import annotations

import json
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any

import numpy as np

from onyxwick.trace.model import (
    ATTEMPTS,
    LIVES,
    NEVER,
    OPEN_STATUS,
    STATUSES,
    DecisionReason,
    RecordedVerdict,
)
from onyxwick.trace.table import MEMBERS, NAMES, Table

TIMES = ("decided", "sent", "ended", "cancel")


def rows(table: Table) -> Iterator[dict[str, Any]]:
    """Each request as plain values."""
    starts = table.starts
    lives = {name: column.tolist() for name, column in table.lives.items()}
    attempts = {name: column.tolist() for name, column in table.attempts.items()}
    for row in range(len(table)):
        out = {name: _life(name, lives[name][row], table) for name in LIVES if name != "attempts"}
        span = range(int(starts[row]), int(starts[row]) + lives["attempts"][row])
        out["attempts"] = [{n: _attempt(n, attempts[n][at], table) for n in ATTEMPTS} for at in span]
        yield out


def _life(name: str, value: int, table: Table) -> Any:
    if name in NAMES:
        return table.strings[value]
    if name in ("id", "object"):
        return f"{value:016x}"
    if name == "verdict":
        return (
            RecordedVerdict(value).name.lower() if value in RecordedVerdict._value2member_map_ else str(value)
        )
    return _cause(value) if name == "why" else value


def _attempt(name: str, value: int, table: Table) -> Any:
    if name in MEMBERS:
        return table.strings[value]
    if name == "status":
        return STATUSES[value] if value < len(STATUSES) else ("open" if value == OPEN_STATUS else str(value))
    if name in TIMES:
        return None if value == NEVER else value
    return _cause(value) if name == "why" else value


def _cause(value: int) -> str:
    return DecisionReason(value).name.lower() if value in DecisionReason._value2member_map_ else str(value)


def json_lines(tables: Iterable[Table], path: Path) -> int:
    """How many requests were written."""
    count = 0
    with path.open("w", encoding="utf-8") as out:
        for table in tables:
            for row in rows(table):
                out.write(json.dumps(row, separators=(",", ":")) + "\n")
                count += 1
    return count


def parquet(tables: Iterable[Table], path: Path) -> int:
    """The same as Parquet, column by column; a row group a block."""
    import pyarrow as pa
    import pyarrow.parquet as pq

    writer, count = None, 0
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
    fields, arrays = [], []
    for name in LIVES:
        if name == "attempts":
            continue
        column = table.lives[name]
        array = names.take(pa.array(column)) if name in NAMES else pa.array(column)
        fields.append(name)
        arrays.append(array)
    inner = {
        name: names.take(pa.array(column)) if name in MEMBERS else pa.array(column)
        for name, column in table.attempts.items()
    }
    offsets = np.concatenate(([0], np.cumsum(table.lives["attempts"], dtype=np.int64))).astype(np.int32)
    struct = pa.StructArray.from_arrays(list(inner.values()), list(inner))
    fields.append("attempts")
    arrays.append(pa.ListArray.from_arrays(pa.array(offsets), struct))
    return pa.table(arrays, names=fields)
