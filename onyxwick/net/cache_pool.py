"""The core's transport: a bounded pool of connections to each cache, parent cache and the origin.

Carries out an `AttemptSpec` and returns its `AttemptOutcome`. Times are monotonic seconds unless a name ends
in `_us`.
"""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections.abc import Callable

from onyxwick import logs
from onyxwick.core.clock import steady_us
from onyxwick.core.endpoints import EndpointTable
from onyxwick.core.memory_account import HeldKind, MemoryAccount, Releasable
from onyxwick.core.model import AttemptOutcome, AttemptSpec
from onyxwick.core.reasons import ConnectionCloseReason
from onyxwick.counters import Counters
from onyxwick.interface import AttemptStatus
from onyxwick.net.cache_connection import CacheConnection
from onyxwick.net.errors import ConnectionLimitError

log = logs.get()
MIN_CONNECTIONS_PER_MEMBER = 2
MAX_CONNECTIONS_PER_MEMBER = 8
"""Largest number of connections to one member. It is greater than one, because an invalid reply closes a
connection for all attempts on it."""
MAX_EXCESS_CONNECTIONS = 8
"""Number of connections allowed beyond `max_connections` while evicted connections are still closing."""
SWEEP_INTERVAL_S = 0.2
IDLE_LIMIT_S = 10.0
"""A connection that is idle for this long is closed. The time is shorter than the members' own idle limit, so
that nothing is sent on a connection that they are closing."""
WRITE_STALL_LIMIT_S = 3.0
"""A write that makes no progress for this long indicates that the machine is down."""
DEFAULT_CONNECT_US = 400_000
US_PER_S = 1e6


