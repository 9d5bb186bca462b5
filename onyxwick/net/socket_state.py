"""Queries the operating system about a TCP socket: unread bytes, bytes in flight, peer state, activity times.

No function here reads or writes payload. Sizes are bytes, times are seconds.
"""

from __future__ import annotations

import asyncio
import fcntl
import select
import socket
import sys
import termios

TCP_INFO_BYTES = 60
"""The length of Linux's struct tcp_info up to and including the fields used here."""
LAST_DATA_SENT = slice(44, 48)
"""Where struct tcp_info holds tcpi_last_data_sent, a number of milliseconds."""
LAST_DATA_RECEIVED = slice(52, 56)
"""Where struct tcp_info holds tcpi_last_data_recv, a number of milliseconds."""
PEER_GONE_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR
"""The poll events of a socket whose peer has closed or reset the connection."""
INT_BYTES = 4
MS_PER_S = 1000


def unread_bytes(sock: socket.socket) -> int:
    """Return the number of bytes received and not yet read from the socket, or 0 if it is closed."""
    if sock.fileno() < 0:
        return 0
    return int.from_bytes(fcntl.ioctl(sock, termios.FIONREAD, bytes(INT_BYTES)), sys.byteorder)


def in_flight_bytes(sock: socket.socket) -> int:
    """Return the number of bytes written and not yet acknowledged by the peer.

    A written end of stream counts as well. Returns 0 if the socket is closed or the system does not know.
    """
    if sock.fileno() < 0:
        return 0
    try:
        count = fcntl.ioctl(sock, termios.TIOCOUTQ, bytes(INT_BYTES))
    except OSError:
        return 0
    return int.from_bytes(count, sys.byteorder)


def is_closed_by_peer(sock: socket.socket) -> bool:
    """Return whether the peer has closed its side or the connection is lost, even if bytes are unread."""
    if sock.fileno() < 0:
        return True
    poll = select.poll()
    poll.register(sock, select.POLLRDHUP)
    return bool(poll.poll(0))


def is_connected(sock: socket.socket) -> bool:
    """Return whether a connect started on the socket has succeeded and the connection is established."""
    try:
        sock.getpeername()
    except OSError:
        return False
    return True


def seconds_since_received(sock: socket.socket) -> float | None:
    """Return how long ago the last bytes were received, or None if the system does not know."""
    return _tcp_info_seconds(sock, LAST_DATA_RECEIVED)


def seconds_since_sent(sock: socket.socket) -> float | None:
    """Return how long ago bytes were last sent, or None if the system does not know.

    If none were sent, this is the time since the connection was established.
    """
    return _tcp_info_seconds(sock, LAST_DATA_SENT)


def _tcp_info_seconds(sock: socket.socket, field: slice) -> float | None:
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
    except OSError:
        return None
    if len(info) < TCP_INFO_BYTES:
        return None
    return int.from_bytes(info[field], sys.byteorder) / MS_PER_S


async def wait_readable(loop: asyncio.AbstractEventLoop, sock: socket.socket) -> None:
    """Wait until the socket is readable. Nothing is read, so that a cancelled wait loses no bytes."""
    ready: asyncio.Future[None] = loop.create_future()
    loop.add_reader(sock.fileno(), _set_ready, ready)
    try:
        await ready
    finally:
        loop.remove_reader(sock.fileno())


async def wait_writable(loop: asyncio.AbstractEventLoop, sock: socket.socket) -> None:
    """Wait until the socket is writable. Nothing is written."""
    ready: asyncio.Future[None] = loop.create_future()
    loop.add_writer(sock.fileno(), _set_ready, ready)
    try:
        await ready
    finally:
        loop.remove_writer(sock.fileno())


def _set_ready(ready: asyncio.Future[None]) -> None:
    if not ready.done():
        ready.set_result(None)
