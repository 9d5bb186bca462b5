"""One connection to a cache, a parent cache or the origin, and the attempts sent on it.

Attempts are multiplexed by request id. A connection does not reuse an id that was abandoned or answered on
it, so that a late or repeated reply cannot be mistaken for the reply to a later attempt. Times are monotonic
seconds.
"""

from __future__ import annotations

import asyncio
import socket
import time
from dataclasses import dataclass
from typing import Protocol

from onyxwick import logs
from onyxwick.core.endpoints import EndpointTable
from onyxwick.core.memory_account import (
    MIN_RELEASED_BYTES,
    HeldBytes,
    HeldKind,
    MemoryAccount,
    Releasable,
)
from onyxwick.core.model import AttemptOutcome, AttemptSpec
from onyxwick.core.reasons import ConnectionCloseReason
from onyxwick.counters import Counters
from onyxwick.interface import AttemptStatus
from onyxwick.net import errors, resp
from onyxwick.net.cache_wire import CacheReply, decode_reply, encode_attempt, encode_cancel
from onyxwick.net.socket_state import is_connected, unread_bytes
from onyxwick.net.task_race import run_until_one_ends
from onyxwick.net.write_queue import PendingWrite, WriteProgress, WriteQueue

log = logs.get()
MAX_REMEMBERED_ANSWERS = 128
"""Answered request ids remembered per connection, to prevent their reuse."""
PARTIAL_ANSWER_LIMIT_S = 0.6
"""If a partial answer does not grow for this long, it is stuck and its connection is closed."""
LOCAL_RETRY_LIMIT_S = 2.0
"""How long a connect is retried if it fails because this machine lacks a resource."""
FIRST_LOCAL_RETRY_S = 0.01
MAX_LOCAL_RETRY_S = 0.1
MAX_ABANDONED_IDS = 256
"""A connection with this many abandoned ids accepts no new attempts."""
EXPECTED_COMMAND_BYTES = 256
"""Approximate size of a command without its body."""
MAX_LOW_WATER_BYTES = 32_768
"""Upper limit of the socket's receive low-water mark, well below the size of its receive buffer."""
CONNECTION_BYTES = 8192
"""Memory accounted for a connection beside its buffers."""
MAX_LOGGED_REQUESTS = 8


class CacheConnectionOwner(Protocol):
    """The pool that a connection belongs to."""

    members: EndpointTable
    counters: Counters
    budget: HeldBytes
    memory: MemoryAccount
    connect_timeout_s: float
    report_names: tuple[str, ...]

    def forget(self, connection: CacheConnection) -> None:
        """Remove a closed connection from the pool."""
        ...


@dataclass(slots=True, eq=False)
class CacheAttempt:
    """One attempt that is queued or in flight on a connection."""

    request_id: bytes
    write: PendingWrite
    result: asyncio.Future[AttemptOutcome]
    posted_at_s: float
    client_etag: str
    """Etag of the client's copy, empty if none was named. Only this etag may be confirmed as unchanged."""
    needs_own_connection: bool
    """True if the attempt must not be executed twice: no other attempt's failure may close its connection."""

    def settle(self, outcome: AttemptOutcome) -> None:
        """Set the outcome. Later calls have no effect."""
        if not self.result.done():
            self.result.set_result(outcome)


