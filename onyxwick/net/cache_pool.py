"""The core's transport: a bounded pool of connections to each cache, parent and the origin."""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections.abc import Callable

from onyxwick import logs
from onyxwick.core.clock import steady_us
from onyxwick.core.endpoints import EndpointTable
from onyxwick.core.model import AttemptOutcome, AttemptSpec
from onyxwick.core.reasons import ConnectionCloseReason
from onyxwick.counters import Counters
from onyxwick.interface import AttemptStatus
from onyxwick.net.cache_connection import CacheConnection
from onyxwick.net.write_queue import ByteBudget

log = logs.get()
MIN_CONNECTIONS_PER_MEMBER, MAX_CONNECTIONS_PER_MEMBER = (
    2,
    8,
)  # connections to one member: one spoilt answer takes all others on its own
MAX_EXCESS_CONNECTIONS = 8  # links over their bound at most, where those in the way are about to close
SWEEP_INTERVAL_S = 0.2
IDLE_LIMIT_S = 10.0  # under the time after which the other side closes: no send crosses its close
WRITE_STALL_LIMIT_S = 3.0  # a write that moves nothing for so long means that the machine is gone


class CacheConnectionPool:
    """The core's transport: a bounded pool of connections to each member."""

    def __init__(
        self,
        members: EndpointTable,
        counters: Counters,
        connect_us: int,
        report_names: tuple[str, ...] = (),
        max_connections: int = 256,
        warm_up_share: Callable[[], float] | None = None,
    ) -> None:
        self.members, self.counters, self.report_names = members, counters, report_names
        self.warm_up_share = (
            warm_up_share  # of the usual connections to each member, while a director comes back
        )
        self.connect_s = (connect_us or 400_000) / 1e6
        self.max_connections = max_connections
        self.connections: dict[str, list[CacheConnection]] = {}
        self.count = 0
        self.budget = ByteBudget()
        members.watchers.append(self.on_member_changed)

    async def run(self, order: AttemptSpec) -> AttemptOutcome:
        """Carry out one attempt; a cancel gives it up."""
        address = self.members.addresses.get(order.member)
        if address is None or order.left_us() <= 0 or not order.is_still_valid():
            return AttemptOutcome(AttemptStatus.NOT_SENT)
        try:
            link = self._connection_for(order, address)
        except OSError as error:  # all places are taken: nothing was sent
            self.counters.add("error.places")
            log.warning("no place for a connection", member=order.member, error=str(error))
            return AttemptOutcome(AttemptStatus.NOT_SENT)
        call = link.start_attempt(order)
        limit = asyncio.get_running_loop().call_later(order.left_us() / 1e6, link.expire, call)
        try:
            return await call.result
        except asyncio.CancelledError:
            link.abandon(call)
            raise
        finally:
            limit.cancel()
            if call.write.begun_at_s:
                order.sent_us = steady_us() - int((time.monotonic() - call.write.begun_at_s) * 1e6)

    def _connection_for(self, order: AttemptSpec, address: tuple[str, int]) -> CacheConnection:
        """An unused connection, a new one, or the least used."""
        member, request_id = order.member, order.request.request_id.encode()
        links = self.connections.get(member, [])
        fit = [link for link in links if link.can_accept(request_id)]
        least = min(fit, key=lambda link: len(link.attempts), default=None)
        if least is not None and not least.attempts:
            return least
        if least is None or (
            (order.needs_own_connection or len(fit) < self._max_per_member())
            and self.count < self.max_connections
        ):
            if self.count >= self.max_connections:
                self._close_one_idle()
            if self.count >= self.max_connections + MAX_EXCESS_CONNECTIONS:
                raise OSError("all places for connections to caches are taken")
            least = CacheConnection(self, member, address)
            self.connections.setdefault(member, []).append(least)
            self.count += 1
        return least

    def _max_per_member(self) -> int:
        """Connections to one member, so that all members have theirs; fewer while a director comes back."""
        most = min(MAX_CONNECTIONS_PER_MEMBER, self.max_connections // (len(self.members.listed) + 1))
        return max(
            MIN_CONNECTIONS_PER_MEMBER,
            int(most * self.warm_up_share()) if self.warm_up_share is not None else most,
        )

    def _close_one_idle(self) -> None:
        idle = [link for links in self.connections.values() for link in links if not link.attempts]
        if idle:
            min(idle, key=lambda link: link.last_used_at_s).close(ConnectionCloseReason.PLACE_NEEDED)

    def forget(self, link: CacheConnection) -> None:
        """A connection has ended."""
        links = self.connections.get(link.member, [])
        if link in links:
            links.remove(link)
            self.count -= 1
        if not links:
            self.connections.pop(link.member, None)

    def on_member_changed(self, member: str) -> None:
        """It left or started anew: what is open to it speaks to a process that is gone."""
        for link in self.connections.get(member, []):
            link.is_retired = True
            if not link.attempts:
                link.close(ConnectionCloseReason.RETIRED)

    async def sweep(self) -> None:
        """Close what is idle, or retired and empty."""
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            now = time.monotonic()
            before = now - IDLE_LIMIT_S
            for links in list(self.connections.values()):
                for link in links:
                    if link.is_answer_stuck(now):
                        self.counters.add("bad.stuck")
                        link.close(ConnectionCloseReason.ANSWER_STUCK)
                    if link.writes.is_stalled(now, WRITE_STALL_LIMIT_S):
                        link.close(ConnectionCloseReason.STALLED)
                    if (
                        not link.attempts
                        and not link.writes.pending_bytes
                        and (link.is_retired or link.last_used_at_s < before)
                    ):
                        link.close(
                            ConnectionCloseReason.RETIRED if link.is_retired else ConnectionCloseReason.IDLE
                        )

    async def close(self) -> None:
        """End all connections."""
        links = [link for links in self.connections.values() for link in links]
        for link in links:
            link.close(ConnectionCloseReason.CLOSING)
        tasks = [link.task for link in links]
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.gather(*tasks, return_exceptions=True)
