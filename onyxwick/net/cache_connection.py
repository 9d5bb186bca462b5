"""One connection to a cache, a parent or the origin, and the attempts on it."""

from __future__ import annotations

import asyncio
import socket
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

from onyxwick import logs
from onyxwick.core.model import AttemptOutcome, AttemptSpec
from onyxwick.core.reasons import ConnectionCloseReason
from onyxwick.interface import AttemptStatus
from onyxwick.net import errors, resp
from onyxwick.net.buffer import is_up, unread
from onyxwick.net.cache_wire import read_outcome, request_bytes
from onyxwick.net.write_queue import PendingWrite, Progress, WriteQueue

if TYPE_CHECKING:
    from onyxwick.net.cache_pool import CacheConnectionPool

log = logs.get()
RECENT = 128  # ids answered on one connection that are remembered
STUCK_S = 0.6
"""An answer that has begun and brings nothing for so long stops short: its connection is of no use."""
LOCAL_TROUBLE_S = 2.0  # a connect that fails for want of something on this machine is tried again so long
LOCAL_RETRY_S, LOCAL_RETRY_MOST_S = 0.01, 0.1  # waits between these tries, the first and the longest
SPOILED = 256  # given-up ids on one connection after which it takes no new ones
COMMAND_BYTES = 256  # of a request without its body, about
WAKE_MOST = 32_768  # bytes waited for at once, well under what a socket takes in unread


@dataclass(slots=True, eq=False)
class CacheCall:
    """One attempt on a link."""

    id: bytes
    write: PendingWrite
    result: asyncio.Future[AttemptOutcome]
    sent_at: float
    tag: str  # of the client's copy, where it was named: `unchanged` with that tag may be the answer
    alone: bool  # must not run twice: another's spoilt answer shall not take it along

    def settle(self, outcome: AttemptOutcome) -> None:
        """Set its outcome; the first one holds."""
        if not self.result.done():
            self.result.set_result(outcome)


