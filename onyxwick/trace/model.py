"""What a trace holds: numbers with a meaning, and the columns of a block. See docs/trace-format.md.

The numbers are part of the format: they are never reused, and new ones are added at the end.
"""

from __future__ import annotations

from enum import IntEnum

MAJOR, MINOR = 1, 0
NEVER = 0xFFFFFFFF  # of a time within a life: it did not happen
S = 1_000_000


class TraceError(Exception):
    """A file that is no trace, or one of a format that this reader does not know; the text says which."""


class TraceDamagedError(TraceError):
    """A part of a trace that cannot be read; what is before and behind it can."""


class RecordedVerdict(IntEnum):
    """How a request ended for its client. OPEN: the file ends before it did."""

    OPEN = 0
    SERVED = 1
    REFUSED = 2
    FAILED = 3
    LEFT = 4


class DecisionReason(IntEnum):
    """Why an attempt went where it went, or why the final answer is what it is."""

    UNKNOWN = 0
    HOME = 1  # the first box in the object's order
    TURN = 2  # the second one, as two take turns over a hot part
    EJECTED = 3  # boxes before it are ejected
    COLD = 4  # boxes before it are cold and their budget is spent
    FULL = 5  # boxes before it have no room
    TRIED = 6  # boxes before it were tried
    DIRECT = 7  # past the boxes: a write, or no box to be had
    SECOND_COPY = 8  # a copy elsewhere of what is overdue
    ANSWERED = 20  # an attempt's answer
    NO_TIME = 21  # its time was over
    NO_ATTEMPTS = 22  # as many attempts as are allowed
    NO_BOX = 23  # no box could take it
    NO_SOURCE = 24  # no source could fill it, and the box lacks it
    MAY_HAVE_RUN = 25  # it may have run, and must not run twice
    NO_RETRIES = 26  # the retry budget is spent
    SHED = 27  # not let in by its cell
    CLIENT_LEFT = 28


class NotificationKind(IntEnum):
    """What a director was told, or tells of itself."""

    START = 1
    STOP = 2
    LIST = 3  # members: [id, zone, kind, state, weight, since_us]
    PURGE = 4
    CONFIG = 5
    SENT = 6  # a write that must not run twice, told at once: it is known even if the director dies
    CLOCK = 7  # both clocks at an instant
    SITE = 8  # a site or hub held to be in another state: site, was, now, share, why


LIVES: dict[str, str] = {  # column: array type code; one value a request, in order of the final answer
    "id": "Q",
    "at": "q",  # Unix us of arrival
    "left": "I",  # us that the client would wait
    "class": "B",  # index into the block's strings, as are tenant and cell
    "tenant": "H",
    "cell": "H",
    "object": "Q",
    "part": "H",
    "group": "h",  # -1: none
    "flags": "B",  # 1 a client's retry, 2 a write, 4 must not run twice
    "verdict": "B",
    "why": "B",
    "took": "I",  # us from arrival to the final answer
    "after": "I",  # us that the client was told to stay away
    "bytes": "I",
    "director": "H",  # index into the block's strings; 0, the empty one, for the file's own
    "attempts": "B",  # rows of this request among the attempts
}
ATTEMPTS: dict[str, str] = {  # one value an attempt, in the order of the lives and of their decisions
    "decided": "I",  # us from arrival, as are sent, ended and cancel
    "sent": "I",
    "ended": "I",
    "cancel": "I",
    "member": "H",  # index into the block's strings; 0, the empty one, for none
    "source": "H",
    "rank": "B",
    "flags": "B",  # share 1, peek 2, pass 4, swr 8
    "age": "I",  # ms: the oldest copy that would do
    "status": "B",
    "detail": "B",
    "why": "B",
    "pending": "H",  # what was believed of the member: attempts under way there
    "room": "B",  # its learned room, in fiftieths
    "failing": "B",  # its failing share, in 255ths
    "warm": "B",  # its warmth, in 255ths
    "dated": "q",  # Unix us at which the origin gave out the copy; 0: unknown
}
SIZES = {"B": 1, "H": 2, "h": 2, "I": 4, "Q": 8, "q": 8}
RETRY, WRITE, ONCE = 1, 2, 4
STATUSES = ("ok", "error", "full", "timeout", "connect_failed", "reset", "cancelled", "not_sent", "miss")
OPEN_STATUS = 255  # an attempt that had not ended
