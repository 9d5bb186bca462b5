"""Establishes a connection to the feed by racing several: a slow connection continues while others are tried.

A connection that is never established, or on which nothing is ever sent, costs only the wait until the next
connection is started. A slow connection is not abandoned when the next one is started. Times are monotonic
seconds.

The alternative is to try one connection after the other with increasing time limits. That would abandon
each slow connection once, and would wait longer for a dead connection each time.
"""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import Callable

from onyxwick.config.address import Address
from onyxwick.net.socket_state import unread_bytes, wait_readable

MAX_CONCURRENT_CONNECTIONS = 4
"""At most this many connections are raced: the oldest is stopped before the number is exceeded."""
CONNECT_LIMIT_S = 0.8
"""If the newest connection is not established within this time, another one is started in parallel."""
SILENCE_LIMIT_S = 2.2
"""If nothing is received this long after the start of an established connection, another one is started.

This is also the limit for silence on the connection in use. The feed sends a line each second.
"""
CHECK_INTERVAL_S = 0.05
"""Interval between two checks whether to start another connection."""


class PendingConnection:
    """One connection, from connecting until its first byte is received."""

    def __init__(self, address: Address, greeting: Callable[[], bytes]) -> None:
        self.address = address
        self.greeting = greeting
        self.started_s = time.monotonic()
        self.is_established = False
        self.received = False
        self.sock: socket.socket | None = None
        self.task = asyncio.get_running_loop().create_task(self._run())

    async def _run(self) -> None:
        loop = asyncio.get_running_loop()
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.sock = sock
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        await loop.sock_connect(sock, self.address)
        await loop.sock_sendall(sock, self.greeting())
        self.is_established = True
        await wait_readable(loop, sock)
        self.received = True

    async def stop(self, winner: socket.socket | None) -> None:
        """Stop the attempt and close its socket, unless that socket is `winner`."""
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)
        if self.sock is not None and self.sock is not winner:
            self.sock.close()

    def is_slow(self, now_s: float) -> bool:
        """Return whether another connection should be started in parallel."""
        return now_s - self.started_s > (SILENCE_LIMIT_S if self.is_established else CONNECT_LIMIT_S)

    def has_received(self) -> bool:
        """Return whether bytes have been received, even if they are still unread."""
        return self.received or (
            self.is_established and self.sock is not None and unread_bytes(self.sock) > 0
        )


class FeedRace:
    """Races connections to one address; the first connection that receives bytes wins.

    `greeting` returns the bytes that are written on each connection once it is established.
    """

    def __init__(self, address: Address, greeting: Callable[[], bytes]) -> None:
        self.address = address
        self.greeting = greeting
        self.attempts: list[PendingConnection] = []  # oldest first
        self.newest: PendingConnection | None = None
        self.winner: socket.socket | None = None

    async def run(self) -> socket.socket:
        """Return the winner's socket. Raises OSError if the last connection failed and none is pending."""
        try:
            while (winner := self.first_readable()) is None:
                await self._drop_failed()
                await self._start_another()
                tasks = {attempt.task for attempt in self.attempts}
                await asyncio.wait(tasks, timeout=CHECK_INTERVAL_S, return_when=asyncio.FIRST_COMPLETED)
        except BaseException:
            # The race was cancelled or failed. The caller gets no socket, so even a winner's must be closed.
            await self._stop_all(None)
            raise
        await self._stop_all(winner)
        return winner

    async def _stop_all(self, winner: socket.socket | None) -> None:
        for attempt in self.attempts:
            await attempt.stop(winner)

    def first_readable(self) -> socket.socket | None:
        """Return the winner's socket: the first found to have received bytes. None if there is none yet."""
        if self.winner is None:
            self.winner = next((attempt.sock for attempt in self.attempts if attempt.has_received()), None)
        return self.winner

    async def _drop_failed(self) -> None:
        """Remove failed connections. Raises the error of the last failed one if no connection remains."""
        for attempt in [attempt for attempt in self.attempts if attempt.task.done()]:
            self.attempts.remove(attempt)
            await attempt.stop(None)
            if not self.attempts:
                attempt.task.result()

    async def _start_another(self) -> None:
        if self.newest is not None and not self.newest.is_slow(time.monotonic()):
            return
        if len(self.attempts) >= MAX_CONCURRENT_CONNECTIONS:
            await self.attempts.pop(0).stop(None)
        self.newest = PendingConnection(self.address, self.greeting)
        self.attempts.append(self.newest)
