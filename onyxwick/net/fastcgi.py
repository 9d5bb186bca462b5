"""FastCGI 1.0 in the Responder role: bytes in, messages out, and the bytes of answers. No I/O here."""

from __future__ import annotations

import struct
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import IntEnum
from functools import lru_cache

from onyxwick.net.buffer import ReceiveBuffer

HEADER = struct.Struct(">BBHHBx")
BEGIN_BODY = struct.Struct(">HB5x")
END_BODY = struct.Struct(">IB3x")
VERSION, RESPONDER, KEEP_CONN = 1, 1, 1
INITIAL_BUFFER_BYTES = (
    2048  # of a connection's buffer at first: requests are short, and there may be many connections
)
MAX_OPEN_REQUESTS = 32  # requests on one connection
MAX_PARAMS_BYTES, MAX_BODY_BYTES = 16_384, 48_000  # over these a request cannot be one of the platform's
MAX_RECORD_CONTENT_BYTES = 65_528  # most content of one record, a multiple of eight
MANAGEMENT_VALUES = {b"FCGI_MAX_CONNS": b"341", b"FCGI_MAX_REQS": b"10912", b"FCGI_MPXS_CONNS": b"1"}


class RecordType(IntEnum):
    BEGIN, ABORT, END, PARAMS, STDIN, STDOUT, STDERR, DATA, GET_VALUES, GET_VALUES_RESULT, UNKNOWN = range(
        1, 12
    )


BEGIN, ABORT, PARAMS, STDIN = (
    int(kind) for kind in (RecordType.BEGIN, RecordType.ABORT, RecordType.PARAMS, RecordType.STDIN)
)


class ProtocolStatus(IntEnum):
    """The protocol status of END_REQUEST."""

    COMPLETE, CANT_MULTIPLEX, OVERLOADED, UNKNOWN_ROLE = range(4)


class FastCgiFramingError(Exception):
    """The records can't be told apart any more: only closing the connection helps."""


@dataclass(slots=True)
class FastCgiCall:
    """A whole request: its last byte has come."""

    request_number: int
    keep_connection: bool
    params: dict[bytes, bytes]
    body: bytes


@dataclass(slots=True)
class FastCgiAbort:
    """The client has stopped waiting for an open request."""

    request_number: int


@dataclass(slots=True)
class FastCgiReply:
    """Bytes to send back at once: the protocol's own answers. `fault` names bad input.

    `last`: more may come without end, so the connection is read no further.
    """

    data: bytes
    protocol_error: str = ""
    stop_reading: bool = False


Message = FastCgiCall | FastCgiAbort | FastCgiReply


@dataclass(slots=True)
class _PartialCall:
    keep_connection: bool
    params: bytearray = field(default_factory=bytearray)
    body: bytearray = field(default_factory=bytearray)
    pairs: dict[bytes, bytes] | None = None  # once all parameters have come
    body_length: int | None = None  # of the body, where the parameters tell it


def encode_record(kind: RecordType, number: int, content: bytes) -> bytes:
    pad = -len(content) % 8
    head = HEADER.pack(VERSION, kind, number, len(content), pad)
    return head + content + bytes(pad)


def encode_end_request(
    number: int, status: ProtocolStatus = ProtocolStatus.COMPLETE, app_status: int = 0
) -> bytes:
    return encode_record(RecordType.END, number, END_BODY.pack(app_status, status))


@lru_cache(maxsize=MAX_OPEN_REQUESTS * 4)
def _response_end(number: int) -> bytes:
    return encode_record(RecordType.STDOUT, number, b"") + encode_end_request(number)


def encode_response(number: int, status: str, headers: dict[str, str], body: bytes) -> bytes:
    """A CGI response in STDOUT records, closed by END_REQUEST."""
    lines = "".join([f"{name}: {value}\r\n" for name, value in headers.items()])
    head = f"Status: {status}\r\n{lines}Content-Length: {len(body)}\r\n\r\n".encode()
    size = len(head) + len(body)
    if size <= MAX_RECORD_CONTENT_BYTES:  # nearly always: one record, copied once
        pad = -size % 8
        return b"".join(
            (
                HEADER.pack(VERSION, RecordType.STDOUT, number, size, pad),
                head,
                body,
                bytes(pad),
                _response_end(number),
            )
        )
    content = head + body
    parts = [
        encode_record(RecordType.STDOUT, number, content[at : at + MAX_RECORD_CONTENT_BYTES])
        for at in range(0, size, MAX_RECORD_CONTENT_BYTES)
    ]
    return b"".join((*parts, _response_end(number)))


