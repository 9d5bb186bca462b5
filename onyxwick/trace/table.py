"""Blocks as numpy columns: one value a request, one an attempt, names as numbers of one table for all
blocks."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from typing import Any

import numpy as np

from onyxwick.trace import format as f
from onyxwick.trace.model import ATTEMPTS, LIVES, TraceDamagedError

NAMES = ("class", "tenant", "cell", "director")  # columns of lives that are numbers of strings
MEMBERS = ("member", "source")  # the same of attempts
Column = np.ndarray[Any, Any]


class Strings:
    """Names as numbers. 0 is the empty one."""

    def __init__(self) -> None:
        self.names: list[str] = [""]
        self.numbers: dict[str, int] = {"": 0}

    def number(self, name: str) -> int:
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

    lives: dict[str, Column]
    attempts: dict[str, Column]
    strings: Strings
    told: list[tuple[int, int, dict[str, Any]]] = field(default_factory=list)

    def __len__(self) -> int:
        return len(self.lives["id"])

    @property
    def owner(self) -> Column:
        """For each attempt the row of its request."""
        return np.repeat(np.arange(len(self)), self.lives["attempts"])

    @property
    def starts(self) -> Column:
        """For each request the row of its first attempt."""
        counts = self.lives["attempts"].astype(np.int64)
        return np.cumsum(counts) - counts

    def last(self, column: str, missing: int = 0) -> Column:
        """A column of each request's last attempt; `missing` where it has none."""
        counts = self.lives["attempts"].astype(np.int64)
        out = np.full(len(self), missing, dtype=np.int64)
        some = counts > 0
        out[some] = self.attempts[column][(self.starts + counts - 1)[some]]
        return out

    def serving(self, column: str, missing: int = 0) -> Column:
        """A column of the attempt that served each request: the last one that ended well."""
        out = np.full(len(self), missing, dtype=np.int64)
        well = self.attempts["status"] == 0
        out[self.owner[well]] = self.attempts[column][well]
        return out

    def take(self, rows: Column) -> Table:
        """Some requests, in the order given, with their attempts."""
        counts = self.lives["attempts"].astype(np.int64)
        starts, chosen = self.starts[rows], counts[rows]
        total = int(chosen.sum())
        begin = (
            np.repeat(starts - np.concatenate(([0], np.cumsum(chosen)[:-1])), chosen) if total else starts[:0]
        )
        at = begin + np.arange(total)
        lives = {name: column[rows] for name, column in self.lives.items()}
        return Table(lives, {name: column[at] for name, column in self.attempts.items()}, self.strings)

    def name(self, column: str, row: int) -> str:
        return self.strings[int(self.lives[column][row])]


def empty(strings: Strings) -> Table:
    return Table(
        {name: np.zeros(0, np.int64 if name in NAMES else code) for name, code in LIVES.items()},
        {name: np.zeros(0, np.int64 if name in MEMBERS else code) for name, code in ATTEMPTS.items()},
        strings,
    )


def join(tables: Sequence[Table], strings: Strings) -> Table:
    """Tables that share one table of names, one behind the other."""
    if not tables:
        return empty(strings)
    return Table(
        {name: np.concatenate([t.lives[name] for t in tables]) for name in LIVES},
        {name: np.concatenate([t.attempts[name] for t in tables]) for name in ATTEMPTS},
        strings,
        [told for t in tables for told in t.told],
    )


def of_body(body: f.BlockBody, strings: Strings, director: str) -> Table:
    """A block's columns with its names put into the common table. Damaged where a name does not exist."""
    numbers = np.array([strings.number(name) for name in body.strings] or [0], np.int64)
    lives = {name: np.frombuffer(body.lives[name], f"<{_code(code)}") for name, code in LIVES.items()}
    attempts = {
        name: np.frombuffer(body.attempts[name], f"<{_code(code)}") for name, code in ATTEMPTS.items()
    }
    for columns, names in ((lives, NAMES), (attempts, MEMBERS)):
        for name in names:
            if len(columns[name]) and int(columns[name].max()) >= len(numbers):
                raise TraceDamagedError(f"column '{name}' names what is not there")
            columns[name] = numbers[columns[name]]
    if int(lives["attempts"].sum(dtype=np.int64)) != len(attempts["sent"]):
        raise TraceDamagedError("attempts do not add up")
    own = lives["director"] == 0
    if own.any():
        lives["director"] = np.where(own, strings.number(director), lives["director"])
    return Table(lives, attempts, strings, body.told)


def _code(code: str) -> str:
    return {"B": "u1", "H": "u2", "h": "i2", "I": "u4", "Q": "u8", "q": "i8"}[code]


def _bloom(keys: Column) -> bytes:
    """The same filter as `format.Bloom` makes one key at a time."""
    unique = np.unique(keys.astype(np.uint64))
    size = max(64, len(unique) * f.BLOOM_BITS)
    size = -(-size // 8) * 8
    word = unique.copy()
    with np.errstate(over="ignore"):
        word = (word ^ (word >> np.uint64(33))) * np.uint64(0xFF51AFD7ED558CCD)
        word = (word ^ (word >> np.uint64(33))) * np.uint64(0xC4CEB9FE1A85EC53)
    word ^= word >> np.uint64(33)
    step, at = (word >> np.uint64(32)) | np.uint64(1), word & np.uint64(0xFFFFFFFF)
    bits = np.zeros(size, np.uint8)
    for _ in range(f.BLOOM_HASHES):
        bits[(at % np.uint64(size)).astype(np.int64)] = 1
        at = at + step
    return np.packbits(bits, bitorder="little").tobytes()


def _local(columns: Iterable[Column], strings: Strings) -> tuple[list[str], Column]:
    """The names that some columns use, and from common to local numbers."""
    used = np.unique(np.concatenate([np.zeros(1, np.int64), *columns]))
    back = np.zeros(int(used.max()) + 1, np.int64)
    back[used] = np.arange(len(used))
    return [strings[int(n)] for n in used], back


def sealed(table: Table, dropped: int = 0, open_: int = 0) -> tuple[f.BlockHead, bytes]:
    """A table as a block: head and frame."""
    lives, attempts = table.lives, table.attempts
    names, back = _local([*(lives[n] for n in NAMES), *(attempts[n] for n in MEMBERS)], table.strings)
    head = f.BlockHead(lives=len(table), attempts=len(attempts["sent"]), told=len(table.told))
    head.dropped, head.open = dropped, open_
    times = [at for _, at, _ in table.told]
    if len(table):
        times += [int(lives["at"].min()), int((lives["at"] + lives["took"]).max())]
        head.verdicts = int(np.bitwise_or.reduce(1 << np.unique(lives["verdict"]).astype(np.int64)))
        head.bloom = _bloom(np.concatenate((lives["id"], lives["object"])))
    head.first, head.last = min(times, default=0), max(times, default=0)
    head.classes, head.tenants, head.cells = (
        sorted(table.strings[int(n)] for n in np.unique(lives[column]))
        for column in ("class", "tenant", "cell")
    )
    head.members = sorted(table.strings[int(n)] for n in np.unique(attempts["member"]))
    out = []
    for columns, known, named in ((lives, LIVES, NAMES), (attempts, ATTEMPTS, MEMBERS)):
        out.append(
            {
                n: (back[columns[n]] if n in named else columns[n]).astype(f"<{_code(code)}").tobytes()
                for n, code in known.items()
            }
        )
    body = f.BlockBody(names, out[0], out[1], table.told)
    return head, f.frame(f.BLOCK, f.encode(head), f.encode(body))
