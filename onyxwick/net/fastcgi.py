"""FastCGI 1.0 in the Responder role: record layout, message types, and the encoding of responses.

`fastcgi_parser` converts received records into the message types defined here; the `encode_` functions return
the bytes of records. This module does no I/O. Sizes are bytes. Specification: FastCGI 1.0 (Brown 1996).
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
"""The maximum number of concurrent requests on one connection."""
MAX_RECORD_CONTENT_BYTES = 65_528
"""The maximum content of a record that is sent, a multiple of `RECORD_ALIGNMENT`."""
MAX_CONTENT_LENGTH_DIGITS = 12
MAX_PAIRS = 512
"""The maximum number of name-value pairs of a request: decoded, a pair of 4 bytes takes 200."""
RECORD_ALIGNMENT = 8
SHORT_LENGTH_LIMIT = 128
"""The length of a name or value takes one byte below this limit, else four with the highest bit set."""
LONG_LENGTH_FLAG = 0x80000000
MANAGEMENT_VALUES = {b"FCGI_MAX_CONNS": b"341", b"FCGI_MAX_REQS": b"10912", b"FCGI_MPXS_CONNS": b"1"}


class RecordType(IntEnum):
    """The record types of FastCGI."""

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


# These are plain integers because they are compared for each record received.
BEGIN = int(RecordType.BEGIN)
ABORT = int(RecordType.ABORT)
PARAMS = int(RecordType.PARAMS)
STDIN = int(RecordType.STDIN)


class ProtocolStatus(IntEnum):
    """The values of protocolStatus in an END_REQUEST record."""

    COMPLETE = 0
    CANT_MULTIPLEX = 1
    OVERLOADED = 2
    UNKNOWN_ROLE = 3


@dataclass(slots=True)
class FastCgiCall:
    """A request whose last byte has been received."""

    request_number: int
    keep_connection: bool
    params: dict[bytes, bytes]
    body: bytes


@dataclass(slots=True)
class FastCgiAbort:
    """A notice that the client no longer waits for the answer to an open request."""

    request_number: int


@dataclass(slots=True)
class FastCgiReply:
    """A reply of the protocol itself, to be sent at once.

    `protocol_error` describes the invalid input that caused the reply, and is empty if the input was valid.
    `stop_reading` is set if the connection must not be read any further, as endless input may follow.
    """

    data: bytes
    protocol_error: str = ""
    stop_reading: bool = False


FastCgiMessage = FastCgiCall | FastCgiAbort | FastCgiReply


def encode_record(record_type: RecordType, number: int, content: bytes) -> bytes:
    """Return the bytes of one record, padded to a multiple of `RECORD_ALIGNMENT`."""
    padding = -len(content) % RECORD_ALIGNMENT
    head = HEADER.pack(VERSION, record_type, number, len(content), padding)
    return head + content + bytes(padding)


def encode_end_request(
    number: int, status: ProtocolStatus = ProtocolStatus.COMPLETE, app_status: int = 0
) -> bytes:
    """Return the END_REQUEST record of a request."""
    return encode_record(RecordType.END, number, END_BODY.pack(app_status, status))


def encode_unknown_type(record_type: int) -> bytes:
    """Return the reply to a management record of an unknown type."""
    return encode_record(RecordType.UNKNOWN, 0, bytes([record_type]) + UNKNOWN_TYPE_PADDING)


@lru_cache(maxsize=MAX_OPEN_REQUESTS * 4)
def _encode_response_end(number: int) -> bytes:
    return encode_record(RecordType.STDOUT, number, b"") + encode_end_request(number)


def encode_response(number: int, status: str, headers: dict[str, str], body: bytes) -> bytes:
    """Return a CGI response in STDOUT records, followed by END_REQUEST."""
    lines = "".join([f"{name}: {value}\r\n" for name, value in headers.items()])
    head = f"Status: {status}\r\n{lines}Content-Length: {len(body)}\r\n\r\n".encode()
    size = len(head) + len(body)
    if size <= MAX_RECORD_CONTENT_BYTES:  # the usual case: one record, whose content is copied only once
        padding = -size % RECORD_ALIGNMENT
        header = HEADER.pack(VERSION, RecordType.STDOUT, number, size, padding)
        return b"".join((header, head, body, bytes(padding), _encode_response_end(number)))
    content = head + body
    step = MAX_RECORD_CONTENT_BYTES
    parts = [encode_record(RecordType.STDOUT, number, content[at : at + step]) for at in range(0, size, step)]
    return b"".join((*parts, _encode_response_end(number)))


def _decode_length(data: bytes, at: int) -> tuple[int, int]:
    """Decode the length at `at` and return it with the position after it.

    Raises IndexError if `at` is beyond the data.
    """
    if data[at] < SHORT_LENGTH_LIMIT:
        return data[at], at + 1
    return int.from_bytes(data[at : at + 4], "big") & (LONG_LENGTH_FLAG - 1), at + 4


def decode_pairs(data: bytes) -> dict[bytes, bytes]:
    """Decode name-value pairs.

    Raises FastCgiPairError if their lengths do not fit the data, or if there are more than `MAX_PAIRS`.
    """
    pairs = {}
    at = 0
    end = len(data)
    try:
        while at < end:
            size = data[at]
            value_size = data[at + 1]
            if size < SHORT_LENGTH_LIMIT and value_size < SHORT_LENGTH_LIMIT:  # the usual case
                at += 2
            else:
                size, at = _decode_length(data, at)
                value_size, at = _decode_length(data, at)
            name_end = at + size
            at = name_end + value_size
            pairs[data[name_end - size : name_end]] = data[name_end:at]
            if len(pairs) > MAX_PAIRS:
                raise FastCgiPairError(f"more than {MAX_PAIRS} name-value pairs")
    except IndexError:
        raise FastCgiPairError("name-value pair extends beyond the end of the data") from None
    if at > end:
        raise FastCgiPairError("name-value pair extends beyond the end of the data")
    return pairs


def encode_pairs(pairs: dict[bytes, bytes]) -> bytes:
    """Return the bytes of name-value pairs."""

    def length(size: int) -> bytes:
        return bytes([size]) if size < SHORT_LENGTH_LIMIT else (size | LONG_LENGTH_FLAG).to_bytes(4, "big")

    return b"".join(length(len(name)) + length(len(value)) + name + value for name, value in pairs.items())


def body_length(pairs: dict[bytes, bytes]) -> int | None:
    """Return the body's length by CONTENT_LENGTH, or None if it is absent.

    Raises FastCgiPairError if CONTENT_LENGTH is not a decimal number.
    """
    text = pairs.get(b"CONTENT_LENGTH", b"")
    if not text:
        return None
    if not text.isdigit():
        raise FastCgiPairError("CONTENT_LENGTH is not a decimal number")
    return int(text[:MAX_CONTENT_LENGTH_DIGITS])
