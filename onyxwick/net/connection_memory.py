"""The memory held for one client connection: what is accounted, and what is released when memory is needed.

Partial requests are rejected as overloaded, which loses nothing: a request counts as taken once its last byte
is received. Answers of which no byte is written yet are replaced by short ones that say that the request has
failed. Only the connection of a client that has stopped reading is ended with answers that it is owed. Sizes
are bytes, times monotonic seconds.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import replace
from functools import partial

from onyxwick import logs
from onyxwick.core import AnswerStatus, FinalAnswer
from onyxwick.core.memory_account import (
    MIN_RELEASED_BYTES,
    HeldKind,
    MemoryAccount,
    Releasable,
)
from onyxwick.net import fastcgi
from onyxwick.net.fastcgi_calls import encode_answer
from onyxwick.net.fastcgi_parser import FastCgiParser
from onyxwick.net.socket_state import in_flight_bytes
from onyxwick.net.write_queue import WriteQueue

log = logs.get()
CONNECTION_BYTES = 8192
"""Memory accounted for a connection beside its buffers."""
STOPPED_AFTER_S = 1.0
"""A client that acknowledges next to nothing for this time may lose its connection. One that reads slowly
acknowledges in steps of up to a sixteenth of its receive buffer, or of one segment."""
LARGE_ANSWER_BYTES = 4096
"""Answers up to this size are never replaced."""
MAX_UNREAD_BYTES = 65_536
"""Above the reclaim threshold, a client that has this much to read gets no more large answers."""


class ConnectionMemory:
    """Accounts for the memory of one connection. It refers to the connection's parts, not to itself."""

    def __init__(
        self, number: int, parser: FastCgiParser, writes: WriteQueue, account: MemoryAccount
    ) -> None:
        self.number = number
        self.parser = parser
        self.writes = writes
        self.account = account
        self.opened_at_s = time.monotonic()
        self._input = account.held[HeldKind.CLIENT_INPUT]
        self._input_bytes = 0  # accounted for this connection
        self._account_input()

    def _account_input(self) -> bool:
        """Account for the receive buffer and partial calls. Return whether they have grown."""
        added_bytes = CONNECTION_BYTES + self.parser.held_bytes - self._input_bytes
        if added_bytes:
            self._input.held_bytes += added_bytes
            self._input_bytes += added_bytes
        return added_bytes > 0

    def update(self, now_s: float) -> None:
        """Account for what was received, and reclaim memory if there is too little."""
        self.parser.buffer.shrink()
        if self._account_input():
            self.account.reclaim(now_s)

    def close(self) -> None:
        """Release what was received, and account for nothing any more."""
        self.parser.release()
        self._input.held_bytes -= self._input_bytes
        self._input_bytes = 0

    def limit_answer(self, answer: FinalAnswer) -> FinalAnswer:
        """Return the answer, or a failure in its place if there is no memory to hold it.

        A failure is right for any class: the request may have been executed.
        """
        if len(answer.body) <= LARGE_ANSWER_BYTES or not self.account.is_above_reclaim_threshold():
            return answer
        now_s = time.monotonic()
        self.account.reclaim(now_s)
        if self.writes.held_bytes <= MAX_UNREAD_BYTES and self.account.has_room(now_s, len(answer.body)):
            return answer
        self.account.counters.add("answer.dropped")
        log.warning(
            "answer dropped, memory at its limit",
            connection=self.number,
            bytes=len(answer.body),
            unwritten=self.writes.pending_bytes,
            held=self.account.by_kind(),
        )
        return _as_failed(answer)

    # ---- release -----------------------------------------------------------------------------------------

    def has_stopped(self, now_s: float) -> bool:
        """Return whether the client has stopped reading its answers."""
        return self.writes.is_stalled(now_s, STOPPED_AFTER_S)

    def releasable(
        self,
        shorten: Callable[[float], None],
        end: Callable[[float], None],
        now_s: float,
        last_active_at_s: float,
    ) -> list[Releasable]:
        """Return what can be released: by rejecting and shortening, and by an end of the connection."""
        writes = self.writes
        offers = list[Releasable]()
        input_bytes = self.parser.releasable_bytes
        answer_bytes = writes.substitutable_bytes()
        if input_bytes + answer_bytes >= MIN_RELEASED_BYTES:
            kind = HeldKind.CLIENT_OUTPUT if answer_bytes > input_bytes else HeldKind.CLIENT_INPUT
            progress_at_s = now_s - writes.progress.stopped_s(now_s) if answer_bytes else last_active_at_s
            offers.append(
                Releasable(shorten, kind, input_bytes + answer_bytes, progress_at_s, self.opened_at_s)
            )
        rest_bytes = writes.held_bytes - answer_bytes
        if rest_bytes >= MIN_RELEASED_BYTES and self.has_stopped(now_s):
            progress_at_s = writes.progress.since_s
            kind = HeldKind.CLIENT_OUTPUT
            offers.append(Releasable(end, kind, rest_bytes, progress_at_s, self.opened_at_s, True))
        return offers

    def log_release(self, now_s: float, last_active_at_s: float, ends: bool) -> None:
        """Log that memory is released, with what tells a client that has stopped from a slow one."""
        log.warning(
            "memory released",
            connection=self.number,
            ends=ends,
            partial_calls=len(self.parser.partial),
            input=self._input_bytes,
            unread=self.writes.held_bytes,
            in_flight=in_flight_bytes(self.writes.sock) if self.writes.sock is not None else 0,
            stopped_s=round(self.writes.progress.stopped_s(now_s), 3),
            idle_s=round(now_s - last_active_at_s, 3),
            open_s=round(now_s - self.opened_at_s, 3),
            held=self.account.by_kind(),
        )

    def shorten_answers(self) -> None:
        """Replace large answers of which no byte is written by failures."""
        count = self.writes.substitute()
        if count:
            self.account.counters.add("answer.shortened", count)

    def reject_partial_calls(self) -> bytes:
        """Drop all partial calls and return the records that reject them as overloaded."""
        numbers = self.parser.release_partial_calls()
        self._account_input()
        self.account.counters.add("refused.memory", len(numbers))
        overloaded = fastcgi.ProtocolStatus.OVERLOADED
        return b"".join(fastcgi.encode_end_request(number, overloaded) for number in numbers)


def _as_failed(answer: FinalAnswer) -> FinalAnswer:
    """Return the failure that replaces an answer; it is right for any class, as the request may have run."""
    return replace(answer, status=AnswerStatus.FAILED, body=b"", etag="", not_modified=False)


def failure_in_place_of(number: int, answer: FinalAnswer) -> Callable[[], bytes] | None:
    """Return a function that encodes the failure in place of a large answer to a call; None if it is small.

    `number` is the FastCGI request number.
    """
    if answer.status is not AnswerStatus.SERVED or len(answer.body) <= LARGE_ANSWER_BYTES:
        return None
    return partial(_encode_failure, number)


def _encode_failure(number: int) -> bytes:
    return encode_answer(number, FinalAnswer(AnswerStatus.FAILED))
