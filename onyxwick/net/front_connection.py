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
from onyxwick.net.buffer import ended, seconds_since_data, unread
from onyxwick.net.call_intake import CallIntake
from onyxwick.net.delivery import Delivery
from onyxwick.net.fastcgi_calls import answer_bytes
from onyxwick.net.write_queue import PendingWrite, WriteQueue

if TYPE_CHECKING:
    from onyxwick.net.front import FastCgiFront

log = logs.get()
HALF_S = 2.0  # a connection that has sent nothing, or nothing more of half a request, for so long is ended
HALF_MOST_S = 10.0  # the same for one that goes on sending without ending its request
IDLE_S = 4.8
"""The platform's clients close what is idle for 4 s; who holds on longer takes a place for nothing."""
FAULTS = 16  # bad input on one connection after which it is ended
FAULT_PAUSE_S = 0.02  # after bad input, times the faults so far: it comes again as fast as it is answered
LINGER_S = 0.5
"""What a client still sends is read for so long, as a close on unread bytes takes the answer away."""
READ_S = 0.01
LOOK_S = 0.05  # between two looks whether a client that is not read from has gone
PAUSE_BYTES = 2_000_000  # waiting on one connection: nothing more is read from it meanwhile
LINGER_MOST_S = 15.0  # after its written end, however much is still on its way
LAST_READ_MOST = 16  # reads of what stands in a socket, before nothing more is heard or it is closed
BY_CLIENT = frozenset(
    {
        ConnectionCloseReason.CLOSED_BY_PEER,
        ConnectionCloseReason.CONNECTION_ERROR,
        ConnectionCloseReason.WRITE_STALLED,
    }
)
"""Ends that are the client's own doing."""


