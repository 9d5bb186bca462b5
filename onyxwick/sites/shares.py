"""Which part of boxes and stores each director may ask, with no talk: a share of the known number of them.

The rules on cold boxes and cold stores bind all directors together. Those of a box's own site have all of its
budget but `guests`, divided by their number; all others have `guests`, divided by theirs. Of a director's
part of a cold store its own site's decider has all but `guests`, the deciders for other sites' boxes the
rest, a fixed piece each. That holds at every instant and in every state, so it is right also while some see a
loss seconds later, and when some are gone (then it is less than all). What is warm has no such rule: a box's
own directors keep their whole part and others add what the plan has for them, and stores are divided by
demand. Whose clients come elsewhere serves nobody, so its part of the warm stores and of the archive is taken
up by the others for as long as they come.
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import replace

from onyxwick.interface import FleetShareChanged, RouterSettings
from onyxwick.sites.model import Topology
from onyxwick.sites.plan import LossPlanRow

LEAST_WARM = 0.25  # of a site's boxes, for all guests: trials and what a plan does not know of
ROOM = 1.5  # times what the plan has for guests: they come unevenly, and a limit is no load
LEAST_STORES = 1e-3  # of the stores, whatever is asked of them


def remote_settings(settings: RouterSettings, top: Topology, site: str) -> RouterSettings:
    """What a decider for another site's boxes is set up with: all directors elsewhere share them."""
    others = max(1, top.directors - top.sites[site].directors)
    return replace(settings, zone=top.sites[site].zone, zone_router_count=others)


def fleet_share(
    top: Topology,
    row: LossPlanRow,
    lost: Collection[str],
    site: str,
    home: str,
    stores: float,
    silent: int = 0,
) -> FleetShareChanged:
    """What one decider of a director at `home` may ask of a site's boxes, and of the `stores`. `silent`:
    directors that serve nobody now, whose part of what is warm the others take."""
    others, guests = len(top.sites) - 1, top.policy.remote_share
    cold = max(LEAST_STORES, stores)
    grown = top.directors / max(1, top.directors - silent)
    share = cold * grown
    if site == home:
        return FleetShareChanged(share, 1.0, min(cold, 1 - guests) / share, 1 - guests, grown)
    cold = min(cold, guests / others) / share
    warm = max(LEAST_WARM, ROOM * row.guest_shares.get(site, 0.0))
    known = top.directors - top.sites[site].directors
    there = sum(s.directors for s in top.sites.values() if s.name not in lost and s.name != site)
    return FleetShareChanged(share, min(1.0, warm * known / max(1, there)), cold, guests, grown)
