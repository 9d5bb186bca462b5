"""The operations endpoint of a director: commands from its construction on, a server once it is started."""

from __future__ import annotations

import asyncio
import math
import socket
import time
from collections.abc import Callable

from onyxwick import logs
from onyxwick.config.address import Address
from onyxwick.core import RequestEngine
from onyxwick.core.clock import steady_us
from onyxwick.core.phase import Readiness
from onyxwick.counters import Counters
from onyxwick.net import listening
from onyxwick.operations.command_executor import CommandExecutor
from onyxwick.operations.operator_commands import OperatorCommands
from onyxwick.operations.persisted_commands import PersistedCommands
from onyxwick.operations.server import OperationsServer

log = logs.get()
METRICS_INTERVAL_S = 0.5
UNWRITTEN_CHECK_INTERVAL_S = 0.05
MAX_LOGGED_COMMANDS = 16


class OperationsEndpoint:
    """The operations endpoint of one director. A predecessor's commands apply as soon as it is constructed.

    `readiness` may be called from the endpoint's thread; `on_drain_changed` is called in the director's loop.
    """

    def __init__(
        self,
        address: Address,
        engine: RequestEngine,
        readiness: Callable[[], Readiness],
        on_drain_changed: Callable[[OperatorCommands], None],
        persisted: PersistedCommands | None,
    ) -> None:
        self.address = address
        self.executor = CommandExecutor(
            engine, engine.endpoints, engine.counters, readiness, on_drain_changed, persisted
        )
        self.executor.restore()
        engine.feed.adjust_endpoints = self.executor.adjust_endpoints
        self.server: OperationsServer | None = None
        self._stopping = False

    def _is_stopped(self) -> bool:
        return self._stopping

    @property
    def commands(self) -> OperatorCommands:
        """Return the commands in effect."""
        return self.executor.commands

    @property
    def counters(self) -> Counters | None:
        """Return the counters of the endpoint's thread; None before the thread is started."""
        return None if self.server is None else self.server.counters

    def start(self) -> bool:
        """Listen and serve in a thread. Return False if the address cannot be bound at the moment."""
        listening_socket = listening.listen_now(self.address)
        if listening_socket is not None:
            self._serve(listening_socket)
        return listening_socket is not None

    async def start_when_free(self) -> None:
        """Start as soon as the address is free. The director serves clients meanwhile."""
        listening_socket = await listening.listen_when_free(self.address, self._is_stopped, math.inf)
        if listening_socket is not None:
            self._serve(listening_socket)

    def _serve(self, listening_socket: socket.socket) -> None:
        executor = self.executor
        executor.loop = asyncio.get_running_loop()
        self.server = OperationsServer(
            listening_socket,
            self.address,
            executor,
            executor.commands,
            executor.known_caches,
            executor.persisted,
            steady_us,
        )
        self.server.start()

    async def publish_metrics(self) -> None:
        """Take a metrics snapshot every `METRICS_INTERVAL_S` until cancelled."""
        while True:
            self.executor.publish_metrics()
            await asyncio.sleep(METRICS_INTERVAL_S)

    async def stop(self, write_until_s: float) -> None:
        """Stop the server once its commands are written, or at the monotonic time `write_until_s`.

        A successor needs these commands, so writing the file is retried for all the time that is left.
        """
        self._stopping = True
        server = self.server
        if server is None:
            return
        while server.unwritten_changes and time.monotonic() < write_until_s:
            await asyncio.sleep(UNWRITTEN_CHECK_INTERVAL_S)
        if server.unwritten_changes:
            commands = sorted(server.unwritten_changes)[:MAX_LOGGED_COMMANDS]
            log.error("operator commands were not written", commands=commands)
        server.stop()
