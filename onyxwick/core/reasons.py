"""Reasons for which a request was rejected or failed, or a connection was closed.

Each is counted and logged. The values are parts of metric names and log fields, and must not change.
"""

from __future__ import annotations

from enum import Enum


class UnservedReason(Enum):
    """Reason for which a request was rejected or failed without an answer from a cache.

    Counted as `refused.VALUE`.
    """

    BAD_INPUT = "bad_input"
    CELL_FULL = "cell_full"
    CONNECTION_CLOSING = "connection_ending"
    RELEASED_IN_SHUTDOWN = "director_ending"
    """The request was admitted, and then released because the director is shutting down."""
    DUPLICATE_ID = "duplicate_id"
    INTERNAL_ERROR = "error"
    POSSIBLY_EXECUTED = "may_have_run"
    REJECTED_BY_ROUTER = "no_server"
    """The router, or a cell or site before it, rejected the request, for any cause. A trace gives the cause
    (docs/design/routing.md, "Why a request was rejected or failed")."""
    FAILED_BY_ROUTER = "failed"
    """The router failed the request, because it may have been executed."""
    DEADLINE_EXCEEDED = "overdue"
    FEED_UNCONFIRMED = "feed"
    """The request's time was over while it waited for the coordinator's feed; it was never sent."""
    REJECTED_IN_SHUTDOWN = "passed_on"
    """The request arrived on a connection that is about to close. The client may retry on another."""
    MEMORY_LIMIT = "memory"
    """The memory held for all clients and caches is at its limit."""
    TOO_MANY_REQUESTS = "too_many_open"
    UNREAD_ANSWER_LIMIT = "unread_answers"
    """Too many bytes of answers are buffered for clients that do not read them."""


class ConnectionCloseReason(Enum):
    """Reason for which a connection was closed. Counted as `ended.client.VALUE` and `ended.cache.VALUE`.

    The code that closes a connection gives the reason. If it gives none, the peer closed the connection.
    """

    ANSWER_STALLED = "answer_stuck"
    BAD_ANSWER = "bad_answer"
    BAD_INPUT = "bad_input"
    CONNECTION_ERROR = "broken"
    CLOSED_BY_PEER = "closed_by_peer"
    CLOSING = "closing"
    """The director is drained, or is shutting down."""
    CONNECT_FAILED = "connect_failed"
    CONNECT_FAILED_LOCALLY = "connect_failed_here"
    EVICTED = "displaced"
    """The connection was closed to make room for a new connection."""
    IDLE = "idle"
    MEMORY_NEEDED = "memory"
    """The connection held much memory and made no progress while memory was needed."""
    NO_KEEP_ALIVE = "not_kept"
    """The client requested a single answer on the connection."""
    SLOT_NEEDED = "place_needed"
    RETIRED = "retired"
    WRITE_STALLED = "stalled"
