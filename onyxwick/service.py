"""What a service file asks for beside the platform's director, wired: cells, sites, store, trace, fronts.

Loaded only where there is such a file, and each part only where the file has a block for it.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from onyxwick import logs
from onyxwick.config import ConfigError
from onyxwick.config.director import DirectorConfig
from onyxwick.config.service import ServiceConfig, TraceConfig
from onyxwick.core import RequestEngine
from onyxwick.core.endpoints import EndpointTable
from onyxwick.counters import Counters
from onyxwick.interface import EndpointFeedReceived, RequestRouter, RouterSettings
from onyxwick.logic import Router
from onyxwick.net.cache_pool import CacheConnectionPool
from onyxwick.net.coordinator_feed import CoordinatorFeed

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from onyxwick.admin.api import Api
    from onyxwick.admin.cells import CellsApi
    from onyxwick.admin.http import Handler, HttpServer
    from onyxwick.admin.sites import SitesApi
    from onyxwick.cells import CellPlan, CellRouter
    from onyxwick.cells.reservation import ConnectionReservation
    from onyxwick.config.service import SitesConfig
    from onyxwick.dns.server import DnsFront
    from onyxwick.net.subscription import Subscription
    from onyxwick.sites import SitePlan as SitePlan
    from onyxwick.sites import SiteRouter
    from onyxwick.store.durable import DurableState

log = logs.get()
TRACE_TICK_S = 0.25
RECOVERY_TICK_S = 0.5
BACK_DRAW = 0xBAC  # mixed into the seed: a draw of its own
SUBSCRIPTION_DRAW = 0x5B5
QUOTAS_DOCUMENT = "quotas"


class HostedService:
    """One director's hosted parts, made in the order in which they need each other: what decides, then (with
    the core that it is in) what lasts, then (with the event loop) what runs beside it."""

    def __init__(self, config: DirectorConfig, told: ServiceConfig) -> None:
        self.config, self.told = config, told
        self.cells: CellRouter | None = None
        self.sites: SiteRouter | None = None
        self.durable: DurableState | None = None
        self.guests: list[CellRouter] = []  # the cells of other sites' boxes
        self.subscription: Subscription | None = None  # to the distribution tree, where one is followed
        self.trace_until = float("inf") if told.trace is not None and told.trace.starts_enabled else 0.0

    # ---- what decides -----------------------------------------------------------------------------------

    def decide(self, settings: RouterSettings, seed: int, now: int) -> RequestRouter:
        if self.told.sites is None:
            return self._within(settings, seed, now)
        from onyxwick.sites import SitePlan, SiteRouter

        top, most = self.told.sites.topology, self.config.max_open_requests
        self.sites = SiteRouter(settings, seed, now, top, SitePlan(top), self._within, most)
        return self.sites

    def _within(self, settings: RouterSettings, seed: int, now: int) -> RequestRouter:
        """What decides for one site's boxes; the first one made is the own site's."""
        if self.told.cell_plan is None:
            return Router(settings, seed, now)
        from onyxwick.cells import CellRouter

        plan = self.told.cell_plan if self.cells is None else self.cells.plan
        cells = CellRouter(settings, seed, now, plan, self.config.max_open_requests)
        if self.cells is None:
            self.cells = cells
        else:
            self.guests.append(cells)
        return cells

    def places(self) -> tuple[ConnectionReservation | None, str, str]:
        """What the front must know: each cell's part of its places, who asks, and from which site."""
        site = self.sites.topology.policy.client_site_field if self.sites is not None else ""
        if self.cells is None:
            return None, "X-Tenant" if self.sites is not None else "", site
        from onyxwick.cells.reservation import ConnectionReservation

        most = (self.config.max_held_bytes, self.config.max_clients)
        return ConnectionReservation(self.cells, *most), self.cells.plan.policy.tenant_field, site

    # ---- what lasts -------------------------------------------------------------------------------------

    def attach(self, core: RequestEngine, members: EndpointTable, counters: Counters) -> None:
        """What lasted, read before anything is decided. Refused (a StoreError) rather than half of it."""
        self.core, self.members, self.counters = core, members, counters
        told = self.told.store
        if told is None:
            return
        from hashlib import blake2b

        from onyxwick.store.durable import DurableState
        from onyxwick.store.encryption import read_keys
        from onyxwick.store.engine import StoreLimits
        from onyxwick.store.files import DiskFiles

        self.durable = DurableState(
            DiskFiles(told.folder),
            read_keys(told.key_file),
            blake2b(told.installation.encode(), digest_size=16).digest(),
            core.now(),
            self.config.settings.rules.purge_retention_us,
            told.persists_bookings,
            StoreLimits(log=told.max_log_bytes, total=told.max_total_bytes),
        )
        self.durable.load_tenants(self.told.tenants)
        self._recorded_plan(self.durable)
        if self.sites is not None:
            from onyxwick.sites.operator_commands import command_from_row

            self.sites.monitor.restore_commands([command_from_row(row) for row in self.durable.site_orders()])

    def _recorded_plan(self, durable: DurableState) -> None:
        """The plan that a call has made goes before the file's, which it was made from."""
        row = durable.plan()
        if row is None or self.cells is None:
            return
        from onyxwick.config.cells import plan_of_json

        self.cells.apply_plan(self.core.now(), plan_of_json(row["plan"], int(row["version"])))
        log.info("plan of cells from the store", version=self.cells.plan.version)

    def pace(self, coordinator: CoordinatorFeed, caches: CacheConnectionPool) -> None:
        """Coming back from its store, a director may be one of many that do at once: it calls for the feed
        after a wait drawn from its seed, and opens its connections to caches step by step (core/pacing.py).
        It serves meanwhile from what it recovered and what the configuration told. With sites, what it asks
        of the relay stores comes back at the same pace: its counts of what is popular are empty, and all
        that is seldom asked for would go up to them at once."""
        if self.sites is not None:
            coordinator.on_line = self._feed_heard
        if self.durable is None and self.sites is None:
            return
        from onyxwick.core.pacing import BackoffPolicy, ReconnectBackoff

        back = ReconnectBackoff(
            self.config.seed ^ BACK_DRAW, self.core.now(), BackoffPolicy(), self.config.settings.router_count
        )
        if self.sites is not None:
            self.sites.startup_share = back.share
        if self.durable is not None:
            coordinator.initial_delay_us = back.wait_us
            caches.warm_up_share = lambda: back.share(self.core.now())

    def follow(self, coordinator: CoordinatorFeed) -> Coroutine[None, None, None]:
        """What keeps lists and purges coming: the coordinator itself, or a node of the distribution tree."""
        told = self.told.feed
        if told is None:
            return coordinator.follow()
        from onyxwick.distribution.follower import Follower, FollowerLimits
        from onyxwick.net.director_feed import DirectorFeed
        from onyxwick.net.subscription import ReconnectDelays, Subscription

        delays = ReconnectDelays(self.config.seed ^ SUBSCRIPTION_DRAW, self.core.now())
        follower = Follower(len(told.parents), delays, limits=FollowerLimits(stale_us=told.stale_after_us))
        sink = DirectorFeed(self.core, self.counters, {QUOTAS_DOCUMENT: self.told.tenants.apply_quotas})
        self.subscription = Subscription(follower, told.parents, sink, self.counters, self.core.now)
        self.subscription.on_line = coordinator.on_line
        return self.subscription.run(coordinator.initial_delay_us)

    def _feed_health(self) -> dict[str, object]:
        """The age of the view, for the health call; empty where the coordinator is followed directly."""
        if self.subscription is None:
            return {}
        follower = self.subscription.follower
        age_us = follower.age_us(self.core.now())
        return {"feed": follower.state.value, "feed_age_ms": None if age_us is None else age_us // 1000}

    def _feed_heard(self) -> None:
        self.core.handle(EndpointFeedReceived())

    # ---- reload -----------------------------------------------------------------------------------------

    def reload(self, plan: CellPlan | None) -> None:
        """The file's plan, over whatever the administration API has made of it since."""
        if self.cells is None or plan is None:
            if (self.cells is None) is not (plan is None):
                log.warning("cells are switched on and off at a restart only")
            return
        from onyxwick.cells import CellPlanControl, CellPlanError

        try:
            changed = CellPlanControl(self.cells, self.core.now, self.core.handle).replace_plan(plan)
        except CellPlanError as error:
            raise ConfigError(str(error)) from None
        if changed:
            log.info("plan of cells changed", version=self.cells.plan.version)

    # ---- what runs beside the director --------------------------------------------------------------------

    def start(self, health: Callable[[], dict[str, object]]) -> list[asyncio.Task[None]]:
        """Take in what lasted and begin all that runs beside; the tasks, to be cancelled at the end."""
        loop, side = asyncio.get_running_loop(), list[asyncio.Task[None]]()
        if self.durable is not None:
            self.durable.start()
            self.core.restore(self.durable)
            side.append(loop.create_task(self._recovering(self.durable)))
        side += [loop.create_task(front.run()) for front in self._fronts(health)]
        if self.told.trace is not None:
            side.append(loop.create_task(self._trace(self.told.trace)))
        if self.told.sites is not None:
            side.append(loop.create_task(self._plan_sites(self.told.sites)))
        return side

    async def _plan_sites(self, told: SitesConfig) -> None:
        """The plan for losses: from its file, or made in a worker thread. Without one, what is lost goes to
        the others by their capacity."""
        assert self.sites is not None
        try:
            plan, findings = await asyncio.to_thread(_planned, told)
        except Exception as error:  # a plan is better than none, and none is better than no director
            self.counters.add("error.sites.plan")
            log.error("no plan for the loss of sites", error=str(error))
            return
        self.sites.replace_plan(self.core.now(), plan)
        self.core.handle()
        log.info("plan for the loss of sites", losses=len(plan.rows), topology=plan.digest)
        for text in findings[:16]:
            log.warning("a loss that cannot be borne", finding=text)

    async def close(self) -> None:
        if self.durable is not None:
            await self.durable.close()

    async def _recovering(self, durable: DurableState) -> None:
        """Serve on without the feed once it has not been heard for long enough; recorded drains stay."""
        from onyxwick.store.recovery import RecoveryPhase

        while durable.recovery.phase is RecoveryPhase.CHECKING:
            await asyncio.sleep(RECOVERY_TICK_S)
            if durable.recovery.tick(self.core.now()):
                log.warning("recovery without the feed", **durable.recovery.shown())

    def want_trace(self) -> None:
        """A trace from now on for as long as the file says (SIGUSR2)."""
        assert self.told.trace is not None
        until = asyncio.get_running_loop().time() + self.told.trace.signal_duration_us / 1e6
        self.trace_until = max(self.trace_until, until)

    async def _trace(self, told: TraceConfig) -> None:
        """Write a trace while it is wanted: always, or for a while from each SIGUSR2 on."""
        from onyxwick.trace.decision_tracer import DecisionTracer
        from onyxwick.trace.sink import SinkLimits

        loop, bounds = (
            asyncio.get_running_loop(),
            SinkLimits(told.max_file_bytes, told.max_file_age_us / 1e6, told.max_total_bytes),
        )
        core = self.core
        try:
            while True:
                if core.watch is None and loop.time() < self.trace_until:
                    now = core.now()
                    core.watch = DecisionTracer(core.settings, self.config.name, told.folder, bounds, now)
                    core.watch.listed(now, self.members.listed.values())
                    log.info("trace begun", folder=str(told.folder))
                elif core.watch is not None and loop.time() >= self.trace_until:
                    self._end_trace()
                await asyncio.sleep(TRACE_TICK_S)
                if core.watch is not None:
                    core.watch.tick(core.now())
        finally:
            self._end_trace()

    def _end_trace(self) -> None:
        watch, self.core.watch = self.core.watch, None
        if watch is not None:
            watch.stop(self.core.now())

    def _fronts(self, health: Callable[[], dict[str, object]]) -> list[DnsFront | HttpServer]:
        """The hosted service's fronts. Loaded only where they are wanted: their libraries take memory."""
        out: list[DnsFront | HttpServer] = []
        if self.told.dns_address:
            from onyxwick.dns.server import DnsFront

            out.append(DnsFront(self.core, self.counters, self.told, self.durable))
        if self.told.admin_address:
            from onyxwick.admin.api import Api
            from onyxwick.admin.http import HttpServer

            parts = {"cells": self._cells_api(), "sites": self._sites_api()}

            def whole_health() -> dict[str, object]:
                return health() | self._feed_health()

            api = Api(self.told.tenants, self.counters, self.told.admin_token, whole_health, parts)
            out.append(HttpServer(self.told.admin_address, self._lasting(api), self.counters))
        return out

    def _lasting(self, api: Api) -> Handler:
        if self.durable is None:
            return api
        from onyxwick.admin.durable import DurableApi

        return DurableApi(api, self.durable, self.core)

    def _cells_api(self) -> CellsApi | None:
        if self.cells is None:
            return None
        from onyxwick.admin.cells import CellsApi
        from onyxwick.cells import CellPlanControl

        return CellsApi(CellPlanControl(self.cells, self.core.now, self.core.handle))

    def _sites_api(self) -> SitesApi | None:
        if self.sites is None:
            return None
        from onyxwick.admin.sites import SitesApi

        return SitesApi(self.sites, self.core.now, self.core.handle)


def _planned(told: SitesConfig) -> tuple[SitePlan, list[str]]:
    """The plan for losses and what it finds, in a worker thread: read, or made by the linear programmes."""
    if told.plan_file is not None:
        from onyxwick.config.sites import read_plan

        return read_plan(told.topology, told.plan_file), []
    from onyxwick.sites.loss_study import study_losses

    done = study_losses(told.topology)
    return done.plan(), done.findings()
