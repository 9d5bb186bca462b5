"""RESP arrays of bulk strings, as spoken with caches, parents and the origin. No I/O here."""

from __future__ import annotations

from collections.abc import Iterator

from onyxwick.net.buffer import Buffer

MAX_WORDS, MAX_BULK = 16, 1_048_576  # over these it is no answer of the platform's
LINE = 32  # longest line with a count or a length


class RespError(Exception):
    """What came is no array of bulk strings: only closing the connection helps."""


def command(*words: bytes) -> bytes:
    parts = [b"*%d\r\n" % len(words)]
    parts += [b"$%d\r\n%b\r\n" % (len(word), word) for word in words]
    return b"".join(parts)


class Parser:
    """The arrays that arrive on one connection."""

    def __init__(self) -> None:
        self.buffer = Buffer()
        self.need = 1  # bytes without which nothing more can be read: bodies come in many small pieces

    def messages(self) -> Iterator[list[bytes]]:
        while len(self.buffer) >= self.need and (words := self._array()) is not None:
            self.need = 1
            yield words

    def _number(self, at: int, mark: bytes, most: int) -> tuple[int, int] | None:
        """The count after `mark` at `at`, and where its line ends; None if it has not all come."""
        if len(self.buffer) <= at:
            return None
        end = self.buffer.find(b"\r\n", at)
        if end < 0:
            if len(self.buffer) - at > LINE:
                raise RespError("line too long")
            return None
        line = self.buffer.peek(end - at, at)
        digits = line[1:]
        if line[:1] != mark or not digits.isdigit() or int(digits) > most:
            raise RespError(f"bad line {line[:LINE]!r}")
        return int(digits), end + 2

    def _array(self) -> list[bytes] | None:
        head = self._number(0, b"*", MAX_WORDS)
        if head is None:
            return None
        count, at = head
        spans = []
        for _ in range(count):
            bulk = self._number(at, b"$", MAX_BULK)
            if bulk is None:
                return None
            if len(self.buffer) < bulk[1] + bulk[0] + 2:
                self.need = bulk[1] + bulk[0] + 2
                return None
            size, begin = bulk
            if self.buffer.peek(2, begin + size) != b"\r\n":
                raise RespError("bulk string without its end")
            spans.append((begin, size))
            at = begin + size + 2
        words = [self.buffer.peek(size, begin) for begin, size in spans]
        self.buffer.skip(at)
        return words


def fields(text: bytes) -> dict[str, str]:
    """`name=value,name=value`, or `-` for none."""
    if text == b"-":
        return {}
    out = {}
    for pair in text.decode("latin-1").split(","):
        name, mark, value = pair.partition("=")
        if not mark:
            raise RespError(f"bad field {pair[:LINE]!r}")
        out[name] = value
    return out
