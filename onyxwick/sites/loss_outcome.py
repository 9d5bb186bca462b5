"""One loss of places and what becomes of the load: types only.

Capacities and uses are in transfers at once, rates in requests a second, values in priority weight a second.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from onyxwick.sites.plan import loss_key

Resource = tuple[str, ...]  # ("boxes", site), ("stores", hub), ("archive",) or ("link", place, place)
CACHES = "boxes"
PARENTS = "stores"
LINK = "link"
FEASIBLE_SHARE = 1 - 1e-6  # of the offered value that must be served for a loss to be feasible


def link_resource(one: str, other: str) -> Resource:
    """The link between two places, whichever is named first."""
    return (LINK, *sorted((one, other)))


def resource_name(resource: Resource) -> str:
    """A resource in words, as reports print it."""
    kind, *places = resource
    if len(places) == 1:
        return f"{kind} of {places[0]}"
    return f"{kind} {' - '.join(places)}" if places else kind


@dataclass(frozen=True, slots=True)
class SiteLoss:
    """What is lost at once. `cache_sites`: sites that lose their caches alone, and keep their clients."""

    sites: frozenset[str] = frozenset()
    hubs: frozenset[str] = frozenset()
    cache_sites: frozenset[str] = frozenset()

    def __str__(self) -> str:
        return " and ".join(sorted(loss_key(self.sites, self.hubs, self.cache_sites))) or "nothing"


@dataclass(frozen=True, slots=True)
class ResourceUse:
    """Transfers at once that a resource carries, and how many it can carry."""

    used: float
    capacity: float

    @property
    def share(self) -> float:
        """The used share of the capacity; 0 for a resource without a bound."""
        return self.used / self.capacity if self.capacity else 0.0


@dataclass(slots=True)
class LossOutcome:
    """The solution for one loss.

    `serving_shares`: (site, class) to the sites that serve its objects, by share of what is served.
    `served_shares`: (site, class, tenant) to the share of its requests that is served, where it is under 1.
    `missing_capacity`: transfers more of each resource with which nothing would be rejected.
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
        """Whether everything is served."""
        return self.served_value >= self.offered_value * FEASIBLE_SHARE

    @property
    def bottleneck(self) -> Resource | None:
        """The resource with the highest used share of its capacity."""
        return max(self.resource_use, key=lambda resource: self.resource_use[resource].share, default=None)
