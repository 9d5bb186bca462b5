"""Parses a connection's FastCGI records into calls, aborts and the protocol's own replies. Free of I/O.

A request is partial until its last byte is received, then open until it is answered. Sizes are bytes.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field

from onyxwick.net.buffer import ReceiveBuffer
from onyxwick.net.errors import FastCgiFramingError, FastCgiPairError
from onyxwick.net.fastcgi import (
    ABORT,
    BEGIN,
    BEGIN_BODY,
    HEADER,
    KEEP_CONN,
    MANAGEMENT_VALUES,
    MAX_OPEN_REQUESTS,
    PARAMS,
    RESPONDER,
    STDIN,
    VERSION,
    FastCgiAbort,
    FastCgiCall,
    FastCgiMessage,
    FastCgiReply,
    ProtocolStatus,
    RecordType,
    body_length,
    decode_pairs,
    encode_end_request,
    encode_pairs,
    encode_record,
    encode_response,
    encode_unknown_type,
)

INITIAL_BUFFER_BYTES = 2048
"""A connection's buffer at first: requests are short, and connections may be many."""
MAX_PARAMS_BYTES = 16_384
"""A longer request is none of the platform's."""
MAX_BODY_BYTES = 48_000
"""A longer request is none of the platform's."""
BAD_REQUEST = "400 Bad Request"
TOO_LARGE = "413 Content Too Large"


@dataclass(slots=True)
class _PartialCall:
    keep_connection: bool
    params: bytearray = field(default_factory=bytearray)
    body: bytearray = field(default_factory=bytearray)
    pairs: dict[bytes, bytes] | None = None  # once all parameters are received
    body_length: int | None = None  # by CONTENT_LENGTH, if present


