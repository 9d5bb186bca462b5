"""What fault actions need of the soak that they run in, and the state that they share. Free of I/O."""

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
from onyxwick.lab.soak.told import Played

MAX_FAULTY_SERVERS = 4
"""Servers with a fault at once."""


class SoakGround(Protocol):
    """The directors, servers, clients and records of one soak. Times are microseconds."""

    plan: SoakPlan
    records: SoakRecords
    world: World
    clients: SoakClients
    servers: dict[str, SoakServer]
    directors: list[SoakDirector]

    def clock(self) -> int:
        """The time now, in Unix microseconds that never jump."""
        ...

    def told(self, director: SoakDirector) -> dict[str, Any]:
        """A director's configuration as the platform writes it."""
        ...

    async def start(self, director: SoakDirector) -> None:
        """Start a director, or start it again under its name."""
        ...

    def persistent(self, director: SoakDirector, habit: Habit) -> PersistentClient:
        """A client that keeps its connection open."""
        ...


@dataclass(slots=True)
class FaultState:
    """The faults that were played or are under way."""

    servers: dict[str, SoakServer]
    played: Played = field(default_factory=Played)
    disk_since: dict[int, list[int]] = field(default_factory=lambda: defaultdict(list))
    """By director: since when each disk fault under way lasts, in microseconds."""
    taken: set[str] = field(default_factory=set)
    """Servers that have a fault now."""

    def reserve_server(self, fault: SoakFault, kinds: tuple[str, ...]) -> SoakServer | None:
        """A server without a fault, drawn, or None; the caller removes it from `taken` at the end."""
        candidates = [s for s in self.servers.values() if s.kind in kinds and s.name not in self.taken]
        if len(self.taken) >= MAX_FAULTY_SERVERS or not candidates:
            return None
        server = candidates[fault.draw % len(candidates)]
        self.taken.add(server.name)
        return server
