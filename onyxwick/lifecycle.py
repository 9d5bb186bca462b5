"""The director from start to exit, as named states of one object."""

from __future__ import annotations

import asyncio
import contextlib
import gc
import os
import signal
import socket
import time
from collections.abc import Callable, Coroutine, Sequence
from pathlib import Path
from typing import TYPE_CHECKING

from onyxwick import logs
from onyxwick.config import ConfigError
from onyxwick.config import director as relay
from onyxwick.config.address import format_address
from onyxwick.config.director import DirectorConfig
from onyxwick.config.errors import ConfigUnreadableError
from onyxwick.core import RequestEngine
from onyxwick.core.clock import steady_us
from onyxwick.core.endpoints import EndpointTable
from onyxwick.core.phase import PHASE_CHANGES, DirectorPhase, IllegalPhaseChangeError
from onyxwick.core.shutdown import (
    LAST_WORDS_S,
    ShutdownSchedule,
    ShutdownStage,
    drain_schedule,
    kill_after_s,
    termination_schedule,
)
from onyxwick.counters import Counters
from onyxwick.net import listening
from onyxwick.net.cache_pool import CacheConnectionPool
from onyxwick.net.coordinator_feed import CoordinatorFeed
from onyxwick.net.front import FastCgiFront
from onyxwick.routing import Router

if TYPE_CHECKING:
    from onyxwick.config.service import ServiceConfig
    from onyxwick.operations.command_executor import CommandExecutor
    from onyxwick.operations.operator_commands import OperatorCommands
    from onyxwick.operations.server import OperationsServer
    from onyxwick.service import HostedService

log = logs.get()
SERVICE_FILE = Path(__file__).parents[1] / "deploy" / "service.hcl"
FEED_DRAW = 0xFEED  # mixed into the seed: a draw of its own

GC_EVERY = 20_000  # new objects between collections of the young
GC_ALL_S = 10.0  # between full collections: ended connections leave cycles, which must not add up over a day


RELOAD_RETRY_S, RELOAD_TRIES = 0.2, 50  # a file that cannot be read for a moment is read again
AGAIN_S = 0.1  # before a task of the whole director goes on after an error in it
UNWRITTEN_LOOK_S = 0.05  # at the end, between two looks at commands that the folder does not take yet
FIGURES_S = 0.5  # between two takings of the figures that the operators' door shows


