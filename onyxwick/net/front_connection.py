"""One connection of the platform's web servers: reads calls, writes answers, closes without losing either.

A call is open from the admission of its request until its answer is queued for writing. Times are monotonic
seconds unless a name ends in `_us`; sizes are bytes.
"""

from __future__ import annotations

import asyncio
import contextlib
import select
import socket
import time
from collections.abc import Callable
from functools import partial
from typing import Protocol

from onyxwick import logs
from onyxwick.core import ClientRequest, FinalAnswer, RequestLifecycle
from onyxwick.core.reasons import ConnectionCloseReason
from onyxwick.core.shutdown import ShutdownSchedule, ShutdownStage
from onyxwick.net import fastcgi
from onyxwick.net.arrival_clock import ArrivalClock
from onyxwick.net.call_intake import CallIntake, IntakePolicy
from onyxwick.net.close_report import report_close, report_truncated_answer
from onyxwick.net.connection_memory import ConnectionMemory, failure_in_place_of
from onyxwick.net.connection_slots import ConnectionSlot, exceeds_deadline
from onyxwick.net.delivery import DeliveryTracker
from onyxwick.net.errors import FastCgiFramingError
from onyxwick.net.fastcgi_calls import encode_answer
from onyxwick.net.fastcgi_parser import FastCgiParser
from onyxwick.net.lingering import PEER_CHECK_INTERVAL_S, discard_unread, linger, wait_unless_closed
from onyxwick.net.socket_state import PEER_GONE_EVENTS, unread_bytes
from onyxwick.net.task_race import run_until_one_ends
from onyxwick.net.write_queue import PendingWrite, WriteQueue

log = logs.get()
MAX_PROTOCOL_ERRORS = 16
"""After this many protocol errors a connection is closed."""
PROTOCOL_ERROR_PAUSE_S = 0.02
"""After a protocol error reading pauses for this time, multiplied by the number of errors so far."""
LINGER_S = 0.5
"""How long input is discarded after the end of stream: closing with unread bytes resets the connection."""
MAX_LINGER_S = 15.0
"""`LINGER_S` is extended to at most this time while answers are still in flight."""
PAUSE_READING_ABOVE_BYTES = 2_000_000
"""Reading from a connection pauses while it has more unwritten bytes than this."""
INTERNAL_ERROR = "500 Internal Server Error"
RECEIVE_BYTES = 65_536
"""The maximum size of one read while the connection is being closed."""
US_PER_S = 1e6


class ConnectionOwner(IntakePolicy, Protocol):
    """The interface of the front that owns the connection."""

    shutdown: ShutdownSchedule | None
    next_connection_number: Callable[[], int]

    def release(self, connection: FrontConnection, now_s: float) -> None:
        """Close a connection that is owed nothing, or whose client has stopped, as memory is needed."""
        ...

    def report_bad_input(self, text: str) -> None:
        """Count and log invalid input of a client."""
        ...

    def on_half_closed(self, connection: FrontConnection) -> None:
        """Record that a connection's end of stream is written; it closes once the client closes its side."""
        ...

    def on_last_answer_written(self, connection: FrontConnection) -> None:
        """Continue the shutdown of a connection whose last open call is answered."""
        ...