class CacheConnection:
    """One connection to one member, from connecting until it is closed."""

    def __init__(self, pool: CacheConnectionOwner, member: str, address: tuple[str, int]) -> None:
        self.pool = pool
        self.member = member
        self.address = address
        self.attempts: dict[bytes, CacheAttempt] = {}  # by request id
        self.abandoned_ids: set[bytes] = set()
        self.answered_ids: dict[bytes, None] = {}  # oldest first
        self.parser = resp.RespParser()
        self.partial_answer_since_s = 0.0  # when a partial answer started to arrive; 0 if there is none
        self.is_established = False
        self.is_retired = False  # accepts no new attempts
        self.is_closed = False
        self.failed_locally = False  # the last connect failed because this machine lacks a resource
        self.last_received_at_s = time.monotonic()
        self.last_used_at_s = self.last_received_at_s
        self.close_reason: ConnectionCloseReason | None = None  # None if the member closed it
        self.sock: socket.socket | None = None
        self.writes = WriteQueue(None, pool.budget)
        self._held = pool.memory.held[HeldKind.CACHE_INPUT]
        self._held_bytes = 0  # accounted for this connection
        self._opened_at_s = self.last_received_at_s
        self._unread_bytes = 0
        self._progress_at_s = 0.0  # when a partial answer last grew
        self.task = asyncio.get_running_loop().create_task(self._run())

    def close(self, reason: ConnectionCloseReason) -> None:
        """Close the connection and accept no new attempts. Only the first reason is recorded."""
        self.is_retired = True
        self.close_reason = self.close_reason or reason
        self.task.cancel()

    # ---- attempts ----------------------------------------------------------------------------------------

    def can_accept(self, request_id: bytes) -> bool:
        """Return whether a new attempt with this request id may be sent on this connection."""
        if self.is_retired or len(self.abandoned_ids) >= MAX_ABANDONED_IDS:
            return False
        if any(attempt.needs_own_connection for attempt in self.attempts.values()):
            return False
        is_used = request_id in self.attempts or request_id in self.abandoned_ids
        return not (is_used or request_id in self.answered_ids)

    def start_attempt(self, spec: AttemptSpec) -> CacheAttempt:
        """Queue an attempt and return it. Its `result` is set when the attempt ends."""
        request = spec.request
        now_s = time.monotonic()
        attempt = CacheAttempt(
            request_id=request.request_id.encode(),
            write=PendingWrite(b""),
            result=asyncio.get_running_loop().create_future(),
            posted_at_s=now_s,
            client_etag=request.client_etag,
            needs_own_connection=spec.needs_own_connection,
        )
        attempt.write = PendingWrite(
            b"",
            is_still_wanted=lambda: (
                spec.remaining_us() > 0 and spec.is_still_valid(spec) and self._is_member_address()
            ),
            on_dropped=lambda: self._on_dropped(attempt),
            render=lambda: encode_attempt(spec),
            expected_bytes=EXPECTED_COMMAND_BYTES + len(request.body),
            on_started=lambda: spec.on_first_byte_sent(spec),
        )
        self.attempts[attempt.request_id] = attempt
        self.last_used_at_s = now_s
        self.writes.post(attempt.write)
        return attempt

    def _is_member_address(self) -> bool:
        """Return whether the address is still that of the connection's member; another may have it by now."""
        return self.pool.members.addresses.get(self.member) == self.address

    def _on_dropped(self, attempt: CacheAttempt) -> None:
        self.attempts.pop(attempt.request_id, None)
        attempt.settle(AttemptOutcome(AttemptStatus.NOT_SENT))

    def expire(self, attempt: CacheAttempt) -> None:
        """End an attempt that has reached its time limit."""
        if attempt.result.done():
            return
        partial_since_s = self.partial_answer_since_s
        if partial_since_s and time.monotonic() - partial_since_s > PARTIAL_ANSWER_LIMIT_S:
            self.is_retired = True  # an answer that never ends delays all answers behind it
        attempt.settle(AttemptOutcome(self.abandon(attempt)))

    def abandon(self, attempt: CacheAttempt) -> AttemptStatus:
        """Stop waiting for an attempt that expired or was cancelled, and return the status it ended with."""
        if self.attempts.get(attempt.request_id) is not attempt:
            return AttemptStatus.RESET
        del self.attempts[attempt.request_id]
        if self.writes.withdraw(attempt.write):
            return self._unsent_status()
        self.abandoned_ids.add(attempt.request_id)
        self.writes.post(PendingWrite(encode_cancel(attempt.request_id)))
        if self.last_received_at_s < attempt.posted_at_s:
            # A machine that is down sends nothing: new attempts need a new connection.
            self.is_retired = True
        return AttemptStatus.TIMEOUT

    def _unsent_status(self) -> AttemptStatus:
        """Return the status of an attempt of which no byte was sent.

        The failure is attributed to the member only if the connect did not fail for lack of a local resource.
        """
        if self.is_established or self.failed_locally:
            return AttemptStatus.NOT_SENT
        return AttemptStatus.CONNECT_FAILED

    # ---- connection --------------------------------------------------------------------------------------

    async def _run(self) -> None:
        status = AttemptStatus.CONNECT_FAILED
        try:
            sock = await self._connect()
            self.is_established = True
            status = AttemptStatus.RESET
            self._record_error(await run_until_one_ends(self.writes.run(), self._read(sock)))
        except (OSError, TimeoutError):  # reported through the outcomes of the attempts
            self.close_reason = self.close_reason or self._failure_reason()
        finally:
            self._on_closed(status)

    def _record_error(self, error: BaseException | None) -> None:
        """Record why the connection failed. Raises any error but of network and protocol."""
        if isinstance(error, errors.RespProtocolError):
            self.close_reason = ConnectionCloseReason.BAD_ANSWER
            self.pool.counters.add("bad.resp")
            log.warning("invalid cache reply, connection closed", member=self.member, error=str(error))
        elif isinstance(error, OSError):
            self.close_reason = self.close_reason or self._failure_reason()
        elif error is not None:
            raise error

    def _failure_reason(self) -> ConnectionCloseReason:
        if self.is_established:
            return ConnectionCloseReason.CONNECTION_ERROR
        if self.failed_locally:
            return ConnectionCloseReason.CONNECT_FAILED_LOCALLY
        return ConnectionCloseReason.CONNECT_FAILED

    async def _connect(self) -> socket.socket:
        """Return a connected socket. Raises OSError or TimeoutError if the member cannot be reached.

        Local failures are retried with backoff for `LOCAL_RETRY_LIMIT_S`. The attempts' own time limits
        continue to apply meanwhile.
        """
        deadline_s = time.monotonic() + LOCAL_RETRY_LIMIT_S
        delay_s = FIRST_LOCAL_RETRY_S
        while True:
            try:
                sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
                self.sock = sock
                self.writes.sock = sock
                sock.setblocking(False)
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                await self._connect_within_limit(sock)
                return sock
            except OSError as error:
                self.failed_locally = errors.is_local_error(error)
                if not self.failed_locally or time.monotonic() > deadline_s:
                    raise
                self.pool.counters.add("error.connect")
                log.warning("connect failed locally, retrying", member=self.member, error=str(error))
            if self.sock is not None:
                self.sock.close()
            await asyncio.sleep(delay_s)
            delay_s = min(2 * delay_s, MAX_LOCAL_RETRY_S)

    async def _connect_within_limit(self, sock: socket.socket) -> None:
        """Connect. Raises TimeoutError at the limit, unless it succeeded while the process stalled."""
        try:
            async with asyncio.timeout(self.pool.connect_timeout_s):
                await asyncio.get_running_loop().sock_connect(sock, self.address)
        except TimeoutError:
            if not is_connected(sock):
                raise

    async def _read(self, sock: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        parser = self.parser
        low_water_bytes = 1
        while await parser.buffer.receive(loop, sock):
            now_s = time.monotonic()
            self.last_received_at_s = now_s
            self._progress_at_s = now_s
            self._unread_bytes = 0
            for words in parser.messages():
                self.partial_answer_since_s = 0.0
                self._on_reply(decode_reply(words, self.pool.report_names))
            if len(parser.buffer):
                self.partial_answer_since_s = self.partial_answer_since_s or now_s
            held_bytes = CONNECTION_BYTES + len(parser.buffer.data) + len(parser.buffer)
            if held_bytes != self._held_bytes:
                self._account(held_bytes)
                self.pool.memory.reclaim(now_s)
            # A body may arrive slowly and in many pieces: the low-water mark gives one wake-up for all
            # missing bytes instead of one for each piece.
            missing_bytes = max(1, min(parser.needed_bytes - len(parser.buffer), MAX_LOW_WATER_BYTES))
            if missing_bytes != low_water_bytes:
                low_water_bytes = missing_bytes
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVLOWAT, low_water_bytes)

    # ---- memory ------------------------------------------------------------------------------------------

    def _account(self, held_bytes: int) -> None:
        """Set the memory accounted for the receive buffer: its capacity, and a copy of the reply in it."""
        self._held.held_bytes += held_bytes - self._held_bytes
        self._held_bytes = held_bytes

    def releasable(self, now_s: float) -> Releasable | None:
        """Return the memory of a partial reply; None if there is none or the connection closes already."""
        if self.close_reason is not None or not len(self.parser.buffer):
            return None
        if self._held_bytes < MIN_RELEASED_BYTES:
            return None
        return Releasable(
            self.release_memory,
            HeldKind.CACHE_INPUT,
            self._held_bytes,
            self._progress_at_s,
            self._opened_at_s,
        )

    def release_memory(self, now_s: float) -> None:
        """Close the connection, as its partial reply holds memory that is needed."""
        log.warning(
            "memory released",
            kind=HeldKind.CACHE_INPUT.value,
            member=self.member,
            bytes=self._held_bytes,
            idle_s=round(now_s - self._progress_at_s, 3),
            held=self.pool.memory.by_kind(),
        )
        self._account(0)
        self.close(ConnectionCloseReason.MEMORY_NEEDED)

    def is_answer_stuck(self, now_s: float) -> bool:
        """Return whether a partial answer has stopped growing.

        Unread bytes in the socket count as growth, as reads wait for the low-water mark.
        """
        if self.sock is None or not self.is_established or not len(self.parser.buffer):
            return False
        unread = unread_bytes(self.sock)
        if unread != self._unread_bytes:
            self._unread_bytes = unread
            self._progress_at_s = now_s
        return now_s - self._progress_at_s > PARTIAL_ANSWER_LIMIT_S

    def _on_reply(self, reply: CacheReply) -> None:
        """Settle the attempt that a reply belongs to. Raises RespProtocolError if the two disagree."""
        request_id, outcome = reply
        attempt = self.attempts.pop(request_id, None)
        if attempt is None:  # a reply to an abandoned attempt, a repeated reply, or an unknown id
            self.pool.counters.add("answer.late")
            self.abandoned_ids.discard(request_id)
            return
        self.answered_ids[request_id] = None
        if len(self.answered_ids) > MAX_REMEMBERED_ANSWERS:
            del self.answered_ids[next(iter(self.answered_ids))]
        if outcome.not_modified and not attempt.client_etag:
            raise errors.RespProtocolError("reply 'unchanged' to a request without an etag of a cached copy")
        if outcome.not_modified and outcome.etag != attempt.client_etag:
            # The reply confirms a copy other than the one the client has.
            self.pool.counters.add("bad.tag")
            log.warning("cache confirmed another etag", member=self.member)
            outcome = AttemptOutcome(AttemptStatus.ERROR)
        attempt.settle(outcome)

    def _on_closed(self, status: AttemptStatus) -> None:
        """Close the socket and settle all attempts. Those that may have been sent end with `status`."""
        self.is_closed = True
        self.is_retired = True
        if self.sock is not None:
            self.sock.close()
        self.pool.forget(self)
        reason = (self.close_reason or ConnectionCloseReason.CLOSED_BY_PEER).value
        self.pool.counters.add(f"ended.cache.{reason}")
        attempts = list(self.attempts.values())
        self.attempts = {}
        if attempts:
            requests = [attempt.request_id.decode() for attempt in attempts[:MAX_LOGGED_REQUESTS]]
            log.info(
                "cache connection closed with attempts",
                member=self.member,
                reason=reason,
                requests=requests,
            )
        for attempt in attempts:
            is_unsent = attempt.write.progress in (WriteProgress.WAITING, WriteProgress.DROPPED)
            attempt.settle(AttemptOutcome(self._unsent_status() if is_unsent else status))
        self.writes.close()
        self.parser.buffer.release()
        self._account(0)