class Director:
    def __init__(self, config: DirectorConfig, told: ServiceConfig | None = None) -> None:
        self.config, self.service = config, _service(config, told)
        self.phase = DirectorPhase.STARTING
        self.counters, self.members = Counters(), EndpointTable()
        self.leaving = asyncio.Event()
        self.caches = CacheConnectionPool(
            self.members,
            self.counters,
            config.settings.limits.connect_timeout_us,
            config.settings.report_names,
            max_connections=config.max_cache_connections,
        )
        service = self.service
        self.core = RequestEngine(
            config.settings,
            config.seed,
            self.caches,
            self.members,
            self.counters,
            most_open=config.max_open_requests,
            decide=Router if service is None else service.decide,
        )
        routers = config.settings.router_count
        self.coordinator = CoordinatorFeed(self.core, self.counters, config.seed ^ FEED_DRAW, routers)
        self.coordinator.set_address(config.coordinator)  # a reload while starting moves it on
        if service is not None:
            service.attach(self.core, self.members, self.counters)
            service.pace(self.coordinator, self.caches)
        self.front = FastCgiFront(
            self.core,
            self.counters,
            self.is_ready,
            config.max_clients,
            config.max_held_bytes,
            *(() if service is None else service.places()),
        )
        self.bridge = self._bridge()

    def _bridge(self) -> CommandExecutor | None:
        """The director's side of the operators' door, where the configuration gives one."""
        if self.config.operations_address is None:
            return None
        from onyxwick.operations.command_executor import CommandExecutor, persisted_commands

        bridge = CommandExecutor(
            self.core,
            self.members,
            self.counters,
            self.ready_word,
            self._drained,
            persisted_commands(os.environ.get("TMPDIR"), self.config.name),
        )
        bridge.recall()
        self.core.adjust_list = bridge.shown
        return bridge

    def is_ready(self) -> bool:
        """Whether new clients are welcome; may be asked from the door's thread."""
        drained = self.bridge is not None and self.bridge.orders.drained
        # The orders bind from the door's answer on; the phase follows them a turn of the loop later.
        serving = self.phase in (DirectorPhase.SERVING, DirectorPhase.DRAINED)
        return serving and self.members.loaded and not drained

    def ready_word(self) -> str:
        if self.phase in (DirectorPhase.DRAINING, DirectorPhase.STOPPED):
            return "END"
        return "YES" if self.is_ready() else "NO"

    def _enter(self, phase: DirectorPhase) -> None:
        if phase not in PHASE_CHANGES[self.phase]:
            raise IllegalPhaseChangeError(f"from {self.phase.value} to {phase.value}")
        self.phase = phase
        log.info(phase.value, name=self.config.name)

    def _drained(self, orders: OperatorCommands) -> None:
        """The operators' drain, or its end: connections end by its schedule, or stay. The drain's time runs
        from its call, however late the loop comes round to it."""
        if self.phase not in (DirectorPhase.SERVING, DirectorPhase.DRAINED):
            return  # starting, the first phase entered takes it; ending, connections close anyway
        phase = DirectorPhase.DRAINED if orders.drained else DirectorPhase.SERVING
        if phase is not self.phase:  # not so where the start, or a turn with two drains in it, entered it
            self._enter(phase)
        if orders.drained:
            self.front.begin_shutdown(drain_schedule(orders.drain_called_at or time.monotonic()))
        else:
            self.front.cancel_shutdown()

    def _end(self) -> None:
        """SIGTERM. It may have come at any time in a stop of the process or a long turn of the loop."""
        if self.ending is None:
            now, longest_s = time.monotonic(), self._longest_s()
            self.kill_at = now + kill_after_s(longest_s)
            sent_at = self.core.stalls.turn(now)
            self.ending = termination_schedule(sent_at, now, longest_s, self.handed)
            self.leaving.set()

    def _longest_s(self) -> float:
        return max((kind.deadline_us for kind in self.config.settings.classes), default=0) / 1e6

    def _signals(self) -> None:
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._end)
        loop.add_signal_handler(signal.SIGINT, self._end)
        loop.add_signal_handler(signal.SIGUSR1, self.print_counters)
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        if self.service is not None and self.service.told.trace is not None:
            # Before it serves: without a handler the signal would end the program.
            loop.add_signal_handler(signal.SIGUSR2, self.service.want_trace)

    def reload(self, tries: int = RELOAD_TRIES) -> None:
        """Read the configuration again, whole; one that cannot be used changes nothing. One whose file cannot
        be read for a moment is read a moment later.

        Only the coordinator and the plan of cells can change under way. Requests and attempts go on.
        """
        if self.reloading is not None:
            self.reloading.cancel()
        try:
            told, service = relay.load(), read_service() if self.service else None
            if self.service is not None:
                self.service.reload(service.cell_plan if service else None)
        except ConfigUnreadableError as error:
            self.counters.add("reload.unreadable")
            log.warning("configuration not read yet", error=str(error), tries_left=tries)
            if tries:
                loop = asyncio.get_running_loop()
                self.reloading = loop.call_later(RELOAD_RETRY_S, self.reload, tries - 1)
            return
        except ConfigError as error:
            self.counters.add("reload.bad")
            log.error("configuration kept as it was", error=str(error))
            return
        self.counters.add("reload.read")
        log.info("configuration read again", coordinator=format_address(told.coordinator))
        self.coordinator.set_address(told.coordinator)

    def print_counters(self) -> None:
        door = self.door_counters
        logs.print_lines(self.counters.text() if door is None else self.counters.merged(door).text())

    async def run(self, handed: socket.socket | None = None) -> None:
        """STARTING to STOPPED; returns when everything taken is answered.

        `handed`: the listening socket that the platform holds; else the program binds `listen` itself.
        """
        self.handed = handed is not None
        self._signals()
        if self.early:
            self.reload()
        if self.leaving.is_set() and self.service is None:  # told to end before a client could come
            self._enter(DirectorPhase.DRAINING)
            return self._enter(DirectorPhase.STOPPED)
        opened: contextlib.AbstractContextManager[socket.socket] = (
            listening.listen(self.config.listen) if handed is None else contextlib.nullcontext(handed)
        )
        with opened as sock:
            loop, side = asyncio.get_running_loop(), list[asyncio.Task[None]]()
            if self.service is not None:
                side += self.service.start(self.health)
            self.coordinator.load_configured(self.config.known_events)
            service, coordinator = self.service, self.coordinator
            side += [
                loop.create_task(coordinator.follow() if service is None else service.follow(coordinator)),
                self._keep("sweep.caches", self.caches.sweep),
                self._keep("sweep.front", self.front.sweep),
                self._keep("turns", self.front.record_loop_ticks),
                self._keep("collect", self._collect),
            ]
            gc.set_threshold(GC_EVERY, 20, 100)  # requests leave few cycles behind
            gc.collect()  # else what imports have left would be kept for good
            gc.freeze()  # what lives from the start need not be looked through again
            door = self._open_door(loop, side)
            accepting = self._keep("accept", lambda: self.front.accept(sock))
            drained = self.bridge is not None and self.bridge.orders.drained
            self._enter(DirectorPhase.DRAINED if drained else DirectorPhase.SERVING)
            if self.bridge is not None and drained:
                self.front.begin_shutdown(
                    drain_schedule(self.bridge.orders.drain_called_at or time.monotonic())
                )
            await self.leaving.wait()
            assert self.ending is not None
            await self._drain(accepting, sock, self.ending)
        if door is not None:
            await self._until_written(door)
            door.stop()
        for task in side:
            task.cancel()
        await asyncio.gather(*side, return_exceptions=True)
        await self.caches.close()
        if self.service is not None:
            await self._close_service(self.service)
        self._enter(DirectorPhase.STOPPED)
        self._check_end()
        self.print_counters()

    def _check_end(self) -> None:
        if self.ending is not None:
            allowed_s = kill_after_s(self._longest_s())
            after_s = time.monotonic() - self.kill_at + allowed_s
            self.core.invariants.process_ended(int(after_s * 1e6), int(allowed_s * 1e6))

    async def _close_service(self, service: HostedService) -> None:
        """Let the store end what it is at, for no longer than the platform lets the process run."""
        try:
            async with asyncio.timeout(max(LAST_WORDS_S, self.kill_at - time.monotonic())):
                await service.close()
        except TimeoutError:
            log.error("the store was not closed in time")

    async def _until_written(self, door: OperationsServer) -> None:
        """Give a folder that takes no write all the time that is left before SIGKILL: a successor is to know
        what was ordered."""
        end = self.kill_at - LAST_WORDS_S
        while door.unwritten and time.monotonic() < end:
            await asyncio.sleep(UNWRITTEN_LOOK_S)
        if door.unwritten:
            log.error("the operators' commands were never written", commands=sorted(door.unwritten)[:16])

    def _open_door(
        self, loop: asyncio.AbstractEventLoop, side: list[asyncio.Task[None]]
    ) -> OperationsServer | None:
        """The operators' door in its own thread; Unusable where its address cannot be listened on."""
        bridge, address = self.bridge, self.config.operations_address
        if bridge is None or address is None:
            return None
        from onyxwick.operations.server import OperationsServer

        try:
            bound = listening.listen(address)
        except OSError as error:
            raise StartupError(
                f"the operators' door cannot listen on {format_address(address)}: {error.strerror}"
            ) from None
        bridge.loop = loop
        door = OperationsServer(
            bound, address, bridge, bridge.orders, bridge.known, bridge.persisted, steady_us
        )
        door.start()
        side.append(self._keep("publish", lambda: self._publish(bridge)))
        self.door_counters = door.counters
        return door

    door_counters: Counters | None = None

    def _keep(self, name: str, work: Callable[[], Coroutine[None, None, None]]) -> asyncio.Task[None]:
        """A task of the whole director: an error in it is told, and it goes on."""

        async def on() -> None:
            while True:
                try:
                    return await work()
                except Exception:
                    self.counters.add(f"error.{name}")
                    log.exception("error in a task of the director", task=name)
                    await asyncio.sleep(AGAIN_S)

        return asyncio.get_running_loop().create_task(on())

    async def _publish(self, bridge: CommandExecutor) -> None:
        while True:
            bridge.publish()
            await asyncio.sleep(FIGURES_S)

    async def _collect(self) -> None:
        while True:
            await asyncio.sleep(GC_ALL_S)
            gc.collect()

    def health(self) -> dict[str, object]:
        listed = self.members.listed
        ready = sum(self.members.ready(member) for member in listed)
        return {"state": self.phase.value, "ready": self.is_ready(), "members": len(listed), "up": ready}

    reloading: asyncio.TimerHandle | None = None  # the next try of a reload that could not read its file
    early: Sequence[int] = ()  # signals to reload that came while the program started
    ending: ShutdownSchedule | None = None  # since SIGTERM
    kill_at = 0.0  # monotonic seconds at which SIGKILL may come, from when SIGTERM was heard
    handed = False  # the listening socket is the platform's: a successor accepts on it already

    async def _drain(
        self, accepting: asyncio.Task[None], sock: socket.socket, schedule: ShutdownSchedule
    ) -> None:
        """Serve what still comes, then close the door and answer all that was taken.

        On a socket that the platform holds the successor takes new connections at once: none are taken here.
        """
        self._enter(DirectorPhase.DRAINING)
        self.front.begin_shutdown(schedule)
        await asyncio.sleep(max(0.0, schedule.accept_until - time.monotonic()))
        accepting.cancel()
        await asyncio.gather(accepting, return_exceptions=True)
        if not self.handed:
            await self.front.accept_remaining(sock, schedule.begins_at(ShutdownStage.GIVES_BACK))
            sock.close()
        await self.front.finish_shutdown(schedule)


def _service(config: DirectorConfig, told: ServiceConfig | None) -> HostedService | None:
    """What the service file asks for; loaded only where there is one."""
    if told is None:
        return None
    from onyxwick.service import HostedService

    return HostedService(config, told)


def read_service() -> ServiceConfig | None:
    """The hosted service, if a file of ours asks for it. ONYXWICK_SERVICE names another file."""
    path = Path(os.environ.get("ONYXWICK_SERVICE") or SERVICE_FILE)
    if not path.exists():
        return None
    from onyxwick.config.service import load

    return load(path)


class StartupError(Exception):
    """What the program starts from cannot be used; the text says why."""
