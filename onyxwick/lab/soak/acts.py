"""What each kind of fault does and how it ends."""

from __future__ import annotations

import asyncio
import random
import signal
from collections import deque

from onyxwick.lab.faults.relay import LinkDirection
from onyxwick.lab.feed import row_of
from onyxwick.lab.soak.clients import OBJECTS
from onyxwick.lab.soak.ground import FaultState, SoakGround
from onyxwick.lab.soak.model import Down
from onyxwick.lab.soak.operator_acts import OperatorActs
from onyxwick.lab.soak.persistent import Habit
from onyxwick.lab.soak.plan import STEPS_S, SoakFault, SoakFaultKind, drawn
from onyxwick.lab.soak.process import SoakDirector
from onyxwick.lab.soak.servers import ConnectionLoss, SoakServer
from onyxwick.lab.soak.shim import (
    ACCEPT_ERRORS,
    BROKEN_ERRORS,
    CONNECT_ERRORS,
    DISK_ERRORS,
    KILL_IN_WRITE,
    SOCKET_ERRORS,
    Field,
)
from onyxwick.lab.soak.told import Span

S = 1_000_000
TERM_CONNECTS_S = 0.3  # after SIGTERM new connections come for so long
TERM, RELOAD = signal.SIGTERM, signal.SIGHUP
TERM_SIGNALS = ((TERM,), (TERM,), (RELOAD, TERM, RELOAD), (TERM, TERM))
ACCEPT_AGAIN_US = 60_000  # until it is tried again after an error
DOWN_S = 0.2
PURGE_DONE_S = 5.0
CROWD = 250  # clients of one crowd


