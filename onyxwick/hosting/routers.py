"""Makes the router of a director from its service file: a single one, one of cells, or one of sites.

Inputs: the settings, the plan of cells and the topology of sites. Outputs: the router, and what the front
must know of it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from onyxwick.config.service import ServiceConfig
from onyxwick.interface import RequestRouter, RouterSettings
from onyxwick.routing import Router

if TYPE_CHECKING:
    from onyxwick.cells import CellRouter
    from onyxwick.cells.reservation import ConnectionReservation
    from onyxwick.sites import SiteRouter

DEFAULT_TENANT_FIELD = "X-Tenant"


class FrontFields(NamedTuple):
    """What the front must know: quotas of connections by cell, and the fields that name the owner."""

    reservation: ConnectionReservation | None
    tenant_field: str
    site_field: str
    """Names the client's site."""


class RouterFactory:
    """Makes the router, and keeps the routers of cells and sites that it is made of."""

    def __init__(self, service_config: ServiceConfig, max_open_requests: int) -> None:
        self.service_config = service_config
        self.max_open_requests = max_open_requests
        self.cells: CellRouter | None = None
        """Of the director's own site."""
        self.sites: SiteRouter | None = None

    def make_router(self, settings: RouterSettings, seed: int, now_us: int) -> RequestRouter:
        """The director's router."""
        if self.service_config.sites is None:
            return self._make_site_router(settings, seed, now_us)
        from onyxwick.sites import SitePlan, SiteRouter

        topology = self.service_config.sites.topology
        self.sites = SiteRouter(
            settings,
            seed,
            now_us,
            topology,
            SitePlan(topology),
            self._make_site_router,
            self.max_open_requests,
        )
        return self.sites

    def _make_site_router(self, settings: RouterSettings, seed: int, now_us: int) -> RequestRouter:
        """The router of one site's caches; the first one made is the own site's."""
        if self.service_config.cell_plan is None:
            return Router(settings, seed, now_us)
        from onyxwick.cells import CellRouter

        plan = self.service_config.cell_plan if self.cells is None else self.cells.plan
        router = CellRouter(settings, seed, now_us, plan, self.max_open_requests)
        if self.cells is None:
            self.cells = router
        return router

    def front_fields(self, max_held_bytes: int, max_clients: int) -> FrontFields:
        """What the front must know; the limits are its own."""
        site_field = self.sites.topology.policy.client_site_field if self.sites is not None else ""
        if self.cells is None:
            tenant_field = DEFAULT_TENANT_FIELD if self.sites is not None else ""
            return FrontFields(None, tenant_field, site_field)
        from onyxwick.cells.reservation import ConnectionReservation

        reservation = ConnectionReservation(self.cells, max_held_bytes, max_clients)
        return FrontFields(reservation, self.cells.plan.policy.tenant_field, site_field)
