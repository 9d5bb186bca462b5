"""Releases the memory of a client connection: what loses no answer first, then the connection itself.

Times are monotonic seconds.
"""

from __future__ import annotations

import contextlib
from functools import partial

from onyxwick.core.memory_account import Releasable
from onyxwick.net.front_connection import FrontConnection
from onyxwick.net.socket_state import unread_bytes
from onyxwick.net.write_queue import PendingWrite


def releasable(connection: FrontConnection, now_s: float) -> list[Releasable]:
    """Return the memory that a connection would release; none if it is closing or holds little."""
    if connection.half_closed_at_s or connection.close_reason is not None:
        return []
    return connection.memory.releasable(
        partial(_shorten, connection), partial(_end, connection), now_s, connection.last_active_at_s
    )


def _shorten(connection: FrontConnection, now_s: float) -> None:
    """Reject partial calls, shorten answers that are not begun, and close if nothing else is owed."""
    connection.memory.log_release(now_s, connection.last_active_at_s, ends=False)
    connection.memory.shorten_answers()
    rejections = connection.memory.reject_partial_calls()
    # Bytes that are not read yet may complete a call, which is then owed an answer.
    if connection.open_calls or connection.writes.pending_bytes or unread_bytes(connection.sock):
        if rejections:
            connection.writes.post(PendingWrite(rejections))
        return
    with contextlib.suppress(OSError):
        connection.sock.send(rejections)
    connection.owner.release(connection, now_s)


def _end(connection: FrontConnection, now_s: float) -> None:
    """Close the connection with the answers that its client has stopped to read."""
    connection.memory.log_release(now_s, connection.last_active_at_s, ends=True)
    connection.owner.release(connection, now_s)
