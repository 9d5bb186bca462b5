"""The state that a director keeps for each site in use, and for each request the site whose router handles
it.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from onyxwick.interface import FleetShareChanged, Member, RequestArrived, RequestRouter
from onyxwick.sites.load_shedding import SheddingLevels
from onyxwick.subrouters import RequestOwner


@dataclass(frozen=True, slots=True)
class RoutedAttempt:
    """One attempt of a request: the site whose router started it, and its index among the attempts of that
    router."""

    site: str
    local_index: int
    member: str
    fill_source: str | None


@dataclass(slots=True, kw_only=True)
class SiteRequestOwner(RequestOwner):
    """The site that serves one request. It changes at most once, and only for idempotent requests."""

    request: RequestArrived
    client_site: str  # the site of the client
    deadline_us: int
    is_trial: bool = False  # sent to a site that is not known to be reachable
    holds_admission: bool = False  # counted by the admission gate of the site
    relocated: bool = False
    attempts: list[RoutedAttempt] = field(default_factory=list)

    @property
    def tenant(self) -> str:
        """Return the tenant that the request names, or an empty string if it names none."""
        return self.request.tenant or ""

    def attempts_at(self, site: str) -> int:
        """Return the number of attempts that the router of a site has started."""
        return sum(attempt.site == site for attempt in self.attempts)

    def attempt_index_of(self, site: str, local_index: int) -> int | None:
        """Return the index of an attempt among all attempts of the request, given its index at the router
        of one site; None if there is no such attempt."""
        key = (site, local_index)
        for index, attempt in enumerate(self.attempts):
            if (attempt.site, attempt.local_index) == key:
                return index
        return None


class ActiveSite:
    """The router of one site, the endpoint list and shares last passed to it, and its load shedding."""

    def __init__(self, name: str, router: RequestRouter, shedding: SheddingLevels, now: int) -> None:
        self.name = name
        self.router = router
        self.shedding = shedding
        self.reported_members: dict[str, Member] = {}
        self.in_flight = 0
        self.last_used_us = now  # when a request was last assigned to this site
        self.retry_reserve = 1.0  # last value passed to the router
        self.fleet_share = FleetShareChanged(1.0)  # last value passed to the router
