"""Anonymises traces: replaces every id and name with its keyed hash.

The module takes tables and a secret key and returns tables without the original ids and names. Times,
classes, sizes and verdicts are unchanged. Files anonymised with the same key get the same hashes. The hash
is keyed BLAKE3 (O'Connor, Aumasson, Neves and Wilcox-O'Hearn 2020, section 2.3). A separate key is derived
for each kind of name, so that equal texts of two kinds cannot be linked.
"""

from __future__ import annotations

from functools import lru_cache
from pathlib import Path
from typing import Any

import numpy as np
from blake3 import blake3

from onyxwick.trace import format as f
from onyxwick.trace.model import NotificationKind, TraceError
from onyxwick.trace.recorder import id_number
from onyxwick.trace.table import REQUEST_NAME_COLUMNS, Column, StringTable, Table

KEY_BYTES = 32
KINDS = ("request", "object", "tenant", "cell", "member", "director", "zone")


def read_key(path: Path) -> bytes:
    """Read a secret of at least 32 bytes. Raises TraceError if it is shorter or cannot be read."""
    try:
        data = path.read_bytes()
    except OSError as error:
        raise TraceError(f"{path.name}: {error.strerror}") from None
    if len(data) < KEY_BYTES:
        raise TraceError(f"{path.name}: the key is too short, at least {KEY_BYTES} bytes are required")
    return blake3(data, derive_key_context="onyxwick trace anonymise 1 key").digest()


class Anonymiser:
    """Replaces ids and names with their hashes under one key."""

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
        """Return the replacement for an id."""
        digest = blake3(value.to_bytes(8, "little"), key=self.keys[kind]).digest(8)
        return int.from_bytes(digest, "little")

    def numbers(self, kind: str, column: Column) -> Column:
        """Return the replacements for a column of ids. Each distinct id is hashed once."""
        unique, inverse = np.unique(column, return_inverse=True)
        new = np.array([self.number(kind, value) for value in unique.tolist()], np.uint64)
        return new[inverse] if len(unique) else column

    def table(self, table: Table, strings: StringTable) -> Table:
        """Return an anonymised table.

        Its names are added to `strings`, which must not contain names from the original table. Class
        names are not replaced.
        """
        request_columns, attempts = dict(table.requests), dict(table.attempts)
        request_columns["id"] = self.numbers("request", request_columns["id"])
        request_columns["object"] = self.numbers("object", request_columns["object"])
        for column in REQUEST_NAME_COLUMNS:
            # Class names are not replaced, because statistics by class need them.
            request_columns[column] = self._column(column, request_columns[column], table.strings, strings)
        for column in ("member", "source"):
            attempts[column] = self._column("member", attempts[column], table.strings, strings)
        return Table(
            request_columns,
            attempts,
            strings,
            [self.notification(notification) for notification in table.notifications],
        )

    def _column(self, kind: str, column: Column, old: StringTable, new: StringTable) -> Column:
        unique, inverse = np.unique(column, return_inverse=True)
        names = [old[int(n)] for n in unique]
        hidden = names if kind == "class" else [self.name(kind, name) for name in names]
        numbers = np.array([new.number(name) for name in hidden], np.int64)
        return numbers[inverse] if len(unique) else column.astype(np.int64)

    def notification(self, notification: f.Notification) -> f.Notification:
        """Return an anonymised notification. Unknown fields are omitted."""
        kind, at_us, data = notification
        hidden: dict[str, Any] = {}
        if "director" in data:
            hidden["director"] = self.name("director", str(data["director"]))
        match kind:
            case NotificationKind.LIST:
                hidden |= {"version": data.get("version", 0), "full": bool(data.get("full"))}
                hidden["members"] = [
                    [self.name("member", str(m[0])), self.name("zone", str(m[1])), *m[2:6]]
                    for m in data.get("members", ())
                ]
            case NotificationKind.PURGE:
                raw_id = data.get("object")
                object_id = None if raw_id is None else self.number("object", _as_number(raw_id))
                hidden |= {"group": data.get("group"), "object": object_id, "unix_us": data.get("unix_us")}
            case NotificationKind.SENT:
                hidden |= {
                    "id": self.number("request", int(data["id"])),
                    "member": self.name("member", str(data.get("member", ""))),
                    "class": data.get("class", ""),
                }
            case NotificationKind.CLOCK:
                hidden["mono_us"] = data.get("mono_us", 0)
            case NotificationKind.CONFIG:
                hidden["version"] = data.get("version", 0)
        return f.Notification(kind, at_us, hidden)

    def header(self, header: f.FileHeader) -> f.FileHeader:
        """Return an anonymised header."""
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
    return value if isinstance(value, int) else id_number(str(value))
