"""One connection of the platform's web servers: calls read from it, answers written to it, its end."""

from __future__ import annotations

import asyncio
import contextlib
import math
import select
import socket
import time
from collections.abc import Awaitable, Callable
from functools import partial
from typing import TYPE_CHECKING

from onyxwick import logs
from onyxwick.core import ClientRequest, FinalAnswer, RequestLifecycle
from onyxwick.core.reasons import ConnectionCloseReason
from onyxwick.core.shutdown import ConnectionState, ConnectionStep, ShutdownStage, next_step
from onyxwick.net import connection_slots as room
from onyxwick.net import fastcgi
from onyxwick.net.buffer import is_closed_by_peer, seconds_since_received, unread_bytes
from onyxwick.net.call_intake import CallIntake
from onyxwick.net.delivery import DeliveryTracker
from onyxwick.net.fastcgi_calls import encode_answer
from onyxwick.net.write_queue import PendingWrite, WriteQueue

if TYPE_CHECKING:
    from onyxwick.net.front import FastCgiFront

log = logs.get()
SILENT_LIMIT_S = (
    2.0  # a connection that has sent nothing, or nothing more of half a request, for so long is ended
)
PARTIAL_CALL_LIMIT_S = 10.0  # the same for one that goes on sending without ending its request
IDLE_LIMIT_S = 4.8
"""The platform's clients close what is idle for 4 s; who holds on longer takes a place for nothing."""
MAX_PROTOCOL_ERRORS = 16  # bad input on one connection after which it is ended
PROTOCOL_ERROR_PAUSE_S = (
    0.02  # after bad input, times the faults so far: it comes again as fast as it is answered
)
LINGER_S = 0.5
"""What a client still sends is read for so long, as a close on unread bytes takes the answer away."""
LINGER_READ_INTERVAL_S = 0.01
PEER_CHECK_INTERVAL_S = 0.05  # between two looks whether a client that is not read from has gone
PAUSE_READING_ABOVE_BYTES = 2_000_000  # waiting on one connection: nothing more is read from it meanwhile
MAX_LINGER_S = 15.0  # after its written end, however much is still on its way
MAX_FINAL_READS = 16  # reads of what stands in a socket, before nothing more is heard or it is closed
CLOSED_BY_CLIENT_REASONS = frozenset(
    {ConnectionCloseReason.CLOSED_BY_PEER, ConnectionCloseReason.BROKEN, ConnectionCloseReason.STALLED}
)
"""Ends that are the client's own doing."""


