"""Why a request was refused or failed, and why a connection ended: one reason each, counted and logged."""

from __future__ import annotations

from enum import Enum


class RejectionReason(Enum):
    """Why a request got no answer of a cache's. Counted as `refused.REASON`."""

    BAD_INPUT = "bad_input"
    CELL_FULL = "cell_full"
    CONNECTION_ENDING = "connection_ending"
    DIRECTOR_ENDING = "director_ending"  # it was taken, and is given back as the director ends
    DUPLICATE_ID = "duplicate_id"
    ERROR = "error"
    MAY_HAVE_RUN = "may_have_run"
    NO_SERVER = "no_server"  # the module refused it: nothing can take it, or it may be tried elsewhere
    FAILED = "failed"  # the module failed it: it may have run
    OVERDUE = "overdue"
    PASSED_ON = "passed_on"
    TOO_MANY_OPEN = "too_many_open"
    UNREAD_ANSWERS = "unread_answers"


class ConnectionCloseReason(Enum):
    """Why a connection ended. Counted as `ended.client.REASON` and `ended.cache.REASON`."""

    ANSWER_STUCK = "answer_stuck"
    BAD_ANSWER = "bad_answer"
    BAD_INPUT = "bad_input"
    BROKEN = "broken"
    CLOSED_BY_PEER = "closed_by_peer"
    CLOSING = "closing"  # the director is drained or ends
    CONNECT_FAILED = "connect_failed"
    CONNECT_FAILED_HERE = "connect_failed_here"
    DISPLACED = "displaced"
    IDLE = "idle"
    NOT_KEPT = "not_kept"  # the client asked for one answer alone
    PLACE_NEEDED = "place_needed"
    RETIRED = "retired"
    STALLED = "stalled"


"""Each is told by who ends the connection; what nobody told of is the other side's close."""
