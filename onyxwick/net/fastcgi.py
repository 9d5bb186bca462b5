"""FastCGI 1.0 in the Responder role: bytes in, messages out, and the bytes of answers. No I/O here."""

from __future__ import annotations

import struct
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import IntEnum
from functools import lru_cache

from onyxwick.net.buffer import Buffer

HEADER = struct.Struct(">BBHHBx")
BEGIN_BODY = struct.Struct(">HB5x")
END_BODY = struct.Struct(">IB3x")
VERSION, RESPONDER, KEEP_CONN = 1, 1, 1
ROOM = 2048  # of a connection's buffer at first: requests are short, and there may be many connections
MAX_OPEN = 32  # requests on one connection
MAX_PARAMS, MAX_BODY = 16_384, 48_000  # over these a request cannot be one of the platform's
SLICE = 65_528  # most content of one record, a multiple of eight
MANAGED = {b"FCGI_MAX_CONNS": b"341", b"FCGI_MAX_REQS": b"10912", b"FCGI_MPXS_CONNS": b"1"}


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


class FramingError(Exception):
    """The records can't be told apart any more: only closing the connection helps."""


@dataclass(slots=True)
class FastCgiCall:
    """A whole request: its last byte has come."""

    number: int
    keep: bool
    params: dict[bytes, bytes]
    body: bytes


@dataclass(slots=True)
class FastCgiAbort:
    """The client has stopped waiting for an open request."""

    number: int


@dataclass(slots=True)
class FastCgiReply:
    """Bytes to send back at once: the protocol's own answers. `fault` names bad input.

    `last`: more may come without end, so the connection is read no further.
    """

    data: bytes
    fault: str = ""
    last: bool = False


Message = FastCgiCall | FastCgiAbort | FastCgiReply


@dataclass(slots=True)
class _Partial:
    keep: bool
    params: bytearray = field(default_factory=bytearray)
    body: bytearray = field(default_factory=bytearray)
    pairs: dict[bytes, bytes] | None = None  # once all parameters have come
    length: int | None = None  # of the body, where the parameters tell it


def record(kind: RecordType, number: int, content: bytes) -> bytes:
    pad = -len(content) % 8
    head = HEADER.pack(VERSION, kind, number, len(content), pad)
    return head + content + bytes(pad)


def end_request(number: int, status: ProtocolStatus = ProtocolStatus.COMPLETE, app: int = 0) -> bytes:
    return record(RecordType.END, number, END_BODY.pack(app, status))


@lru_cache(maxsize=MAX_OPEN * 4)
def _tail(number: int) -> bytes:
    return record(RecordType.STDOUT, number, b"") + end_request(number)


def answer(number: int, status: str, headers: dict[str, str], body: bytes) -> bytes:
    """A CGI response in STDOUT records, closed by END_REQUEST."""
    lines = "".join([f"{name}: {value}\r\n" for name, value in headers.items()])
    head = f"Status: {status}\r\n{lines}Content-Length: {len(body)}\r\n\r\n".encode()
    size = len(head) + len(body)
    if size <= SLICE:  # nearly always: one record, copied once
        pad = -size % 8
        return b"".join(
            (
                HEADER.pack(VERSION, RecordType.STDOUT, number, size, pad),
                head,
                body,
                bytes(pad),
                _tail(number),
            )
        )
    content = head + body
    parts = [record(RecordType.STDOUT, number, content[at : at + SLICE]) for at in range(0, size, SLICE)]
    return b"".join((*parts, _tail(number)))


def _length(data: bytes, at: int) -> tuple[int, int]:
    if data[at] < 128:
        return data[at], at + 1
    return int.from_bytes(data[at : at + 4], "big") & 0x7FFFFFFF, at + 4


def read_pairs(data: bytes) -> dict[bytes, bytes]:
    """Name-value pairs; ValueError where the lengths don't fit the data."""
    pairs, at, whole = {}, 0, len(data)
    try:
        while at < whole:
            size, value_size = data[at], data[at + 1]
            if size < 128 and value_size < 128:  # nearly always
                at += 2
            else:
                size, at = _length(data, at)
                value_size, at = _length(data, at)
            middle = at + size
            at = middle + value_size
            pairs[data[middle - size : middle]] = data[middle:at]
    except IndexError:
        raise ValueError("cut name-value pair") from None
    if at > whole:
        raise ValueError("cut name-value pair")
    return pairs


