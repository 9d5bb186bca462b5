"""The types that onyxwick's decisions are spoken in: settings, events and actions. Types only.

All times are whole microseconds of the caller's clock. A *member* is anything on the list that can
take attempts or fills: a cache, a parent (the tier behind the caches) or the origin. What is made for
each request is not frozen, which would triple the cost of making it.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, IntFlag
from typing import Protocol


class Repeat(Enum):
    """What a second attempt of a request may do."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class Scope(Enum):
    """Which caches recognise the repeat of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Siblings(Enum):
    """Which other caches may be the source of a fill."""

    NONE = "none"
    ZONE = "zone"
    ANY = "any"


class State(Enum):
    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(Enum):
    """A change, a whole list, the list held before a restart (maybe stale), or a failed call."""

    CHANGE = "change"
    FULL = "full"
    CACHED = "cached"
    FAILED = "failed"


class Status(Enum):
    """How an attempt ended."""

    OK = "ok"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_SENT = "not_sent"
    MISS = "miss"

    @property
    def proves_unrun(self) -> bool:
        """Does an attempt that ended so prove that nothing ran?"""
        return self in (Status.FULL, Status.CONNECT_FAILED, Status.NOT_SENT, Status.MISS)


class Detail(Enum):
    """What an answer tells of how it came about."""

    NONE = 0
    HIT = 1
    FILLED = 2
    FILLED_FROM_ORIGIN = 3
    JOINED = 4
    STALE = 5
    SOURCE_REFUSED = 6
    SOURCE_LOST = 7
    SOURCE_LACKS = 8
    NO_FILL_SLOT = 9
    ORIGIN_FAILED = 10


class FillFlag(IntFlag):
    """How a fill is made: may join one under way, source's own copy only, parent keeps none, renew behind."""

    NONE = 0
    JOIN = 1
    HELD_ONLY = 2
    PARENT_KEEPS_NONE = 4
    RENEW = 8


@dataclass(frozen=True, slots=True)
class RequestClass:
    name: str
    repeat: Repeat
    aim_us: int
    deadline_us: int
    aim_stretch: float = 0.0
    worth: float = 1.0
    late_worth: float = 0.0
    scope: Scope = Scope.ALL
    window_us: int = 0
    stream: bool = False
    write: bool = False
    segmented: bool = False
    lifetime_us: int = 0
    stale_us: int = 0
    stale_worth: float = 0.0


@dataclass(frozen=True, slots=True)
class Rules:
    answer_slack_us: int
    drain_grace_us: int
    cold_start: float
    cold_us: int
    overload_multiple: float
    overload_window_us: int
    parent_cold_start: float
    parent_cold_us: int
    parent_overload_multiple: float
    purge_grace_us: int
    purge_settles_us: int
    origin_overload_multiple: float = 0.0
    origin_overload_us: int = 0
    ask_within_us: int = 0


@dataclass(frozen=True, slots=True)
class Limits:
    attempts: int
    cancel: bool = False
    second_copies: bool = False
    retry_after: bool = False
    max_retry_after_us: int = 0
    probes: bool = False
    peers: bool = False
    connect_timeout_us: int = 0


@dataclass(frozen=True, slots=True)
class Settings:
    zone: str
    classes: tuple[RequestClass, ...]
    rules: Rules
    limits: Limits
    parent_kind: str | None
    origin_kind: str | None
    routers: int = 1
    routers_in_zone: int = 1
    index: int = 0
    tick_us: int = 1000
    weights: str = "nominal"
    subscribe: bool = False
    direct: bool = False
    siblings: Siblings = Siblings.NONE
    joins: bool = False
    answers_tell: str = "off"
    pace_kb_per_s: float = 0.0
    link_kb_per_s: float = 0.0
    report_names: tuple[str, ...] = ()
    marks_repeats: bool = False


@dataclass(frozen=True, slots=True)
class Member:
    address: str
    zone: str
    kind: str
    cell: int
    state: State
    weight: float
    since_us: int


