"""The platform's front: accepts the web servers' connections and keeps track of what is owed to them."""

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
from onyxwick.config.director import SHUT_LEAST, SHUT_SHARE
from onyxwick.core import RequestEngine
from onyxwick.core.reasons import ConnectionCloseReason
from onyxwick.core.shutdown import HELD_AFTER_S, LAST_WORDS_S, ShutdownKind, ShutdownSchedule, ShutdownStage
from onyxwick.core.stall import STALL_S
from onyxwick.counters import Counters
from onyxwick.net import connection_slots as room
from onyxwick.net import errors
from onyxwick.net.buffer import seconds_since_sent, unread_bytes, wait_readable
from onyxwick.net.delivery import CLIENT_STALLED_S
from onyxwick.net.fastcgi_calls import OwnerFields
from onyxwick.net.front_connection import LINGER_READ_INTERVAL_S, FrontConnection
from onyxwick.net.listening import ACCEPT_BACKLOG
from onyxwick.net.write_queue import ByteBudget

if TYPE_CHECKING:
    from onyxwick.cells.reservation import ConnectionReservation

log = logs.get()
MAX_OVERLOAD_RETRY_US = 500_000  # what is not read is cut off in seconds: no use in coming back before
CLOSING_RETRY_US = (
    100_000  # a new call while the connection is to end: the client is told to come back so soon
)
SWEEP_INTERVAL_S = 0.25
SHUTDOWN_TICK_S = 0.02  # between two looks at all connections, while they are being ended
DRAINED_TICK_S = 0.1  # the same once a drain has had its time: newcomers end as they come in
STAGE_SETTLE_S = 0.3  # for what a stage asks for to be done with each connection
MAX_HELD_LOG_LINES = 10  # connections held at a stage that are logged one by one
ACCEPTS_PER_TURN = 32  # accepted in one turn of the loop
MAX_PENDING_CLOSES = 8
"""Connections given up and not closed yet before more are accepted: a close takes some turns of the loop."""
ACCEPT_LATENCY_S = 0.02  # between a connection's coming up and its accept, from which on it counts
ACCEPT_PAUSE_S = 0.05  # after an accept that failed for want of descriptors or memory
FINAL_ACCEPT_LIMIT_S = 1.0  # for who waits to be accepted at the end, where accept fails meanwhile
MAX_FINAL_ACCEPTS = 4 * ACCEPT_BACKLOG  # accepted then at most: clients may go on coming


