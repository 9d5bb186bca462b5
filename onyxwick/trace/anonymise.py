"""Traces without names: every id and name is replaced by a keyed hash of it, the same in every file of one
key.

Keyed BLAKE3 (O'Connor, Aumasson, Neves and Wilcox-O'Hearn 2020, section 2.3), with another key derived for
each kind of name, so that equal texts of two kinds have nothing in common. Times, classes, sizes and
verdicts stay.
"""

from __future__ import annotations

from functools import lru_cache
from pathlib import Path
from typing import Any

import numpy as np
from blake3 import blake3

from onyxwick.trace import format as f
from onyxwick.trace.model import NotificationKind, TraceError
from onyxwick.trace.recorder import number
from onyxwick.trace.table import NAMES, Column, Strings, Table

KEY_BYTES = 32
KINDS = ("request", "object", "tenant", "cell", "member", "director", "zone")


def read_key(path: Path) -> bytes:
    """32 bytes or more of secret; TraceError where there are fewer."""
    try:
        data = path.read_bytes()
    except OSError as error:
        raise TraceError(f"{path.name}: {error.strerror}") from None
    if len(data) < KEY_BYTES:
        raise TraceError(f"{path.name}: a key has {KEY_BYTES} bytes or more")
    return blake3(data, derive_key_context="onyxwick trace anonymise 1 key").digest()


class Anonymiser:
    """One key's view of all names."""

    def __init__(self, key: bytes) -> None:
        self.keys = {
            k: blake3(key, derive_key_context=f"onyxwick trace anonymise 1 {k}").digest() for k in KINDS
        }
        self.name = lru_cache(maxsize=1 << 16)(self._name)

    def _name(self, kind: str, name: str) -> str:
        if not name:
            return ""
        return f"{kind[0]}-{blake3(name.encode(), key=self.keys[kind]).hexdigest(8)}"

    def number(self, kind: str, value: int) -> int:
        digest = blake3(value.to_bytes(8, "little"), key=self.keys[kind]).digest(8)
        return int.from_bytes(digest, "little")

    def numbers(self, kind: str, column: Column) -> Column:
        """A column of ids, each different one hashed once."""
        unique, back = np.unique(column, return_inverse=True)
        new = np.array([self.number(kind, value) for value in unique.tolist()], np.uint64)
        return new[back] if len(unique) else column

    def table(self, table: Table, strings: Strings) -> Table:
        """The same with no raw name in it, its names in `strings`, which holds no others."""
        lives, attempts = dict(table.lives), dict(table.attempts)
        lives["id"] = self.numbers("request", lives["id"])
        lives["object"] = self.numbers("object", lives["object"])
        for column in NAMES:
            # Classes are the installation's own words and are needed to read the rest.
            lives[column] = self._column(column, lives[column], table.strings, strings)
        for column in ("member", "source"):
            attempts[column] = self._column("member", attempts[column], table.strings, strings)
        return Table(lives, attempts, strings, [self.told(*told) for told in table.told])

    def _column(self, kind: str, column: Column, old: Strings, new: Strings) -> Column:
        unique, back = np.unique(column, return_inverse=True)
        names = [old[int(n)] for n in unique]
        hidden = names if kind == "class" else [self.name(kind, name) for name in names]
        numbers = np.array([new.number(name) for name in hidden], np.int64)
        return numbers[back] if len(unique) else column.astype(np.int64)

    def told(self, kind: int, at: int, data: dict[str, Any]) -> tuple[int, int, dict[str, Any]]:
        """What was told, with only fields that are known, each hidden in its way."""
        out: dict[str, Any] = {}
        if "director" in data:
            out["director"] = self.name("director", str(data["director"]))
        match kind:
            case NotificationKind.LIST:
                out |= {"version": data.get("version", 0), "full": bool(data.get("full"))}
                out["members"] = [
                    [self.name("member", str(m[0])), self.name("zone", str(m[1])), *m[2:6]]
                    for m in data.get("members", ())
                ]
            case NotificationKind.PURGE:
                held = data.get("object")
                hidden = None if held is None else self.number("object", _as_number(held))
                out |= {"group": data.get("group"), "object": hidden, "unix_us": data.get("unix_us")}
            case NotificationKind.SENT:
                out |= {
                    "id": self.number("request", int(data["id"])),
                    "member": self.name("member", str(data.get("member", ""))),
                    "class": data.get("class", ""),
                }
            case NotificationKind.CLOCK:
                out["mono_us"] = data.get("mono_us", 0)
            case NotificationKind.CONFIG:
                out["version"] = data.get("version", 0)
        return kind, at, out

    def header(self, header: f.FileHeader) -> f.FileHeader:
        director = "+".join(self.name("director", name) for name in header.director.split("+"))
        run = self.name("director", f"run {header.run}")
        clocks = {self.name("director", name): row for name, row in header.clocks.items()}
        return f.FileHeader(
            header.version,
            director,
            run,
            header.unix_us,
            header.mono_us,
            header.classes,
            header.rules,
            clocks,
        )


def _as_number(value: object) -> int:
    return value if isinstance(value, int) else number(str(value))
