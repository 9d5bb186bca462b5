"""Which site serves an object of a site's clients at this instant: its own, another by the plan, or none. No
I/O."""

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

MAX_SLICE_TABLES = 1024  # kept at once, one for each loss, site and class
NO_SITE = ""  # in a slice table: looked up, and no site serves it
SliceTable = list[str | None]


@dataclass(frozen=True, slots=True)
class SiteRoute:
    """The site that a request goes to. `is_trial`: it is not known to answer."""

    site: str
    is_trial: bool = False


class ServingSites:
    """The plan as it applies to the present losses."""

    def __init__(self, plan: SitePlan, local_site: str = "") -> None:
        """`local_site`: the own one. While this director serves, only its caches can be lost, as its clients
        connect here."""
        self.plan = plan
        self.local_site = local_site
        self.lost_sites: frozenset[str] = frozenset()
        self.lost_hubs: frozenset[str] = frozenset()
        self.row = LossPlanRow()
        self.slice_tables: dict[tuple[LossKey, str, str], SliceTable] = {}

    def set_losses(self, sites: frozenset[str], hubs: frozenset[str]) -> None:
        """Apply the plan's row for other losses from now on."""
        if (sites, hubs) != (self.lost_sites, self.lost_hubs):
            self.lost_sites = sites
            self.lost_hubs = hubs
            self.row = self._plan_row(sites) if sites or hubs else LossPlanRow()

    def _plan_row(self, lost_sites: frozenset[str]) -> LossPlanRow:
        local = {self.local_site}
        return self.plan.row(lost_sites - local, self.lost_hubs, lost_sites & local)

    def serving_site_for(self, site: str, class_name: str, object_name: str) -> str | None:
        """The site that serves an object of a lost site; None where the plan has no capacity for it. The site
        need not be lost yet."""
        table = self._slice_table(site, class_name)
        number = slice_of(object_name)
        serving_site = table[number]
        if serving_site is None:
            row = self.row if site in self.lost_sites else self._plan_row(self.lost_sites | {site})
            weights = row.serving_shares.get((site, class_name)) or self._weights_of_any_class(row, site)
            serving_site = serving_site_of_slice(site, number, weights) or NO_SITE
            table[number] = serving_site
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
        """For a class that the plan does not know: the sum of the site's other classes, else capacities."""
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
        """Whether the plan serves an object in the present losses, all its segments alike.

        `strictness`: of what the plan would reject, the share that has to be rejected, 0 to 1; as it grows
        and shrinks, whole objects follow."""
        served_shares = self.row.served_shares
        if not served_shares or strictness <= 0:
            return True
        any_tenant_share = served_shares.get((site, class_name, NO_TENANT), 1.0)
        share = served_shares.get((site, class_name, tenant), any_tenant_share)
        return share >= 1.0 or shed_position(object_name) < 1 - (1 - share) * strictness

    def route(
        self, lifecycle: SiteLifecycle, class_name: str, object_name: str, is_local: bool, may_try: bool
    ) -> SiteRoute | AdmissionRejection:
        """Where a request for an object of one site's clients goes, or why it is rejected, by that site's
        phase.

        `is_local`: it is this director's site. `may_try`: one more request may be sent to a site that is not
        known to answer."""
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
        # Returned already; or not moved yet, from a site that answers or that is the own one.
        return SiteRoute(site)

    def _moved_route(self, site: str, class_name: str, object_name: str) -> SiteRoute | AdmissionRejection:
        serving_site = self.serving_site_for(site, class_name, object_name)
        return SiteRoute(serving_site) if serving_site else AdmissionRejection.NO_PLANNED_SITE


def is_evacuated(lifecycle: SiteLifecycle) -> bool:
    """Whether a site's capacity is missing from the plan's point of view."""
    is_returning = lifecycle.phase is SitePhase.RETURNING
    return lifecycle.phase in AWAY_PHASES or (is_returning and lifecycle.moved_share > 0)
