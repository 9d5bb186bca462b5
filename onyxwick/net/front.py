"""The FastCGI front: accepts the web servers' connections, evicts and expires them, and shuts them down.

Each connection is served by a `FrontConnection`; the front owns the state that the connections share. Times
are monotonic seconds unless a name ends in `_us`.
"""

from __future__ import annotations

import asyncio
import itertools
import math
import socket
import time
from collections.abc import Callable
from functools import partial
from typing import TYPE_CHECKING

from onyxwick import logs
from onyxwick.config.director import CLIENTS_PER_HALF_CLOSED, MIN_HALF_CLOSED
from onyxwick.core import RequestEngine
from onyxwick.core.memory_account import HeldKind, Releasable
from onyxwick.core.reasons import ConnectionCloseReason
from onyxwick.core.shutdown import DRAIN_LIMIT_S, FINAL_FLUSH_S, ShutdownKind, ShutdownSchedule, ShutdownStage
from onyxwick.core.stall_detector import STALL_S
from onyxwick.counters import Counters
from onyxwick.net import connection_shutdown
from onyxwick.net.accept_loop import AcceptLoop
from onyxwick.net.connection_release import releasable
from onyxwick.net.connection_slots import eviction_rank
from onyxwick.net.delivery import CLIENT_STALLED_S
from onyxwick.net.fastcgi_calls import OwnerFields
from onyxwick.net.front_connection import FrontConnection
from onyxwick.net.lingering import LINGER_READ_INTERVAL_S
from onyxwick.net.socket_state import seconds_since_sent

if TYPE_CHECKING:
    from onyxwick.cells.reservation import ConnectionReservation

log = logs.get()
MAX_OVERLOAD_RETRY_US = 500_000
"""The retry delay of a call rejected for overload is at most this: a client that reads nothing is
disconnected within seconds."""
CLOSING_RETRY_US = 100_000
"""The retry delay for a new call on a connection that is about to close."""
SWEEP_INTERVAL_S = 0.25
SHUTDOWN_TICK_S = 0.02
"""The interval between checks of all connections during a shutdown."""
DRAINED_TICK_S = 0.1
"""The interval between checks once a drain is complete; new connections are then closed as they arrive."""
STAGE_SETTLE_S = 0.3
"""How long it may take until a shutdown stage has been carried out on each connection."""
MAX_HELD_LOG_LINES = 10
"""The maximum number of open connections that are logged individually at a shutdown stage."""
MAX_PENDING_CLOSES = 8
"""Accepting waits while so many evicted connections are open; a close takes some event loop iterations."""
ACCEPT_LATENCY_S = 0.02
"""A connection that is accepted later than this after it was established has waited for the accept."""
TICK_INTERVAL_S = 0.6 * STALL_S


