"""Scenario of the fault bench: extends a lab scenario by sites, hubs, links between them, and faults."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from hashlib import blake2b

from onyxwick.lab.model import Scenario

ARCHIVE = "archive"


@dataclass(frozen=True, slots=True)
class SiteSpec:
    """A site: the number of its caches and directors, the share of every tenant's clients at this site, and
    the failover shares by the name of the other site."""

    name: str
    directors: int
    boxes: int
    share: float
    failover: Mapping[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class HubSpec:
    """A hub and the number of its relay stores."""

    name: str
    stores: int


@dataclass(frozen=True, slots=True)
class FaultLink:
    """The link between two places. Its capacity is in concurrent transfers; 0 means unlimited."""

    ends: tuple[str, str]
    capacity: float = 0.0
    delay_us: int = 0


@dataclass(frozen=True, slots=True)
class When:
    """Start of a fault: at a time, or once a director has logged matching lines `count` times."""

    at_us: int = 0
    says: str = ""  # a regular expression that is matched against the lines of the director's log
    director: str = ""  # empty: any director
    count: int = 1


@dataclass(frozen=True, slots=True)
class InjectedFault:
    """A fault of kind `what` that applies to `name` for `for_us` (0: until the end of the run). `how` is an
    option of this kind of fault."""

    label: str
    when: When
    what: str
    name: str
    for_us: int = 0
    how: str = ""
    amount: float = 0.0


@dataclass(frozen=True, slots=True)
class FleetScenario:
    """A complete scenario. The clients of a lost site move to other sites after `failover_us`."""

    scenario: Scenario
    sites: Mapping[str, SiteSpec]
    hubs: Mapping[str, HubSpec]
    archive_at: str  # the hub in whose zone the archive is
    links: Mapping[frozenset[str], FaultLink]
    faults: tuple[InjectedFault, ...]
    failover_us: int
    fills: Mapping[str, tuple[float, float]] = field(
        default_factory=dict
    )  # class: share of requests filled, and share of these at the archive
    policy: Mapping[str, str] = field(
        default_factory=dict
    )  # settings in the directors' block `sites`, as HCL text
    reserves: Mapping[str, float] = field(default_factory=dict)
    local: float = 0.0  # share of the objects that only the clients of one site request

    def object_at(self, name: str, site: str) -> str:
        """Return the name of an object for the clients of a site. A local object has a different name per
        site."""
        if int(name[:4], 16) >= self.local * 65_536:
            return name
        return blake2b(f"{name}@{site}".encode(), digest_size=8).hexdigest()

    @property
    def directors(self) -> list[tuple[str, str]]:
        """The name and site of each director, in numeric order."""
        out: list[tuple[str, str]] = []
        for site in self.sites.values():
            out += [(f"n{len(out) + n}", site.name) for n in range(site.directors)]
        return out
