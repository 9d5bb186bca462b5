"""Selects the site that serves an object now: the site of the client, another site by the plan, or none. No
I/O.
"""

from __future__ import annotations

from dataclasses import dataclass

from onyxwick.sites.lifecycle import AWAY_PHASES, SiteLifecycle, SitePhase
from onyxwick.sites.model import NO_TENANT
from onyxwick.sites.plan import LossKey, LossPlanRow, SitePlan, loss_key
from onyxwick.sites.traffic_slices import (
    SLICE_COUNT,
    move_position,
    serving_site_of_slice,
    shed_position,
    slice_of,
)
from onyxwick.subrouters.rejection import AdmissionRejection

MAX_SLICE_TABLES = 1024  # in memory, one for each loss, site and class
NO_SITE = ""  # entry of a slice that was looked up and that no site serves
SliceTable = list[str | None]


@dataclass(frozen=True, slots=True)
class SiteRoute:
    """The site that a request is sent to. `is_trial`: the site is not known to be reachable."""

    site: str
    is_trial: bool = False


class ServingSites:
    """The plan as applied to the present losses."""

    def __init__(self, plan: SitePlan, local_site: str = "") -> None:
        """`local_site`: the site of this director. While this director serves, the local site can lose
        only its caches, as its clients still connect here."""
        self.plan = plan
        self.local_site = local_site
        self.lost_sites: frozenset[str] = frozenset()
        self.lost_hubs: frozenset[str] = frozenset()
        self.row = LossPlanRow()
        self.slice_tables: dict[tuple[LossKey, str, str], SliceTable] = {}

    def set_losses(self, sites: frozenset[str], hubs: frozenset[str]) -> None:
        """Set the present losses and use the plan's row for them."""
        if (sites, hubs) != (self.lost_sites, self.lost_hubs):
            self.lost_sites = sites
            self.lost_hubs = hubs
            self.row = self._plan_row(sites) if sites or hubs else LossPlanRow()

    def _plan_row(self, lost_sites: frozenset[str]) -> LossPlanRow:
        local = {self.local_site}
        return self.plan.row(lost_sites - local, self.lost_hubs, lost_sites & local)

    def serving_site_for(self, site: str, class_name: str, object_name: str) -> str | None:
        """Return the site that serves an object of a lost site; None if the plan has no capacity for it.

        If `site` is not lost yet, returns the site that serves the object once it is lost."""
        table = self._slice_table(site, class_name)
        slice_number = slice_of(object_name)
        serving_site = table[slice_number]
        if serving_site is None:
            row = self.row if site in self.lost_sites else self._plan_row(self.lost_sites | {site})
            weights = row.serving_shares.get((site, class_name)) or self._weights_of_any_class(row, site)
            serving_site = serving_site_of_slice(site, slice_number, weights) or NO_SITE
            table[slice_number] = serving_site
        return serving_site or None

    def _slice_table(self, site: str, class_name: str) -> SliceTable:
        key = (loss_key(self.lost_sites | {site}, self.lost_hubs), site, class_name)
        table = self.slice_tables.get(key)
        if table is None:
            if len(self.slice_tables) >= MAX_SLICE_TABLES:
                self.slice_tables.clear()
            table = [None] * SLICE_COUNT
            self.slice_tables[key] = table
        return table

    def _weights_of_any_class(self, row: LossPlanRow, site: str) -> dict[str, float]:
        """Return the weights of serving sites for a class that is not in the plan.

        These are the sums of the weights over the other classes of the site, or the capacities of the
        remaining sites if there is no planned class."""
        weights: dict[str, float] = {}
        has_row = False
        for (origin_site, _), shares in row.serving_shares.items():
            if origin_site == site:
                has_row = True
                for serving_site, share in shares.items():
                    weights[serving_site] = weights.get(serving_site, 0.0) + share
        if has_row:
            return weights
        return {
            name: other.capacity
            for name, other in self.plan.topology.sites.items()
            if name != site and name not in self.lost_sites
        }

    def is_served(self, site: str, class_name: str, tenant: str, object_name: str, strictness: float) -> bool:
        """Return whether the plan serves an object during the present losses; the same for all its segments.

        `strictness`: of the load that the plan may reject, the share that is rejected now, 0 to 1. As it
        rises or falls, an object becomes rejected or served with all of its segments."""
        served_shares = self.row.served_shares
        if not served_shares or strictness <= 0:
            return True
        any_tenant_share = served_shares.get((site, class_name, NO_TENANT), 1.0)
        share = served_shares.get((site, class_name, tenant), any_tenant_share)
        return share >= 1.0 or shed_position(object_name) < 1 - (1 - share) * strictness

    def route(
        self, lifecycle: SiteLifecycle, class_name: str, object_name: str, is_local: bool, may_try: bool
    ) -> SiteRoute | AdmissionRejection:
        """Return the site that a request of one site's client is sent to, or why it is rejected, by the phase
        of the client's site.

        `is_local`: the client's site is the site of this director. `may_try`: one more trial request may
        be sent to a site that is not known to be reachable."""
        site = lifecycle.name
        match lifecycle.phase:
            case SitePhase.STEADY:
                return SiteRoute(site)
            case SitePhase.SUSPECT | SitePhase.LOST:
                if is_local or may_try:
                    return SiteRoute(site, is_trial=not is_local)
                return AdmissionRejection.SITE_IN_DOUBT
            case SitePhase.EVACUATED:
                if may_try:
                    return SiteRoute(site, is_trial=True)
                return self._moved_route(site, class_name, object_name)
        if move_position(site, object_name) < lifecycle.moved_share:
            return self._moved_route(site, class_name, object_name)
        is_evacuating = lifecycle.phase is SitePhase.EVACUATING
        if is_evacuating and lifecycle.was_unreachable and not is_local:
            return AdmissionRejection.SITE_MOVING
        # The object has returned, or is not moved yet and its site answers or is the local site.
        return SiteRoute(site)

    def _moved_route(self, site: str, class_name: str, object_name: str) -> SiteRoute | AdmissionRejection:
        serving_site = self.serving_site_for(site, class_name, object_name)
        return SiteRoute(serving_site) if serving_site else AdmissionRejection.NO_PLANNED_SITE


def is_evacuated(lifecycle: SiteLifecycle) -> bool:
    """Return whether the plan has to replace capacity of a site: it is lost, evacuated or not fully
    returned."""
    is_returning = lifecycle.phase is SitePhase.RETURNING
    return lifecycle.phase in AWAY_PHASES or (is_returning and lifecycle.moved_share > 0)
