"""Events: what has happened, as told to a router. All times are whole microseconds of the caller's clock.

What is made for each request is not frozen, as a frozen instance takes three times as long to make.
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
    """Rejected by the member, which had no capacity left."""
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_SENT = "not_sent"
    """Withdrawn before its first byte went out."""
    MISS = "miss"
    """The member had no copy and was not to fill one."""

    @property
    def proves_not_executed(self) -> bool:
        """Whether an attempt that ended so cannot have been executed."""
        return self in _NOT_EXECUTED


_NOT_EXECUTED = (
    AttemptStatus.OVERLOADED,
    AttemptStatus.CONNECT_FAILED,
    AttemptStatus.NOT_SENT,
    AttemptStatus.MISS,
)


class AnswerDetail(Enum):
    """What an answer tells of how it came about. The numbers are those of the wire and of traces."""

    NONE = 0
    HIT = 1
    FILLED = 2
    FILLED_FROM_ORIGIN = 3
    """Filled through a parent that lacked the object itself."""
    COALESCED = 4
    """Served by a fill that another request had begun."""
    STALE = 5
    SOURCE_REJECTED = 6
    SOURCE_UNREACHABLE = 7
    SOURCE_MISS = 8
    NO_FILL_SLOT = 9
    """The cache had as many fills under way as it runs."""
    ORIGIN_FAILED = 10


@dataclass(frozen=True, slots=True)
class EndpointsChanged:
    """The endpoint list or a change of it was received."""

    kind: EndpointListKind
    members: tuple[Member, ...]
    version: int = 0


@dataclass(frozen=True, slots=True)
class EndpointFeedReceived:
    """The source of the list was heard from, whether or not anything has changed."""


@dataclass(frozen=True, slots=True)
class FleetShareChanged:
    """Which share of the capacity of members this router may use, where others use them too. 1: all of it.

    Under 1 where several routers of one director, or directors of other sites, share the members; over 1
    where other directors are known to send nothing.
    """

    parent_share: float
    cache_share: float = 1.0
    warming_parent_share: float = 1.0
    """Multiplied with `parent_share`, of a parent that is warming up."""
    warming_cache_share: float = 1.0
    origin_share: float = 1.0


@dataclass(frozen=True, slots=True)
class RetryReserveChanged:
    """How much may be spent beyond one attempt a request: 1: as the limits say, 0: nothing."""

    retry_reserve: float


@dataclass(slots=True)
class RequestArrived:
    """A client's request was read completely."""

    request_id: str
    class_name: str
    object_id: str
    expires_in_us: int
    """How long the client still waits."""
    size_kb: float = 0.0
    """Size of the answer; 0: not known."""
    object_group: int | None = None
    """Group of objects that are purged together."""
    part: int = 0
    is_retry: bool = False
    """The client's own retry of an earlier request."""
    is_write: bool = False
    tenant: str | None = None
    client_site: str | None = None
    """Site of the client, where an installation distinguishes its sites."""


@dataclass(slots=True)
class AttemptEnded:
    """An attempt has ended. `is_final`: it gave the client its final answer."""

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
    """The first bytes of a streamed answer have gone to the client."""

    request_id: str
    attempt_index: int
    member: str
    latency_us: int


@dataclass(slots=True)
class ClientDisconnected:
    """The client has left, or has stopped waiting for this request."""

    request_id: str


@dataclass(frozen=True, slots=True)
class ObjectsPurged:
    """One object, or with `object_id` None every object of `object_group`, was purged `age_us` ago.

    `object_group` is ignored where an object is named.
    """

    object_group: int
    object_id: str | None
    age_us: int


@dataclass(slots=True)
class TimerFired:
    """A timer that the router has set has fired; `token` is the one it was set with."""

    token: str


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """Another router has sent a message (gossip)."""

    sender: int
    payload: bytes


@dataclass(frozen=True, slots=True)
class LoadReportReceived:
    """A member has answered a health check. `report`: in the order of `RouterSettings.report_names`."""

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
