"""The receive buffer of one connection."""

from __future__ import annotations

import asyncio
import fcntl
import socket
import sys
import termios

ROOM = 16_384  # least free space offered to one receive, where nothing else is said
KEPT = 65_536  # an emptied buffer larger than this is given back


def unread(sock: socket.socket) -> int:
    """Bytes that have come and wait in the socket."""
    return int.from_bytes(fcntl.ioctl(sock, termios.FIONREAD, bytes(4)), sys.byteorder)


class Buffer:
    """Bytes received and not yet parsed; grows as needed and is compacted in place.

    Parsers read from `data[start:end]` and move `start` on; the room behind `end` is for receiving.
    """

    def __init__(self, room: int = ROOM) -> None:
        self.room = room
        self.data = bytearray(room)
        self.start = self.end = 0

    def __len__(self) -> int:
        return self.end - self.start

    def peek(self, size: int, at: int = 0) -> bytes:
        begin = self.start + at
        with memoryview(self.data) as whole:  # one copy, where a slice of the bytearray would make two
            return bytes(whole[begin : min(begin + size, self.end)])

    def find(self, mark: bytes, at: int = 0) -> int:
        """Place of `mark` counted from the first unread byte, or -1."""
        place = self.data.find(mark, self.start + at, self.end)
        return place - self.start if place >= 0 else -1

    def skip(self, size: int) -> None:
        self.start += size

    def take(self, size: int) -> bytes:
        out = self.peek(size)
        self.skip(size)
        return out

    def feed(self, more: bytes) -> None:
        """Append bytes that came some other way than by `receive`."""
        self._make_room(len(more))
        self.data[self.end : self.end + len(more)] = more
        self.end += len(more)

    async def receive(self, loop: asyncio.AbstractEventLoop, sock: socket.socket) -> bool:
        """Wait for bytes; False at the end of the stream."""
        self._make_room(self.room)
        # The views are released before the buffer can be resized: a bytearray with views cannot grow.
        with memoryview(self.data) as whole, whole[self.end :] as room:
            got = await loop.sock_recv_into(sock, room)
        self.end += got
        return got > 0

    def _make_room(self, size: int) -> None:
        if self.start == self.end:
            self.start = self.end = 0
            if len(self.data) > KEPT:
                self.data = bytearray(self.room)
        if len(self.data) - self.end >= size:
            return
        if self.start:
            held = self.end - self.start
            self.data[:held] = self.data[self.start : self.end]
            self.start, self.end = 0, held
        short = size - (len(self.data) - self.end)
        if short > 0:
            self.data.extend(bytes(max(short, len(self.data))))
