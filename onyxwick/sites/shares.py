"""Which share of caches and parents each director may use, without communication: divided by their known
number.

The limits on caches and parents that are warming up bind all directors together. Those of a cache's own site
have all of its budget but `remote_share`, divided by their number; all others have `remote_share`, divided by
theirs. Of a director's share of a parent that is warming up its own site's router has all but `remote_share`,
the routers for other sites' caches the rest, a fixed amount each. That holds at every instant and in every
state, so it is also right while some directors detect a loss seconds later, and when some are down (the
sum is below 1 then).

What is warm has no such limit: a cache's own directors keep their whole share and others add what the plan
has for them, and parents are divided by demand. A director whose clients connect elsewhere serves nobody, so
its share of the warm parents and of the origin is used by the others for that time.
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import replace

from onyxwick.interface import FleetShareChanged, RouterSettings
from onyxwick.sites.model import Topology
from onyxwick.sites.plan import LossPlanRow

MIN_GUEST_SHARE = 0.25  # of a site's warm caches, for trials and load that a plan does not know
GUEST_LOAD_FACTOR = 1.5  # times the planned guest load: it arrives unevenly, and a limit is no load
MIN_PARENT_SHARE = 1e-3


def remote_settings(settings: RouterSettings, topology: Topology, site: str) -> RouterSettings:
    """The settings of a router for another site's caches: all directors elsewhere share them."""
    remote_directors = max(1, topology.directors - topology.sites[site].directors)
    return replace(settings, zone=topology.sites[site].zone, zone_router_count=remote_directors)


def fleet_share(
    topology: Topology,
    row: LossPlanRow,
    lost_sites: Collection[str],
    site: str,
    local_site: str,
    parent_share: float,
    silent_directors: int = 0,
) -> FleetShareChanged:
    """What the router for `site` of a director at `local_site` may use of the site's caches and of the
    parents.

    `parent_share`: of the director's own share of the parents. `silent_directors`: those that serve nobody
    now, whose share of what is warm the others use."""
    guest_share = topology.policy.remote_share
    cold_parents = max(MIN_PARENT_SHARE, parent_share)
    growth = topology.directors / max(1, topology.directors - silent_directors)
    warm_parents = cold_parents * growth
    if site == local_site:
        own_share = 1 - guest_share
        cold_share = min(cold_parents, own_share) / warm_parents
        return FleetShareChanged(warm_parents, 1.0, cold_share, own_share, growth)
    other_sites = len(topology.sites) - 1
    cold_share = min(cold_parents, guest_share / other_sites) / warm_parents
    warm_caches = max(MIN_GUEST_SHARE, GUEST_LOAD_FACTOR * row.guest_shares.get(site, 0.0))
    remote_directors = topology.directors - topology.sites[site].directors
    serving_directors = sum(
        other.directors
        for other in topology.sites.values()
        if other.name not in lost_sites and other.name != site
    )
    warm_share = min(1.0, warm_caches * remote_directors / max(1, serving_directors))
    return FleetShareChanged(warm_parents, warm_share, cold_share, guest_share, growth)
