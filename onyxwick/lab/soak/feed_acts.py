"""Faults of the coordinator, of the link to it, and of many starts at once, beside drains of caches."""

from __future__ import annotations

import asyncio
import random
from collections import deque
from collections.abc import Awaitable, Callable

from onyxwick.lab.faults.relay import LinkDirection
from onyxwick.lab.feed import row_of
from onyxwick.lab.soak.clients import OBJECTS
from onyxwick.lab.soak.coordinator import FAULTY_BEHAVIORS, CoordinatorBehavior, CoordinatorFailure
from onyxwick.lab.soak.ground import FaultState, SoakEnvironment
from onyxwick.lab.soak.plan import SoakFault, SoakFaultKind, choose
from onyxwick.lab.soak.process import SoakDirector
from onyxwick.lab.soak.servers import SoakServer
from onyxwick.lab.soak.told import CoordinatorOutage, Span

PURGED_SHARE = 0.5  # of all groups: "22 to 62% of the groups of objects are purged at once"
COPIES_LEFT_S = 5.9  # caches drop purged copies by themselves within 6 s
COPIES_DROPPED_AFTER_S = (0.5, 5.0)
OBJECT_NAMES = tuple(f"{number:016x}" for number in range(OBJECTS))
KILLED_SHARE = 0.7
MAX_DRAIN_DELAY_S = 1.0  # caches drain at the instant of a fault or up to this long after it
DRAIN_S = 3.0


