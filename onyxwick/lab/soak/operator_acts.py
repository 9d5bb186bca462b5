"""The operators' calls in a soak: begin and end drains of directors, disable and enable caches."""

from __future__ import annotations

import asyncio
from enum import Enum

from onyxwick.lab.soak.ground import FaultState, SoakEnvironment
from onyxwick.lab.soak.model import DirectorDrain, Unready
from onyxwick.lab.soak.plan import SoakFault, SoakFaultKind, choose
from onyxwick.lab.soak.process import SoakDirector

S = 1_000_000
DRAIN_GRACE_AND_SLACK_US = 550_000  # grace and slack of a drain, which do not apply to an operator command
CONNECTS_AFTER_DRAIN_S = 0.2
MAX_CALL_TRIES = 20


class DrainCalls(Enum):
    """The ways in which the operators request a drain."""

    ONE = "one"
    AT_ONCE = "at_once"  # two calls at the same time
    IN_A_ROW = "in_a_row"  # a drain, its end and another drain


DRAIN_CALLS = (DrainCalls.ONE, DrainCalls.ONE, DrainCalls.AT_ONCE, DrainCalls.IN_A_ROW)


class OperatorActions:
    """Plays the faults of one soak that consist of operator calls."""

    def __init__(self, soak: SoakEnvironment, state: FaultState) -> None:
        self.soak = soak
        self.state = state

    async def call_until_ok(self, director: SoakDirector, path: str) -> int | None:
        """Repeat a call until it is answered with status 200 and return when that call was made.

        Returns None, with a message in the records, if no try succeeds.
        """
        for _ in range(MAX_CALL_TRIES):
            called = self.soak.clock()
            if await director.call("POST", path) == 200:
                return called
            await asyncio.sleep(0.2)
        self.soak.records.ended.append(f"{director.name} never gave status 200 for {path}")
        return None

    async def _request_drain(self, director: SoakDirector, calls: DrainCalls) -> int | None:
        """Request a drain. Return the time of the call that drained the director; None: no call succeeded."""
        if calls is DrainCalls.IN_A_ROW:
            await self.call_until_ok(director, "/drain")
            await self.call_until_ok(director, "/undrain")
        if calls is DrainCalls.AT_ONCE:
            times = await asyncio.gather(*(self.call_until_ok(director, "/drain") for _ in range(2)))
            return min((time for time in times if time is not None), default=None)
        return await self.call_until_ok(director, "/drain")

    async def drain(self, fault: SoakFault, director: SoakDirector) -> None:
        """Drain a director for the fault's length; its clients go on using the connections that are open."""
        async with director.lifecycle_lock:
            if not director.takes_connections:
                return
            called = await self._request_drain(director, choose(fault, DRAIN_CALLS))
            if called is None:
                return
            if await director.call("GET", "/ready") != 503:
                self.soak.records.ended.append(
                    f"{director.name} answers /ready with a status other than 503 though drained"
                )
            await asyncio.sleep(CONNECTS_AFTER_DRAIN_S)
            director.takes_connections = False
            await asyncio.sleep(fault.for_s)
            row = DirectorDrain(director.number, called, self.soak.clock())
            self.soak.records.drained.append(row)
            await self.call_until_ok(director, "/undrain")
            begun = self.soak.clock()
            while await director.call("GET", "/ready") != 200:
                if self.soak.clock() - begun > 2 * S:
                    self.soak.records.ended.append(f"{director.name} is not ready 2 s after its drain's end")
                    break
                await asyncio.sleep(0.05)
            director.takes_connections = True

    async def hold(self, fault: SoakFault, director: SoakDirector) -> None:
        """Disable a cache at one director for the fault's length."""
        server = self.state.reserve_server(fault, ("box",))
        if server is None:
            return
        try:
            begun = self.soak.clock()
            if await director.call("POST", f"/caches/disable/{server.name}") != 200:
                await self.call_until_ok(director, f"/caches/enable/{server.name}")
                return
            disabled = min(self.soak.clock(), begun + S)
            await asyncio.sleep(fault.for_s)
            until = self.soak.clock()
            until = min([until, *self._kills_without_disk(director, disabled)])
            row = Unready(server.name, director.number, disabled - DRAIN_GRACE_AND_SLACK_US, until)
            self.soak.records.unready.append(row)
            await self.call_until_ok(director, f"/caches/enable/{server.name}")
        finally:
            self.state.reserved.discard(server.name)

    def _kills_without_disk(self, director: SoakDirector, since: int) -> list[int]:
        """Return the times of kills while the folder was not writable: unwritten commands are lost then."""
        downs = [d for d in self.soak.records.down if d.director == director.number and d.from_us >= since]
        disk = [s for s in self._disk_spans(director)]
        return [d.from_us for d in downs if any(begin <= d.from_us <= end + S // 2 for begin, end in disk)]

    def _disk_spans(self, director: SoakDirector) -> list[tuple[int, int]]:
        """Return when the folder was not writable. A fault under way gets an end far in the future."""
        ended = [
            s
            for s in self.state.history.spans
            if s.kind is SoakFaultKind.DISK and s.director == director.number
        ]
        return [(s.from_us, s.until_us) for s in ended] + [
            (at, 1 << 62) for at in self.state.disk_since[director.number]
        ]
