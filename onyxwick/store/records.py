"""Records, segments, marks and checkpoints as bytes, both ways. No I/O.

A record: length, checksum (CRC-32C over length, number and payload), number, payload. A segment begins with
a header that names the store, so that files of another installation are not taken for this one's. The mark
says up to which number everything has been acknowledged: what lies behind it may be torn by a crash and is
nobody's; what lies before it and does not hold has been lost, and the store refuses to open.
"""

from __future__ import annotations

import struct
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

import crc32c
import msgspec

from onyxwick.store.errors import StoreUnusableError

RECORD = struct.Struct("<IIQ")  # bytes of the payload, checksum, number
SEGMENT = struct.Struct("<8s16sQQI")  # magic, store, segment, number of the record before its first, checksum
MARK = struct.Struct("<8s16sQQI")  # magic, store, number acknowledged, turn, checksum
SEGMENT_MAGIC, MARK_MAGIC, CHECKPOINT_MAGIC = b"OWLOG 1\n", b"OWMARK1\n", b"OWCKPT1\n"
MOST_PAYLOAD = 16 << 20
SLOT = 4096  # a mark has two of these, written in turn: a torn write spoils one
Ops = list[tuple[str, bytes | None, int]]  # key, value (None: deleted), version


class RecordPayload(msgspec.Struct, array_like=True):
    """One transaction: all of it holds or nothing."""

    at_us: int
    by: str
    ops: list[tuple[str, bytes | None, int]]


_payloads = msgspec.msgpack.Decoder(RecordPayload)
encode = msgspec.msgpack.Encoder().encode


_HEAD = struct.Struct("<IQ")  # what the checksum covers before the payload: its length and its number


def _check(number: int, payload: bytes | memoryview) -> int:
    return crc32c.crc32c(payload, crc32c.crc32c(_HEAD.pack(len(payload), number)))


def record(number: int, payload: bytes) -> bytes:
    return RECORD.pack(len(payload), _check(number, payload), number) + payload


@dataclass(frozen=True, slots=True)
class DecodedRecord:
    """One record that holds, and where the next one begins. `payload` is a view into what was read."""

    number: int
    payload: memoryview
    end: int


def records(data: bytes, at: int, number: int) -> Iterator[DecodedRecord]:
    """Records from an offset on whose numbers follow `number`, up to the first that does not hold.

    Read at opening, a million at a time: views in place of copies, names looked up once.
    """
    unpack, head, total, check_of, view = RECORD.unpack_from, RECORD.size, len(data), _check, memoryview(data)
    while at + head <= total:
        size, check, found = unpack(data, at)
        end = at + head + size
        if size > MOST_PAYLOAD or end > total or found != number + 1:
            return
        payload = view[at + head : end]
        if check_of(found, payload) != check:
            return
        yield DecodedRecord(found, payload, end)
        at, number = end, found


def read_payload(data: bytes | memoryview, number: int) -> RecordPayload:
    try:
        return _payloads.decode(data)
    except (msgspec.MsgspecError, RecursionError, UnicodeDecodeError) as error:
        raise StoreUnusableError(f"record {number} holds its checksum and cannot be read: {error}") from None


def _sealed(shape: struct.Struct, *values: Any) -> bytes:
    bare = shape.pack(*values, 0)[:-4]
    return bare + struct.pack("<I", crc32c.crc32c(bare))


def _holds(data: bytes) -> bool:
    return crc32c.crc32c(data[:-4]) == int.from_bytes(data[-4:], "little")


def segment_header(store: bytes, segment: int, before: int) -> bytes:
    return _sealed(SEGMENT, SEGMENT_MAGIC, store, segment, before)


def read_segment_header(data: bytes, name: str) -> tuple[bytes, int, int]:
    """Store, number of the segment and of the record before its first. Refused where it does not hold."""
    if len(data) < SEGMENT.size or not _holds(data[: SEGMENT.size]) or not data.startswith(SEGMENT_MAGIC):
        raise StoreUnusableError(f"{name}: its header does not hold; the records in it may be lost")
    _, store, segment, before, _ = SEGMENT.unpack_from(data)
    return store, segment, before


def mark_slot(store: bytes, number: int, turn: int) -> bytes:
    return _sealed(MARK, MARK_MAGIC, store, number, turn)


def read_marks(data: bytes) -> list[tuple[bytes, int, int]]:
    """The slots that hold: (store, number, turn)."""
    out = []
    for at in (0, SLOT):
        slot = data[at : at + MARK.size]
        if len(slot) == MARK.size and slot.startswith(MARK_MAGIC) and _holds(slot):
            _, store, number, turn, _ = MARK.unpack(slot)
            out.append((store, number, turn))
    return out


def checkpoint_header(store: bytes, number: int, count: int) -> bytes:
    bare = struct.pack("<8s16sQQ", CHECKPOINT_MAGIC, store, number, count)
    return bare + struct.pack("<I", crc32c.crc32c(bare))


CHECKPOINT_SIZE = 8 + 16 + 8 + 8 + 4


def read_checkpoint(data: bytes, name: str) -> tuple[bytes, int, Ops]:
    """Store, number up to which it holds everything, and the rows. Refused where any byte does not hold."""
    if len(data) < CHECKPOINT_SIZE or not _holds(data[:CHECKPOINT_SIZE]):
        raise StoreUnusableError(f"{name}: its header does not hold")
    magic, store, number, count = struct.unpack_from("<8s16sQQ", data)
    if magic != CHECKPOINT_MAGIC:
        raise StoreUnusableError(f"{name}: is no checkpoint")
    rows: Ops = []
    at, chunk = CHECKPOINT_SIZE, 0
    for found in records(data, at, 0):
        rows += read_payload(found.payload, found.number).ops
        at, chunk = found.end, found.number
    if at != len(data) or len(rows) != count:
        raise StoreUnusableError(f"{name}: ends after {chunk} whole parts with {len(rows)} of {count} rows")
    return store, number, rows
