"""Saves the publisher's replica state and cursors to the embedded store, in one transaction.

The state is stored, not the log: after a restart of the publisher, a follower that is up to date continues
and a follower that is behind gets a snapshot. An event is announced only when the transaction that contains
it is durable, so that a restart never reuses its number for another event. Values are feed lines or decimal
numbers.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from onyxwick.distribution.codec import decode, encode_event
from onyxwick.distribution.documents import split_document
from onyxwick.distribution.model import (
    ORIGIN,
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

KEY_PREFIX = "distribution/"
HEAD_KEY = KEY_PREFIX + "head"
UPSTREAM_KEY = KEY_PREFIX + "upstream"
LIST_VERSION_KEY = KEY_PREFIX + "list-version"
CACHE_PREFIX = KEY_PREFIX + "cache/"
PURGE_PREFIX = KEY_PREFIX + "purge/"
DOCUMENT_PREFIX = KEY_PREFIX + "document/"
AUTHOR = "distribution"
Changes = dict[str, bytes | None]
"""New values by key; None deletes the key."""


class DurableFeed:
    """Reads and writes the state of one replica in an open store."""

    def __init__(self, engine: StoreEngine) -> None:
        self.engine = engine

    def load(self, replica: Replica, unix_s: int) -> Cursor:
        """Fill a replica from the store, or start a new history if the store has none.

        Returns the cursor up to which the upstream feed was read. Raises DistributionError if the store
        contains something other than feed events, and StoreError if the disk fails.
        """
        head = self.engine.get(HEAD_KEY)
        if head is None:
            replica.log.restart(new_history(unix_s))
            operation = WriteOperation(HEAD_KEY, _encode_cursor(replica.cursor))
            self.engine.commit(Transaction((operation,), AUTHOR))
            return ORIGIN
        replica.install(FeedSnapshot(_decode_cursor(head), tuple(self._payloads())))
        upstream = self.engine.get(UPSTREAM_KEY)
        return ORIGIN if upstream is None else _decode_cursor(upstream)

    def save(self, events: Iterable[FeedEvent], upstream: Cursor, state: FeedState, now_us: int) -> None:
        """Make events durable before they are applied to `state`. Raises StoreError if the disk fails."""
        changes: Changes = {}
        documents: dict[str, list[DocumentPart]] = {}
        last: Cursor | None = None
        for event in events:
            changes |= self._changes(event.payload, state, documents)
            last = event.cursor
        if last is not None:
            changes[HEAD_KEY] = _encode_cursor(last)
        for purge_key in state.purges.expire(now_us // 1000):
            changes[_purge_key(purge_key)] = None
        changes[UPSTREAM_KEY] = _encode_cursor(upstream)
        operations = tuple(WriteOperation(key, value) for key, value in changes.items())
        self.engine.commit(Transaction(operations, AUTHOR, now_us))
        if self.engine.needs_compaction():
            self.engine.compact()

    def _changes(
        self, payload: Payload, state: FeedState, documents: dict[str, list[DocumentPart]]
    ) -> Changes:
        if isinstance(payload, PurgeEvent):
            return {_purge_key(payload.key): _encode_payload(payload)}
        if isinstance(payload, CacheListChange):
            return self._list_changes(payload, state)
        if isinstance(payload, DocumentPart):
            return _document_changes(payload, state, documents)
        return {}

    def _list_changes(self, change: CacheListChange, state: FeedState) -> Changes:
        changes: Changes = {}
        if change.full:
            changes |= {CACHE_PREFIX + name: None for name in state.rows}
            changes |= {key: None for key in self.engine.keys(CACHE_PREFIX)}
        for row in change.rows:
            single = CacheListChange((row,), False, 0)
            changes[CACHE_PREFIX + row.id] = None if row.deleted else _encode_payload(single)
        changes[LIST_VERSION_KEY] = b"%d" % change.version
        return changes

    def _payloads(self) -> Iterator[Payload]:
        for _, value in self.engine.scan(PURGE_PREFIX):
            yield from _decode_payloads(value)
        rows = tuple(self._rows())
        version = int(self.engine.get(LIST_VERSION_KEY) or 0)
        if rows or version:
            yield CacheListChange(rows, True, version)
        for _, value in self.engine.scan(DOCUMENT_PREFIX):
            yield from _decode_payloads(value)

    def _rows(self) -> Iterator[CacheRow]:
        for _, value in self.engine.scan(CACHE_PREFIX):
            for payload in _decode_payloads(value):
                if isinstance(payload, CacheListChange):
                    yield from payload.rows


def _document_changes(
    payload: DocumentPart, state: FeedState, documents: dict[str, list[DocumentPart]]
) -> Changes:
    """Return the stored value of a document that this part completes, or no changes for an earlier part.

    Only complete documents are stored: the publisher sends an incomplete document again after a restart.
    `documents` collects the parts of one save, starting with the parts that the state already has.
    """
    parts = documents.setdefault(payload.name, list(_earlier_parts(state, payload)))
    parts.append(payload)
    if payload.number + 1 < payload.part_count:
        return {}
    text = "".join(part.text for part in parts if part.digest == payload.digest)
    document = Document(payload.name, payload.version, payload.digest, text)
    stored_parts = split_document(document.name, document.version, document.text)
    return {DOCUMENT_PREFIX + payload.name: b"".join(_encode_payload(part) for part in stored_parts)}


def _earlier_parts(state: FeedState, payload: DocumentPart) -> Iterator[DocumentPart]:
    for part in state.assembler.unfinished_parts():
        if (part.name, part.digest) == (payload.name, payload.digest):
            yield part


def _encode_cursor(cursor: Cursor) -> bytes:
    return b"%d" % cursor.packed


def _decode_cursor(value: bytes) -> Cursor:
    return Cursor.unpack(int(value))


def _purge_key(key: PurgeKey) -> str:
    name = f"ref/{key.object_id}" if key.object_id is not None else f"shard/{key.object_group}"
    return PURGE_PREFIX + name


def _encode_payload(payload: Payload) -> bytes:
    return encode_event(ORIGIN, payload).line


def _decode_payloads(value: bytes) -> Iterator[Payload]:
    for line in value.splitlines():
        message = decode(line)
        if not isinstance(message, FeedEvent):
            raise DistributionError(f"stored feed line is not an event: {line[:64]!r}")
        yield message.payload
