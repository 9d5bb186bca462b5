"""Lines of the feed to messages and back. The form is the coordinator's: one JSON value a line.

An integer alone is an announcement; an object with `index` and one payload field is an event. Lines with
`published_ms` or `snapshot` repeat a number that the reader already has or take it beyond a gap; a reader
that does not know them ignores the first and reconnects at the second.
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
OVERSIZED_HEAD_BYTES = 64
"""Of a line that is too long, what is kept to read its number from."""
_INDEX_OF_HEAD = re.compile(rb'\s*\{\s*"index"\s*:\s*(\d{1,19})\b').match
_CACHE_STATES = ("SERVING", "DRAINING", DELETED_STATE)


def decode(line: bytes) -> Message:
    """The message of one line, an unreadable payload as UnknownPayload; MalformedLineError if it is none."""
    if len(line) > MAX_LINE_BYTES:
        raise MalformedLineError(f"a line of {len(line)} bytes, {MAX_LINE_BYTES} at most")
    try:
        value = ujson.loads(line)
    except ValueError as error:
        raise MalformedLineError(f"no JSON: {error}") from None
    if _is_integer(value):
        return Announcement(Cursor.unpack(value))
    if not isinstance(value, dict) or not _is_integer(value.get("index")):
        raise MalformedLineError("neither a number nor an object with 'index'")
    cursor = Cursor.unpack(value["index"])
    if "published_ms" in value:
        return _read_freshness(cursor, value["published_ms"])
    if "snapshot" in value:
        return _read_snapshot(cursor, value["snapshot"])
    complete_line = line.rstrip(b"\n") + b"\n"  # relays pass it on unchanged
    try:
        return FeedEvent(cursor, _read_payload(value), complete_line)
    except PayloadError as error:
        return FeedEvent(cursor, UnknownPayload(str(error)), complete_line)


def _is_integer(value: Any) -> bool:
    return isinstance(value, int) and not isinstance(value, bool)


def _read_freshness(cursor: Cursor, value: Any) -> Freshness:
    if not _is_integer(value) or value < 0:
        raise MalformedLineError("field 'published_ms' must be an integer from 0 on")
    return Freshness(cursor, value)


def _read_snapshot(cursor: Cursor, value: Any) -> SnapshotBegin | SnapshotEnd:
    if isinstance(value, dict) and isinstance(value.get("digest"), str):
        return SnapshotEnd(cursor, value["digest"])
    if isinstance(value, dict) and _is_integer(value.get("lines")) and value["lines"] >= 0:
        return SnapshotBegin(cursor, value["lines"])
    raise MalformedLineError("field 'snapshot' is no object with 'lines' or 'digest'")


def _read_payload(value: dict[str, Any]) -> Payload:
    if "endpoints" in value:
        return _read_cache_list(_object_field(value, "endpoints"))
    if "evict" in value:
        return _read_purge(_object_field(value, "evict"))
    if "document" in value:
        return _read_document_part(_object_field(value, "document"))
    raise PayloadError(f"no known payload among {sorted(value)[:8]}")


def _object_field(value: dict[str, Any], name: str) -> dict[str, Any]:
    inner = value[name]
    if not isinstance(inner, dict):
        raise PayloadError(f"field '{name}' is no object")
    return inner


def _unsigned_field(value: dict[str, Any], name: str) -> int:
    inner = value.get(name)
    if not isinstance(inner, int) or isinstance(inner, bool) or inner < 0:
        raise PayloadError(f"field '{name}' must be an integer from 0 on")
    return inner


def _text_field(value: dict[str, Any], name: str) -> str:
    inner = value.get(name)
    if not isinstance(inner, str):
        raise PayloadError(f"field '{name}' is no text")
    return inner


def _read_cache_list(value: dict[str, Any]) -> CacheListChange:
    servers = value.get("servers")
    if not isinstance(servers, list) or not all(isinstance(row, dict) for row in servers):
        raise PayloadError("field 'servers' is no list of objects")
    rows = []
    for row in servers:
        state = row.get("state")
        if row.get("id") is None or state not in _CACHE_STATES:
            raise PayloadError(f"a cache without an id, or in state {state!r}")
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
        part=_unsigned_field(value, "part"),
        parts=_unsigned_field(value, "parts"),
        digest=_text_field(value, "digest"),
        text=_text_field(value, "text"),
    )
    if part.part >= part.parts:
        raise PayloadError(f"part {part.part} of {part.parts}")
    return part


def encode_event(cursor: Cursor, payload: Payload) -> FeedEvent:
    """An event with its line."""
    return FeedEvent(cursor, payload, _encode_line({"index": cursor.packed, **_payload_fields(payload)}))


def encode_announcement(cursor: Cursor) -> bytes:
    """A heartbeat's line."""
    return b"%d\n" % cursor.packed


