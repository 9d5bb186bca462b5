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
LINKS_LEAST, LINKS_MOST = 2, 8  # connections to one member: one spoilt answer takes all others on its own
LINKS_OVER = 8  # links over their bound at most, where those in the way are about to close
SWEEP_S = 0.2
IDLE_S = 10.0  # under the time after which the other side closes: no send crosses its close
STALLED_S = 3.0  # a write that moves nothing for so long means that the machine is gone


class CacheConnectionPool:
    """The core's transport: a bounded pool of connections to each member."""

    def __init__(
        self,
        members: EndpointTable,
        counters: Counters,
        connect_us: int,
        report_names: tuple[str, ...] = (),
        most_links: int = 256,
        share: Callable[[], float] | None = None,
    ) -> None:
        self.members, self.counters, self.report_names = members, counters, report_names
        self.share = share  # of the usual connections to each member, while a director comes back
        self.connect_s = (connect_us or 400_000) / 1e6
        self.most_links = most_links
        self.links: dict[str, list[CacheConnection]] = {}
        self.count = 0
        self.budget = ByteBudget()
        members.replacement_listeners.append(self.member_changed)

    async def run(self, order: AttemptSpec) -> AttemptOutcome:
        """Carry out one attempt; a cancel gives it up."""
        address = self.members.addresses.get(order.member)
        if address is None or order.remaining_us() <= 0 or not order.is_still_valid():
            return AttemptOutcome(AttemptStatus.NOT_SENT)
        try:
            link = self._link(order, address)
        except OSError as error:  # all places are taken: nothing was sent
            self.counters.add("error.places")
            log.warning("no place for a connection", member=order.member, error=str(error))
            return AttemptOutcome(AttemptStatus.NOT_SENT)
        call = link.call(order)
        limit = asyncio.get_running_loop().call_later(order.remaining_us() / 1e6, link.expire, call)
        try:
            return await call.result
        except asyncio.CancelledError:
            link.give_up(call)
            raise
        finally:
            limit.cancel()
            if call.write.begun_at:
                order.sent_us = steady_us() - int((time.monotonic() - call.write.begun_at) * 1e6)

    def _link(self, order: AttemptSpec, address: tuple[str, int]) -> CacheConnection:
        """An unused connection, a new one, or the least used."""
        member, request_id = order.member, order.request.request_id.encode()
        links = self.links.get(member, [])
        fit = [link for link in links if link.takes(request_id)]
        least = min(fit, key=lambda link: len(link.calls), default=None)
        if least is not None and not least.calls:
            return least
        if least is None or (
            (order.needs_own_connection or len(fit) < self._most_each()) and self.count < self.most_links
        ):
            if self.count >= self.most_links:
                self._close_idle()
            if self.count >= self.most_links + LINKS_OVER:
                raise OSError("all places for connections to caches are taken")
            least = CacheConnection(self, member, address)
            self.links.setdefault(member, []).append(least)
            self.count += 1
        return least

    def _most_each(self) -> int:
        """Connections to one member, so that all members have theirs; fewer while a director comes back."""
        most = min(LINKS_MOST, self.most_links // (len(self.members.listed) + 1))
        return max(LINKS_LEAST, int(most * self.share()) if self.share is not None else most)

    def _close_idle(self) -> None:
        idle = [link for links in self.links.values() for link in links if not link.calls]
        if idle:
            min(idle, key=lambda link: link.used_at).drop(ConnectionCloseReason.SLOT_NEEDED)

    def forget(self, link: CacheConnection) -> None:
        """A connection has ended."""
        links = self.links.get(link.member, [])
        if link in links:
            links.remove(link)
            self.count -= 1
        if not links:
            self.links.pop(link.member, None)

    def member_changed(self, member: str) -> None:
        """It left or started anew: what is open to it speaks to a process that is gone."""
        for link in self.links.get(member, []):
            link.retired = True
            if not link.calls:
                link.drop(ConnectionCloseReason.RETIRED)

    async def sweep(self) -> None:
        """Close what is idle, or retired and empty."""
        while True:
            await asyncio.sleep(SWEEP_S)
            now = time.monotonic()
            before = now - IDLE_S
            for links in list(self.links.values()):
                for link in links:
                    if link.stuck(now):
                        self.counters.add("bad.stuck")
                        link.drop(ConnectionCloseReason.ANSWER_STALLED)
                    if link.writes.stalled(now, STALLED_S):
                        link.drop(ConnectionCloseReason.WRITE_STALLED)
                    if not link.calls and not link.writes.pending and (link.retired or link.used_at < before):
                        link.drop(
                            ConnectionCloseReason.RETIRED if link.retired else ConnectionCloseReason.IDLE
                        )

    async def close(self) -> None:
        """End all connections."""
        links = [link for links in self.links.values() for link in links]
        for link in links:
            link.drop(ConnectionCloseReason.CLOSING)
        tasks = [link.task for link in links]
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.gather(*tasks, return_exceptions=True)
