"""The share of caches and parents that each director may use, divided by the known number of directors and
therefore without communication.

The limits on caches and parents that are warming up apply to all directors together. The directors of a
cache's own site divide its budget without `remote_share` evenly among themselves; all other directors divide
`remote_share` evenly. Of a director's share of a parent that is warming up, the router of its local site has
all but `remote_share`, and each router for another site's caches has a fixed part of the rest. This division
is the same at all times and in all states. It therefore also holds while some directors detect a loss seconds
later than others, and when some directors are down (the sum is then below 1).

Warm caches and parents have no such limit: the directors of a cache's own site keep their full share,
other directors add what the plan assigns to them, and parents are divided by demand. A director whose
clients connect to other sites serves no requests, so the others use its share of the warm parents and of
the origin for that time.
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import replace

from onyxwick.interface import FleetShareChanged, RouterSettings
from onyxwick.sites.model import Topology
from onyxwick.sites.plan import LossPlanRow

# Smallest share of a site's warm caches that other sites' directors may use together, for trials and for load
# that is not in the plan.
MIN_GUEST_SHARE = 0.25
# The limit on load from other sites' clients is the planned load times this. The load arrives unevenly, so
# the limit must be above the planned load.
GUEST_LOAD_FACTOR = 1.5
MIN_PARENT_SHARE = 1e-3


def remote_settings(settings: RouterSettings, topology: Topology, site: str) -> RouterSettings:
    """Return the settings of a router for another site's caches, which all directors of other sites share."""
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
    """Return the share of a site's caches and of the parents for the router of `site` at a director of
    `local_site`.

    `parent_share`: the part of the director's own share of the parents that this router may use.
    `silent_directors`: the number of directors that serve no clients now; the others use their share of the
    warm parents and of the origin."""
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
