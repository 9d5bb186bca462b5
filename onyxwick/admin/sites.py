"""The administration API's section for sites: states, explanations and operator commands."""

from __future__ import annotations

from collections.abc import Callable

from onyxwick.admin.http_messages import Answer, HttpError, HttpRequest
from onyxwick.sites import SiteCommand, SiteCommandError, SiteRouter, parse_command
from onyxwick.sites.status import explain, router_status


class SitesApi:
    """Answers the calls below /sites.

    Commands are accepted only if they can be made durable, which `admin/durable_api.py` does. `clock` returns
    Unix microseconds; `flush` sends the changes that a command caused.
    """

    def __init__(self, sites: SiteRouter, clock: Callable[[], int], flush: Callable[[], None]) -> None:
        self.sites = sites
        self.clock = clock
        self.flush = flush

    def __call__(self, request: HttpRequest, path: list[str]) -> Answer:
        """Answer one call. Raises HttpError if it is rejected."""
        match request.method, path:
            case "GET", []:
                return Answer(200, router_status(self.sites, self.clock()))
            case "GET", ["orders"]:
                return Answer(200, {"orders": self.sites.monitor.commands.status()})
            case "GET", ["explain", site, class_name, object_id]:
                return self._explain(site, class_name, object_id)
            case "PUT", ["orders", _]:
                raise HttpError(
                    409, "a command must survive a restart, but the service file has no block 'store'"
                )
        raise HttpError(404, "nothing here")

    def _explain(self, site: str, class_name: str, object_id: str) -> Answer:
        try:
            explanation = explain(self.sites, site, class_name, object_id)
        except KeyError as error:
            raise HttpError(404, f"unknown site or class {error}") from None
        return Answer(200, {"site": site, "class": class_name, "object": object_id, "because": explanation})

    def read_command(self, request: HttpRequest, site: str) -> SiteCommand:
        """Parse the command in a call. Raises HttpError if the site is unknown or the command invalid."""
        if site not in self.sites.monitor.lifecycles:
            raise HttpError(404, f"no site '{site}'")
        try:
            return parse_command(site, request.json(), self.clock())
        except SiteCommandError as error:
            raise HttpError(400, str(error)) from None

    def apply_command(self, command: SiteCommand) -> None:
        """Apply a command that is already durable."""
        self.sites.apply_command(self.clock(), command)
        self.flush()