@dataclass(frozen=True, slots=True)
class MembersChanged:
    kind: ListKind
    members: tuple[Member, ...]
    version: int = 0


@dataclass(slots=True)
class RequestArrived:
    request: str
    class_name: str
    object: str
    expires_in_us: int
    size_kb: float = 0.0
    group: int | None = None
    part: int = 0
    repeat: bool = False
    write: bool = False
    tenant: str | None = None
    site: str | None = None  # of the client, where an installation tells its sites apart


@dataclass(slots=True)
class AttemptEnded:
    request: str
    attempt: int
    member: str
    status: Status
    latency_us: int
    final: bool
    detail: Detail = Detail.NONE
    waited_us: int = 0
    report: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class StreamStarted:
    request: str
    attempt: int
    member: str
    latency_us: int


@dataclass(slots=True)
class ClientLeft:
    request: str


@dataclass(frozen=True, slots=True)
class Purged:
    """One object, or with `object` None every object of `group`, was purged `age_us` ago."""

    group: int
    object: str | None
    age_us: int


@dataclass(slots=True)
class TimerFired:
    token: str


@dataclass(frozen=True, slots=True)
class PeerMessage:
    sender: int
    payload: bytes


@dataclass(frozen=True, slots=True)
class LoadReport:
    member: str
    status: Status
    latency_us: int
    report: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class PartChanged:
    """This router's part (over 0) of what its director may ask of the parents, where several routers of one
    director share them; and of what it may ask of its caches, warm and cold, where directors of other
    locations use them too. Over 1, and `origin` too, where other directors are known to ask nothing."""

    part: float
    caches: float = 1.0
    cold_part: float = 1.0  # times `part`, of a parent that is cold
    cold: float = 1.0
    origin: float = 1.0


@dataclass(frozen=True, slots=True)
class ReserveChanged:
    """What this router may spend beyond one attempt a request: 1 as the limits say, 0 nothing."""

    reserve: float


@dataclass(frozen=True, slots=True)
class FeedHeard:
    """The source of the list was heard, whether or not it had anything to tell."""


Event = (
    MembersChanged
    | PartChanged
    | ReserveChanged
    | FeedHeard
    | RequestArrived
    | AttemptEnded
    | StreamStarted
    | ClientLeft
    | Purged
    | TimerFired
    | PeerMessage
    | LoadReport
)


@dataclass(slots=True)
class Attempt:
    """Ask a member for what it holds (the origin: everything). `timeout_us` 0: till the client leaves."""

    request: str
    member: str
    timeout_us: int = 0


@dataclass(slots=True)
class Fetch:
    """An attempt with orders for a miss: the source, the rank of the copy (0: none), the oldest age that
    will do (0: the class's lifetime) and the manner. A source equal to the member: no fill."""

    request: str
    member: str
    source: str
    rank: int
    timeout_us: int = 0
    max_age_us: int = 0
    flags: FillFlag = FillFlag.NONE


@dataclass(slots=True)
class Cancel:
    request: str
    attempt: int


@dataclass(slots=True)
class Fail:
    request: str


@dataclass(slots=True)
class Refuse:
    request: str
    retry_after_us: int = 0


@dataclass(slots=True)
class SetTimer:
    at_us: int
    token: str


@dataclass(frozen=True, slots=True)
class Log:
    text: str


@dataclass(frozen=True, slots=True)
class SiteChanged:
    """A site (or hub) is held to be in another state, with the cause and the share of its objects that is
    away."""

    site: str
    was: str
    now: str
    share: float
    why: str


@dataclass(frozen=True, slots=True)
class Subscribe:
    on: bool = True


@dataclass(frozen=True, slots=True)
class AskList:
    pass


Action = Attempt | Fetch | Cancel | Fail | Refuse | SetTimer | Log | SiteChanged | Subscribe | AskList


class Decider(Protocol):
    """What decides for one director: the events of one instant in, the actions on them out."""

    def handle(self, now: int, events: list[Event]) -> list[Action]: ...

    def ejected(self) -> int:
        """Members ejected for their errors or silence at present; a figure, not a decision."""
        ...
