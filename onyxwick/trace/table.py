"""Requests and attempts as numpy columns, for the tools that read traces.

The module takes decoded blocks and returns tables, with one value per column for each request or attempt.
Names are stored as numbers of one string table that all tables of a reader share. Rows of tables can be
selected, and tables can be concatenated and encoded as blocks again.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from typing import Any

import numpy as np

from onyxwick.trace import format as f
from onyxwick.trace.model import ATTEMPT_COLUMNS, REQUEST_COLUMNS, STATUS_WORDS, TraceDamagedError

REQUEST_NAME_COLUMNS = ("class", "tenant", "cell", "director")
"""Request columns that contain string numbers."""
ATTEMPT_NAME_COLUMNS = ("member", "source")
"""Attempt columns that contain string numbers."""
STATUS_OK = STATUS_WORDS.index("ok")
NUMPY_CODES = {"B": "u1", "H": "u2", "h": "i2", "I": "u4", "Q": "u8", "q": "i8"}
Column = np.ndarray[Any, Any]


class StringTable:
    """Maps names to numbers and back. 0 is the empty name."""

    def __init__(self) -> None:
        self.names: list[str] = [""]
        self.numbers: dict[str, int] = {"": 0}

    def number(self, name: str) -> int:
        """Return the number of a name, assigning a new number if the name is new."""
        found = self.numbers.get(name)
        if found is None:
            found = self.numbers[name] = len(self.names)
            self.names.append(name)
        return found

    def __getitem__(self, number: int) -> str:
        return self.names[number]


@dataclass(slots=True)
class Table:
    """Requests with their attempts."""

    requests: dict[str, Column]
    attempts: dict[str, Column]
    strings: StringTable
    notifications: list[f.Notification] = field(default_factory=list)

    def __len__(self) -> int:
        return len(self.requests["id"])

    @property
    def owner(self) -> Column:
        """Return for each attempt the row of its request."""
        return np.repeat(np.arange(len(self)), self.requests["attempts"])

    @property
    def starts(self) -> Column:
        """Return for each request the row of its first attempt."""
        counts = self.requests["attempts"].astype(np.int64)
        return np.cumsum(counts) - counts

    def last_attempt(self, column: str, missing: int = 0) -> Column:
        """Return a column of each request's last attempt, with `missing` for requests without attempts."""
        counts = self.requests["attempts"].astype(np.int64)
        out = np.full(len(self), missing, dtype=np.int64)
        has_attempts = counts > 0
        out[has_attempts] = self.attempts[column][(self.starts + counts - 1)[has_attempts]]
        return out

    def serving_attempt(self, column: str, missing: int = 0) -> Column:
        """Return a column of the attempt that served each request: its last one that ended with `ok`.

        The value is `missing` for requests without such an attempt.
        """
        out = np.full(len(self), missing, dtype=np.int64)
        ended_ok = self.attempts["status"] == STATUS_OK
        out[self.owner[ended_ok]] = self.attempts[column][ended_ok]
        return out

    def take(self, rows: Column) -> Table:
        """Return the given request rows, in this order, with their attempts but without notifications."""
        counts = self.requests["attempts"].astype(np.int64)[rows]
        starts = self.starts[rows]
        total = int(counts.sum())
        first = starts[:0]
        if total:
            new_starts = np.concatenate(([0], np.cumsum(counts)[:-1]))
            first = np.repeat(starts - new_starts, counts)
        at = first + np.arange(total)
        requests = {name: column[rows] for name, column in self.requests.items()}
        attempts = {name: column[at] for name, column in self.attempts.items()}
        return Table(requests, attempts, self.strings)

    def name(self, column: str, row: int) -> str:
        """Return the name in a column of a request."""
        return self.strings[int(self.requests[column][row])]


def empty_table(strings: StringTable) -> Table:
    """Return a table without rows."""
    return Table(
        _empty_columns(REQUEST_COLUMNS, REQUEST_NAME_COLUMNS),
        _empty_columns(ATTEMPT_COLUMNS, ATTEMPT_NAME_COLUMNS),
        strings,
    )


def _empty_columns(types: dict[str, str], names: Sequence[str]) -> dict[str, Column]:
    return {name: np.zeros(0, np.int64 if name in names else code) for name, code in types.items()}


def concatenate(tables: Sequence[Table], strings: StringTable) -> Table:
    """Concatenate tables that share one string table."""
    if not tables:
        return empty_table(strings)
    return Table(
        {name: np.concatenate([table.requests[name] for table in tables]) for name in REQUEST_COLUMNS},
        {name: np.concatenate([table.attempts[name] for table in tables]) for name in ATTEMPT_COLUMNS},
        strings,
        [notification for table in tables for notification in table.notifications],
    )


