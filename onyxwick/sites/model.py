"""The topology that operators state: sites, hubs, the origin, links, load and policy. Types only.

A *site* has caches, directors and clients. A *hub* has parent caches, the *origin* every object. A capacity
is a number of transfers that go on at once at full pace; the work of a class is its rate times the time that
one of its answers takes at full pace, which by Little's law (1961) is the number of its transfers that go on
at once.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from onyxwick.errors import OnyxwickError

MICROSECONDS_PER_SECOND = 1_000_000
ORIGIN_PLACE = "archive"  # the origin's name among places, in plans and reports
DEFAULT_SITE_FIELD = "X-Site"
NO_TENANT = ""  # the tenant of load that names none


class SitesError(OnyxwickError):
    """Base of the errors of this package."""


class TopologyError(SitesError, ValueError):
    """A topology that cannot be used: `kind` and `name` of the row, its `field`, and the `reason`."""

    def __init__(self, kind: str, name: str, field_name: str, reason: str) -> None:
        super().__init__(f"{kind} '{name}': {field_name}: {reason}")
        self.kind = kind
        self.name = name
        self.field = field_name
        self.reason = reason


@dataclass(frozen=True, slots=True)
class Site:
    """One site. `zone`: of its caches on the endpoint list."""

    name: str
    zone: str
    capacity: float  # of all its caches
    directors: int = 1
    caches: int = 1
    failover: Mapping[str, float] = field(
        default_factory=dict
    )  # where its clients connect instead, by weight


@dataclass(frozen=True, slots=True)
class Hub:
    """Parent caches at one place, or the origin. `capacity`: of all of them."""

    name: str
    zone: str
    capacity: float


@dataclass(frozen=True, slots=True)
class NetworkLink:
    """The link between two places (sites, hubs, the origin). Capacity 0: not bounded."""

    ends: tuple[str, str]
    capacity: float = 0.0
    delay_us: int = 0


@dataclass(frozen=True, slots=True)
class PlannedClass:
    """A class of requests as the plan weighs it; shares are 0 to 1."""

    name: str
    transfer_us: int  # of one answer at full pace
    fill_us: int  # of one fill at full pace, at its source
    fill_share: float  # of its requests that are filled
    parent_miss_share: float  # of its fills that a parent must fetch from the origin
    priority_weight: float = 1.0
    is_write: bool = False
    shared_object_share: float = 0.0  # of its requests, for objects that other sites' clients request, too

    @property
    def work(self) -> float:
        """Transfers of answers at once for each request a second."""
        return self.transfer_us / MICROSECONDS_PER_SECOND

    @property
    def fill_work(self) -> float:
        """Transfers of fills at once for each request a second."""
        return self.fill_share * self.fill_us / MICROSECONDS_PER_SECOND


@dataclass(frozen=True, slots=True)
class OfferedLoad:
    """Requests a second of one class and tenant from the clients of one site, stated or measured."""

    class_name: str
    site: str
    rate_per_s: float
    tenant: str = NO_TENANT


@dataclass(frozen=True, slots=True)
class SitePolicy:
    """How sites are observed, left and returned to."""

    client_site_field: str = DEFAULT_SITE_FIELD  # the request field that names the client's site
    automatic: bool = True  # a lost site is left without a command
    headroom: float = 0.1  # share of each capacity that the plan leaves unused
    confirm_us: int = 1_200_000  # silence that makes a suspected site a lost one
    step_interval_us: int = 250_000  # between two steps of the moved share
    evacuation_steps: int = 4
    return_steps: int = 8
    hold_us: int = 4 * MICROSECONDS_PER_SECOND  # of answered trials before a return; doubled with each flap
    remote_share: float = 0.3  # of a warming cache's budget, for the directors of all other sites together
    max_trials: int = 4  # requests at once to a site that is not known to answer


@dataclass(frozen=True, slots=True)
class Topology:
    """All places, the load of each class and the policy. Checked by `topology_check.check_topology`."""

    sites: Mapping[str, Site]
    hubs: Mapping[str, Hub]
    origin: Hub  # named `ORIGIN_PLACE`
    classes: Mapping[str, PlannedClass]
    loads: tuple[OfferedLoad, ...]
    links: Mapping[frozenset[str], NetworkLink] = field(default_factory=dict)
    tenant_reserves: Mapping[str, float] = field(
        default_factory=dict
    )  # share of a tenant's load that is kept
    policy: SitePolicy = field(default_factory=SitePolicy)

    @property
    def directors(self) -> int:
        """The number of directors at all sites."""
        return sum(site.directors for site in self.sites.values())

    def link(self, one: str, other: str) -> NetworkLink | None:
        """The stated link between two places, if any."""
        return self.links.get(frozenset((one, other)))

    def delay_us(self, one: str, other: str) -> int:
        """The stated delay between two places, 0 where none is stated."""
        link = self.link(one, other)
        return link.delay_us if link is not None else 0

    def nearest(self, site: str, others: Iterable[str]) -> list[str]:
        """Other sites, the nearest first: those with a stated link by its delay, then the rest by name."""
        candidates = [other for other in others if other != site]
        return sorted(
            candidates,
            key=lambda other: (self.link(site, other) is None, self.delay_us(site, other), other),
        )

    def site_of_zone(self, zone: str) -> str | None:
        """The site whose caches are in this zone."""
        return next((site.name for site in self.sites.values() if site.zone == zone), None)

    def client_arrivals(self, site: str, lost: Iterable[str]) -> dict[str, float]:
        """Where the clients of a site connect, by share, while some sites are lost."""
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
