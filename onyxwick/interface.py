"""The types that onyxwick's decisions are spoken in: settings, events and actions. Types only.

All times are whole microseconds of the caller's clock. A *member* is anything on the list that can
take attempts or fills: a cache, a parent (the tier behind the caches) or the origin. What is made for
each request is not frozen, which would triple the cost of making it.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, IntFlag
from typing import Protocol


class Idempotency(Enum):
    """What a second attempt of a request may do."""

    IDEMPOTENT = "safe"
    WITH_KEY = "keyed"
    NON_IDEMPOTENT = "unsafe"


class KeyScope(Enum):
    """Which caches recognise the repeat of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class SiblingFills(Enum):
    """Which other caches may be the source of a fill."""

    NONE = "none"
    ZONE = "zone"
    ANY = "any"


class MemberState(Enum):
    READY = "ready"
    DRAINING = "draining"
    REMOVED = "gone"


class EndpointListKind(Enum):
    """A change, a whole list, the list held before a restart (maybe stale), or a failed call."""

    CHANGE = "change"
    SNAPSHOT = "full"
    RESTORED = "cached"
    UNAVAILABLE = "failed"


class AttemptStatus(Enum):
    """How an attempt ended."""

    OK = "ok"
    ERROR = "error"
    OVERLOADED = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_SENT = "not_sent"
    MISS = "miss"

    @property
    def proves_not_executed(self) -> bool:
        """Does an attempt that ended so prove that nothing ran?"""
        return self in (
            AttemptStatus.OVERLOADED,
            AttemptStatus.CONNECT_FAILED,
            AttemptStatus.NOT_SENT,
            AttemptStatus.MISS,
        )


class AnswerDetail(Enum):
    """What an answer tells of how it came about."""

    NONE = 0
    HIT = 1
    FILLED = 2
    FILLED_FROM_ORIGIN = 3
    JOINED = 4
    STALE = 5
    SOURCE_REJECTED = 6
    SOURCE_UNREACHABLE = 7
    SOURCE_MISS = 8
    NO_FILL_SLOT = 9
    ORIGIN_FAILED = 10


class FillOption(IntFlag):
    """How a fill is made: may join one under way, source's own copy only, parent keeps none, renew behind."""

    NONE = 0
    COALESCE = 1
    ONLY_IF_CACHED = 2
    PARENT_NO_STORE = 4
    STALE_WHILE_REVALIDATE = 8


@dataclass(frozen=True, slots=True)
class RequestClass:
    name: str
    idempotency: Idempotency
    latency_objective_us: int
    deadline_us: int
    latency_objective_stretch: float = 0.0
    priority_weight: float = 1.0
    late_priority_weight: float = 0.0
    key_scope: KeyScope = KeyScope.ALL
    key_window_us: int = 0
    stream: bool = False
    is_write: bool = False
    segmented: bool = False
    freshness_lifetime_us: int = 0
    stale_grace_us: int = 0
    stale_priority_weight: float = 0.0


@dataclass(frozen=True, slots=True)
class ServiceRules:
    answer_grace_us: int
    drain_grace_us: int
    warm_up_start_share: float
    warm_up_us: int
    overload_multiple: float
    overload_window_us: int
    parent_warm_up_start_share: float
    parent_warm_up_us: int
    parent_overload_multiple: float
    purge_grace_us: int
    purge_retention_us: int
    origin_overload_multiple: float = 0.0
    origin_overload_window_us: int = 0
    max_poll_interval_us: int = 0


@dataclass(frozen=True, slots=True)
class RequestLimits:
    max_attempts: int
    cancellation: bool = False
    hedging: bool = False
    retry_after: bool = False
    max_retry_after_us: int = 0
    health_checks: bool = False
    gossip: bool = False
    connect_timeout_us: int = 0


@dataclass(frozen=True, slots=True)
class RouterSettings:
    zone: str
    classes: tuple[RequestClass, ...]
    rules: ServiceRules
    limits: RequestLimits
    parent_kind: str | None
    origin_kind: str | None
    router_count: int = 1
    zone_router_count: int = 1
    router_index: int = 0
    tick_us: int = 1000
    weight_source: str = "nominal"
    subscribe: bool = False
    cache_bypass: bool = False
    sibling_fills: SiblingFills = SiblingFills.NONE
    coalesces_fills: bool = False
    answer_detail: str = "off"
    transfer_kb_per_s: float = 0.0
    zone_link_kb_per_s: float = 0.0
    report_names: tuple[str, ...] = ()
    clients_mark_retries: bool = False


@dataclass(frozen=True, slots=True)
class Member:
    address: str
    zone: str
    kind: str
    cell: int
    state: MemberState
    weight: float
    started_at_us: int