class FeedActions:
    """Plays the faults of the feed. `kill_and_restart` kills one director and starts it again."""

    def __init__(
        self,
        soak: SoakEnvironment,
        state: FaultState,
        kill_and_restart: Callable[[SoakDirector, bool], Awaitable[None]],
    ) -> None:
        self.soak = soak
        self.state = state
        self.kill_and_restart = kill_and_restart

    def publish_state(self, server: SoakServer, state: str) -> int:
        """Publish a server's state to the feeds of all directors and return the time, in microseconds."""
        published = self.soak.clock()
        for director in self.soak.directors:
            director.feed.list([row_of(server, state)])
        return published

    async def drain(self, fault: SoakFault, length_s: float) -> None:
        """Drain a cache or parent for a time, unless enough have a fault."""
        if (server := self.state.reserve_server(fault, ("box", "parent"))) is None:
            return
        published = self.publish_state(server, "DRAINING")
        await asyncio.sleep(length_s)
        self.state.history.drained.append((server.name, published, self.soak.clock()))
        self.publish_state(server, "SERVING")
        self.state.reserved.discard(server.name)

    async def faulty(self, fault: SoakFault, director: SoakDirector) -> None:
        """Have the coordinator misbehave on new connections, and drain a cache as it does."""
        director.coordinator.behave(choose(fault, FAULTY_BEHAVIORS))
        await asyncio.sleep(random.Random(fault.draw).choice((0.0, 0.1, 0.4, 0.8)))
        await self.drain(fault, fault.for_s)
        director.coordinator.behave(CoordinatorBehavior.PROMPT)

    async def absent(self, fault: SoakFault, director: SoakDirector) -> None:
        """Have the coordinator refuse connections, and return in the instant in which a cache drains."""
        async with director.coordinator.lock:
            director.feed.begun()  # a start meanwhile is told what the coordinator had
            await director.coordinator.mute()
            await asyncio.sleep(fault.for_s)
            await director.coordinator.listen()
        asyncio.get_running_loop().create_task(self.drain(fault, DRAIN_S))

    async def fail_with_purges(self, fault: SoakFault, director: SoakDirector) -> None:
        """Have the coordinator end, or stop with its connections open, with purges that it has not told."""
        end = choose(fault, tuple(CoordinatorFailure))
        async with director.coordinator.lock:
            director.feed.begun()
            begun = self.soak.clock()
            await director.coordinator.fail_with_events(end, lambda: self._purge_share_of_groups(fault))
            outage = CoordinatorOutage(
                director.number, begun, self.soak.clock(), end is CoordinatorFailure.SILENT
            )
            self.state.history.outages.append(outage)
            restarting = asyncio.get_running_loop().create_task(self._restart_at(end, director))
            await asyncio.sleep(fault.for_s)
            await director.coordinator.restart()
        await restarting

    async def _restart_at(self, end: CoordinatorFailure, director: SoakDirector) -> None:
        if end is CoordinatorFailure.AT_START:
            await self._restart(director)

    def _purge_share_of_groups(self, fault: SoakFault) -> None:
        """Purge a share of all groups. The caches keep the copies for as long as they may."""
        groups = sorted({self.soak.world.group(name) for name in OBJECT_NAMES})
        purged = random.Random(fault.draw).sample(groups, int(len(groups) * PURGED_SHARE))
        self._purge(purged, lambda: COPIES_LEFT_S)

    def purge_one_group(self, fault: SoakFault) -> None:
        """Purge one group. Each cache drops the copies at a time of its own."""
        rng = random.Random(fault.draw)
        group = self.soak.world.group(choose(fault, OBJECT_NAMES))
        self._purge([group], lambda: rng.uniform(*COPIES_DROPPED_AFTER_S))

    def _purge(self, groups: list[int], dropped_after_s: Callable[[], float]) -> None:
        """Purge groups at all directors; `dropped_after_s` returns when the next cache drops the copies."""
        world, now = self.soak.world, self.soak.clock()
        for group in groups:
            world.truth.purge(group, now)
            self.state.history.purges.append((group, now))
            for each in self.soak.directors:
                each.feed.purge(group, now)
        names = {name for name in OBJECT_NAMES if world.group(name) in groups}
        for server in self.soak.servers.values():
            asyncio.get_running_loop().call_later(dropped_after_s(), server.store.purge, names, now)

    async def fleet_kill(self, fault: SoakFault, director: SoakDirector) -> None:
        """Kill most of the fleet and start it at once, beside coordinators that misbehave and drains."""
        rng = random.Random(fault.draw)
        count = max(1, int(KILLED_SHARE * len(self.soak.directors)))
        victims = rng.sample(self.soak.directors, count)
        for victim in victims:
            victim.coordinator.behavior = rng.choice(tuple(CoordinatorBehavior))
            victim.coordinator.connections = 0
        drains = [self._drain_later(fault, rng.choice((0.2, 0.4, 0.7, MAX_DRAIN_DELAY_S))) for _ in range(2)]
        await asyncio.gather(*(self._restart(victim) for victim in victims), *drains)
        for victim in victims:
            victim.coordinator.behave(CoordinatorBehavior.PROMPT)

    async def _drain_later(self, fault: SoakFault, delay_s: float) -> None:
        await asyncio.sleep(delay_s)
        await self.drain(fault, DRAIN_S)

    async def _restart(self, victim: SoakDirector) -> None:
        async with victim.lifecycle_lock:
            if victim.process is None or not victim.process.is_running:
                return
            begun = self.soak.clock()
            await self.kill_and_restart(victim, True)
            self.state.history.spans.append(Span(SoakFaultKind.KILL, victim.number, begun, self.soak.clock()))

    async def impair(self, fault: SoakFault, director: SoakDirector, cut: bool) -> None:
        """Cut the link to the coordinator, or make it slow."""
        links = [relay.way for relay in director.relays]
        for link in links:
            if cut:
                link.cut_there = link.cut_back = True
            else:
                link.bytes_per_s = float(choose(fault, (300, 2000, 20_000)))
            link.changed()
        try:
            await asyncio.sleep(fault.for_s)
        finally:
            for link in links:
                if cut:
                    link.cut_there = link.cut_back = False
                else:
                    link.bytes_per_s = 0.0
                    _release_held_data(link)
                link.changed()


def _release_held_data(link: LinkDirection) -> None:
    """Release the data that a slow link holds back; otherwise it would stay slow long after the fault."""
    for relay in link.relays:
        for pair in relay.pairs:
            for end in (pair.near, pair.far):
                end.free_at = 0.0
                end.held = deque((0.0, data) for _, data in end.held)
