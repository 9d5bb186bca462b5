"""Capacity model: the concurrent transfers a member serves at full speed, and the routers that share them.

Input: listed weights, the capacity of the zone's link, arriving requests, and this router's share of
the members that it uses in common with other routers. Output: the capacity of a member and the number of
routers that use it.

A nominal listed weight is the capacity. Where the weights carry no information, the capacity is inferred
from the link that fills the zone's caches: the link is planned for a fixed part of what its caches serve,
and a parent for several such links. Where the link's capacity is not known either, the model assumes that
the zone is sized for what its clients request, by Little's law (Little 1961): concurrent transfers =
arrival rate x transfer time.
"""

from __future__ import annotations

import math

from onyxwick.interface import FleetShareChanged, RouterSettings, WeightSource
from onyxwick.routing.endpoints import MemberRoles
from onyxwick.routing.state import MemberRecord
from onyxwick.routing.units import US_PER_S

ZONE_LINK_PER_CACHE_CAPACITY = 0.38
"""Ratio of a zone's link capacity to that of its caches: a quarter of answers are fills, plus headroom."""
REFERENCE_CACHE_COUNT = 6
"""A zone with fewer caches than this has a link wider by the square root of (this / its cache count)."""
PARENT_CAPACITY_PER_ZONE_LINK = 3.9
"""Ratio of a parent's capacity to a zone link's: it serves the fills of four zones at full load."""
INFERRED_CAPACITY_SHARE = 0.6
"""Share of an inferred capacity that a member is assumed to have while it is warming up."""
DEMAND_WINDOW_US = 10 * US_PER_S
MIN_OBSERVED_SHARE = 0.01
"""A request rate is computed as if at least this share of the demand window had been observed."""


class CapacityModel:
    """Estimates the capacities of members from the data of one router."""

    def __init__(self, settings: RouterSettings, endpoints: MemberRoles, now_us: int) -> None:
        self.endpoints = endpoints
        self.parent_kind = settings.parent_kind
        self.router_count = settings.router_count
        self.zone_router_count = settings.zone_router_count
        self.transfer_kb_per_s = settings.transfer_kb_per_s
        self.zone_link_kb_per_s = settings.zone_link_kb_per_s
        self.weights_are_unset = settings.weight_source is WeightSource.NONE
        self.fleet_share = FleetShareChanged(parent_share=1.0)
        self.zone_link_transfers = 0.0
        """Capacity of the zone's link in concurrent transfers; 0 if capacities are the listed weights."""
        self.started_us = now_us
        self.demand_transfers = 0.0
        """Concurrent transfers requested by this router's clients, as of `demand_at_us`."""
        self.demand_at_us = now_us

    def on_endpoints_changed(self) -> None:
        """Infer the capacity of the zone's link from the number of its caches."""
        if self.weights_are_unset and self.transfer_kb_per_s:
            width_factor = max(1.0, math.sqrt(REFERENCE_CACHE_COUNT / self.endpoints.max_ready_cache_count))
            self.zone_link_transfers = self.zone_link_kb_per_s / self.transfer_kb_per_s / width_factor

    def observe_request(self, mean_transfer_us: float, now_us: int) -> None:
        """Infer the capacity of the zone's link from a read request, if no weight or setting gives it."""
        if not self.weights_are_unset or self.zone_link_kb_per_s:
            return
        self.demand_transfers *= math.exp((self.demand_at_us - now_us) / DEMAND_WINDOW_US)
        self.demand_transfers += mean_transfer_us / DEMAND_WINDOW_US
        self.demand_at_us = now_us
        observed_share = max(MIN_OBSERVED_SHARE, 1 - math.exp((self.started_us - now_us) / DEMAND_WINDOW_US))
        demand = ZONE_LINK_PER_CACHE_CAPACITY * self.demand_transfers / observed_share
        self.zone_link_transfers = demand * self.zone_router_count

    def transfers(self, member: MemberRecord) -> float:
        """Return a member's capacity after warm-up, in concurrent transfers."""
        if not self.zone_link_transfers:
            return member.info.weight if member.info.weight > 0 else 1.0
        if member.info.kind == self.parent_kind:
            return self.zone_link_transfers * PARENT_CAPACITY_PER_ZONE_LINK
        return self.zone_link_transfers / ZONE_LINK_PER_CACHE_CAPACITY / self.endpoints.max_ready_cache_count

    def sharing_routers(self, member: MemberRecord) -> float:
        """Return how many routers share a member's capacity; routers known to be idle reduce the number."""
        if member.info.kind == self.parent_kind:
            return self.router_count / self.fleet_share.parent_share
        if member in self.endpoints.caches:
            return self.zone_router_count / self.fleet_share.cache_share
        share = self.fleet_share.origin_share if member is self.endpoints.origin else 1.0
        return self.router_count / share

    def sharing_routers_while_warming(self, member: MemberRecord) -> float:
        """Return how many routers share the capacity of a member while it is warming up."""
        share = self.fleet_share
        if member.info.kind == self.parent_kind:
            return self.router_count / (share.parent_share * share.warming_parent_share)
        return self.zone_router_count / share.warming_cache_share
