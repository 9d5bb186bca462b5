"""Encoding and decoding of feed lines. The format is that of the coordinator: one JSON value per line.

A bare integer is an announcement; an object with `index` and one payload field is an event. The `index` of a
line with `published_ms` is that of an event that the reader already has, so a reader that does not know such
lines ignores it. The `index` of a line with `snapshot` lies beyond a gap, so a reader that does not know such
lines reconnects.
"""

from __future__ import annotations

import re
from hashlib import blake2b
from typing import Any

import ujson

from onyxwick.distribution.model import (
    MAX_LINE_BYTES,
    Announcement,
    CacheListChange,
    CacheRow,
    Cursor,
    DocumentPart,
    FeedEvent,
    Freshness,
    MalformedLineError,
    Message,
    Payload,
    PayloadError,
    PurgeEvent,
    PurgeKey,
    SnapshotBegin,
    SnapshotEnd,
    UnknownPayload,
)

DELETED_STATE = "DELETED"
RETAINED_HEAD_BYTES = 64
"""Number of bytes of an oversized line that are retained, so that its event number can be read."""
_INDEX_OF_HEAD = re.compile(rb'\s*\{\s*"index"\s*:\s*(\d{1,19})\b').match
_CACHE_STATES = ("SERVING", "DRAINING", DELETED_STATE)


def decode(line: bytes) -> Message:
    """Decode one line into its message, with an unreadable payload as UnknownPayload.

    Raises MalformedLineError if the line is not a message.
    """
    if len(line) > MAX_LINE_BYTES:
        raise MalformedLineError(f"feed line has {len(line)} bytes, expected at most {MAX_LINE_BYTES} bytes")
    try:
        value = ujson.loads(line)
    except ValueError as error:
        raise MalformedLineError(f"feed line is not valid JSON: {error}") from None
    if _is_integer(value):
        return Announcement(Cursor.unpack(value))
    if not isinstance(value, dict) or not _is_integer(value.get("index")):
        raise MalformedLineError("feed line is neither an integer nor an object with an integer 'index'")
    cursor = Cursor.unpack(value["index"])
    if value.keys() == {"index"}:
        return Announcement(cursor)  # as the platform's coordinator writes its last number
    if "published_ms" in value:
        return _read_freshness(cursor, value["published_ms"])
    if "snapshot" in value:
        return _read_snapshot(cursor, value["snapshot"])
    complete_line = line.rstrip(b"\n") + b"\n"  # relays forward the line unchanged
    try:
        return FeedEvent(cursor, _read_payload(value), complete_line)
    except PayloadError as error:
        return FeedEvent(cursor, UnknownPayload(str(error)), complete_line)


def _is_integer(value: Any) -> bool:
    return isinstance(value, int) and not isinstance(value, bool)


def _read_freshness(cursor: Cursor, value: Any) -> Freshness:
    if not _is_integer(value) or value < 0:
        raise MalformedLineError("field 'published_ms' must be a non-negative integer")
    return Freshness(cursor, value)


def _read_snapshot(cursor: Cursor, value: Any) -> SnapshotBegin | SnapshotEnd:
    if isinstance(value, dict) and isinstance(value.get("digest"), str):
        return SnapshotEnd(cursor, value["digest"])
    if isinstance(value, dict) and _is_integer(value.get("lines")) and value["lines"] >= 0:
        return SnapshotBegin(cursor, value["lines"])
    raise MalformedLineError("field 'snapshot' is not an object with 'lines' or 'digest'")


def _read_payload(value: dict[str, Any]) -> Payload:
    if "endpoints" in value:
        return _read_cache_list(_object_field(value, "endpoints"))
    if "evict" in value:
        return _read_purge(_object_field(value, "evict"))
    if "document" in value:
        return _read_document_part(_object_field(value, "document"))
    raise PayloadError(f"event has no known payload field, only {sorted(value)[:8]}")


def _object_field(value: dict[str, Any], name: str) -> dict[str, Any]:
    inner = value[name]
    if not isinstance(inner, dict):
        raise PayloadError(f"field '{name}' is not an object")
    return inner


def _unsigned_field(value: dict[str, Any], name: str) -> int:
    inner = value.get(name)
    if not isinstance(inner, int) or isinstance(inner, bool) or inner < 0:
        raise PayloadError(f"field '{name}' must be a non-negative integer")
    return inner


def _text_field(value: dict[str, Any], name: str) -> str:
    inner = value.get(name)
    if not isinstance(inner, str):
        raise PayloadError(f"field '{name}' is not a string")
    return inner


