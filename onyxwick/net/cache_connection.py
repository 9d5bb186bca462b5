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
from onyxwick.net.buffer import is_connected, unread_bytes
from onyxwick.net.cache_wire import decode_outcome, encode_attempt
from onyxwick.net.write_queue import PendingWrite, WriteProgress, WriteQueue

if TYPE_CHECKING:
    from onyxwick.net.cache_pool import CacheConnectionPool

log = logs.get()
REMEMBERED_ANSWERS = 128  # ids answered on one connection that are remembered
PARTIAL_ANSWER_LIMIT_S = 0.6
"""An answer that has begun and brings nothing for so long stops short: its connection is of no use."""
LOCAL_RETRY_LIMIT_S = 2.0  # a connect that fails for want of something on this machine is tried again so long
FIRST_LOCAL_RETRY_S, MAX_LOCAL_RETRY_S = 0.01, 0.1  # waits between these tries, the first and the longest
MAX_ABANDONED_IDS = 256  # given-up ids on one connection after which it takes no new ones
EXPECTED_COMMAND_BYTES = 256  # of a request without its body, about
MAX_LOW_WATER_BYTES = 32_768  # bytes waited for at once, well under what a socket takes in unread


@dataclass(slots=True, eq=False)
class CacheAttempt:
    """One attempt on a link."""

    request_id: bytes
    write: PendingWrite
    result: asyncio.Future[AttemptOutcome]
    posted_at_s: float
    client_etag: str  # of the client's copy, where it was named: `unchanged` with that tag may be the answer
    needs_own_connection: bool  # must not run twice: another's spoilt answer shall not take it along

    def settle(self, outcome: AttemptOutcome) -> None:
        """Set its outcome; the first one holds."""
        if not self.result.done():
            self.result.set_result(outcome)


