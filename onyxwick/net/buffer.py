"""The receive buffer of one connection."""

from __future__ import annotations

import asyncio
import contextlib
import fcntl
import select
import socket
import sys
import termios

DEFAULT_FREE_BYTES = 16_384  # least free space offered to one receive, where nothing else is said
TCP_INFO_BYTES = 60  # of Linux's struct tcp_info, with tcpi_last_data_sent and tcpi_last_data_recv, both ms
LAST_DATA_SENT, LAST_DATA_RECEIVED = slice(44, 48), slice(52, 56)
SHRINK_ABOVE_BYTES = 65_536  # an emptied buffer larger than this is given back


def unread_bytes(sock: socket.socket) -> int:
    """Bytes that have come and wait in the socket; none where it is closed already."""
    if sock.fileno() < 0:
        return 0
    return int.from_bytes(fcntl.ioctl(sock, termios.FIONREAD, bytes(4)), sys.byteorder)


def in_flight_bytes(sock: socket.socket) -> int:
    """Bytes written to a socket that the other side has not taken yet; none where it is closed, or the system
    does not tell. The end that was written counts for nothing."""
    if sock.fileno() < 0:
        return 0
    try:
        told = fcntl.ioctl(sock, termios.TIOCOUTQ, bytes(4))
    except OSError:
        return 0
    return int.from_bytes(told, sys.byteorder)


def is_closed_by_peer(sock: socket.socket) -> bool:
    """Has the other side written its end, or is the connection gone? Told though bytes before it are unread,
    which no read from the socket could tell."""
    if sock.fileno() < 0:
        return True
    poll = select.poll()
    poll.register(sock, select.POLLRDHUP)
    return bool(poll.poll(0))


def is_connected(sock: socket.socket) -> bool:
    """Has a connect that was begun on it succeeded, and is the connection there?"""
    try:
        sock.getpeername()
    except OSError:
        return False
    return True


def seconds_since_received(sock: socket.socket) -> float | None:
    """How long ago the last bytes came to a socket, as the system counts; None where it does not tell."""
    return _tcp_info_seconds(sock, LAST_DATA_RECEIVED)


def seconds_since_sent(sock: socket.socket) -> float | None:
    """How long ago the last bytes were sent, or where none were, the connection came up; None: not told."""
    return _tcp_info_seconds(sock, LAST_DATA_SENT)


def _tcp_info_seconds(sock: socket.socket, place: slice) -> float | None:
    try:
        told = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
    except OSError:
        return None
    if len(told) < TCP_INFO_BYTES:
        return None
    return int.from_bytes(told[place], sys.byteorder) / 1000


async def wait_readable(loop: asyncio.AbstractEventLoop, sock: socket.socket) -> None:
    """Wait until there is something to take, and take nothing: a cancel can lose nothing."""
    come: asyncio.Future[None] = loop.create_future()
    loop.add_reader(sock.fileno(), _come, come)
    try:
        await come
    finally:
        loop.remove_reader(sock.fileno())


async def wait_writable(loop: asyncio.AbstractEventLoop, sock: socket.socket) -> None:
    """Wait until the socket takes bytes, and write none."""
    come: asyncio.Future[None] = loop.create_future()
    loop.add_writer(sock.fileno(), _come, come)
    try:
        await come
    finally:
        loop.remove_writer(sock.fileno())


def _come(future: asyncio.Future[None]) -> None:
    if not future.done():
        future.set_result(None)


class ReceiveBuffer:
    """Bytes received and not yet parsed; grows as needed and is compacted in place.

    Parsers read from `data[start:end]` and move `start` on; the room behind `end` is for receiving.
    """

    def __init__(self, free_bytes: int = DEFAULT_FREE_BYTES) -> None:
        self.free_bytes = free_bytes
        self.data = bytearray(free_bytes)
        self.start = self.end = 0
        self.received_bytes = 0  # bytes so far

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

    def append(self, more: bytes) -> None:
        """Append bytes that came some other way than by `receive`."""
        self._reserve(len(more))
        self.data[self.end : self.end + len(more)] = more
        self.end += len(more)
        self.received_bytes += len(more)

    async def receive(self, loop: asyncio.AbstractEventLoop, sock: socket.socket) -> bool:
        """Wait for bytes; False at the end of the stream."""
        self._reserve(self.free_bytes)
        # The views are released before the buffer can be resized: a bytearray with views cannot grow.
        with memoryview(self.data) as whole, whole[self.end :] as room:
            got = await loop.sock_recv_into(sock, room)
        self.end += got
        return got > 0

    async def receive_when_readable(self, loop: asyncio.AbstractEventLoop, sock: socket.socket) -> bool:
        """The same, but the bytes stay in the socket until the caller has them: between a read by the loop
        and the reader's turn `unread` would not tell of them, and a connection would seem to owe nothing."""
        while True:
            await wait_readable(loop, sock)
            with contextlib.suppress(BlockingIOError):  # somebody else has taken it, or there was nothing
                return self.receive_available(sock)

    def receive_available(self, sock: socket.socket) -> bool:
        """What stands in the socket; False at the stream's end, BlockingIOError where there is nothing."""
        self._reserve(self.free_bytes)
        with memoryview(self.data) as whole, whole[self.end :] as room:
            got = sock.recv_into(room)
        self.end += got
        self.received_bytes += got
        return got > 0

    def _reserve(self, size: int) -> None:
        if self.start == self.end:
            self.start = self.end = 0
            if len(self.data) > SHRINK_ABOVE_BYTES:
                self.data = bytearray(self.free_bytes)
        if len(self.data) - self.end >= size:
            return
        if self.start:
            held = self.end - self.start
            self.data[:held] = self.data[self.start : self.end]
            self.start, self.end = 0, held
        short = size - (len(self.data) - self.end)
        if short > 0:
            self.data.extend(bytes(max(short, len(self.data))))
