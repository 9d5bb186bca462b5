"""Creates the hosted service's fronts: DNS, and the administration API for the configured components."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from onyxwick.background_work import BackgroundWork
from onyxwick.config.service import ServiceConfig
from onyxwick.hosting.routers import RouterFactory

if TYPE_CHECKING:
    from onyxwick.admin.api import AdminApi
    from onyxwick.admin.cells import CellsApi
    from onyxwick.admin.http_server import Handler, HttpServer
    from onyxwick.admin.sites import SitesApi
    from onyxwick.core import RequestEngine
    from onyxwick.dns.server import DnsFront
    from onyxwick.hosting.zone_reading import ZoneReader
    from onyxwick.store.durable_state import DurableState


class FrontFactory:
    """Creates the fronts that a service file configures."""

    def __init__(
        self,
        engine: RequestEngine,
        service_config: ServiceConfig,
        routers: RouterFactory,
        durable: DurableState | None,
        work: BackgroundWork,
        zone_reader: ZoneReader | None,
    ) -> None:
        self.engine = engine
        self.service_config = service_config
        self.routers = routers
        self.durable = durable
        self.work = work
        self.zone_reader = zone_reader

    def make_fronts(self, health: Callable[[], dict[str, object]]) -> list[DnsFront | HttpServer]:
        """Return all configured fronts. `health` returns the document for the health call."""
        fronts: list[DnsFront | HttpServer] = []
        if self.service_config.dns_address:
            from onyxwick.dns.server import DnsFront

            counters = self.engine.counters
            # Updates are short, so they do not wait for the zones that calls bring.
            updates = BackgroundWork()
            fronts.append(DnsFront(self.engine, counters, self.service_config, self.durable, updates))
        if self.service_config.admin_address:
            from onyxwick.admin.http_server import HttpServer

            handler = self._admin_handler(health)
            fronts.append(HttpServer(self.service_config.admin_address, handler, self.engine.counters))
        return fronts

    def _admin_handler(self, health: Callable[[], dict[str, object]]) -> Handler:
        from onyxwick.admin.api import AdminApi

        config = self.service_config
        parts = {"cells": self._cells_api(), "sites": self._sites_api()}
        api = AdminApi(config.tenants, self.engine.counters, config.admin_token, health, parts, self.work)
        if self.zone_reader is not None:
            api.unread_retry_s = self.zone_reader.retry_after_s
        return self._durable_handler(api)

    def _durable_handler(self, api: AdminApi) -> Handler:
        if self.durable is None:
            return api
        from onyxwick.admin.durable_api import DurableApi

        return DurableApi(api, self.durable, self.engine)

    def _cells_api(self) -> CellsApi | None:
        if self.routers.cells is None:
            return None
        from onyxwick.admin.cells import CellsApi
        from onyxwick.cells import CellPlanControl

        return CellsApi(CellPlanControl(self.routers.cells, self.engine.now, self.engine.handle))

    def _sites_api(self) -> SitesApi | None:
        if self.routers.sites is None:
            return None
        from onyxwick.admin.sites import SitesApi

        return SitesApi(self.routers.sites, self.engine.now, self.engine.handle)
