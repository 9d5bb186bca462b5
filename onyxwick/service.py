"""Connects the components that a service file adds to a director.

These are cells, sites, store, trace, the distribution tree and fronts; most of their set-up is in
`onyxwick.hosting`. This module is loaded only if there is a service file, and each component only if the file
has a block for it.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from onyxwick import logs
from onyxwick.background_work import BackgroundWork
from onyxwick.config import ConfigError
from onyxwick.config.director import DirectorConfig
from onyxwick.config.service import ServiceConfig
from onyxwick.core import RequestEngine
from onyxwick.core.backoff import BackoffPolicy, ReconnectBackoff
from onyxwick.hosting.fronts import FrontFactory
from onyxwick.hosting.routers import FrontOptions, RouterFactory
from onyxwick.hosting.trace_control import TraceControl
from onyxwick.interface import EndpointFeedReceived, RequestRouter, RouterSettings
from onyxwick.net.cache_pool import CacheConnectionPool
from onyxwick.net.coordinator_feed import CoordinatorFeed

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from onyxwick.cells import CellPlan
    from onyxwick.config.distribution import FeedConfig
    from onyxwick.hosting.zone_reading import ZoneReader
    from onyxwick.net.subscription import Subscription
    from onyxwick.store.durable_state import DurableState

log = logs.get()
RECOVERY_CHECK_INTERVAL_S = 0.5
RAMP_UP_SEED = 0xBAC
SUBSCRIPTION_SEED = 0x5B5
"""`RAMP_UP_SEED` and `SUBSCRIPTION_SEED` are combined with the director's seed, so that the ramp-up and the
subscription have separate random numbers."""
FEED_DELAY_DIVISOR = 4
"""Connections to the feed are spread over this part of the time over which those to caches are: no request is
sent before the feed has confirmed the list."""
QUOTAS_DOCUMENT = "quotas"
"""Name of the distributed document with the tenants' quotas."""


