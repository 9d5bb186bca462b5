"""The life cycle of a director's process: creates its components and runs them from start to exit.

A director is controlled by the platform's configuration, an optional service file, and signals (SIGTERM and
SIGINT: graceful shutdown; SIGHUP: reload; SIGUSR1: print counters; SIGUSR2: trace). `core/phase.py` defines
the phases and their transitions, `core/shutdown.py` the schedule of a shutdown.
"""

from __future__ import annotations

import asyncio
import contextlib
import gc
import os
import signal
import socket
import time
from collections.abc import Sequence
from typing import TYPE_CHECKING

from onyxwick import logs
from onyxwick.config.director import BYTES_PER_MB, DirectorConfig
from onyxwick.configuration_reload import Configuration, ConfigurationReload
from onyxwick.core import RequestEngine
from onyxwick.core.clock import steady_us
from onyxwick.core.endpoints import EndpointTable
from onyxwick.core.memory_account import MemoryAccount
from onyxwick.core.phase import PHASE_TRANSITIONS, DirectorPhase, IllegalPhaseChangeError, Readiness
from onyxwick.core.shutdown import FINAL_FLUSH_S, ShutdownSchedule, ShutdownStage, drain_schedule
from onyxwick.core.supervision import TaskSupervisor
from onyxwick.core.termination import Termination
from onyxwick.counters import Counters
from onyxwick.net import listening
from onyxwick.net.cache_pool import CacheConnectionPool
from onyxwick.net.coordinator_feed import CoordinatorFeed
from onyxwick.net.front import FastCgiFront
from onyxwick.net.memory_monitor import MemoryMonitor
from onyxwick.routing import Router

if TYPE_CHECKING:
    from onyxwick.config.service import ServiceConfig
    from onyxwick.operations.endpoint import OperationsEndpoint
    from onyxwick.operations.operator_commands import OperatorCommands
    from onyxwick.service import HostedService

log = logs.get()
FEED_SEED = 0xFEED
"""Combined with the director's seed, so that the feed has a separate sequence of random numbers."""

GC_THRESHOLDS = (20_000, 20, 100)
"""Garbage collection thresholds. Requests create few reference cycles, so the young generation is collected
rarely."""
FULL_GC_INTERVAL_S = 10.0
"""Interval of full garbage collections: closed connections leave reference cycles, which must not accumulate
over a day."""


