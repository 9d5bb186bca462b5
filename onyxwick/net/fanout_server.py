"""Serves the subscribers of a distribution node over TCP, with one protocol object per connection.

`FanOut` decides which bytes are sent and when. This module reads requests and writes while sockets accept
bytes.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import cast

from onyxwick import logs
from onyxwick.config.address import Address
from onyxwick.core.clock import steady_us
from onyxwick.counters import Counters
from onyxwick.distribution.codec import decode_follow
from onyxwick.distribution.fanout import FanOut, Subscriber
from onyxwick.distribution.model import MalformedLineError

log = logs.get()
ACCEPT_BACKLOG = 1024
MAX_REQUEST_BYTES = 64
ADMISSION_SLACK_S = 0.001
"""Added to the wait until a subscriber is admitted, so that the timer does not fire early."""
US_PER_S = 1e6
SUBSCRIBER_CHECK_INTERVAL_S = 0.05
"""Interval between two checks for due heartbeats and stalled subscribers."""


class _SubscriberConnection(asyncio.Protocol):
    """One subscriber's connection. Reads `follow N`, then writes whenever the socket accepts bytes."""

    def __init__(self, server: FanOutServer) -> None:
        self.server = server
        self.subscriber: Subscriber | None = None
        self.transport: asyncio.Transport | None = None
        self._request: bytearray | None = bytearray()
        self._paused = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the subscriber, or close the connection if the node has its maximum of subscribers."""
        self.transport = cast("asyncio.Transport", transport)  # uvloop's transport does not inherit from it
        self.transport.set_write_buffer_limits(high=self.server.fanout.limits.high_water_bytes)
        self.subscriber = self.server.fanout.on_connected(self.server.clock())
        if self.subscriber is None:
            self.transport.abort()
        else:
            self.server.connections.add(self)

    def data_received(self, data: bytes) -> None:
        """Collect the request line. Bytes after it are ignored."""
        if self._request is None:
            return  # a follower sends nothing after its request; other bytes are ignored
        self._request += data
        end = self._request.find(b"\n")
        if end < 0 and len(self._request) <= MAX_REQUEST_BYTES:
            return
        line = bytes(self._request[: max(0, end)])
        self._request = None
        self._follow(line)

    def _follow(self, line: bytes) -> None:
        assert self.subscriber is not None
        assert self.transport is not None
        server = self.server
        now_us = server.clock()
        try:
            cursor = decode_follow(line)
        except MalformedLineError as error:
            server.counters.add("bad.subscriber")
            log.warning("invalid subscriber request", detail=str(error))
            self.transport.abort()
            return
        if not server.fanout.on_follow(self.subscriber, cursor, now_us):
            self.transport.abort()
            return
        wait_s = (self.subscriber.admitted_at_us - now_us) / US_PER_S
        delay_s = wait_s + ADMISSION_SLACK_S if wait_s > 0 else 0
        asyncio.get_running_loop().call_later(delay_s, self.flush)

    def unsent_bytes(self) -> int:
        """Return the number of bytes that the socket has not accepted yet."""
        return 0 if self.transport is None else self.transport.get_write_buffer_size()

    def flush(self) -> None:
        """Write the events that the subscriber lacks, up to the limit of the write buffer."""
        server = self.server
        transport = self.transport
        subscriber = self.subscriber
        if transport is None or subscriber is None or transport.is_closing():
            return
        now_us = server.clock()
        while not self._paused:
            free_bytes = server.fanout.limits.high_water_bytes - transport.get_write_buffer_size()
            data = server.fanout.next_bytes(subscriber, free_bytes, now_us)
            if not data:
                return
            server.sent_bytes += len(data)
            transport.write(data)

    def pause_writing(self) -> None:
        """Stop writing, as the write buffer is full."""
        self._paused = True

    def resume_writing(self) -> None:
        """Continue writing, as the write buffer has drained."""
        self._paused = False
        self.flush()

    def connection_lost(self, exc: Exception | None) -> None:
        """Remove the connection and its subscriber."""
        self.server.connections.discard(self)
        if self.subscriber is not None:
            self.server.fanout.on_closed(self.subscriber)


class FanOutServer:
    """Listens for subscribers and sends them the events of the node's replica."""

    def __init__(
        self, fanout: FanOut, address: Address, counters: Counters, clock: Callable[[], int] = steady_us
    ) -> None:
        self.fanout = fanout
        self.address = address
        self.counters = counters
        self.clock = clock  # steady microseconds
        self.connections: set[_SubscriberConnection] = set()
        self.sent_bytes = 0
        self._flush_scheduled = False

    async def run(self) -> None:
        """Serve until cancelled. Raises OSError if the server cannot listen on the address."""
        loop = asyncio.get_running_loop()
        server = await loop.create_server(
            lambda: _SubscriberConnection(self), *self.address, backlog=ACCEPT_BACKLOG, reuse_address=True
        )
        async with server:
            while True:
                await asyncio.sleep(SUBSCRIBER_CHECK_INTERVAL_S)
                self._check_subscribers()

    def on_published(self) -> None:
        """Schedule sending new events to all subscribers in the next turn of the event loop.

        Called when the replica has changed. Events that arrive in one turn are sent to each subscriber in one
        write.
        """
        if not self._flush_scheduled:
            self._flush_scheduled = True
            asyncio.get_running_loop().call_soon(self._flush_all)

    def _flush_all(self) -> None:
        self._flush_scheduled = False
        for connection in list(self.connections):
            connection.flush()

    def _check_subscribers(self) -> None:
        """Send due heartbeats, and disconnect subscribers that have expired."""
        now_us = self.clock()
        line = self.fanout.heartbeat(now_us)
        for connection in list(self.connections):
            subscriber = connection.subscriber
            transport = connection.transport
            if subscriber is None or transport is None:
                continue
            unsent = connection.unsent_bytes()
            if line and unsent == 0 and self.fanout.is_current(subscriber):
                self.sent_bytes += len(line)
                transport.write(line)
            elif reason := self.fanout.close_reason(subscriber, unsent, now_us):
                self.counters.add("subscriber.expired")
                log.info("subscriber closed", reason=reason)
                transport.abort()