def encode_freshness(cursor: Cursor, published_ms: int) -> bytes:
    """A freshness line, which a plain reader takes for an event that it already has."""
    return _encode_line({"index": cursor.packed, "published_ms": published_ms})


def encode_snapshot_begin(cursor: Cursor, lines: int) -> bytes:
    """The first line of a snapshot."""
    return _encode_line({"index": cursor.packed, "snapshot": {"lines": lines}})


def encode_snapshot_end(cursor: Cursor, digest: str) -> bytes:
    """The last line of a snapshot, with the digest of the lines between."""
    return _encode_line({"index": cursor.packed, "snapshot": {"digest": digest}})


class LinesDigest:
    """The digest of a snapshot's lines, with or without their line feeds."""

    def __init__(self) -> None:
        self._hash = blake2b(digest_size=16)

    def add(self, line: bytes) -> None:
        """Take in one line."""
        self._hash.update(line.rstrip(b"\n"))
        self._hash.update(b"\n")

    def hex_digest(self) -> str:
        """The digest so far, as hexadecimal digits."""
        return self._hash.hexdigest()


def encode_follow(cursor: Cursor) -> bytes:
    """The request that a follower sends once connected."""
    return b"follow %d\n" % cursor.packed


def oversized_line_stub(head: bytes) -> bytes:
    """A short line in place of one that is too long, of which only the beginning was kept.

    It has the event's number, if that could be read: the event then counts as one with an unknown payload,
    and is not requested again and again.
    """
    found = _INDEX_OF_HEAD(head)
    return b'{"index":%s,"oversized":true}' % found[1] if found is not None else b"oversized"


def decode_follow(line: bytes) -> Cursor:
    """The cursor that a subscriber resumes from; MalformedLineError where the line is no `follow N`."""
    words = line.split()
    if len(words) != 2 or words[0] != b"follow" or not words[1].isdigit() or len(words[1]) > 19:
        raise MalformedLineError("no line 'follow N'")
    return Cursor.unpack(int(words[1]))


def _encode_line(value: dict[str, Any]) -> bytes:
    return ujson.dumps(value, escape_forward_slashes=False).encode() + b"\n"


def _payload_fields(payload: Payload) -> dict[str, Any]:
    if isinstance(payload, CacheListChange):
        servers = [row.fields for row in payload.rows]
        return {"endpoints": {"version": payload.version, "full": payload.full, "servers": servers}}
    if isinstance(payload, PurgeEvent):
        key = payload.key
        key_fields = {"ref": key.ref} if key.ref is not None else {"shard": key.shard}
        return {"evict": {**key_fields, "unix_ms": payload.unix_ms}}
    if isinstance(payload, UnknownPayload):
        raise PayloadError("an event with an unknown payload is passed on as its line, never encoded")
    return {
        "document": {
            "name": payload.name,
            "version": payload.version,
            "part": payload.part,
            "parts": payload.parts,
            "digest": payload.digest,
            "text": payload.text,
        }
    }
