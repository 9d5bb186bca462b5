"""The numbers and columns of the trace format. See docs/trace-format.md.

The numbers, column names and printed words are part of the format. They are never reused or changed, and
new ones are added at the end. Times are in microseconds, counted from the arrival of the request unless a
column is described as Unix time.
"""

from __future__ import annotations

from enum import IntEnum

from onyxwick.errors import OnyxwickError

FORMAT_MAJOR = 1
FORMAT_MINOR = 0
NEVER = 0xFFFFFFFF
"""Stored instead of a time if the event did not happen."""
US_PER_S = 1_000_000


class TraceError(OnyxwickError):
    """A file is not a trace or has an unsupported format. The message states which."""


class TraceDamagedError(TraceError):
    """A part of a trace cannot be read. The parts before and after it may still be readable."""


class RecordedVerdict(IntEnum):
    """The outcome of a request for its client."""

    OPEN = 0
    """The request had not ended when the file was closed."""
    SERVED = 1
    REJECTED = 2
    FAILED = 3
    CLIENT_LEFT = 4


class DecisionReason(IntEnum):
    """The reason for the choice of an attempt's member, or for a final answer."""

    UNKNOWN = 0
    HOME_CACHE = 1
    """The cache is first in the object's rendezvous order."""
    ALTERNATED = 2
    """The cache is second in the order. Requests for a hot part alternate between the first two caches."""
    OTHERS_EJECTED = 3
    """A cache before it in the order is ejected."""
    OTHERS_WARMING_UP = 4
    """A cache before it in the order is warming up and has used its budget."""
    OTHERS_AT_LIMIT = 5
    """A cache before it in the order is at its concurrency limit."""
    OTHERS_TRIED = 6
    """A cache before it in the order was already tried."""
    CACHES_BYPASSED = 7
    """The member is not a cache: the request is a write, or no cache is healthy."""
    HEDGED = 8
    """A hedged request, sent in addition to an overdue attempt."""
    ANSWERED = 20
    """The final answer is the answer of an attempt."""
    NO_TIME = 21
    """There was no time for an attempt before the client's deadline."""
    ATTEMPTS_EXHAUSTED = 22
    NO_CACHE = 23
    """No cache could accept the request."""
    NO_FILL_SOURCE = 24
    """The cache does not have the object and no member could fill it."""
    POSSIBLY_EXECUTED = 25
    """The request may have been executed and must not be executed twice."""
    RETRY_BUDGET_EMPTY = 26
    LOAD_SHED = 27
    """The cell or site did not admit the request."""
    CLIENT_LEFT = 28


VERDICT_WORDS = {
    RecordedVerdict.OPEN: "open",
    RecordedVerdict.SERVED: "served",
    RecordedVerdict.REJECTED: "refused",
    RecordedVerdict.FAILED: "failed",
    RecordedVerdict.CLIENT_LEFT: "left",
}
"""The words that commands and exports print for verdicts."""
REASON_WORDS = {
    DecisionReason.UNKNOWN: "unknown",
    DecisionReason.HOME_CACHE: "home",
    DecisionReason.ALTERNATED: "turn",
    DecisionReason.OTHERS_EJECTED: "ejected",
    DecisionReason.OTHERS_WARMING_UP: "cold",
    DecisionReason.OTHERS_AT_LIMIT: "full",
    DecisionReason.OTHERS_TRIED: "tried",
    DecisionReason.CACHES_BYPASSED: "direct",
    DecisionReason.HEDGED: "second_copy",
    DecisionReason.ANSWERED: "answered",
    DecisionReason.NO_TIME: "no_time",
    DecisionReason.ATTEMPTS_EXHAUSTED: "no_attempts",
    DecisionReason.NO_CACHE: "no_box",
    DecisionReason.NO_FILL_SOURCE: "no_source",
    DecisionReason.POSSIBLY_EXECUTED: "may_have_run",
    DecisionReason.RETRY_BUDGET_EMPTY: "no_retries",
    DecisionReason.LOAD_SHED: "shed",
    DecisionReason.CLIENT_LEFT: "client_left",
}
"""The words that commands and exports print for reasons."""
_VERDICT_WORD_BY_NUMBER = {int(verdict): word for verdict, word in VERDICT_WORDS.items()}
_REASON_WORD_BY_NUMBER = {int(reason): word for reason, word in REASON_WORDS.items()}


