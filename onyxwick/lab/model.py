"""What a scenario is: machines, classes, tenants with their load, and what happens when. Types only.

Times are microseconds. A capacity is a number of transfers that a link carries at full pace at once.
"""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

from onyxwick.interface import RequestClass


@dataclass(frozen=True, slots=True)
class Tier:
    """Machines of one kind."""

    count: int
    capacity: float
    cold_share: float  # of its capacity that one gives as it starts
    cold_us: int
    fall_multiple: float  # times its capacity over `fall_us` at which a cold one falls over
    wait_us: int = 0  # before it begins to answer


@dataclass(frozen=True, slots=True)
class ScenarioClass:
    """A class of requests: the director's view of it, and what one costs and weighs."""

    kind: RequestClass
    sending_us: int
    bytes: int
    parts: int


@dataclass(frozen=True, slots=True)
class ScenarioFault:
    """A tenant that misbehaves for a while, in a way that has a name."""

    name: str
    begin_us: int
    end_us: int
    factor: float = 1.0  # times its rate
    unique: bool = False  # with keys that never come again
    only: str | None = None  # with one class alone
    never_reads: bool = False


@dataclass(frozen=True, slots=True)
class ScenarioLoad:
    """A tenant as the clients see it."""

    name: str
    rate_per_s: float
    objects: int
    zipf: float
    mix: tuple[tuple[str, float], ...]
    faults: tuple[ScenarioFault, ...] = ()

    def fault(self, name: str | None) -> ScenarioFault | None:
        return next((fault for fault in self.faults if fault.name == name), None)


@dataclass(frozen=True, slots=True)
class Happening:
    """Something that is done at a time: purge GROUP, drain ID, lift ID, kill ID, start ID, service FILE,
    crash N (director N is killed and started again), mute and unmute (the coordinator), api METHOD PATH."""

    at_us: int
    what: str
    name: str


@dataclass(frozen=True, slots=True)
class Scenario:
    name: str
    duration_us: int
    counted_from_us: int  # before it answers count for the rules alone
    directors: int
    boxes: Tier
    parents: Tier
    origin: Tier
    jobs: tuple[ScenarioClass, ...]
    loads: tuple[ScenarioLoad, ...]
    happenings: tuple[Happening, ...]
    service: Path | None  # with cells
    store: bool  # played with a store and without
    told_after_us: int  # the coordinator's delay
    purge_done_us: int  # by when all machines have done a purge
    warm_objects: int  # of each tenant, kept by every box and parent from the start
    bounds: tuple[tuple[str, float], ...]  # figure: least value, for the exit code

    @property
    def faults(self) -> list[str]:
        """All ways to misbehave, by name."""
        return list(dict.fromkeys(fault.name for load in self.loads for fault in load.faults))

    @property
    def classes(self) -> dict[str, ScenarioClass]:
        return {job.kind.name: job for job in self.jobs}
