"""One site's caches as this director uses them, and which site's router decides for each request."""

from __future__ import annotations

from dataclasses import dataclass, field

from onyxwick.interface import FleetShareChanged, Member, RequestArrived, RequestRouter
from onyxwick.sites.load_shedding import SheddingLevels
from onyxwick.subrouters import RequestOwner


@dataclass(frozen=True, slots=True)
class RoutedAttempt:
    """One attempt of a request: the site whose router ordered it, and its index among that router's
    attempts."""

    site: str
    local_index: int
    member: str
    fill_source: str | None


@dataclass(slots=True, kw_only=True)
class SiteRequestOwner(RequestOwner):
    """The site that serves one request. It changes once at most, and only for idempotent requests."""

    request: RequestArrived
    client_site: str  # the site of the client
    deadline_us: int
    is_trial: bool = False  # sent to a site that is not known to answer
    holds_admission: bool = False  # counted at the gate of the site
    relocated: bool = False
    attempts: list[RoutedAttempt] = field(default_factory=list)

    @property
    def tenant(self) -> str:
        """The tenant that the request names, or an empty name."""
        return self.request.tenant or ""

    def attempts_at(self, site: str) -> int:
        """The number of attempts that a site's router has ordered."""
        return sum(attempt.site == site for attempt in self.attempts)

    def attempt_index_of(self, site: str, local_index: int) -> int | None:
        """The index of an attempt among all of the request's, from its index at one site's router."""
        key = (site, local_index)
        for index, attempt in enumerate(self.attempts):
            if (attempt.site, attempt.local_index) == key:
                return index
        return None


class ActiveSite:
    """A site's router, what it has been given, and its load shedding."""

    def __init__(self, name: str, router: RequestRouter, shedding: SheddingLevels, now: int) -> None:
        self.name = name
        self.router = router
        self.shedding = shedding
        self.reported_members: dict[str, Member] = {}
        self.in_flight = 0
        self.last_used_us = now  # when it was last assigned a request
        self.retry_reserve = 1.0  # as last given to its router
        self.fleet_share = FleetShareChanged(1.0)  # as last given to its router
