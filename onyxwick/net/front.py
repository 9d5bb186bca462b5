"""The platform's front: FastCGI calls in, core requests on, answers back."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import select
import socket
import time
from collections.abc import Awaitable, Callable
from functools import partial
from typing import TYPE_CHECKING

from onyxwick import logs
from onyxwick.config.relay import SHUT_LEAST, SHUT_SHARE
from onyxwick.core import Answer, Core, Request, RequestLifecycle, Verdict
from onyxwick.core.reasons import ConnectionEnd, Refusal
from onyxwick.core.stall import STALL_S, StallWatch
from onyxwick.counters import Counters
from onyxwick.net import errors, fastcgi, room
from onyxwick.net.buffer import ended, readable, seconds_since_data, seconds_since_sent, unread
from onyxwick.net.calls import OwnerFields, answer_bytes, read_request
from onyxwick.net.listening import BACKLOG
from onyxwick.net.outbox import Outbox, Parcel, Tally

if TYPE_CHECKING:
    from onyxwick.cells.holding import Holding

log = logs.get()
STALLED_S = 10.0  # a client that takes nothing for so long is cut off
HALF_S = 2.0  # a connection that has sent nothing, or half a request, for so long is ended
IDLE_S = 4.8
"""The platform's clients close what is idle for 4 s; who holds on longer takes a place for nothing."""
UNREAD_WAIT_US = 500_000  # what is not read is cut off in seconds: no use in coming back before
FAULTS = 16  # bad input on one connection after which it is ended
FAULT_PAUSE_S = 0.02  # after bad input, times the faults so far: it comes again as fast as it is answered
LINGER_S = 0.5
"""What a client still sends is read for so long, as a close on unread bytes takes the answer away."""
READ_S = 0.01
PASSED_ON_US = 100_000  # a new call while the connection is to end: the client is told to come back so soon
LOOK_S = 0.05  # between two looks whether a client that is not read from has gone
SWEEP_S = 0.25
ACCEPT_TURN = 32  # accepted in one turn of the loop
GIVEN_UP_MOST = 8
"""Connections given up and not closed yet before more are accepted: a close takes some turns of the loop."""
PAUSE_BYTES = 2_000_000  # waiting on one connection: nothing more is read from it meanwhile
ACCEPT_WAIT_S = 0.02  # between a connection's coming up and its accept, from which on it counts
FIRST_CALL_S = 1.0  # a connection that has just come keeps its place so long while the front closes
ACCEPT_PAUSE_S = 0.05  # after an accept that failed for want of descriptors or memory
BY_CLIENT = {
    ConnectionEnd.CLOSED_BY_PEER,
    ConnectionEnd.BROKEN,
    ConnectionEnd.STALLED,
}  # whose own doing it is
ACCEPT_REST_S = 1.0  # for who waits to be accepted at the end, where accept fails meanwhile
ACCEPT_REST_MOST = 4 * BACKLOG  # accepted then at most: clients may go on coming


