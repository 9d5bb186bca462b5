"""Types for the topology that operators state: sites, hubs, the origin, links, load and policy.

A *site* has caches, directors and clients. A *hub* has parent caches, and the *origin* has every object. A
capacity is a number of concurrent transfers at full speed. The work of a class is its rate times the
duration of one of its answers at full speed, which by Little's law (1961) is the number of its concurrent
transfers.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from onyxwick.errors import OnyxwickError

MICROSECONDS_PER_SECOND = 1_000_000
ORIGIN_PLACE = "archive"  # name of the origin among places, in plans and reports
DEFAULT_SITE_FIELD = "X-Site"
NO_TENANT = ""  # tenant of load that names no tenant


class SitesError(OnyxwickError):
    """Base class of the errors of this package."""


class TopologyError(SitesError, ValueError):
    """A topology is invalid. States `kind` and `name` of the row, its `field`, and the `reason`."""

    def __init__(self, kind: str, name: str, field_name: str, reason: str) -> None:
        super().__init__(f"{kind} '{name}': {field_name}: {reason}")
        self.kind = kind
        self.name = name
        self.field = field_name
        self.reason = reason


@dataclass(frozen=True, slots=True)
class Site:
    """One site. `zone`: the zone of its caches in the endpoint list."""

    name: str
    zone: str
    capacity: float  # concurrent transfers of all its caches
    directors: int = 1
    caches: int = 1
    # The weights of the other sites that its clients fail over to, by site.
    failover: Mapping[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Hub:
    """The parent caches at one place, or the origin. `capacity`: concurrent transfers of all of them."""

    name: str
    zone: str
    capacity: float


@dataclass(frozen=True, slots=True)
class NetworkLink:
    """The link between two places (sites, hubs, the origin). Capacity 0: unbounded."""

    ends: tuple[str, str]
    capacity: float = 0.0
    delay_us: int = 0


@dataclass(frozen=True, slots=True)
class PlannedClass:
    """The planning data of a request class; shares are 0 to 1."""

    name: str
    transfer_us: int  # duration of one answer at full speed
    fill_us: int  # duration of one fill at full speed, at its source
    fill_share: float  # share of its requests that need a fill
    parent_miss_share: float  # share of its fills that a parent has to fetch from the origin
    priority_weight: float = 1.0
    is_write: bool = False
    # Share of its requests that are for objects that other sites' clients also request.
    shared_object_share: float = 0.0

    @property
    def work(self) -> float:
        """Return the concurrent transfers of answers for each request per second."""
        return self.transfer_us / MICROSECONDS_PER_SECOND

    @property
    def fill_work(self) -> float:
        """Return the concurrent transfers of fills for each request per second."""
        return self.fill_share * self.fill_us / MICROSECONDS_PER_SECOND


@dataclass(frozen=True, slots=True)
class OfferedLoad:
    """Requests per second of one class and tenant from the clients of one site, stated or measured."""

    class_name: str
    site: str
    rate_per_s: float
    tenant: str = NO_TENANT


@dataclass(frozen=True, slots=True)
class SitePolicy:
    """How sites are observed, when they are evacuated, and how traffic returns to them."""

    client_site_field: str = DEFAULT_SITE_FIELD  # request field that names the site of the client
    automatic: bool = True  # a lost site is evacuated without an operator command
    headroom: float = 0.1  # share of each capacity that the plan leaves unused
    confirm_us: int = 1_200_000  # time without an answer after which a suspected site is lost
    step_interval_us: int = 250_000  # shortest time between two changes of the moved share
    evacuation_steps: int = 4
    return_steps: int = 8
    # Time of answered trials before a return; doubled by each flap.
    hold_us: int = 4 * MICROSECONDS_PER_SECOND
    remote_share: float = 0.3  # share of a warming cache's budget for all directors of other sites together
    max_trials: int = 4  # concurrent requests to a site that is not known to be reachable


@dataclass(frozen=True, slots=True)
class Topology:
    """All places, the load of each class, and the policy. `topology_check.check_topology` checks it."""

    sites: Mapping[str, Site]
    hubs: Mapping[str, Hub]
    origin: Hub  # named `ORIGIN_PLACE`
    classes: Mapping[str, PlannedClass]
    loads: tuple[OfferedLoad, ...]
    links: Mapping[frozenset[str], NetworkLink] = field(default_factory=dict)
    # By tenant, the reserved share of its load.
    tenant_reserves: Mapping[str, float] = field(default_factory=dict)
    policy: SitePolicy = field(default_factory=SitePolicy)

    @property
    def directors(self) -> int:
        """Return the number of directors at all sites."""
        return sum(site.directors for site in self.sites.values())

    def link(self, one: str, other: str) -> NetworkLink | None:
        """Return the stated link between two places; None if there is none."""
        return self.links.get(frozenset((one, other)))

    def delay_us(self, one: str, other: str) -> int:
        """Return the stated delay between two places in us; 0 if none is stated."""
        link = self.link(one, other)
        return link.delay_us if link is not None else 0

    def nearest(self, site: str, others: Iterable[str]) -> list[str]:
        """Return the other sites, nearest first: sites with a stated link by its delay, then the rest by
        name."""
        candidates = [other for other in others if other != site]
        return sorted(
            candidates,
            key=lambda other: (self.link(site, other) is None, self.delay_us(site, other), other),
        )

    def site_of_zone(self, zone: str) -> str | None:
        """Return the site whose caches are in this zone; None if there is none."""
        return next((site.name for site in self.sites.values() if site.zone == zone), None)

    def client_arrivals(self, site: str, lost: Iterable[str]) -> dict[str, float]:
        """Return by site the share of one site's clients that connects to it while some sites are lost.

        Clients of a lost site use its remaining failover sites, or if there are none all remaining sites
        equally. Empty if all sites are lost."""
        lost_sites = set(lost)
        if site not in lost_sites:
            return {site: 1.0}
        failover = {
            other: weight
            for other, weight in self.sites[site].failover.items()
            if other not in lost_sites and weight > 0
        }
        weights = failover or {other: 1.0 for other in self.sites if other not in lost_sites}
        total = sum(weights.values())
        return {other: weight / total for other, weight in weights.items()}
