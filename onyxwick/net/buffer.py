"""The receive buffer of a connection, which holds the bytes received and not yet parsed. Sizes are bytes."""

from __future__ import annotations

import asyncio
import contextlib
import socket

from onyxwick.net.socket_state import wait_readable

DEFAULT_FREE_BYTES = 16_384
"""The minimum free space that each receive call is given."""
SHRINK_ABOVE_BYTES = 65_536
"""An empty buffer larger than this is replaced by a small one to release its memory."""
REST_BYTES = 16_384
"""`shrink` keeps an empty buffer up to this size."""


class ReceiveBuffer:
    """A receive buffer that grows as needed and is compacted in position.

    Parsers read from `data[start:end]` and advance `start`; received bytes are written from `end` on.
    """

    def __init__(self, free_bytes: int = DEFAULT_FREE_BYTES) -> None:
        self.free_bytes = free_bytes
        self.data = bytearray(free_bytes)
        self.start = 0
        self.end = 0
        self.received_bytes = 0  # in total, through `append` and `receive_available`
        self.expected_bytes = 0  # length of the message that is being received; 0 if not known

    def __len__(self) -> int:
        return self.end - self.start

    def peek(self, size: int, offset: int = 0) -> bytes:
        """Return up to `size` unparsed bytes from `offset` on, without consuming them."""
        begin = self.start + offset
        with memoryview(self.data) as view:  # copies once; slicing the bytearray would copy twice
            return bytes(view[begin : min(begin + size, self.end)])

    def find(self, separator: bytes, offset: int = 0) -> int:
        """Return the offset of a separator from the first unparsed byte, or -1; search from `offset`."""
        position = self.data.find(separator, self.start + offset, self.end)
        return position - self.start if position >= 0 else -1

    def skip(self, size: int) -> None:
        """Consume `size` bytes without returning them."""
        self.start += size

    def take(self, size: int) -> bytes:
        """Consume and return up to `size` bytes."""
        out = self.peek(size)
        self.skip(size)
        return out

    def shrink(self) -> None:
        """Release the memory of an empty buffer that has grown, as its connection may rest for long."""
        if self.start == self.end and len(self.data) > REST_BYTES:
            self.data = bytearray(self.free_bytes)
            self.start = self.end = 0

    def release(self) -> None:
        """Discard all bytes and the buffer itself; nothing is received any more."""
        self.data = bytearray()
        self.start = 0
        self.end = 0

    def append(self, more: bytes) -> None:
        """Append bytes that the caller has received by other means."""
        self._reserve(len(more))
        self.data[self.end : self.end + len(more)] = more
        self.end += len(more)
        self.received_bytes += len(more)

    async def receive(self, loop: asyncio.AbstractEventLoop, sock: socket.socket) -> bool:
        """Wait for bytes and receive them.

        Returns False at the end of the stream. Raises OSError if the connection fails.
        """
        self._reserve(self.free_bytes)
        # The views are released before the buffer is resized, since a bytearray with views cannot grow.
        with memoryview(self.data) as view, view[self.end :] as free:
            count = await loop.sock_recv_into(sock, free)
        self.end += count
        return count > 0

    async def receive_when_readable(self, loop: asyncio.AbstractEventLoop, sock: socket.socket) -> bool:
        """Receive like `receive`, but leave the bytes in the socket until the calling task resumes.

        Until then `unread_bytes` counts them. Otherwise a connection whose call has been received, but not
        yet parsed, would look idle.
        """
        while True:
            await wait_readable(loop, sock)
            with contextlib.suppress(BlockingIOError):  # a spurious wake-up, or the bytes were already read
                return self.receive_available(sock)

    def receive_available(self, sock: socket.socket) -> bool:
        """Receive without waiting.

        Returns False at the end of the stream. Raises BlockingIOError if no bytes are available.
        """
        self._reserve(self.free_bytes)
        with memoryview(self.data) as view, view[self.end :] as free:
            count = sock.recv_into(free)
        self.end += count
        self.received_bytes += count
        return count > 0

    def _reserve(self, size: int) -> None:
        """Ensure at least `size` free bytes after `end`."""
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
        capacity = len(self.data)
        if capacity - self.end >= size:
            return
        # Doubled, so that a long message is copied rarely, but no further than the message needs.
        grown = 2 * capacity
        if self.expected_bytes:
            grown = min(grown, self.expected_bytes + size)
        self.data.extend(bytes(max(self.end + size, grown) - capacity))