class FastCgiFront:
    """Accepts clients and keeps track of what is owed to them."""

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
        self.reservation, self.owner_fields = reservation, OwnerFields(tenant_field, site_field)
        limits = core.settings.limits
        self.overload_retry_us = (
            min(limits.max_retry_after_us, MAX_OVERLOAD_RETRY_US) if limits.retry_after else 0
        )
        self.closing_retry_us = min(limits.max_retry_after_us, CLOSING_RETRY_US) if limits.retry_after else 0
        self.core, self.counters, self.is_ready = core, counters, is_ready
        self.max_clients, self.max_held_bytes = max_clients, max_held_bytes
        self.classes = {c.name: c for c in core.settings.classes}
        self.connections: dict[FrontConnection, asyncio.Task[None]] = {}  # oldest first
        self.next_connection_number = partial(
            next, itertools.count(1)
        )  # numbers of connections, for the logs
        self.budget = ByteBudget()
        self.accept_failures = 0
        self.accept_failing_since_s = (
            0.0  # monotonic: connections that wait have not been accepted since; else 0
        )
        self.half_closed: set[FrontConnection] = (
            set()
        )  # their end is written; they go as soon as the client closes its own
        self.evicted: set[FrontConnection] = (
            set()
        )  # no clients any more, but their sockets are not closed yet
        self.shutdown: ShutdownSchedule | None = None  # drained, or told to end: when each connection ends
        self.stage = ShutdownStage.SERVING  # as last looked at
        self._stage_since_s = 0.0  # monotonic seconds at which the stage was first looked at
        self._held_checked = False

    # ---- endings -----------------------------------------------------------------------------------------

    def begin_shutdown(self, schedule: ShutdownSchedule) -> None:
        """From now on connections end as the schedule says. A drain's own replaces that of an earlier drain;
        a termination keeps what a drain has promised."""
        if self.shutdown is not None and schedule.kind is not ShutdownKind.DRAIN:
            schedule = schedule.with_earlier(self.shutdown)
        self.shutdown, self.stage, self._held_checked = schedule, ShutdownStage.SERVING, False
        self.advance(time.monotonic())

    def cancel_shutdown(self) -> None:
        """Clients are welcome again: what has not ended yet stays open."""
        self.shutdown, self.stage = None, ShutdownStage.SERVING
        log.info("ending taken back", clients=len(self.connections), owed=len(self.core.lifecycles))

    def stage_at(self, now: float) -> ShutdownStage:
        """How far the ending is, by the time alone."""
        return ShutdownStage.SERVING if self.shutdown is None else self.shutdown.stage(now)

    def advance(self, now: float) -> None:
        """Do what the stage asks for, with each connection. What is owed is given back a look later: after a
        stop of the process, answers that stand in the caches' sockets are read in between."""
        schedule = self.shutdown
        if schedule is None:
            return
        stage = schedule.stage(now)
        if fresh := stage is not self.stage:
            self._enter_stage(stage, schedule, now)
        must_end = now >= schedule.fails_at
        for client in list(self.connections):
            client.advance(stage, now, may_answer_open_calls=not fresh, must_answer_all=must_end)
        if schedule.kind is ShutdownKind.DRAIN and now - schedule.begun_at >= HELD_AFTER_S:
            self._check_held_connections(now)

    def _enter_stage(self, stage: ShutdownStage, schedule: ShutdownSchedule, now: float) -> None:
        self.stage, self._stage_since_s = stage, now
        name, clients = stage.name.lower(), list(self.connections)
        half = sum(client.parser.has_partial_call for client in clients)
        unwritten = sum(client.writes.pending_bytes > 0 for client in clients)
        self.counters.add(f"ending.{schedule.kind.value}.{name}")
        log.info(
            "ending",
            kind=schedule.kind.value,
            stage=name,
            after_s=round(now - schedule.begun_at, 3),
            clients=len(clients),
            owed=len(self.core.lifecycles),
            half=half,
            unwritten=unwritten,
        )
        if stage >= ShutdownStage.ENDS_HALF_CALLS:
            held = [client for client in clients if not client.half_closed_at_s]
            for client in held[:MAX_HELD_LOG_LINES]:
                client.log_held(now, name)

    def _check_held_connections(self, now: float) -> None:
        """Once in each drain: may each connection that is still open be? A process that stood still until now
        has a moment to end them, as newcomers have."""
        if self._held_checked or now - self._stage_since_s < STAGE_SETTLE_S:
            return
        self._held_checked = True
        invariants, now_us = self.core.invariants, self.core.now()
        for client in self.connections:
            if not client.half_closed_at_s and now - client.opened_at_s > STAGE_SETTLE_S:
                arrived = [live.request.arrived_us for live in client.open_calls.values() if live is not None]
                youngest_us = now_us - max(arrived) if arrived else None
                invariants.held_in_drain(client.number, youngest_us)

    def report_bad_input(self, text: str) -> None:
        """Count and log bad input of a client."""
        self.counters.add("bad.client")
        log.warning("bad input of a client", detail=text)

    async def sweep(self) -> None:
        """End connections as the schedule says, and cut off clients that take nothing of what is written to
        them, and those that overstay."""
        swept_at = 0.0
        while True:
            await asyncio.sleep(self._tick_s())
            now = time.monotonic()
            self.advance(now)
            if now - swept_at >= SWEEP_INTERVAL_S:
                swept_at = now
                self._close_expired(now)

    def _tick_s(self) -> float:
        if self.shutdown is None:
            return SWEEP_INTERVAL_S
        return DRAINED_TICK_S if self._held_checked else SHUTDOWN_TICK_S

    def _close_expired(self, now: float) -> None:
        for client, task in list(self.connections.items()):
            if client.half_closed_at_s:
                if not client.is_lingering(now):
                    task.cancel()  # its end was written, and the client does not close its own
            elif client.writes.is_stalled(now, CLIENT_STALLED_S):
                self.counters.add("client.stalled")
                client.close_reason = client.close_reason or ConnectionCloseReason.STALLED
                task.cancel()
            elif client.ignores_new_calls:
                client.close_when_written(now, ConnectionCloseReason.CLOSING)
            elif client.exceeds_deadline(now):
                self.counters.add("client.overstayed")
                self._evict(client, now, ConnectionCloseReason.IDLE)

    async def record_loop_ticks(self) -> None:
        """Tell the watch that the loop turns, also while nobody asks."""
        while True:
            self.core.stalls.tick(time.monotonic())
            await asyncio.sleep(0.6 * STALL_S)

    def _evict_one(self) -> bool:
        """End the connection that is least missed (`room.order`) to make room for a newcomer."""
        now = time.monotonic()
        ranked = [
            (rank, c) for c in self.connections if (rank := room.eviction_rank(c.slot(), now)) is not None
        ]
        ranked.sort(key=lambda pair: pair[0])
        least = next(
            (c for _, c in ranked if not unread_bytes(c.sock) and not c.delivery.in_flight_bytes(now)), None
        )
        if least is None:
            return False
        self.counters.add("client.displaced")
        self._evict(least, now, ConnectionCloseReason.DISPLACED)
        return True

    def _evict(self, client: FrontConnection, now: float, reason: ConnectionCloseReason) -> None:
        """End a connection that owes nothing and has nothing unread: softly, as far as there are places for
        such as linger, else at once, behind its written end."""
        full = len(self.half_closed) >= max(SHUT_LEAST, self.max_clients // SHUT_SHARE)
        client.half_close(now, reason)
        if full:
            self.half_closed.discard(client)
            self.evicted.add(client)
            self.connections.pop(client).cancel()

    async def _wait_for_evictions(self) -> None:
        """Wait until few of the connections given up are still open: their descriptors count too, and each
        newcomer of a crowd would leave another one open beside all places."""
        while len(self.evicted) >= MAX_PENDING_CLOSES:
            await asyncio.sleep(0)

    async def accept(self, sock: socket.socket) -> None:
        """Take in clients until cancelled; being out of descriptors passes.

        The wait takes nothing, and what is taken is kept in the same breath: a cancel loses no client.
        """
        loop, taken, pause = asyncio.get_running_loop(), 0, 0.0
        while True:
            try:
                self._admit(sock.accept()[0])
            except BlockingIOError:
                self.accept_failing_since_s = 0.0
                await wait_readable(loop, sock)
                continue
            except OSError as error:
                pause = self._accept_failed(error)
            await self._wait_for_evictions()
            taken += 1
            if pause or taken % ACCEPTS_PER_TURN == 0:  # a crowd at the door leaves the others their turn
                await asyncio.sleep(pause)
                pause = 0.0

    async def accept_remaining(self, sock: socket.socket, until: float = math.inf) -> None:
        """Take in whoever has connected already, before the listening socket closes: a close would reset them
        with what they have written. Between the last look for one and the return nothing else runs.

        Errors pass, and only an empty backlog is the end; bounded by `until` (monotonic seconds), by
        `ACCEPT_REST_S` and `ACCEPT_REST_MOST`.
        """
        end = min(until, time.monotonic() + FINAL_ACCEPT_LIMIT_S)
        for _ in range(MAX_FINAL_ACCEPTS):
            pause = 0.0
            try:
                self._admit(sock.accept()[0])
            except BlockingIOError:
                return
            except OSError as error:
                pause = self._accept_failed(error)
            await self._wait_for_evictions()
            if time.monotonic() > end:
                break
            if pause:
                await asyncio.sleep(pause)
        log.error("the listening socket closes before all who wait are taken in")

    def _accept_failed(self, error: OSError) -> float:
        """Count and log it; how many seconds to wait before the next accept."""
        exhausted = errors.is_exhausted(error)
        self.counters.add("error.accept" if exhausted else "client.aborted")
        log.warning("accept failed", error=str(error))
        self.accept_failing_since_s = self.accept_failing_since_s or time.monotonic()
        self.accept_failures += 1
        return ACCEPT_PAUSE_S if exhausted or self.accept_failures % ACCEPTS_PER_TURN == 0 else 0.0

    def _admit(self, conn: socket.socket) -> None:
        if len(self.connections) - len(self.half_closed) >= self.max_clients and not self._evict_one():
            self.counters.add("client.refused")
            conn.close()
            return
        try:
            conn.setblocking(False)
            conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        except OSError:  # gone again already
            conn.close()
            return
        self.counters.add("client.accepted")
        client = FrontConnection(self, conn)
        client.unread_since_s = self._unread_since(conn)
        task = asyncio.get_running_loop().create_task(client.run())
        self.connections[client] = task
        task.add_done_callback(partial(self._forget, client))

    def _unread_since(self, conn: socket.socket) -> float:
        """Since when a connection that was just accepted may have waited with a call in it; 0: it did not."""
        told, now = seconds_since_sent(conn), time.monotonic()
        if not told:
            return self.accept_failing_since_s
        return now - told if told > ACCEPT_LATENCY_S else 0.0

    def _forget(self, client: FrontConnection, _: asyncio.Task[None]) -> None:
        self.connections.pop(client, None)
        self.half_closed.discard(client)
        self.evicted.discard(client)

    async def finish_shutdown(self, schedule: ShutdownSchedule) -> None:
        """Carry a termination's schedule through: return once all connections have ended and nothing is owed,
        a moment after its last stage at the latest."""
        if self.shutdown is None:
            self.begin_shutdown(schedule)
        closed_at = 0.0  # when its last stage was seen: after a stop of the process that may be late
        while self.connections or not self.core.idle.is_set():
            now = time.monotonic()
            self.advance(now)
            if self.stage is ShutdownStage.CLOSED:
                closed_at = closed_at or now
                if now >= closed_at + LAST_WORDS_S:
                    break
            await asyncio.sleep(LINGER_READ_INTERVAL_S)
        tasks, owed = list(self.connections.values()), len(self.core.lifecycles)
        for client, task in list(self.connections.items()):
            client.close_reason = client.close_reason or ConnectionCloseReason.CLOSING
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        log.info("ended", cut=len(tasks), owed=owed, crossed=self.counters.counts["client.crossed"])
