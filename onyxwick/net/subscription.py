"""Connects a follower of the distribution feed to its parents over TCP.

The follower is a state machine that decides. This module performs its actions on sockets, and reports
received lines and lost connections to it.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from typing import Protocol, cast

from onyxwick import logs
from onyxwick.config.address import Address, format_address
from onyxwick.core.backoff import BackoffPolicy, ReconnectBackoff
from onyxwick.core.clock import steady_us
from onyxwick.counters import Counters
from onyxwick.distribution.codec import RETAINED_HEAD_BYTES, oversized_line_stub
from onyxwick.distribution.follower import Follower
from onyxwick.distribution.follower_actions import (
    Action,
    ConnectToParent,
    DeliverEvent,
    DisconnectFromParent,
    InstallSnapshot,
    RefreshFreshness,
    SendLine,
)
from onyxwick.distribution.model import MAX_LINE_BYTES, FeedEvent, Freshness
from onyxwick.distribution.replica import FeedSnapshot

log = logs.get()
FIRST_RETRY_US = 100_000
MAX_RETRY_US = 1_000_000
US_PER_S = 1e6


class FeedSink(Protocol):
    """Consumes the events, snapshots and freshness that a follower delivers in order."""

    def deliver(self, event: FeedEvent, from_snapshot: bool) -> None:
        """Apply one event, or a purge of a snapshot that is still being loaded."""
        ...

    def install(self, snapshot: FeedSnapshot) -> None:
        """Install a complete state, which replaces everything that was delivered before."""
        ...

    def refresh(self, freshness: Freshness) -> None:
        """Record that the publisher was reached."""
        ...


class ReconnectDelays:
    """The waits between a follower's connection attempts: exponential backoff with full jitter."""

    def __init__(self, seed: int, now_us: int) -> None:
        self._backoff = ReconnectBackoff(
            seed, now_us, BackoffPolicy(max_delay_us=MAX_RETRY_US), director_count=1
        )

    def next_delay_us(self) -> int:
        """Return the wait before the next attempt, in microseconds."""
        return self._backoff.next_delay_us(FIRST_RETRY_US)

    def reset(self) -> None:
        """Start again at the first wait, after a successful connection."""
        self._backoff.reset()