class FastCgiParser:
    """The parser of one connection; whoever answers a request removes it from `open_requests`."""

    def __init__(self) -> None:
        self.buffer = ReceiveBuffer(INITIAL_BUFFER_BYTES)
        self.partial: dict[int, _PartialCall] = {}
        self.open_requests: set[int] = set()  # complete and not yet answered
        self.ignored_requests: set[int] = set()  # answered before they were complete: their rest is ignored

    @property
    def has_partial_call(self) -> bool:
        """Whether something is received whose rest is missing."""
        return bool(self.partial) or len(self.buffer) > 0

    def has_at_most_one_call(self) -> bool:
        """Whether at most one call is partial or begins in the bytes that are not parsed yet."""
        buffer = self.buffer
        begun = len(self.partial)
        at = buffer.start
        while buffer.end - at >= HEADER.size:
            _, kind, _, size, padding = HEADER.unpack_from(buffer.data, at)
            begun += kind == BEGIN
            at += HEADER.size + size + padding
        return begun <= 1

    def messages(self) -> Iterator[FastCgiMessage]:
        """The messages in the complete records received; FastCgiFramingError where none can be delimited."""
        buffer = self.buffer
        unpack = HEADER.unpack_from
        while buffer.end - buffer.start >= HEADER.size:
            begin = buffer.start + HEADER.size
            version, kind, number, size, padding = unpack(buffer.data, buffer.start)
            if version != VERSION:
                raise FastCgiFramingError(f"FastCGI version {version}, expected {VERSION}")
            end = begin + size + padding
            if buffer.end < end:
                return
            buffer.start = end
            content = bytes(buffer.data[begin : begin + size]) if size else b""
            message = self._record(kind, number, content)
            if message is not None:
                yield message

    def _record(self, record_type: int, number: int, content: bytes) -> FastCgiMessage | None:
        if number == 0:
            return self._management(record_type, content)
        if record_type == BEGIN:
            return self._begin(number, content)
        if record_type == ABORT:
            return self._abort(number)
        partial = self.partial.get(number)
        if partial is None:
            return self._unmatched_record(number)
        if record_type == PARAMS:
            return self._params(number, partial, content)
        if record_type == STDIN:
            return self._stdin(number, partial, content)
        return None  # DATA is for filters

    def _management(self, record_type: int, content: bytes) -> FastCgiReply:
        if record_type != RecordType.GET_VALUES:
            return FastCgiReply(encode_unknown_type(record_type), "unknown management record")
        try:
            requested = decode_pairs(content)
        except FastCgiPairError as error:
            raise FastCgiFramingError(str(error)) from None
        known = {name: value for name, value in MANAGEMENT_VALUES.items() if name in requested}
        return FastCgiReply(encode_record(RecordType.GET_VALUES_RESULT, 0, encode_pairs(known)))

    def _begin(self, number: int, content: bytes) -> FastCgiReply | None:
        if len(content) != BEGIN_BODY.size:
            raise FastCgiFramingError(f"BEGIN_REQUEST of {len(content)} bytes, expected {BEGIN_BODY.size}")
        role, flags = BEGIN_BODY.unpack(content)
        if number in self.partial or number in self.open_requests:
            raise FastCgiFramingError(f"request {number} begun twice")
        if role != RESPONDER:
            self.ignored_requests.add(number)
            return FastCgiReply(encode_end_request(number, ProtocolStatus.UNKNOWN_ROLE), "unknown role")
        if len(self.partial) + len(self.open_requests) >= MAX_OPEN_REQUESTS:
            self.ignored_requests.add(number)
            end = encode_end_request(number, ProtocolStatus.OVERLOADED)
            return FastCgiReply(end, "too many requests on a connection")
        self.ignored_requests.discard(number)
        self.partial[number] = _PartialCall(bool(flags & KEEP_CONN))
        return None

    def _unmatched_record(self, number: int) -> FastCgiReply | None:
        """A record of a request that is complete, answered or was never begun: only the last is an error.

        It is answered once.
        """
        if number in self.open_requests or number in self.ignored_requests:
            return None
        self.ignored_requests.add(number)
        response = encode_response(number, BAD_REQUEST, {}, b"")
        return FastCgiReply(response, "record of a request never begun")

    def _abort(self, number: int) -> FastCgiMessage | None:
        if self.partial.pop(number, None) is not None:
            self.ignored_requests.add(number)
            return FastCgiReply(encode_end_request(number))
        return FastCgiAbort(number) if number in self.open_requests else None

    def _params(self, number: int, partial: _PartialCall, content: bytes) -> FastCgiReply | None:
        if content:
            if len(partial.params) + len(content) > MAX_PARAMS_BYTES:
                return self._reject(number, TOO_LARGE, "parameters too long", stop_reading=True)
            partial.params += content
            return None
        try:
            partial.pairs = decode_pairs(bytes(partial.params))
            partial.body_length = body_length(partial.pairs)
        except FastCgiPairError as error:
            return self._reject(number, BAD_REQUEST, str(error))
        if partial.body_length is not None and partial.body_length > MAX_BODY_BYTES:
            return self._reject(number, TOO_LARGE, "body too long", stop_reading=True)
        return None

    def _stdin(self, number: int, partial: _PartialCall, content: bytes) -> FastCgiMessage | None:
        if partial.pairs is None:
            return self._reject(number, BAD_REQUEST, "STDIN before the end of PARAMS")
        if content:
            partial.body += content
            if len(partial.body) > MAX_BODY_BYTES:
                return self._reject(number, TOO_LARGE, "body too long", stop_reading=True)
        received = len(partial.body)
        expected = partial.body_length
        if expected is not None and (received > expected or (not content and received < expected)):
            return self._reject(number, BAD_REQUEST, f"body of {received} bytes, expected {expected}")
        if content:
            return None
        del self.partial[number]
        self.open_requests.add(number)
        return FastCgiCall(number, partial.keep_connection, partial.pairs, bytes(partial.body))

    def _reject(
        self, number: int, status: str, protocol_error: str, stop_reading: bool = False
    ) -> FastCgiReply:
        """Answer a request that cannot be read; its later records are ignored."""
        del self.partial[number]
        self.ignored_requests.add(number)
        return FastCgiReply(encode_response(number, status, {}, b""), protocol_error, stop_reading)
