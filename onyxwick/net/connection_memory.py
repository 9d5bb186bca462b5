"""The memory held for one client connection: what is accounted, and what is released when memory is needed.

Partial requests are rejected as overloaded, which loses nothing: a request counts as taken once its last byte
is received. Unread answers are released only with their connection. Sizes are bytes, times monotonic seconds.
"""

from __future__ import annotations

import contextlib
import time
from dataclasses import replace
from typing import TYPE_CHECKING

from onyxwick import logs
from onyxwick.core import AnswerStatus, FinalAnswer
from onyxwick.core.memory_account import MIN_RELEASED_BYTES, HeldKind, Releasable
from onyxwick.net import fastcgi
from onyxwick.net.write_queue import PendingWrite

if TYPE_CHECKING:
    from onyxwick.net.front_connection import ConnectionOwner, FrontConnection

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
    """Accounts for the memory of one connection, and releases it."""

    def __init__(self, connection: FrontConnection, owner: ConnectionOwner) -> None:
        self.connection = connection
        self.account = owner.memory
        self.owner = owner
        self._input = owner.memory.held[HeldKind.CLIENT_INPUT]
        self._input_bytes = 0  # accounted for this connection
        self._set_input(CONNECTION_BYTES + connection.parser.held_bytes)

    def _set_input(self, held_bytes: int) -> None:
        self._input.held_bytes += held_bytes - self._input_bytes
        self._input_bytes = held_bytes

    def update(self) -> None:
        """Account for what was received, and reclaim memory if there is too little."""
        parser = self.connection.parser
        parser.buffer.shrink()
        self._set_input(CONNECTION_BYTES + parser.held_bytes)
        self.account.reclaim(self.connection.last_active_at_s)

    def close(self) -> None:
        """Account for nothing any more."""
        self._set_input(0)

    # ---- answers -----------------------------------------------------------------------------------------

    def limit_answer(self, answer: FinalAnswer) -> FinalAnswer:
        """Return the answer, or a failure in its place if there is no memory to hold it.

        A failure is right for any class: the request may have been executed.
        """
        if len(answer.body) <= LARGE_ANSWER_BYTES or not self.account.is_above_reclaim_threshold():
            return answer
        now_s = time.monotonic()
        self.account.reclaim(now_s)
        has_much_to_read = self.connection.writes.held_bytes > MAX_UNREAD_BYTES
        if self.account.has_room(now_s) and not has_much_to_read:
            return answer
        self.owner.counters.add("answer.dropped")
        log.warning(
            "answer dropped, memory at its limit",
            connection=self.connection.number,
            bytes=len(answer.body),
            unwritten=self.connection.writes.pending_bytes,
            held=self.account.by_kind(),
        )
        return replace(answer, status=AnswerStatus.FAILED, body=b"", etag="", not_modified=False)

    # ---- release -----------------------------------------------------------------------------------------

    def releasable(self, now_s: float) -> Releasable | None:
        """Return what this connection would release; None if it is closing or holds little."""
        connection = self.connection
        if connection.half_closed_at_s or connection.close_reason is not None:
            return None
        if connection.writes.is_stalled(now_s, UNREAD_GRACE_S):
            kind = HeldKind.CLIENT_OUTPUT
            size = connection.writes.held_bytes + connection.parser.releasable_bytes
            progress_at_s = connection.writes.blocked_since_s
        else:
            kind = HeldKind.CLIENT_INPUT
            size = connection.parser.releasable_bytes
            progress_at_s = connection.last_active_at_s
        if size < MIN_RELEASED_BYTES:
            return None
        return Releasable(self, kind, size, progress_at_s, connection.opened_at_s)

    def release_memory(self, now_s: float) -> None:
        """Reject all partial calls; close the connection if it has no open call or does not read answers."""
        connection = self.connection
        is_stalled = connection.writes.is_stalled(now_s, UNREAD_GRACE_S)
        self._log_release(now_s)
        rejected = connection.parser.release_partial_calls()
        self._set_input(CONNECTION_BYTES + connection.parser.held_bytes)
        overloaded = fastcgi.ProtocolStatus.OVERLOADED
        ends = b"".join(fastcgi.encode_end_request(number, overloaded) for number in rejected)
        self.owner.counters.add("refused.memory", len(rejected))
        if is_stalled:
            self.owner.release(connection, now_s)
        elif connection.open_calls or connection.writes.pending_bytes:
            connection.writes.post(PendingWrite(ends))
        else:
            with contextlib.suppress(OSError):
                connection.sock.send(ends)
            self.owner.release(connection, now_s)

    def _log_release(self, now_s: float) -> None:
        connection = self.connection
        log.warning(
            "memory released",
            connection=connection.number,
            partial_calls=len(connection.parser.partial),
            input=self._input_bytes,
            unread=connection.writes.held_bytes,
            idle_s=round(now_s - connection.last_active_at_s, 3),
            open_s=round(now_s - connection.opened_at_s, 3),
            held=self.account.by_kind(),
        )
