"""Types for one loss of places and the resulting distribution of the load.

Capacities and uses are in concurrent transfers, rates in requests per second, values in priority weight
per second.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from onyxwick.sites.plan import loss_key

Resource = tuple[str, ...]  # ("boxes", site), ("stores", hub), ("archive",) or ("link", place, place)
CACHES = "boxes"
PARENTS = "stores"
LINK = "link"
FEASIBLE_SHARE = 1 - 1e-6  # a loss is feasible if at least this share of the offered value is served


def link_resource(one: str, other: str) -> Resource:
    """Return the link between two places, in either order."""
    return (LINK, *sorted((one, other)))


def resource_name(resource: Resource) -> str:
    """Return the name of a resource as printed in reports."""
    kind, *places = resource
    if len(places) == 1:
        return f"{kind} of {places[0]}"
    return f"{kind} {' - '.join(places)}" if places else kind


@dataclass(frozen=True, slots=True)
class SiteLoss:
    """Places that are lost at the same time.

    `cache_sites`: sites that lose only their caches and keep their clients."""

    sites: frozenset[str] = frozenset()
    hubs: frozenset[str] = frozenset()
    cache_sites: frozenset[str] = frozenset()

    def __str__(self) -> str:
        return " and ".join(sorted(loss_key(self.sites, self.hubs, self.cache_sites))) or "nothing"


@dataclass(frozen=True, slots=True)
class ResourceUse:
    """Concurrent transfers that a resource carries, and how many it can carry."""

    used: float
    capacity: float

    @property
    def share(self) -> float:
        """Return the used share of the capacity; 0 for an unbounded resource."""
        return self.used / self.capacity if self.capacity else 0.0


@dataclass(slots=True)
class LossOutcome:
    """The solution for one loss.

    `serving_shares`: by (site, class), the sites that serve its objects, each with its share of the served
    load. `served_shares`: by (site, class, tenant), the share of its requests that is served, if it is below
    1. `missing_capacity`: additional concurrent transfers of each resource that would avoid all rejections.
    """

    loss: SiteLoss
    serving_shares: dict[tuple[str, str], dict[str, float]] = field(default_factory=dict)
    served_shares: dict[tuple[str, str, str], float] = field(default_factory=dict)
    resource_use: dict[Resource, ResourceUse] = field(default_factory=dict)
    missing_capacity: dict[Resource, float] = field(default_factory=dict)
    served_value: float = 0.0
    offered_value: float = 0.0

    @property
    def is_feasible(self) -> bool:
        """Return whether all offered load is served."""
        return self.served_value >= self.offered_value * FEASIBLE_SHARE

    @property
    def bottleneck(self) -> Resource | None:
        """Return the resource with the highest used share of its capacity; None if no resource is used."""
        return max(self.resource_use, key=lambda resource: self.resource_use[resource].share, default=None)
