"""What a node holds of the feed: the recent events, and the state that all events together have made."""

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
"""Bytes of recent events that a node can replay; a subscriber further behind gets a snapshot."""
PURGE_RETENTION_MS = 60_000
"""How long a purge is part of snapshots; longer than caches need to carry a purge out."""
MAX_PURGES = 131_072
"""Purges kept at once, a bound on memory; the publisher rejects purges above half of it."""


class PurgeTable:
    """The latest purge of each object and group, for as long as it may bind."""

    def __init__(self, retention_ms: int = PURGE_RETENTION_MS, max_purges: int = MAX_PURGES) -> None:
        self.retention_ms = retention_ms
        self.max_purges = max_purges
        self.unix_ms_by_key: dict[PurgeKey, int] = {}  # in the order of arrival: the oldest is first

    def __len__(self) -> int:
        return len(self.unix_ms_by_key)

    def add(self, purge: PurgeEvent) -> bool:
        """Take a purge in; False where the same or a later one of its key is held already."""
        known_ms = self.unix_ms_by_key.get(purge.key)
        if known_ms is not None and known_ms >= purge.unix_ms:
            return False
        self.unix_ms_by_key.pop(purge.key, None)
        self.unix_ms_by_key[purge.key] = purge.unix_ms
        if len(self.unix_ms_by_key) > self.max_purges:
            del self.unix_ms_by_key[next(iter(self.unix_ms_by_key))]
        return True

    def expire(self, now_ms: int) -> list[PurgeKey]:
        """Drop what is older than the retention, oldest first; the keys dropped. Amortised constant time."""
        dropped = []
        for key, unix_ms in self.unix_ms_by_key.items():
            if unix_ms >= now_ms - self.retention_ms:
                break
            dropped.append(key)
        for key in dropped:
            del self.unix_ms_by_key[key]
        return dropped

    def events(self) -> Iterator[PurgeEvent]:
        """All purges held, oldest first."""
        for key, unix_ms in self.unix_ms_by_key.items():
            yield PurgeEvent(key, unix_ms)


class FeedState:
    """The list of caches, the binding purges and the documents as of one cursor."""

    def __init__(self, retention_ms: int = PURGE_RETENTION_MS) -> None:
        self.rows: dict[str, CacheRow] = {}
        self.list_version = 0
        self.purges = PurgeTable(retention_ms)
        self.documents: dict[str, Document] = {}
        self.assembler = DocumentAssembler()

    def apply(self, payload: Payload) -> Document | None:
        """Take one payload in; the document that it completes, if any. DocumentError: a part out of order."""
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
            raise DocumentError(f"over {MAX_DOCUMENTS} documents")
        self.documents[document.name] = document
        return document

    def payloads(self) -> Iterator[Payload]:
        """The state as payloads that make it again: purges first, then the list, then the documents."""
        yield from self.purges.events()
        if self.rows or self.list_version:
            yield CacheListChange(tuple(self.rows.values()), True, self.list_version)
        for document in self.documents.values():
            yield from split_document(document.name, document.version, document.text)
        yield from self.assembler.unfinished_parts()


def lines_within(lines: Sequence[bytes], position: int, max_bytes: int) -> list[bytes]:
    """Lines from a position on: one at least if there is one, then as many as fit into so many bytes."""
    chosen: list[bytes] = []
    size_bytes = 0
    while position < len(lines) and (not chosen or size_bytes + len(lines[position]) <= max_bytes):
        line = lines[position]
        chosen.append(line)
        size_bytes += len(line)
        position += 1
    return chosen


class LogExcerpt(NamedTuple):
    """Lines of a log, and the cursor behind the last of them."""

    data: bytes
    cursor: Cursor


