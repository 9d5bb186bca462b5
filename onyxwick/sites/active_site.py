"""One site's boxes as this director uses them, and the place where one request lives. No I/O."""

from __future__ import annotations

from dataclasses import dataclass, field

from onyxwick.interface import FleetShareChanged, Member, RequestArrived, RequestClass, RequestRouter
from onyxwick.sites.load_shedding import SheddingLevels


@dataclass(frozen=True, slots=True)
class RoutedAttempt:
    """One attempt of a request: which unit's router ordered it, as its how-manieth."""

    unit: str
    number: int
    member: str
    source: str | None


@dataclass(slots=True)
class SiteRequestOwner:
    """Where one request lives. It moves once at the most, and only what may run twice."""

    ask: RequestArrived
    kind: RequestClass
    site: str  # whose client asks
    unit: str
    arrived: int
    deadline: int
    trial: bool = False
    gated: bool = False  # counted at its unit's gate
    moved: bool = False
    over: bool = False
    out: int = 0
    tries: list[RoutedAttempt] = field(default_factory=list)

    @property
    def tenant(self) -> str:
        return self.ask.tenant or ""

    def local(self, unit: str) -> int:
        """How many attempts a unit's router has ordered."""
        return sum(one.unit == unit for one in self.tries)

    def number_of(self, unit: str, local: int) -> int | None:
        """The attempt's number at the core, by its number at one unit."""
        return next((n for n, one in enumerate(self.tries) if (one.unit, one.number) == (unit, local)), None)


class ActiveSite:
    """A site's decider, what it was told of the list, its ladder."""

    def __init__(self, site: str, decider: RequestRouter, ladder: SheddingLevels, now: int) -> None:
        self.site, self.decider, self.ladder = site, decider, ladder
        self.told: dict[str, Member] = {}
        self.open = 0
        self.used_us = now  # when a request last came
        self.reserve = 1.0  # as its decider was told last
        self.parts = FleetShareChanged(1.0)  # as it was told last
