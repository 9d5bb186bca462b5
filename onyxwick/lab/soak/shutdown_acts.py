"""Two endings of one director in a row, as the origin stops under the bookings that are open."""

from __future__ import annotations

import asyncio
import signal
from enum import Enum

from onyxwick.lab.soak.ground import FaultState, SoakEnvironment
from onyxwick.lab.soak.model import BOOKING, DirectorOutage
from onyxwick.lab.soak.operator_acts import OperatorActions
from onyxwick.lab.soak.plan import SoakFault, choose
from onyxwick.lab.soak.process import Process, SoakDirector

ORIGIN = "origin"
ORIGIN_STOP_S = 4.0  # the origin "stops for some seconds"
STOPPED_BEFORE_S = 0.3  # the origin stops this long before the first ending
BOOKED_AFTER_S = 0.9  # clients go on booking on open connections this long after the first ending
PAUSE_S = 0.5  # of a director that is stopped between two endings
UNDRAIN_AFTER_S = 0.2


class ShutdownSequence(Enum):
    """The orders of two endings. In each, the last SIGTERM comes `for_s` of the fault after the first."""

    DRAIN_TERM = "drain_term"
    DRAIN_TERM_UNDRAIN = "drain_term_undrain"
    DRAIN_DRAIN_TERM = "drain_drain_term"
    DRAIN_UNDRAIN_DRAIN_TERM = "drain_undrain_drain_term"
    DRAIN_UNDRAIN_TERM = "drain_undrain_term"
    DRAIN_RELOAD_TERM = "drain_reload_term"
    DRAIN_STOP_TERM = "drain_stop_term"
    DRAIN_TERM_TERM = "drain_term_term"
    TERM_DRAIN = "term_drain"


class ShutdownActions:
    """Plays two endings of one director, and starts it again."""

    def __init__(self, soak: SoakEnvironment, state: FaultState, operators: OperatorActions) -> None:
        self.soak = soak
        self.state = state
        self.operators = operators

    async def play(self, fault: SoakFault, director: SoakDirector) -> None:
        """Stop the origin, play both endings under bookings, and start the director again."""
        async with director.lifecycle_lock:
            process = director.process
            if process is None or not director.takes_connections:
                return
            loop = asyncio.get_running_loop()
            origin_stop = loop.create_task(self._stop_origin())
            timeout_us = self.soak.plan.deadlines_us[BOOKING]
            send = self.soak.clients.send_bookings
            bookings = loop.create_task(
                send(director.number, director.listen, timeout_us, STOPPED_BEFORE_S + BOOKED_AFTER_S)
            )
            await asyncio.sleep(STOPPED_BEFORE_S)
            order = choose(fault, tuple(ShutdownSequence))
            await self._end(order, fault.for_s, director, process)
            await self._start_again(director)
            await bookings
            await origin_stop

    async def _stop_origin(self) -> None:
        if ORIGIN in self.state.reserved:
            return
        self.state.reserved.add(ORIGIN)
        origin = self.soak.servers[ORIGIN]
        origin.hang(True)
        try:
            await asyncio.sleep(ORIGIN_STOP_S)
        finally:
            origin.hang(False)
            self.state.reserved.discard(ORIGIN)

    async def _end(
        self, order: ShutdownSequence, between_s: float, director: SoakDirector, process: Process
    ) -> None:
        if order is ShutdownSequence.TERM_DRAIN:
            ending = self._terminate(director, process, (signal.SIGTERM,))
            director.takes_connections = False
            await asyncio.sleep(min(between_s, 1.0))
            await director.call("POST", "/drain")
            await ending
            return
        await self.operators.call_until_ok(director, "/drain")
        loop = asyncio.get_running_loop()
        second_at = loop.time() + between_s
        director.takes_connections = False
        await asyncio.sleep(between_s / 2)
        await self._act_between(order, director, process)
        await asyncio.sleep(max(0.0, second_at - loop.time()))
        is_twice = order is ShutdownSequence.DRAIN_TERM_TERM
        ending = self._terminate(director, process, (signal.SIGTERM,) * (1 + is_twice))
        if order is ShutdownSequence.DRAIN_TERM_UNDRAIN:
            await asyncio.sleep(UNDRAIN_AFTER_S)
            await director.call("POST", "/undrain")
        await ending

    async def _act_between(self, order: ShutdownSequence, director: SoakDirector, process: Process) -> None:
        match order:
            case ShutdownSequence.DRAIN_DRAIN_TERM:
                await director.call("POST", "/drain")
            case ShutdownSequence.DRAIN_UNDRAIN_TERM:
                await self.operators.call_until_ok(director, "/undrain")
            case ShutdownSequence.DRAIN_UNDRAIN_DRAIN_TERM:
                await self.operators.call_until_ok(director, "/undrain")
                await self.operators.call_until_ok(director, "/drain")
            case ShutdownSequence.DRAIN_RELOAD_TERM:
                process.signal(signal.SIGHUP)
            case ShutdownSequence.DRAIN_STOP_TERM:
                await self._pause(director, process)
            case _:
                pass

    async def _pause(self, director: SoakDirector, process: Process) -> None:
        begun = self.soak.clock()
        process.signal(signal.SIGSTOP)
        await asyncio.sleep(PAUSE_S)
        process.signal(signal.SIGCONT)
        self.soak.records.stopped.append(DirectorOutage(director.number, begun, self.soak.clock() + 20_000))

    def _terminate(
        self, director: SoakDirector, process: Process, signals: tuple[signal.Signals, ...]
    ) -> asyncio.Task[bool]:
        kill_after_s = self.soak.plan.kill_after_s
        return asyncio.get_running_loop().create_task(director.terminate(process, signals, kill_after_s))

    async def _start_again(self, director: SoakDirector) -> None:
        """Start the director. A drain outlives its process, so the new one is undrained."""
        starting = asyncio.get_running_loop().create_task(self.soak.start(director))
        await self.operators.call_until_ok(director, "/undrain")
        await starting
