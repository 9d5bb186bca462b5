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
from onyxwick.core.shutdown import DRAIN_LIMIT_S, FINAL_FLUSH_S, ShutdownKind, ShutdownSchedule, ShutdownStage
from onyxwick.core.stall_detector import STALL_S
from onyxwick.counters import Counters
from onyxwick.net import connection_slots as room
from onyxwick.net import errors
from onyxwick.net.buffer import readable, seconds_since_sent, unread
from onyxwick.net.delivery import STALLED_S
from onyxwick.net.fastcgi_calls import OwnerFields
from onyxwick.net.front_connection import READ_S, FrontConnection
from onyxwick.net.listening import BACKLOG
from onyxwick.net.write_queue import ByteBudget

if TYPE_CHECKING:
    from onyxwick.cells.reservation import ConnectionReservation

log = logs.get()
UNREAD_WAIT_US = 500_000  # what is not read is cut off in seconds: no use in coming back before
REFUSED_US = 100_000  # a new call while the connection is to end: the client is told to come back so soon
SWEEP_S = 0.25
ENDING_TICK_S = 0.02  # between two looks at all connections, while they are being ended
DRAINED_TICK_S = 0.1  # the same once a drain has had its time: newcomers end as they come in
SETTLES_S = 0.3  # for what a stage asks for to be done with each connection
MOST_TOLD = 10  # connections held at a stage that are logged one by one
ACCEPT_TURN = 32  # accepted in one turn of the loop
GIVEN_UP_MOST = 8
"""Connections given up and not closed yet before more are accepted: a close takes some turns of the loop."""
ACCEPT_WAIT_S = 0.02  # between a connection's coming up and its accept, from which on it counts
ACCEPT_PAUSE_S = 0.05  # after an accept that failed for want of descriptors or memory
ACCEPT_REST_S = 1.0  # for who waits to be accepted at the end, where accept fails meanwhile
ACCEPT_REST_MOST = 4 * BACKLOG  # accepted then at most: clients may go on coming