class EventLog:
    """Recent events as lines, consecutive in one history, bounded in bytes."""

    def __init__(self, max_bytes: int = MAX_LOG_BYTES) -> None:
        self.max_bytes = max_bytes
        self.size_bytes = 0
        self.lines: deque[bytes] = deque()
        self.last = ORIGIN

    @property
    def first_number(self) -> int:
        """The number of the oldest event held; one past the last where none is."""
        return self.last.number - len(self.lines) + 1

    def append(self, event: FeedEvent) -> None:
        """The next event; FeedGapError if it is not the next one."""
        if event.cursor != self.last.following():
            raise FeedGapError(event.cursor, self.last)
        self.lines.append(event.line)
        self.size_bytes += len(event.line)
        self.last = event.cursor
        while self.size_bytes > self.max_bytes and len(self.lines) > 1:
            self.size_bytes -= len(self.lines.popleft())

    def restart(self, cursor: Cursor) -> None:
        """Drop all events, and go on behind a cursor."""
        self.lines.clear()
        self.size_bytes = 0
        self.last = cursor

    def can_resume(self, cursor: Cursor) -> bool:
        """Are all events behind a cursor held?"""
        is_same_history = cursor.history == self.last.history
        return is_same_history and self.first_number <= cursor.number + 1 <= self.last.number + 1

    def line_after(self, cursor: Cursor) -> bytes | None:
        """The line of the event behind a cursor that `can_resume`; None at the end."""
        position = cursor.number + 1 - self.first_number
        return self.lines[position] if position < len(self.lines) else None

    def lines_after(self, cursor: Cursor, max_bytes: int) -> LogExcerpt:
        """Lines behind a cursor that `can_resume`: one at least if there is one, then as many as fit into so
        many bytes."""
        lines = lines_within(self.lines, cursor.number + 1 - self.first_number, max_bytes)
        return LogExcerpt(b"".join(lines), Cursor(cursor.history, cursor.number + len(lines)))


@dataclass(frozen=True, slots=True)
class FeedSnapshot:
    """A state as of a cursor, as the payloads that make it."""

    cursor: Cursor
    payloads: tuple[Payload, ...]


class SnapshotLines(NamedTuple):
    """A state as of a cursor, as the lines that are sent."""

    cursor: Cursor
    lines: tuple[bytes, ...]


class Replica:
    """A copy of the feed: its log and its state, always of the same cursor."""

    def __init__(self, log_bytes: int = MAX_LOG_BYTES, retention_ms: int = PURGE_RETENTION_MS) -> None:
        self.retention_ms = retention_ms
        self.log = EventLog(log_bytes)
        self.state = FeedState(retention_ms)
        self.rejected_documents = 0
        self._snapshot: SnapshotLines | None = None

    @property
    def cursor(self) -> Cursor:
        """The last event applied."""
        return self.log.last

    def apply(self, event: FeedEvent, now_ms: int) -> Document | None:
        """Take in the next event; the document that it completes, if any. FeedGapError out of order."""
        self.log.append(event)
        self.state.purges.expire(now_ms)
        try:
            return self.state.apply(event.payload)
        except DocumentError:
            self.rejected_documents += 1  # the event still counts: the document's next version replaces it
            return None

    def install(self, snapshot: FeedSnapshot) -> None:
        """Replace the state by a snapshot's; OlderSnapshotError if it is older than the replica."""
        if snapshot.cursor < self.cursor:
            raise OlderSnapshotError(snapshot.cursor, self.cursor)
        self.state = _state_of(snapshot.payloads, self.retention_ms)
        self.log.restart(snapshot.cursor)
        self._snapshot = None

    def snapshot_lines(self, now_ms: int) -> SnapshotLines:
        """The state as lines. An earlier one is reused while the log goes on from it: many subscribers that
        connect at once share one copy."""
        held = self._snapshot
        if held is not None and self.log.can_resume(held.cursor) and self._is_recent(held.cursor):
            return held
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
        """Is less than half of the log behind a cursor? A subscriber that loads from further back could fall
        out of the log."""
        return cursor.number >= self.log.first_number + len(self.log.lines) // 2 - 1


def _state_of(payloads: Iterable[Payload], retention_ms: int) -> FeedState:
    state = FeedState(retention_ms)
    for payload in payloads:
        state.apply(payload)
    return state