def write_pairs(pairs: dict[bytes, bytes]) -> bytes:
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
        self.buffer = Buffer(ROOM)
        self.partial: dict[int, _Partial] = {}
        self.open: set[int] = set()  # whole requests; whoever answers one discards its number
        self.passed: set[int] = set()  # answered before they were whole: what still comes of them is no news

    @property
    def half(self) -> bool:
        """Is there something whose rest has not come?"""
        return bool(self.partial) or len(self.buffer) > 0

    def one_call_waits(self) -> bool:
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
                raise FramingError(f"FastCGI version {version}")
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
            return self._stray(number)
        if kind == PARAMS:
            return self._params(number, partial, content)
        if kind == STDIN:
            return self._stdin(number, partial, content)
        return None  # DATA is for filters

    def _management(self, kind: int, content: bytes) -> FastCgiReply:
        if kind != RecordType.GET_VALUES:
            return FastCgiReply(
                record(RecordType.UNKNOWN, 0, bytes([kind]) + bytes(7)), "unknown management record"
            )
        try:
            asked = read_pairs(content)
        except ValueError as error:
            raise FramingError(str(error)) from None
        known = {k: v for k, v in MANAGED.items() if k in asked}
        return FastCgiReply(record(RecordType.GET_VALUES_RESULT, 0, write_pairs(known)))

    def _begin(self, number: int, content: bytes) -> FastCgiReply | None:
        if len(content) != BEGIN_BODY.size:
            raise FramingError("bad BEGIN_REQUEST")
        role, flags = BEGIN_BODY.unpack(content)
        if number in self.partial or number in self.open:
            raise FramingError(f"request {number} begun twice")
        if role != RESPONDER:
            self.passed.add(number)
            return FastCgiReply(end_request(number, ProtocolStatus.UNKNOWN_ROLE), "unknown role")
        if len(self.partial) + len(self.open) >= MAX_OPEN:
            self.passed.add(number)
            return FastCgiReply(
                end_request(number, ProtocolStatus.OVERLOADED), "too many requests on a connection"
            )
        self.passed.discard(number)
        self.partial[number] = _Partial(bool(flags & KEEP_CONN))
        return None

    def _stray(self, number: int) -> FastCgiReply | None:
        """A record of a request that is whole, answered or was never begun: the last is told so, once."""
        if number in self.open or number in self.passed:
            return None
        self.passed.add(number)
        return FastCgiReply(answer(number, "400 Bad Request", {}, b""), "record of a request never begun")

    def _abort(self, number: int) -> Message | None:
        if self.partial.pop(number, None) is not None:
            self.passed.add(number)
            return FastCgiReply(end_request(number))
        return FastCgiAbort(number) if number in self.open else None

    def _params(self, number: int, partial: _Partial, content: bytes) -> FastCgiReply | None:
        if content:
            if len(partial.params) + len(content) > MAX_PARAMS:
                return self._reject(number, "413 Content Too Large", "parameters too long", last=True)
            partial.params += content
            return None
        try:
            partial.pairs = read_pairs(bytes(partial.params))
            partial.length = body_length(partial.pairs)
        except ValueError as error:
            return self._reject(number, "400 Bad Request", str(error))
        if partial.length is not None and partial.length > MAX_BODY:
            return self._reject(number, "413 Content Too Large", "body too long", last=True)
        return None

    def _stdin(self, number: int, partial: _Partial, content: bytes) -> Message | None:
        if partial.pairs is None:
            return self._reject(number, "400 Bad Request", "STDIN before the end of PARAMS")
        if content:
            partial.body += content
            if len(partial.body) > MAX_BODY:
                return self._reject(number, "413 Content Too Large", "body too long", last=True)
        if partial.length is not None and (
            len(partial.body) > partial.length or (not content and len(partial.body) < partial.length)
        ):
            return self._reject(number, "400 Bad Request", "body of another length than told")
        if content:
            return None
        del self.partial[number]
        self.open.add(number)
        return FastCgiCall(number, partial.keep, partial.pairs, bytes(partial.body))

    def _reject(self, number: int, status: str, fault: str, last: bool = False) -> FastCgiReply:
        """A request that cannot be read is answered `failed`; its later records are passed over."""
        del self.partial[number]
        self.passed.add(number)
        return FastCgiReply(answer(number, status, {}, b""), fault, last)
