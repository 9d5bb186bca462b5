"""The administration API's part for sites: states, explanations, orders."""

from __future__ import annotations

from collections.abc import Callable

from onyxwick.admin.http import HttpError, HttpRequest
from onyxwick.sites import SiteCommand, SiteCommandError, SiteRouter, read_order
from onyxwick.sites.status import explain, show

Answer = tuple[int, object]


class SitesApi:
    """Calls under /sites. Orders are taken where they can be kept: see `admin/durable_api.py`."""

    def __init__(self, sites: SiteRouter, clock: Callable[[], int], flush: Callable[[], None]) -> None:
        self.sites, self.clock, self.flush = sites, clock, flush

    def __call__(self, request: HttpRequest, path: list[str]) -> Answer:
        match request.method, path:
            case "GET", []:
                return 200, show(self.sites, self.clock())
            case "GET", ["orders"]:
                return 200, {"orders": self.sites.watch.orders.shown()}
            case "GET", ["explain", site, kind, name]:
                try:
                    told = explain(self.sites, site, kind, name)
                except KeyError as error:
                    raise HttpError(404, f"nothing called {error}") from None
                return 200, {"site": site, "class": kind, "object": name, "because": told}
            case "PUT", ["orders", _]:
                raise HttpError(
                    409, "an order must outlive a restart, and the service file has no block 'store'"
                )
        raise HttpError(404, "nothing here")

    def order(self, request: HttpRequest, site: str) -> SiteCommand:
        """The order that a call asks for; HttpError where it cannot be taken."""
        if site not in self.sites.watch.lives:
            raise HttpError(404, f"no site '{site}'")
        try:
            return read_order(site, request.json(), self.clock())
        except SiteCommandError as error:
            raise HttpError(400, str(error)) from None

    def take(self, order: SiteCommand) -> None:
        """An order that is durable binds from now on."""
        self.sites.order(self.clock(), order)
        self.flush()
