"""One site's boxes as this director uses them, and the place where one request lives. No I/O."""

from __future__ import annotations

from dataclasses import dataclass, field

from onyxwick.interface import FleetShareChanged, Member, RequestArrived, RequestClass, RequestRouter
from onyxwick.sites.load_shedding import SheddingLevels


@dataclass(frozen=True, slots=True)
class RoutedAttempt:
    """One attempt of a request: which unit's router ordered it, as its how-manieth."""

    site: str
    local_index: int
    member: str
    fill_source: str | None


@dataclass(slots=True)
class SiteRequestOwner:
    """Where one request lives. It moves once at the most, and only what may run twice."""

    request: RequestArrived
    request_class: RequestClass
    client_site: str  # whose client asks
    serving_site: str
    arrived_at_us: int
    deadline_us: int
    is_trial: bool = False
    holds_admission: bool = False  # counted at its unit's gate
    relocated: bool = False
    answered: bool = False
    attempts_in_flight: int = 0
    attempts: list[RoutedAttempt] = field(default_factory=list)

    @property
    def tenant(self) -> str:
        return self.request.tenant or ""

    def attempts_at(self, unit: str) -> int:
        """How many attempts a unit's router has ordered."""
        return sum(one.site == unit for one in self.attempts)

    def attempt_index_of(self, unit: str, local: int) -> int | None:
        """The attempt's number at the core, by its number at one unit."""
        return next(
            (n for n, one in enumerate(self.attempts) if (one.site, one.local_index) == (unit, local)), None
        )


class ActiveSite:
    """A site's decider, what it was told of the list, its ladder."""

    def __init__(self, name: str, router: RequestRouter, shedding: SheddingLevels, now: int) -> None:
        self.name, self.router, self.shedding = name, router, shedding
        self.reported_members: dict[str, Member] = {}
        self.in_flight = 0
        self.last_used_us = now  # when a request last came
        self.retry_reserve = 1.0  # as its decider was told last
        self.fleet_share = FleetShareChanged(1.0)  # as it was told last
