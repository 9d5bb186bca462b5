"""Establishes a connection to the feed by racing several: a slow one goes on while others are tried.

A connection that is never established, or on which nothing is ever sent, costs only the wait until the next
one is started; a merely slow one is not abandoned for it. Times are monotonic seconds.

Alternative weighed: growing limits for one connection after the other abandon each slow one once, and wait
for a dead one longer each time.
"""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import Callable

from onyxwick.config.address import Address
from onyxwick.net.socket_state import unread_bytes, wait_readable

MAX_CONCURRENT_CONNECTIONS = 4
"""With more the oldest one is stopped."""
CONNECT_LIMIT_S = 0.8
"""After so long another connection is tried beside one that is not established."""
SILENCE_LIMIT_S = 2.2
"""After so long without a byte on an established one another is tried: a line is sent each second."""
CHECK_INTERVAL_S = 0.05
"""Between two checks whether another connection is due."""


class PendingConnection:
    """One connection until its first byte is received."""

    def __init__(self, address: Address, greeting: Callable[[], bytes]) -> None:
        self.address = address
        self.greeting = greeting
        self.began_s = time.monotonic()
        self.is_up = False
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
        self.is_up = True
        await wait_readable(loop, sock)
        self.received = True

    async def stop(self, winner: socket.socket | None) -> None:
        """Stop it; its socket is closed unless it is the winner's."""
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)
        if self.sock is not None and self.sock is not winner:
            self.sock.close()

    def is_slow(self, now_s: float) -> bool:
        """Whether another connection is to be tried beside it."""
        return now_s - self.began_s > (SILENCE_LIMIT_S if self.is_up else CONNECT_LIMIT_S)

    def has_received(self) -> bool:
        """Whether it has received bytes, read or not."""
        return self.received or (self.is_up and self.sock is not None and unread_bytes(self.sock) > 0)


class FeedRace:
    """Connections to one address, of which the first that receives bytes wins.

    `greeting`: the bytes written on each connection once it is established.
    """

    def __init__(self, address: Address, greeting: Callable[[], bytes]) -> None:
        self.address = address
        self.greeting = greeting
        self.attempts: list[PendingConnection] = []  # oldest first
        self.newest: PendingConnection | None = None
        self.winner: socket.socket | None = None

    async def run(self) -> socket.socket:
        """The winner's socket; OSError where the last connection failed and none is under way."""
        try:
            while (winner := self.first_readable()) is None:
                await self._drop_failed()
                await self._start_another()
                tasks = {attempt.task for attempt in self.attempts}
                await asyncio.wait(tasks, timeout=CHECK_INTERVAL_S, return_when=asyncio.FIRST_COMPLETED)
        except BaseException:  # cancelled or failed: nobody would read from a winner
            await self._stop_all(None)
            raise
        await self._stop_all(winner)
        return winner

    async def _stop_all(self, winner: socket.socket | None) -> None:
        for attempt in self.attempts:
            await attempt.stop(winner)

    def first_readable(self) -> socket.socket | None:
        """The socket that has received bytes, which is the winner from then on; None if there is none yet."""
        if self.winner is None:
            self.winner = next((attempt.sock for attempt in self.attempts if attempt.has_received()), None)
        return self.winner

    async def _drop_failed(self) -> None:
        """Forget connections that have ended; raises the last one's error where none is left."""
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