class _ParentConnection(asyncio.Protocol):
    """One connection to a parent, which splits the received bytes into complete lines."""

    def __init__(self, owner: Subscription) -> None:
        self.owner = owner
        self.transport: asyncio.Transport | None = None
        self._partial_line = bytearray()
        self._oversized = b""  # the beginning of an oversized line while its rest is skipped

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport. The follower sends the request."""
        self.transport = cast("asyncio.Transport", transport)  # uvloop's transport does not inherit from it

    def data_received(self, data: bytes) -> None:
        """Report complete lines to the owner, and buffer a partial one."""
        self._partial_line += data
        end = self._partial_line.rfind(b"\n")
        if end < 0:
            self._limit_partial_line()
            return
        lines = bytes(self._partial_line[:end]).split(b"\n")
        del self._partial_line[: end + 1]
        if self._oversized:
            lines[0] = oversized_line_stub(self._oversized)
            self._oversized = b""
        self.owner.on_lines(self, lines)

    def _limit_partial_line(self) -> None:
        """Keep only the beginning of a line that is too long."""
        if self._oversized:
            self._partial_line.clear()
        elif len(self._partial_line) > MAX_LINE_BYTES:
            self._oversized = bytes(self._partial_line[:RETAINED_HEAD_BYTES])
            self._partial_line.clear()

    def connection_lost(self, exc: Exception | None) -> None:
        """Report the end of the connection to the owner."""
        self.owner.on_connection_failed(self, repr(exc) if exc is not None else "closed by the parent")


class Subscription:
    """Keeps one follower connected until cancelled. `on_line` is called after lines were received."""

    def __init__(
        self,
        follower: Follower,
        parents: Sequence[Address],
        sink: FeedSink,
        counters: Counters,
        clock: Callable[[], int] = steady_us,
    ) -> None:
        self.follower = follower
        self.parents = list(parents)
        self.sink = sink
        self.counters = counters
        self.clock = clock  # steady microseconds
        self.on_line: Callable[[], None] | None = None
        self.on_lost: Callable[[str], None] | None = None
        """Called with the reason when the connection in use has ended, or none could be established."""
        self._connection: _ParentConnection | None = None
        self._connect_task: asyncio.Task[None] | None = None
        self._deadline_changed = asyncio.Event()

    async def run(self, delay_us: int = 0) -> None:
        """Follow until cancelled. The first connection is opened after `delay_us`."""
        self._perform(self.follower.start(self.clock(), delay_us))
        try:
            while True:
                await self._wait_for_deadline()
                self._perform(self.follower.on_tick(self.clock()))
        finally:
            self._perform(self.follower.stop())

    async def _wait_for_deadline(self) -> None:
        deadline = self.follower.deadline_us
        wait_s = None if deadline is None else max(0.0, (deadline - self.clock()) / US_PER_S)
        self._deadline_changed.clear()
        try:
            async with asyncio.timeout(wait_s):
                await self._deadline_changed.wait()
        except TimeoutError:
            pass

    # ---- connection -----------------------------------------------------------------------------------

    def _perform(self, actions: Sequence[Action]) -> None:
        for action in actions:
            match action:
                case DeliverEvent() | InstallSnapshot() | RefreshFreshness():
                    self._deliver_to_sink(action)
                case ConnectToParent(parent):
                    self._connect_task = asyncio.get_running_loop().create_task(
                        self._open(self.parents[parent])
                    )
                case SendLine(data):
                    if self._connection is not None and self._connection.transport is not None:
                        self._connection.transport.write(data)
                case DisconnectFromParent(reason):
                    self._disconnect(reason)

    def _deliver_to_sink(self, action: DeliverEvent | InstallSnapshot | RefreshFreshness) -> None:
        try:
            match action:
                case DeliverEvent(event, from_snapshot):
                    self.sink.deliver(event, from_snapshot)
                case InstallSnapshot(snapshot):
                    self.sink.install(snapshot)
                case RefreshFreshness(freshness):
                    self.sink.refresh(freshness)
        except Exception:  # the sink's fault must not end the feed; a second delivery would fail too
            self.counters.add("error.distribution")
            log.exception("distribution event failed", kind=type(action).__name__)

    async def _open(self, address: Address) -> None:
        loop = asyncio.get_running_loop()
        connection = _ParentConnection(self)
        self._connection = connection
        try:
            await loop.create_connection(lambda: connection, *address)
        except OSError as error:
            self.on_connection_failed(connection, repr(error))
            return
        if self._connection is connection:
            self._perform(self.follower.on_connected(self.clock()))
            self._deadline_changed.set()

    def on_connection_failed(self, connection: _ParentConnection, reason: str) -> None:
        """Handle the end of the connection in use, or the failure to open it; ignore any other connection."""
        if connection is not self._connection:
            return
        self._connection = None
        if connection.transport is not None:
            connection.transport.abort()
        self.counters.add("distribution.lost")
        address = self.parents[self.follower.parent]
        log.info("feed parent lost", parent=format_address(address), reason=reason)
        self._perform(self.follower.on_connection_lost(self.clock(), reason))
        self._deadline_changed.set()
        if self.on_lost is not None:
            self.on_lost(reason)

    def _disconnect(self, reason: str) -> None:
        connection = self._connection
        self._connection = None
        if self._connect_task is not None:
            self._connect_task.cancel()
        if connection is not None and connection.transport is not None:
            connection.transport.abort()
        log.info("feed parent disconnected", reason=reason)
        self._deadline_changed.set()
        if self.on_lost is not None:
            self.on_lost(reason)

    def on_lines(self, connection: _ParentConnection, lines: Sequence[bytes]) -> None:
        """Pass complete lines of the connection in use to the follower; ignore those of any other."""
        for line in lines:
            if connection is not self._connection:
                return
            if line:
                self._perform(self.follower.on_line(self.clock(), line))
        if self.on_line is not None:
            self.on_line()
