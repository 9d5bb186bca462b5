"""Follows the coordinator's feed: applies its events in order and without a gap, and reconnects with backoff.

Output are changes of the endpoint list and purges, given to the core. Times are monotonic seconds unless a
name ends in `_us`.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
import time
from collections.abc import Callable
from typing import Any

import ujson

from onyxwick import logs
from onyxwick.config.address import Address
from onyxwick.core import RequestEngine
from onyxwick.core.backoff import BackoffPolicy, DoublingTimeout, ReconnectBackoff
from onyxwick.core.clock import FeedTimestamps
from onyxwick.counters import Counters
from onyxwick.net.buffer import ReceiveBuffer
from onyxwick.net.errors import EventApplyError, FeedConnectionError
from onyxwick.net.feed_race import SILENCE_LIMIT_S, FeedRace
from onyxwick.net.feed_wire import (
    CONFIGURED_EVENTS,
    INDEX,
    MALFORMED,
    FeedChanges,
    newest_stamp_us,
    read_changes,
)
from onyxwick.net.socket_state import unread_bytes, wait_readable

log = logs.get()
LINE_LIMIT_S = 10.0
"""For a line whose bytes arrive without a pause: a complete list on a slow connection."""
MAX_LINE_LIMIT_DOUBLINGS = 4
MAX_GAP_CONNECTIONS = 4
"""An event that is missing on this many connections in a row is skipped."""
MAX_APPLY_ATTEMPTS = 3
"""Of an event that cannot be applied; then it is skipped, as the feed must progress."""
FIRST_RETRY_US = 100_000
"""The first wait after a lost connection; the following ones are doubled and drawn below that bound."""
MAX_RETRY_US = 1_000_000
"""The longest wait: with a connect and a silence the feed is back well within 4 s."""
MAX_LINE_BYTES = 4_194_304
QUOTED_LINE_BYTES = 64
LINES_PER_TURN_S = 0.005
"""The time for lines in one turn of the event loop; a long list takes a turn of its own."""
CATCH_UP_LIMIT_S = 0.25
"""For what arrived during a stall of the process."""
MAX_CLOCK_STEP_US = 86_400_000_000
"""This machine's clock may be behind the feed's by so much."""
US_PER_S = 1e6
UNKNOWN_ADDRESS: Address = ("", 0)


class CoordinatorFeed:
    """The subscription to one coordinator.

    `backoff` draws the waits between attempts, so that directors that lost the feed together do not all
    reconnect together; `initial_delay_us` is waited before the first connection, where a director can serve
    meanwhile and many may restart at once. `on_line` is called with each line that the feed sends.
    """

    def __init__(self, core: RequestEngine, counters: Counters, seed: int = 0, directors: int = 1) -> None:
        self.core = core
        self.counters = counters
        self.address = UNKNOWN_ADDRESS
        policy = BackoffPolicy(max_delay_us=MAX_RETRY_US)
        self.backoff = ReconnectBackoff(seed, core.now(), policy, directors)
        self.initial_delay_us = 0
        self.last_index = 0  # of the last event applied or skipped
        self.announced_index = 0  # the last number on a line without an event
        self.on_line: Callable[[], None] | None = None
        self.sock: socket.socket | None = None  # of the connection that brings lines
        self.race: FeedRace | None = None  # while a connection is being established
        self.buffer = ReceiveBuffer()
        self.line_began_s = 0.0
        self.line_limit = DoublingTimeout(LINE_LIMIT_S, MAX_LINE_LIMIT_DOUBLINGS)
        self.stamps = FeedTimestamps()
        self.apply_failures = 0  # of the next event
        self.gap_connections = 0  # connections on which the next event was missing
        self._silence_limit: asyncio.Timeout | None = None  # of the present connection
        core.guard.read_pending_feed = self.catch_up

    # ---- events ------------------------------------------------------------------------------------------

    def load_configured(self, known: dict[str, Any]) -> None:
        """Apply the events that the configuration contains of the time before the start."""
        events = known.get(CONFIGURED_EVENTS) or ()
        now_us = self.core.now()
        if newest_us := newest_stamp_us(events, now_us + MAX_CLOCK_STEP_US):
            self.stamps.anchor(newest_us, now_us)
        for event in events:
            for _ in range(MAX_APPLY_ATTEMPTS):
                with contextlib.suppress(EventApplyError):
                    self.apply(event)
                    break
        self.last_index = max(self.last_index, int(known.get(INDEX) or 0))

    def apply(self, event: dict[str, Any]) -> None:
        """Apply one event; one that cannot be read is counted and skipped, as a repeat would not help.

        EventApplyError where applying it failed: it is to be requested again. KeyError, ValueError or
        TypeError where it has no index.
        """
        index = int(event[INDEX])
        if index <= self.last_index:
            return
        try:
            changes = read_changes(event, self.stamps, self.core.now(), self.report_bad_input)
        except MALFORMED as error:
            self.report_bad_input(f"event {index}: {error!r}")
            changes = FeedChanges(None, None)
        try:
            self._apply_changes(changes)
        except Exception as error:  # a fault in routing must not end the feed: retried, then skipped
            self.counters.add("error.event")
            log.exception("feed event failed", index=index)
            self.apply_failures += 1
            if self.apply_failures < MAX_APPLY_ATTEMPTS:
                raise EventApplyError(index) from error
        self.last_index = index
        self.apply_failures = 0
        self.core.feed.record_feed_index(index)

    def _apply_changes(self, changes: FeedChanges) -> None:
        if changes.endpoints is not None:
            self.core.feed.apply_endpoints(changes.endpoints.change, changes.endpoints.addresses)
        if changes.purge is not None:
            self.core.feed.apply_purge(changes.purge.group, changes.purge.name, changes.purge.made_at_us)

    def report_bad_input(self, text: str) -> None:
        """Count and log invalid input of the coordinator."""
        self.counters.add("bad.coordinator")
        log.warning("invalid coordinator input", detail=text)

    def handle_line(self, text: bytes) -> None:
        """Apply one line: an event, or the feed's last index alone.

        FeedConnectionError where events are missing or one could not be applied.
        """
        try:
            document = ujson.loads(text)
            if isinstance(document, dict):
                self._check_sequence(int(document[INDEX]))
                self.apply(document)
            elif isinstance(document, int):
                self._on_announced_index(document)
            else:
                self.report_bad_input(f"neither a number nor an event in {text[:QUOTED_LINE_BYTES]!r}")
        except (ValueError, KeyError, TypeError) as error:
            self.report_bad_input(f"{error!r} in {text[:QUOTED_LINE_BYTES]!r}")

    def _check_sequence(self, index: int) -> None:
        """FeedConnectionError where events are missing: they are requested again on a new connection.

        Events that are missing on `MAX_GAP_CONNECTIONS` connections are dropped: the feed must progress.
        """
        if index <= self.last_index + 1:
            self.gap_connections = 0
            return
        self.gap_connections += 1
        if self.gap_connections < MAX_GAP_CONNECTIONS:
            raise FeedConnectionError(f"found event {index}, expected {self.last_index + 1}")
        self.counters.add("error.gap")
        log.error("missing feed events skipped", first=self.last_index + 1, next=index)
        self.gap_connections = 0
        self.last_index = index - 1

    def _on_announced_index(self, index: int) -> None:
        """The feed's last index; FeedConnectionError where an event announced earlier has not arrived."""
        if self.last_index < self.announced_index:
            raise FeedConnectionError(f"event {self.announced_index} was announced and not received")
        self.announced_index = index
        if self.last_index >= index:
            self.stamps.mark_caught_up(self.core.now())

    # ---- the connection ----------------------------------------------------------------------------------

    def set_address(self, address: Address) -> None:
        """Follow the feed at another address from now on; its indices go on from the last one applied."""
        if address == self.address:
            return
        self.address = address
        limit = self._silence_limit
        if limit is not None and not limit.expired():  # an expired one closes the connection anyway
            limit.reschedule(asyncio.get_running_loop().time())

    async def follow(self) -> None:
        """Keep a connection to the feed until cancelled."""
        await asyncio.sleep(self.initial_delay_us / US_PER_S)
        while True:
            try:
                await self._follow_once()
            except (OSError, TimeoutError) as error:
                self.counters.add("coordinator.lost")
                log.info("coordinator lost", error=repr(error), last=self.last_index)
            except Exception:  # the feed's task must outlive any fault in one connection
                self.counters.add("error.coordinator")
                log.exception("feed handling failed")
            finally:
                self._silence_limit = None
            await asyncio.sleep(self.backoff.next_delay_us(FIRST_RETRY_US) / US_PER_S)

    async def _follow_once(self) -> None:
        address = self.address
        self.announced_index = 0
        self.buffer = ReceiveBuffer()
        self.race = FeedRace(address, lambda: b"follow %d\n" % self.last_index)
        async with asyncio.timeout(None) as self._silence_limit:
            sock = await self.race.run()
        with sock:
            self.sock = sock
            self.race = None
            try:
                await self._read_lines(asyncio.get_running_loop(), sock, address)
            finally:
                self.sock = None

    async def _read_lines(
        self, loop: asyncio.AbstractEventLoop, sock: socket.socket, address: Address
    ) -> None:
        """Handle line after line; any bytes are progress, as a complete list may arrive slowly."""
        self.line_began_s = time.monotonic()
        while address == self.address:
            await self._wait_for_bytes(loop, sock)
            if address != self.address:
                break
            with contextlib.suppress(BlockingIOError):  # `catch_up` has read it
                if not self.buffer.receive_available(sock):
                    raise FeedConnectionError("closed by the coordinator")
            while self._handle_lines(LINES_PER_TURN_S):
                await asyncio.sleep(0)  # other tasks run before the next line
            self._check_partial_line()
        raise FeedConnectionError("the feed's address has changed")

    def _check_partial_line(self) -> None:
        """FeedConnectionError where a line is too long or takes too long."""
        if len(self.buffer) > MAX_LINE_BYTES:
            raise FeedConnectionError(f"line of over {MAX_LINE_BYTES} bytes")
        if not len(self.buffer):
            self.line_began_s = time.monotonic()
            return
        limit_s = self.line_limit.limit_s
        if time.monotonic() - self.line_began_s > limit_s:
            self.line_limit.extend()
            raise FeedConnectionError(f"a line takes over {limit_s:g} s")

    async def _wait_for_bytes(self, loop: asyncio.AbstractEventLoop, sock: socket.socket) -> None:
        """Wait until the socket is readable; TimeoutError after a silence.

        After a stall of the process the limit expires although bytes are in the socket.
        """
        try:
            async with asyncio.timeout(SILENCE_LIMIT_S) as self._silence_limit:
                await wait_readable(loop, sock)
        except TimeoutError:
            if not unread_bytes(sock):
                raise
        finally:
            self._silence_limit = None  # an expired timeout cannot be rescheduled

    def _handle_lines(self, limit_s: float) -> bool:
        """Handle the complete lines received for about so long; True if more are left.

        FeedConnectionError where the connection is of no further use.
        """
        deadline_s = time.monotonic() + limit_s
        while (size := self.buffer.find(b"\n")) >= 0:
            if time.monotonic() > deadline_s:
                return True
            if line := self.buffer.take(size + 1).strip():
                self.handle_line(line)
                if self.on_line is not None:
                    self.on_line()
                self.backoff.reset()
                self.line_limit.reset()
            self.line_began_s = time.monotonic()
        return False

    def catch_up(self) -> None:
        """Handle what is in the feed's socket before its reader's turn, for `CATCH_UP_LIMIT_S` at most."""
        sock = self.sock
        if sock is None and self.race is not None:
            sock = self.race.first_readable()
        if sock is None:
            return
        try:
            self._receive_lines(sock)
            return
        except BlockingIOError:
            return
        except OSError as error:
            log.warning("feed connection closed", error=repr(error))
        except Exception:  # the caller is about to send a request, which must not fail for it
            self.counters.add("error.coordinator")
            log.exception("feed handling failed")
        with contextlib.suppress(OSError):
            sock.shutdown(socket.SHUT_RDWR)  # wakes the reader, which reconnects

    def _receive_lines(self, sock: socket.socket) -> None:
        """Read and handle lines; BlockingIOError where the socket has no more bytes."""
        deadline_s = time.monotonic() + CATCH_UP_LIMIT_S
        while True:
            has_more = self._handle_lines(max(0.0, deadline_s - time.monotonic()))
            if has_more or time.monotonic() >= deadline_s:
                return
            if not self.buffer.receive_available(sock):
                return  # the reader meets the end too