@dataclass(frozen=True, slots=True)
class EndpointsChanged:
    kind: EndpointListKind
    members: tuple[Member, ...]
    version: int = 0


@dataclass(slots=True)
class RequestArrived:
    request_id: str
    class_name: str
    object_id: str
    expires_in_us: int
    size_kb: float = 0.0
    object_group: int | None = None
    part: int = 0
    is_retry: bool = False
    is_write: bool = False
    tenant: str | None = None
    client_site: str | None = None  # of the client, where an installation tells its sites apart


@dataclass(slots=True)
class AttemptEnded:
    request_id: str
    attempt_index: int
    member: str
    status: AttemptStatus
    latency_us: int
    is_final: bool
    detail: AnswerDetail = AnswerDetail.NONE
    upstream_wait_us: int = 0
    load_report: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class StreamStarted:
    request_id: str
    attempt_index: int
    member: str
    latency_us: int


@dataclass(slots=True)
class ClientDisconnected:
    request_id: str


@dataclass(frozen=True, slots=True)
class ObjectsPurged:
    """One object, or with `object` None every object of `group`, was purged `age_us` ago."""

    object_group: int
    object_id: str | None
    age_us: int


@dataclass(slots=True)
class TimerFired:
    token: str


@dataclass(frozen=True, slots=True)
class PeerMessage:
    sender: int
    payload: bytes


@dataclass(frozen=True, slots=True)
class LoadReportReceived:
    member: str
    status: AttemptStatus
    latency_us: int
    report: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class FleetShareChanged:
    """This router's part (over 0) of what its director may ask of the parents, where several routers of one
    director share them; and of what it may ask of its caches, warm and cold, where directors of other
    locations use them too. Over 1, and `origin` too, where other directors are known to ask nothing."""

    parent_share: float
    cache_share: float = 1.0
    warming_parent_share: float = 1.0  # times `part`, of a parent that is cold
    warming_cache_share: float = 1.0
    origin_share: float = 1.0


@dataclass(frozen=True, slots=True)
class RetryReserveChanged:
    """What this router may spend beyond one attempt a request: 1 as the limits say, 0 nothing."""

    retry_reserve: float


@dataclass(frozen=True, slots=True)
class EndpointFeedReceived:
    """The source of the list was heard, whether or not it had anything to tell."""


Event = (
    EndpointsChanged
    | FleetShareChanged
    | RetryReserveChanged
    | EndpointFeedReceived
    | RequestArrived
    | AttemptEnded
    | StreamStarted
    | ClientDisconnected
    | ObjectsPurged
    | TimerFired
    | PeerMessage
    | LoadReportReceived
)


@dataclass(slots=True)
class ForwardRequest:
    """Ask a member for what it holds (the origin: everything). `timeout_us` 0: till the client leaves."""

    request_id: str
    member: str
    timeout_us: int = 0


@dataclass(slots=True)
class ForwardWithFill:
    """An attempt with orders for a miss: the source, the rank of the copy (0: none), the oldest age that
    will do (0: the class's lifetime) and the manner. A source equal to the member: no fill."""

    request_id: str
    member: str
    fill_source: str
    retention_rank: int
    timeout_us: int = 0
    max_age_us: int = 0
    fill_options: FillOption = FillOption.NONE


@dataclass(slots=True)
class CancelAttempt:
    request_id: str
    attempt_index: int


@dataclass(slots=True)
class FailRequest:
    request_id: str


@dataclass(slots=True)
class RejectRequest:
    request_id: str
    retry_after_us: int = 0


@dataclass(slots=True)
class SetTimer:
    at_us: int
    token: str


@dataclass(frozen=True, slots=True)
class LogMessage:
    text: str


@dataclass(frozen=True, slots=True)
class SiteStateChanged:
    """A site (or hub) is held to be in another state, with the cause and the share of its objects that is
    away."""

    site: str
    previous_state: str
    state: str
    share_away: float
    reason: str


@dataclass(frozen=True, slots=True)
class SubscribeToEndpoints:
    enabled: bool = True


@dataclass(frozen=True, slots=True)
class PollEndpoints:
    pass


Action = (
    ForwardRequest
    | ForwardWithFill
    | CancelAttempt
    | FailRequest
    | RejectRequest
    | SetTimer
    | LogMessage
    | SiteStateChanged
    | SubscribeToEndpoints
    | PollEndpoints
)


class RequestRouter(Protocol):
    """What decides for one director: the events of one instant in, the actions on them out."""

    def handle(self, now: int, events: list[Event]) -> list[Action]: ...

    def ejected_count(self) -> int:
        """Members ejected for their errors or silence at present; a figure, not a decision."""
        ...