class CacheConnectionPool:
    """The connections to all members.

    `warm_up_share` returns the current share of the usual number of connections per member that is allowed
    while a director recovers.
    """

    def __init__(
        self,
        members: EndpointTable,
        counters: Counters,
        connect_us: int,
        report_names: tuple[str, ...] = (),
        max_connections: int = 256,
        warm_up_share: Callable[[], float] | None = None,
        memory: MemoryAccount | None = None,
    ) -> None:
        self.members = members
        self.counters = counters
        self.report_names = report_names
        self.warm_up_share = warm_up_share
        self.connect_timeout_s = (connect_us or DEFAULT_CONNECT_US) / US_PER_S
        self.max_connections = max_connections
        self.connections: dict[str, list[CacheConnection]] = {}  # by member
        self.count = 0
        self.memory = memory or MemoryAccount(counters=counters)
        self.memory.sources.append(self._releasable_memory)
        self.budget = self.memory.held[HeldKind.CACHE_OUTPUT]
        members.replacement_listeners.append(self.on_member_changed)

    async def run(self, spec: AttemptSpec) -> AttemptOutcome:
        """Carry out one attempt and return its outcome. Cancellation abandons the attempt."""
        address = self.members.addresses.get(spec.member)
        if address is None or spec.remaining_us() <= 0 or not spec.is_still_valid(spec):
            return AttemptOutcome(AttemptStatus.NOT_SENT)
        try:
            connection = self._connection_for(spec, address)
        except ConnectionLimitError as error:
            self.counters.add("error.places")
            log.warning("no connection slot for attempt", member=spec.member, error=str(error))
            return AttemptOutcome(AttemptStatus.NOT_SENT)
        attempt = connection.start_attempt(spec)
        loop = asyncio.get_running_loop()
        timer = loop.call_later(spec.remaining_us() / US_PER_S, connection.expire, attempt)
        try:
            return await attempt.result
        except asyncio.CancelledError:
            connection.abandon(attempt)
            raise
        finally:
            timer.cancel()
            if attempt.write.started_at_s:
                since_s = time.monotonic() - attempt.write.started_at_s
                spec.sent_us = steady_us() - int(since_s * US_PER_S)

    def _connection_for(self, spec: AttemptSpec, address: tuple[str, int]) -> CacheConnection:
        """Return an unused connection, a new one, or the least used one.

        Raises ConnectionLimitError if none is available.
        """
        request_id = spec.request.request_id.encode()
        usable = [each for each in self.connections.get(spec.member, []) if each.can_accept(request_id)]
        least_used = min(usable, key=lambda each: len(each.attempts), default=None)
        if least_used is None:
            return self._open(spec.member, address)
        if not least_used.attempts or self.count >= self.max_connections:
            return least_used
        if spec.needs_own_connection or len(usable) < self._max_per_member():
            return self._open(spec.member, address)
        return least_used

    def _open(self, member: str, address: tuple[str, int]) -> CacheConnection:
        if self.count >= self.max_connections:
            self._close_one_idle()
        if self.count >= self.max_connections + MAX_EXCESS_CONNECTIONS:
            raise ConnectionLimitError(self.count)
        connection = CacheConnection(self, member, address)
        self.connections.setdefault(member, []).append(connection)
        self.count += 1
        return connection

    def _max_per_member(self) -> int:
        """Return the connection limit per member, set so that every member can have connections.

        The limit is lower while a director recovers.
        """
        share = self.max_connections // (len(self.members.listed) + 1)
        limit = min(MAX_CONNECTIONS_PER_MEMBER, share)
        if self.warm_up_share is not None:
            limit = int(limit * self.warm_up_share())
        return max(MIN_CONNECTIONS_PER_MEMBER, limit)

    def _close_one_idle(self) -> None:
        """Close the connection that has been idle the longest, if any is idle."""
        idle = [each for each in self._all_connections() if not each.attempts]
        if idle:
            min(idle, key=lambda each: each.last_used_at_s).close(ConnectionCloseReason.SLOT_NEEDED)

    def _all_connections(self) -> list[CacheConnection]:
        return [each for connections in self.connections.values() for each in connections]

    def _releasable_memory(self, now_s: float) -> list[Releasable]:
        offers = [each.releasable(now_s) for each in self._all_connections()]
        return [each for each in offers if each is not None]

    def forget(self, connection: CacheConnection) -> None:
        """Remove a closed connection from the pool."""
        connections = self.connections.get(connection.member, [])
        if connection in connections:
            connections.remove(connection)
            self.count -= 1
        if not connections:
            self.connections.pop(connection.member, None)

    def on_member_changed(self, member: str) -> None:
        """Retire the connections to a member that left or restarted, as their process no longer exists."""
        for connection in self.connections.get(member, []):
            connection.is_retired = True
            if not connection.attempts:
                connection.close(ConnectionCloseReason.RETIRED)

    async def sweep(self) -> None:
        """Close connections that are stuck, stalled, idle, or retired and unused. Runs until cancelled."""
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            now_s = time.monotonic()
            for connection in self._all_connections():
                self._close_if_unusable(connection, now_s)

    def _close_if_unusable(self, connection: CacheConnection, now_s: float) -> None:
        if connection.is_answer_stuck(now_s):
            self.counters.add("bad.stuck")
            connection.close(ConnectionCloseReason.ANSWER_STALLED)
        if connection.writes.is_stalled(now_s, WRITE_STALL_LIMIT_S):
            connection.close(ConnectionCloseReason.WRITE_STALLED)
        if connection.attempts or connection.writes.pending_bytes:
            return
        if connection.is_retired:
            connection.close(ConnectionCloseReason.RETIRED)
        elif connection.last_used_at_s < now_s - IDLE_LIMIT_S:
            connection.close(ConnectionCloseReason.IDLE)

    async def close(self) -> None:
        """Close all connections and wait until they are closed."""
        connections = self._all_connections()
        for connection in connections:
            connection.close(ConnectionCloseReason.CLOSING)
        tasks = [connection.task for connection in connections]
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.gather(*tasks, return_exceptions=True)
