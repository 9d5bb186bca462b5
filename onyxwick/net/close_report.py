"""Counts and logs the close of a client connection, and reports what the close broke to the invariants.

Times are monotonic seconds, sizes are bytes.
"""

from __future__ import annotations

import socket
import time
from typing import Protocol

from onyxwick import logs
from onyxwick.core import RequestEngine
from onyxwick.core.reasons import ConnectionCloseReason
from onyxwick.counters import Counters
from onyxwick.net.delivery import DeliveryTracker
from onyxwick.net.socket_state import is_closed_by_peer
from onyxwick.net.write_queue import WriteQueue

log = logs.get()
MAX_LOGGED_REQUESTS = 8
CLOSED_BY_CLIENT_REASONS = (
    ConnectionCloseReason.CLOSED_BY_PEER,
    ConnectionCloseReason.CONNECTION_ERROR,
    ConnectionCloseReason.WRITE_STALLED,
    ConnectionCloseReason.MEMORY_NEEDED,
)
"""Closes that the client caused: it left, or read nothing while its answers were held for it."""


class ClosedConnection(Protocol):
    """The connection that closes."""

    number: int
    sock: socket.socket
    writes: WriteQueue
    delivery: DeliveryTracker
    close_reason: ConnectionCloseReason | None
    complete_calls: int
    opened_at_s: float

    def open_request_ids(self) -> list[str]:
        """Return the ids of the requests that are not answered yet."""
        ...


def report_truncated_answer(
    connection: ClosedConnection, core: RequestEngine, counters: Counters, is_last_stage: bool
) -> None:
    """Report an answer that the close truncates, if this process closes the connection by itself.

    In the last stage of a shutdown it is counted and is no violation.
    """
    undelivered = connection.writes.pending_bytes + connection.delivery.in_flight_bytes(time.monotonic())
    reason = connection.close_reason
    is_own_close = reason is not None and reason not in CLOSED_BY_CLIENT_REASONS
    if not undelivered or not is_own_close or is_closed_by_peer(connection.sock):
        return
    counters.add("client.cut")
    if not is_last_stage:
        core.invariants.answer_truncated(connection.number, undelivered)


def report_close(connection: ClosedConnection, core: RequestEngine, counters: Counters) -> None:
    """Count and log a close with its reason and the requests that it leaves unanswered."""
    reason = connection.close_reason or ConnectionCloseReason.CLOSED_BY_PEER
    counters.add(f"ended.client.{reason.value}")
    owed = connection.open_request_ids()
    core.invariants.connection_closed(connection.number, len(owed), reason in CLOSED_BY_CLIENT_REASONS)
    log.info(
        "connection closed",
        connection=connection.number,
        reason=reason.value,
        calls=connection.complete_calls,
        open_s=round(time.monotonic() - connection.opened_at_s, 3),
        owed=owed[:MAX_LOGGED_REQUESTS],
        unwritten=connection.writes.pending_bytes,
    )
