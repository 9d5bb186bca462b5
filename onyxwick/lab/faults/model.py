"""What a scenario of the bench of processes adds to one of the lab: sites, hubs, ways between them,
faults."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from hashlib import blake2b

from onyxwick.lab.model import Scenario

ARCHIVE = "archive"


@dataclass(frozen=True, slots=True)
class Depot:
    """A site: boxes, directors, and the share of every tenant's clients that live there."""

    name: str
    directors: int
    boxes: int
    share: float
    failover: Mapping[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Stores:
    """A hub with its relay stores."""

    name: str
    stores: int


@dataclass(frozen=True, slots=True)
class FaultLink:
    """The way between two places; capacity in transfers, 0: not bounded."""

    ends: tuple[str, str]
    capacity: float = 0.0
    delay_us: int = 0


@dataclass(frozen=True, slots=True)
class When:
    """At a time, or as soon as a director has said something so many times."""

    at_us: int = 0
    says: str = ""  # a regular expression over its log's lines
    director: str = ""  # empty: any
    count: int = 1


@dataclass(frozen=True, slots=True)
class InjectedFault:
    """`what` of `name` for so long (0: to the end). `how`: a word that the kind of fault knows."""

    label: str
    when: When
    what: str
    name: str
    for_us: int = 0
    how: str = ""
    amount: float = 0.0


@dataclass(frozen=True, slots=True)
class FleetScenario:
    """One scenario whole. `failover_us`: after which a lost site's clients go elsewhere."""

    scenario: Scenario
    sites: Mapping[str, Depot]
    hubs: Mapping[str, Stores]
    archive_at: str  # the hub in whose zone it stands
    links: Mapping[frozenset[str], FaultLink]
    faults: tuple[InjectedFault, ...]
    failover_us: int
    fills: Mapping[str, tuple[float, float]] = field(
        default_factory=dict
    )  # class: filled; of those, at the archive
    policy: Mapping[str, str] = field(
        default_factory=dict
    )  # of the directors' block `sites`, as it is written
    reserves: Mapping[str, float] = field(default_factory=dict)
    local: float = 0.0  # of the objects: wanted by the clients of one site alone

    def object_at(self, name: str, site: str) -> str:
        """What an object is called for the clients of a site: a local one is another one at each."""
        if int(name[:4], 16) >= self.local * 65_536:
            return name
        return blake2b(f"{name}@{site}".encode(), digest_size=8).hexdigest()

    @property
    def directors(self) -> list[tuple[str, str]]:
        """Name and site of each, in their order."""
        out: list[tuple[str, str]] = []
        for site in self.sites.values():
            out += [(f"n{len(out) + n}", site.name) for n in range(site.directors)]
        return out
