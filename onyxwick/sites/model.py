"""What operators say of sites: topology, load, policy, checked whole. Types and their checks only.

A *site* is a depot: boxes, directors, clients. A *hub* holds relay stores, the *archive* everything. A
capacity is a number of transfers that go on at once at full pace; the work of a class is its rate times the
time that one of its answers takes at full pace, which by Little's law (1961) is the transfers of it that go
on at once.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

MICROSECONDS_PER_SECOND = 1_000_000
S = MICROSECONDS_PER_SECOND
ORIGIN_PLACE = "archive"
DEFAULT_SITE_FIELD = "X-Site"
MAX_SITES, MAX_HUBS, MAX_CLASSES, MAX_TENANTS = 512, 64, 64, 256  # bounds on memory and on the programme
NO_TENANT = ""  # the tenant of load that names none


class TopologyError(ValueError):
    """A topology that cannot be used. Names what is wrong: the kind of row, its name and its field."""

    def __init__(self, kind: str, name: str, field_name: str, text: str) -> None:
        super().__init__(f"{kind} '{name}': {field_name}: {text}")
        self.kind, self.name, self.field, self.reason = kind, name, field_name, text


@dataclass(frozen=True, slots=True)
class Site:
    """One depot. `zone`: its boxes' zone on the list. `failover`: where its clients go when it serves them no
    more, by share; empty: evenly to all others."""

    name: str
    zone: str
    capacity: float  # of all its boxes
    directors: int = 1
    caches: int = 1
    failover: Mapping[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Hub:
    """Relay stores at one place. `capacity`: of all of them."""

    name: str
    zone: str
    capacity: float


@dataclass(frozen=True, slots=True)
class NetworkLink:
    """The link between two places (sites, hubs, the archive). Capacity 0: not bounded."""

    ends: tuple[str, str]
    capacity: float = 0.0
    delay_us: int = 0


@dataclass(frozen=True, slots=True)
class PlannedClass:
    """A class of requests as the plan weighs it. `sending_us`: of one answer at full pace; `fill_us`: the
    same of one fill, at its source; `fill_share`: of its requests that are filled; `relay_share`: of its
    fills that a relay store must fetch from the archive."""

    name: str
    transfer_us: int
    fill_us: int
    fill_share: float
    parent_miss_share: float
    priority_weight: float = 1.0
    is_write: bool = False
    shared_object_share: float = 0.0  # of its requests: for objects that the clients of other sites want, too

    @property
    def work(self) -> float:
        """Transfers of answers for each request a second."""
        return self.transfer_us / S

    @property
    def fill_work(self) -> float:
        """Transfers of fills for each request a second."""
        return self.fill_share * self.fill_us / S


@dataclass(frozen=True, slots=True)
class OfferedLoad:
    """Requests a second of one class and tenant from the clients of one site, as stated or as seen."""

    class_name: str
    site: str
    rate_per_s: float
    tenant: str = NO_TENANT


@dataclass(frozen=True, slots=True)
class SitePolicy:
    """How sites are watched, left and returned to."""

    client_site_field: str = DEFAULT_SITE_FIELD  # the request field that names the client's site
    automatic: bool = True  # a lost site is left by itself; else on an order alone
    headroom: float = 0.1  # of each capacity that the plan leaves free
    confirm_us: int = 1_200_000  # silence that makes a suspected site a lost one
    step_interval_us: int = 250_000  # between two steps of a share
    evacuation_steps: int = 4  # in which a site is left
    return_steps: int = 8  # in which it is returned to
    hold_us: int = 4 * S  # for which trials must be answered before a return; doubled with each flap
    remote_share: float = 0.3  # of a cold box's budget that the directors of all other sites have together
    max_trials: int = 4  # requests at once that go to a site that is not known to answer


@dataclass(frozen=True, slots=True)
class Topology:
    sites: Mapping[str, Site]
    hubs: Mapping[str, Hub]
    origin: Hub  # named `archive`
    classes: Mapping[str, PlannedClass]
    loads: tuple[OfferedLoad, ...]
    links: Mapping[frozenset[str], NetworkLink] = field(default_factory=dict)
    tenant_reserves: Mapping[str, float] = field(
        default_factory=dict
    )  # tenant: share of its load that is kept
    policy: SitePolicy = field(default_factory=SitePolicy)

    @property
    def directors(self) -> int:
        return sum(site.directors for site in self.sites.values())

    def link(self, one: str, other: str) -> NetworkLink | None:
        return self.links.get(frozenset((one, other)))

    def delay_us(self, one: str, other: str) -> int:
        found = self.link(one, other)
        return found.delay_us if found is not None else 0

    def nearest(self, site: str, others: Iterable[str]) -> list[str]:
        """Other sites, the nearest first: those that a stated path leads to, by its delay, then the rest."""
        here = [s for s in others if s != site]
        return sorted(here, key=lambda s: (self.link(site, s) is None, self.delay_us(site, s), s))

    def site_of_zone(self, zone: str) -> str | None:
        """The site whose boxes' zone this is."""
        return next((s.name for s in self.sites.values() if s.zone == zone), None)

    def hub_of_zone(self, zone: str) -> str | None:
        return next((h.name for h in self.hubs.values() if h.zone == zone), None)

    def client_arrivals(self, site: str, lost: Iterable[str]) -> dict[str, float]:
        """Where the clients of a site come, by share, while some sites serve nobody."""
        gone = set(lost)
        if site not in gone:
            return {site: 1.0}
        told = {s: w for s, w in self.sites[site].failover.items() if s not in gone and w > 0}
        left = told or {s: 1.0 for s in self.sites if s not in gone}
        whole = sum(left.values())
        return {s: w / whole for s, w in left.items()}


