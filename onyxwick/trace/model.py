"""The trace format's numbers and columns. See docs/trace-format.md.

The numbers, the names of the columns and the printed words are part of the format: they are never reused or
changed, and new ones are added at the end. Times are microseconds: Unix time where a column says so, else
from the arrival of the request.
"""

from __future__ import annotations

from enum import IntEnum

from onyxwick.errors import OnyxwickError

FORMAT_MAJOR = 1
FORMAT_MINOR = 0
NEVER = 0xFFFFFFFF
"""In place of a time: it did not happen."""
US_PER_S = 1_000_000


class TraceError(OnyxwickError):
    """A file is not a trace, or has a format that this reader does not know. The message says which."""


class TraceDamagedError(TraceError):
    """A part of a trace cannot be read; the parts before and after it can."""


class RecordedVerdict(IntEnum):
    """How a request ended for its client."""

    OPEN = 0
    """It had not ended when the file was closed."""
    SERVED = 1
    REJECTED = 2
    FAILED = 3
    CLIENT_LEFT = 4


class DecisionReason(IntEnum):
    """Why an attempt went to its member, or why the final answer is what it is."""

    UNKNOWN = 0
    HOME_CACHE = 1
    """The cache is the first in the object's rendezvous order."""
    ALTERNATED = 2
    """The second one, as a hot part alternates between two."""
    OTHERS_EJECTED = 3
    """Caches before it in the order are ejected."""
    OTHERS_WARMING_UP = 4
    """Caches before it are warming up and have used their budget."""
    OTHERS_AT_LIMIT = 5
    """Caches before it are at their concurrency limit."""
    OTHERS_TRIED = 6
    """Caches before it were tried."""
    CACHES_BYPASSED = 7
    """The member is no cache: the request is a write, or no cache is healthy."""
    HEDGED = 8
    """A hedged request, beside an attempt that is overdue."""
    ANSWERED = 20
    """An attempt's answer."""
    NO_TIME = 21
    """There was no time for an attempt before the client's deadline."""
    ATTEMPTS_EXHAUSTED = 22
    NO_CACHE = 23
    """No cache could take it."""
    NO_FILL_SOURCE = 24
    """The cache lacks the object and no member could fill it."""
    POSSIBLY_EXECUTED = 25
    """It may have been executed, and must not be twice."""
    RETRY_BUDGET_EMPTY = 26
    LOAD_SHED = 27
    """Its cell or site did not admit it."""
    CLIENT_LEFT = 28


VERDICT_WORDS = {
    RecordedVerdict.OPEN: "open",
    RecordedVerdict.SERVED: "served",
    RecordedVerdict.REJECTED: "refused",
    RecordedVerdict.FAILED: "failed",
    RecordedVerdict.CLIENT_LEFT: "left",
}
"""As commands and exports print them."""
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
"""As commands and exports print them."""
_VERDICT_WORD_BY_NUMBER = {int(verdict): word for verdict, word in VERDICT_WORDS.items()}
_REASON_WORD_BY_NUMBER = {int(reason): word for reason, word in REASON_WORDS.items()}


def verdict_word(number: int) -> str:
    """The printed word of a verdict; the number itself if a newer version has written it."""
    return _VERDICT_WORD_BY_NUMBER.get(number, str(number))


def reason_word(number: int) -> str:
    """The printed word of a reason; the number itself if a newer version has written it."""
    return _REASON_WORD_BY_NUMBER.get(number, str(number))


class NotificationKind(IntEnum):
    """What a director was notified of, or reports of itself."""

    START = 1
    STOP = 2
    LIST = 3
    """`members`: [id, zone, kind, state, weight, since_us]."""
    PURGE = 4
    CONFIG = 5
    SENT = 6
    """A non-idempotent write is sent: recorded at once, so that it is known even if the director crashes."""
    CLOCK = 7
    """Both clocks at one instant."""
    SITE = 8
    """A site or hub is taken to be in another state: site, was, now, share, why."""


# Columns of the requests: type code of `array`; one value a request, in the order of the final answers.
REQUEST_COLUMNS: dict[str, str] = {
    "id": "Q",
    "at": "q",  # arrival, Unix time
    "left": "I",  # time that the client would wait
    "class": "B",  # number of a string of the block, as are tenant and cell
    "tenant": "H",
    "cell": "H",
    "object": "Q",
    "part": "H",
    "group": "h",  # -1: none
    "flags": "B",  # CLIENT_RETRY_FLAG, WRITE_FLAG, NON_IDEMPOTENT_FLAG
    "verdict": "B",
    "why": "B",  # DecisionReason
    "took": "I",  # time to the final answer
    "after": "I",  # Retry-After that the client was given
    "bytes": "I",
    "director": "H",  # number of a string; 0, the empty one: the director of the file
    "attempts": "B",  # rows of this request among the attempts
}
# Columns of the attempts: one value an attempt, in the order of the requests and of their decisions.
ATTEMPT_COLUMNS: dict[str, str] = {
    "decided": "I",
    "sent": "I",
    "ended": "I",
    "cancel": "I",
    "member": "H",  # number of a string, as is source; 0, the empty one: none
    "source": "H",
    "rank": "B",
    "flags": "B",  # FillOption
    "age": "I",  # ms: age of the oldest copy that may answer
    "status": "B",  # place in STATUS_WORDS
    "detail": "B",
    "why": "B",  # DecisionReason
    "pending": "H",  # the router's estimates of the member: attempts in flight
    "room": "B",  # factor on its concurrency limit, in fiftieths
    "failing": "B",  # failure score, in 255ths
    "warm": "B",  # share of its capacity while it is warming up, in 255ths
    "dated": "q",  # when the origin gave out the copy, Unix time; 0: not known
}
COLUMN_BYTES = {"B": 1, "H": 2, "h": 2, "I": 4, "Q": 8, "q": 8}
CLIENT_RETRY_FLAG = 1
WRITE_FLAG = 2
NON_IDEMPOTENT_FLAG = 4
STATUS_WORDS = ("ok", "error", "full", "timeout", "connect_failed", "reset", "cancelled", "not_sent", "miss")
NOT_ENDED_STATUS = 255
"""In place of a status: the attempt had not ended when the file was closed."""
