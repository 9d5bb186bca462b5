"""The memory held for one client connection: what is accounted, and what is released when memory is needed.

Partial requests are rejected as overloaded, which loses nothing: a request counts as taken once its last byte
is received. Unread answers are released only with their connection. Sizes are bytes, times monotonic seconds.
"""

from __future__ import annotations

import time
from dataclasses import replace

from onyxwick import logs
from onyxwick.core import AnswerStatus, FinalAnswer
from onyxwick.core.memory_account import (
    MIN_RELEASED_BYTES,
    HeldKind,
    MemoryAccount,
    MemoryHolder,
    Releasable,
)
from onyxwick.net import fastcgi
from onyxwick.net.fastcgi_parser import FastCgiParser
from onyxwick.net.write_queue import WriteQueue

log = logs.get()
CONNECTION_BYTES = 8192
"""Memory accounted for a connection beside its buffers."""
UNREAD_GRACE_S = 0.1
"""A client that accepts no byte for this time can lose its unread answers. One that reads 1 MB a second
accepts the 64 KB of one write within it."""
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
        if self.account.has_room(now_s) and self.writes.held_bytes <= MAX_UNREAD_BYTES:
            return answer
        self.account.counters.add("answer.dropped")
        log.warning(
            "answer dropped, memory at its limit",
            connection=self.number,
            bytes=len(answer.body),
            unwritten=self.writes.pending_bytes,
            held=self.account.by_kind(),
        )
        return replace(answer, status=AnswerStatus.FAILED, body=b"", etag="", not_modified=False)

    # ---- release -----------------------------------------------------------------------------------------

    def is_unread(self, now_s: float) -> bool:
        """Return whether the client has stopped reading its answers."""
        return self.writes.is_stalled(now_s, UNREAD_GRACE_S)

    def releasable(self, holder: MemoryHolder, now_s: float, last_active_at_s: float) -> Releasable | None:
        """Return what `holder`, the connection, would release; None if that is little."""
        size = self.parser.releasable_bytes
        kind = HeldKind.CLIENT_INPUT
        progress_at_s = last_active_at_s
        if self.is_unread(now_s):
            size += self.writes.held_bytes
            kind = HeldKind.CLIENT_OUTPUT
            progress_at_s = self.writes.blocked_since_s
        if size < MIN_RELEASED_BYTES:
            return None
        return Releasable(holder, kind, size, progress_at_s, self.opened_at_s)

    def reject_partial_calls(self, now_s: float, last_active_at_s: float) -> bytes:
        """Drop all partial calls and return the records that reject them as overloaded."""
        log.warning(
            "memory released",
            connection=self.number,
            partial_calls=len(self.parser.partial),
            input=self._input_bytes,
            unread=self.writes.held_bytes,
            idle_s=round(now_s - last_active_at_s, 3),
            open_s=round(now_s - self.opened_at_s, 3),
            held=self.account.by_kind(),
        )
        numbers = self.parser.release_partial_calls()
        self._account_input()
        self.account.counters.add("refused.memory", len(numbers))
        overloaded = fastcgi.ProtocolStatus.OVERLOADED
        return b"".join(fastcgi.encode_end_request(number, overloaded) for number in numbers)