class SoakActions:
    """The faults of one soak."""

    def __init__(self, soak: SoakGround) -> None:
        self.soak = soak
        self.state = FaultState(soak.servers)
        self.operators = OperatorActs(soak, self.state)
        self.doing = {
            SoakFaultKind.CLOCK: self._clock,
            SoakFaultKind.ACCEPT: self._accept,
            SoakFaultKind.SOCKET: self._socket,
            SoakFaultKind.CONNECT: self._connect,
            SoakFaultKind.TRANSFER: self._transfer,
            SoakFaultKind.BROKEN: self._broken,
            SoakFaultKind.DISK: self._disk,
            SoakFaultKind.STOP: self._stop,
            SoakFaultKind.TERM: self._end,
            SoakFaultKind.HANDOVER: self._end,
            SoakFaultKind.KILL: self._kill,
            SoakFaultKind.TORN_WRITE: self._torn_write,
            SoakFaultKind.RELOAD: self._reload,
            SoakFaultKind.DRAIN: self.operators.drain,
            SoakFaultKind.HOLD: self.operators.hold,
            SoakFaultKind.FEED_LOST: self._feed_lost,
            SoakFaultKind.FEED_SLOW: self._feed_slow,
            SoakFaultKind.CLIENTS_LEAVE: self._clients_leave,
            SoakFaultKind.CROWD: self._crowd,
            SoakFaultKind.CACHE_DRAIN: self._cache_drain,
            SoakFaultKind.CACHE_RESTART: self._cache_restart,
            SoakFaultKind.CACHE_HANG: self._cache_hang,
            SoakFaultKind.CACHE_FORGET: self._cache_forget,
            SoakFaultKind.PURGE: self._purge,
        }

    async def play(self, fault: SoakFault) -> None:
        """Bring it about, wait, undo it."""
        begun = self.soak.clock()
        director = self.soak.directors[fault.director]
        try:
            await self.doing[fault.kind](fault, director)
        finally:
            self.state.played.spans.append(Span(fault.kind, fault.director, begun, self.soak.clock()))

    # ---- system calls ------------------------------------------------------------------------------------

    async def _clock(self, fault: SoakFault, director: SoakDirector) -> None:
        step = STEPS_S[fault.draw % len(STEPS_S)]
        await self._calls(fault, director, {Field.CLOCK_OFFSET_NS: step * 1_000_000_000})

    async def _accept(self, fault: SoakFault, director: SoakDirector) -> None:
        begun = self.soak.clock()
        await self._calls(fault, director, {Field.ACCEPT_ERRNO: drawn(fault, ACCEPT_ERRORS)})
        ended = self.soak.clock() + ACCEPT_AGAIN_US
        self.soak.records.unaccepted.append(Down(director.number, begun, ended))

    async def _socket(self, fault: SoakFault, director: SoakDirector) -> None:
        await self._calls(fault, director, {Field.SOCKET_ERRNO: drawn(fault, SOCKET_ERRORS)})

    async def _connect(self, fault: SoakFault, director: SoakDirector) -> None:
        await self._calls(fault, director, {Field.CONNECT_ERRNO: drawn(fault, CONNECT_ERRORS)})

    async def _transfer(self, fault: SoakFault, director: SoakDirector) -> None:
        fields = {Field.TRANSFER_BYTES: drawn(fault, (1, 7, 64, 1000))}
        fields[Field.INTERRUPTED] = (0, 5, 30)[fault.draw // 8 % 3]
        director.crawls = fields[Field.TRANSFER_BYTES] == 1
        try:
            await self._calls(fault, director, fields)
        finally:
            director.crawls = False

    async def _broken(self, fault: SoakFault, director: SoakDirector) -> None:
        await self._calls(fault, director, {Field.BROKEN_ERRNO: drawn(fault, BROKEN_ERRORS)})

    async def _disk(self, fault: SoakFault, director: SoakDirector) -> None:
        begun = self.soak.clock()
        self.state.disk_since[director.number].append(begun)
        await self._calls(fault, director, {Field.DISK_ERRNO: drawn(fault, DISK_ERRORS)})
        self.state.disk_since[director.number].remove(begun)

    async def _calls(self, fault: SoakFault, director: SoakDirector, fields: dict[Field, int]) -> None:
        for name, value in fields.items():
            director.control.set(name, value)
        try:
            await asyncio.sleep(fault.for_s)
        finally:
            for name in fields:
                director.control.set(name, 0)

    # ---- processes ---------------------------------------------------------------------------------------

    async def _stop(self, fault: SoakFault, director: SoakDirector) -> None:
        process = director.process
        if process is None:
            return
        begun = self.soak.clock()
        process.signal(signal.SIGSTOP)
        try:
            await asyncio.sleep(fault.for_s)
        finally:
            process.signal(signal.SIGCONT)
            self.soak.records.stopped.append(Down(director.number, begun, self.soak.clock() + 20_000))

    async def _end(self, fault: SoakFault, director: SoakDirector) -> None:
        """A planned restart, or where the lab holds the listening socket an upgrade.

        Clients use their open connections until the process has left, at its SIGKILL at the latest.
        """
        signals, kill_after_s = drawn(fault, TERM_SIGNALS), self.soak.plan.kill_after_s
        async with director.busy:
            old = director.process
            if old is None or not director.takes_connections:
                return
            if director.held is not None:
                await self.soak.start(director)
                await director.terminate(old, signals, kill_after_s)
                return
            ending = asyncio.get_running_loop().create_task(director.terminate(old, signals, kill_after_s))
            await asyncio.sleep(TERM_CONNECTS_S)
            director.takes_connections = False
            await ending
            await self.soak.start(director)

    async def _kill(self, fault: SoakFault, director: SoakDirector) -> None:
        async with director.busy:
            await self._killed(director)

    async def _killed(self, director: SoakDirector) -> None:
        process = director.process
        if process is None:
            return
        begun = self.soak.clock()
        director.takes_connections = False
        process.signal(signal.SIGKILL)
        await process.wait(5.0)
        await asyncio.sleep(DOWN_S)
        director.control.set(Field.DISK_ERRNO, 0)
        await self.soak.start(director)
        self.soak.records.down.append(Down(director.number, begun, self.soak.clock()))

    async def _torn_write(self, fault: SoakFault, director: SoakDirector) -> None:
        """Killed in the middle of writing the operators' file: the call gets no yes, so nothing is owed."""
        async with director.busy:
            server = self.state.reserve_server(fault, ("box",))
            if server is None:
                return
            begun = self.soak.clock()
            director.control.set(Field.DISK_ERRNO, KILL_IN_WRITE)
            await director.call("POST", f"/caches/disable/{server.name}", 0.5)
            await self._killed(director)
            self.soak.records.down.append(Down(director.number, begun, self.soak.clock()))
            await self.operators.called(director, f"/caches/enable/{server.name}")
            self.state.taken.discard(server.name)

    async def _reload(self, fault: SoakFault, director: SoakDirector) -> None:
        async with director.busy:
            director.feed_at ^= 1
            director.write(self.soak.told(director))
            if director.process is not None:
                director.process.signal(signal.SIGHUP)

    # ---- the feed ----------------------------------------------------------------------------------------

    async def _feed_lost(self, fault: SoakFault, director: SoakDirector) -> None:
        await self._way(fault, director, cut=True)

    async def _feed_slow(self, fault: SoakFault, director: SoakDirector) -> None:
        await self._way(fault, director, cut=False)

    async def _way(self, fault: SoakFault, director: SoakDirector, cut: bool) -> None:
        ways = [relay.way for relay in director.relays]
        for way in ways:
            if cut:
                way.cut_there = way.cut_back = True
            else:
                way.bytes_per_s = float(drawn(fault, (300, 2000, 20_000)))
            way.changed()
        try:
            await asyncio.sleep(fault.for_s)
        finally:
            for way in ways:
                if cut:
                    way.cut_there = way.cut_back = False
                else:
                    way.bytes_per_s = 0.0
                    _pass_on(way)
                way.changed()

    async def _clients_leave(self, fault: SoakFault, director: SoakDirector) -> None:
        self.soak.clients.leaving.add(director.number)
        await asyncio.sleep(fault.for_s)
        self.soak.clients.leaving.discard(director.number)

    async def _crowd(self, fault: SoakFault, director: SoakDirector) -> None:
        """Many connect and say nothing, again as soon as they are ended, for as long as connections come."""
        members = [self.soak.persistent(director, Habit.SILENT) for _ in range(CROWD)]
        tasks = [asyncio.get_running_loop().create_task(member.run()) for member in members]
        try:
            await asyncio.sleep(fault.for_s)
        finally:
            for task in tasks:
                task.cancel()
            for error in await asyncio.gather(*tasks, return_exceptions=True):
                if isinstance(error, Exception):
                    self.soak.records.lab_errors.append(repr(error))

    # ---- caches ------------------------------------------------------------------------------------------

    def _list(self, server: SoakServer, state: str) -> int:
        """Tell all lists; when."""
        for director in self.soak.directors:
            director.feed.list([row_of(server, state)])
        return self.soak.clock()

    async def _cache_drain(self, fault: SoakFault, director: SoakDirector) -> None:
        if (server := self.state.reserve_server(fault, ("box", "parent"))) is None:
            return
        told = self._list(server, "DRAINING")
        await asyncio.sleep(fault.for_s)
        self.state.played.drained.append((server.name, told, self.soak.clock()))
        self._list(server, "SERVING")
        self.state.taken.discard(server.name)

    async def _cache_restart(self, fault: SoakFault, director: SoakDirector) -> None:
        if (server := self.state.reserve_server(fault, ("box", "parent"))) is None:
            return
        await server.die()
        await asyncio.sleep(fault.for_s)
        server.cold_start()
        await server.listen()
        began = self.soak.clock()
        self.state.played.starts.append((server.name, began, self._list(server, "SERVING")))
        self.state.taken.discard(server.name)

    async def _cache_hang(self, fault: SoakFault, director: SoakDirector) -> None:
        if (server := self.state.reserve_server(fault, ("box", "parent"))) is None:
            return
        server.hang(True)
        await asyncio.sleep(fault.for_s)
        server.hang(False)
        self.state.taken.discard(server.name)

    async def _cache_forget(self, fault: SoakFault, director: SoakDirector) -> None:
        if (server := self.state.reserve_server(fault, ("box", "parent"))) is None:
            return
        server.end_connections(drawn(fault, tuple(ConnectionLoss)))
        await asyncio.sleep(fault.for_s)
        self.state.taken.discard(server.name)

    async def _purge(self, fault: SoakFault, director: SoakDirector) -> None:
        world, now = self.soak.world, self.soak.clock()
        names = [f"{n:016x}" for n in range(OBJECTS)]
        group = world.group(names[fault.draw % OBJECTS])
        world.truth.purge(group, now)
        self.state.played.purges.append((group, now))
        for each in self.soak.directors:
            each.feed.purge(group, now)
        purged = {name for name in names if world.group(name) == group}
        rng, loop = random.Random(fault.draw), asyncio.get_running_loop()
        for server in self.soak.servers.values():
            loop.call_later(rng.uniform(0.5, PURGE_DONE_S), server.store.purge, purged, now)


def _pass_on(way: LinkDirection) -> None:
    """What a slow way holds back goes on now: else it would stay slow long after it is sound again."""
    for relay in way.relays:
        for pair in relay.pairs:
            for end in (pair.near, pair.far):
                end.free_at = 0.0
                end.held = deque((0.0, data) for _, data in end.held)
