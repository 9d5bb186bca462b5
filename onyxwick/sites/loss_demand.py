"""The resources that remain after a loss, the demands on them, and where each demand may be served.

Takes a topology and a loss and returns demands (requests per second) and choices. A choice states the
concurrent transfers that each request per second uses of every resource. The solver is not called here.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from onyxwick.sites.loss_outcome import CACHES, PARENTS, Resource, SiteLoss, link_resource
from onyxwick.sites.model import ORIGIN_PLACE, OfferedLoad, PlannedClass, Topology

MAX_SURVIVORS = 12  # number of nearest sites that may take the load of a lost site
MAX_FULLY_SOLVED_SITES = 24  # with more sites, only the load that a loss can affect is decided on


@dataclass(frozen=True, slots=True)
class Demand:
    """Requests per second that arrive at the same sites and may be served at the same places."""

    load: OfferedLoad
    rate_per_s: float
    arrivals: dict[str, float]  # by site, the share of the requests whose clients connect to it
    places: tuple[str, ...]
    is_moved: bool = False  # its objects are assigned to other sites by the plan


@dataclass(frozen=True, slots=True)
class Choice:
    """One variable of the linear program: requests per second of a demand that are served at one place."""

    demand: int  # index of the demand
    place: str
    delay_us: float  # mean delay from the clients' sites to the place
    uses: dict[Resource, float]  # concurrent transfers for each request per second


class RemainingResources:
    """The resources that remain after one loss, and how much of them a request at a place uses."""

    def __init__(self, topology: Topology, loss: SiteLoss) -> None:
        self.topology = topology
        self.loss = loss
        self.sites_without_caches = loss.sites | loss.cache_sites
        self.serving_sites = [site for site in topology.sites if site not in self.sites_without_caches]
        hubs = [hub for hub in topology.hubs.values() if hub.name not in loss.hubs]
        total = sum(hub.capacity for hub in hubs)
        self.fill_shares = {hub.name: hub.capacity / total for hub in hubs} if total else {}

    def capacity(self, resource: Resource) -> float:
        """Return the capacity of a resource in concurrent transfers; 0 means unbounded."""
        kind, *places = resource
        if kind == CACHES:
            return self.topology.sites[places[0]].capacity
        if kind == PARENTS:
            return self.topology.hubs[places[0]].capacity
        if kind == ORIGIN_PLACE:
            return self.topology.origin.capacity
        link = self.topology.link(places[0], places[1])
        return link.capacity if link is not None else 0.0

    def uses(self, planned: PlannedClass, arrivals: dict[str, float], place: str) -> dict[Resource, float]:
        """Return the concurrent transfers of each resource for one request per second of a class at a place.

        Resources without a bound are left out."""
        uses: dict[Resource, float] = {}
        for resource, work in self._work(planned, arrivals, place):
            if work > 0 and self.capacity(resource) > 0:
                uses[resource] = uses.get(resource, 0.0) + work
        return uses

    def _work(
        self, planned: PlannedClass, arrivals: dict[str, float], place: str
    ) -> Iterable[tuple[Resource, float]]:
        for site, share in arrivals.items():
            if site != place:
                yield link_resource(site, place), share * planned.work
        if place == ORIGIN_PLACE:
            yield (ORIGIN_PLACE,), planned.work
            return
        yield (CACHES, place), planned.work
        for hub, share in self.fill_shares.items():
            fills = share * planned.fill_work
            yield (PARENTS, hub), fills
            yield link_resource(place, hub), fills
            yield (ORIGIN_PLACE,), fills * planned.parent_miss_share
            yield link_resource(hub, ORIGIN_PLACE), fills * planned.parent_miss_share
        if not self.fill_shares:
            yield (ORIGIN_PLACE,), planned.fill_work
            yield link_resource(place, ORIGIN_PLACE), planned.fill_work

    def demands(self, loads: Iterable[OfferedLoad]) -> list[Demand]:
        """Return the demands of all loads, without demands of rate 0."""
        demands = [demand for load in loads for demand in self._demands_of(load)]
        return [demand for demand in demands if demand.rate_per_s > 0]

    def _demands_of(self, load: OfferedLoad) -> list[Demand]:
        planned = self.topology.classes[load.class_name]
        arrivals = self.topology.client_arrivals(load.site, self.loss.sites)
        if not arrivals:
            return [Demand(load, load.rate_per_s, arrivals, ())]
        if planned.is_write:
            return [Demand(load, load.rate_per_s, arrivals, (ORIGIN_PLACE,))]
        if load.site in self.serving_sites:
            return [Demand(load, load.rate_per_s, arrivals, (load.site,))]
        return self._demands_of_lost_site(load, planned, arrivals)

    def _demands_of_lost_site(
        self, load: OfferedLoad, planned: PlannedClass, arrivals: dict[str, float]
    ) -> list[Demand]:
        """Return the demands of a load whose site has lost its caches.

        One demand is for the objects that only clients of this site request, which move to other sites.
        For each site that the clients connect to, one more demand is for the objects that are
        already cached there."""
        survivors = tuple(self.topology.nearest(load.site, self.serving_sites)[:MAX_SURVIVORS])
        if load.site in self.loss.cache_sites:  # its clients stay, so no other site has cached their objects
            return [Demand(load, load.rate_per_s, arrivals, survivors, is_moved=True)]
        moved_rate = load.rate_per_s * (1 - planned.shared_object_share)
        moved = Demand(load, moved_rate, arrivals, survivors, is_moved=True)
        shared = [
            Demand(load, load.rate_per_s * planned.shared_object_share * share, {site: 1.0}, (site,))
            for site, share in arrivals.items()
        ]
        return [moved, *shared]

    def choices(self, demands: list[Demand]) -> list[Choice]:
        """Return one choice for each demand and each place at which it may be served."""
        choices = []
        for index, demand in enumerate(demands):
            planned = self.topology.classes[demand.load.class_name]
            for place in demand.places:
                delay_us = sum(
                    share * self.topology.delay_us(site, place)
                    for site, share in demand.arrivals.items()
                    if site != place
                )
                uses = self.uses(planned, demand.arrivals, place)
                choices.append(Choice(index, place, delay_us, uses))
        return choices


@dataclass(frozen=True, slots=True)
class OpenDemands:
    """The demands to decide on, and how much of each resource all other demands use."""

    demands: list[Demand]
    fixed_use: dict[Resource, float]


def open_demands(remaining: RemainingResources) -> OpenDemands:
    """Return the demands to decide on.

    These are all demands if the topology is small or if parents or the origin lack capacity, otherwise the
    demands of the sites that the loss can affect."""
    topology = remaining.topology
    demands = remaining.demands(topology.loads)
    affected = {
        place
        for demand in demands
        if demand.load.site in remaining.sites_without_caches
        for place in demand.places
    }
    affected |= remaining.sites_without_caches
    if len(topology.sites) <= MAX_FULLY_SOLVED_SITES or _upstream_is_short(remaining, demands):
        return OpenDemands(demands, {})
    fixed_use: dict[Resource, float] = {}
    for demand in demands:
        if demand.load.site not in affected:
            _add_use(fixed_use, remaining, demand)
    return OpenDemands([demand for demand in demands if demand.load.site in affected], fixed_use)


def _add_use(use: dict[Resource, float], remaining: RemainingResources, demand: Demand) -> None:
    """Add the use of a demand that is fully served at the first of its places."""
    if demand.places:
        planned = remaining.topology.classes[demand.load.class_name]
        for resource, work in remaining.uses(planned, demand.arrivals, demand.places[0]).items():
            use[resource] = use.get(resource, 0.0) + work * demand.rate_per_s


def _upstream_is_short(remaining: RemainingResources, demands: list[Demand]) -> bool:
    """Return whether parents or the origin would exceed their limits if everything were served."""
    use: dict[Resource, float] = {}
    for demand in demands:
        _add_use(use, remaining, demand)
    usable_share = 1 - remaining.topology.policy.headroom
    return any(
        amount > usable_share * remaining.capacity(resource)
        for resource, amount in use.items()
        if resource[0] in (PARENTS, ORIGIN_PLACE)
    )
