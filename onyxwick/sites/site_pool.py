"""The sites whose caches a director uses, with their shares and limits.

A site is added when first needed and dropped when idle. Its router receives its endpoint list, its share
of the parents' budget and of the site's caches, and how much of its retry budget it may use. The sum of
the shares never exceeds the director's own share. Times are in microseconds.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Mapping

from onyxwick.interface import Member, RequestRouter, RetryReserveChanged, RouterSettings
from onyxwick.sites.active_site import ActiveSite, SiteRequestOwner
from onyxwick.sites.load_shedding import SheddingLevels
from onyxwick.sites.model import MICROSECONDS_PER_SECOND, Topology
from onyxwick.sites.monitor import SiteMonitor
from onyxwick.sites.plan import SitePlan
from onyxwick.sites.shares import fleet_share, remote_settings
from onyxwick.subrouters import SubrouterDispatcher
from onyxwick.subrouters.hashing import stable_hash
from onyxwick.subrouters.share_arbiter import ShareArbiter

DEFAULT_TRANSFER_US = 1.0 * MICROSECONDS_PER_SECOND  # duration of an answer, used if the topology states none
DEFAULT_MAX_IN_FLIGHT = 2000
# The router of a remote site is dropped after this time without a request.
IDLE_SITE_US = 60 * MICROSECONDS_PER_SECOND
RECENT_USE_US = 5 * MICROSECONDS_PER_SECOND
# Part of the parents' budget that is divided by the sites' weights; the rest is divided by demand.
GUARANTEED_PARENT_SHARE = 0.25
LOCAL_WEIGHT = 1.0
RECENTLY_USED_WEIGHT = 0.3  # weight of a remote site with a request in flight or recently assigned
IDLE_WEIGHT = 0.02
MakeRouter = Callable[[RouterSettings, int, int], RequestRouter]


class SitePool(SubrouterDispatcher[ActiveSite, SiteRequestOwner]):
    """The sites in use at one director. The subclass selects the site for each request."""

    TIMER_TOKEN = "sites"
    TOKEN_SEPARATOR = ">"

    def __init__(
        self,
        settings: RouterSettings,
        seed: int,
        now: int,
        topology: Topology,
        plan: SitePlan,
        make_router: MakeRouter,
        max_in_flight: int,
    ) -> None:
        local_site = topology.site_of_zone(settings.zone)
        assert local_site is not None, "the configuration's check requires the own zone to be a site"
        self.sites: dict[str, ActiveSite] = {}
        super().__init__(now, self.sites)
        self.settings = settings
        self.topology = topology
        self.local_site = local_site
        self.make_router = make_router
        self.max_in_flight = max_in_flight
        # If set: for a time (us), the share (0 to 1) of its usual limits that a starting director may use.
        self.startup_share: Callable[[int], float] | None = None
        self.random = random.Random(seed ^ stable_hash("sites"))
        self.monitor = SiteMonitor(settings, topology, plan, local_site, now)
        self.arbiter = ShareArbiter({local_site: LOCAL_WEIGHT}, 0, GUARANTEED_PARENT_SHARE)
        self._replay_purges(self._create_site(local_site, settings, seed))
        self._schedule_tick()

    def _members_for(self, subrouter: ActiveSite) -> dict[str, Member]:
        abandoned = self.monitor.abandoned_places()
        return self.monitor.membership.members_for(subrouter.name, abandoned)

    def _create_site(self, name: str, settings: RouterSettings, seed: int) -> ActiveSite:
        shedding = SheddingLevels(self.max_in_flight, self.topology.tenant_reserves, seed ^ stable_hash(name))
        router = self.make_router(settings, seed, self.now)
        site = ActiveSite(name, router, shedding, self.now)
        self.sites[name] = site
        return site

    def _site(self, name: str) -> ActiveSite:
        """Return the router and state for a site's caches, created when first needed."""
        site = self.sites.get(name)
        if site is None:
            settings = remote_settings(self.settings, self.topology, name)
            site = self._create_site(name, settings, self.random.getrandbits(64))
            self._replay_purges(site)
            self._rebalance_parents()
            self._report_members()
        return site

    def _rebalance_parents(self) -> None:
        """Divide the parents' budget among the sites in use by their demand."""
        self.arbiter.set_weights(self.now, {name: self._weight(site) for name, site in self.sites.items()})
        # `set_weights` has already rebalanced once. The shares that it took away are reserved for 0 us here,
        # so this second rebalancing can distribute them.
        self._dispatch_fleet_shares(self.arbiter.rebalance(self.now))

    def _weight(self, site: ActiveSite) -> float:
        if site.name == self.local_site:
            return LOCAL_WEIGHT
        recently_used = site.in_flight or self.now - site.last_used_us < RECENT_USE_US
        return RECENTLY_USED_WEIGHT if recently_used else IDLE_WEIGHT

    def _dispatch_fleet_shares(self, parent_shares: Mapping[str, float]) -> None:
        """Send each router its share of parents and caches if the share has changed."""
        startup_share = self.startup_share(self.now) if self.startup_share is not None else 1.0
        losses = self.monitor.serving_sites
        for site in self.sites.values():
            parent_share = parent_shares.get(site.name, self.arbiter.shares.get(site.name, 0.0))
            share = fleet_share(
                self.topology,
                losses.row,
                losses.lost_sites,
                site.name,
                self.local_site,
                parent_share * startup_share,
                self.monitor.silent_directors(self.now),
            )
            if share != site.fleet_share:
                site.fleet_share = share
                self._dispatch(site, [share])

    def _drop_idle_sites(self) -> None:
        for name in [name for name in self.sites if name != self.local_site]:
            site = self.sites[name]
            idle_us = self.now - site.last_used_us
            if self.monitor.all_steady and not site.in_flight and idle_us > IDLE_SITE_US:
                del self.sites[name]
                self._rebalance_parents()

    # ---- load shedding -------------------------------------------------------------------------------

    def _pressure(self, name: str) -> float:
        site = self.sites.get(name)
        return site.shedding.pressure if site is not None else 0.0

    def _plan_strictness(self, name: str) -> float:
        site = self.sites.get(name)
        return site.shedding.plan_strictness if site is not None else 0.0

    def _step_load_shedding(self) -> None:
        for site in self.sites.values():
            site.shedding.step(self.now)
            if site.shedding.retry_reserve != site.retry_reserve:
                site.retry_reserve = site.shedding.retry_reserve
                self._dispatch(site, [RetryReserveChanged(site.retry_reserve)])