def _decode_length(data: bytes, at: int) -> tuple[int, int]:
    if data[at] < 128:
        return data[at], at + 1
    return int.from_bytes(data[at : at + 4], "big") & 0x7FFFFFFF, at + 4


def decode_pairs(data: bytes) -> dict[bytes, bytes]:
    """Name-value pairs; ValueError where the lengths don't fit the data."""
    pairs, at, whole = {}, 0, len(data)
    try:
        while at < whole:
            size, value_size = data[at], data[at + 1]
            if size < 128 and value_size < 128:  # nearly always
                at += 2
            else:
                size, at = _decode_length(data, at)
                value_size, at = _decode_length(data, at)
            middle = at + size
            at = middle + value_size
            pairs[data[middle - size : middle]] = data[middle:at]
    except IndexError:
        raise ValueError("cut name-value pair") from None
    if at > whole:
        raise ValueError("cut name-value pair")
    return pairs


def encode_pairs(pairs: dict[bytes, bytes]) -> bytes:
    def size(n: int) -> bytes:
        return bytes([n]) if n < 128 else (n | 0x80000000).to_bytes(4, "big")

    return b"".join(size(len(k)) + size(len(v)) + k + v for k, v in pairs.items())


def body_length(pairs: dict[bytes, bytes]) -> int | None:
    """What the parameters say of the body's length; ValueError where that cannot be."""
    text = pairs.get(b"CONTENT_LENGTH", b"")
    if not text:
        return None
    if not text.isdigit():
        raise ValueError("bad CONTENT_LENGTH")
    return int(text[:12])


