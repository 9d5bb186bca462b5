"""The administration API's section for sites: states, explanations, the operators' commands."""

from __future__ import annotations

from collections.abc import Callable

from onyxwick.admin.http_messages import Answer, HttpError, HttpRequest
from onyxwick.sites import SiteCommand, SiteCommandError, SiteRouter, parse_command
from onyxwick.sites.status import explain, router_status


class SitesApi:
    """Calls below /sites. Commands are taken where they can be made durable: see `admin/durable_api.py`.

    `clock`: Unix microseconds; `flush` sends what a command has changed.
    """

    def __init__(self, sites: SiteRouter, clock: Callable[[], int], flush: Callable[[], None]) -> None:
        self.sites = sites
        self.clock = clock
        self.flush = flush

    def __call__(self, request: HttpRequest, path: list[str]) -> Answer:
        """Answer one call; HttpError where it is rejected."""
        match request.method, path:
            case "GET", []:
                return Answer(200, router_status(self.sites, self.clock()))
            case "GET", ["orders"]:
                return Answer(200, {"orders": self.sites.monitor.commands.status()})
            case "GET", ["explain", site, class_name, object_id]:
                return self._explain(site, class_name, object_id)
            case "PUT", ["orders", _]:
                raise HttpError(
                    409, "an order must outlive a restart, and the service file has no block 'store'"
                )
        raise HttpError(404, "nothing here")

    def _explain(self, site: str, class_name: str, object_id: str) -> Answer:
        try:
            explanation = explain(self.sites, site, class_name, object_id)
        except KeyError as error:
            raise HttpError(404, f"nothing called {error}") from None
        return Answer(200, {"site": site, "class": class_name, "object": object_id, "because": explanation})

    def read_command(self, request: HttpRequest, site: str) -> SiteCommand:
        """The command that a call asks for; HttpError where it cannot be taken."""
        if site not in self.sites.monitor.lifecycles:
            raise HttpError(404, f"no site '{site}'")
        try:
            return parse_command(site, request.json(), self.clock())
        except SiteCommandError as error:
            raise HttpError(400, str(error)) from None

    def apply_command(self, command: SiteCommand) -> None:
        """A command that is durable takes effect."""
        self.sites.apply_command(self.clock(), command)
        self.flush()
