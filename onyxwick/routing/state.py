"""Records of the router: what it knows of each member, each request and each attempt.

They hold state and no rules. A member is a cache, a parent (the tier behind the caches) or the origin.
Times are microseconds of the caller's clock. Records are compared by identity.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from onyxwick.interface import Member, RequestArrived, RequestClass

AttemptKey = tuple[str, int]
"""Request id and attempt index."""

NEVER_US = -1_000_000_000
"""Before any time of a clock."""


@dataclass(slots=True, eq=False)
class WarmUpSend:
    """Work that was sent to a member while it was warming up."""

    sent_us: int
    transfer_us: float


@dataclass(slots=True, eq=False)
class MemberRecord:
    """What is known of one member, from the endpoint list and from its answers."""

    info: Member
    warming_since_us: int
    """Its last start, as announced or assumed; 0: not known, or long ago."""
    assumed_restarted: bool = False
    """`warming_since_us` is an assumption: it was unresponsive, and the list has not announced a restart."""
    last_answer_us: int = 0
    """Its last answer; of a fill source, its last completed fill."""
    recent_answers: float = 0.0
    """Answers up to `last_answer_us`, decayed."""
    in_flight: dict[AttemptKey, None] = field(default_factory=dict)
    """Attempts that use it, in the order they were started."""
    last_attempt_ended_us: int = 0
    last_attempt_latency_us: int = 0

    failure_score: float = 0.0
    """Share of failures among its last answers, 0 to 1."""
    ejected: bool = False
    ejected_until_us: int = 0
    consecutive_ejections: int = 0
    unresponsive: bool = False
    """Ejected as it gave no answer; it may have restarted."""
    last_reset_us: int = NEVER_US
    """When an attempt at it was last reset."""

    limit_factor: float = 1.0
    """Learned factor on its concurrency limit."""
    concurrency_limit: float = 0.0
    """The limit that the last admission decision used, in transfers."""
    late_share: float = 0.0
    """Share of late answers among its last ones, 0 to 1."""
    mean_in_flight: float = 0.0
    """Attempts in flight, a moving average over the admission decisions."""
    mean_in_flight_at_us: int = 0

    warm_up_sends: deque[WarmUpSend] = field(default_factory=deque)
    """What it was sent within the last overload window while warming up."""


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt of a request."""

    member: MemberRecord
    """The member that the request was sent to."""
    fill_source: MemberRecord | None
    """The member that a miss is filled from; None: it is not filled from another member."""
    started_us: int
    cached_only: bool = False
    """The fill source serves only what it holds itself."""
    origin: MemberRecord | None = None
    """The origin, where the fill source may go on to it."""
    fill_source_send: WarmUpSend | None = None
    """What a fill source that is warming up was charged for this attempt."""
    in_flight: bool = True
    cancelled: bool = False
    hedged: bool = False
    """A hedged request was sent, as this attempt was overdue."""
    missed: bool = False
    """It found that the object is not cached, which is no failure."""


@dataclass(slots=True, eq=False)
class RequestState:
    """One client request and its attempts."""

    arrival: RequestArrived
    request_class: RequestClass
    deadline_us: int
    retention_rank: int
    """Rank at which a cache keeps its copy; 0: it keeps none."""
    closed: bool = False
    """The final answer is decided, or the client has left."""
    attempts: list[Attempt] = field(default_factory=list)
    possibly_executed: Attempt | None = None
    """The first ended attempt that may have been executed."""

    @property
    def any_in_flight(self) -> bool:
        """Whether an attempt has not ended."""
        return any(attempt.in_flight for attempt in self.attempts)
