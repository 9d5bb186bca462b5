"""The publisher's state in the embedded store: what its replica holds, and the cursors, in one transaction.

Not the log but the state is kept: after a restart a follower that is current goes on, one that is behind gets
a snapshot. An event is announced only when the transaction that holds it is durable, so that a restart never
gives its number to another event.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from onyxwick.distribution.codec import decode, encode_event
from onyxwick.distribution.documents import split
from onyxwick.distribution.model import (
    CacheListChange,
    CacheRow,
    Cursor,
    DistributionError,
    Document,
    DocumentPart,
    FeedEvent,
    Payload,
    PurgeEvent,
    PurgeKey,
)
from onyxwick.distribution.publisher import new_history
from onyxwick.distribution.replica import FeedSnapshot, FeedState, Replica
from onyxwick.store.engine import StoreEngine, Transaction, WriteOperation

PREFIX = "distribution/"
HEAD, UPSTREAM, LIST_VERSION = PREFIX + "head", PREFIX + "upstream", PREFIX + "list-version"
CACHE, PURGE, DOCUMENT = PREFIX + "cache/", PREFIX + "purge/", PREFIX + "document/"
BY = "distribution"


class DurableFeed:
    """Reads and writes the state of one replica in a store that is open."""

    def __init__(self, engine: StoreEngine) -> None:
        self.engine = engine

    def load(self, replica: Replica, unix_s: int) -> Cursor:
        """Fill a replica from the store, or begin a new history; the cursor of what was read upstream."""
        head = self.engine.get(HEAD)
        if head is None:
            replica.log.restart(new_history(unix_s))
            self.engine.commit(Transaction((WriteOperation(HEAD, _number(replica.cursor)),), BY))
            return Cursor(0, 0)
        replica.install(FeedSnapshot(_cursor(head), tuple(self._payloads())))
        upstream = self.engine.get(UPSTREAM)
        return Cursor(0, 0) if upstream is None else _cursor(upstream)

    def save(self, events: Iterable[FeedEvent], upstream: Cursor, state: FeedState, now_us: int) -> None:
        """Make events durable before they are applied to `state`; StoreError where the disk fails."""
        changes: dict[str, bytes | None] = {}
        documents: dict[str, list[DocumentPart]] = {}
        last: Cursor | None = None
        for event in events:
            changes |= self._changes(event.payload, state, documents)
            last = event.cursor
        if last is not None:
            changes[HEAD] = _number(last)
        changes |= self._expired(state, now_us // 1000)
        changes[UPSTREAM] = _number(upstream)
        ops = tuple(WriteOperation(key, value) for key, value in changes.items())
        self.engine.commit(Transaction(ops, BY, now_us))
        if self.engine.needs_compaction():
            self.engine.compact()

    def _changes(
        self, payload: Payload, state: FeedState, documents: dict[str, list[DocumentPart]]
    ) -> dict[str, bytes | None]:
        if isinstance(payload, PurgeEvent):
            return {PURGE + _purge_name(payload.key): _line(payload)}
        if isinstance(payload, CacheListChange):
            return self._list_changes(payload, state)
        if not isinstance(payload, DocumentPart):
            return {}
        # Parts of a document that is not whole yet are not kept: the publisher sends it anew after a restart.
        parts = documents.setdefault(payload.name, list(_parts_of(state, payload)))
        parts.append(payload)
        if payload.part + 1 < payload.parts:
            return {}
        text = "".join(part.text for part in parts if part.digest == payload.digest)
        document = Document(payload.name, payload.version, payload.digest, text)
        return {DOCUMENT + payload.name: b"".join(_line(part) for part in _split(document))}

    def _list_changes(self, change: CacheListChange, state: FeedState) -> dict[str, bytes | None]:
        changes: dict[str, bytes | None] = {}
        if change.full:
            changes |= {CACHE + name: None for name in state.rows}
            changes |= {key: None for key in self.engine.keys(CACHE)}
        for row in change.rows:
            single = CacheListChange((row,), False, 0)
            changes[CACHE + row.id] = None if row.gone else _line(single)
        changes[LIST_VERSION] = b"%d" % change.version
        return changes

    def _expired(self, state: FeedState, now_ms: int) -> dict[str, bytes | None]:
        return {PURGE + _purge_name(key): None for key in state.purges.expire(now_ms)}

    def _payloads(self) -> Iterator[Payload]:
        for _, value in self.engine.scan(PURGE):
            yield from _payloads_of(value)
        rows = tuple(self._rows())
        version = int(self.engine.get(LIST_VERSION) or 0)
        if rows or version:
            yield CacheListChange(rows, True, version)
        for _, value in self.engine.scan(DOCUMENT):
            yield from _payloads_of(value)

    def _rows(self) -> Iterator[CacheRow]:
        for _, value in self.engine.scan(CACHE):
            for payload in _payloads_of(value):
                if isinstance(payload, CacheListChange):
                    yield from payload.rows


def _split(document: Document) -> list[DocumentPart]:
    return split(document.name, document.version, document.text)


def _parts_of(state: FeedState, payload: DocumentPart) -> Iterator[DocumentPart]:
    for part in state.assembler.unfinished():
        if (part.name, part.digest) == (payload.name, payload.digest):
            yield part


def _number(cursor: Cursor) -> bytes:
    return b"%d" % cursor.packed


def _cursor(value: bytes) -> Cursor:
    return Cursor.unpack(int(value))


def _purge_name(key: PurgeKey) -> str:
    return f"ref/{key.ref}" if key.ref is not None else f"shard/{key.shard}"


def _line(payload: Payload) -> bytes:
    return encode_event(Cursor(0, 0), payload).line


def _payloads_of(value: bytes) -> Iterator[Payload]:
    for line in value.splitlines():
        message = decode(line)
        if not isinstance(message, FeedEvent):
            raise DistributionError(f"the store holds what is no event: {line[:64]!r}")
        yield message.payload
