"""What a simulation is made of: machines, attempts, directors, and the times and bounds they share."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from onyxwick.interface import Event, Member, MemberState
from onyxwick.lab.copies import CopyStore
from onyxwick.lab.link import EmulatedLink
from onyxwick.lab.model import Tier
from onyxwick.routing import Router
from onyxwick.sites import SiteRouter

S = 1_000_000
GROUPS, COPIES = 64, 20_000
Then = Callable[[], None]


@dataclass(eq=False)
class Box:
    """One machine: its link, its copies, whether its process runs."""

    name: str
    kind: str
    zone: str
    place: str
    tier: Tier
    link: EmulatedLink
    store: CopyStore = field(default_factory=lambda: CopyStore(COPIES))
    up: bool = True
    waiting: dict[int, Then] = field(default_factory=dict)
    turn: int = 0

    def member(self, state: MemberState = MemberState.READY) -> Member:
        """Its row of the list."""
        return Member(self.name, self.zone, self.kind, 0, state, self.tier.capacity, self.link.started)


@dataclass(eq=False)
class Out:
    """One attempt under way."""

    director: SimulatedFront
    request: str
    number: int
    member: str
    begun: int
    over: bool = False


@dataclass(eq=False)
class SimulatedFront:
    """One director: its decider, and what of it is not the decider's."""

    name: str
    number: int
    site: str
    up: bool = True
    stopped: bool = False
    muted: bool = False
    decider: Router | SiteRouter | None = None
    born: int = 0
    outs: dict[tuple[str, int], Out] = field(default_factory=dict)
    tries: dict[str, int] = field(default_factory=dict)
    ends: dict[str, Callable[[str, int], None]] = field(default_factory=dict)  # a request's client
    backlog: list[Event] = field(default_factory=list)  # what came while it was stopped
