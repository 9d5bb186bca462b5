"""RESP arrays of bulk strings, as exchanged with caches, parent caches and the origin. Free of I/O.

Input is a receive buffer, output arrays of byte strings, and the bytes of commands. Sizes are bytes.
"""

from __future__ import annotations

from collections.abc import Iterator

from onyxwick.net.buffer import ReceiveBuffer
from onyxwick.net.errors import RespProtocolError

MAX_ARRAY_LENGTH = 16
"""A longer array is no reply of the platform's."""
MAX_BULK_BYTES = 262_144
"""A longer bulk string is no reply of the platform's."""
MAX_LINE_BYTES = 32
"""The longest line with a count or a length."""
CRLF = b"\r\n"
CRLF_BYTES = 2
ARRAY, BULK, CR, LF = b"*$\r\n"


def encode_command(*words: bytes) -> bytes:
    """The bytes of a command."""
    parts = [b"*%d\r\n" % len(words)]
    parts += [b"$%d\r\n%b\r\n" % (len(word), word) for word in words]
    return b"".join(parts)


class RespParser:
    """Parses the arrays that arrive on one connection."""

    def __init__(self) -> None:
        self.buffer = ReceiveBuffer()
        self.needed_bytes = 1  # without these nothing more can be parsed: bodies arrive in many small pieces

    def messages(self) -> Iterator[list[bytes]]:
        """The complete arrays received; RespProtocolError where the bytes are no array of bulk strings."""
        while len(self.buffer) >= self.needed_bytes and (words := self._next_array()) is not None:
            self.needed_bytes = 1
            yield words

    def _length_line(self, at: int, prefix: int, highest: int) -> tuple[int, int] | None:
        """The number after `prefix` at `at`, and where its line ends; None if the line is incomplete."""
        buffer = self.buffer
        end = buffer.data.find(CRLF, at, buffer.end)
        if end < 0:
            if buffer.end - at > MAX_LINE_BYTES:
                raise RespProtocolError(f"found a line of over {MAX_LINE_BYTES} bytes, expected a length")
            return None
        digits = buffer.data[at + 1 : end]
        is_number = digits.isdigit() and len(digits) <= MAX_LINE_BYTES
        if buffer.data[at] != prefix or not is_number or int(digits) > highest:
            line = bytes(buffer.data[at:end][:MAX_LINE_BYTES])
            raise RespProtocolError(f"bad line {line!r}, expected {chr(prefix)!r} and a number to {highest}")
        return int(digits), end + CRLF_BYTES

    def _next_array(self) -> list[bytes] | None:
        buffer = self.buffer
        head = self._length_line(buffer.start, ARRAY, MAX_ARRAY_LENGTH)
        if head is None:
            return None
        count, at = head
        words = []
        with memoryview(buffer.data) as data:
            for _ in range(count):
                bulk = self._length_line(at, BULK, MAX_BULK_BYTES)
                if bulk is None:
                    return None
                size, begin = bulk
                at = begin + size + CRLF_BYTES
                if buffer.end < at:
                    self.needed_bytes = at - buffer.start
                    return None
                if data[at - 2] != CR or data[at - 1] != LF:
                    raise RespProtocolError(f"bulk string of {size} bytes without its CRLF")
                words.append(bytes(data[begin : begin + size]))
        buffer.start = at
        return words


def parse_fields(text: bytes) -> dict[str, str]:
    """The fields of `name=value,name=value`, or of `-` for none; RespProtocolError for a pair without `=`."""
    if text == b"-":
        return {}
    fields = {}
    for pair in text.decode("latin-1").split(","):
        name, separator, value = pair.partition("=")
        if not separator:
            raise RespProtocolError(f"bad field {pair[:MAX_LINE_BYTES]!r}, expected name=value")
        fields[name] = value
    return fields