class Client:
    """One connection of the front's web servers."""

    def __init__(self, front: Front, sock: socket.socket) -> None:
        self.front, self.sock = front, sock
        self.parser = fastcgi.Parser()
        self.outbox = Outbox(sock, front.tally)
        self.open: dict[int, RequestLifecycle | None] = {}  # by FastCGI number
        self.cell: str | None = None  # whose part of the places it takes, where there are cells
        self.ending = False  # to be closed when all that is open on it is answered
        self.deaf = False  # its records can't be told apart, or come without end: it is heard no more
        self.shut_at = 0.0  # when its end was written: what the client sends after it crossed the close
        self.end: ConnectionEnd | None = None  # why it ends; None: the client has closed
        self.number = front.next_connection()
        self.calls = self.faults = 0
        self.not_read_since = 0.0  # monotonic: while it is not read from, or waited to be accepted; else 0
        self.poll: select.poll | None = None  # of its socket, once it has asked for something
        self.born = self.used_at = self.half_since = time.monotonic()

    async def run(self) -> None:
        loop = asyncio.get_running_loop()
        writer, reader = loop.create_task(self.outbox.run()), loop.create_task(self._read())
        try:
            done, _ = await asyncio.wait({writer, reader}, return_when=asyncio.FIRST_COMPLETED)
            for task in done:
                task.result()
        except OSError:
            self.front.counters.add("client.broken")
            self.end = self.end or ConnectionEnd.BROKEN
        finally:
            writer.cancel()
            reader.cancel()
            await asyncio.gather(writer, reader, return_exceptions=True)
            self.ending = True  # closed: nobody need look at its socket, or make room by it, any more
            self.sock.close()
            self.outbox.close()
            self._tell_end()
            if self.cell is not None and self.front.holding is not None:
                self.front.holding.disconnect(self.cell)
            self._leave_all()

    def end_with(self, reason: ConnectionEnd) -> None:
        """It is to end, for this reason: the first one told holds."""
        self.ending, self.end = True, self.end or reason

    def _tell_end(self) -> None:
        reason = self.end or ConnectionEnd.CLOSED_BY_PEER
        self.front.counters.add(f"ended.client.{reason.value}")
        owed = [lifecycle.request.id for lifecycle in self.open.values() if lifecycle is not None]
        self.front.core.invariants.connection_closed(self.number, len(owed), reason in BY_CLIENT)
        if owed:
            log.info(
                "connection closed owing", connection=self.number, reason=reason.value, requests=owed[:8]
            )

    def _leave_all(self) -> None:
        lives, self.open = self.open, {}
        for lifecycle in lives.values():
            if lifecycle is not None:
                self.front.core.leave(lifecycle)

    async def _read(self) -> None:
        loop = asyncio.get_running_loop()
        while not self.ending and await self.parser.buffer.receive_late(loop, self.sock):
            faults = self.faults
            self._take_or_fail()
            if self._pauses(faults):
                self.not_read_since = self.not_read_since or time.monotonic()
            else:
                self._all_read()
            while self.outbox.pending > PAUSE_BYTES and not self.ending:
                if await self._rest(self.outbox.drained.wait(), LOOK_S):
                    return
            if self.faults > faults and not self.ending:
                pause = asyncio.sleep(FAULT_PAUSE_S * self.faults)
                if await self._rest(pause, FAULT_PAUSE_S * self.faults):
                    return
            self._all_read()
        if self.ending:
            await self._end()

    def _all_read(self) -> None:
        """What comes from now on has not waited, unless more of what has stands in the socket."""
        if self.not_read_since and not unread(self.sock):
            self.not_read_since = 0.0

    def _pauses(self, faults: int) -> bool:
        """Is nothing read for a while, after what was just taken?"""
        return not self.ending and (self.outbox.pending > PAUSE_BYTES or self.faults > faults)

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
        if self.ending:
            self._hear()
            return
        with contextlib.suppress(OSError):  # the reader meets the same, and ends the connection
            if self.parser.buffer.receive_now(self.sock):
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
            self._fault(str(error))
            self._fail_all()

    def _take(self) -> None:
        """Whatever is whole of what has come."""
        half, calls, self.used_at = self.parser.half, self.calls, time.monotonic()
        self._unread_s = self._may_have_waited(self.used_at)
        for message in self.parser.messages():
            self._message(message)
            if self.deaf:
                return
        if not half or self.calls > calls:
            self.half_since = self.used_at

    def _may_have_waited(self, now: float) -> float:
        """How many seconds what was just read may have stood in the socket."""
        since = self.front.stalls.turn(now)
        if self.not_read_since:
            since = min(since, self.not_read_since)
        if since >= now:
            return 0.0
        # The system knows when the last bytes came; with calls before them in one read that is not enough.
        told = seconds_since_data(self.sock) if self.parser.one_call_waits() else None
        return now - since if told is None else min(now - since, told)

    async def _end(self) -> None:
        """Answer what is open, write the end behind it, and read on to the client's own end, bounded: a close
        over unread bytes would take the last answer along."""
        loop = asyncio.get_running_loop()
        while self.open or self.outbox.pending:
            self.answered = loop.create_future()
            until = self.answered if self.open else self.outbox.drained.wait()
            if await self._rest(until, LOOK_S) or (self.open and not self._hear()):
                return  # with nothing owed it is heard no more: else one that goes on calling would never end
        self.shut_at = self.shut_at or time.monotonic()
        with contextlib.suppress(TimeoutError, OSError):
            self.sock.shutdown(socket.SHUT_WR)
            async with asyncio.timeout(LINGER_S):
                while await loop.sock_recv(self.sock, 65_536):
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
                    if not isinstance(message, fastcgi.Reply):
                        self._message(message)
            except fastcgi.FramingError:
                self.deaf = True
        return bool(more)

    def _message(self, message: fastcgi.Message) -> None:
        match message:
            case fastcgi.Call():
                self.calls += 1
                self._call(message)
            case fastcgi.Aborted(number):
                lifecycle = self.open.pop(number, None)
                self._send(number, fastcgi.end_request(number))
                if lifecycle is not None:
                    self.front.core.leave(lifecycle)
            case fastcgi.Reply(data, fault, last):
                self.outbox.post(Parcel(data))
                if fault:
                    self._fault(fault)
                self.deaf |= last
                if last:
                    self.end_with(ConnectionEnd.BAD_INPUT)

    def _fault(self, text: str) -> None:
        self.front.bad(text)
        self.faults += 1
        if self.faults >= FAULTS:
            self.end_with(ConnectionEnd.BAD_INPUT)

    def _fail_all(self) -> None:
        """The records can't be told apart any more: what is open is answered, and the connection ends."""
        numbers = list(self.parser.open)
        self._leave_all()
        for number in numbers:
            self._send(number, fastcgi.answer(number, "400 Bad Request", {}, b""))
        self.parser.partial.clear()
        self.deaf = True
        self.end_with(ConnectionEnd.BAD_INPUT)

    answered: asyncio.Future[None] | None = None
    _unread_s = 0.0  # how long what is being taken in may have stood in the socket

    def _send(self, number: int, data: bytes) -> None:
        self.parser.open.discard(number)
        if self.shut_at:
            return  # its end has been written: nothing more can be
        self.used_at = time.monotonic()
        holding = self.front.holding
        release = holding.hold(self.cell, len(data)) if holding is not None and self.cell else None
        if self.front.closing and not self.open:
            release = partial(self._written, release)
        self.outbox.post(Parcel(data, release=release))
        if self.answered is not None and not self.answered.done():
            self.answered.set_result(None)

    def _written(self, release: Callable[[], None] | None) -> None:
        """The last answer owed has been written while the front closes: the connection ends if it may."""
        if release is not None:
            release()
        now = time.monotonic()
        if self.front.closing and self.may_end(now):
            self.close_softly(now, ConnectionEnd.CLOSING)

    def close_softly(self, now: float, reason: ConnectionEnd) -> None:
        """End a connection that owes nothing: its end is written, and what still comes is read and passed
        over, so that no reset takes the last answer along. The client sends what crossed the close again."""
        self.end_with(reason)
        self.shut_at = now
        self.front.shut.add(self)
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_WR)

    def _call(self, call: fastcgi.Call) -> None:
        if self.shut_at:
            self.front.counters.add("client.crossed")  # sent as the close came: the client sends it again
            return
        if self.ending:  # it has come before the end was written: it is owed an answer, and no more
            self.front.counters.add("answer.ending")
            self._refused(call, Refusal.CONNECTION_ENDING)
            return self._send(call.number, fastcgi.end_request(call.number, fastcgi.Protocol.OVERLOADED))
        if not call.keep:
            self.end_with(ConnectionEnd.NOT_KEPT)
        name = call.params.get(b"SCRIPT_NAME", b"")
        if name == b"/ping":
            status = "200 OK" if self.front.ready() else "503 Not Ready"
            return self._send(call.number, fastcgi.answer(call.number, status, {}, b""))
        if not name.startswith(b"/call/"):
            return self._bad_call(call, f"path {name[:64]!r}", "404 Not Found")
        try:
            request = self._read_call(call)
        except ValueError as error:
            return self._bad_call(call, str(error), "400 Bad Request")
        return self._take_in(call, request)

    def _read_call(self, call: fastcgi.Call) -> Request:
        front = self.front
        arrived = front.core.now() - int(self._unread_s * 1e6)
        request = read_request(call.params, call.body, arrived, front.classes, front.owner_fields)
        request.is_wanted = partial(self.wants, call.number)
        return request

    def _take_in(self, call: fastcgi.Call, request: Request) -> None:
        """Start a request, or refuse it where it can't be let in."""
        front = self.front
        if front.passing_on:
            # The connection is to end and would never come free: the client tries again, on a new one.
            front.counters.add("answer.passed_on")
            self._refused(call, Refusal.PASSED_ON)
            answer = Answer(Verdict.REFUSED, retry_after_us=front.passed_on_us)
            return self._send(call.number, answer_bytes(call.number, answer))
        if front.tally.held > front.most_held:
            front.counters.add("answer.overloaded")
            self._refused(call, Refusal.UNREAD_ANSWERS)
            return self._send(call.number, fastcgi.end_request(call.number, fastcgi.Protocol.OVERLOADED))
        if front.holding is not None and not self._placed(front.holding, request.tenant):
            front.counters.add("answer.cell_full")
            self._refused(call, Refusal.CELL_FULL)
            answer = Answer(Verdict.REFUSED, retry_after_us=front.retry_us)
            return self._send(call.number, answer_bytes(call.number, answer))
        self.open[call.number] = None
        lifecycle = front.core.start(request, partial(self._answer, call.number))
        if lifecycle is not None:
            self.open[call.number] = lifecycle
        return None

    def _refused(self, call: fastcgi.Call, reason: Refusal) -> None:
        name = call.params.get(b"HTTP_X_REQUEST_ID", b"")[:16].decode("latin-1")
        self.front.core.refused(reason, name, self.number)

    def _bad_call(self, call: fastcgi.Call, text: str, status: str) -> None:
        self._refused(call, Refusal.BAD_INPUT)
        self._fault(text)
        self._send(call.number, fastcgi.answer(call.number, status, {}, b""))

    def _placed(self, holding: Holding, tenant: str | None) -> bool:
        """Is there room in its cell's part for this connection and for one more unread answer?

        A connection counts for the tenant that asked on it first.
        """
        cell = holding.cell_of(tenant)
        if cell is None:
            return True
        if self.cell is None:
            if not holding.connect(cell):
                self.end_with(ConnectionEnd.PLACE_NEEDED)
                return False
            self.cell = cell
        return not holding.full(self.cell)

    def _answer(self, number: int, answer: Answer) -> None:
        del self.open[number]
        self._send(number, answer_bytes(number, answer))

    def seat(self) -> room.Seat:
        return room.Seat(
            self.calls,
            len(self.open),
            self.outbox.pending,
            self.parser.half,
            self.born,
            self.used_at,
            self.ending,
        )

    def free(self, now: float, rest_s: float) -> bool:
        """May it be closed with nothing lost: nothing owed, nothing unread, and at rest for so long?

        What was last sent needs its time to arrive: a close on unread bytes takes answers under way along.
        """
        if self.open or self.outbox.pending or self.ending or now - self.used_at < rest_s:
            return False
        return not unread(self.sock)

    def may_end(self, now: float) -> bool:
        """The same while the front closes: who has just connected is left some time for its first call, and
        who is in the middle of one to end it."""
        if not self.calls and now - self.born < FIRST_CALL_S:
            return False
        half = self.parser.half and now - self.used_at < room.HALF_REST_S
        return not half and self.free(now, 0.0)

    def overstays(self, now: float) -> bool:
        """Does it hold a place for nothing: silent, stuck in half a request, or idle for too long?

        The platform's clients may be idle for 4 s between requests, but not before the first.
        """
        if not self.free(now, 0.0):
            return False
        if not self.calls or self.parser.half:
            return now - (self.half_since if self.calls else self.born) > HALF_S
        return now - self.used_at > IDLE_S