class FrontConnection:
    """One connection of the front's web servers."""

    def __init__(self, front: FastCgiFront, sock: socket.socket) -> None:
        self.front, self.sock = front, sock
        self.parser = fastcgi.FastCgiParser()
        self.writes = WriteQueue(sock, front.budget)
        self.open: dict[int, RequestLifecycle | None] = {}  # by FastCGI number
        self.cell: str | None = None  # whose part of the places it takes, where there are cells
        self.ending = False  # to be closed when all that is open on it is answered
        self.hears_no_more = False  # what comes from now on crosses its end, which is about to be written
        self.deaf = False  # its records can't be told apart, or come without end: it is heard no more
        self.shut_at = 0.0  # when its end was written: what the client sends after it crossed the close
        self.end: ConnectionCloseReason | None = None  # why it ends; None: the client has closed
        self.number = front.next_connection()
        self.calls = self.faults = 0
        self.not_read_since = 0.0  # monotonic: since when what stands in its socket may have waited; else 0
        self._noted_at, self._noted_until = (
            0.0,
            math.inf,
        )  # when that was, and all bytes received and unread then
        self.delivery, self.intake = Delivery(sock), CallIntake(self)
        self.poll: select.poll | None = None  # of its socket, once it has asked for something
        self.born = self.used_at = self.half_since = time.monotonic()

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
            self.end = self.end or ConnectionCloseReason.CONNECTION_ERROR
        finally:
            writer.cancel()
            reader.cancel()
            await asyncio.gather(writer, reader, return_exceptions=True)
            self.ending = True  # closed: nobody need look at its socket, or make room by it, any more
            self._check_cut()
            self._pass_over_unread()
            self.sock.close()
            self.writes.close()
            self._tell_end()
            if self.cell is not None and self.front.holding is not None:
                self.front.holding.disconnect(self.cell)
            self._leave_all()

    def end_with(self, reason: ConnectionCloseReason) -> None:
        """It is to end, for this reason: the first one told holds."""
        self.ending, self.end = True, self.end or reason

    def _tell_end(self) -> None:
        reason = self.end or ConnectionCloseReason.CLOSED_BY_PEER
        self.front.counters.add(f"ended.client.{reason.value}")
        owed = [lifecycle.request.request_id for lifecycle in self.open.values() if lifecycle is not None]
        self.front.core.invariants.connection_closed(self.number, len(owed), reason in BY_CLIENT)
        log.info(
            "connection closed",
            connection=self.number,
            reason=reason.value,
            calls=self.calls,
            open_s=round(time.monotonic() - self.born, 3),
            owed=owed[:8],
            unwritten=self.writes.pending,
        )

    def _check_cut(self) -> None:
        """Does its close, where it is this director's doing, cut an answer that is on its way?"""
        now = time.monotonic()
        on_its_way = self.writes.pending + self.delivery.in_flight(now)
        if not on_its_way or self.end is None or self.end in BY_CLIENT or ended(self.sock):
            return
        self.front.counters.add("client.cut")
        if self.front.stage_at(now) is not ShutdownStage.CLOSE_ALL:
            self.front.core.invariants.answer_truncated(self.number, on_its_way)

    def _pass_over_unread(self) -> None:
        """A close over unread bytes would reset the connection, and take along what is still on its way."""
        with contextlib.suppress(OSError):
            for _ in range(LAST_READ_MOST):
                if not self.sock.recv(65_536):
                    return

    def lingers(self, now: float) -> bool:
        """Is it still waited for, after its end was written: for its own end, or for what is on its way?"""
        since_s = now - self.shut_at
        return since_s <= LINGER_S or (since_s <= LINGER_MOST_S and self.delivery.in_flight(now) > 0)

    def _leave_all(self) -> None:
        lives, self.open = self.open, {}
        for lifecycle in lives.values():
            if lifecycle is not None:
                self.front.core.client_departed(lifecycle)

    async def _read(self) -> None:
        loop = asyncio.get_running_loop()
        while not self.ending and await self.parser.buffer.receive_late(loop, self.sock):
            faults = self.faults
            self._take_or_fail()
            self._note_unread(self._pauses(faults))
            while self.writes.pending > PAUSE_BYTES and not self.ending:
                if await self._rest(self.writes.drained.wait(), LOOK_S):
                    return
            if self.faults > faults and not self.ending:
                pause = asyncio.sleep(FAULT_PAUSE_S * self.faults)
                if await self._rest(pause, FAULT_PAUSE_S * self.faults):
                    return
            self._note_unread(False)
        if self.ending:
            await self._end()

    def _note_unread(self, pauses: bool) -> None:
        """What stands in the socket, or comes while reading pauses, waits from now on. Once as many bytes
        have been read as stood there, what still does came after that look."""
        now, left, received = time.monotonic(), unread(self.sock), self.parser.buffer.received
        if not left and not pauses:
            self.not_read_since = 0.0
            return
        if not self.not_read_since:
            self.not_read_since = now
        elif received >= self._noted_until:
            self.not_read_since = self._noted_at
        else:
            return
        self._noted_at, self._noted_until = now, received + left

    def _pauses(self, faults: int) -> bool:
        """Is nothing read for a while, after what was just taken?"""
        return not self.ending and (self.writes.pending > PAUSE_BYTES or self.faults > faults)

    def wants(self, number: int) -> bool:
        """Does the client still wait for the answer to this call, by what stands in its socket now?

        Between two turns of the loop it may have closed, or sent an abort that nobody has read.
        """
        if number not in self.open or self.sock.fileno() < 0:
            return False
        if self.poll is None:
            self.poll = select.poll()
            self.poll.register(self.sock, select.POLLIN | select.POLLRDHUP)
        for _, events in self.poll.poll(0):
            if events & (select.POLLRDHUP | select.POLLHUP | select.POLLERR):
                self._leave_all()
                return False
            self._receive_now()
        return number in self.open

    def _receive_now(self) -> None:
        """Read and take in what stands in the socket, before the reader's turn."""
        with contextlib.suppress(OSError):  # the reader meets the same, and ends the connection
            if self.ending:
                self._hear()
            elif self.parser.buffer.receive_now(self.sock):
                self._take_or_fail()

    async def _rest(self, until: Awaitable[object], most_s: float) -> bool:
        """Read nothing until then, or for so long; True: the client has gone meanwhile, which must be
        noticed though nothing is read."""
        waiting, end = asyncio.ensure_future(until), time.monotonic() + most_s
        try:
            while time.monotonic() < end:
                await asyncio.wait({waiting}, timeout=min(LOOK_S, max(0.001, end - time.monotonic())))
                if waiting.done():
                    return False
                if ended(self.sock):
                    return True
            return False
        finally:
            waiting.cancel()

    def _take_or_fail(self) -> None:
        try:
            self._take()
        except fastcgi.FramingError as error:
            self.fault(str(error))
            self._fail_all()

    def _take(self) -> None:
        """Whatever is whole of what has come."""
        half, calls = self.parser.half, self.calls
        # One clock, then the other: a stop in between, or after both, makes nothing younger than it is.
        read_us, self.used_at = self.front.core.now(), time.monotonic()
        self.arrived_us = read_us - int(self._may_have_waited(self.used_at) * 1e6)
        for message in self.parser.messages():
            self._message(message)
            if self.deaf:
                return
        if not half or self.calls > calls:
            self.half_since = self.used_at

    def _may_have_waited(self, now: float) -> float:
        """How many seconds what was just read may have stood in the socket."""
        since = self.front.core.stalls.observe(now)
        if self.not_read_since:
            since = min(since, self.not_read_since)
        if since >= now:
            return 0.0
        # The system knows when the last bytes came; with calls before them in one read that is not enough.
        alone = self.parser.one_call_waits() and not unread(self.sock)
        told = seconds_since_data(self.sock) if alone else None
        return now - since if told is None else min(now - since, told)

    async def _end(self) -> None:
        """Answer what is open, write the end behind it, and read on to the client's own end, bounded: a close
        over unread bytes would take the last answer along."""
        loop = asyncio.get_running_loop()
        while self.open or self.writes.pending:
            self.answered = loop.create_future()
            until = self.answered if self.open else self.writes.drained.wait()
            if await self._rest(until, LOOK_S) or (self.open and not self._hear()):
                return  # with nothing owed it is heard no more: else one that goes on calling would never end
        self.shut_at = self.shut_at or time.monotonic()
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_WR)
            await self._linger(loop)

    async def _linger(self, loop: asyncio.AbstractEventLoop) -> None:
        """Read on and pass over what still comes, until the client ends its side or is waited for no more."""
        while self.lingers(time.monotonic()):
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(LOOK_S):
                    if not await loop.sock_recv(self.sock, 65_536):
                        return
            await asyncio.sleep(READ_S)  # what comes without end takes a share of the core at most

    def _hear(self) -> bool:
        """While it ends, aborts are heard and new calls refused; False: the client has gone."""
        try:
            more = self.sock.recv(65_536)
        except BlockingIOError:
            return True
        if more and not self.deaf:
            self.parser.buffer.feed(more)
            try:
                for message in self.parser.messages():
                    if not isinstance(message, fastcgi.FastCgiReply):
                        self._message(message)
            except fastcgi.FramingError:
                self.deaf = True
        return bool(more)

    def _message(self, message: fastcgi.Message) -> None:
        match message:
            case fastcgi.FastCgiCall():
                self.calls += 1
                self.intake.take(message)
            case fastcgi.FastCgiAbort(number):
                lifecycle = self.open.pop(number, None)
                self.send(number, fastcgi.end_request(number))
                if lifecycle is not None:
                    self.front.core.client_departed(lifecycle)
            case fastcgi.FastCgiReply(data, fault, last):
                self.writes.post(PendingWrite(data))
                if fault:
                    self.fault(fault)
                self.deaf |= last
                if last:
                    self.end_with(ConnectionCloseReason.BAD_INPUT)

    def fault(self, text: str) -> None:
        """Bad input came: the connection ends with one too many."""
        self.front.bad(text)
        self.faults += 1
        if self.faults >= FAULTS:
            self.end_with(ConnectionCloseReason.BAD_INPUT)

    def _fail_all(self) -> None:
        """The records can't be told apart any more: what is open is answered, and the connection ends."""
        numbers = list(self.parser.open)
        self._leave_all()
        for number in numbers:
            self.send(number, fastcgi.answer(number, "400 Bad Request", {}, b""))
        self.parser.partial.clear()
        self.deaf = True
        self.end_with(ConnectionCloseReason.BAD_INPUT)

    answered: asyncio.Future[None] | None = None
    arrived_us = 0  # when what is being taken in came, in steady microseconds: at that time, or before it

    def send(self, number: int, data: bytes) -> None:
        """Post the answer to a call."""
        self.parser.open.discard(number)
        if self.shut_at:
            return  # its end has been written: nothing more can be
        self.used_at = time.monotonic()
        holding = self.front.holding
        release = holding.hold(self.cell, len(data)) if holding is not None and self.cell else None
        if self.front.ending is not None and not self.open:
            release = partial(self._written, release)
        self.writes.post(PendingWrite(data, release=release))
        if self.answered is not None and not self.answered.done():
            self.answered.set_result(None)

    def _written(self, release: Callable[[], None] | None) -> None:
        """The last answer owed has been written while the front ends: the connection ends if it may."""
        if release is not None:
            release()
        now = time.monotonic()
        self.advance(self.front.stage_at(now), now, gives_back=False, must_end=False)

    # ---- its end -----------------------------------------------------------------------------------------

    def advance(self, stage: ShutdownStage, now: float, gives_back: bool, must_end: bool) -> None:
        """What this stage of the front's ending asks for. `gives_back`: what is owed may get final answers;
        `must_end`: also what may have run and must not be repeated."""
        if stage is ShutdownStage.SERVING or self.shut_at:
            return
        self.delivery.in_flight(now)  # noted also while more is owed
        if self.open and stage < ShutdownStage.RELEASE_REQUESTS:
            return
        if self.hears_no_more:
            return self.close_when_written(now, ConnectionCloseReason.CLOSING)
        if self.ending and not self.open:
            return  # `_end` is at it
        match next_step(stage, self._state(now)):
            case ConnectionStep.RELEASE_REQUESTS if gives_back:
                self._give_back(must_end)
            case ConnectionStep.READ_REMAINING:
                self._hear_last()
                self.close_when_written(now, ConnectionCloseReason.CLOSING)
            case ConnectionStep.CLOSE:
                self.close_softly(now, ConnectionCloseReason.CLOSING)
            case _:
                pass

    def _state(self, now: float) -> ConnectionState:
        return ConnectionState(
            request_count=self.calls,
            unanswered=len(self.open),
            unwritten_bytes=self.writes.pending,
            since_delivered_s=self.delivery.since_many_s(now),
            has_partial_request=self.parser.half,
            has_unread_input=unread(self.sock) > 0,
            age_s=now - self.born,
            idle_s=now - self.used_at,
        )

    def _give_back(self, must_end: bool) -> None:
        for lifecycle in list(self.open.values()):
            if lifecycle is not None:
                self.front.core.release(lifecycle, must_end)

    def _hear_last(self) -> None:
        """Take in what has come, and nothing that comes after it: who goes on calling keeps nothing open."""
        for _ in range(LAST_READ_MOST):
            if not unread(self.sock):
                break
            self._receive_now()
        self.hears_no_more = True

    def close_when_written(self, now: float, reason: ConnectionCloseReason) -> None:
        """End it behind the last answer, once that has been written."""
        if not (self.open or self.writes.pending or self.shut_at):
            self.close_softly(now, reason)

    def tell_held(self, now: float, stage: str) -> None:
        """Log why the connection is still open."""
        owed = [lifecycle.request.request_id for lifecycle in self.open.values() if lifecycle is not None]
        log.info(
            "connection held",
            connection=self.number,
            stage=stage,
            open_s=round(now - self.born, 3),
            rest_s=round(now - self.used_at, 3),
            calls=self.calls,
            owed=owed[:4],
            half=self.parser.half,
            unwritten=self.writes.pending,
            in_flight=self.delivery.in_flight(now),
        )

    def close_softly(self, now: float, reason: ConnectionCloseReason) -> None:
        """End a connection that owes nothing: its end is written, and what still comes is read and passed
        over, so that no reset takes the last answer along. The client sends what crossed the close again."""
        self.end_with(reason)
        self.shut_at = now
        self.front.shut.add(self)
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_WR)

    def start(self, number: int, request: ClientRequest) -> None:
        """A request is let in: it is open until its answer."""
        self.open[number] = None
        lifecycle = self.front.core.start(request, partial(self._answer, number))
        if lifecycle is not None:
            self.open[number] = lifecycle

    def _answer(self, number: int, answer: FinalAnswer) -> None:
        del self.open[number]
        self.send(number, answer_bytes(number, answer))

    def seat(self) -> room.ConnectionSlot:
        """What decides whether it gives its place to a newcomer."""
        return room.ConnectionSlot(
            self.calls,
            len(self.open),
            self.writes.pending,
            self.parser.half,
            self.born,
            self.used_at,
            self.ending,
        )

    def free(self, now: float, rest_s: float) -> bool:
        """May it be closed with nothing lost: nothing owed, nothing unread, and at rest for so long?

        What was last sent needs its time to arrive: a close on unread bytes takes answers under way along.
        """
        if self.open or self.writes.pending or self.ending or now - self.used_at < rest_s:
            return False
        return not unread(self.sock) and not self.delivery.in_flight(now)

    def overstays(self, now: float) -> bool:
        """Does it hold a place for nothing: silent, stuck in half a request, or idle for too long?

        The platform's clients may be idle for 4 s between requests, but not before the first.
        """
        if not self.free(now, 0.0):
            return False
        if self.parser.half:
            return now - self.used_at > HALF_S or now - self.half_since > HALF_MOST_S
        if not self.calls:
            return now - self.born > HALF_S
        return now - self.used_at > IDLE_S