class FrontConnection:
    """One connection of the front's web servers."""

    def __init__(self, front: FastCgiFront, sock: socket.socket) -> None:
        self.front, self.sock = front, sock
        self.parser = fastcgi.FastCgiParser()
        self.writes = WriteQueue(sock, front.budget)
        self.open_calls: dict[int, RequestLifecycle | None] = {}  # by FastCGI number
        self.cell: str | None = None  # whose part of the places it takes, where there are cells
        self.is_closing = False  # to be closed when all that is open on it is answered
        self.ignores_new_calls = False  # what comes from now on crosses its end, which is about to be written
        self.stops_parsing = (
            False  # its records can't be told apart, or come without end: it is heard no more
        )
        self.half_closed_at_s = (
            0.0  # when its end was written: what the client sends after it crossed the close
        )
        self.close_reason: ConnectionCloseReason | None = None  # why it ends; None: the client has closed
        self.number = front.next_connection_number()
        self.complete_calls = self.protocol_errors = 0
        self.unread_since_s = 0.0  # monotonic: since when what stands in its socket may have waited; else 0
        self._noted_at, self._noted_until = (
            0.0,
            math.inf,
        )  # when that was, and all bytes received and unread then
        self.delivery, self.intake = DeliveryTracker(sock), CallIntake(self)
        self._poll: select.poll | None = None  # of its socket, once it has asked for something
        self.opened_at_s = self.last_active_at_s = self.partial_call_since_s = time.monotonic()

    async def run(self) -> None:
        """Serve the connection until it ends."""
        loop = asyncio.get_running_loop()
        writer, reader = loop.create_task(self.writes.run()), loop.create_task(self._read())
        try:
            done, _ = await asyncio.wait({writer, reader}, return_when=asyncio.FIRST_COMPLETED)
            for task in done:
                task.result()
        except OSError:
            self.front.counters.add("client.broken")
            self.close_reason = self.close_reason or ConnectionCloseReason.BROKEN
        finally:
            writer.cancel()
            reader.cancel()
            await asyncio.gather(writer, reader, return_exceptions=True)
            self.is_closing = True  # closed: nobody need look at its socket, or make room by it, any more
            self._report_truncated_answer()
            self._discard_unread()
            self.sock.close()
            self.writes.close()
            self._log_close()
            if self.cell is not None and self.front.reservation is not None:
                self.front.reservation.disconnect(self.cell)
            self._abandon_open_calls()

    def begin_closing(self, reason: ConnectionCloseReason) -> None:
        """It is to end, for this reason: the first one told holds."""
        self.is_closing, self.close_reason = True, self.close_reason or reason

    def _log_close(self) -> None:
        reason = self.close_reason or ConnectionCloseReason.CLOSED_BY_PEER
        self.front.counters.add(f"ended.client.{reason.value}")
        owed = [
            lifecycle.request.request_id for lifecycle in self.open_calls.values() if lifecycle is not None
        ]
        self.front.core.invariants.connection_closed(
            self.number, len(owed), reason in CLOSED_BY_CLIENT_REASONS
        )
        log.info(
            "connection closed",
            connection=self.number,
            reason=reason.value,
            calls=self.complete_calls,
            open_s=round(time.monotonic() - self.opened_at_s, 3),
            owed=owed[:8],
            unwritten=self.writes.pending_bytes,
        )

    def _report_truncated_answer(self) -> None:
        """Does its close, where it is this director's doing, cut an answer that is on its way?"""
        now = time.monotonic()
        on_its_way = self.writes.pending_bytes + self.delivery.in_flight_bytes(now)
        if (
            not on_its_way
            or self.close_reason is None
            or self.close_reason in CLOSED_BY_CLIENT_REASONS
            or is_closed_by_peer(self.sock)
        ):
            return
        self.front.counters.add("client.cut")
        if self.front.stage_at(now) is not ShutdownStage.CLOSED:
            self.front.core.invariants.answer_cut(self.number, on_its_way)

    def _discard_unread(self) -> None:
        """A close over unread bytes would reset the connection, and take along what is still on its way."""
        with contextlib.suppress(OSError):
            for _ in range(MAX_FINAL_READS):
                if not self.sock.recv(65_536):
                    return

    def is_lingering(self, now: float) -> bool:
        """Is it still waited for, after its end was written: for its own end, or for what is on its way?"""
        since_s = now - self.half_closed_at_s
        return since_s <= LINGER_S or (since_s <= MAX_LINGER_S and self.delivery.in_flight_bytes(now) > 0)

    def _abandon_open_calls(self) -> None:
        lives, self.open_calls = self.open_calls, {}
        for lifecycle in lives.values():
            if lifecycle is not None:
                self.front.core.leave(lifecycle)

    async def _read(self) -> None:
        loop = asyncio.get_running_loop()
        while not self.is_closing and await self.parser.buffer.receive_when_readable(loop, self.sock):
            faults = self.protocol_errors
            self._parse_or_fail()
            self._note_unread(self._pauses(faults))
            while self.writes.pending_bytes > PAUSE_READING_ABOVE_BYTES and not self.is_closing:
                if await self._pause_reading(self.writes.drained.wait(), PEER_CHECK_INTERVAL_S):
                    return
            if self.protocol_errors > faults and not self.is_closing:
                pause = asyncio.sleep(PROTOCOL_ERROR_PAUSE_S * self.protocol_errors)
                if await self._pause_reading(pause, PROTOCOL_ERROR_PAUSE_S * self.protocol_errors):
                    return
            self._note_unread(False)
        if self.is_closing:
            await self._close_gracefully()

    def _note_unread(self, pauses: bool) -> None:
        """What stands in the socket, or comes while reading pauses, waits from now on. Once as many bytes
        have been read as stood there, what still does came after that look."""
        now, left, received = time.monotonic(), unread_bytes(self.sock), self.parser.buffer.received_bytes
        if not left and not pauses:
            self.unread_since_s = 0.0
            return
        if not self.unread_since_s:
            self.unread_since_s = now
        elif received >= self._noted_until:
            self.unread_since_s = self._noted_at
        else:
            return
        self._noted_at, self._noted_until = now, received + left

    def _pauses(self, faults: int) -> bool:
        """Is nothing read for a while, after what was just taken?"""
        return not self.is_closing and (
            self.writes.pending_bytes > PAUSE_READING_ABOVE_BYTES or self.protocol_errors > faults
        )

    def is_awaited(self, number: int) -> bool:
        """Does the client still wait for the answer to this call, by what stands in its socket now?

        Between two turns of the loop it may have closed, or sent an abort that nobody has read.
        """
        if number not in self.open_calls or self.sock.fileno() < 0:
            return False
        if self._poll is None:
            self._poll = select.poll()
            self._poll.register(self.sock, select.POLLIN | select.POLLRDHUP)
        for _, events in self._poll.poll(0):
            if events & (select.POLLRDHUP | select.POLLHUP | select.POLLERR):
                self._abandon_open_calls()
                return False
            self._receive_available()
        return number in self.open_calls

    def _receive_available(self) -> None:
        """Read and take in what stands in the socket, before the reader's turn."""
        with contextlib.suppress(OSError):  # the reader meets the same, and ends the connection
            if self.is_closing:
                self._receive_while_closing()
            elif self.parser.buffer.receive_available(self.sock):
                self._parse_or_fail()

    async def _pause_reading(self, until: Awaitable[object], most_s: float) -> bool:
        """Read nothing until then, or for so long; True: the client has gone meanwhile, which must be
        noticed though nothing is read."""
        waiting, end = asyncio.ensure_future(until), time.monotonic() + most_s
        try:
            while time.monotonic() < end:
                await asyncio.wait(
                    {waiting}, timeout=min(PEER_CHECK_INTERVAL_S, max(0.001, end - time.monotonic()))
                )
                if waiting.done():
                    return False
                if is_closed_by_peer(self.sock):
                    return True
            return False
        finally:
            waiting.cancel()

    def _parse_or_fail(self) -> None:
        try:
            self._parse_available()
        except fastcgi.FastCgiFramingError as error:
            self.protocol_error(str(error))
            self._fail_open_calls()

    def _parse_available(self) -> None:
        """Whatever is whole of what has come."""
        half, calls = self.parser.has_partial_call, self.complete_calls
        # One clock, then the other: a stop in between, or after both, makes nothing younger than it is.
        read_us, self.last_active_at_s = self.front.core.now(), time.monotonic()
        self.arrived_us = read_us - int(self._waited_s(self.last_active_at_s) * 1e6)
        for message in self.parser.messages():
            self._handle_message(message)
            if self.stops_parsing:
                return
        if not half or self.complete_calls > calls:
            self.partial_call_since_s = self.last_active_at_s

    def _waited_s(self, now: float) -> float:
        """How many seconds what was just read may have stood in the socket."""
        since = self.front.core.stalls.turn(now)
        if self.unread_since_s:
            since = min(since, self.unread_since_s)
        if since >= now:
            return 0.0
        # The system knows when the last bytes came; with calls before them in one read that is not enough.
        alone = self.parser.has_at_most_one_call() and not unread_bytes(self.sock)
        told = seconds_since_received(self.sock) if alone else None
        return now - since if told is None else min(now - since, told)

    async def _close_gracefully(self) -> None:
        """Answer what is open, write the end behind it, and read on to the client's own end, bounded: a close
        over unread bytes would take the last answer along."""
        loop = asyncio.get_running_loop()
        while self.open_calls or self.writes.pending_bytes:
            self._answer_posted = loop.create_future()
            until = self._answer_posted if self.open_calls else self.writes.drained.wait()
            if await self._pause_reading(until, PEER_CHECK_INTERVAL_S) or (
                self.open_calls and not self._receive_while_closing()
            ):
                return  # with nothing owed it is heard no more: else one that goes on calling would never end
        self.half_closed_at_s = self.half_closed_at_s or time.monotonic()
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_WR)
            await self._linger(loop)

    async def _linger(self, loop: asyncio.AbstractEventLoop) -> None:
        """Read on and pass over what still comes, until the client ends its side or is waited for no more."""
        while self.is_lingering(time.monotonic()):
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(PEER_CHECK_INTERVAL_S):
                    if not await loop.sock_recv(self.sock, 65_536):
                        return
            await asyncio.sleep(
                LINGER_READ_INTERVAL_S
            )  # what comes without end takes a share of the core at most

    def _receive_while_closing(self) -> bool:
        """While it ends, aborts are heard and new calls refused; False: the client has gone."""
        try:
            more = self.sock.recv(65_536)
        except BlockingIOError:
            return True
        if more and not self.stops_parsing:
            self.parser.buffer.append(more)
            try:
                for message in self.parser.messages():
                    if not isinstance(message, fastcgi.FastCgiReply):
                        self._handle_message(message)
            except fastcgi.FastCgiFramingError:
                self.stops_parsing = True
        return bool(more)

    def _handle_message(self, message: fastcgi.Message) -> None:
        match message:
            case fastcgi.FastCgiCall():
                self.complete_calls += 1
                self.intake.handle(message)
            case fastcgi.FastCgiAbort(number):
                lifecycle = self.open_calls.pop(number, None)
                self.send(number, fastcgi.encode_end_request(number))
                if lifecycle is not None:
                    self.front.core.leave(lifecycle)
            case fastcgi.FastCgiReply(data, fault, last):
                self.writes.post(PendingWrite(data))
                if fault:
                    self.protocol_error(fault)
                self.stops_parsing |= last
                if last:
                    self.begin_closing(ConnectionCloseReason.BAD_INPUT)

    def protocol_error(self, text: str) -> None:
        """Bad input came: the connection ends with one too many."""
        self.front.report_bad_input(text)
        self.protocol_errors += 1
        if self.protocol_errors >= MAX_PROTOCOL_ERRORS:
            self.begin_closing(ConnectionCloseReason.BAD_INPUT)

    def _fail_open_calls(self) -> None:
        """The records can't be told apart any more: what is open is answered, and the connection ends."""
        numbers = list(self.parser.open_requests)
        self._abandon_open_calls()
        for number in numbers:
            self.send(number, fastcgi.encode_response(number, "400 Bad Request", {}, b""))
        self.parser.partial.clear()
        self.stops_parsing = True
        self.begin_closing(ConnectionCloseReason.BAD_INPUT)

    _answer_posted: asyncio.Future[None] | None = None
    arrived_us = 0  # when what is being taken in came, in steady microseconds: at that time, or before it

    def send(self, number: int, data: bytes) -> None:
        """Post the answer to a call."""
        self.parser.open_requests.discard(number)
        if self.half_closed_at_s:
            return  # its end has been written: nothing more can be
        self.last_active_at_s = time.monotonic()
        holding = self.front.reservation
        release = holding.hold(self.cell, len(data)) if holding is not None and self.cell else None
        if self.front.shutdown is not None and not self.open_calls:
            release = partial(self._last_answer_written, release)
        self.writes.post(PendingWrite(data, on_released=release))
        if self._answer_posted is not None and not self._answer_posted.done():
            self._answer_posted.set_result(None)

    def _last_answer_written(self, release: Callable[[], None] | None) -> None:
        """The last answer owed has been written while the front ends: the connection ends if it may."""
        if release is not None:
            release()
        now = time.monotonic()
        self.advance(self.front.stage_at(now), now, may_answer_open_calls=False, must_answer_all=False)

    # ---- its end -----------------------------------------------------------------------------------------

    def advance(
        self, stage: ShutdownStage, now: float, may_answer_open_calls: bool, must_answer_all: bool
    ) -> None:
        """What this stage of the front's ending asks for. `gives_back`: what is owed may get final answers;
        `must_end`: also what may have run and must not be repeated."""
        if stage is ShutdownStage.SERVING or self.half_closed_at_s:
            return
        self.delivery.in_flight_bytes(now)  # noted also while more is owed
        if self.open_calls and stage < ShutdownStage.GIVES_BACK:
            return
        if self.ignores_new_calls:
            return self.close_when_written(now, ConnectionCloseReason.CLOSING)
        if self.is_closing and not self.open_calls:
            return  # `_end` is at it
        match next_step(stage, self._state(now)):
            case ConnectionStep.GIVE_BACK if may_answer_open_calls:
                self._answer_open_calls(must_answer_all)
            case ConnectionStep.HEAR_LAST:
                self._receive_last()
                self.close_when_written(now, ConnectionCloseReason.CLOSING)
            case ConnectionStep.END:
                self.half_close(now, ConnectionCloseReason.CLOSING)
            case _:
                pass

    def _state(self, now: float) -> ConnectionState:
        return ConnectionState(
            calls=self.complete_calls,
            owed=len(self.open_calls),
            unwritten=self.writes.pending_bytes,
            delivered_s=self.delivery.seconds_since_backlog(now),
            half_call=self.parser.has_partial_call,
            unread=unread_bytes(self.sock) > 0,
            age_s=now - self.opened_at_s,
            rest_s=now - self.last_active_at_s,
        )

    def _answer_open_calls(self, must_end: bool) -> None:
        for lifecycle in list(self.open_calls.values()):
            if lifecycle is not None:
                self.front.core.give_back(lifecycle, must_end)

    def _receive_last(self) -> None:
        """Take in what has come, and nothing that comes after it: who goes on calling keeps nothing open."""
        for _ in range(MAX_FINAL_READS):
            if not unread_bytes(self.sock):
                break
            self._receive_available()
        self.ignores_new_calls = True

    def close_when_written(self, now: float, reason: ConnectionCloseReason) -> None:
        """End it behind the last answer, once that has been written."""
        if not (self.open_calls or self.writes.pending_bytes or self.half_closed_at_s):
            self.half_close(now, reason)

    def log_held(self, now: float, stage: str) -> None:
        """Log why the connection is still open."""
        owed = [
            lifecycle.request.request_id for lifecycle in self.open_calls.values() if lifecycle is not None
        ]
        log.info(
            "connection held",
            connection=self.number,
            stage=stage,
            open_s=round(now - self.opened_at_s, 3),
            rest_s=round(now - self.last_active_at_s, 3),
            calls=self.complete_calls,
            owed=owed[:4],
            half=self.parser.has_partial_call,
            unwritten=self.writes.pending_bytes,
            in_flight=self.delivery.in_flight_bytes(now),
        )

    def half_close(self, now: float, reason: ConnectionCloseReason) -> None:
        """End a connection that owes nothing: its end is written, and what still comes is read and passed
        over, so that no reset takes the last answer along. The client sends what crossed the close again."""
        self.begin_closing(reason)
        self.half_closed_at_s = now
        self.front.half_closed.add(self)
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_WR)

    def start(self, number: int, request: ClientRequest) -> None:
        """A request is let in: it is open until its answer."""
        self.open_calls[number] = None
        lifecycle = self.front.core.start(request, partial(self._answer, number))
        if lifecycle is not None:
            self.open_calls[number] = lifecycle

    def _answer(self, number: int, answer: FinalAnswer) -> None:
        del self.open_calls[number]
        self.send(number, encode_answer(number, answer))

    def slot(self) -> room.ConnectionSlot:
        """What decides whether it gives its place to a newcomer."""
        return room.ConnectionSlot(
            self.complete_calls,
            len(self.open_calls),
            self.writes.pending_bytes,
            self.parser.has_partial_call,
            self.opened_at_s,
            self.last_active_at_s,
            self.is_closing,
        )

    def is_idle(self, now: float, idle_s: float) -> bool:
        """May it be closed with nothing lost: nothing owed, nothing unread, and at rest for so long?

        What was last sent needs its time to arrive: a close on unread bytes takes answers under way along.
        """
        if (
            self.open_calls
            or self.writes.pending_bytes
            or self.is_closing
            or now - self.last_active_at_s < idle_s
        ):
            return False
        return not unread_bytes(self.sock) and not self.delivery.in_flight_bytes(now)

    def exceeds_deadline(self, now: float) -> bool:
        """Does it hold a place for nothing: silent, stuck in half a request, or idle for too long?

        The platform's clients may be idle for 4 s between requests, but not before the first.
        """
        if not self.is_idle(now, 0.0):
            return False
        if self.parser.has_partial_call:
            return (
                now - self.last_active_at_s > SILENT_LIMIT_S
                or now - self.partial_call_since_s > PARTIAL_CALL_LIMIT_S
            )
        if not self.complete_calls:
            return now - self.opened_at_s > SILENT_LIMIT_S
        return now - self.last_active_at_s > IDLE_LIMIT_S
