"""Encodes and parses RESP arrays of bulk strings, the messages of caches, parent caches and the origin.

The parser reads from a receive buffer and returns arrays of byte strings; the encoder returns the bytes of a
command. This module does no I/O. Sizes are bytes.
"""

from __future__ import annotations

from collections.abc import Iterator

from onyxwick.net.buffer import ReceiveBuffer
from onyxwick.net.errors import RespProtocolError

MAX_ARRAY_LENGTH = 16
"""An array with more elements than this is rejected; the platform's replies have no more."""
MAX_BULK_BYTES = 262_144
"""A bulk string longer than this is rejected; the platform's replies contain no longer ones."""
MAX_ARRAY_BYTES = MAX_BULK_BYTES + 16_384
"""An array whose strings are together longer than this is rejected, as soon as their lengths show it."""
MAX_LINE_BYTES = 32
"""The maximum size of a line that holds a count or a length."""
CRLF = b"\r\n"
CRLF_BYTES = 2
ARRAY, BULK, CR, LF = b"*$\r\n"


def encode_command(*words: bytes) -> bytes:
    """Return the bytes of a command as an array of bulk strings."""
    parts = [b"*%d\r\n" % len(words)]
    parts += [b"$%d\r\n%b\r\n" % (len(word), word) for word in words]
    return b"".join(parts)


class RespParser:
    """Parses the arrays that arrive on one connection."""

    def __init__(self) -> None:
        self.buffer = ReceiveBuffer()
        self.needed_bytes = 1  # parsing waits for this many bytes, as bodies arrive in many small pieces

    def messages(self) -> Iterator[list[bytes]]:
        """Yield the complete arrays received.

        Raises RespProtocolError if the bytes are not an array of bulk strings.
        """
        while len(self.buffer) >= self.needed_bytes and (words := self._parse_array()) is not None:
            self.needed_bytes = 1
            yield words

    def _parse_length_line(self, at: int, prefix: int, max_value: int) -> tuple[int, int] | None:
        """Parse the line at `at` as `prefix` and a number, and return the number and the end of the line.

        Returns None if the line is incomplete.
        """
        buffer = self.buffer
        end = buffer.data.find(CRLF, at, buffer.end)
        if end < 0:
            if buffer.end - at > MAX_LINE_BYTES:
                raise RespProtocolError(f"RESP line of over {MAX_LINE_BYTES} bytes, expected a length")
            return None
        digits = buffer.data[at + 1 : end]
        is_number = digits.isdigit() and len(digits) <= MAX_LINE_BYTES
        if buffer.data[at] != prefix or not is_number or int(digits) > max_value:
            line = bytes(buffer.data[at:end][:MAX_LINE_BYTES])
            raise RespProtocolError(
                f"invalid RESP line {line!r}, expected {chr(prefix)!r} and a number up to {max_value}"
            )
        return int(digits), end + CRLF_BYTES

    def _parse_array(self) -> list[bytes] | None:
        buffer = self.buffer
        head = self._parse_length_line(buffer.start, ARRAY, MAX_ARRAY_LENGTH)
        if head is None:
            return None
        count, at = head
        words = []
        max_bytes = MAX_ARRAY_BYTES
        with memoryview(buffer.data) as data:
            for _ in range(count):
                bulk = self._parse_length_line(at, BULK, min(max_bytes, MAX_BULK_BYTES))
                if bulk is None:
                    return None
                size, begin = bulk
                max_bytes -= size
                at = begin + size + CRLF_BYTES
                if buffer.end < at:
                    self.needed_bytes = at - buffer.start
                    buffer.expected_bytes = self.needed_bytes
                    return None
                if data[at - 2] != CR or data[at - 1] != LF:
                    raise RespProtocolError(f"RESP bulk string of {size} bytes is not followed by CRLF")
                words.append(bytes(data[begin : begin + size]))
        buffer.start = at
        return words


def parse_fields(text: bytes) -> dict[str, str]:
    """Parse `name=value,name=value`, or `-` for no fields.

    Raises RespProtocolError if a pair has no `=`.
    """
    if text == b"-":
        return {}
    fields = {}
    for pair in text.decode("latin-1").split(","):
        name, separator, value = pair.partition("=")
        if not separator:
            raise RespProtocolError(
                f"invalid field {pair[:MAX_LINE_BYTES]!r} in a cache reply, expected name=value"
            )
        fields[name] = value
    return fields
