"""Settings of one router: request classes, service rules, limits and facts about the deployment."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Idempotency(Enum):
    """Whether a request that may have been executed may be sent again."""

    IDEMPOTENT = "safe"
    """The request may be sent again any number of times."""
    WITH_KEY = "keyed"
    """The request may be sent again within `RequestClass.key_window_us`, to caches that recognise its key
    (`KeyScope`)."""
    NON_IDEMPOTENT = "unsafe"
    """The request may not be sent again, unless it is certain that no earlier attempt was executed."""


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
    """Meaning of the weight of a listed member."""

    NONE = "off"
    """Weights have no meaning: every weight is 1, and a member's capacity is inferred from the links."""
    NOMINAL = "nominal"
    """The weight is the member's registered capacity in concurrent transfers, exactly or approximately."""
    LIVE = "live"
    """The weight is the member's capacity divided by its load some time ago; it differs from list to list."""


class AnswerDetailLevel(Enum):
    """How much detail answers contain about how they were produced (`events.AnswerDetail`)."""

    NONE = "off"
    HIT_ONLY = "hit"
    FULL = "all"


@dataclass(frozen=True, slots=True)
class RequestClass:
    """Settings for all requests of one class. Weights are relative to those of the other classes."""

    name: str
    idempotency: Idempotency
    latency_objective_us: int
    """An answer within this time counts with the full weight of the class."""
    deadline_us: int
    """The total time for which a client waits, including retries."""
    latency_objective_stretch: float = 0.0
    """The latency objective is extended by this multiple of the request's own transfer time."""
    priority_weight: float = 1.0
    late_priority_weight: float = 0.0
    """An answer after the latency objective but before the deadline counts with this share of the class's
    weight."""
    key_scope: KeyScope = KeyScope.ALL
    key_window_us: int = 0
    """How long a cache recognises a retry by its idempotency key, counted from the first attempt that may
    have been executed."""
    stream: bool = False
    is_write: bool = False
    """Requests are executed at the origin, and their answers are never cached."""
    segmented: bool = False
    """Objects consist of parts that clients request one after another."""
    freshness_lifetime_us: int = 0
    """How long a copy is fresh; 0 means until the object is purged."""
    stale_grace_us: int = 0
    """How long after the end of its freshness lifetime a copy may still be served."""
    stale_priority_weight: float = 0.0
    """An answer from a stale copy counts with this share of the class's weight."""


@dataclass(frozen=True, slots=True)
class ServiceRules:
    """Parameters of the rules that no decision may violate. Shares refer to a member's full capacity."""

    answer_grace_us: int
    """A final answer may be sent up to this long after the client's deadline."""
    drain_grace_us: int
    """From this long after a cache starts to drain or is removed, no new requests may be sent to it."""
    warm_up_start_share: float
    """A cache that has just started has at least this share of its capacity."""
    warm_up_us: int
    """A cache has its full capacity this long after its start."""
    overload_multiple: float
    """A cache that is warming up fails if the load sent to it exceeds this multiple of its capacity for
    `overload_window_us`."""
    overload_window_us: int
    """How long the load must exceed `overload_multiple` until the cache fails."""
    parent_warm_up_start_share: float
    parent_warm_up_us: int
    parent_overload_multiple: float
    purge_grace_us: int
    """From this long after a purge, a copy that is older than the purge must not be served."""
    purge_retention_us: int
    """This long after a purge, no copy that is older than the purge exists anywhere."""
    origin_overload_multiple: float = 0.0
    """The origin pauses if the load sent to it exceeds this multiple of its capacity; 0 means never."""
    origin_overload_window_us: int = 0
    max_poll_interval_us: int = 0
    """A router without a subscription counts as notified of the endpoint list if it has not polled the list
    for this long."""


@dataclass(frozen=True, slots=True)
class RequestLimits:
    """The actions that a router may take for one request."""

    max_attempts: int
    cancellation: bool = False
    """Attempts may be cancelled."""
    hedging: bool = False
    """Two attempts of one request may be in flight at the same time."""
    retry_after: bool = False
    """A rejection may tell the client when to retry."""
    max_retry_after_us: int = 0
    health_checks: bool = False
    gossip: bool = False
    """Routers may send each other messages."""
    connect_timeout_us: int = 0


@dataclass(frozen=True, slots=True)
class RouterSettings:
    """All settings that a router receives when it starts."""

    zone: str
    classes: tuple[RequestClass, ...]
    rules: ServiceRules
    limits: RequestLimits
    parent_kind: str | None
    """Kind of the members that are parents; None means that there are no parents."""
    origin_kind: str | None
    """Kind of the member that is the origin; None means that there is no origin."""
    router_count: int = 1
    zone_router_count: int = 1
    """Number of routers that serve the clients of the same zone, including this router."""
    router_index: int = 0
    tick_us: int = 1000
    """Minimum time between two calls of the router."""
    weight_source: WeightSource = WeightSource.NOMINAL
    subscribe: bool = False
    """Changes of the endpoint list are sent only to subscribers."""
    cache_bypass: bool = False
    """Requests may be sent directly to a parent or the origin, bypassing the caches."""
    sibling_fills: SiblingFills = SiblingFills.NONE
    coalesces_fills: bool = False
    """A fill may join a fill of the same object that is already in progress."""
    answer_detail: AnswerDetailLevel = AnswerDetailLevel.NONE
    transfer_kb_per_s: float = 0.0
    """Full rate of one transfer to a client; listed weights count such transfers. 0 means unknown."""
    zone_link_kb_per_s: float = 0.0
    """Capacity of the zone's only link for fills; 0 means unknown."""
    report_names: tuple[str, ...] = ()
    """Names of the values of a load report, in the order of the values."""
    clients_mark_retries: bool = False
