"""RESP arrays of bulk strings, as spoken with caches, parents and the origin. No I/O here."""

from __future__ import annotations

from collections.abc import Iterator

from onyxwick.net.buffer import ReceiveBuffer

MAX_ARRAY_LENGTH, MAX_BULK_BYTES = 16, 262_144  # over these it is no answer of the platform's
ARRAY, BULK, CR, LF = b"*$\r\n"
MAX_LINE_BYTES = 32  # longest line with a count or a length


class RespProtocolError(Exception):
    """What came is no array of bulk strings: only closing the connection helps."""


def encode_command(*words: bytes) -> bytes:
    parts = [b"*%d\r\n" % len(words)]
    parts += [b"$%d\r\n%b\r\n" % (len(word), word) for word in words]
    return b"".join(parts)


class RespParser:
    """The arrays that arrive on one connection."""

    def __init__(self) -> None:
        self.buffer = ReceiveBuffer()
        self.needed_bytes = (
            1  # bytes without which nothing more can be read: bodies come in many small pieces
        )

    def messages(self) -> Iterator[list[bytes]]:
        while len(self.buffer) >= self.needed_bytes and (words := self._next_array()) is not None:
            self.needed_bytes = 1
            yield words

    def _length_line(self, at: int, mark: int, most: int) -> tuple[int, int] | None:
        """The count after `mark` at `at`, and where its line ends; None if it has not all come."""
        buffer = self.buffer
        end = buffer.data.find(b"\r\n", at, buffer.end)
        if end < 0:
            if buffer.end - at > MAX_LINE_BYTES:
                raise RespProtocolError("line too long")
            return None
        digits = buffer.data[at + 1 : end]
        if (
            buffer.data[at] != mark
            or not digits.isdigit()
            or len(digits) > MAX_LINE_BYTES
            or int(digits) > most
        ):
            raise RespProtocolError(f"bad line {bytes(buffer.data[at:end][:MAX_LINE_BYTES])!r}")
        return int(digits), end + 2

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
                at = begin + size + 2
                if buffer.end < at:
                    self.needed_bytes = at - buffer.start
                    return None
                if data[at - 2] != CR or data[at - 1] != LF:
                    raise RespProtocolError("bulk string without its end")
                words.append(bytes(data[begin : begin + size]))
        buffer.start = at
        return words


def parse_fields(text: bytes) -> dict[str, str]:
    """`name=value,name=value`, or `-` for none."""
    if text == b"-":
        return {}
    out = {}
    for pair in text.decode("latin-1").split(","):
        name, mark, value = pair.partition("=")
        if not mark:
            raise RespProtocolError(f"bad field {pair[:MAX_LINE_BYTES]!r}")
        out[name] = value
    return out
