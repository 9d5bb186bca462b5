"""Accepts connections on a listening socket; failures of accept(2) are counted and retried.

An accepted socket is passed to `admit` without an await in between, so that a cancelled task loses no client.
Times are seconds.
"""

from __future__ import annotations

import asyncio
import math
import socket
import time
from collections.abc import Awaitable, Callable

from onyxwick import logs
from onyxwick.counters import Counters
from onyxwick.net import errors
from onyxwick.net.listening import ACCEPT_BACKLOG
from onyxwick.net.socket_state import wait_readable

log = logs.get()
ACCEPTS_PER_TURN = 32
"""The maximum number of connections accepted in one iteration of the event loop."""
ACCEPT_PAUSE_S = 0.05
"""The pause after an accept that failed because descriptors or memory were exhausted."""
FINAL_ACCEPT_LIMIT_S = 1.0
"""`accept_remaining` accepts waiting connections for at most this long, even if accept fails meanwhile."""
MAX_FINAL_ACCEPTS = 4 * ACCEPT_BACKLOG
"""The maximum number of accepts in `accept_remaining`, which must end although clients may go on
connecting."""


class AcceptLoop:
    """Accepts the connections of one listening socket.

    `admit` takes over an accepted socket; `wait_for_evictions` returns once few evicted connections are still
    open.
    """

    def __init__(
        self,
        admit: Callable[[socket.socket], None],
        wait_for_evictions: Callable[[], Awaitable[None]],
        counters: Counters,
    ) -> None:
        self.admit = admit
        self.wait_for_evictions = wait_for_evictions
        self.counters = counters
        self.failures = 0
        self.failing_since_s = 0.0  # since when (monotonic) accept fails and connections may wait, or 0

    async def run(self, sock: socket.socket) -> None:
        """Accept connections until cancelled."""
        loop = asyncio.get_running_loop()
        accepted = 0
        pause_s = 0.0
        while True:
            try:
                self.admit(sock.accept()[0])
            except BlockingIOError:
                self.failing_since_s = 0.0
                await wait_readable(loop, sock)
                continue
            except OSError as error:
                pause_s = self._on_failure(error)
            await self.wait_for_evictions()
            accepted += 1
            if pause_s or accepted % ACCEPTS_PER_TURN == 0:  # other tasks run between many accepts
                await asyncio.sleep(pause_s)
                pause_s = 0.0

    async def accept_remaining(self, sock: socket.socket, until_s: float = math.inf) -> None:
        """Accept the waiting connections, which closing the listening socket would reset.

        Returns once the backlog is empty; no other task runs between the last accept and the return. Errors
        are retried. Gives up at `until_s` (monotonic), after `FINAL_ACCEPT_LIMIT_S`, or after
        `MAX_FINAL_ACCEPTS`.
        """
        deadline_s = min(until_s, time.monotonic() + FINAL_ACCEPT_LIMIT_S)
        for _ in range(MAX_FINAL_ACCEPTS):
            pause_s = 0.0
            try:
                self.admit(sock.accept()[0])
            except BlockingIOError:
                return
            except OSError as error:
                pause_s = self._on_failure(error)
            await self.wait_for_evictions()
            if time.monotonic() > deadline_s:
                break
            if pause_s:
                await asyncio.sleep(pause_s)
        log.error("listening socket closed with connections waiting")

    def _on_failure(self, error: OSError) -> float:
        """Count and log a failed accept, and return the seconds to wait before the next one."""
        is_exhausted = errors.is_resource_exhausted(error)
        self.counters.add("error.accept" if is_exhausted else "client.aborted")
        log.warning("accept failed", error=str(error))
        self.failing_since_s = self.failing_since_s or time.monotonic()
        self.failures += 1
        must_pause = is_exhausted or self.failures % ACCEPTS_PER_TURN == 0
        return ACCEPT_PAUSE_S if must_pause else 0.0
