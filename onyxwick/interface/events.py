"""Events that a router receives. All times are integer microseconds of the caller's clock.

Dataclasses that are created for each request are not frozen, because creating a frozen instance takes three
times as long.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from onyxwick.interface.endpoints import EndpointListKind, Member


class AttemptStatus(Enum):
    """How an attempt ended."""

    OK = "ok"
    ERROR = "error"
    OVERLOADED = "full"
    """The member rejected the attempt because it had no capacity left."""
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_SENT = "not_sent"
    """The attempt was withdrawn before its first byte was sent."""
    MISS = "miss"
    """The member had no copy and had been instructed not to fill a miss."""

    @property
    def proves_not_executed(self) -> bool:
        """Whether an attempt that ended with this status cannot have been executed."""
        return self in _NOT_EXECUTED


_NOT_EXECUTED = (
    AttemptStatus.OVERLOADED,
    AttemptStatus.CONNECT_FAILED,
    AttemptStatus.NOT_SENT,
    AttemptStatus.MISS,
)


class AnswerDetail(Enum):
    """How an answer was produced. The values are those of the wire protocol and of traces."""

    NONE = 0
    HIT = 1
    FILLED = 2
    FILLED_FROM_ORIGIN = 3
    """Filled through a parent that did not have the object itself."""
    COALESCED = 4
    """Served by a fill that another request had started."""
    STALE = 5
    SOURCE_REJECTED = 6
    SOURCE_UNREACHABLE = 7
    SOURCE_MISS = 8
    NO_FILL_SLOT = 9
    """The cache was already running its maximum number of concurrent fills."""
    ORIGIN_FAILED = 10


@dataclass(frozen=True, slots=True)
class EndpointsChanged:
    """The endpoint list, or a change to the list, was received."""

    kind: EndpointListKind
    members: tuple[Member, ...]
    version: int = 0


@dataclass(frozen=True, slots=True)
class EndpointFeedReceived:
    """The source of the endpoint list sent data, whether or not the list has changed."""


@dataclass(frozen=True, slots=True)
class FleetShareChanged:
    """The share of the members' capacity that this router may use; 1 means all of the capacity.

    Below 1 if several routers of one director, or directors of other sites, share the members; above 1 if
    other directors are known to send nothing.
    """

    parent_share: float
    cache_share: float = 1.0
    warming_parent_share: float = 1.0
    """Factor applied to `parent_share` for a parent that is warming up."""
    warming_cache_share: float = 1.0
    """Used instead of `cache_share` for a cache that is warming up."""
    origin_share: float = 1.0


@dataclass(frozen=True, slots=True)
class RetryReserveChanged:
    """The router may use this share, 0 to 1, of the permitted attempts after a request's first."""

    retry_reserve: float


@dataclass(slots=True)
class RequestArrived:
    """A client's request was received completely."""

    request_id: str
    class_name: str
    object_id: str
    expires_in_us: int
    """Time until the client stops waiting for the answer."""
    size_kb: float = 0.0
    """Size of the answer; 0 means unknown."""
    object_group: int | None = None
    """Group of objects that are purged together; None means that the object belongs to no group."""
    part: int = 0
    is_retry: bool = False
    """Whether the client itself retries an earlier request."""
    is_write: bool = False
    tenant: str | None = None
    client_site: str | None = None
    """Site of the client, if the installation distinguishes client sites."""


@dataclass(slots=True)
class AttemptEnded:
    """An attempt has ended. `is_final` says whether it gave the client its final answer."""

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
    """The first bytes of a streamed answer were sent to the client."""

    request_id: str
    attempt_index: int
    member: str
    latency_us: int


@dataclass(slots=True)
class ClientDisconnected:
    """The client has disconnected, or has stopped waiting for this request."""

    request_id: str


@dataclass(frozen=True, slots=True)
class ObjectsPurged:
    """An object was purged `age_us` ago, or every object of `object_group` if `object_id` is None.

    `object_group` is ignored if `object_id` names an object.
    """

    object_group: int
    object_id: str | None
    age_us: int


@dataclass(slots=True)
class TimerFired:
    """A timer that the router has set has fired; `token` is the token of its `SetTimer` action."""

    token: str


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """A message was received from another router (gossip)."""

    sender: int
    payload: bytes


@dataclass(frozen=True, slots=True)
class LoadReportReceived:
    """A member has answered a health check. `report` is in the order of `RouterSettings.report_names`."""

    member: str
    status: AttemptStatus
    latency_us: int
    report: tuple[float, ...] = ()


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
