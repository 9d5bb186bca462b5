"""Encodes and decodes the store's file formats, without I/O: records, segments, commit marks, checkpoints.

A record consists of length, checksum (CRC-32C over length, number and payload), number and payload. A segment
begins with a header that identifies the store, so that files of another installation are not mistaken for
files of this one. The commit mark states up to which number all records are acknowledged: a torn write after
it was never acknowledged, whereas a damaged record before it means data loss, and the store does not open.
"""

from __future__ import annotations

import struct
from collections.abc import Iterator
from dataclasses import dataclass
from typing import NamedTuple

import crc32c
import msgspec

from onyxwick.store.errors import StoreUnusableError

RECORD_HEADER = struct.Struct("<IIQ")
"""Payload size in bytes, checksum, record number."""
SEGMENT_HEADER = struct.Struct("<8s16sQQI")
"""Magic, store id, segment number, number of the record before the segment's first, checksum."""
COMMIT_MARK = struct.Struct("<8s16sQQI")
"""Magic, store id, acknowledged record number, sequence number of the mark, checksum."""
_CHECKPOINT_FIELDS = struct.Struct("<8s16sQQ")  # magic, store id, record number, row count
_CHECKSUM = struct.Struct("<I")
_RECORD_CHECKED = struct.Struct("<IQ")  # length and number, which the checksum covers before the payload
CHECKPOINT_HEADER_BYTES = _CHECKPOINT_FIELDS.size + _CHECKSUM.size
SEGMENT_MAGIC = b"OWLOG 1\n"
COMMIT_MARK_MAGIC = b"OWMARK1\n"
CHECKPOINT_MAGIC = b"OWCKPT1\n"
MAX_PAYLOAD_BYTES = 16 << 20
COMMIT_MARK_SLOT_BYTES = 4096
"""The commit mark's file has two slots of this size, written in turn; a torn write damages only one."""
StoredOperations = list[tuple[str, bytes | None, int]]
"""Key, value (None if deleted) and version of each operation, as stored in a record."""


class RecordPayload(msgspec.Struct, array_like=True):
    """One transaction: time in Unix microseconds, author, operations. The field order is the one on disk."""

    at_us: int
    author: str
    operations: list[tuple[str, bytes | None, int]]


class SegmentHeader(NamedTuple):
    """The header of a segment. `preceding_number` is the number of the record before the segment's first."""

    store_id: bytes
    segment: int
    preceding_number: int


class CommitMark(NamedTuple):
    """Records up to `number` are acknowledged. Of two marks, the one with the larger sequence is valid."""

    store_id: bytes
    number: int
    sequence: int


class Checkpoint(NamedTuple):
    """All rows as of record `number`."""

    store_id: bytes
    number: int
    rows: StoredOperations


@dataclass(frozen=True, slots=True)
class DecodedRecord:
    """One intact record. `payload` is a view of the file's data; the next record begins at `end_offset`."""

    number: int
    payload: memoryview
    end_offset: int


_payload_decoder = msgspec.msgpack.Decoder(RecordPayload)
encode_payload = msgspec.msgpack.Encoder().encode


def _record_checksum(number: int, payload: bytes | memoryview) -> int:
    return crc32c.crc32c(payload, crc32c.crc32c(_RECORD_CHECKED.pack(len(payload), number)))


def encode_record(number: int, payload: bytes) -> bytes:
    """Encode a record with its header."""
    return RECORD_HEADER.pack(len(payload), _record_checksum(number, payload), number) + payload


def decode_records(data: bytes, offset: int, number: int) -> Iterator[DecodedRecord]:
    """Decode the records from an offset on, whose numbers follow `number`, up to the first damaged record.

    Opening a store can decode a million records. For speed, payloads are views and names are looked up once.
    """
    unpack = RECORD_HEADER.unpack_from
    header_bytes = RECORD_HEADER.size
    checksum_of = _record_checksum
    total = len(data)
    view = memoryview(data)
    while offset + header_bytes <= total:
        size, checksum, found_number = unpack(data, offset)
        end = offset + header_bytes + size
        if size > MAX_PAYLOAD_BYTES or end > total or found_number != number + 1:
            return
        payload = view[offset + header_bytes : end]
        if checksum_of(found_number, payload) != checksum:
            return
        yield DecodedRecord(found_number, payload, end)
        offset = end
        number = found_number