def _read_cache_list(value: dict[str, Any]) -> CacheListChange:
    servers = value.get("servers")
    if not isinstance(servers, list) or not all(isinstance(row, dict) for row in servers):
        raise PayloadError("field 'servers' is not a list of objects")
    rows = []
    for row in servers:
        state = row.get("state")
        if row.get("id") is None or state not in _CACHE_STATES:
            raise PayloadError(f"cache row has no id or an unknown state: {state!r}")
        rows.append(CacheRow(str(row["id"]), state == DELETED_STATE, row))
    version = value.get("version") or 0
    return CacheListChange(tuple(rows), bool(value.get("full")), version if _is_integer(version) else 0)


def _read_purge(value: dict[str, Any]) -> PurgeEvent:
    unix_ms = _unsigned_field(value, "unix_ms")
    if value.get("ref") is not None:
        return PurgeEvent(PurgeKey(str(value["ref"]), None), unix_ms)
    return PurgeEvent(PurgeKey(None, _unsigned_field(value, "shard")), unix_ms)


def _read_document_part(value: dict[str, Any]) -> DocumentPart:
    part = DocumentPart(
        name=_text_field(value, "name"),
        version=_unsigned_field(value, "version"),
        number=_unsigned_field(value, "part"),
        part_count=_unsigned_field(value, "parts"),
        digest=_text_field(value, "digest"),
        text=_text_field(value, "text"),
    )
    if part.number >= part.part_count:
        raise PayloadError(f"document part number is {part.number}, expected less than {part.part_count}")
    return part


def encode_event(cursor: Cursor, payload: Payload) -> FeedEvent:
    """Return an event together with its encoded line."""
    return FeedEvent(cursor, payload, _encode_line({"index": cursor.packed, **_payload_fields(payload)}))


def encode_announcement(cursor: Cursor) -> bytes:
    """Encode a heartbeat: the cursor of the sender's last event."""
    return b"%d\n" % cursor.packed


def encode_freshness(cursor: Cursor, published_ms: int) -> bytes:
    """Encode a freshness line: when the publisher was reached, and the cursor of its last event then.

    A plain reader treats the line as an event that it already has."""
    return _encode_line({"index": cursor.packed, "published_ms": published_ms})


def encode_snapshot_begin(cursor: Cursor, lines: int) -> bytes:
    """Encode the first line of a snapshot, with the number of lines that follow before the last one."""
    return _encode_line({"index": cursor.packed, "snapshot": {"lines": lines}})


def encode_snapshot_end(cursor: Cursor, digest: str) -> bytes:
    """Encode the last line of a snapshot, with the digest of the lines between the first and the last."""
    return _encode_line({"index": cursor.packed, "snapshot": {"digest": digest}})


class LinesDigest:
    """The digest of a snapshot's lines. It is the same for lines with and without a line feed."""

    def __init__(self) -> None:
        self._hash = blake2b(digest_size=16)

    def add(self, line: bytes) -> None:
        """Add one line to the digest."""
        self._hash.update(line.rstrip(b"\n"))
        self._hash.update(b"\n")

    def hex_digest(self) -> str:
        """Return the digest of the lines added so far, in hexadecimal."""
        return self._hash.hexdigest()


def encode_follow(cursor: Cursor) -> bytes:
    """Encode the request that a follower sends once it is connected."""
    return b"follow %d\n" % cursor.packed


def oversized_line_stub(head: bytes) -> bytes:
    """Return a short line that replaces an oversized line, of which only the beginning was retained.

    The short line has the event number if `head` contains it. The event then counts as one with an unknown
    payload, so the follower does not request it repeatedly.
    """
    found = _INDEX_OF_HEAD(head)
    return b'{"index":%s,"oversized":true}' % found[1] if found is not None else b"oversized"


def decode_follow(line: bytes) -> Cursor:
    """Decode the cursor from which a subscriber resumes.

    Raises MalformedLineError if the line is not `follow N`.
    """
    words = line.split()
    if len(words) != 2 or words[0] != b"follow" or not words[1].isdigit() or len(words[1]) > 19:
        raise MalformedLineError("subscriber request is not 'follow N' with a decimal number N")
    return Cursor.unpack(int(words[1]))


def _encode_line(value: dict[str, Any]) -> bytes:
    return ujson.dumps(value, escape_forward_slashes=False).encode() + b"\n"


def _payload_fields(payload: Payload) -> dict[str, Any]:
    if isinstance(payload, CacheListChange):
        servers = [row.fields for row in payload.rows]
        return {"endpoints": {"version": payload.version, "full": payload.full, "servers": servers}}
    if isinstance(payload, PurgeEvent):
        key = payload.key
        key_fields = {"ref": key.object_id} if key.object_id is not None else {"shard": key.object_group}
        return {"evict": {**key_fields, "unix_ms": payload.unix_ms}}
    if isinstance(payload, UnknownPayload):
        raise PayloadError(
            "an event with an unknown payload is forwarded as its original line and cannot be encoded"
        )
    return {
        "document": {
            "name": payload.name,
            "version": payload.version,
            "part": payload.number,
            "parts": payload.part_count,
            "digest": payload.digest,
            "text": payload.text,
        }
    }
