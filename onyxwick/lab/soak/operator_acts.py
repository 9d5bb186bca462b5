"""What the operators call for in a soak: drains and their ends, caches left out and let back in."""

from __future__ import annotations

import asyncio
from enum import Enum

from onyxwick.lab.soak.ground import FaultState, SoakGround
from onyxwick.lab.soak.model import DirectorDrained, Unready
from onyxwick.lab.soak.plan import SoakFault, SoakFaultKind, drawn
from onyxwick.lab.soak.process import SoakDirector

S = 1_000_000
HELD_RULE_US = 550_000  # the drain's grace and slack, which a command of the operators does not have
DRAIN_CONNECTS_S = 0.2
CALL_TRIES = 20


class DrainCalls(Enum):
    """How the operators call for a drain."""

    ONE = "one"
    AT_ONCE = "at_once"  # two callers in the same moment
    IN_A_ROW = "in_a_row"  # a drain, its end and a drain again


DRAIN_CALLS = (DrainCalls.ONE, DrainCalls.ONE, DrainCalls.AT_ONCE, DrainCalls.IN_A_ROW)


class OperatorActs:
    """The operators' side of one soak's faults."""

    def __init__(self, soak: SoakGround, state: FaultState) -> None:
        self.soak = soak
        self.state = state

    async def called(self, director: SoakDirector, path: str) -> int | None:
        """A call, again until it is answered with yes: when that one was made; None: it never was."""
        for _ in range(CALL_TRIES):
            called = self.soak.clock()
            if await director.call("POST", path) == 200:
                return called
            await asyncio.sleep(0.2)
        self.soak.records.ended.append(f"{director.name} never said yes to {path}")
        return None

    async def _called_to_drain(self, director: SoakDirector, calls: DrainCalls) -> int | None:
        """When the call was made that drained it for good; None: there was no yes."""
        if calls is DrainCalls.IN_A_ROW:
            await self.called(director, "/drain")
            await self.called(director, "/undrain")
        if calls is DrainCalls.AT_ONCE:
            times = await asyncio.gather(*(self.called(director, "/drain") for _ in range(2)))
            return min((time for time in times if time is not None), default=None)
        return await self.called(director, "/drain")

    async def drain(self, fault: SoakFault, director: SoakDirector) -> None:
        """Drain a director for a while; its clients go on using the connections that are open."""
        async with director.busy:
            if not director.takes_connections:
                return
            called = await self._called_to_drain(director, drawn(fault, DRAIN_CALLS))
            if called is None:
                return
            if await director.call("GET", "/ready") != 503:
                self.soak.records.ended.append(f"{director.name} is ready though drained")
            await asyncio.sleep(DRAIN_CONNECTS_S)
            director.takes_connections = False
            await asyncio.sleep(fault.for_s)
            row = DirectorDrained(director.number, called, self.soak.clock())
            self.soak.records.drained.append(row)
            await self.called(director, "/undrain")
            begun = self.soak.clock()
            while await director.call("GET", "/ready") != 200:
                if self.soak.clock() - begun > 2 * S:
                    self.soak.records.ended.append(f"{director.name} is not ready 2 s after its drain's end")
                    break
                await asyncio.sleep(0.05)
            director.takes_connections = True

    async def hold(self, fault: SoakFault, director: SoakDirector) -> None:
        """Have a cache left out by one director for a while."""
        server = self.state.reserve_server(fault, ("box",))
        if server is None:
            return
        try:
            begun = self.soak.clock()
            if await director.call("POST", f"/caches/disable/{server.name}") != 200:
                await self.called(director, f"/caches/enable/{server.name}")
                return
            told = min(self.soak.clock(), begun + S)
            await asyncio.sleep(fault.for_s)
            until = self.soak.clock()
            until = min([until, *self._forgotten(director, told)])
            row = Unready(server.name, director.number, told - HELD_RULE_US, until)
            self.soak.records.unready.append(row)
            await self.called(director, f"/caches/enable/{server.name}")
        finally:
            self.state.taken.discard(server.name)

    def _forgotten(self, director: SoakDirector, since: int) -> list[int]:
        """Kills while the folder took no write: what could not be written is not known after them."""
        downs = [d for d in self.soak.records.down if d.director == director.number and d.from_us >= since]
        disk = [s for s in self._disk_spans(director)]
        return [d.from_us for d in downs if any(begin <= d.from_us <= end + S // 2 for begin, end in disk)]

    def _disk_spans(self, director: SoakDirector) -> list[tuple[int, int]]:
        """When its folder took no write; a fault that is under way has no end yet."""
        ended = [
            s
            for s in self.state.played.spans
            if s.kind is SoakFaultKind.DISK and s.director == director.number
        ]
        return [(s.from_us, s.until_us) for s in ended] + [
            (at, 1 << 62) for at in self.state.disk_since[director.number]
        ]