def verdict_word(number: int) -> str:
    """Return the printed word of a verdict, or its number as text if a newer version defines it."""
    return _VERDICT_WORD_BY_NUMBER.get(number, str(number))


def reason_word(number: int) -> str:
    """Return the printed word of a reason, or its number as text if a newer version defines it."""
    return _REASON_WORD_BY_NUMBER.get(number, str(number))


class NotificationKind(IntEnum):
    """Kinds of notifications that a director receives, and of reports on itself."""

    START = 1
    STOP = 2
    LIST = 3
    """An endpoint list. `members` has rows of [id, zone, kind, state, weight, since_us]."""
    PURGE = 4
    CONFIG = 5
    SENT = 6
    """A non-idempotent write is about to be sent. Recorded at once, so that a crash of the director does not
    hide it.
    """
    CLOCK = 7
    """The Unix and monotonic clocks at the same instant."""
    SITE = 8
    """A site or hub is considered to be in another state. Fields: site, was, now, share, why."""


# Request columns with their `array` type codes: one value per request, in the order in which requests ended.
REQUEST_COLUMNS: dict[str, str] = {
    "id": "Q",
    "at": "q",  # arrival in Unix time
    "left": "I",  # time until the client's deadline
    "class": "B",  # number of a string in the block, as are `tenant` and `cell`
    "tenant": "H",
    "cell": "H",
    "object": "Q",
    "part": "H",
    "group": "h",  # -1 means none
    "flags": "B",  # CLIENT_RETRY_FLAG, WRITE_FLAG, NON_IDEMPOTENT_FLAG
    "verdict": "B",
    "why": "B",  # DecisionReason
    "took": "I",  # time until the final answer
    "after": "I",  # Retry-After time sent to the client; 0 means none
    "bytes": "I",
    "director": "H",  # number of a string; 0, the empty string, means the director of the file
    "attempts": "B",  # number of attempts of the request
}
# Attempt columns: one value per attempt, in the order of the requests and of the decisions for each request.
ATTEMPT_COLUMNS: dict[str, str] = {
    "decided": "I",
    "sent": "I",
    "ended": "I",
    "cancel": "I",
    "member": "H",  # number of a string, as is `source`; 0, the empty string, means none
    "source": "H",
    "rank": "B",
    "flags": "B",  # FillOption
    "age": "I",  # maximum age of a copy that may be used to answer, in ms
    "status": "B",  # index in STATUS_WORDS
    "detail": "B",
    "why": "B",  # DecisionReason
    # Attempts in flight; this and the next three columns are the router's estimates of the member.
    "pending": "H",
    "room": "B",  # factor on the member's concurrency limit, in fiftieths
    "failing": "B",  # failure score of the member, in 255ths
    "warm": "B",  # share of its capacity that the member has while it is warming up, in 255ths
    "dated": "q",  # time at which the origin served the copy, Unix time; 0 means unknown
}
COLUMN_BYTES = {"B": 1, "H": 2, "h": 2, "I": 4, "Q": 8, "q": 8}
CLIENT_RETRY_FLAG = 1
WRITE_FLAG = 2
NON_IDEMPOTENT_FLAG = 4
STATUS_WORDS = ("ok", "error", "full", "timeout", "connect_failed", "reset", "cancelled", "not_sent", "miss")
NOT_ENDED_STATUS = 255
"""Stored instead of a status if the attempt had not ended when the file was closed."""
