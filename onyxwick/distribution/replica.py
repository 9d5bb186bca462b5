"""What a node holds of the feed: the recent events, and the state that all events together have made."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from onyxwick.distribution.codec import (
    LinesDigest,
    encode_event,
    encode_snapshot_begin,
    encode_snapshot_end,
)
from onyxwick.distribution.documents import Assembler, DocumentError, split
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
    Payload,
    PurgeEvent,
    PurgeKey,
    StepBackError,
)

LOG_BYTES = 4_194_304
"""Bytes of recent events that a node can replay; who is further behind gets a snapshot."""
PURGE_RETENTION_MS = 60_000
"""How long a purge is part of snapshots. Has to exceed the time in which caches carry a purge out."""
MAX_PURGES = 131_072
"""Purges kept at once: 36 minutes of 60 a second, were they all retained. The publisher admits half of it."""


class PurgeTable:
    """The latest purge of each object and group, for as long as it may bind."""

    def __init__(self, retention_ms: int = PURGE_RETENTION_MS, most: int = MAX_PURGES) -> None:
        self.retention_ms, self.most = retention_ms, most
        self.times: dict[PurgeKey, int] = {}  # in the order of their coming: the oldest is first

    def __len__(self) -> int:
        return len(self.times)

    def add(self, purge: PurgeEvent) -> bool:
        """Take a purge in; False where the same or a later one of its key is held already."""
        known = self.times.get(purge.key)
        if known is not None and known >= purge.unix_ms:
            return False
        self.times.pop(purge.key, None)
        self.times[purge.key] = purge.unix_ms
        if len(self.times) > self.most:
            del self.times[next(iter(self.times))]
        return True

    def expire(self, now_ms: int) -> list[PurgeKey]:
        """Drop what is older than the retention, oldest first; the keys dropped. Amortised constant time."""
        dropped = []
        for key, unix_ms in self.times.items():
            if unix_ms >= now_ms - self.retention_ms:
                break
            dropped.append(key)
        for key in dropped:
            del self.times[key]
        return dropped

    def events(self) -> Iterator[PurgeEvent]:
        """All purges held, oldest first."""
        for key, unix_ms in self.times.items():
            yield PurgeEvent(key, unix_ms)


class FeedState:
    """The list of caches, the binding purges and the documents as of one cursor."""

    def __init__(self, retention_ms: int = PURGE_RETENTION_MS) -> None:
        self.rows: dict[str, CacheRow] = {}
        self.list_version = 0
        self.purges = PurgeTable(retention_ms)
        self.documents: dict[str, Document] = {}
        self.assembler = Assembler()

    def apply(self, payload: Payload) -> Document | None:
        """Take one payload in; the document that it completes, if any. DocumentError: a part out of place."""
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
            if row.gone:
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
            yield from split(document.name, document.version, document.text)
        yield from self.assembler.unfinished()


class EventLog:
    """Recent events as lines, consecutive in one history, bounded in bytes."""

    def __init__(self, most_bytes: int = LOG_BYTES) -> None:
        self.most_bytes, self.size = most_bytes, 0
        self.lines: deque[bytes] = deque()
        self.last = ORIGIN

    @property
    def first_number(self) -> int:
        """The number of the oldest event held; one past the last where none is."""
        return self.last.number - len(self.lines) + 1

    def append(self, event: FeedEvent) -> None:
        """The next event; FeedGapError if it is not the next one."""
        if event.cursor != self.last.following():
            raise FeedGapError(f"event {event.cursor} after {self.last}")
        self.lines.append(event.line)
        self.size += len(event.line)
        self.last = event.cursor
        while self.size > self.most_bytes and len(self.lines) > 1:
            self.size -= len(self.lines.popleft())

    def restart(self, cursor: Cursor) -> None:
        """Hold nothing, and go on behind a cursor."""
        self.lines.clear()
        self.size, self.last = 0, cursor

    def can_resume(self, cursor: Cursor) -> bool:
        """Are all events behind a cursor held?"""
        same = cursor.history == self.last.history
        return same and self.first_number <= cursor.number + 1 <= self.last.number + 1

    def line_after(self, cursor: Cursor) -> bytes | None:
        """The line of the event behind a cursor that `can_resume`; None at the end."""
        place = cursor.number + 1 - self.first_number
        return self.lines[place] if place < len(self.lines) else None

    def lines_after(self, cursor: Cursor, most_bytes: int) -> tuple[bytes, Cursor]:
        """Lines behind a cursor that `can_resume`: one at least if there is one, then up to so many bytes."""
        place, parts, size = cursor.number + 1 - self.first_number, list[bytes](), 0
        while place < len(self.lines) and (not parts or size + len(self.lines[place]) <= most_bytes):
            parts.append(self.lines[place])
            size += len(self.lines[place])
            place += 1
        return b"".join(parts), Cursor(cursor.history, cursor.number + len(parts))


@dataclass(frozen=True, slots=True)
class FeedSnapshot:
    """A state as of a cursor: as payloads where it was received, with its lines where it is sent on."""

    cursor: Cursor
    payloads: tuple[Payload, ...]


class Replica:
    """A copy of the feed: its log and its state, always of the same cursor."""

    def __init__(self, log_bytes: int = LOG_BYTES, retention_ms: int = PURGE_RETENTION_MS) -> None:
        self.retention_ms = retention_ms
        self.log, self.state = EventLog(log_bytes), FeedState(retention_ms)
        self.bad_documents = 0
        self._snapshot: tuple[Cursor, tuple[bytes, ...]] | None = None

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
            self.bad_documents += 1  # its number counts all the same: the next version mends it
            return None

    def install(self, snapshot: FeedSnapshot) -> None:
        """Replace the state by a snapshot's; StepBackError if it is older than what is held."""
        if snapshot.cursor < self.cursor:
            raise StepBackError(f"snapshot of {snapshot.cursor} under {self.cursor}")
        self.state = _state_of(snapshot.payloads, self.retention_ms)
        self.log.restart(snapshot.cursor)
        self._snapshot = None

    def snapshot_lines(self, now_ms: int) -> tuple[Cursor, tuple[bytes, ...]]:
        """The state as lines. One made earlier is given again while the log goes on from it: many
        subscribers that come at once share one copy."""
        held = self._snapshot
        if held is not None and self.log.can_resume(held[0]) and self._covers(held[0]):
            return held
        self.state.purges.expire(now_ms)
        cursor = self.cursor
        body = [encode_event(cursor, payload).line for payload in self.state.payloads()]
        digest = LinesDigest()
        for line in body:
            digest.add(line)
        lines = (encode_snapshot_begin(cursor, len(body)), *body, encode_snapshot_end(cursor, digest.text()))
        self._snapshot = cursor, lines
        return self._snapshot

    def _covers(self, cursor: Cursor) -> bool:
        """Is less than half of the log behind a cursor? Else who loads from there may fall out of it."""
        return cursor.number >= self.log.first_number + len(self.log.lines) // 2 - 1


def _state_of(payloads: Iterable[Payload], retention_ms: int) -> FeedState:
    state = FeedState(retention_ms)
    for payload in payloads:
        state.apply(payload)
    return state