class FastCgiFront:
    """Accepts clients and tracks their connections."""

    def __init__(
        self,
        core: RequestEngine,
        counters: Counters,
        is_ready: Callable[[], bool],
        max_clients: int,
        max_held_bytes: int,
        reservation: ConnectionReservation | None = None,
        tenant_field: str = "",
        site_field: str = "",
    ) -> None:
        limits = core.settings.limits
        self.core = core
        self.counters = counters
        self.is_ready = is_ready
        self.max_clients = max_clients
        self.max_held_bytes = max_held_bytes
        self.reservation = reservation
        self.owner_fields = OwnerFields(tenant_field, site_field)
        self.overload_retry_us = min(limits.max_retry_after_us, MAX_OVERLOAD_RETRY_US)
        self.closing_retry_us = min(limits.max_retry_after_us, CLOSING_RETRY_US)
        if not limits.retry_after:
            self.overload_retry_us = 0
            self.closing_retry_us = 0
        self.classes = {each.name: each for each in core.settings.classes}
        self.connections: dict[FrontConnection, asyncio.Task[None]] = {}  # oldest first
        self.half_closed: set[FrontConnection] = set()  # end of stream written, the client's is awaited
        self.evicted: set[FrontConnection] = set()  # no longer in `connections`, sockets not yet closed
        self.next_connection_number: Callable[[], int] = partial(next, itertools.count(1))
        self.memory = core.memory
        self.budget = self.memory.held[HeldKind.CLIENT_OUTPUT]
        self.memory.sources.append(self._releasable_memory)
        self.shutdown: ShutdownSchedule | None = None  # of the drain or termination in progress
        self.stage = ShutdownStage.SERVING  # the stage that was last carried out
        self._fails_open_calls = False  # whether the step last carried out fails what may not be rejected
        self._stage_since_s = 0.0
        self._held_checked = False
        self._accept_loop = AcceptLoop(self._admit, self._wait_for_evictions, counters)

    # ---- shutdown ----------------------------------------------------------------------------------------

    def begin_shutdown(self, schedule: ShutdownSchedule) -> None:
        """Start to close connections by a schedule.

        A new drain replaces the schedule of an earlier one. A termination during a drain uses the earlier
        deadline of both schedules for each stage, and its own for the exit (`finish_shutdown`).
        """
        if self.shutdown is not None and schedule.kind is not ShutdownKind.DRAIN:
            schedule = schedule.with_earliest_starts(self.shutdown)
        self.shutdown = schedule
        self.stage = ShutdownStage.SERVING
        self._fails_open_calls = False
        self._held_checked = False
        self.advance(time.monotonic())

    def cancel_shutdown(self) -> None:
        """Cancel the shutdown and serve again; connections that are not yet closed stay open."""
        self.shutdown = None
        self.stage = ShutdownStage.SERVING
        for connection in self.connections:
            connection.ignores_new_calls = False
        log.info("shutdown cancelled", clients=len(self.connections), owed=len(self.core.lifecycles))

    def stage_at(self, now_s: float) -> ShutdownStage:
        """Return the stage that the schedule sets for a time, whether or not it has been carried out."""
        return ShutdownStage.SERVING if self.shutdown is None else self.shutdown.stage(now_s)

    def advance(self, now_s: float) -> None:
        """Carry out the current shutdown stage on each connection.

        Open calls get final answers only from the second call of this method in a stage on, and those that
        may not be rejected only from the second call after `fail_at_s` on. After a stall of the process, the
        event loop can thus first read the caches' answers that have already arrived.
        """
        schedule = self.shutdown
        if schedule is None:
            return
        stage = schedule.stage(now_s)
        is_new_stage = stage is not self.stage
        if is_new_stage:
            self._enter_stage(stage, schedule, now_s)
        must_answer_all = self._fails_open_calls
        self._fails_open_calls = now_s >= schedule.fail_at_s
        for connection in list(self.connections):
            connection_shutdown.advance(connection, stage, now_s, not is_new_stage, must_answer_all)
        if schedule.kind is ShutdownKind.DRAIN and now_s - schedule.started_at_s >= DRAIN_LIMIT_S:
            self._check_held_connections(now_s)

    def _enter_stage(self, stage: ShutdownStage, schedule: ShutdownSchedule, now_s: float) -> None:
        self.stage = stage
        self._stage_since_s = now_s
        name = stage.metric_key
        connections = list(self.connections)
        self.counters.add(f"ending.{schedule.kind.value}.{name}")
        log.info(
            "shutdown stage",
            kind=schedule.kind.value,
            stage=name,
            after_s=round(now_s - schedule.started_at_s, 3),
            clients=len(connections),
            owed=len(self.core.lifecycles),
            half=sum(each.parser.has_partial_call for each in connections),
            unwritten=sum(each.writes.pending_bytes > 0 for each in connections),
        )
        if stage >= ShutdownStage.CLOSE_PARTIAL:
            held = [each for each in connections if not each.half_closed_at_s]
            for connection in held[:MAX_HELD_LOG_LINES]:
                connection_shutdown.log_held(connection, now_s, name)

    def _check_held_connections(self, now_s: float) -> None:
        """Check the invariant on connections that are still open, once in each drain.

        The check waits `STAGE_SETTLE_S` after the start of a stage, as after a stall of the process the
        connections must first be closed, and skips connections opened less than `STAGE_SETTLE_S` ago.
        """
        if self._held_checked or now_s - self._stage_since_s < STAGE_SETTLE_S:
            return
        self._held_checked = True
        now_us = self.core.now()
        for connection in self.connections:
            if connection.half_closed_at_s or now_s - connection.opened_at_s <= STAGE_SETTLE_S:
                continue
            open_calls = connection.open_calls.values()
            arrived_us = [each.request.arrived_us for each in open_calls if each is not None]
            youngest_us = now_us - max(arrived_us) if arrived_us else None
            self.core.invariants.connection_open_after_drain(connection.number, youngest_us)

    async def finish_shutdown(self, schedule: ShutdownSchedule) -> None:
        """Carry out a termination whose schedule is `schedule`.

        Returns once all connections are closed and no request is open, at the latest `FINAL_FLUSH_S` after
        the termination's own last stage was observed. The last stage of an earlier drain may come before the
        time at which open calls are failed, so it does not end the wait for them.
        """
        if self.shutdown is None:
            self.begin_shutdown(schedule)
        last_stage_s = schedule.stage_start_s(ShutdownStage.CLOSE_ALL)
        closed_at_s = 0.0  # when the last stage was first observed, late after a stall
        while self.connections or not self.core.table.idle.is_set():
            now_s = time.monotonic()
            self.advance(now_s)
            if now_s >= last_stage_s:
                closed_at_s = closed_at_s or now_s
                if now_s >= closed_at_s + FINAL_FLUSH_S:
                    break
            await asyncio.sleep(LINGER_READ_INTERVAL_S)
        await self._close_all()

    async def _close_all(self) -> None:
        tasks = list(self.connections.values())
        owed = len(self.core.lifecycles)
        for connection, task in list(self.connections.items()):
            connection.close_reason = connection.close_reason or ConnectionCloseReason.CLOSING
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        log.info("front closed", cut=len(tasks), owed=owed, crossed=self.counters.counts["client.crossed"])

    # ---- reports of connections --------------------------------------------------------------------------

    def report_bad_input(self, text: str) -> None:
        """Count and log invalid input of a client."""
        self.counters.add("bad.client")
        log.warning("invalid client input", detail=text)

    def on_half_closed(self, connection: FrontConnection) -> None:
        """Record that a connection's end of stream is written; it closes once the client closes its side."""
        self.half_closed.add(connection)

    def on_last_answer_written(self, connection: FrontConnection) -> None:
        """Close a connection whose last open call is answered, if the stage of the shutdown allows it."""
        now_s = time.monotonic()
        connection_shutdown.advance(connection, self.stage_at(now_s), now_s, False, False)

    # ---- expiry ------------------------------------------------------------------------------------------

    async def sweep(self) -> None:
        """Until cancelled, advance the shutdown and close connections that stall or exceed a deadline."""
        swept_at_s = 0.0
        while True:
            await asyncio.sleep(self._tick_s())
            now_s = time.monotonic()
            self.advance(now_s)
            if now_s - swept_at_s >= SWEEP_INTERVAL_S:
                swept_at_s = now_s
                self._close_expired(now_s)

    def _tick_s(self) -> float:
        if self.shutdown is None:
            return SWEEP_INTERVAL_S
        return DRAINED_TICK_S if self._held_checked else SHUTDOWN_TICK_S

    def _close_expired(self, now_s: float) -> None:
        for connection, task in list(self.connections.items()):
            if connection.half_closed_at_s:
                if not connection.is_lingering(now_s):
                    task.cancel()  # end of stream written, but the client does not close its side
            elif connection.writes.is_stalled(now_s, CLIENT_STALLED_S):
                self.counters.add("client.stalled")
                connection.close_reason = connection.close_reason or ConnectionCloseReason.WRITE_STALLED
                task.cancel()
            elif connection.ignores_new_calls:
                connection_shutdown.close_when_written(connection, now_s, ConnectionCloseReason.CLOSING)
            elif connection.exceeds_deadline(now_s):
                self.counters.add("client.overstayed")
                self._evict(connection, now_s, ConnectionCloseReason.IDLE)

    async def record_loop_ticks(self) -> None:
        """Until cancelled, report event loop iterations to the stall detector, also while idle."""
        while True:
            self.core.stalls.tick(time.monotonic())
            await asyncio.sleep(TICK_INTERVAL_S)

    # ---- admission ---------------------------------------------------------------------------------------

    async def accept(self, sock: socket.socket) -> None:
        """Accept clients on a listening socket until cancelled."""
        await self._accept_loop.run(sock)

    async def accept_remaining(self, sock: socket.socket, until_s: float = math.inf) -> None:
        """Accept waiting clients before the listening socket closes; see `AcceptLoop.accept_remaining`."""
        await self._accept_loop.accept_remaining(sock, until_s)

    def _admit(self, sock: socket.socket) -> None:
        """Serve an accepted socket, or close it if no slot is free and no connection can be evicted."""
        if len(self.connections) - len(self.half_closed) >= self.max_clients and not self._evict_one():
            self.counters.add("client.refused")
            log.warning("connection refused, no slot is free", clients=len(self.connections))
            sock.close()
            return
        try:
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        except OSError:  # already closed by the client
            sock.close()
            return
        self.counters.add("client.accepted")
        connection = FrontConnection(self, sock)
        connection.arrivals.unread_since_s = self._unread_since_s(sock)
        task = asyncio.get_running_loop().create_task(connection.run())
        self.connections[connection] = task
        task.add_done_callback(partial(self._forget, connection))

    def _unread_since_s(self, sock: socket.socket) -> float:
        """Return since when a call on a newly accepted connection may have waited, or 0 if it has not."""
        established_s = seconds_since_sent(sock)
        now_s = time.monotonic()
        if not established_s:
            return self._accept_loop.failing_since_s
        return now_s - established_s if established_s > ACCEPT_LATENCY_S else 0.0

    def _forget(self, connection: FrontConnection, _: asyncio.Task[None]) -> None:
        self.connections.pop(connection, None)
        self.half_closed.discard(connection)
        self.evicted.discard(connection)

    # ---- eviction ----------------------------------------------------------------------------------------

    def _evict_one(self) -> bool:
        """Evict the connection of the lowest rank. Returns False if no connection may be evicted."""
        now_s = time.monotonic()
        ranked = [(eviction_rank(each.slot(), now_s), each) for each in self.connections]
        candidates = [(rank, each) for rank, each in ranked if rank is not None]
        candidates.sort(key=lambda candidate: candidate[0])
        evicted = next((each for _, each in candidates if each.is_drained(now_s)), None)
        if evicted is None:
            return False
        self.counters.add("client.displaced")
        self._evict(evicted, now_s, ConnectionCloseReason.EVICTED)
        return True

    def _evict(self, connection: FrontConnection, now_s: float, reason: ConnectionCloseReason) -> None:
        """Close a connection that has no open call and no unread bytes.

        The connection lingers unless the limit on half-closed connections is reached. In that case its socket
        is closed right after the end of stream is written.
        """
        max_half_closed = max(MIN_HALF_CLOSED, self.max_clients // CLIENTS_PER_HALF_CLOSED)
        is_full = len(self.half_closed) >= max_half_closed
        connection.half_close(now_s, reason)
        if is_full:
            self.half_closed.discard(connection)
            self.evicted.add(connection)
            self.connections.pop(connection).cancel()

    def release(self, connection: FrontConnection, now_s: float) -> None:
        """Close a connection that is owed nothing, or whose client has stopped, as memory is needed."""
        if connection.writes.pending_bytes or connection.open_calls:
            connection.begin_closing(ConnectionCloseReason.MEMORY_NEEDED)
            self.connections[connection].cancel()
        else:
            self._evict(connection, now_s, ConnectionCloseReason.MEMORY_NEEDED)

    def _releasable_memory(self, now_s: float) -> list[Releasable]:
        return [offer for each in self.connections for offer in releasable(each, now_s)]

    async def _wait_for_evictions(self) -> None:
        """Wait until few evicted connections are open, as they use descriptors beyond those of the slots."""
        while len(self.evicted) >= MAX_PENDING_CLOSES:
            await asyncio.sleep(0)
