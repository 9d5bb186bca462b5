"""Creates the router of a director from its service file: a plain router, or a router for cells or sites.

The router is created from the settings, the plan of cells and the topology of sites. The module also provides
the options that the front needs.
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


class FrontOptions(NamedTuple):
    """Information for the front: connection quotas by cell, and names of the tenant and site fields."""

    reservation: ConnectionReservation | None
    tenant_field: str
    """Name of the request field that contains the tenant."""
    site_field: str
    """Name of the request field that contains the client's site."""


class RouterFactory:
    """Creates a director's router, and keeps references to the routers of cells and sites in it."""

    def __init__(self, service_config: ServiceConfig, max_open_requests: int) -> None:
        self.service_config = service_config
        self.max_open_requests = max_open_requests
        self.cells: CellRouter | None = None
        """Router for the cells of the director's own site; None without a plan of cells."""
        self.sites: SiteRouter | None = None

    def make_router(self, settings: RouterSettings, seed: int, now_us: int) -> RequestRouter:
        """Return a new router for the director."""
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
        """Return a new router for one site's caches; the first call is for the director's own site."""
        if self.service_config.cell_plan is None:
            return Router(settings, seed, now_us)
        from onyxwick.cells import CellRouter

        plan = self.service_config.cell_plan if self.cells is None else self.cells.plan
        router = CellRouter(settings, seed, now_us, plan, self.max_open_requests)
        if self.cells is None:
            self.cells = router
        return router

    def front_options(self, max_held_bytes: int, max_clients: int) -> FrontOptions:
        """Return the information for the front; the two arguments are the front's limits."""
        site_field = self.sites.topology.policy.client_site_field if self.sites is not None else ""
        if self.cells is None:
            tenant_field = DEFAULT_TENANT_FIELD if self.sites is not None else ""
            return FrontOptions(None, tenant_field, site_field)
        from onyxwick.cells.reservation import ConnectionReservation

        reservation = ConnectionReservation(self.cells, max_held_bytes, max_clients)
        return FrontOptions(reservation, self.cells.plan.policy.tenant_field, site_field)
