"""Why a request was rejected or failed, and why a connection was closed. Each is counted and logged.

The values are parts of metric names and log fields, and stay as they are.
"""

from __future__ import annotations

from enum import Enum


class UnservedReason(Enum):
    """Why a request was rejected or failed without a cache's answer. Counted as `refused.VALUE`."""

    BAD_INPUT = "bad_input"
    CELL_FULL = "cell_full"
    CONNECTION_CLOSING = "connection_ending"
    RELEASED_IN_SHUTDOWN = "director_ending"
    """It was admitted, and released as the director is shutting down."""
    DUPLICATE_ID = "duplicate_id"
    INTERNAL_ERROR = "error"
    POSSIBLY_EXECUTED = "may_have_run"
    REJECTED_BY_ROUTER = "no_server"
    """The router, or a cell or site before it, rejected it, for whatever cause: a trace names it
    (docs/design/routing.md, "Why a request was rejected or failed")."""
    FAILED_BY_ROUTER = "failed"
    """The router failed it: it may have been executed."""
    DEADLINE_EXCEEDED = "overdue"
    REJECTED_IN_SHUTDOWN = "passed_on"
    """A new request while its connection is to be closed: the client may retry on another one."""
    TOO_MANY_REQUESTS = "too_many_open"
    UNREAD_ANSWER_LIMIT = "unread_answers"
    """Too many bytes of answers are held for clients that do not read them."""


class ConnectionCloseReason(Enum):
    """Why a connection was closed. Counted as `ended.client.VALUE` and `ended.cache.VALUE`.

    The side that closes a connection names the reason; where none is named, the other side closed it.
    """

    ANSWER_STALLED = "answer_stuck"
    BAD_ANSWER = "bad_answer"
    BAD_INPUT = "bad_input"
    CONNECTION_ERROR = "broken"
    CLOSED_BY_PEER = "closed_by_peer"
    CLOSING = "closing"
    """The director is drained or shutting down."""
    CONNECT_FAILED = "connect_failed"
    CONNECT_FAILED_LOCALLY = "connect_failed_here"
    EVICTED = "displaced"
    """Closed in favour of a new connection."""
    IDLE = "idle"
    NO_KEEP_ALIVE = "not_kept"
    """The client asked for a single answer."""
    SLOT_NEEDED = "place_needed"
    RETIRED = "retired"
    WRITE_STALLED = "stalled"
