"""Follows the coordinator's feed: applies its events in order and without a gap, and reconnects with backoff.

The events change the core's endpoint list or purge objects. Times are monotonic seconds unless a name ends in
`_us`.
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
from onyxwick.core.memory_account import HeldKind
from onyxwick.counters import Counters
from onyxwick.net.buffer import ReceiveBuffer
from onyxwick.net.errors import EventApplyError, FeedConnectionError
from onyxwick.net.feed_gaps import MissingEvents
from onyxwick.net.feed_lines import (
    QUOTED_LINE_BYTES,
    is_last_index_alone,
    max_line_bytes,
    max_parsed_bytes,
    parsed_bytes,
    peek_index,
    read_index,
    read_last_index,
)
from onyxwick.net.feed_race import SILENCE_LIMIT_S, FeedRace
from onyxwick.net.feed_report import FeedReport
from onyxwick.net.feed_wire import (
    CONFIGURED_EVENTS,
    INDEX,
    MALFORMED_EVENT_ERRORS,
    FeedChanges,
    newest_timestamp_us,
    read_changes,
    suspected_members,
)
from onyxwick.net.socket_state import unread_bytes, wait_readable

log = logs.get()
LINE_LIMIT_S = 10.0
"""Time limit for one line whose bytes keep arriving, such as a complete list on a slow connection."""
MAX_LINE_LIMIT_DOUBLINGS = 4
MAX_APPLY_ATTEMPTS = 3
"""An event that could not be applied in this many attempts is skipped, as the feed must progress."""
FIRST_RETRY_US = 100_000
"""Upper bound of the first wait after a lost connection.

