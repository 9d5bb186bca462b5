"""Settings of one router: request classes, rules of service, limits, and facts of the deployment."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Idempotency(Enum):
    """Whether a request that may have been executed may be sent again."""

    IDEMPOTENT = "safe"
    """Any number of times."""
    WITH_KEY = "keyed"
    """Within `RequestClass.key_window_us`, to caches that recognise its key (`KeyScope`)."""
    NON_IDEMPOTENT = "unsafe"
    """Never, unless it is proved that no earlier attempt was executed."""


class KeyScope(Enum):
    """Which caches recognise the retry of a request with an idempotency key."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class SiblingFills(Enum):
    """Which other caches may be the source of a fill."""

    NONE = "none"
    ZONE = "zone"
    ANY = "any"


class WeightSource(Enum):
    """What the weight of a listed member stands for."""

    NONE = "off"
    """Nothing: every weight is 1, and a member's capacity is inferred from the links."""
    NOMINAL = "nominal"
    """Its registered capacity in concurrent transfers, exactly or nearly."""
    LIVE = "live"
    """Its capacity divided by its load some time ago; differs from list to list."""


class AnswerDetailLevel(Enum):
    """How much an answer tells of how it came about (`events.AnswerDetail`)."""

    NONE = "off"
    HIT_ONLY = "hit"
    FULL = "all"


@dataclass(frozen=True, slots=True)
class RequestClass:
    """What holds for all requests of one class. Weights are relative to those of the other classes."""

    name: str
    idempotency: Idempotency
    latency_objective_us: int
    """An answer within this time earns the full weight."""
    deadline_us: int
    """A client waits this long in all, retries included."""
    latency_objective_stretch: float = 0.0
    """The objective grows by this multiple of the request's own transfer time."""
    priority_weight: float = 1.0
    late_priority_weight: float = 0.0
    """Share of the weight that an answer between objective and deadline earns."""
    key_scope: KeyScope = KeyScope.ALL
    key_window_us: int = 0
    """How long a cache recognises the retry, from the first attempt that may have been executed."""
    stream: bool = False
    is_write: bool = False
    """Executed at the origin and never kept in a cache."""
    segmented: bool = False
    """Objects come in parts that clients request one after another."""
    freshness_lifetime_us: int = 0
    """How long a copy is fresh; 0: until it is purged."""
    stale_grace_us: int = 0
    """How much older than fresh a copy may be and still be served."""
    stale_priority_weight: float = 0.0
    """Share of the weight that an answer from a stale copy earns."""


@dataclass(frozen=True, slots=True)
class ServiceRules:
    """Figures of the rules that no decision may break. Shares are of a member's full capacity."""

    answer_grace_us: int
    """A final answer may come this much after the client's deadline."""
    drain_grace_us: int
    """After this much nothing new may be sent to a cache that drains or is gone."""
    warm_up_start_share: float
    """A cache that has just started has at least this share."""
    warm_up_us: int
    """It has its full capacity after this time."""
    overload_multiple: float
    """A cache that is warming up fails when it is sent more than this multiple of its capacity ..."""
    overload_window_us: int
    """... for this long."""
    parent_warm_up_start_share: float
    parent_warm_up_us: int
    parent_overload_multiple: float
    purge_grace_us: int
    """From this much after a purge no copy older than it may answer."""
    purge_retention_us: int
    """After this much no copy older than a purge is left anywhere."""
    origin_overload_multiple: float = 0.0
    """The origin pauses when it is sent more than this multiple of its capacity; 0: never."""
    origin_overload_window_us: int = 0
    max_poll_interval_us: int = 0
    """Without a subscription a router that has not polled for this long counts as notified of the list."""


@dataclass(frozen=True, slots=True)
class RequestLimits:
    """What a router may do for one request."""

    max_attempts: int
    cancellation: bool = False
    """Attempts may be cancelled."""
    hedging: bool = False
    """Two attempts of one request may be in flight together."""
    retry_after: bool = False
    """A rejection may tell the client when to come again."""
    max_retry_after_us: int = 0
    health_checks: bool = False
    gossip: bool = False
    """Routers may send each other messages."""
    connect_timeout_us: int = 0


@dataclass(frozen=True, slots=True)
class RouterSettings:
    """All that one router is told at its start."""

    zone: str
    classes: tuple[RequestClass, ...]
    rules: ServiceRules
    limits: RequestLimits
    parent_kind: str | None
    """Kind of the members that are parents; None: there are none."""
    origin_kind: str | None
    router_count: int = 1
    zone_router_count: int = 1
    """Routers that serve the clients of the same zone, this one included."""
    router_index: int = 0
    tick_us: int = 1000
    """Least time between two calls of the router."""
    weight_source: WeightSource = WeightSource.NOMINAL
    subscribe: bool = False
    """List changes come only after a subscription."""
    cache_bypass: bool = False
    """Requests may go to a parent or the origin without a cache before it."""
    sibling_fills: SiblingFills = SiblingFills.NONE
    coalesces_fills: bool = False
    """A fill may join one of the same object that is under way."""
    answer_detail: AnswerDetailLevel = AnswerDetailLevel.NONE
    transfer_kb_per_s: float = 0.0
    """Rate of one transfer to a client at full speed; listed weights count such transfers. 0: not known."""
    zone_link_kb_per_s: float = 0.0
    """What the zone's one link for fills carries; 0: not known."""
    report_names: tuple[str, ...] = ()
    """Names of the values of a load report, in their order."""
    clients_mark_retries: bool = False