def decode_payload(data: bytes | memoryview, number: int) -> RecordPayload:
    """Decode the payload of an intact record. Raises StoreUnusableError if it has another structure."""
    try:
        return _payload_decoder.decode(data)
    except (msgspec.MsgspecError, RecursionError, UnicodeDecodeError) as error:
        raise StoreUnusableError(
            f"record {number} has a valid checksum but cannot be decoded: {error}"
        ) from None


def _with_checksum(data: bytes) -> bytes:
    return data + _CHECKSUM.pack(crc32c.crc32c(data))


def _checksum_matches(data: bytes) -> bool:
    return crc32c.crc32c(data[: -_CHECKSUM.size]) == int.from_bytes(data[-_CHECKSUM.size :], "little")


def encode_segment_header(store_id: bytes, segment: int, preceding_number: int) -> bytes:
    """Encode the header with which a segment begins."""
    data = SEGMENT_HEADER.pack(SEGMENT_MAGIC, store_id, segment, preceding_number, 0)
    return _with_checksum(data[: -_CHECKSUM.size])


def decode_segment_header(data: bytes, name: str) -> SegmentHeader:
    """Decode the header of the segment file `name`. Raises StoreUnusableError if it is damaged."""
    header = data[: SEGMENT_HEADER.size]
    intact = len(header) == SEGMENT_HEADER.size and header.startswith(SEGMENT_MAGIC)
    if not intact or not _checksum_matches(header):
        raise StoreUnusableError(f"{name}: the segment header is damaged; the segment's records may be lost")
    _, store_id, segment, preceding_number, _ = SEGMENT_HEADER.unpack(header)
    return SegmentHeader(store_id, segment, preceding_number)


def encode_commit_mark(store_id: bytes, number: int, sequence: int) -> bytes:
    """Encode one slot of the commit mark's file."""
    data = COMMIT_MARK.pack(COMMIT_MARK_MAGIC, store_id, number, sequence, 0)
    return _with_checksum(data[: -_CHECKSUM.size])


def decode_commit_marks(data: bytes) -> list[CommitMark]:
    """Decode the commit marks of the intact slots."""
    marks = []
    for offset in (0, COMMIT_MARK_SLOT_BYTES):
        slot = data[offset : offset + COMMIT_MARK.size]
        if len(slot) == COMMIT_MARK.size and slot.startswith(COMMIT_MARK_MAGIC) and _checksum_matches(slot):
            _, store_id, number, sequence, _ = COMMIT_MARK.unpack(slot)
            marks.append(CommitMark(store_id, number, sequence))
    return marks


def encode_checkpoint_header(store_id: bytes, number: int, count: int) -> bytes:
    """Encode the header of a checkpoint with `count` rows as of record `number`."""
    return _with_checksum(_CHECKPOINT_FIELDS.pack(CHECKPOINT_MAGIC, store_id, number, count))


def decode_checkpoint(data: bytes, name: str) -> Checkpoint:
    """Decode the checkpoint file `name`. Raises StoreUnusableError if any byte of it is damaged."""
    if len(data) < CHECKPOINT_HEADER_BYTES or not _checksum_matches(data[:CHECKPOINT_HEADER_BYTES]):
        raise StoreUnusableError(f"{name}: the checkpoint header is damaged")
    magic, store_id, number, count = _CHECKPOINT_FIELDS.unpack_from(data)
    if magic != CHECKPOINT_MAGIC:
        raise StoreUnusableError(f"{name}: the file is not a checkpoint")
    rows: StoredOperations = []
    end = CHECKPOINT_HEADER_BYTES
    last_record = 0
    for record in decode_records(data, end, 0):
        rows += decode_payload(record.payload, record.number).operations
        end = record.end_offset
        last_record = record.number
    if end != len(data) or len(rows) != count:
        raise StoreUnusableError(
            f"{name}: ends after {last_record} complete records with {len(rows)} of {count} rows"
        )
    return Checkpoint(store_id, number, rows)