class CacheConnection:
    """One connection to one member, from the first SYN to its close."""

    def __init__(self, caches: CacheConnectionPool, member: str, address: tuple[str, int]) -> None:
        self.caches, self.member, self.address = caches, member, address
        self.calls: dict[bytes, CacheCall] = {}
        self.spoiled: set[bytes] = set()  # given up here: a late answer must not pass for a later attempt's
        self.recent: dict[
            bytes, None
        ] = {}  # answered here: a second copy must not pass for a later attempt's
        self.parser = resp.RespParser()
        self.unread, self.moved_at = (
            0,
            0.0,
        )  # of an answer that has begun: what waits in the socket, and since when
        self.half_since = 0.0  # when the answer that has come in part began, or 0
        self.up = self.retired = self.closed = False
        self.kept_back = False  # by this machine: its last connect failed for want of something here
        self.heard_at = self.used_at = time.monotonic()
        self.sock: socket.socket | None = None
        self.writes = WriteQueue(None, caches.budget)
        self.end: ConnectionCloseReason | None = None  # why it was ended here; None: the other side's close
        self.task = asyncio.get_running_loop().create_task(self._run())

    def drop(self, reason: ConnectionCloseReason) -> None:
        """Close it; from now on it takes nothing new."""
        self.retired, self.end = True, self.end or reason
        self.task.cancel()

    def takes(self, request_id: bytes) -> bool:
        """May a new attempt under this id go out here?"""
        if self.retired or len(self.spoiled) >= SPOILED or any(call.alone for call in self.calls.values()):
            return False
        return not (request_id in self.calls or request_id in self.spoiled or request_id in self.recent)

    def call(self, order: AttemptSpec) -> CacheCall:
        """Queue an attempt; its result is set when it ends."""
        request_id, now = order.request.request_id.encode(), time.monotonic()
        future: asyncio.Future[AttemptOutcome] = asyncio.get_running_loop().create_future()
        call = CacheCall(
            request_id, PendingWrite(b""), future, now, order.request.client_etag, order.needs_own_connection
        )
        call.write = PendingWrite(
            b"",
            lambda: order.remaining_us() > 0 and order.is_still_valid() and self._leads_to_member(),
            lambda: self._dropped(call),
            render=lambda: request_bytes(order),
            size=COMMAND_BYTES + len(order.request.body),
            begun=lambda: order.on_first_byte_sent(order),
        )
        self.calls[request_id] = call
        self.used_at = now
        self.writes.post(call.write)
        return call

    def _leads_to_member(self) -> bool:
        """Is its address still its member's? Another one may have it by now."""
        return self.caches.members.addresses.get(self.member) == self.address

    def _dropped(self, call: CacheCall) -> None:
        self.calls.pop(call.id, None)
        call.settle(AttemptOutcome(AttemptStatus.NOT_SENT))

    def expire(self, call: CacheCall) -> None:
        """The time of an attempt is over."""
        if not call.result.done():
            if self.half_since and time.monotonic() - self.half_since > STUCK_S:
                self.retired = True  # an answer that comes without end holds up all behind it
            call.settle(AttemptOutcome(self.give_up(call)))

    def give_up(self, call: CacheCall) -> AttemptStatus:
        """Stop an attempt whose time is over or that was called off; tells how it ended."""
        if self.calls.get(call.id) is not call:
            return AttemptStatus.RESET
        del self.calls[call.id]
        if self.writes.withdraw(call.write):
            return self._never_sent()
        self.spoiled.add(call.id)
        self.writes.post(PendingWrite(resp.command(b"STOP", call.id)))
        if self.heard_at < call.sent_at:
            self.retired = True  # a machine that vanished says nothing: new attempts try a new connection
        return AttemptStatus.TIMEOUT

    def _never_sent(self) -> AttemptStatus:
        """How an attempt ended of which nothing went out: only a connect that failed for want of nothing here
        says something of the member."""
        return AttemptStatus.NOT_SENT if self.up or self.kept_back else AttemptStatus.CONNECT_FAILED

    async def _run(self) -> None:
        failed = AttemptStatus.CONNECT_FAILED
        try:
            sock = await self._connect()
            self.up, failed = True, AttemptStatus.RESET
            await self._talk(sock)
        except (OSError, TimeoutError):  # told to the attempts below
            here = (
                ConnectionCloseReason.CONNECT_FAILED_LOCALLY
                if self.kept_back
                else ConnectionCloseReason.CONNECT_FAILED
            )
            self.end = self.end or (ConnectionCloseReason.CONNECTION_ERROR if self.up else here)
        except resp.RespError as error:
            self.end = ConnectionCloseReason.BAD_ANSWER
            self.caches.counters.add("bad.resp")
            log.warning("connection closed", member=self.member, error=str(error))
        finally:
            self._close(failed)

    async def _connect(self) -> socket.socket:
        """A connection that is up. What fails for want of something on this machine is tried again for a
        while, within the attempts' own times; OSError or TimeoutError where the member is not reached."""
        end, pause = time.monotonic() + LOCAL_TROUBLE_S, LOCAL_RETRY_S
        while True:
            try:
                sock = self.sock = self.writes.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
                sock.setblocking(False)
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                await self._come_up(sock)
                return sock
            except OSError as error:
                self.kept_back = errors.is_local(error)
                if not self.kept_back or time.monotonic() > end:
                    raise
                self.caches.counters.add("error.connect")
                log.warning("connect failed on this machine", member=self.member, error=str(error))
            if self.sock is not None:
                self.sock.close()
            await asyncio.sleep(pause)
            pause = min(2 * pause, LOCAL_RETRY_MOST_S)

    async def _come_up(self, sock: socket.socket) -> None:
        """Connect within the limit. After a stop of the process the limit is over at once, though the
        connection may have come up meanwhile."""
        try:
            async with asyncio.timeout(self.caches.connect_s):
                await asyncio.get_running_loop().sock_connect(sock, self.address)
        except TimeoutError:
            if not is_up(sock):
                raise

    async def _talk(self, sock: socket.socket) -> None:
        writer = asyncio.get_running_loop().create_task(self.writes.run())
        reader = asyncio.get_running_loop().create_task(self._read(sock))
        try:
            done, _ = await asyncio.wait({writer, reader}, return_when=asyncio.FIRST_COMPLETED)
            for task in done:
                task.result()
        finally:
            writer.cancel()
            reader.cancel()
            await asyncio.gather(writer, reader, return_exceptions=True)

    async def _read(self, sock: socket.socket) -> None:
        loop, parser, mark = asyncio.get_running_loop(), self.parser, 1
        while await parser.buffer.receive(loop, sock):
            self.heard_at = self.moved_at = time.monotonic()
            self.unread = 0
            for words in parser.messages():
                self.half_since = 0.0
                self._answered(words)
            if len(parser.buffer):
                self.half_since = self.half_since or self.heard_at
            # A body comes slowly, in many pieces: one wake-up for what is missing, not one a piece.
            missing = max(1, min(parser.need - len(parser.buffer), WAKE_MOST))
            if missing != mark:
                mark = missing
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVLOWAT, mark)

    def stuck(self, now: float) -> bool:
        """Has an answer begun and then stopped? What the socket holds counts, as reads wait."""
        if self.sock is None or not self.up or not len(self.parser.buffer):
            return False
        waiting = unread(self.sock)
        if waiting != self.unread:
            self.unread, self.moved_at = waiting, now
        return now - self.moved_at > STUCK_S

    def _answered(self, words: list[bytes]) -> None:
        outcome = read_outcome(words, self.caches.report_names)
        call = self.calls.pop(words[0], None)
        if (
            call is None
        ):  # after its attempt was given up, a second copy, or under an id that nobody asked for
            self.caches.counters.add("answer.late")
            self.spoiled.discard(words[0])
            return
        self.recent[words[0]] = None
        if len(self.recent) > RECENT:
            del self.recent[next(iter(self.recent))]
        if outcome.not_modified and not call.tag:
            raise resp.RespError("'unchanged' to a request that held no copy")
        if outcome.not_modified and outcome.etag != call.tag:
            # Of some other copy: it says nothing of the one that the client holds.
            self.caches.counters.add("bad.tag")
            log.warning("'unchanged' under another tag", member=self.member)
            outcome = AttemptOutcome(AttemptStatus.ERROR)
        call.settle(outcome)

    def _close(self, failed: AttemptStatus) -> None:
        self.closed = self.retired = True
        if self.sock is not None:
            self.sock.close()
        self.caches.forget(self)
        reason = (self.end or ConnectionCloseReason.CLOSED_BY_PEER).value
        self.caches.counters.add(f"ended.cache.{reason}")
        if self.calls:
            requests = [call.id.decode() for call in list(self.calls.values())[:8]]
            log.info("connection with calls ended", member=self.member, reason=reason, requests=requests)
        calls, self.calls = self.calls, {}
        for call in calls.values():
            unsent = call.write.progress in (Progress.WAITING, Progress.DROPPED)
            call.settle(AttemptOutcome(self._never_sent() if unsent else failed))
        self.writes.close()
