"""A snapshot that is being received: its payloads, its size, and the digest that is checked at the end."""

from __future__ import annotations

from onyxwick.distribution.codec import LinesDigest
from onyxwick.distribution.model import FeedEvent, Payload, SnapshotBegin, SnapshotEnd
from onyxwick.distribution.replica import FeedSnapshot


class SnapshotLoad:
    """Collects the lines of one snapshot after its first line."""

    def __init__(self, begin: SnapshotBegin) -> None:
        self.begin = begin
        self.payloads: list[Payload] = []
        self.digest = LinesDigest()
        self.size_bytes = 0

    def add(self, event: FeedEvent, line: bytes) -> None:
        """Add one line of the snapshot."""
        self.size_bytes += len(line)
        self.digest.add(line)
        self.payloads.append(event.payload)

    def exceeds(self, max_bytes: int) -> bool:
        """Return whether the snapshot exceeds `max_bytes` or the number of lines in its first line."""
        return self.size_bytes > max_bytes or len(self.payloads) > self.begin.lines

    def finish(self, end: SnapshotEnd) -> FeedSnapshot | None:
        """Return the snapshot when its last line is received; None if lines were lost or changed."""
        if end.cursor != self.begin.cursor or end.digest != self.digest.hex_digest():
            return None
        return FeedSnapshot(end.cursor, tuple(self.payloads))
