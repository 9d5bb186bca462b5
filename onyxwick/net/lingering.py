"""Closes TCP connections without a reset: closing with unread bytes would discard answers in flight.

All waits are bounded. Times are seconds.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
import time
from collections.abc import Awaitable, Callable

from onyxwick.net.socket_state import is_closed_by_peer

PEER_CHECK_INTERVAL_S = 0.05
"""The interval between checks whether a client that is not being read from has closed."""
LINGER_READ_INTERVAL_S = 0.01
"""The interval between reads of discarded input, so that endless input takes a bounded share of the
processor."""
MIN_WAIT_S = 0.001
MAX_FINAL_READS = 16
"""The maximum number of reads of a socket's unread bytes before it is closed."""
DISCARD_BYTES = 65_536
"""The maximum number of bytes discarded by one read."""


def discard_unread(sock: socket.socket) -> None:
    """Read and discard unread bytes right before a close, with at most `MAX_FINAL_READS` reads."""
    with contextlib.suppress(OSError):
        for _ in range(MAX_FINAL_READS):
            if not sock.recv(DISCARD_BYTES):
                return


async def linger(sock: socket.socket, is_lingering: Callable[[float], bool]) -> None:
    """Read and discard until the peer closes its side or `is_lingering(now_s)` returns False.

    Raises OSError on a reset.
    """
    loop = asyncio.get_running_loop()
    while is_lingering(time.monotonic()):
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(PEER_CHECK_INTERVAL_S):
                if not await loop.sock_recv(sock, DISCARD_BYTES):
                    return
        await asyncio.sleep(LINGER_READ_INTERVAL_S)


async def wait_unless_closed(sock: socket.socket, until: Awaitable[object], limit_s: float) -> bool:
    """Wait for `until` without reading, for at most `limit_s`. Returns True if the peer closes meanwhile."""
    waiting = asyncio.ensure_future(until)
    deadline_s = time.monotonic() + limit_s
    try:
        while time.monotonic() < deadline_s:
            wait_s = min(PEER_CHECK_INTERVAL_S, max(MIN_WAIT_S, deadline_s - time.monotonic()))
            await asyncio.wait({waiting}, timeout=wait_s)
            if waiting.done():
                return False
            if is_closed_by_peer(sock):
                return True
        return False
    finally:
        waiting.cancel()