The bound doubles with each attempt, and the wait is drawn at random below it.
"""
MAX_RETRY_US = 200_000
"""Longest wait. A coordinator that returns may be notified of a drain at once, which binds 0.5 s later."""
LINE_HANDLING_LIMIT_S = 0.005
"""Time for handling lines in one turn of the event loop. A long list in one line may exceed it."""
CATCH_UP_LIMIT_S = 0.25
"""Time limit for handling the lines that arrived while the process stalled."""
MAX_CLOCK_STEP_US = 86_400_000_000
"""This machine's clock may be behind the feed's clock by up to this much."""
US_PER_S = 1e6
UNKNOWN_ADDRESS: Address = ("", 0)


class CoordinatorFeed:
    """The subscription to one coordinator.

    `backoff` draws random waits between connection attempts, so that directors that lost the feed at the same
    time do not all reconnect at the same time. `initial_delay_us` is the delay before the first connection,
    for a director that can serve meanwhile and may restart together with many others. `on_line` is called for
    each line that the feed sends.
    """

    def __init__(self, core: RequestEngine, counters: Counters, seed: int = 0, directors: int = 1) -> None:
        self.core = core
        self.counters = counters
        self.address = UNKNOWN_ADDRESS
        self._followed_address = UNKNOWN_ADDRESS  # the address of the present connection
        policy = BackoffPolicy(max_delay_us=MAX_RETRY_US)
        self.backoff = ReconnectBackoff(seed, core.now(), policy, directors)
        self.initial_delay_us = 0
        self.last_index = 0  # index of the last event applied or skipped
        self.announced_index = 0  # the index last announced on a line without an event
        self.doubted_index = 0  # announced on several connections, while its event never came
        self.on_line: Callable[[], None] | None = None
        self.sock: socket.socket | None = None  # socket of the connection that receives lines
        self.race: FeedRace | None = None  # while a connection is being established
        self.buffer = ReceiveBuffer()
        self.held = core.memory.held[HeldKind.FEED]
        self.max_line_bytes = max_line_bytes(core.memory.limit_bytes)
        self.max_parsed_bytes = max_parsed_bytes(core.memory.limit_bytes)
        self._is_line_dropped = False  # the line that is being received was too long; its rest is discarded
        self.line_started_s = 0.0
        self.line_limit = DoublingTimeout(LINE_LIMIT_S, MAX_LINE_LIMIT_DOUBLINGS)
        self.stamps = FeedTimestamps()
        self.report = FeedReport(core)
        self.missing = MissingEvents(counters)
        self.apply_failures = 0  # failed attempts to apply the next event
        self._silence_limit: asyncio.Timeout | None = None  # of the current connection
        core.guard.read_pending_feed = self.catch_up

    # ---- events ------------------------------------------------------------------------------------------

    def load_configured(self, known: dict[str, Any]) -> None:
        """Apply the feed's events from before this director's start, which the configuration contains."""
        events = known.get(CONFIGURED_EVENTS) or ()
        now_us = self.core.now()
        if newest_us := newest_timestamp_us(events, now_us + MAX_CLOCK_STEP_US):
            self.stamps.set_newest_known(newest_us, now_us)
        for event in events:
            for _ in range(MAX_APPLY_ATTEMPTS):
                with contextlib.suppress(EventApplyError):
                    self._apply_configured(event)
                    break
        try:
            self.last_index = max(self.last_index, read_index(known.get(INDEX) or 0))
        except MALFORMED_EVENT_ERRORS as error:
            self.report_bad_input(f"index of the configured events: {error!r}")

    def _apply_configured(self, event: dict[str, Any]) -> None:
        try:
            self.apply(event)
        except MALFORMED_EVENT_ERRORS as error:  # without a valid index
            self.report_bad_input(f"configured event: {error!r}")

    def apply(self, event: dict[str, Any]) -> None:
        """Apply one event. An event that cannot be decoded is counted and skipped, as a retry would not help.

        Raises EventApplyError if applying it failed and it should be requested again. Raises one of
        `MALFORMED_EVENT_ERRORS` if it has no valid index.
        """
        index = read_index(event[INDEX])
        if index <= self.last_index:
            return
        try:
            changes = read_changes(event, self.stamps, self.core.now(), self.report_bad_input)
        except MALFORMED_EVENT_ERRORS as error:
            self.report_bad_input(f"event {index}: {error!r}")
            changes = FeedChanges(None, None)
        try:
            self._apply_changes(changes)
        except Exception as error:  # a routing fault must not end the feed: retried, then skipped
            self.counters.add("error.event")
            log.exception("feed event failed", index=index)
            self.apply_failures += 1
            if self.apply_failures < MAX_APPLY_ATTEMPTS:
                raise EventApplyError(index) from error
        self.last_index = index
        self.apply_failures = 0
        self.report.applied(index)

    def _apply_changes(self, changes: FeedChanges) -> None:
        if changes.endpoints is not None:
            self.core.feed.apply_endpoints(changes.endpoints.change, changes.endpoints.addresses)
        if changes.purge is not None:
            self.core.feed.apply_purge(changes.purge.group, changes.purge.name, changes.purge.made_at_us)

    def report_bad_input(self, text: str) -> None:
        """Count and log invalid input from the coordinator."""
        self.counters.add("bad.coordinator")
        log.warning("invalid coordinator input", detail=text)

    def handle_line(self, text: bytes) -> None:
        """Apply one line, which is an event or just the feed's last index.

        Raises FeedConnectionError if events are missing or an event could not be applied.
        """
        if (needed_bytes := parsed_bytes(text)) > self.max_parsed_bytes:
            self._skip_event(
                text, f"line needs {needed_bytes} bytes, at most {self.max_parsed_bytes} are allowed"
            )
            return
        try:
            document = ujson.loads(text)
            if is_last_index_alone(document):
                self._on_announced_index(read_last_index(document))
            elif isinstance(document, dict):
                self._check_sequence(read_index(document[INDEX]))
                self.apply(document)
            else:
                self.report_bad_input(f"line is neither an index nor an event: {text[:QUOTED_LINE_BYTES]!r}")
        except MALFORMED_EVENT_ERRORS as error:
            self.report_bad_input(f"{error!r} in {text[:QUOTED_LINE_BYTES]!r}")

    def _skip_event(self, head: bytes, reason: str) -> None:
        """Report an event that is too large, and skip it by the index in its first bytes.

        Otherwise it would be missed, requested again and skipped only on the fourth connection, or never.
        """
        self.report_bad_input(f"{reason}: {head[:QUOTED_LINE_BYTES]!r}")
        self.counters.add("feed.skipped")
        if peek_index(head) == self.last_index + 1:
            self.last_index += 1
            self.report.applied(self.last_index)

    def _check_sequence(self, index: int) -> None:
        """Raise FeedConnectionError if events before this one are missing, or skip them."""
        if index > self.last_index + 1:
            self._skip_missing(index)
        self.missing.connections = 0

    def _skip_missing(self, next_index: int) -> None:
        self.missing.skip(self.last_index + 1, next_index)
        self.last_index = next_index - 1
        self.report.applied(self.last_index)

    def _on_announced_index(self, index: int) -> None:
        """Record the feed's last index.

        Raises FeedConnectionError if an event was not received that an earlier line announced. After several
        connections the announcement is taken for an error: no event is skipped because of it.
        """
        if index < self.doubted_index:
            self.doubted_index = 0
        if self.last_index < self.announced_index and self.doubted_index < self.announced_index:
            self.missing.skip(self.last_index + 1, self.announced_index + 1)
            self.doubted_index = self.announced_index
        self.announced_index = index
        has_all = self.last_index >= index or self.doubted_index >= index
        if has_all:
            self.missing.connections = 0
            self.stamps.mark_caught_up(self.core.now())
            self.core.feed.clear_suspects()
        self.report.announced(index, index if has_all else self.last_index)

    # ---- connection --------------------------------------------------------------------------------------

    def set_address(self, address: Address) -> None:
        """Follow the feed at another address from now on. The indices continue after the last one applied."""
        if address == self.address:
            return
        self.address = address
        limit = self._silence_limit
        if limit is not None and not limit.expired():  # an expired limit closes the connection anyway
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
                self._report_loss(error)
            except Exception as error:  # the feed's task must outlive any fault in one connection
                self.counters.add("error.coordinator")
                log.exception("feed handling failed")
                self._report_loss(error)
            finally:
                self._silence_limit = None
            await asyncio.sleep(self.backoff.next_delay_us(FIRST_RETRY_US) / US_PER_S)

    def _report_loss(self, error: Exception) -> None:
        has_moved = self.address != self._followed_address
        self.report.lost(error, was_closed=has_moved or not isinstance(error, TimeoutError))

    async def _follow_once(self) -> None:
        address = self._followed_address = self.address
        self.report.connecting()
        self.announced_index = 0
        self.buffer = ReceiveBuffer()
        self._is_line_dropped = False
        self.race = FeedRace(address, lambda: b"follow %d\n" % self.last_index, self.report.connected)
        async with asyncio.timeout(None) as self._silence_limit:
            sock = await self.race.run()
        with sock:
            self.sock = sock
            self.race = None
            try:
                await self._read_lines(asyncio.get_running_loop(), sock, address)
            finally:
                self.sock = None
                self.core.feed.suspect_members(suspected_members(self.buffer.peek(len(self.buffer))))

    async def _read_lines(
        self, loop: asyncio.AbstractEventLoop, sock: socket.socket, address: Address
    ) -> None:
        """Handle lines until the connection fails or the feed's address changes.

        Any received bytes count as progress, as a complete list may arrive slowly.
        """
        self.line_started_s = time.monotonic()
        while address == self.address:
            await self._wait_for_bytes(loop, sock)
            if address != self.address:
                break
            with contextlib.suppress(BlockingIOError):  # `catch_up` has already read the bytes
                self._receive(sock)
            self.held.held_bytes = len(self.buffer.data)
            while self._handle_lines(LINE_HANDLING_LIMIT_S):
                await asyncio.sleep(0)  # other tasks run before the next line
            self._check_partial_line()
        raise FeedConnectionError("the feed's address has changed")

    def _receive(self, sock: socket.socket) -> None:
        """Read once. Raises FeedConnectionError at the end, BlockingIOError if nothing is to be read."""
        if not self.buffer.receive_available(sock):
            raise FeedConnectionError("connection closed by the coordinator")
        self.report.received()

    def _check_partial_line(self) -> None:
        """Drop a partial line that is too long. Raise FeedConnectionError if it takes too long to arrive."""
        self.buffer.expected_bytes = self.max_line_bytes
        if len(self.buffer) > self.max_line_bytes:
            if not self._is_line_dropped:
                self._skip_event(
                    self.buffer.peek(QUOTED_LINE_BYTES), f"line exceeds {self.max_line_bytes} bytes"
                )
            self._is_line_dropped = True
            self.buffer.release()
            return
        if not len(self.buffer):
            self.line_started_s = time.monotonic()
            return
        limit_s = self.line_limit.timeout_s
        if time.monotonic() - self.line_started_s > limit_s:
            self.line_limit.extend()
            raise FeedConnectionError(f"line was not complete within {limit_s:g} s")

    async def _wait_for_bytes(self, loop: asyncio.AbstractEventLoop, sock: socket.socket) -> None:
        """Wait until the socket is readable. Raises TimeoutError if nothing arrives within the silence limit.

        After a stall of the process the limit may expire although the socket has unread bytes.
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
        """Handle the complete lines received, for about `limit_s`. Returns True if more lines are left.

        Raises FeedConnectionError if the connection can no longer be used.
        """
        deadline_s = time.monotonic() + limit_s
        handled = False
        while (size := self.buffer.find(b"\n")) >= 0:
            if time.monotonic() > deadline_s:
                return True
            handled = True
            line = self.buffer.take(size + 1).strip()
            if self._is_line_dropped:
                self._is_line_dropped = False
            elif line:
                self.handle_line(line)
                if self.on_line is not None:
                    self.on_line()
                self.backoff.reset()
                self.line_limit.reset()
            self.line_started_s = time.monotonic()
        if handled:
            self.report.applied_lines(has_partial_line=len(self.buffer) > 0)
        return False

    def catch_up(self) -> None:
        """Handle the bytes in the feed's socket without waiting for its reader, within `CATCH_UP_LIMIT_S`."""
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
        except Exception:  # the caller is about to send a request, which must not fail because of this
            self.counters.add("error.coordinator")
            log.exception("feed handling failed")
        with contextlib.suppress(OSError):
            sock.shutdown(socket.SHUT_RDWR)  # wakes the reader, which reconnects

    def _receive_lines(self, sock: socket.socket) -> None:
        """Read and handle lines. Raises BlockingIOError if the socket has no more bytes."""
        deadline_s = time.monotonic() + CATCH_UP_LIMIT_S
        while True:
            has_more = self._handle_lines(max(0.0, deadline_s - time.monotonic()))
            if has_more or time.monotonic() >= deadline_s:
                return
            if not self.buffer.receive_available(sock):
                return  # the reader also detects the end of the stream
            self.report.received()