class FastCgiParser:
    """The records of one connection. `open` holds what was begun and is not yet answered."""

    def __init__(self) -> None:
        self.buffer = ReceiveBuffer(INITIAL_BUFFER_BYTES)
        self.partial: dict[int, _PartialCall] = {}
        self.open_requests: set[int] = set()  # whole requests; whoever answers one discards its number
        self.ignored_requests: set[int] = (
            set()
        )  # answered before they were whole: what still comes of them is no news

    @property
    def has_partial_call(self) -> bool:
        """Is there something whose rest has not come?"""
        return bool(self.partial) or len(self.buffer) > 0

    def has_at_most_one_call(self) -> bool:
        """Is one call at most under way, begun before or in what was received and not yet taken?"""
        buffer, begun = self.buffer, len(self.partial)
        at = buffer.start
        while buffer.end - at >= HEADER.size:
            _, kind, _, size, pad = HEADER.unpack_from(buffer.data, at)
            begun += kind == BEGIN
            at += HEADER.size + size + pad
        return begun <= 1

    def messages(self) -> Iterator[Message]:
        buffer, unpack = self.buffer, HEADER.unpack_from
        while buffer.end - buffer.start >= 8:
            begin = buffer.start + 8
            version, kind, number, size, pad = unpack(buffer.data, buffer.start)
            if version != VERSION:
                raise FastCgiFramingError(f"FastCGI version {version}")
            if buffer.end < begin + size + pad:
                return
            buffer.start = begin + size + pad
            content = bytes(buffer.data[begin : begin + size]) if size else b""
            message = self._record(kind, number, content)
            if message is not None:
                yield message

    def _record(self, kind: int, number: int, content: bytes) -> Message | None:
        if number == 0:
            return self._management(kind, content)
        if kind == BEGIN:
            return self._begin(number, content)
        if kind == ABORT:
            return self._abort(number)
        partial = self.partial.get(number)
        if partial is None:
            return self._unmatched_record(number)
        if kind == PARAMS:
            return self._params(number, partial, content)
        if kind == STDIN:
            return self._stdin(number, partial, content)
        return None  # DATA is for filters

    def _management(self, kind: int, content: bytes) -> FastCgiReply:
        if kind != RecordType.GET_VALUES:
            return FastCgiReply(
                encode_record(RecordType.UNKNOWN, 0, bytes([kind]) + bytes(7)), "unknown management record"
            )
        try:
            asked = decode_pairs(content)
        except ValueError as error:
            raise FastCgiFramingError(str(error)) from None
        known = {k: v for k, v in MANAGEMENT_VALUES.items() if k in asked}
        return FastCgiReply(encode_record(RecordType.GET_VALUES_RESULT, 0, encode_pairs(known)))

    def _begin(self, number: int, content: bytes) -> FastCgiReply | None:
        if len(content) != BEGIN_BODY.size:
            raise FastCgiFramingError("bad BEGIN_REQUEST")
        role, flags = BEGIN_BODY.unpack(content)
        if number in self.partial or number in self.open_requests:
            raise FastCgiFramingError(f"request {number} begun twice")
        if role != RESPONDER:
            self.ignored_requests.add(number)
            return FastCgiReply(encode_end_request(number, ProtocolStatus.UNKNOWN_ROLE), "unknown role")
        if len(self.partial) + len(self.open_requests) >= MAX_OPEN_REQUESTS:
            self.ignored_requests.add(number)
            return FastCgiReply(
                encode_end_request(number, ProtocolStatus.OVERLOADED), "too many requests on a connection"
            )
        self.ignored_requests.discard(number)
        self.partial[number] = _PartialCall(bool(flags & KEEP_CONN))
        return None

    def _unmatched_record(self, number: int) -> FastCgiReply | None:
        """A record of a request that is whole, answered or was never begun: the last is told so, once."""
        if number in self.open_requests or number in self.ignored_requests:
            return None
        self.ignored_requests.add(number)
        return FastCgiReply(
            encode_response(number, "400 Bad Request", {}, b""), "record of a request never begun"
        )

    def _abort(self, number: int) -> Message | None:
        if self.partial.pop(number, None) is not None:
            self.ignored_requests.add(number)
            return FastCgiReply(encode_end_request(number))
        return FastCgiAbort(number) if number in self.open_requests else None

    def _params(self, number: int, partial: _PartialCall, content: bytes) -> FastCgiReply | None:
        if content:
            if len(partial.params) + len(content) > MAX_PARAMS_BYTES:
                return self._reject(number, "413 Content Too Large", "parameters too long", stop_reading=True)
            partial.params += content
            return None
        try:
            partial.pairs = decode_pairs(bytes(partial.params))
            partial.body_length = body_length(partial.pairs)
        except ValueError as error:
            return self._reject(number, "400 Bad Request", str(error))
        if partial.body_length is not None and partial.body_length > MAX_BODY_BYTES:
            return self._reject(number, "413 Content Too Large", "body too long", stop_reading=True)
        return None

    def _stdin(self, number: int, partial: _PartialCall, content: bytes) -> Message | None:
        if partial.pairs is None:
            return self._reject(number, "400 Bad Request", "STDIN before the end of PARAMS")
        if content:
            partial.body += content
            if len(partial.body) > MAX_BODY_BYTES:
                return self._reject(number, "413 Content Too Large", "body too long", stop_reading=True)
        if partial.body_length is not None and (
            len(partial.body) > partial.body_length
            or (not content and len(partial.body) < partial.body_length)
        ):
            return self._reject(number, "400 Bad Request", "body of another length than told")
        if content:
            return None
        del self.partial[number]
        self.open_requests.add(number)
        return FastCgiCall(number, partial.keep_connection, partial.pairs, bytes(partial.body))

    def _reject(
        self, number: int, status: str, protocol_error: str, stop_reading: bool = False
    ) -> FastCgiReply:
        """A request that cannot be read is answered `failed`; its later records are passed over."""
        del self.partial[number]
        self.ignored_requests.add(number)
        return FastCgiReply(encode_response(number, status, {}, b""), protocol_error, stop_reading)