def from_body(body: f.BlockBody, strings: StringTable, director: str) -> Table:
    """Convert the body of a block to a table and add its names to the string table.

    Raises TraceDamagedError if the body is inconsistent.
    """
    numbers = np.array([strings.number(name) for name in body.strings] or [0], np.int64)
    requests = _decode_columns(body.lives, REQUEST_COLUMNS, REQUEST_NAME_COLUMNS, numbers)
    attempts = _decode_columns(body.attempts, ATTEMPT_COLUMNS, ATTEMPT_NAME_COLUMNS, numbers)
    if int(requests["attempts"].sum(dtype=np.int64)) != len(attempts["sent"]):
        raise TraceDamagedError("the attempt counts of the requests do not add up to the number of attempts")
    own = requests["director"] == 0
    if own.any():
        requests["director"] = np.where(own, strings.number(director), requests["director"])
    return Table(requests, attempts, strings, body.told)


def _decode_columns(
    stored: dict[str, bytes], types: dict[str, str], names: Sequence[str], numbers: Column
) -> dict[str, Column]:
    """Decode columns of a block.

    The block's string numbers are replaced with those of the string table, which `numbers` contains. Raises
    TraceDamagedError if a string number is out of range.
    """
    columns: dict[str, Column] = {}
    for name, code in types.items():
        column: Column = np.frombuffer(stored[name], f"<{NUMPY_CODES[code]}")
        if name in names:
            if len(column) and int(column.max()) >= len(numbers):
                raise TraceDamagedError(f"column '{name}' contains a string number that is out of range")
            column = numbers[column]
        columns[name] = column
    return columns


def bloom_of_columns(keys: Column) -> bytes:
    """Return the same filter as `format.bloom_of`, computed for all keys at once."""
    unique = np.unique(keys.astype(np.uint64))
    size = max(f.MIN_BLOOM_BITS, len(unique) * f.BLOOM_BITS_PER_KEY)
    size = -(-size // 8) * 8
    hashed = unique.copy()
    with np.errstate(over="ignore"):
        hashed = (hashed ^ (hashed >> np.uint64(33))) * np.uint64(0xFF51AFD7ED558CCD)
        hashed = (hashed ^ (hashed >> np.uint64(33))) * np.uint64(0xC4CEB9FE1A85EC53)
    hashed ^= hashed >> np.uint64(33)
    step = (hashed >> np.uint64(32)) | np.uint64(1)
    at = hashed & np.uint64(0xFFFFFFFF)
    bits = np.zeros(size, np.uint8)
    for _ in range(f.BLOOM_HASHES):
        bits[(at % np.uint64(size)).astype(np.int64)] = 1
        at = at + step
    return np.packbits(bits, bitorder="little").tobytes()


def _local_strings(columns: Iterable[Column], strings: StringTable) -> tuple[list[str], Column]:
    """Return the names used in the columns, and a column that maps table numbers to local numbers."""
    used = np.unique(np.concatenate([np.zeros(1, np.int64), *columns]))
    local = np.zeros(int(used.max()) + 1, np.int64)
    local[used] = np.arange(len(used))
    return [strings[int(number)] for number in used], local


def encode_block(table: Table, dropped: int = 0, open_requests: int = 0) -> tuple[f.BlockHead, bytes]:
    """Encode a table as a block and return its head and its frame."""
    head = _block_head(table)
    head.dropped = dropped
    head.open = open_requests
    named = [table.requests[name] for name in REQUEST_NAME_COLUMNS]
    named += [table.attempts[name] for name in ATTEMPT_NAME_COLUMNS]
    names, local = _local_strings(named, table.strings)
    requests = _encode_columns(table.requests, REQUEST_COLUMNS, REQUEST_NAME_COLUMNS, local)
    attempts = _encode_columns(table.attempts, ATTEMPT_COLUMNS, ATTEMPT_NAME_COLUMNS, local)
    body = f.BlockBody(names, requests, attempts, table.notifications)
    return head, f.encode_frame(f.BLOCK, f.encode(head), f.encode(body))


def _block_head(table: Table) -> f.BlockHead:
    requests = table.requests
    head = f.BlockHead(lives=len(table), attempts=len(table.attempts["sent"]), told=len(table.notifications))
    times = [notification.at_us for notification in table.notifications]
    if len(table):
        times += [int(requests["at"].min()), int((requests["at"] + requests["took"]).max())]
        head.verdicts = int(np.bitwise_or.reduce(1 << np.unique(requests["verdict"]).astype(np.int64)))
        head.bloom = bloom_of_columns(np.concatenate((requests["id"], requests["object"])))
    head.first = min(times, default=0)
    head.last = max(times, default=0)
    head.classes = _sorted_names(requests["class"], table.strings)
    head.tenants = _sorted_names(requests["tenant"], table.strings)
    head.cells = _sorted_names(requests["cell"], table.strings)
    head.members = _sorted_names(table.attempts["member"], table.strings)
    return head


def _sorted_names(column: Column, strings: StringTable) -> list[str]:
    return sorted(strings[int(number)] for number in np.unique(column))


def _encode_columns(
    columns: dict[str, Column], types: dict[str, str], names: Sequence[str], local: Column
) -> dict[str, bytes]:
    encoded = {}
    for name, code in types.items():
        column = local[columns[name]] if name in names else columns[name]
        encoded[name] = column.astype(f"<{NUMPY_CODES[code]}").tobytes()
    return encoded
