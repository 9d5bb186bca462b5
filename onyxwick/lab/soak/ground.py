"""The interface of a soak that fault actions use, and the state that they share. Free of I/O."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from typing import Any, Protocol

from onyxwick.lab.machines import World
from onyxwick.lab.soak.clients import SoakClients
from onyxwick.lab.soak.model import SoakRecords
from onyxwick.lab.soak.persistent import Habit, PersistentClient
from onyxwick.lab.soak.plan import SoakFault
from onyxwick.lab.soak.process import SoakDirector
from onyxwick.lab.soak.report import SoakPlan
from onyxwick.lab.soak.servers import SoakServer
from onyxwick.lab.soak.told import FaultHistory

MAX_FAULTY_SERVERS = 4
"""The largest number of servers that have a fault at the same time."""


class SoakEnvironment(Protocol):
    """The directors, servers, clients and records of one soak. Times are microseconds."""

    plan: SoakPlan
    records: SoakRecords
    world: World
    clients: SoakClients
    servers: dict[str, SoakServer]
    directors: list[SoakDirector]

    def clock(self) -> int:
        """Return the present time in Unix microseconds, from a clock that never jumps."""
        ...

    def director_configuration(self, director: SoakDirector) -> dict[str, Any]:
        """Return a director's configuration as the platform writes it."""
        ...

    async def start(self, director: SoakDirector, at_once: bool = False) -> None:
        """Start a director, or restart it under the same name, beside other starts if `at_once`."""
        ...

    def persistent(self, director: SoakDirector, habit: Habit) -> PersistentClient:
        """Return a client that keeps its connection open."""
        ...


@dataclass(slots=True)
class FaultState:
    """The faults that have been played or are under way."""

    servers: dict[str, SoakServer]
    history: FaultHistory = field(default_factory=FaultHistory)
    disk_since: dict[int, list[int]] = field(default_factory=lambda: defaultdict(list))
    """By director: the start of each disk fault that is under way, in microseconds."""
    reserved: set[str] = field(default_factory=set)
    """The names of the servers that have a fault now."""

    def reserve_server(self, fault: SoakFault, kinds: tuple[str, ...]) -> SoakServer | None:
        """Reserve a server without a fault, chosen by the fault's draw; the caller removes it from `reserved`
        at the end.

        Returns None if no server of these kinds is free or enough servers have a fault already.
        """
        candidates = [s for s in self.servers.values() if s.kind in kinds and s.name not in self.reserved]
        if len(self.reserved) >= MAX_FAULTY_SERVERS or not candidates:
            return None
        server = candidates[fault.draw % len(candidates)]
        self.reserved.add(server.name)
        return server
