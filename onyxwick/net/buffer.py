"""The receive buffer of one connection: bytes received and not yet parsed. Sizes are bytes."""

from __future__ import annotations

import asyncio
import contextlib
import socket

from onyxwick.net.socket_state import wait_readable

DEFAULT_FREE_BYTES = 16_384
"""The least free space offered to one receive."""
SHRINK_ABOVE_BYTES = 65_536
"""An emptied buffer larger than this is replaced by a small one."""


class ReceiveBuffer:
    """Grows as needed and is compacted in place.

    Parsers read from `data[start:end]` and advance `start`; the space behind `end` is for receiving.
    """

    def __init__(self, free_bytes: int = DEFAULT_FREE_BYTES) -> None:
        self.free_bytes = free_bytes
        self.data = bytearray(free_bytes)
        self.start = 0
        self.end = 0
        self.received_bytes = 0  # in total, by `append` and `receive_available`

    def __len__(self) -> int:
        return self.end - self.start

    def peek(self, size: int, offset: int = 0) -> bytes:
        """Up to `size` unparsed bytes from `offset` on, without consuming them."""
        begin = self.start + offset
        with memoryview(self.data) as view:  # one copy, where a slice of the bytearray would make two
            return bytes(view[begin : min(begin + size, self.end)])

    def find(self, separator: bytes, offset: int = 0) -> int:
        """The offset of a separator from the first unparsed byte, searched from `offset` on; -1 if absent."""
        place = self.data.find(separator, self.start + offset, self.end)
        return place - self.start if place >= 0 else -1

    def skip(self, size: int) -> None:
        """Consume bytes."""
        self.start += size

    def take(self, size: int) -> bytes:
        """Consume and return up to `size` bytes."""
        out = self.peek(size)
        self.skip(size)
        return out

    def append(self, more: bytes) -> None:
        """Append bytes that were not received by this buffer itself."""
        self._reserve(len(more))
        self.data[self.end : self.end + len(more)] = more
        self.end += len(more)
        self.received_bytes += len(more)

    async def receive(self, loop: asyncio.AbstractEventLoop, sock: socket.socket) -> bool:
        """Wait for bytes; False at the end of the stream, OSError if the connection breaks."""
        self._reserve(self.free_bytes)
        # The views are released before the buffer can be resized: a bytearray with views cannot grow.
        with memoryview(self.data) as view, view[self.end :] as free:
            count = await loop.sock_recv_into(sock, free)
        self.end += count
        return count > 0

    async def receive_when_readable(self, loop: asyncio.AbstractEventLoop, sock: socket.socket) -> bool:
        """Like `receive`, but the bytes stay in the socket until the caller resumes.

        Until then `unread_bytes` counts them; otherwise a connection with a received call would look idle.
        """
        while True:
            await wait_readable(loop, sock)
            with contextlib.suppress(BlockingIOError):  # a spurious wake-up, or another reader was first
                return self.receive_available(sock)

    def receive_available(self, sock: socket.socket) -> bool:
        """Receive without waiting; False at the end of the stream, BlockingIOError if there is nothing."""
        self._reserve(self.free_bytes)
        with memoryview(self.data) as view, view[self.end :] as free:
            count = sock.recv_into(free)
        self.end += count
        self.received_bytes += count
        return count > 0

    def _reserve(self, size: int) -> None:
        """Provide at least `size` free bytes behind `end`."""
        if self.start == self.end:
            self.start = self.end = 0
            if len(self.data) > SHRINK_ABOVE_BYTES:
                self.data = bytearray(self.free_bytes)
        if len(self.data) - self.end >= size:
            return
        if self.start:
            unparsed = self.end - self.start
            self.data[:unparsed] = self.data[self.start : self.end]
            self.start = 0
            self.end = unparsed
        short = size - (len(self.data) - self.end)
        if short > 0:
            self.data.extend(bytes(max(short, len(self.data))))
