"""Carries out a stage of a front's shutdown on one connection; `core/shutdown.py` decides on the step.

Times are monotonic seconds.
"""

from __future__ import annotations

from onyxwick import logs
from onyxwick.core.reasons import ConnectionCloseReason
from onyxwick.core.shutdown import ConnectionState, ConnectionStep, ShutdownStage, next_step
from onyxwick.net.front_connection import FrontConnection
from onyxwick.net.lingering import MAX_FINAL_READS
from onyxwick.net.socket_state import unread_bytes

log = logs.get()
MAX_LOGGED_REQUESTS = 4


def advance(
    connection: FrontConnection,
    stage: ShutdownStage,
    now_s: float,
    may_answer_open_calls: bool,
    must_answer_all: bool,
) -> None:
    """Carry out the step that the stage requires of the connection.

    With `may_answer_open_calls`, open calls may get final answers now. With `must_answer_all`, this includes
    calls whose request may have been executed and must not be repeated.
    """
    if stage is ShutdownStage.SERVING or connection.half_closed_at_s:
        return
    connection.delivery.in_flight_bytes(now_s)  # sampled on each call, also while calls are open
    if connection.open_calls and stage < ShutdownStage.RELEASE_REQUESTS:
        return
    if connection.ignores_new_calls:
        close_when_written(connection, now_s, ConnectionCloseReason.CLOSING)
        return
    if connection.is_closing and not connection.open_calls:
        return  # its reader task closes it
    match next_step(stage, _connection_state(connection, now_s)):
        case ConnectionStep.RELEASE_REQUESTS if may_answer_open_calls:
            connection.answer_open_calls(must_answer_all)
        case ConnectionStep.READ_REMAINING:
            _receive_remaining(connection)
            close_when_written(connection, now_s, ConnectionCloseReason.CLOSING)
        case ConnectionStep.CLOSE:
            connection.half_close(now_s, ConnectionCloseReason.CLOSING)
        case _:
            pass


def close_when_written(connection: FrontConnection, now_s: float, reason: ConnectionCloseReason) -> None:
    """Close the connection if all calls are answered and the last answer is written."""
    if not (connection.open_calls or connection.writes.pending_bytes or connection.half_closed_at_s):
        connection.half_close(now_s, reason)


def _receive_remaining(connection: FrontConnection) -> None:
    """Read the bytes already received, and ignore later calls, which would keep the connection open."""
    for _ in range(MAX_FINAL_READS):
        if not unread_bytes(connection.sock):
            break
        connection.receive_available()
    connection.ignores_new_calls = True


def _connection_state(connection: FrontConnection, now_s: float) -> ConnectionState:
    return ConnectionState(
        request_count=connection.complete_calls,
        unanswered=len(connection.open_calls),
        unwritten_bytes=connection.writes.pending_bytes,
        since_delivered_s=connection.delivery.seconds_since_backlog(now_s),
        has_partial_request=connection.parser.has_partial_call,
        has_unread_input=unread_bytes(connection.sock) > 0,
        age_s=now_s - connection.opened_at_s,
        idle_s=now_s - connection.last_active_at_s,
    )


def log_held(connection: FrontConnection, now_s: float, stage: str) -> None:
    """Log why a connection is still open at a shutdown stage."""
    log.info(
        "connection held",
        connection=connection.number,
        stage=stage,
        open_s=round(now_s - connection.opened_at_s, 3),
        rest_s=round(now_s - connection.last_active_at_s, 3),
        calls=connection.complete_calls,
        owed=connection.open_request_ids()[:MAX_LOGGED_REQUESTS],
        half=connection.parser.has_partial_call,
        unwritten=connection.writes.pending_bytes,
        in_flight=connection.delivery.in_flight_bytes(now_s),
    )