class FastCgiFront:
    """Accepts clients and keeps track of what is owed to them."""

    def __init__(
        self,
        core: RequestEngine,
        counters: Counters,
        ready: Callable[[], bool],
        most_clients: int,
        most_held: int,
        holding: ConnectionReservation | None = None,
        tenant_field: str = "",
        site_field: str = "",
    ) -> None:
        self.holding, self.owner_fields = holding, OwnerFields(tenant_field, site_field)
        limits = core.settings.limits
        self.retry_us = min(limits.max_retry_after_us, UNREAD_WAIT_US) if limits.retry_after else 0
        self.refused_us = min(limits.max_retry_after_us, REFUSED_US) if limits.retry_after else 0
        self.core, self.counters, self.ready = core, counters, ready
        self.most_clients, self.most_held = most_clients, most_held
        self.classes = {c.name: c for c in core.settings.classes}
        self.clients: dict[FrontConnection, asyncio.Task[None]] = {}  # oldest first
        self.next_connection = partial(next, itertools.count(1))  # numbers of connections, for the logs
        self.budget = ByteBudget()
        self.accept_failures = 0
        self.accept_failing_since = (
            0.0  # monotonic: connections that wait have not been accepted since; else 0
        )
        self.shut: set[FrontConnection] = (
            set()
        )  # their end is written; they go as soon as the client closes its own
        self.given_up: set[FrontConnection] = (
            set()
        )  # no clients any more, but their sockets are not closed yet
        self.ending: ShutdownSchedule | None = None  # drained, or told to end: when each connection ends
        self.stage = ShutdownStage.SERVING  # as last looked at
        self._stage_since = 0.0  # monotonic seconds at which the stage was first looked at
        self._held_checked = False

    # ---- endings -----------------------------------------------------------------------------------------

    def begin_ending(self, schedule: ShutdownSchedule) -> None:
        """From now on connections end as the schedule says. A drain's own replaces that of an earlier drain;
        a termination keeps what a drain has promised."""
        if self.ending is not None and schedule.kind is not ShutdownKind.DRAIN:
            schedule = schedule.earliest_of(self.ending)
        self.ending, self.stage, self._held_checked = schedule, ShutdownStage.SERVING, False
        self.advance(time.monotonic())

    def resume(self) -> None:
        """Clients are welcome again: what has not ended yet stays open."""
        self.ending, self.stage = None, ShutdownStage.SERVING
        log.info("ending taken back", clients=len(self.clients), owed=len(self.core.lifecycles))

    def stage_at(self, now: float) -> ShutdownStage:
        """How far the ending is, by the time alone."""
        return ShutdownStage.SERVING if self.ending is None else self.ending.stage(now)

    def advance(self, now: float) -> None:
        """Do what the stage asks for, with each connection. What is owed is given back a look later: after a
        stop of the process, answers that stand in the caches' sockets are read in between."""
        schedule = self.ending
        if schedule is None:
            return
        stage = schedule.stage(now)
        if fresh := stage is not self.stage:
            self._enter(stage, schedule, now)
        must_end = now >= schedule.fail_at_s
        for client in list(self.clients):
            client.advance(stage, now, gives_back=not fresh, must_end=must_end)
        if schedule.kind is ShutdownKind.DRAIN and now - schedule.started_at_s >= DRAIN_LIMIT_S:
            self._check_held(now)

    def _enter(self, stage: ShutdownStage, schedule: ShutdownSchedule, now: float) -> None:
        self.stage, self._stage_since = stage, now
        name, clients = stage.metric_key, list(self.clients)
        half = sum(client.parser.half for client in clients)
        unwritten = sum(client.writes.pending > 0 for client in clients)
        self.counters.add(f"ending.{schedule.kind.value}.{name}")
        log.info(
            "ending",
            kind=schedule.kind.value,
            stage=name,
            after_s=round(now - schedule.started_at_s, 3),
            clients=len(clients),
            owed=len(self.core.lifecycles),
            half=half,
            unwritten=unwritten,
        )
        if stage >= ShutdownStage.CLOSE_PARTIAL:
            held = [client for client in clients if not client.shut_at]
            for client in held[:MOST_TOLD]:
                client.tell_held(now, name)

    def _check_held(self, now: float) -> None:
        """Once in each drain: may each connection that is still open be? A process that stood still until now
        has a moment to end them, as newcomers have."""
        if self._held_checked or now - self._stage_since < SETTLES_S:
            return
        self._held_checked = True
        invariants, now_us = self.core.invariants, self.core.now()
        for client in self.clients:
            if not client.shut_at and now - client.born > SETTLES_S:
                arrived = [live.request.arrived_us for live in client.open.values() if live is not None]
                youngest_us = now_us - max(arrived) if arrived else None
                invariants.connection_open_after_drain(client.number, youngest_us)

    def bad(self, text: str) -> None:
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
            if now - swept_at >= SWEEP_S:
                swept_at = now
                self._sweep(now)

    def _tick_s(self) -> float:
        if self.ending is None:
            return SWEEP_S
        return DRAINED_TICK_S if self._held_checked else ENDING_TICK_S

    def _sweep(self, now: float) -> None:
        for client, task in list(self.clients.items()):
            if client.shut_at:
                if not client.lingers(now):
                    task.cancel()  # its end was written, and the client does not close its own
            elif client.writes.stalled(now, STALLED_S):
                self.counters.add("client.stalled")
                client.end = client.end or ConnectionCloseReason.WRITE_STALLED
                task.cancel()
            elif client.hears_no_more:
                client.close_when_written(now, ConnectionCloseReason.CLOSING)
            elif client.overstays(now):
                self.counters.add("client.overstayed")
                self._give_up(client, now, ConnectionCloseReason.IDLE)

    async def watch_turns(self) -> None:
        """Tell the watch that the loop turns, also while nobody asks."""
        while True:
            self.core.stalls.tick(time.monotonic())
            await asyncio.sleep(0.6 * STALL_S)

    def _make_room(self) -> bool:
        """End the connection that is least missed (`room.order`) to make room for a newcomer."""
        now = time.monotonic()
        ranked = [(rank, c) for c in self.clients if (rank := room.order(c.seat(), now)) is not None]
        ranked.sort(key=lambda pair: pair[0])
        least = next((c for _, c in ranked if not unread(c.sock) and not c.delivery.in_flight(now)), None)
        if least is None:
            return False
        self.counters.add("client.displaced")
        self._give_up(least, now, ConnectionCloseReason.EVICTED)
        return True

    def _give_up(self, client: FrontConnection, now: float, reason: ConnectionCloseReason) -> None:
        """End a connection that owes nothing and has nothing unread: softly, as far as there are places for
        such as linger, else at once, behind its written end."""
        full = len(self.shut) >= max(SHUT_LEAST, self.most_clients // SHUT_SHARE)
        client.close_softly(now, reason)
        if full:
            self.shut.discard(client)
            self.given_up.add(client)
            self.clients.pop(client).cancel()

    async def _given_up_closed(self) -> None:
        """Wait until few of the connections given up are still open: their descriptors count too, and each
        newcomer of a crowd would leave another one open beside all places."""
        while len(self.given_up) >= GIVEN_UP_MOST:
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
                self.accept_failing_since = 0.0
                await readable(loop, sock)
                continue
            except OSError as error:
                pause = self._accept_failed(error)
            await self._given_up_closed()
            taken += 1
            if pause or taken % ACCEPT_TURN == 0:  # a crowd at the door leaves the others their turn
                await asyncio.sleep(pause)
                pause = 0.0

    async def accept_rest(self, sock: socket.socket, until: float = math.inf) -> None:
        """Take in whoever has connected already, before the listening socket closes: a close would reset them
        with what they have written. Between the last look for one and the return nothing else runs.

        Errors pass, and only an empty backlog is the end; bounded by `until` (monotonic seconds), by
        `ACCEPT_REST_S` and `ACCEPT_REST_MOST`.
        """
        end = min(until, time.monotonic() + ACCEPT_REST_S)
        for _ in range(ACCEPT_REST_MOST):
            pause = 0.0
            try:
                self._admit(sock.accept()[0])
            except BlockingIOError:
                return
            except OSError as error:
                pause = self._accept_failed(error)
            await self._given_up_closed()
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
        self.accept_failing_since = self.accept_failing_since or time.monotonic()
        self.accept_failures += 1
        return ACCEPT_PAUSE_S if exhausted or self.accept_failures % ACCEPT_TURN == 0 else 0.0

    def _admit(self, conn: socket.socket) -> None:
        if len(self.clients) - len(self.shut) >= self.most_clients and not self._make_room():
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
        client.not_read_since = self._came_up(conn)
        task = asyncio.get_running_loop().create_task(client.run())
        self.clients[client] = task
        task.add_done_callback(partial(self._gone, client))

    def _came_up(self, conn: socket.socket) -> float:
        """Since when a connection that was just accepted may have waited with a call in it; 0: it did not."""
        told, now = seconds_since_sent(conn), time.monotonic()
        if not told:
            return self.accept_failing_since
        return now - told if told > ACCEPT_WAIT_S else 0.0

    def _gone(self, client: FrontConnection, _: asyncio.Task[None]) -> None:
        self.clients.pop(client, None)
        self.shut.discard(client)
        self.given_up.discard(client)

    async def finish(self, schedule: ShutdownSchedule) -> None:
        """Carry a termination's schedule through: return once all connections have ended and nothing is owed,
        a moment after its last stage at the latest."""
        if self.ending is None:
            self.begin_ending(schedule)
        closed_at = 0.0  # when its last stage was seen: after a stop of the process that may be late
        while self.clients or not self.core.table.idle.is_set():
            now = time.monotonic()
            self.advance(now)
            if self.stage is ShutdownStage.CLOSE_ALL:
                closed_at = closed_at or now
                if now >= closed_at + FINAL_FLUSH_S:
                    break
            await asyncio.sleep(READ_S)
        tasks, owed = list(self.clients.values()), len(self.core.lifecycles)
        for client, task in list(self.clients.items()):
            client.end = client.end or ConnectionCloseReason.CLOSING
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        log.info("ended", cut=len(tasks), owed=owed, crossed=self.counters.counts["client.crossed"])
