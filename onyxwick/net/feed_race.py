"""How a connection to the feed is found: one that is slow goes on while the next ones are tried beside it.

A connection that never comes up, or on which nothing is ever said, costs the wait until the next one alone;
one that is merely slow is not given up for it. Rejected: longer and longer limits for one connection after
the other, which give up each slow one once and leave a dead one for longer each time.
"""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import Callable

from onyxwick.config.address import Address
from onyxwick.net.socket_state import unread_bytes, wait_readable

MAX_CONCURRENT_CONNECTIONS = 4  # connections at once; then the oldest is given up
CONNECT_LIMIT_S = 0.8  # before the next one is tried beside one that has not come up
SILENCE_LIMIT_S = 2.2  # the same beside one that is up: a line comes each second
CHECK_INTERVAL_S = 0.05  # between two looks whether it is time for another one


class PendingConnection:
    """One connection on its way to its first byte."""

    def __init__(self, address: Address, greeting: Callable[[], bytes]) -> None:
        self.address, self.greeting = address, greeting
        self.began_s, self.is_up = time.monotonic(), False
        self.received = False
        self.sock: socket.socket | None = None
        self.task = asyncio.get_running_loop().create_task(self._run())

    async def _run(self) -> None:
        loop = asyncio.get_running_loop()
        sock = self.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        await loop.sock_connect(sock, self.address)
        await loop.sock_sendall(sock, self.greeting())
        self.is_up = True
        await wait_readable(loop, sock)
        self.received = True

    async def stop(self, winner: socket.socket | None) -> None:
        """Stop it; its socket is closed unless it is the one that is kept."""
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)
        if self.sock is not None and self.sock is not winner:
            self.sock.close()

    def is_slow(self, now: float) -> bool:
        """Is it time to try another one beside it?"""
        return now - self.began_s > (SILENCE_LIMIT_S if self.is_up else CONNECT_LIMIT_S)

    def has_received(self) -> bool:
        """Has it brought bytes?"""
        return self.received or (self.is_up and self.sock is not None and unread_bytes(self.sock) > 0)


class FeedRace:
    """Connections to one address of which the first that brings bytes is kept.

    `greeting`: what is written on each once it is up.
    """

    def __init__(self, address: Address, greeting: Callable[[], bytes]) -> None:
        self.address, self.greeting = address, greeting
        self.attempts: list[PendingConnection] = []
        self.newest: PendingConnection | None = None
        self.winner: socket.socket | None = None

    async def run(self) -> socket.socket:
        """The socket that is kept; OSError where the last connection failed and none is under way."""
        try:
            while (kept := self.first_readable()) is None:
                await self._drop_failed()
                await self._start_another()
                tasks = {attempt.task for attempt in self.attempts}
                await asyncio.wait(tasks, timeout=CHECK_INTERVAL_S, return_when=asyncio.FIRST_COMPLETED)
        except BaseException:  # ended from outside, or failed: nobody reads from the one it had chosen
            await self._stop_all(None)
            raise
        await self._stop_all(kept)
        return kept

    async def _stop_all(self, winner: socket.socket | None) -> None:
        for attempt in self.attempts:
            await attempt.stop(winner)

    def first_readable(self) -> socket.socket | None:
        """The socket that has brought bytes, which is the one kept from then on; None: there is none yet."""
        if self.winner is None:
            self.winner = next((attempt.sock for attempt in self.attempts if attempt.has_received()), None)
        return self.winner

    async def _drop_failed(self) -> None:
        """Forget those that have ended; the error of the last one where none is left."""
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