class Front:
    """Accepts clients and keeps track of what is owed to them."""

    def __init__(
        self,
        core: Core,
        counters: Counters,
        ready: Callable[[], bool],
        most_clients: int,
        most_held: int,
        holding: Holding | None = None,
        tenant_field: str = "",
        site_field: str = "",
    ) -> None:
        self.holding, self.owner_fields = holding, OwnerFields(tenant_field, site_field)
        limits = core.settings.limits
        self.retry_us = min(limits.max_retry_after_us, UNREAD_WAIT_US) if limits.retry_after else 0
        self.passed_on_us = min(limits.max_retry_after_us, PASSED_ON_US) if limits.retry_after else 0
        self.core, self.counters, self.ready = core, counters, ready
        self.most_clients, self.most_held = most_clients, most_held
        self.classes = {c.name: c for c in core.settings.classes}
        self.clients: dict[Client, asyncio.Task[None]] = {}  # oldest first
        self.next_connection = partial(next, itertools.count(1))  # numbers of connections, for the logs
        self.tally, self.stalls = Tally(), StallWatch(time.monotonic())
        self.accept_failures = 0
        self.accept_failing_since = (
            0.0  # monotonic: connections that wait have not been accepted since; else 0
        )
        self.shut: set[Client] = set()  # their end is written; they go as soon as the client closes its own
        self.given_up: set[Client] = set()  # no clients any more, but their sockets are not closed yet
        self.closing = False  # drained or leaving: each connection ends as soon as it owes nothing
        self.passing_on = False  # new calls on open connections are refused, so that each comes free

    def close(self, closing: bool, passing_on: bool = False) -> None:
        """From now on (or no longer) end every connection as soon as nothing is owed on it; `passing_on`:
        refuse new calls meanwhile, where clients would go on using a connection for as long as it is open."""
        self.closing, self.passing_on = closing, closing and passing_on
        if closing:
            self.close_free()

    def close_free(self) -> None:
        now = time.monotonic()
        for client in list(self.clients):
            if client.may_end(now):
                client.close_softly(now, ConnectionEnd.CLOSING)

    def bad(self, text: str) -> None:
        self.counters.add("bad.client")
        log.warning("bad input of a client", detail=text)

    async def sweep(self) -> None:
        """Cut off clients that take nothing of what is written to them, and those that overstay."""
        while True:
            await asyncio.sleep(SWEEP_S)
            now = time.monotonic()
            if self.closing:
                self.close_free()
            for client, task in list(self.clients.items()):
                if client.shut_at and now - client.shut_at > LINGER_S:
                    task.cancel()  # its end was written, and the client does not close its own
                elif client.outbox.stalled(now, STALLED_S):
                    self.counters.add("client.stalled")
                    client.end = client.end or ConnectionEnd.STALLED
                    task.cancel()
                elif client.overstays(now):
                    self.counters.add("client.overstayed")
                    self._give_up(client, now, ConnectionEnd.IDLE)

    async def watch_turns(self) -> None:
        """Tell the watch that the loop turns, also while nobody asks."""
        while True:
            self.stalls.turn(time.monotonic())
            await asyncio.sleep(STALL_S / 2)

    def _make_room(self) -> bool:
        """End the connection that is least missed (`room.order`) to make room for a newcomer."""
        now = time.monotonic()
        ranked = [(rank, c) for c in self.clients if (rank := room.order(c.seat(), now)) is not None]
        ranked.sort(key=lambda pair: pair[0])
        least = next((client for _, client in ranked if not unread(client.sock)), None)
        if least is None:
            return False
        self.counters.add("client.displaced")
        self._give_up(least, now, ConnectionEnd.DISPLACED)
        return True

    def _give_up(self, client: Client, now: float, reason: ConnectionEnd) -> None:
        """End a connection that owes nothing and has nothing unread: softly, as far as there are places for
        such as linger, else at once, behind its written end."""
        full = len(self.shut) >= max(SHUT_LEAST, self.most_clients // SHUT_SHARE)
        client.close_softly(now, reason)
        if full:
            self.shut.discard(client)
            self.given_up.add(client)
            self.clients.pop(client).cancel()

    async def _given_up_closed(self) -> None:
        """Wait until few of the connections given up are still open: their descriptors count too, and each
        newcomer of a crowd would leave another one open beside all places."""
        while len(self.given_up) >= GIVEN_UP_MOST:
            await asyncio.sleep(0)

    async def accept(self, sock: socket.socket) -> None:
        """Take in clients until cancelled; being out of descriptors passes.

        The wait takes nothing, and what is taken is kept in the same breath: a cancel loses no client.
        """
        loop, taken, pause = asyncio.get_running_loop(), 0, 0.0
        while True:
            try:
                self._admit(sock.accept()[0])
            except BlockingIOError:
                self.accept_failing_since = 0.0
                await readable(loop, sock)
                continue
            except OSError as error:
                pause = self._accept_failed(error)
            await self._given_up_closed()
            taken += 1
            if pause or taken % ACCEPT_TURN == 0:  # a crowd at the door leaves the others their turn
                await asyncio.sleep(pause)
                pause = 0.0

    async def accept_rest(self, sock: socket.socket) -> None:
        """Take in whoever has connected already, before the listening socket closes: a close would reset them
        with what they have written. Between the last look for one and the return nothing else runs.

        Errors pass, and only an empty backlog is the end; bounded by `ACCEPT_REST_S` and `ACCEPT_REST_MOST`.
        """
        end = time.monotonic() + ACCEPT_REST_S
        for _ in range(ACCEPT_REST_MOST):
            pause = 0.0
            try:
                self._admit(sock.accept()[0])
            except BlockingIOError:
                return
            except OSError as error:
                pause = self._accept_failed(error)
            await self._given_up_closed()
            if time.monotonic() > end:
                break
            if pause:
                await asyncio.sleep(pause)
        log.error("the listening socket closes before all who wait are taken in")

    def _accept_failed(self, error: OSError) -> float:
        """Count and log it; how many seconds to wait before the next accept."""
        exhausted = errors.is_exhausted(error)
        self.counters.add("error.accept" if exhausted else "client.aborted")
        log.warning("accept failed", error=str(error))
        self.accept_failing_since = self.accept_failing_since or time.monotonic()
        self.accept_failures += 1
        return ACCEPT_PAUSE_S if exhausted or self.accept_failures % ACCEPT_TURN == 0 else 0.0

    def _admit(self, conn: socket.socket) -> None:
        if len(self.clients) - len(self.shut) >= self.most_clients and not self._make_room():
            self.counters.add("client.refused")
            conn.close()
            return
        try:
            conn.setblocking(False)
            conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        except OSError:  # gone again already
            conn.close()
            return
        self.counters.add("client.accepted")
        client = Client(self, conn)
        client.not_read_since = self._came_up(conn)
        task = asyncio.get_running_loop().create_task(client.run())
        self.clients[client] = task
        task.add_done_callback(partial(self._gone, client))

    def _came_up(self, conn: socket.socket) -> float:
        """Since when a connection that was just accepted may have waited with a call in it; 0: it did not."""
        told, now = seconds_since_sent(conn), time.monotonic()
        if not told:
            return self.accept_failing_since
        return now - told if told > ACCEPT_WAIT_S else 0.0

    def _gone(self, client: Client, _: asyncio.Task[None]) -> None:
        self.clients.pop(client, None)
        self.shut.discard(client)
        self.given_up.discard(client)

    async def finish(self, most_s: float, passing_on: bool) -> None:
        """Answer all that is owed, end each connection as soon as it owes nothing, then close the rest.

        Clients go on using open connections for a while: those are ended softly as they come free, for up to
        `most_s` seconds; what is owed is waited for, however long. `passing_on`: a successor serves already,
        and clients keep using open connections for as long as they are open: new calls are refused.
        """
        end = time.monotonic() + most_s
        self.close(True, passing_on)
        log.info("ending", clients=len(self.clients), owed=len(self.core.lifecycles))
        while (self.clients and time.monotonic() < end) or not self.core.idle.is_set():
            self.close_free()
            await asyncio.sleep(READ_S)  # a request that has come is owed its answer, if not yet read
        log.info("ending the rest", clients=len(self.clients), owed=len(self.core.lifecycles))
        end = time.monotonic() + STALLED_S
        while not self.core.idle.is_set() or (self._unheard() and time.monotonic() < end):
            await asyncio.sleep(READ_S)
        while self.clients and time.monotonic() < end:  # the sweep cuts off who does not end its side
            for client in list(self.clients):
                if not client.shut_at and not client.open and not client.outbox.pending:
                    client.close_softly(time.monotonic(), ConnectionEnd.CLOSING)
            await asyncio.sleep(READ_S)
        tasks = list(self.clients.values())
        for client, task in list(self.clients.items()):
            client.end = client.end or ConnectionEnd.CLOSING
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        log.info("ended", crossed=self.counters.counts["client.crossed"])

    def _unheard(self) -> bool:
        """Has a client sent what is not yet read, for its end not to come over it?"""
        return any(not client.ending and unread(client.sock) for client in self.clients)
