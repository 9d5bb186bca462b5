"""In-memory index of the store's rows, in key order, with snapshots that concurrent writes do not change.

Each entry has a version (how often the key was set) and the number of the record that set it. While a
snapshot is open, entries that are replaced or deleted are retained beside the index.
"""

from __future__ import annotations

import itertools
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass

from sortedcontainers import SortedDict

from onyxwick.store.records import RecordPayload, StoredOperations

HIGHEST_CHARACTER = "\U0010ffff"


@dataclass(slots=True)
class IndexEntry:
    """One value (None if deleted), its version, and the number of the record that set or deleted it."""

    value: bytes | None
    version: int
    record_number: int


ABSENT_ENTRY = IndexEntry(None, 0, 0)
"""The entry that a snapshot sees for a key that did not exist before."""


class StoreSnapshot:
    """The rows as of one record, unchanged by later writes."""

    def __init__(self, index: StoreIndex, record_number: int) -> None:
        self.index = index
        self.record_number = record_number

    def get(self, key: str) -> bytes | None:
        """Return a key's value as of the snapshot; None if the key did not exist."""
        entry = self.index.entry_at(key, self.record_number)
        return entry.value if entry is not None else None

    def scan(self, prefix: str = "") -> Iterator[tuple[str, bytes]]:
        """Iterate over the keys with a prefix and their values, in key order."""
        for key in list(self.index.keys(prefix)):
            value = self.get(key)
            if value is not None:
                yield key, value


class StoreIndex:
    """All rows; written by one task, read by the same event loop without a lock."""

    def __init__(self, entries: dict[str, IndexEntry] | None = None) -> None:
        # A plain mapping is ordered once: a million ordered insertions would take seconds.
        self.entries: SortedDict[str, IndexEntry] = SortedDict(entries or {})
        # By key, the replaced entries that an open snapshot may need.
        self.older_entries: dict[str, list[IndexEntry]] = {}
        self.open_snapshots: dict[int, int] = {}  # by record number, the number of open snapshots

    def __len__(self) -> int:
        return len(self.entries)

    def get(self, key: str) -> bytes | None:
        """Return a key's value; None if the key does not exist."""
        entry = self.entries.get(key)
        return entry.value if entry is not None else None

    def version(self, key: str) -> int:
        """Return how often a key was set; 0 if it was never set or was deleted."""
        entry = self.entries.get(key)
        return entry.version if entry is not None else 0

    def keys(self, prefix: str = "") -> Iterator[str]:
        """Iterate over the keys with a prefix, in order, including keys that only a snapshot still holds."""
        current = self.entries.irange(prefix, prefix + HIGHEST_CHARACTER)
        if not self.older_entries:
            yield from current
            return
        older = {key for key in self.older_entries if key.startswith(prefix)}
        yield from sorted(older.union(current))

    def scan(self, prefix: str = "") -> Iterator[tuple[str, bytes]]:
        """Iterate over the current keys with a prefix and their values, in key order."""
        for key in self.entries.irange(prefix, prefix + HIGHEST_CHARACTER):
            value = self.entries[key].value
            if value is not None:
                yield key, value

    def entry_at(self, key: str, record_number: int) -> IndexEntry | None:
        """Return a key's entry as of a record; None if it had none."""
        entry: IndexEntry | None = self.entries.get(key)
        if entry is not None and entry.record_number <= record_number:
            return entry
        older = reversed(self.older_entries.get(key, []))
        return next((entry for entry in older if entry.record_number <= record_number), None)

    @contextmanager
    def snapshot(self, record_number: int) -> Iterator[StoreSnapshot]:
        """Open a snapshot as of `record_number`, which must be the last applied record."""
        self.open_snapshots[record_number] = self.open_snapshots.get(record_number, 0) + 1
        try:
            yield StoreSnapshot(self, record_number)
        finally:
            self.open_snapshots[record_number] -= 1
            if not self.open_snapshots[record_number]:
                del self.open_snapshots[record_number]
            if not self.open_snapshots:
                self.older_entries.clear()

    def apply(self, payload: RecordPayload, record_number: int) -> None:
        """Make a record's operations visible to readers."""
        for key, value, version in payload.operations:
            if self.open_snapshots:
                previous = self.entries.get(key, ABSENT_ENTRY)
                self.older_entries.setdefault(key, []).append(previous)
            if value is not None:
                self.entries[key] = IndexEntry(value, version, record_number)
                continue
            self.entries.pop(key, None)
            if self.open_snapshots:  # a later snapshot must not find the deleted value
                self.older_entries[key].append(IndexEntry(None, 0, record_number))

    def keys_after(self, last: str, count: int) -> list[str]:
        """Return the next `count` current keys after `last`, with keys in between that only a snapshot holds.

        If fewer current keys are left, all snapshot keys after `last` are included.
        """
        keys = list(itertools.islice(self.entries.irange(last, inclusive=(False, True)), count))
        is_last_part = len(keys) < count
        older = [key for key in self.older_entries if key > last and (is_last_part or key <= keys[-1])]
        return sorted({*keys, *older})

    def rows_at(self, keys: list[str], record_number: int) -> StoredOperations:
        """Return the rows of some keys as of a record, without deleted rows."""
        entries = ((key, self.entry_at(key, record_number)) for key in keys)
        return [
            (key, entry.value, entry.version)
            for key, entry in entries
            if entry is not None and entry.value is not None
        ]
