"""The fleet's places and the links between them: which places are cut off, and the capacity that fills share.

Traffic of directors, clients and coordinators passes relays. Traffic between caches, relay stores and the
archive stays in the lab's process and passes `Paths.travel`, under the same faults.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from onyxwick.lab.faults.model import FleetScenario
from onyxwick.lab.faults.relay import LinkDirection
from onyxwick.lab.link import EmulatedLink as Shared
from onyxwick.lab.model import Tier

LOST_FILL_S = 2.0  # a cache abandons a fill after receiving nothing for this time


class UnreachedEventError(Exception):
    """Nothing arrived over a link in time."""


class Path:
    """The link between two places. All fills over it share its capacity, in concurrent transfers; 0 means
    unlimited."""

    def __init__(self, capacity: float, delay_us: int, clock: Callable[[], int]) -> None:
        self.delay_us, self.clock = delay_us, clock
        tier = Tier(1, capacity or 1e9, 1.0, 0, 1e9)
        self.capacity, self.shared = capacity, Shared(tier, clock())
        self.waiting: dict[int, asyncio.Future[None]] = {}
        self.timer: asyncio.TimerHandle | None = None

    def _turn(self) -> None:
        now = self.clock()
        for number in self.shared.advance(now):
            future = self.waiting.pop(number, None)
            if future is not None and not future.done():
                future.set_result(None)
        if self.timer is not None:
            self.timer.cancel()
        end = self.shared.next_end(now)
        loop = asyncio.get_running_loop()
        self.timer = loop.call_later((end - now) / 1e6, self._turn) if end is not None else None

    async def transfer(self, work_us: float) -> None:
        """Wait for the delay of the link and for a transfer of `work_us` at the shared capacity."""
        await asyncio.sleep(self.delay_us / 1e6)
        if not self.capacity:
            return
        self.shared.advance(self.clock())
        number = self.shared.begin(self.clock(), work_us)
        future = self.waiting[number] = asyncio.get_running_loop().create_future()
        self._turn()
        try:
            await future
        finally:
            if self.waiting.pop(number, None) is not None:
                self.shared.cancel(number)
                self._turn()


class Paths:
    """Link directions and links by their ends. The place of a party is a site, a hub or the archive;
    `outside` is the place of the coordinators."""

    def __init__(self, fleet: FleetScenario, clock: Callable[[], int]) -> None:
        self.fleet, self.clock = fleet, clock
        self.ways: dict[tuple[str, str], LinkDirection] = {}
        self.paths: dict[frozenset[str], Path] = {}
        self.gone: set[str] = set()  # places that send nothing to any place

    def way(self, one: str, other: str) -> LinkDirection:
        """Return the link direction from one place to another, as used by a caller at `one`. Creates it if
        missing."""
        found = self.ways.get((one, other))
        if found is None:
            link = self.fleet.links.get(frozenset((one, other)))
            found = self.ways[(one, other)] = LinkDirection(
                one, other, delay_s=link.delay_us / 1e6 if link else 0.0
            )
        return found

    def path(self, one: str, other: str) -> Path:
        """Return the shared link between two places. Creates it if missing."""
        ends = frozenset((one, other))
        if ends not in self.paths:
            link = self.fleet.links.get(ends)
            capacity_and_delay = (link.capacity, link.delay_us) if link is not None else (0.0, 0)
            self.paths[ends] = Path(*capacity_and_delay, self.clock)
        return self.paths[ends]

    def cut(self, one: str, other: str, there: bool = True, back: bool = True, on: bool = True) -> None:
        """Cut the traffic from `one` to `other` (`there`), back (`back`) or both; restore it if `on` is
        False."""
        for a, b, forth, to in ((one, other, there, back), (other, one, back, there)):
            way = self.way(a, b)
            if forth:
                way.cut_there = on
            if to:
                way.cut_back = on
            way.changed()

    def lose(self, place: str, on: bool) -> None:
        """Silence a place towards every place, itself included, or bring it back if `on` is False."""
        (self.gone.add if on else self.gone.discard)(place)
        for (one, other), way in self.ways.items():
            if place in (one, other):
                lost = bool({one, other} & self.gone)
                way.cut_there = way.cut_back = lost
                way.changed()

    def reaches(self, one: str, other: str) -> bool:
        """Return whether messages and their answers pass between machines of two places."""
        if {one, other} & self.gone:
            return False
        return one == other or not self.way(one, other).dark

    async def travel(self, one: str, other: str, work_us: float) -> None:
        """Carry the bytes of a fill from `other` to `one`. Raises UnreachedEventError if the places are cut
        off."""
        if not self.reaches(one, other):
            await asyncio.sleep(LOST_FILL_S)
            raise UnreachedEventError(f"{other} cannot be reached from {one}")
        if one != other:
            await self.path(one, other).transfer(work_us)
            if not self.reaches(one, other):
                raise UnreachedEventError(f"{other} cannot be reached from {one}")
