"""Parts of a simulation: machines, attempts, directors, and the constants that they share."""

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
Callback = Callable[[], None]


@dataclass(eq=False)
class Box:
    """One machine: its link, its cached copies, and whether its process runs."""

    name: str
    kind: str
    zone: str
    place: str
    tier: Tier
    link: EmulatedLink
    store: CopyStore = field(default_factory=lambda: CopyStore(COPIES))
    up: bool = True
    waiting: dict[int, Callback] = field(default_factory=dict)
    turn: int = 0

    def member(self, state: MemberState = MemberState.READY) -> Member:
        """Return its row of the endpoint list."""
        return Member(self.name, self.zone, self.kind, 0, state, self.tier.capacity, self.link.started)


@dataclass(eq=False)
class AttemptInFlight:
    """One attempt in flight."""

    director: SimulatedFront
    request: str
    number: int
    member: str
    begun: int
    over: bool = False


@dataclass(eq=False)
class SimulatedFront:
    """One director: its decider, and the state that the simulation keeps outside the decider."""

    name: str
    number: int
    site: str
    up: bool = True
    stopped: bool = False
    muted: bool = False
    decider: Router | SiteRouter | None = None
    born: int = 0
    outs: dict[tuple[str, int], AttemptInFlight] = field(default_factory=dict)
    tries: dict[str, int] = field(default_factory=dict)
    ends: dict[str, Callable[[str, int], None]] = field(
        default_factory=dict
    )  # request: callback of its client
    backlog: list[Event] = field(default_factory=list)  # events that arrived while the director was stopped
