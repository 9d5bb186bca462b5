"""FastCGI 1.0 in the Responder role: record layout, messages, and the bytes of responses. Free of I/O.

`fastcgi_parser` turns received records into the messages here; the `encode_` functions make records. Sizes
are bytes. Specification: FastCGI 1.0 (Brown 1996).
"""

from __future__ import annotations

import struct
from dataclasses import dataclass
from enum import IntEnum
from functools import lru_cache

from onyxwick.net.errors import FastCgiPairError

HEADER = struct.Struct(">BBHHBx")
BEGIN_BODY = struct.Struct(">HB5x")
END_BODY = struct.Struct(">IB3x")
UNKNOWN_TYPE_PADDING = bytes(7)
VERSION = 1
RESPONDER = 1
KEEP_CONN = 1
MAX_OPEN_REQUESTS = 32
"""Requests open at once on one connection."""
MAX_RECORD_CONTENT_BYTES = 65_528
"""The most content put into one record, a multiple of eight."""
MAX_CONTENT_LENGTH_DIGITS = 12
RECORD_ALIGNMENT = 8
SHORT_LENGTH_LIMIT = 128
"""Lengths of names and values from here on take four bytes with the highest bit set."""
LONG_LENGTH_FLAG = 0x80000000
MANAGEMENT_VALUES = {b"FCGI_MAX_CONNS": b"341", b"FCGI_MAX_REQS": b"10912", b"FCGI_MPXS_CONNS": b"1"}


class RecordType(IntEnum):
    """The types of records."""

    BEGIN = 1
    ABORT = 2
    END = 3
    PARAMS = 4
    STDIN = 5
    STDOUT = 6
    STDERR = 7
    DATA = 8
    GET_VALUES = 9
    GET_VALUES_RESULT = 10
    UNKNOWN = 11


# As plain integers: they are compared for each record.
BEGIN = int(RecordType.BEGIN)
ABORT = int(RecordType.ABORT)
PARAMS = int(RecordType.PARAMS)
STDIN = int(RecordType.STDIN)


class ProtocolStatus(IntEnum):
    """The protocol status of END_REQUEST."""

    COMPLETE = 0
    CANT_MULTIPLEX = 1
    OVERLOADED = 2
    UNKNOWN_ROLE = 3


@dataclass(slots=True)
class FastCgiCall:
    """A complete request: its last byte has been received."""

    request_number: int
    keep_connection: bool
    params: dict[bytes, bytes]
    body: bytes


@dataclass(slots=True)
class FastCgiAbort:
    """The client no longer waits for an open request."""

    request_number: int


@dataclass(slots=True)
class FastCgiReply:
    """Bytes to send back at once: the protocol's own replies.

    `protocol_error` describes invalid input, if any. `stop_reading`: more input may follow without end, so
    the connection is not read any further.
    """

    data: bytes
    protocol_error: str = ""
    stop_reading: bool = False


FastCgiMessage = FastCgiCall | FastCgiAbort | FastCgiReply


def encode_record(record_type: RecordType, number: int, content: bytes) -> bytes:
    """One record, padded to a multiple of eight bytes."""
    padding = -len(content) % RECORD_ALIGNMENT
    head = HEADER.pack(VERSION, record_type, number, len(content), padding)
    return head + content + bytes(padding)


def encode_end_request(
    number: int, status: ProtocolStatus = ProtocolStatus.COMPLETE, app_status: int = 0
) -> bytes:
    """The record that ends a request."""
    return encode_record(RecordType.END, number, END_BODY.pack(app_status, status))


def encode_unknown_type(record_type: int) -> bytes:
    """The reply to a management record of an unknown type."""
    return encode_record(RecordType.UNKNOWN, 0, bytes([record_type]) + UNKNOWN_TYPE_PADDING)


@lru_cache(maxsize=MAX_OPEN_REQUESTS * 4)
def _response_end(number: int) -> bytes:
    return encode_record(RecordType.STDOUT, number, b"") + encode_end_request(number)


def encode_response(number: int, status: str, headers: dict[str, str], body: bytes) -> bytes:
    """A CGI response in STDOUT records, closed by END_REQUEST."""
    lines = "".join([f"{name}: {value}\r\n" for name, value in headers.items()])
    head = f"Status: {status}\r\n{lines}Content-Length: {len(body)}\r\n\r\n".encode()
    size = len(head) + len(body)
    if size <= MAX_RECORD_CONTENT_BYTES:  # nearly always: one record, copied once
        padding = -size % RECORD_ALIGNMENT
        header = HEADER.pack(VERSION, RecordType.STDOUT, number, size, padding)
        return b"".join((header, head, body, bytes(padding), _response_end(number)))
    content = head + body
    step = MAX_RECORD_CONTENT_BYTES
    parts = [encode_record(RecordType.STDOUT, number, content[at : at + step]) for at in range(0, size, step)]
    return b"".join((*parts, _response_end(number)))


def _decode_length(data: bytes, at: int) -> tuple[int, int]:
    """A length and where it ends; IndexError if the data ends before it."""
    if data[at] < SHORT_LENGTH_LIMIT:
        return data[at], at + 1
    return int.from_bytes(data[at : at + 4], "big") & (LONG_LENGTH_FLAG - 1), at + 4


def decode_pairs(data: bytes) -> dict[bytes, bytes]:
    """Name-value pairs; FastCgiPairError where the lengths do not fit the data."""
    pairs = {}
    at = 0
    end = len(data)
    try:
        while at < end:
            size = data[at]
            value_size = data[at + 1]
            if size < SHORT_LENGTH_LIMIT and value_size < SHORT_LENGTH_LIMIT:  # nearly always
                at += 2
            else:
                size, at = _decode_length(data, at)
                value_size, at = _decode_length(data, at)
            middle = at + size
            at = middle + value_size
            pairs[data[middle - size : middle]] = data[middle:at]
    except IndexError:
        raise FastCgiPairError("truncated name-value pair") from None
    if at > end:
        raise FastCgiPairError("truncated name-value pair")
    return pairs


def encode_pairs(pairs: dict[bytes, bytes]) -> bytes:
    """Name-value pairs as bytes."""

    def length(size: int) -> bytes:
        return bytes([size]) if size < SHORT_LENGTH_LIMIT else (size | LONG_LENGTH_FLAG).to_bytes(4, "big")

    return b"".join(length(len(name)) + length(len(value)) + name + value for name, value in pairs.items())


def body_length(pairs: dict[bytes, bytes]) -> int | None:
    """The body's length by CONTENT_LENGTH; None if it is absent, FastCgiPairError if it is no number."""
    text = pairs.get(b"CONTENT_LENGTH", b"")
    if not text:
        return None
    if not text.isdigit():
        raise FastCgiPairError("bad CONTENT_LENGTH")
    return int(text[:MAX_CONTENT_LENGTH_DIGITS])