class CacheConnection:
    """One connection to one member, from the first SYN to its close."""

    def __init__(self, pool: CacheConnectionPool, member: str, address: tuple[str, int]) -> None:
        self.pool, self.member, self.address = pool, member, address
        self.attempts: dict[bytes, CacheAttempt] = {}
        self.abandoned_ids: set[bytes] = (
            set()
        )  # given up here: a late answer must not pass for a later attempt's
        self.answered_ids: dict[
            bytes, None
        ] = {}  # answered here: a second copy must not pass for a later attempt's
        self.parser = resp.RespParser()
        self._unread_bytes, self._progress_at_s = (
            0,
            0.0,
        )  # of an answer that has begun: what waits in the socket, and since when
        self.partial_answer_since_s = 0.0  # when the answer that has come in part began, or 0
        self.is_up = self.is_retired = self.is_closed = False
        self.failed_locally = False  # by this machine: its last connect failed for want of something here
        self.last_received_at_s = self.last_used_at_s = time.monotonic()
        self.sock: socket.socket | None = None
        self.writes = WriteQueue(None, pool.budget)
        self.close_reason: ConnectionCloseReason | None = (
            None  # why it was ended here; None: the other side's close
        )
        self.task = asyncio.get_running_loop().create_task(self._run())

    def close(self, reason: ConnectionCloseReason) -> None:
        """Close it; from now on it takes nothing new."""
        self.is_retired, self.close_reason = True, self.close_reason or reason
        self.task.cancel()

    def can_accept(self, request_id: bytes) -> bool:
        """May a new attempt under this id go out here?"""
        if (
            self.is_retired
            or len(self.abandoned_ids) >= MAX_ABANDONED_IDS
            or any(call.needs_own_connection for call in self.attempts.values())
        ):
            return False
        return not (
            request_id in self.attempts or request_id in self.abandoned_ids or request_id in self.answered_ids
        )

    def start_attempt(self, spec: AttemptSpec) -> CacheAttempt:
        """Queue an attempt; its result is set when it ends."""
        request_id, now = spec.request.request_id.encode(), time.monotonic()
        future: asyncio.Future[AttemptOutcome] = asyncio.get_running_loop().create_future()
        call = CacheAttempt(
            request_id, PendingWrite(b""), future, now, spec.request.client_etag, spec.needs_own_connection
        )
        call.write = PendingWrite(
            b"",
            lambda: spec.left_us() > 0 and spec.is_still_valid() and self._is_member_address(),
            lambda: self._on_dropped(call),
            render=lambda: encode_attempt(spec),
            expected_bytes=EXPECTED_COMMAND_BYTES + len(spec.request.body),
            on_begun=lambda: spec.on_first_byte_sent(spec),
        )
        self.attempts[request_id] = call
        self.last_used_at_s = now
        self.writes.post(call.write)
        return call

    def _is_member_address(self) -> bool:
        """Is its address still its member's? Another one may have it by now."""
        return self.pool.members.addresses.get(self.member) == self.address

    def _on_dropped(self, call: CacheAttempt) -> None:
        self.attempts.pop(call.request_id, None)
        call.settle(AttemptOutcome(AttemptStatus.NOT_SENT))

    def expire(self, call: CacheAttempt) -> None:
        """The time of an attempt is over."""
        if not call.result.done():
            if (
                self.partial_answer_since_s
                and time.monotonic() - self.partial_answer_since_s > PARTIAL_ANSWER_LIMIT_S
            ):
                self.is_retired = True  # an answer that comes without end holds up all behind it
            call.settle(AttemptOutcome(self.abandon(call)))

    def abandon(self, call: CacheAttempt) -> AttemptStatus:
        """Stop an attempt whose time is over or that was called off; tells how it ended."""
        if self.attempts.get(call.request_id) is not call:
            return AttemptStatus.RESET
        del self.attempts[call.request_id]
        if self.writes.withdraw(call.write):
            return self._unsent_status()
        self.abandoned_ids.add(call.request_id)
        self.writes.post(PendingWrite(resp.encode_command(b"STOP", call.request_id)))
        if self.last_received_at_s < call.posted_at_s:
            self.is_retired = True  # a machine that vanished says nothing: new attempts try a new connection
        return AttemptStatus.TIMEOUT

    def _unsent_status(self) -> AttemptStatus:
        """How an attempt ended of which nothing went out: only a connect that failed for want of nothing here
        says something of the member."""
        return AttemptStatus.NOT_SENT if self.is_up or self.failed_locally else AttemptStatus.CONNECT_FAILED

    async def _run(self) -> None:
        failed = AttemptStatus.CONNECT_FAILED
        try:
            sock = await self._connect()
            self.is_up, failed = True, AttemptStatus.RESET
            await self._exchange(sock)
        except (OSError, TimeoutError):  # told to the attempts below
            here = (
                ConnectionCloseReason.CONNECT_FAILED_HERE
                if self.failed_locally
                else ConnectionCloseReason.CONNECT_FAILED
            )
            self.close_reason = self.close_reason or (ConnectionCloseReason.BROKEN if self.is_up else here)
        except resp.RespProtocolError as error:
            self.close_reason = ConnectionCloseReason.BAD_ANSWER
            self.pool.counters.add("bad.resp")
            log.warning("connection closed", member=self.member, error=str(error))
        finally:
            self._on_closed(failed)

    async def _connect(self) -> socket.socket:
        """A connection that is up. What fails for want of something on this machine is tried again for a
        while, within the attempts' own times; OSError or TimeoutError where the member is not reached."""
        end, pause = time.monotonic() + LOCAL_RETRY_LIMIT_S, FIRST_LOCAL_RETRY_S
        while True:
            try:
                sock = self.sock = self.writes.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
                sock.setblocking(False)
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                await self._connect_within_limit(sock)
                return sock
            except OSError as error:
                self.failed_locally = errors.is_local(error)
                if not self.failed_locally or time.monotonic() > end:
                    raise
                self.pool.counters.add("error.connect")
                log.warning("connect failed on this machine", member=self.member, error=str(error))
            if self.sock is not None:
                self.sock.close()
            await asyncio.sleep(pause)
            pause = min(2 * pause, MAX_LOCAL_RETRY_S)

    async def _connect_within_limit(self, sock: socket.socket) -> None:
        """Connect within the limit. After a stop of the process the limit is over at once, though the
        connection may have come up meanwhile."""
        try:
            async with asyncio.timeout(self.pool.connect_s):
                await asyncio.get_running_loop().sock_connect(sock, self.address)
        except TimeoutError:
            if not is_connected(sock):
                raise

    async def _exchange(self, sock: socket.socket) -> None:
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
            self.last_received_at_s = self._progress_at_s = time.monotonic()
            self._unread_bytes = 0
            for words in parser.messages():
                self.partial_answer_since_s = 0.0
                self._on_answer(words)
            if len(parser.buffer):
                self.partial_answer_since_s = self.partial_answer_since_s or self.last_received_at_s
            # A body comes slowly, in many pieces: one wake-up for what is missing, not one a piece.
            missing = max(1, min(parser.needed_bytes - len(parser.buffer), MAX_LOW_WATER_BYTES))
            if missing != mark:
                mark = missing
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVLOWAT, mark)

    def is_answer_stuck(self, now: float) -> bool:
        """Has an answer begun and then stopped? What the socket holds counts, as reads wait."""
        if self.sock is None or not self.is_up or not len(self.parser.buffer):
            return False
        waiting = unread_bytes(self.sock)
        if waiting != self._unread_bytes:
            self._unread_bytes, self._progress_at_s = waiting, now
        return now - self._progress_at_s > PARTIAL_ANSWER_LIMIT_S

    def _on_answer(self, words: list[bytes]) -> None:
        outcome = decode_outcome(words, self.pool.report_names)
        call = self.attempts.pop(words[0], None)
        if (
            call is None
        ):  # after its attempt was given up, a second copy, or under an id that nobody asked for
            self.pool.counters.add("answer.late")
            self.abandoned_ids.discard(words[0])
            return
        self.answered_ids[words[0]] = None
        if len(self.answered_ids) > REMEMBERED_ANSWERS:
            del self.answered_ids[next(iter(self.answered_ids))]
        if outcome.not_modified and not call.client_etag:
            raise resp.RespProtocolError("'unchanged' to a request that held no copy")
        if outcome.not_modified and outcome.etag != call.client_etag:
            # Of some other copy: it says nothing of the one that the client holds.
            self.pool.counters.add("bad.tag")
            log.warning("'unchanged' under another tag", member=self.member)
            outcome = AttemptOutcome(AttemptStatus.ERROR)
        call.settle(outcome)

    def _on_closed(self, failed: AttemptStatus) -> None:
        self.is_closed = self.is_retired = True
        if self.sock is not None:
            self.sock.close()
        self.pool.forget(self)
        reason = (self.close_reason or ConnectionCloseReason.CLOSED_BY_PEER).value
        self.pool.counters.add(f"ended.cache.{reason}")
        if self.attempts:
            requests = [call.request_id.decode() for call in list(self.attempts.values())[:8]]
            log.info("connection with calls ended", member=self.member, reason=reason, requests=requests)
        calls, self.attempts = self.attempts, {}
        for call in calls.values():
            unsent = call.write.progress in (WriteProgress.WAITING, WriteProgress.DROPPED)
            call.settle(AttemptOutcome(self._unsent_status() if unsent else failed))
        self.writes.close()
