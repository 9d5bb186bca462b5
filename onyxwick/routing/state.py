"""Records of the router: the state of each member, each request and each attempt.

The records contain no rules. A member is a cache, a parent (the tier behind the caches) or the origin.
Times are in microseconds of the caller's clock. Records are compared by identity.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from onyxwick.interface import Member, RequestArrived, RequestClass

AttemptKey = tuple[str, int]
"""Request id and attempt index."""

NEVER_US = -1_000_000_000
"""Earlier than any time that a clock gives."""


@dataclass(slots=True, eq=False)
class WarmUpSend:
    """Records work that was sent to a member while it was warming up."""

    sent_us: int
    transfer_us: float


@dataclass(slots=True, eq=False)
class MemberRecord:
    """Holds the state of one member, from the endpoint list and from its answers."""

    info: Member
    warming_since_us: int
    """Time of the member's last start, announced or assumed; 0 if it is not known or long past."""
    assumed_restarted: bool = False
    """Whether `warming_since_us` is only assumed: the member was unresponsive, but the list announced no
    restart."""
    last_answer_us: int = 0
    """Time of the member's last answer; for a fill source, of its last completed fill."""
    recent_answers: float = 0.0
    """Number of the member's answers up to `last_answer_us`, with exponential decay."""
    in_flight: dict[AttemptKey, None] = field(default_factory=dict)
    """Attempts that use the member, in the order in which they were started."""
    last_attempt_ended_us: int = 0
    last_attempt_latency_us: int = 0

    failure_score: float = 0.0
    """Share of failures among the member's last answers, 0 to 1."""
    ejected: bool = False
    ejected_until_us: int = 0
    consecutive_ejections: int = 0
    unresponsive: bool = False
    """Whether the member was ejected because it gave no answer; such a member may have restarted."""
    last_reset_us: int = NEVER_US
    """Time at which an attempt at the member was last reset."""

    limit_factor: float = 1.0
    """Factor, learned from answers, by which the member's concurrency limit is multiplied."""
    concurrency_limit: float = 0.0
    """The limit that the last admission decision used, in transfers."""
    late_share: float = 0.0
    """Share of late answers among the member's last answers, 0 to 1."""
    mean_in_flight: float = 0.0
    """Moving average of the attempts in flight, updated at each admission decision."""
    mean_in_flight_at_us: int = 0

    warm_up_sends: deque[WarmUpSend] = field(default_factory=deque)
    """Work sent to the member within the last overload window while it is warming up."""


@dataclass(slots=True, eq=False)
class Attempt:
    """Holds the state of one attempt of a request."""

    member: MemberRecord
    """The member that the request was sent to."""
    fill_source: MemberRecord | None
    """The member that a miss is filled from; None if a miss is not filled from another member."""
    started_us: int
    cached_only: bool = False
    """Whether the fill source serves only objects that it has cached itself."""
    origin: MemberRecord | None = None
    """The origin, if the fill source may fetch from it; otherwise None."""
    fill_source_send: WarmUpSend | None = None
    """Work recorded for this attempt at a fill source that is warming up."""
    in_flight: bool = True
    cancelled: bool = False
    hedged: bool = False
    """Whether a hedged request was sent because this attempt was overdue."""
    missed: bool = False
    """Whether the attempt found that the object is not cached, which does not count as a failure."""


@dataclass(slots=True, eq=False)
class RequestState:
    """Holds the state of one client request and its attempts."""

    arrival: RequestArrived
    request_class: RequestClass
    deadline_us: int
    retention_rank: int
    """Rank at which a cache keeps its copy; 0 means that it keeps none."""
    closed: bool = False
    """Whether the final answer is decided or the client has disconnected."""
    attempts: list[Attempt] = field(default_factory=list)
    possibly_executed: Attempt | None = None
    """The first ended attempt that may have been executed; None if there is none."""

    @property
    def any_in_flight(self) -> bool:
        """Whether at least one attempt has not ended."""
        return any(attempt.in_flight for attempt in self.attempts)
