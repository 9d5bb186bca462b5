"""The copy of the feed in one node: the recent events, and the state that results from all events."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass
from typing import NamedTuple

from onyxwick.distribution.codec import (
    LinesDigest,
    encode_event,
    encode_snapshot_begin,
    encode_snapshot_end,
)
from onyxwick.distribution.documents import DocumentAssembler, DocumentError, split_document
from onyxwick.distribution.model import (
    MAX_DOCUMENTS,
    ORIGIN,
    CacheListChange,
    CacheRow,
    Cursor,
    Document,
    DocumentPart,
    FeedEvent,
    FeedGapError,
    OlderSnapshotError,
    Payload,
    PurgeEvent,
    PurgeKey,
)

MAX_LOG_BYTES = 4_194_304
"""Bytes of recent events that a node can replay; a subscriber that is further behind gets a snapshot."""
PURGE_RETENTION_MS = 60_000
"""How long a purge is part of snapshots; this is longer than caches need to execute a purge."""
MAX_PURGES = 131_072
"""Maximum number of purges in a table, to limit memory. By default, the publisher accepts half as many."""


class PurgeTable:
    """The latest purge of each object and group, for as long as the purge may be in effect."""

    def __init__(self, retention_ms: int = PURGE_RETENTION_MS, max_purges: int = MAX_PURGES) -> None:
        self.retention_ms = retention_ms
        self.max_purges = max_purges
        self.unix_ms_by_key: dict[PurgeKey, int] = {}  # in order of arrival, the oldest first

    def __len__(self) -> int:
        return len(self.unix_ms_by_key)

    def add(self, purge: PurgeEvent) -> bool:
        """Add a purge. Returns False if the table already has the same or a later purge of its key."""
        known_ms = self.unix_ms_by_key.get(purge.key)
        if known_ms is not None and known_ms >= purge.unix_ms:
            return False
        self.unix_ms_by_key.pop(purge.key, None)
        self.unix_ms_by_key[purge.key] = purge.unix_ms
        if len(self.unix_ms_by_key) > self.max_purges:
            del self.unix_ms_by_key[next(iter(self.unix_ms_by_key))]
        return True

    def expire(self, now_ms: int) -> list[PurgeKey]:
        """Drop purges older than the retention, oldest first, and return their keys.

        The amortised cost is constant per purge.
        """
        dropped = []
        for key, unix_ms in self.unix_ms_by_key.items():
            if unix_ms >= now_ms - self.retention_ms:
                break
            dropped.append(key)
        for key in dropped:
            del self.unix_ms_by_key[key]
        return dropped

    def events(self) -> Iterator[PurgeEvent]:
        """Yield all purges in the table, oldest first."""
        for key, unix_ms in self.unix_ms_by_key.items():
            yield PurgeEvent(key, unix_ms)


class FeedState:
    """The list of caches, the purges in effect and the documents as of one cursor."""

    def __init__(self, retention_ms: int = PURGE_RETENTION_MS) -> None:
        self.rows: dict[str, CacheRow] = {}
        self.list_version = 0
        self.purges = PurgeTable(retention_ms)
        self.documents: dict[str, Document] = {}
        self.assembler = DocumentAssembler()

    def apply(self, payload: Payload) -> Document | None:
        """Apply one payload and return the document that it completes, if any.

        Raises DocumentError if a document part does not fit.
        """
        if isinstance(payload, PurgeEvent):
            self.purges.add(payload)
            return None
        if isinstance(payload, CacheListChange):
            self._apply_list(payload)
            return None
        return self._apply_part(payload) if isinstance(payload, DocumentPart) else None

    def _apply_list(self, change: CacheListChange) -> None:
        if change.full:
            self.rows.clear()
        self.list_version = change.version
        for row in change.rows:
            if row.deleted:
                self.rows.pop(row.id, None)
            else:
                self.rows[row.id] = row

    def _apply_part(self, part: DocumentPart) -> Document | None:
        document = self.assembler.add(part)
        if document is None:
            return None
        if document.name not in self.documents and len(self.documents) >= MAX_DOCUMENTS:
            raise DocumentError(f"more than {MAX_DOCUMENTS} documents")
        self.documents[document.name] = document
        return document

    def payloads(self) -> Iterator[Payload]:
        """Yield payloads that rebuild the state: first purges, then the list of caches, then documents."""
        yield from self.purges.events()
        if self.rows or self.list_version:
            yield CacheListChange(tuple(self.rows.values()), True, self.list_version)
        for document in self.documents.values():
            yield from split_document(document.name, document.version, document.text)
        yield from self.assembler.unfinished_parts()


def lines_within(lines: Sequence[bytes], position: int, max_bytes: int) -> list[bytes]:
    """Return the lines from `position` on that fit into `max_bytes`, but at least one if there is one."""
    chosen: list[bytes] = []
    size_bytes = 0
    while position < len(lines) and (not chosen or size_bytes + len(lines[position]) <= max_bytes):
        line = lines[position]
        chosen.append(line)
        size_bytes += len(line)
        position += 1
    return chosen


class LogExcerpt(NamedTuple):
    """Lines of a log, and the cursor of the last of them."""

    data: bytes
    cursor: Cursor


class EventLog:
    """Recent events as lines, consecutive in one history and limited to `max_bytes`."""

    def __init__(self, max_bytes: int = MAX_LOG_BYTES) -> None:
        self.max_bytes = max_bytes
        self.size_bytes = 0
        self.lines: deque[bytes] = deque()
        self.last = ORIGIN

    @property
    def first_number(self) -> int:
        """Return the number of the oldest event in the log, or the next number if the log is empty."""
        return self.last.number - len(self.lines) + 1

    def append(self, event: FeedEvent) -> None:
        """Append an event. Raises FeedGapError if it is not the next one."""
        if event.cursor != self.last.following():
            raise FeedGapError(event.cursor, self.last)
        self.lines.append(event.line)
        self.size_bytes += len(event.line)
        self.last = event.cursor
        while self.size_bytes > self.max_bytes and len(self.lines) > 1:
            self.size_bytes -= len(self.lines.popleft())

    def restart(self, cursor: Cursor) -> None:
        """Drop all events and continue after a cursor."""
        self.lines.clear()
        self.size_bytes = 0
        self.last = cursor

    def can_resume(self, cursor: Cursor) -> bool:
        """Return whether the log has all events after a cursor."""
        is_same_history = cursor.history == self.last.history
        return is_same_history and self.first_number <= cursor.number + 1 <= self.last.number + 1

    def line_after(self, cursor: Cursor) -> bytes | None:
        """Return the line of the next event after a cursor that `can_resume`; None at the end of the log."""
        position = cursor.number + 1 - self.first_number
        return self.lines[position] if position < len(self.lines) else None

    def lines_after(self, cursor: Cursor, max_bytes: int) -> LogExcerpt:
        """Return the lines after a cursor that `can_resume`.

        The lines fit into `max_bytes`, but at least one is returned if there is one.
        """
        lines = lines_within(self.lines, cursor.number + 1 - self.first_number, max_bytes)
        return LogExcerpt(b"".join(lines), Cursor(cursor.history, cursor.number + len(lines)))


@dataclass(frozen=True, slots=True)
class FeedSnapshot:
    """The state as of a cursor, as the payloads that rebuild it."""

    cursor: Cursor
    payloads: tuple[Payload, ...]


class SnapshotLines(NamedTuple):
    """The state as of a cursor, as the lines to send."""

    cursor: Cursor
    lines: tuple[bytes, ...]


class Replica:
    """A copy of the feed: its log and its state, which always have the same cursor."""

    def __init__(self, log_bytes: int = MAX_LOG_BYTES, retention_ms: int = PURGE_RETENTION_MS) -> None:
        self.retention_ms = retention_ms
        self.log = EventLog(log_bytes)
        self.state = FeedState(retention_ms)
        self.rejected_documents = 0
        self._snapshot: SnapshotLines | None = None

    @property
    def cursor(self) -> Cursor:
        """Return the cursor of the last event applied."""
        return self.log.last

    def apply(self, event: FeedEvent, now_ms: int) -> Document | None:
        """Apply the next event and return the document that it completes, if any.

        Raises FeedGapError if the event is out of order.
        """
        self.log.append(event)
        self.state.purges.expire(now_ms)
        try:
            return self.state.apply(event.payload)
        except DocumentError:
            self.rejected_documents += 1  # the event still counts: a later document version replaces it
            return None

    def install(self, snapshot: FeedSnapshot) -> None:
        """Replace the state by a snapshot's. Raises OlderSnapshotError if it is older than the replica."""
        if snapshot.cursor < self.cursor:
            raise OlderSnapshotError(snapshot.cursor, self.cursor)
        self.state = _state_of(snapshot.payloads, self.retention_ms)
        self.log.restart(snapshot.cursor)
        self._snapshot = None

    def snapshot_lines(self, now_ms: int) -> SnapshotLines:
        """Return the state as lines.

        An earlier snapshot is reused while the log continues from it, so that many subscribers that connect
        at the same time share one copy.
        """
        cached = self._snapshot
        if cached is not None and self.log.can_resume(cached.cursor) and self._is_recent(cached.cursor):
            return cached
        self.state.purges.expire(now_ms)
        cursor = self.cursor
        body = [encode_event(cursor, payload).line for payload in self.state.payloads()]
        digest = LinesDigest()
        for line in body:
            digest.add(line)
        begin = encode_snapshot_begin(cursor, len(body))
        end = encode_snapshot_end(cursor, digest.hex_digest())
        self._snapshot = SnapshotLines(cursor, (begin, *body, end))
        return self._snapshot

    def _is_recent(self, cursor: Cursor) -> bool:
        """Return whether at most about half of the log is after a cursor.

        A subscriber that loads an older snapshot could end up with a cursor that the log no longer covers.
        """
        return cursor.number >= self.log.first_number + len(self.log.lines) // 2 - 1


def _state_of(payloads: Iterable[Payload], retention_ms: int) -> FeedState:
    state = FeedState(retention_ms)
    for payload in payloads:
        state.apply(payload)
    return state