def _bounds(top: Topology) -> None:
    rows = (("site", top.sites, MAX_SITES), ("hub", top.hubs, MAX_HUBS), ("load", top.classes, MAX_CLASSES))
    for kind, found, most in rows:
        if len(found) > most:
            raise TopologyError(kind, "", "count", f"{len(found)} are over the bound of {most}")
    tenants = {load.tenant for load in top.loads}
    if len(tenants) > MAX_TENANTS:
        raise TopologyError("load", "", "tenants", f"{len(tenants)} are over the bound of {MAX_TENANTS}")
    if len(top.sites) < 2:
        raise TopologyError(
            "site", next(iter(top.sites), ""), "count", "the loss of a site wants two at least"
        )


def _check_names(top: Topology) -> None:
    seen: dict[str, str] = {ORIGIN_PLACE: "the archive"}
    zones: dict[str, str] = {}
    for kind, rows in (("site", top.sites), ("hub", top.hubs)):
        for row in rows.values():
            if row.name in seen:
                raise TopologyError(kind, row.name, "name", f"is {seen[row.name]}'s name too")
            seen[row.name] = f"a {kind}"
            if kind == "site" and row.zone in zones:
                text = f"zone '{row.zone}' is site '{zones[row.zone]}' already"
                raise TopologyError(kind, row.name, "zone", text)
            if kind == "site":
                zones[row.zone] = row.name


def _check_rows(top: Topology) -> None:
    places = {*top.sites, *top.hubs, ORIGIN_PLACE}
    for path in top.links.values():
        for end in path.ends:
            if end not in places:
                raise TopologyError("path", " - ".join(path.ends), "between", f"there is no place '{end}'")
    for site in top.sites.values():
        for name in site.failover:
            if name not in top.sites or name == site.name:
                raise TopologyError("site", site.name, "failover", f"'{name}' is no other site")
    for load in top.loads:
        if load.site not in top.sites:
            raise TopologyError("load", load.class_name, "rate_per_s", f"there is no site '{load.site}'")
        if load.class_name not in top.classes:
            raise TopologyError("load", load.class_name, "class", "is no class with a load")
    tenants = {load.tenant for load in top.loads}
    for tenant in top.tenant_reserves:
        if tenant not in tenants:
            raise TopologyError("sites", "", "reserves", f"tenant '{tenant}' has no load")


def check_topology(top: Topology) -> Topology:
    """The topology, if all in it fits together; SitesError tells what does not."""
    for part in (_bounds, _check_names, _check_rows):
        part(top)
    return top
