"""Input that makes a director hold memory: requests and replies that begin, grow and do not end. Free of I/O.

Each kind fills another table or buffer. Sizes are bytes.
"""

from __future__ import annotations

from enum import Enum

from onyxwick.net import fastcgi
from onyxwick.net.fastcgi import MAX_OPEN_REQUESTS, RecordType, encode_record

WRITE_CLASS_PATH = "/call/booking"
"""A call of a class whose requests have a body."""
MAX_RECORD_BYTES = 65_535
MAX_PADDING_BYTES = 255
REQUEST_NUMBERS = range(1, MAX_OPEN_REQUESTS + 1)


class ClientHoard(Enum):
    """What a client sends on one connection."""

    PARAMETERS = "parameters"  # parameters that never end, in each request of the connection
    BODIES = "bodies"  # bodies that never end
    PAIRS = "pairs"  # ended parameters of many small pairs, without the body
    ABORTS = "aborts"  # requests that are begun and aborted, each with another number
    RECORD = "record"  # one record of the largest size that never ends
    RESTING = "resting"  # one ignored record of the largest size, then an answered call, then nothing
    PINGS = "pings"  # answered calls, pipelined
    TOO_LONG = "too_long"  # parameters that are too long, which ends the connection


class CacheHoard(Enum):
    """What a cache sends in reply to a request, and does not finish."""

    MANY_STRINGS = "many_strings"
    LONG_BODY = "long_body"
    LONG_FIELDS = "long_fields"


def encode_begin(number: int) -> bytes:
    """Encode the BEGIN_REQUEST of a call that keeps its connection."""
    body = fastcgi.BEGIN_BODY.pack(fastcgi.RESPONDER, fastcgi.KEEP_CONN)
    return encode_record(RecordType.BEGIN, number, body)


def encode_params(number: int, pairs: dict[bytes, bytes]) -> bytes:
    """Encode the parameters of a call and their end."""
    content = fastcgi.encode_pairs(pairs)
    return encode_record(RecordType.PARAMS, number, content) + encode_record(RecordType.PARAMS, number, b"")


def _partial_parameters(number: int) -> bytes:
    return encode_begin(number) + encode_record(RecordType.PARAMS, number, b"x" * 16_000)


def _partial_body(number: int) -> bytes:
    pairs = {b"SCRIPT_NAME": WRITE_CLASS_PATH.encode(), b"CONTENT_LENGTH": b"48000"}
    body = encode_record(RecordType.STDIN, number, b"x" * 47_000)
    return encode_begin(number) + encode_params(number, pairs) + body


def _small_pairs(number: int) -> bytes:
    pairs = {bytes([first, second]): b"" for first in range(64) for second in range(63)}
    return encode_begin(number) + encode_params(number, pairs)


def _aborted(number: int) -> bytes:
    return encode_begin(number) + encode_record(RecordType.ABORT, number, b"")


def _ping(number: int) -> bytes:
    pairs = {b"SCRIPT_NAME": b"/ping"}
    return encode_begin(number) + encode_params(number, pairs) + encode_record(RecordType.STDIN, number, b"")


def _partial_record(record_type: RecordType) -> bytes:
    header = fastcgi.HEADER.pack(
        fastcgi.VERSION, record_type, REQUEST_NUMBERS[0], MAX_RECORD_BYTES, MAX_PADDING_BYTES
    )
    return encode_begin(REQUEST_NUMBERS[0]) + header + bytes(MAX_RECORD_BYTES)


def hoarding_input(kind: ClientHoard) -> bytes:
    """Return the bytes that a client of this kind sends on each of its connections."""
    match kind:
        case ClientHoard.PARAMETERS:
            return b"".join(map(_partial_parameters, REQUEST_NUMBERS))
        case ClientHoard.BODIES:
            return b"".join(map(_partial_body, REQUEST_NUMBERS))
        case ClientHoard.PAIRS:
            return b"".join(map(_small_pairs, REQUEST_NUMBERS))
        case ClientHoard.ABORTS:
            return b"".join(map(_aborted, range(1, MAX_RECORD_BYTES)))
        case ClientHoard.RECORD:
            return _partial_record(RecordType.PARAMS)
        case ClientHoard.RESTING:
            return _partial_record(RecordType.DATA) + bytes(MAX_PADDING_BYTES) + _ping(2)
        case ClientHoard.PINGS:
            return _ping(1) * 700
        case ClientHoard.TOO_LONG:
            return encode_begin(1) + encode_record(RecordType.PARAMS, 1, b"x" * 65_528)


def hoarding_reply(kind: CacheHoard, request_id: bytes) -> bytes:
    """Return the bytes that a cache of this kind sends in reply to a request."""
    head = b"$%d\r\n%b\r\n" % (len(request_id), request_id)
    match kind:
        case CacheHoard.MANY_STRINGS:
            string = b"$262144\r\n" + b"x" * 262_144 + b"\r\n"
            return b"*16\r\n" + head + 14 * string + b"$262144\r\n"
        case CacheHoard.LONG_BODY:
            return b"*4\r\n" + head + b"$4\r\ndata\r\n$1\r\n-\r\n$262144\r\n" + b"x" * 262_000
        case CacheHoard.LONG_FIELDS:
            return b"*4\r\n" + head + b"$4\r\ndata\r\n$262144\r\n" + b"x=," * 87_000
