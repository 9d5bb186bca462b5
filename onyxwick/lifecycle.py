"""The director from start to exit, as named states of one object."""

from __future__ import annotations

import asyncio
import gc
import logging
import signal
import socket
from enum import Enum
from typing import TYPE_CHECKING

from onyxwick.config import Config
from onyxwick.core import Core
from onyxwick.core.members import Members
from onyxwick.counters import Counters
from onyxwick.net import front
from onyxwick.net.caches import Caches
from onyxwick.net.coordinator import Coordinator

if TYPE_CHECKING:
    from onyxwick.dns.config import DnsConfig

log = logging.getLogger(__name__)
LINGER_S = 0.75  # after SIGTERM connections and requests still come for so long

GC_EVERY = 20_000  # new objects between collections


class State(Enum):
    STARTING = "starting"
    SERVING = "serving"
    DRAINING = "draining"
    STOPPED = "stopped"


class Director:
    def __init__(self, config: Config, names: DnsConfig | None = None) -> None:
        self.config, self.names = config, names
        self.state = State.STARTING
        self.counters, self.members = Counters(), Members()
        self.leaving = asyncio.Event()
        self.caches = Caches(
            self.members,
            self.counters,
            config.settings.limits.connect_timeout_us,
            config.settings.report_names,
            most_links=config.sockets // 2,
        )
        self.core = Core(config.settings, config.seed, self.caches, self.members, self.counters)
        self.coordinator = Coordinator(self.core, self.counters)
        self.front = front.Front(self.core, self.counters, self.is_ready)

    def is_ready(self) -> bool:
        return self.state is State.SERVING and self.members.loaded

    def _enter(self, state: State) -> None:
        self.state = state
        log.info("%s: %s", self.config.name, state.value)

    def _signals(self) -> None:
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self.leaving.set)
        loop.add_signal_handler(signal.SIGINT, self.leaving.set)
        loop.add_signal_handler(signal.SIGUSR1, self.print_counters)

    def print_counters(self) -> None:
        print(self.counters.text(), flush=True)

    async def run(self) -> None:
        """STARTING to STOPPED; returns when everything taken is answered."""
        self._signals()
        with front.listen(self.config.listen) as sock:
            loop = asyncio.get_running_loop()
            self.coordinator.known(self.config.known)
            side = [
                loop.create_task(self.coordinator.follow(self.config.coordinator)),
                loop.create_task(self.caches.sweep()),
                loop.create_task(self.front.sweep()),
            ]
            if self.names is not None:
                # Loaded only where it is wanted: its library takes memory.
                from onyxwick.dns.server import DnsFront

                side.append(loop.create_task(DnsFront(self.core, self.counters, self.names).run()))
            gc.set_threshold(GC_EVERY, 20, 100)  # requests leave few cycles behind
            gc.freeze()  # what lives from the start need not be looked through again
            accepting = loop.create_task(self.front.accept(sock))
            self._enter(State.SERVING)
            await self.leaving.wait()
            await self._drain(accepting, sock)
        for task in side:
            task.cancel()
        await asyncio.gather(*side, return_exceptions=True)
        await self.caches.close()
        self._enter(State.STOPPED)
        self.print_counters()

    async def _drain(self, accepting: asyncio.Task[None], sock: socket.socket) -> None:
        """Serve what still comes, then close the door and answer all that was taken."""
        self._enter(State.DRAINING)
        await asyncio.sleep(LINGER_S)
        accepting.cancel()
        await asyncio.gather(accepting, return_exceptions=True)
        sock.close()
        await self.front.finish()