class Director:
    """The process of one director. Modules for a service file are loaded only if there is such a file."""

    def __init__(self, config: DirectorConfig, service_config: ServiceConfig | None = None) -> None:
        self.config = config
        self.service = _hosted_service(config, service_config)
        self.phase = DirectorPhase.STARTING
        self.has_inherited_socket = False
        """Whether the platform holds the listening socket, on which a successor may already accept."""
        self.counters = Counters()
        self.supervisor = TaskSupervisor(self.counters)
        deadlines_us = [request_class.deadline_us for request_class in config.settings.classes]
        self.termination = Termination(max(deadlines_us, default=0) / 1e6)
        self.endpoints = EndpointTable()
        self.memory = MemoryAccount(config.max_accounted_bytes, self.counters)
        self.memory_monitor = MemoryMonitor(self.memory, config.memory_mb * BYTES_PER_MB)
        self.cache_pool = CacheConnectionPool(
            self.endpoints,
            self.counters,
            config.settings.limits.connect_timeout_us,
            config.settings.report_names,
            max_connections=config.max_cache_connections,
            memory=self.memory,
        )
        self.engine = RequestEngine(
            config.settings,
            config.seed,
            self.cache_pool,
            self.endpoints,
            self.counters,
            max_open_requests=config.max_open_requests,
            make_router=Router if self.service is None else self.service.make_router,
            memory=self.memory,
        )
        self.coordinator = CoordinatorFeed(
            self.engine, self.counters, config.seed ^ FEED_SEED, config.settings.router_count
        )
        self.coordinator.set_address(config.coordinator)  # a reload during the start may change the address
        if self.service is not None:
            self.service.attach(self.engine)
            self.service.ramp_up(self.coordinator, self.cache_pool)
        self.front = self._make_front()
        self.operations = self._make_operations()
        work = self.service.work if self.service is not None else None
        self.configuration_reload = ConfigurationReload(self.counters, self._apply_reload, work)

    def _make_front(self) -> FastCgiFront:
        config = self.config
        front_options = () if self.service is None else self.service.front_options()
        return FastCgiFront(
            self.engine,
            self.counters,
            self.is_ready,
            config.max_clients,
            config.max_held_bytes,
            *front_options,
        )

    def _make_operations(self) -> OperationsEndpoint | None:
        """Return the operations endpoint, or None if the configuration contains no address for it."""
        if self.config.operations_address is None:
            return None
        from onyxwick.operations.command_executor import persisted_commands
        from onyxwick.operations.endpoint import OperationsEndpoint

        return OperationsEndpoint(
            self.config.operations_address,
            self.engine,
            self.readiness,
            self._on_drain_changed,
            persisted_commands(os.environ.get("TMPDIR"), self.config.name),
        )

    # ---- state ------------------------------------------------------------------------------------------

    def is_ready(self) -> bool:
        """Return whether the director accepts new clients.

        May be called from the operations endpoint's thread. A drain is effective from the moment its call is
        answered; the phase changes one iteration of the event loop later.
        """
        is_serving = self.phase in (DirectorPhase.SERVING, DirectorPhase.DRAINED)
        is_fresh = self.engine.freshness.is_ready(steady_us())
        return is_serving and is_fresh and self.endpoints.loaded and not self._is_drained()

    def readiness(self) -> Readiness:
        """Return the answer to a readiness call; may be called from the operations endpoint's thread."""
        if self.phase in (DirectorPhase.DRAINING, DirectorPhase.STOPPED):
            return Readiness.STOPPING
        return Readiness.READY if self.is_ready() else Readiness.NOT_READY

    def health(self) -> dict[str, object]:
        """Return the health document of the administration API."""
        listed = self.endpoints.listed
        ready_count = sum(self.endpoints.is_ready(member) for member in listed)
        return {
            "state": self.phase.value,
            "ready": self.is_ready(),
            "members": len(listed),
            "up": ready_count,
        }

    def _is_drained(self) -> bool:
        return self.operations is not None and self.operations.commands.is_drained

    def _enter(self, phase: DirectorPhase) -> None:
        if phase not in PHASE_TRANSITIONS[self.phase]:
            raise IllegalPhaseChangeError(self.phase, phase)
        self.phase = phase
        log.info(phase.value, name=self.config.name)

    # ---- phases -----------------------------------------------------------------------------------------

    async def run(
        self, inherited_socket: socket.socket | None = None, early_signals: Sequence[int] = ()
    ) -> None:
        """Run the director from STARTING to STOPPED.

        Returns when all requests are answered or the last shutdown stage is over. `inherited_socket` is the
        listening socket that the platform holds; if None, the program binds its own. `early_signals` are the
        reload signals that were received while the program was starting.
        """
        self.has_inherited_socket = inherited_socket is not None
        self._install_signal_handlers()
        if early_signals:
            self.reload()
        if self.termination.requested.is_set() and self.service is None:
            self._stop_before_serving()
            return
        sock = inherited_socket or await listening.listen_when_free(
            self.config.listen, self.termination.requested.is_set
        )
        if sock is None:
            if self.service is not None:
                await self._close_service(self.service)
            self._stop_before_serving()
            return
        with contextlib.nullcontext() if self.has_inherited_socket else sock:
            tasks = self._start_background_tasks()
            accept_task = self.supervisor.start("accept", lambda: self.front.accept(sock))
            self._begin_serving()
            await self.termination.requested.wait()
            assert self.termination.schedule is not None
            await self._drain(accept_task, sock, self.termination.schedule)
        await self._stop(tasks)

    def _stop_before_serving(self) -> None:
        """Stop at a request that came before any client could connect."""
        self._enter(DirectorPhase.DRAINING)
        self._enter(DirectorPhase.STOPPED)

    def _start_background_tasks(self) -> list[asyncio.Task[None]]:
        """Start all background tasks and return them; `_stop` cancels them."""
        tasks: list[asyncio.Task[None]] = []
        if self.service is not None:
            tasks += self.service.start(self.health)
        self.engine.freshness.on_started(self.engine.now())
        self.coordinator.load_configured(self.config.known_events)
        feed_coroutine = (
            self.coordinator.follow() if self.service is None else self.service.follow(self.coordinator)
        )
        start = self.supervisor.start
        tasks += [
            asyncio.get_running_loop().create_task(feed_coroutine),
            start("sweep.caches", self.cache_pool.sweep),
            start("sweep.front", self.front.sweep),
            start("turns", self.front.record_loop_ticks),
            start("collect", _collect_garbage),
            start("memory", self.memory_monitor.run),
        ]
        gc.set_threshold(*GC_THRESHOLDS)
        gc.collect()  # otherwise gc.freeze() would also keep the garbage left by imports
        gc.freeze()  # later collections need not examine the objects that exist from the start
        if self.operations is not None:
            if not self.operations.start():
                tasks.append(start("operations", self.operations.start_when_free))
            tasks.append(start("publish", self.operations.publish_metrics))
        return tasks

    def _begin_serving(self) -> None:
        if self.operations is None or not self.operations.commands.is_drained:
            self._enter(DirectorPhase.SERVING)
            return
        self._enter(DirectorPhase.DRAINED)
        self._begin_drain(self.operations.commands)

    def _on_drain_changed(self, commands: OperatorCommands) -> None:
        """Apply an operator's drain, which closes connections, or the end of a drain, which keeps them."""
        if self.phase not in (DirectorPhase.SERVING, DirectorPhase.DRAINED):
            return  # `_begin_serving` applies it after the start; a shutdown closes connections anyway
        phase = DirectorPhase.DRAINED if commands.is_drained else DirectorPhase.SERVING
        if phase is not self.phase:  # unchanged after a start, or after two drains in one loop iteration
            self._enter(phase)
        if commands.is_drained:
            self._begin_drain(commands)
        else:
            self.front.cancel_shutdown()

    def _begin_drain(self, commands: OperatorCommands) -> None:
        """Begin a drain whose schedule starts at the operator's call, even if it is handled late."""
        self.front.begin_shutdown(drain_schedule(commands.drain_requested_at_s or time.monotonic()))

    async def _drain(
        self, accept_task: asyncio.Task[None], sock: socket.socket, schedule: ShutdownSchedule
    ) -> None:
        """Serve requests that still arrive, then stop accepting connections and answer all admitted requests.

        If the platform holds the listening socket, the successor accepts new connections immediately, and
        this process accepts none.
        """
        self._enter(DirectorPhase.DRAINING)
        self.front.begin_shutdown(schedule)
        await asyncio.sleep(max(0.0, schedule.accept_until_s - time.monotonic()))
        accept_task.cancel()
        await asyncio.gather(accept_task, return_exceptions=True)
        if not self.has_inherited_socket:
            release_at_s = schedule.stage_start_s(ShutdownStage.RELEASE_REQUESTS)
            await self.front.accept_remaining(sock, release_at_s)
            sock.close()
        await self.front.finish_shutdown(schedule)

    async def _stop(self, tasks: Sequence[asyncio.Task[None]]) -> None:
        """Stop the components other than the front, which is already shut down, before SIGKILL arrives."""
        if self.operations is not None:
            await self.operations.stop(self.termination.kill_at_s - FINAL_FLUSH_S)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self.cache_pool.close()
        if self.service is not None:
            await self._close_service(self.service)
        self._enter(DirectorPhase.STOPPED)
        self.termination.check_exit(self.engine.invariants)
        self.print_counters()

    async def _close_service(self, service: HostedService) -> None:
        """Let the store finish its writes until the time of SIGKILL, but for at least `FINAL_FLUSH_S`."""
        try:
            async with asyncio.timeout(max(FINAL_FLUSH_S, self.termination.kill_at_s - time.monotonic())):
                await service.close()
        except TimeoutError:
            log.error("store not closed in time")

    # ---- signals ----------------------------------------------------------------------------------------

    def _install_signal_handlers(self) -> None:
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._request_stop)
        loop.add_signal_handler(signal.SIGINT, self._request_stop)
        loop.add_signal_handler(signal.SIGUSR1, self.print_counters)
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        if self.service is not None and self.service.trace is not None:
            # Installed before the director serves, because an unhandled SIGUSR2 terminates the process.
            loop.add_signal_handler(signal.SIGUSR2, self.service.trace.request)

    def _request_stop(self) -> None:
        """Begin the termination on SIGTERM or SIGINT, which may have been sent at any time during a stall."""
        now_s = time.monotonic()
        sent_at_s = self.engine.stalls.observe(now_s)
        self.termination.request(sent_at_s, now_s, self.has_inherited_socket)

    def reload(self) -> None:
        """Read the configuration again; an invalid configuration changes nothing.

        Only the coordinator's address and the plan of cells can change while the director runs; requests and
        attempts continue.
        """
        self.configuration_reload.request()

    def _apply_reload(self, configuration: Configuration) -> None:
        """Apply what may change. Raises ConfigError if the plan of cells cannot be used."""
        if self.service is not None:
            service_config = configuration.service
            self.service.reload(service_config.cell_plan if service_config else None)
        self.coordinator.set_address(configuration.director.coordinator)

    def print_counters(self) -> None:
        """Print all counters on standard output."""
        counters = self.counters
        if self.operations is not None and self.operations.counters is not None:
            counters = counters.merged(self.operations.counters)
        logs.print_lines(counters.text())


async def _collect_garbage() -> None:
    while True:
        await asyncio.sleep(FULL_GC_INTERVAL_S)
        gc.collect()


def _hosted_service(config: DirectorConfig, service_config: ServiceConfig | None) -> HostedService | None:
    if service_config is None:
        return None
    from onyxwick.service import HostedService

    return HostedService(config, service_config)
