"""A follower of the distribution feed over TCP: between sockets and the state machine."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from typing import Protocol, cast

from onyxwick import logs
from onyxwick.config.address import Address, written
from onyxwick.core.backoff import BackoffPolicy, ReconnectBackoff
from onyxwick.core.clock import steady_us
from onyxwick.counters import Counters
from onyxwick.distribution.codec import HEAD_BYTES, stub_of
from onyxwick.distribution.follower import (
    Action,
    ConnectToParent,
    DeliverEvent,
    DisconnectFromParent,
    Follower,
    InstallSnapshot,
    RefreshFreshness,
    SendLine,
)
from onyxwick.distribution.model import MAX_LINE_BYTES, FeedEvent, Freshness
from onyxwick.distribution.replica import FeedSnapshot

log = logs.get()
FIRST_RETRY_US = 100_000
MAX_RETRY_US = 1_000_000


class FeedSink(Protocol):
    """Takes what a follower delivers, in order."""

    def deliver(self, event: FeedEvent, from_snapshot: bool) -> None:
        """One event, or a purge of a snapshot that is still being loaded."""
        ...

    def install(self, snapshot: FeedSnapshot) -> None:
        """A whole state, in place of all that was delivered before."""
        ...

    def refresh(self, freshness: Freshness) -> None:
        """The publisher was reached."""
        ...


class ReconnectDelays:
    """The follower's waits: exponential backoff with full jitter, from the director's own pacing."""

    def __init__(self, seed: int, now: int) -> None:
        self._backoff = ReconnectBackoff(
            seed, now, BackoffPolicy(max_delay_us=MAX_RETRY_US), director_count=1
        )

    def next_delay_us(self) -> int:
        """The wait before the next attempt, in microseconds."""
        return self._backoff.next_delay_us(FIRST_RETRY_US)

    def reset(self) -> None:
        """A connection has worked."""
        self._backoff.reset()


class _Connection(asyncio.Protocol):
    """One connection to a parent; hands whole lines on."""

    def __init__(self, owner: Subscription) -> None:
        self.owner = owner
        self.transport: asyncio.Transport | None = None
        self._rest = bytearray()
        self._oversized = b""  # the beginning of a line that is too long, while the rest of it is passed over

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast("asyncio.Transport", transport)  # uvloop's own does not inherit from it

    def data_received(self, data: bytes) -> None:
        self._rest += data
        end = self._rest.rfind(b"\n")
        if end < 0:
            self._bound()
            return
        lines = bytes(self._rest[:end]).split(b"\n")
        del self._rest[: end + 1]
        if self._oversized:
            lines[0], self._oversized = stub_of(self._oversized), b""
        self.owner.received(self, lines)

    def _bound(self) -> None:
        """Keep of a line that is too long only its beginning."""
        if self._oversized:
            self._rest.clear()
        elif len(self._rest) > MAX_LINE_BYTES:
            self._oversized = bytes(self._rest[:HEAD_BYTES])
            self._rest.clear()

    def connection_lost(self, exc: Exception | None) -> None:
        self.owner.connection_failed(self, repr(exc) if exc is not None else "closed by the parent")


class Subscription:
    """Keeps one follower connected until cancelled. `on_line` is called with each line that comes."""

    def __init__(
        self,
        follower: Follower,
        parents: Sequence[Address],
        sink: FeedSink,
        counters: Counters,
        clock: Callable[[], int] = steady_us,
    ) -> None:
        self.follower, self.parents, self.sink, self.counters = follower, list(parents), sink, counters
        self.clock = clock
        self.on_line: Callable[[], None] | None = None
        self._connection: _Connection | None = None
        self._opening: asyncio.Task[None] | None = None
        self._changed = asyncio.Event()

    async def run(self, delay_us: int = 0) -> None:
        """Follow until cancelled, the first connection after a delay."""
        self._act(self.follower.start(self.clock(), delay_us))
        try:
            while True:
                await self._until_deadline()
                self._act(self.follower.tick(self.clock()))
        finally:
            self._act(self.follower.stop())

    async def _until_deadline(self) -> None:
        deadline = self.follower.deadline
        wait_s = None if deadline is None else max(0.0, (deadline - self.clock()) / 1e6)
        self._changed.clear()
        try:
            async with asyncio.timeout(wait_s):
                await self._changed.wait()
        except TimeoutError:
            pass

    # ---- the connection -------------------------------------------------------------------------------

    def _act(self, actions: Sequence[Action]) -> None:
        for action in actions:
            match action:
                case DeliverEvent() | InstallSnapshot() | RefreshFreshness():
                    self._hand_on(action)
                case ConnectToParent(parent):
                    self._opening = asyncio.get_running_loop().create_task(self._open(self.parents[parent]))
                case SendLine(data):
                    if self._connection is not None and self._connection.transport is not None:
                        self._connection.transport.write(data)
                case DisconnectFromParent(reason):
                    self._disconnect(reason)

    def _hand_on(self, action: DeliverEvent | InstallSnapshot | RefreshFreshness) -> None:
        try:
            match action:
                case DeliverEvent(event, from_snapshot):
                    self.sink.deliver(event, from_snapshot)
                case InstallSnapshot(snapshot):
                    self.sink.install(snapshot)
                case RefreshFreshness(freshness):
                    self.sink.refresh(freshness)
        except Exception:
            # An event that the sink cannot take would not be taken a second time either.
            self.counters.add("error.distribution")
            log.exception("error in an event of the distribution feed", kind=type(action).__name__)

    async def _open(self, address: Address) -> None:
        loop = asyncio.get_running_loop()
        connection = _Connection(self)
        self._connection = connection
        try:
            await loop.create_connection(lambda: connection, *address)
        except OSError as error:
            self.connection_failed(connection, repr(error))
            return
        if self._connection is connection:
            self._act(self.follower.connected(self.clock()))
            self._changed.set()

    def connection_failed(self, connection: _Connection, reason: str) -> None:
        """A connection has ended or did not come up; nothing happens if it is not the one in use."""
        if connection is not self._connection:
            return
        self._connection = None
        if connection.transport is not None:
            connection.transport.abort()
        self.counters.add("distribution.lost")
        place = self.follower.parent
        log.info("parent of the feed lost", parent=written(self.parents[place]), reason=reason)
        self._act(self.follower.lost(self.clock(), reason))
        self._changed.set()

    def _disconnect(self, reason: str) -> None:
        connection, self._connection = self._connection, None
        if self._opening is not None:
            self._opening.cancel()
        if connection is not None and connection.transport is not None:
            connection.transport.abort()
        log.info("parent of the feed given up", reason=reason)
        self._changed.set()

    def received(self, connection: _Connection, lines: Sequence[bytes]) -> None:
        """Whole lines have come on a connection."""
        for line in lines:
            if connection is not self._connection:
                return
            if line:
                self._act(self.follower.line(self.clock(), line))
        if self.on_line is not None:
            self.on_line()