class FrontConnection:
    """A client connection from its accept to its close."""

    def __init__(self, owner: ConnectionOwner, sock: socket.socket) -> None:
        self.owner = owner
        self.sock = sock
        self.number = owner.next_connection_number()
        self.parser = FastCgiParser()
        self.writes = WriteQueue(sock, owner.budget)
        self.delivery = DeliveryTracker(sock)
        self.arrivals = ArrivalClock(sock, self.parser)
        self.open_calls: dict[int, RequestLifecycle | None] = {}  # by FastCGI request number
        self.cell: str | None = None  # the cell whose quota it counts towards, if there are cells
        self.complete_calls = 0
        self.protocol_errors = 0
        self.is_closing = False  # closes once all open calls are answered
        self.ignores_new_calls = False  # later calls are left to the client to repeat
        self.stops_parsing = False  # record boundaries are lost, or input may be endless
        self.half_closed_at_s = 0.0  # when the end of stream was written, or 0
        self.close_reason: ConnectionCloseReason | None = None  # None: closed by the client
        self.arrived_us = 0  # steady clock; no later than the arrival of the calls being parsed
        self.opened_at_s = time.monotonic()
        self.memory = ConnectionMemory(self.number, self.parser, self.writes, owner.memory)
        self.last_active_at_s = self.opened_at_s
        self.partial_call_since_s = self.opened_at_s
        self._answer_posted: asyncio.Future[None] | None = None
        self._poll: select.poll | None = None

    async def run(self) -> None:
        """Serve the connection until it is closed."""
        try:
            error = await run_until_one_ends(self.writes.run(), self._read())
            if isinstance(error, OSError):
                self.owner.counters.add("client.broken")
                self.close_reason = self.close_reason or ConnectionCloseReason.CONNECTION_ERROR
            elif error is not None:
                raise error
        finally:
            self._close()

    # ---- reading -----------------------------------------------------------------------------------------

    async def _read(self) -> None:
        loop = asyncio.get_running_loop()
        while not self.is_closing and await self.parser.buffer.receive_when_readable(loop, self.sock):
            errors_before = self.protocol_errors
            self._parse_or_fail()
            is_paused = self._is_backlogged() or self.protocol_errors > errors_before
            self.arrivals.note_unread(is_paused and not self.is_closing)
            while self._is_backlogged() and not self.is_closing:
                if await wait_unless_closed(self.sock, self.writes.drained.wait(), PEER_CHECK_INTERVAL_S):
                    return
            if self.protocol_errors > errors_before and not self.is_closing:
                pause_s = PROTOCOL_ERROR_PAUSE_S * self.protocol_errors
                if await wait_unless_closed(self.sock, asyncio.sleep(pause_s), pause_s):
                    return
            self.arrivals.note_unread(is_paused=False)
        if self.is_closing:
            await self._close_gracefully()

    def _is_backlogged(self) -> bool:
        return self.writes.pending_bytes > 0 and self.writes.held_bytes > PAUSE_READING_ABOVE_BYTES

    def has_unread_answers(self) -> bool:
        """Return whether answers wait for the client to read earlier ones."""
        return self.writes.pending_bytes > 0

    def is_awaited(self, number: int) -> bool:
        """Return whether the client still waits for the answer to a call, by the state of the socket now:
        since the last event loop iteration the client may have closed or sent an abort not read yet."""
        if number not in self.open_calls or self.sock.fileno() < 0:
            return False
        if self._poll is None:
            self._poll = select.poll()
            self._poll.register(self.sock, select.POLLIN | select.POLLRDHUP)
        for _, events in self._poll.poll(0):
            if events & PEER_GONE_EVENTS:
                self._abandon_open_calls()
                return False
            self.receive_available()
        return number in self.open_calls

    def receive_available(self) -> None:
        """Read and handle the bytes in the socket now, without waiting for the reader task."""
        with contextlib.suppress(OSError):  # the reader task gets the same error and closes the connection
            if self.is_closing:
                self._receive_while_closing()
            elif self.parser.buffer.receive_available(self.sock):
                self._parse_or_fail()

    def _parse_or_fail(self) -> None:
        try:
            self._parse_available()
        except FastCgiFramingError as error:
            self.protocol_error(str(error))
            self._fail_open_calls()
        self.memory.update(self.last_active_at_s)

    def _parse_available(self) -> None:
        """Parse the bytes received and handle the complete messages."""
        had_partial_call = self.parser.has_partial_call
        calls_before = self.complete_calls
        # The order matters: a stall between the two clock readings or after them must not make a call look
        # younger than it is.
        read_us = self.owner.core.now()
        now_s = time.monotonic()
        self.last_active_at_s = now_s
        waited_s = self.arrivals.waited_s(now_s, self.owner.core.stalls.observe(now_s))
        self.arrived_us = read_us - int(waited_s * US_PER_S)
        for message in self.parser.messages():
            self._handle_message(message)
            if self.stops_parsing:
                return
        if not had_partial_call or self.complete_calls > calls_before:
            self.partial_call_since_s = self.last_active_at_s

    def _handle_message(self, message: fastcgi.FastCgiMessage) -> None:
        match message:
            case fastcgi.FastCgiCall():
                self.complete_calls += 1
                self._handle_call(message)
            case fastcgi.FastCgiAbort(number):
                lifecycle = self.open_calls.pop(number, None)
                self.send(number, fastcgi.encode_end_request(number))
                if lifecycle is not None:
                    self.owner.core.client_departed(lifecycle)
            case fastcgi.FastCgiReply(data, protocol_error, stop_reading):
                self.writes.post(PendingWrite(data))
                if protocol_error:
                    self.protocol_error(protocol_error)
                self.stops_parsing |= stop_reading
                if stop_reading:
                    self.begin_closing(ConnectionCloseReason.BAD_INPUT)

    def _handle_call(self, call: fastcgi.FastCgiCall) -> None:
        """Answer, reject or start one call. An internal error fails this call and none of the others."""
        try:
            # Not an attribute: a cycle of references would keep the closed connection until a collection.
            CallIntake(self, self.owner).handle(call)
        except Exception:
            number = call.request_number
            if number in self.open_calls:
                raise  # it may be under way, and then gets its answer or none
            self.owner.counters.add("error.call")
            log.exception("internal error in a call", connection=self.number)
            self.send(number, fastcgi.encode_response(number, INTERNAL_ERROR, {}, b""))

    def protocol_error(self, text: str) -> None:
        """Count and log invalid input, and close the connection after `MAX_PROTOCOL_ERRORS`."""
        self.owner.report_bad_input(text)
        self.protocol_errors += 1
        if self.protocol_errors >= MAX_PROTOCOL_ERRORS:
            self.begin_closing(ConnectionCloseReason.BAD_INPUT)

    def _fail_open_calls(self) -> None:
        """Answer all open calls with an error and close, as the record boundaries are lost."""
        numbers = list(self.parser.open_requests)
        self._abandon_open_calls()
        for number in numbers:
            self.send(number, fastcgi.encode_response(number, "400 Bad Request", {}, b""))
        self.parser.release_partial_calls()
        self.stops_parsing = True
        self.begin_closing(ConnectionCloseReason.BAD_INPUT)

    # ---- answering ---------------------------------------------------------------------------------------

    def start(self, number: int, request: ClientRequest) -> None:
        """Start an admitted request; its call is open until the answer is queued."""
        self.open_calls[number] = None
        lifecycle = self.owner.core.start(request, partial(self._answer, number))
        if lifecycle is not None:
            self.open_calls[number] = lifecycle

    def _answer(self, number: int, answer: FinalAnswer) -> None:
        del self.open_calls[number]
        answer = self.memory.limit_answer(answer)
        self.send(number, encode_answer(number, answer), failure_in_place_of(number, answer))

    def send(self, number: int, data: bytes, make_substitute: Callable[[], bytes] | None = None) -> None:
        """Queue the answer to a call; it is dropped if the end of stream is already written.

        `make_substitute` returns a shorter answer, which may be sent instead while none of `data` is written.
        """
        self.parser.open_requests.discard(number)
        if self.half_closed_at_s:
            return
        self.last_active_at_s = time.monotonic()
        reservation = self.owner.reservation
        on_released = None
        if reservation is not None and self.cell:
            on_released = reservation.reserve_bytes(self.cell, len(data))
        if self.owner.shutdown is not None and not self.open_calls:
            on_released = partial(self._last_answer_written, on_released)
        self.writes.post(PendingWrite(data, on_released=on_released, make_substitute=make_substitute))
        if self._answer_posted is not None and not self._answer_posted.done():
            self._answer_posted.set_result(None)

    def _last_answer_written(self, on_released: Callable[[], None] | None) -> None:
        if on_released is not None:
            on_released()
        self.owner.on_last_answer_written(self)

    def answer_open_calls(self, must_answer_all: bool) -> None:
        """Ask the core to give the open calls their final answers, because the director is shutting down.

        Without `must_answer_all`, calls whose request may have been executed and must not be repeated stay
        open. `connection_shutdown.advance` decides when this is called.
        """
        for lifecycle in list(self.open_calls.values()):
            if lifecycle is not None:
                self.owner.core.release(lifecycle, must_answer_all)

    def _abandon_open_calls(self) -> None:
        """Report to the core that the client no longer waits for any answer."""
        lifecycles = list(self.open_calls.values())
        self.open_calls = {}
        for lifecycle in lifecycles:
            if lifecycle is not None:
                self.owner.core.client_departed(lifecycle)

    # ---- closing -----------------------------------------------------------------------------------------

    def begin_closing(self, reason: ConnectionCloseReason) -> None:
        """Close once all open calls are answered; the first reason given is kept."""
        self.is_closing = True
        self.close_reason = self.close_reason or reason

    def half_close(self, now_s: float, reason: ConnectionCloseReason) -> None:
        """Write the end of stream on a connection without open calls, then read and discard further input.

        This avoids a reset that would discard the last answer; the client repeats a call sent meanwhile.
        """
        self.begin_closing(reason)
        self.half_closed_at_s = now_s
        self.owner.on_half_closed(self)
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_WR)

    async def _close_gracefully(self) -> None:
        """Answer open calls, write the end of stream, and wait a limited time for the client's."""
        loop = asyncio.get_running_loop()
        while self.open_calls or self.writes.pending_bytes:
            self._answer_posted = loop.create_future()
            until = self._answer_posted if self.open_calls else self.writes.drained.wait()
            if await wait_unless_closed(self.sock, until, PEER_CHECK_INTERVAL_S):
                return
            # Without open calls nothing is read, as a client that keeps sending calls would keep it open.
            if self.open_calls and not self._receive_while_closing():
                return
        self.half_closed_at_s = self.half_closed_at_s or time.monotonic()
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_WR)
            await linger(self.sock, self.is_lingering)

    def _receive_while_closing(self) -> bool:
        """Handle aborts and reject new calls. Returns False if the client has closed its side."""
        try:
            data = self.sock.recv(RECEIVE_BYTES)
        except BlockingIOError:
            return True
        if data and not self.stops_parsing:
            self.parser.buffer.append(data)
            try:
                for message in self.parser.messages():
                    if not isinstance(message, fastcgi.FastCgiReply):
                        self._handle_message(message)
            except FastCgiFramingError:
                self.stops_parsing = True
            self.memory.update(time.monotonic())
        return bool(data)

    def is_lingering(self, now_s: float) -> bool:
        """Return whether a half-closed connection still waits for the client's end or for bytes in flight."""
        since_s = now_s - self.half_closed_at_s
        return since_s <= LINGER_S or (since_s <= MAX_LINGER_S and self.delivery.in_flight_bytes(now_s) > 0)

    def _close(self) -> None:
        self.is_closing = True  # its socket is no longer checked, nor the connection evicted
        is_last_stage = self.owner.stage_at(time.monotonic()) is ShutdownStage.CLOSE_ALL
        report_truncated_answer(self, self.owner.core, self.owner.counters, is_last_stage)
        discard_unread(self.sock)
        self.sock.close()
        self.writes.close()
        self.memory.close()
        report_close(self, self.owner.core, self.owner.counters)
        if self.cell is not None and self.owner.reservation is not None:
            self.owner.reservation.disconnect(self.cell)
        self._abandon_open_calls()

    def open_request_ids(self) -> list[str]:
        """Return the ids of the requests that are not answered yet."""
        return [each.request.request_id for each in self.open_calls.values() if each is not None]

    # ---- connection slot ---------------------------------------------------------------------------------

    def slot(self) -> ConnectionSlot:
        """Return the state that decides whether the connection is evicted for a new one."""
        return ConnectionSlot(
            complete_calls=self.complete_calls,
            open_calls=len(self.open_calls),
            unwritten_bytes=self.writes.pending_bytes,
            has_partial_call=self.parser.has_partial_call,
            opened_at_s=self.opened_at_s,
            last_active_at_s=self.last_active_at_s,
            is_closing=self.is_closing,
        )

    def is_drained(self, now_s: float) -> bool:
        """Return whether a close loses nothing: no bytes are unread and none are in flight."""
        return not unread_bytes(self.sock) and not self.delivery.in_flight_bytes(now_s)

    def exceeds_deadline(self, now_s: float) -> bool:
        """Return whether the connection is silent, stuck in a partial call or idle for too long."""
        if self.open_calls or self.writes.pending_bytes or self.is_closing or now_s < self.last_active_at_s:
            return False
        if not self.is_drained(now_s):
            return False
        return exceeds_deadline(self.slot(), now_s, self.partial_call_since_s)