class HostedService:
    """The components that a service file adds to one director, created in the order of their dependencies.

    The router is created first, then the stored state, which needs the engine that contains the router, and
    then the background tasks, which need the event loop.
    """

    def __init__(self, config: DirectorConfig, service_config: ServiceConfig) -> None:
        self.config = config
        self.service_config = service_config
        self.routers = RouterFactory(service_config, config.max_open_requests)
        self.work = BackgroundWork()
        self.durable: DurableState | None = None
        self.subscription: Subscription | None = None
        """Subscription to the distribution tree; None if the director follows the coordinator's feed."""
        trace_config = service_config.trace
        self.trace = None if trace_config is None else TraceControl(trace_config, config.name)

    def make_router(self, settings: RouterSettings, seed: int, now_us: int) -> RequestRouter:
        """Return the director's router; called by the engine."""
        return self.routers.make_router(settings, seed, now_us)

    def front_options(self) -> FrontOptions:
        """Return the options that the platform's front needs."""
        return self.routers.front_options(self.config.max_held_bytes, self.config.max_clients)

    def attach(self, engine: RequestEngine) -> None:
        """Set the engine that contains the router, and open the store if one is configured.

        Raises StoreError if the store cannot be read completely.
        """
        self.engine = engine
        if self.service_config.store is None:
            return
        from onyxwick.hosting.durable_state import open_durable_state

        self.durable = open_durable_state(
            engine, self.service_config, self.service_config.store, self.routers
        )

    def ramp_up(self, coordinator: CoordinatorFeed, cache_pool: CacheConnectionPool) -> None:
        """Spread the reconnections of directors that restart at the same time (core/backoff.py).

        With a store, a director follows the feed after a delay drawn from its seed and opens its connections
        to caches gradually; its requests wait for the feed, as at any start. With sites, its request rate to
        parents increases at the same rate: the director's popularity counts are empty, so without this limit
        requests for all rare objects would reach the parents at the same time.
        """
        sites = self.routers.sites
        if sites is not None:
            coordinator.on_line = self._on_feed_line
        if self.durable is None and sites is None:
            return
        backoff = ReconnectBackoff(
            self.config.seed ^ RAMP_UP_SEED,
            self.engine.now(),
            BackoffPolicy(),
            self.config.settings.router_count,
        )
        if sites is not None:
            sites.startup_share = backoff.ramp_share
        if self.durable is not None:
            coordinator.initial_delay_us = backoff.initial_delay_us // FEED_DELAY_DIVISOR
            cache_pool.warm_up_share = lambda: backoff.ramp_share(self.engine.now())

    # ---- feed -------------------------------------------------------------------------------------------

    def follow(self, coordinator: CoordinatorFeed) -> Coroutine[None, None, None]:
        """Return the coroutine that receives endpoint lists and purges.

        Their source is the distribution tree if the service file configures it, else the coordinator's feed.
        """
        if self.service_config.feed is None:
            return coordinator.follow()
        self.subscription = self._subscribe(self.service_config.feed)
        self.subscription.on_line = coordinator.on_line
        return self.subscription.run(coordinator.initial_delay_us)

    def _subscribe(self, feed_config: FeedConfig) -> Subscription:
        from onyxwick.distribution.follower import Follower
        from onyxwick.distribution.follower_actions import FollowerLimits
        from onyxwick.net.director_feed import DirectorFeed
        from onyxwick.net.subscription import ReconnectDelays, Subscription

        engine = self.engine
        delays = ReconnectDelays(self.config.seed ^ SUBSCRIPTION_SEED, engine.now())
        limits = FollowerLimits(stale_after_us=feed_config.stale_after_us)
        follower = Follower(len(feed_config.parents), delays, limits=limits)
        documents = {QUOTAS_DOCUMENT: self.service_config.tenants.apply_quotas}
        sink = DirectorFeed(engine, engine.counters, documents)
        subscription = Subscription(follower, feed_config.parents, sink, engine.counters, engine.now)
        subscription.on_lost = sink.lost
        return subscription

    def _feed_health(self) -> dict[str, object]:
        """Return the state and age of the feed for the health call; empty without a subscription."""
        if self.subscription is None:
            return {}
        follower = self.subscription.follower
        age_us = follower.staleness_us(self.engine.now())
        return {"feed": follower.state.value, "feed_age_ms": None if age_us is None else age_us // 1000}

    def _on_feed_line(self) -> None:
        self.engine.handle(EndpointFeedReceived())

    # ---- reload -----------------------------------------------------------------------------------------

    def reload(self, plan: CellPlan | None) -> None:
        """Apply the service file's plan of cells, replacing changes made through the administration API.

        Raises ConfigError if the plan is not a valid successor of the current plan.
        """
        cells = self.routers.cells
        if cells is None or plan is None:
            if (cells is None) is not (plan is None):
                log.warning("cells are switched on and off at a restart only")
            return
        from onyxwick.cells import CellPlanControl, CellPlanError

        try:
            changed = CellPlanControl(cells, self.engine.now, self.engine.handle).replace_plan(plan)
        except CellPlanError as error:
            raise ConfigError(str(error)) from None
        if changed:
            log.info("plan of cells changed", version=cells.plan.version)
        if self.durable is not None:
            self.durable.forget_cell_plan()

    # ---- background tasks ---------------------------------------------------------------------------------

    def start(self, health: Callable[[], dict[str, object]]) -> list[asyncio.Task[None]]:
        """Restore the stored state, start the background tasks, and return them for later cancellation."""
        loop = asyncio.get_running_loop()
        tasks: list[asyncio.Task[None]] = []
        zone_reader: ZoneReader | None = None
        if self.durable is not None:
            from onyxwick.hosting.zone_reading import ZoneReader

            self.durable.start()
            self.engine.feed.restore(self.durable)
            tasks.append(loop.create_task(self._finish_recovery(self.durable)))
            zone_reader = ZoneReader(self.service_config.tenants, self.durable, self.work)
            tasks.append(loop.create_task(zone_reader.run()))
        factory = FrontFactory(
            self.engine, self.service_config, self.routers, self.durable, self.work, zone_reader
        )

        def health_with_feed() -> dict[str, object]:
            return health() | self._feed_health()

        tasks += [loop.create_task(front.run()) for front in factory.make_fronts(health_with_feed)]
        if self.trace is not None:
            tasks.append(loop.create_task(self.trace.run(self.engine)))
        if self.routers.sites is not None and self.service_config.sites is not None:
            from onyxwick.hosting.site_planning import install_site_plan

            planning = install_site_plan(self.engine, self.routers.sites, self.service_config.sites)
            tasks.append(loop.create_task(planning))
        return tasks

    async def close(self) -> None:
        """Close the store after its pending writes are finished."""
        if self.durable is not None:
            await self.durable.close()

    async def _finish_recovery(self, durable: DurableState) -> None:
        """End the recovery if the feed sends nothing for too long; recorded drains stay in force."""
        from onyxwick.store.recovery import RecoveryPhase

        while durable.recovery.phase is RecoveryPhase.CHECKING:
            await asyncio.sleep(RECOVERY_CHECK_INTERVAL_S)
            if durable.recovery.on_tick(self.engine.now()):
                log.warning("recovery without the feed", **durable.recovery.status())
