"""The names that exist in a zone, so that a look-up takes one step per label and never one per name.

A name exists if it has records, or if a name below it has (an empty non-terminal, RFC 8020). This module does
no I/O.
"""

from __future__ import annotations

from collections.abc import Iterable

import dns.name

Labels = tuple[bytes, ...]
"""A name's labels in lower case, without those of the zone, the leftmost first."""


class ZoneNames:
    """For each existing name below the zone's, how many names with records are at or below it."""

    __slots__ = ("_counts", "_depth")

    def __init__(self, origin: dns.name.Name, owners: Iterable[dns.name.Name] = ()) -> None:
        self._depth = len(origin.labels)
        self._counts: dict[Labels, int] = {}
        for owner in owners:
            self.add(owner)

    def relative(self, name: dns.name.Name) -> Labels:
        """Return the labels of a name at or below the zone's."""
        return tuple([label.lower() for label in name.labels[: len(name.labels) - self._depth]])

    def exists(self, labels: Labels) -> bool:
        """Return whether a name exists; the zone's own name always does."""
        return not labels or labels in self._counts

    def add(self, owner: dns.name.Name) -> None:
        """Add a name that has records now and had none before."""
        self._count(self.relative(owner), 1)

    def remove(self, owner: dns.name.Name) -> None:
        """Remove a name that had records and has none any more."""
        self._count(self.relative(owner), -1)

    def copy(self) -> ZoneNames:
        """Return a copy, which changes independently."""
        names = ZoneNames.__new__(ZoneNames)
        names._depth = self._depth
        names._counts = self._counts.copy()
        return names

    def _count(self, labels: Labels, change: int) -> None:
        for start in range(len(labels)):
            name = labels[start:]
            count = self._counts.get(name, 0) + change
            if count:
                self._counts[name] = count
            else:
                del self._counts[name]
