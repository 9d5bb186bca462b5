"""A snapshot while its lines are received: payloads, bytes, and the digest to check at the end."""

from __future__ import annotations

from onyxwick.distribution.codec import LinesDigest
from onyxwick.distribution.model import FeedEvent, Payload, SnapshotBegin, SnapshotEnd
from onyxwick.distribution.replica import FeedSnapshot


class SnapshotLoad:
    """One snapshot from its first line on."""

    def __init__(self, begin: SnapshotBegin) -> None:
        self.begin = begin
        self.payloads: list[Payload] = []
        self.digest = LinesDigest()
        self.size_bytes = 0

    def add(self, event: FeedEvent, line: bytes) -> None:
        """Take in one line of the snapshot."""
        self.size_bytes += len(line)
        self.digest.add(line)
        self.payloads.append(event.payload)

    def exceeds(self, max_bytes: int) -> bool:
        """Is it larger than its bound, or than its first line said?"""
        return self.size_bytes > max_bytes or len(self.payloads) > self.begin.lines

    def finish(self, end: SnapshotEnd) -> FeedSnapshot | None:
        """The snapshot with its last line; None where lines were lost or changed."""
        if end.cursor != self.begin.cursor or end.digest != self.digest.hex_digest():
            return None
        return FeedSnapshot(end.cursor, tuple(self.payloads))
