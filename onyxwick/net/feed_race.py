"""Establishes a connection to the feed by racing several: a slow connection continues while others are tried.

A connection that is never established, or on which nothing is ever sent, costs only the wait until the next
connection is started. A slow connection is not abandoned when the next one is started. While none is
established, a further one, the probe, is replaced again and again: it finds a coordinator that has become
reachable long before the system repeats the slow ones' requests. Times are monotonic seconds.

The alternative is to try one connection after the other with increasing time limits. That would abandon
each slow connection once, and would wait longer for a dead connection each time.
"""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import Callable

from onyxwick.config.address import Address
from onyxwick.net.socket_state import in_flight_bytes, unread_bytes, wait_readable

MAX_CONCURRENT_CONNECTIONS = 4
"""At most this many connections are raced beside the probe: the oldest is stopped before the number is
exceeded."""
CONNECT_LIMIT_S = 0.8
"""If the newest connection is not established within this time, another one is started in parallel."""
SILENCE_LIMIT_S = 2.2
"""Limit for silence on the connection in use. The feed sends a line each second."""
FIRST_LINE_LIMIT_S = 1.2
"""If an established connection brings nothing within this time, another one is started in parallel. The feed
answers a new connection at once, and sends a line each second."""
PROBE_INTERVAL_S = 0.2
"""The probe is replaced this often: an event must be in force 0.5 s after the coordinator was notified of it,
and the system repeats a lost connection request only after 1 s."""
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

    def is_acknowledged(self) -> bool:
        """Return whether the peer has acknowledged the greeting.

        A peer whose queue is full drops the end of the handshake: the connection is established on this side
        alone, and the system repeats the greeting ever more rarely.
        """
        return self.is_established and self.sock is not None and in_flight_bytes(self.sock) == 0

    def is_slow(self, now_s: float) -> bool:
        """Return whether another connection should be started in parallel."""
        return now_s - self.started_s > (FIRST_LINE_LIMIT_S if self.is_established else CONNECT_LIMIT_S)

    def has_received(self) -> bool:
        """Return whether bytes have been received, even if they are still unread."""
        return self.received or (
            self.is_established and self.sock is not None and unread_bytes(self.sock) > 0
        )


class FeedRace:
    """Races connections to one address; the first connection that receives bytes wins.

    `greeting` returns the bytes that are written on each connection once it is established;
    `on_acknowledged` is called once a peer has acknowledged them.
    """

    def __init__(
        self,
        address: Address,
        greeting: Callable[[], bytes],
        on_acknowledged: Callable[[], None] = lambda: None,
    ) -> None:
        self.address = address
        self.greeting = greeting
        self.on_acknowledged = on_acknowledged
        self.attempts: list[PendingConnection] = []  # oldest first
        self.newest: PendingConnection | None = None
        self.probe: PendingConnection | None = None
        self.winner: socket.socket | None = None

    async def run(self) -> socket.socket:
        """Return the winner's socket. Raises OSError if the last connection failed and none is pending."""
        try:
            while (winner := self.first_readable()) is None:
                await self._drop_failed()
                await self._start_another()
                await self._renew_probe()
                if any(attempt.is_acknowledged() for attempt in self._all_attempts()):
                    self.on_acknowledged()
                tasks = {attempt.task for attempt in self._all_attempts()}
                await asyncio.wait(tasks, timeout=CHECK_INTERVAL_S, return_when=asyncio.FIRST_COMPLETED)
        except BaseException:
            # The race was cancelled or failed. The caller gets no socket, so even a winner's must be closed.
            await self._stop_all(None)
            raise
        await self._stop_all(winner)
        return winner

    def _all_attempts(self) -> list[PendingConnection]:
        return self.attempts if self.probe is None else [*self.attempts, self.probe]

    async def _stop_all(self, winner: socket.socket | None) -> None:
        for attempt in self._all_attempts():
            await attempt.stop(winner)

    def first_readable(self) -> socket.socket | None:
        """Return the winner's socket: the first found to have received bytes. None if there is none yet."""
        if self.winner is None:
            received = (attempt.sock for attempt in self._all_attempts() if attempt.has_received())
            self.winner = next(received, None)
        return self.winner

    async def _drop_failed(self) -> None:
        """Remove failed connections.

        Raises the error of the last failed one if no connection remains, and that of a refused probe if none
        is established: the coordinator can be reached and is not running.
        """
        for attempt in [attempt for attempt in self.attempts if attempt.task.done()]:
            self.attempts.remove(attempt)
            await attempt.stop(None)
            if not self.attempts:
                attempt.task.result()
        probe = self.probe
        if probe is not None and probe.task.done():
            self.probe = None
            await probe.stop(None)
            is_refused = isinstance(probe.task.exception(), ConnectionRefusedError)
            if is_refused and not any(attempt.is_established for attempt in self.attempts):
                probe.task.result()

    async def _start_another(self) -> None:
        if self.newest is not None and not self.newest.is_slow(time.monotonic()):
            return
        await self._add(self._connect())

    def _connect(self) -> PendingConnection:
        return PendingConnection(self.address, self.greeting)

    async def _add(self, attempt: PendingConnection) -> None:
        if len(self.attempts) >= MAX_CONCURRENT_CONNECTIONS:
            await self.attempts.pop(0).stop(None)
        self.newest = attempt
        self.attempts.append(attempt)

    async def _renew_probe(self) -> None:
        """Keep an acknowledged probe as a connection of its own, and replace one that is not acknowledged."""
        probe = self.probe
        if probe is not None and probe.is_acknowledged():
            self.probe = None
            await self._add(probe)
            return
        if any(attempt.is_acknowledged() for attempt in self.attempts):
            return
        latest = probe or self.newest
        if latest is None or time.monotonic() - latest.started_s < PROBE_INTERVAL_S:
            return
        if probe is not None:
            await probe.stop(None)
        self.probe = self._connect()
