"""Injects each kind of fault and undoes it."""

from __future__ import annotations

import asyncio
import signal

from onyxwick.lab.soak.feed_acts import FeedActions
from onyxwick.lab.soak.ground import FaultState, SoakEnvironment
from onyxwick.lab.soak.hoard_acts import HoardActions
from onyxwick.lab.soak.model import DirectorOutage
from onyxwick.lab.soak.operator_acts import OperatorActions
from onyxwick.lab.soak.persistent import Habit
from onyxwick.lab.soak.plan import STEPS_S, SoakFault, SoakFaultKind, choose
from onyxwick.lab.soak.process import SoakDirector
from onyxwick.lab.soak.servers import ConnectionLoss
from onyxwick.lab.soak.shim import (
    ACCEPT_ERRORS,
    BROKEN_ERRORS,
    CONNECT_ERRORS,
    DISK_ERRORS,
    KILL_IN_WRITE,
    SOCKET_ERRORS,
    Field,
)
from onyxwick.lab.soak.shutdown_acts import ShutdownActions
from onyxwick.lab.soak.told import Span

S = 1_000_000
CONNECTS_AFTER_TERM_S = 0.3  # clients go on opening connections for this time after SIGTERM
TERM, RELOAD = signal.SIGTERM, signal.SIGHUP
TERM_SIGNAL_SERIES = ((TERM,), (TERM,), (RELOAD, TERM, RELOAD), (TERM, TERM))
ACCEPT_RETRY_US = 60_000  # a director retries accepting this long after an error
RESTART_DELAY_S = 0.2
CROWD_GRACE_US = 1_000_000  # the director sees the last of a crowd leave this late
CROWD_CLIENTS = 250  # clients that one CROWD_CLIENTS fault connects


class SoakActions:
    """Plays the faults of one soak."""

    def __init__(self, soak: SoakEnvironment) -> None:
        self.soak = soak
        self.state = FaultState(soak.servers)
        self.operators = OperatorActions(soak, self.state)
        self.hoards = HoardActions(soak, self.state)
        self.feeds = FeedActions(soak, self.state, self._kill_and_restart)
        self.shutdowns = ShutdownActions(soak, self.state, self.operators)
        self.injectors = {
            SoakFaultKind.CLOCK: self._clock,
            SoakFaultKind.ACCEPT: self._accept,
            SoakFaultKind.SOCKET: self._socket,
            SoakFaultKind.CONNECT: self._connect,
            SoakFaultKind.TRANSFER: self._transfer,
            SoakFaultKind.BROKEN: self._broken,
            SoakFaultKind.DISK: self._disk,
            SoakFaultKind.STOP: self._stop,
            SoakFaultKind.TERM: self._restart,
            SoakFaultKind.HANDOVER: self._restart,
            SoakFaultKind.SHUTDOWNS: self.shutdowns.play,
            SoakFaultKind.KILL: self._kill,
            SoakFaultKind.TORN_WRITE: self._torn_write,
            SoakFaultKind.RELOAD: self._reload,
            SoakFaultKind.DRAIN: self.operators.drain,
            SoakFaultKind.HOLD: self.operators.hold,
            SoakFaultKind.FEED_LOST: self._feed_lost,
            SoakFaultKind.FEED_SLOW: self._feed_slow,
            SoakFaultKind.FEED_FAULTY: self.feeds.faulty,
            SoakFaultKind.FEED_ABSENT: self.feeds.absent,
            SoakFaultKind.FEED_BREAK: self.feeds.fail_with_purges,
            SoakFaultKind.FLEET_KILL: self.feeds.fleet_kill,
            SoakFaultKind.CLIENTS_LEAVE: self._clients_leave,
            SoakFaultKind.CROWD: self._crowd,
            SoakFaultKind.CACHE_DRAIN: self._cache_drain,
            SoakFaultKind.CACHE_RESTART: self._cache_restart,
            SoakFaultKind.CACHE_HANG: self._cache_hang,
            SoakFaultKind.CACHE_FORGET: self._cache_forget,
            SoakFaultKind.PURGE: self._purge,
            SoakFaultKind.CLIENTS_HOARD: self.hoards.clients,
            SoakFaultKind.CACHE_HOARD: self.hoards.cache,
            SoakFaultKind.FEED_HOARD: self.hoards.feed,
        }

    async def play(self, fault: SoakFault) -> None:
        """Inject a fault, wait for its length, undo it and record it."""
        begun = self.soak.clock()
        director = self.soak.directors[fault.director]
        try:
            await self.injectors[fault.kind](fault, director)
        finally:
            self.state.history.spans.append(Span(fault.kind, fault.director, begun, self.soak.clock()))

    # ---- system calls ------------------------------------------------------------------------------------

    async def _clock(self, fault: SoakFault, director: SoakDirector) -> None:
        step = STEPS_S[fault.draw % len(STEPS_S)]
        await self._fail_system_calls(fault, director, {Field.CLOCK_OFFSET_NS: step * 1_000_000_000})

    async def _accept(self, fault: SoakFault, director: SoakDirector) -> None:
        begun = self.soak.clock()
        await self._fail_system_calls(fault, director, {Field.ACCEPT_ERRNO: choose(fault, ACCEPT_ERRORS)})
        ended = self.soak.clock() + ACCEPT_RETRY_US
        self.soak.records.unaccepted.append(DirectorOutage(director.number, begun, ended))

    async def _socket(self, fault: SoakFault, director: SoakDirector) -> None:
        await self._fail_system_calls(fault, director, {Field.SOCKET_ERRNO: choose(fault, SOCKET_ERRORS)})

    async def _connect(self, fault: SoakFault, director: SoakDirector) -> None:
        await self._fail_system_calls(fault, director, {Field.CONNECT_ERRNO: choose(fault, CONNECT_ERRORS)})

    async def _transfer(self, fault: SoakFault, director: SoakDirector) -> None:
        fields = {Field.TRANSFER_BYTES: choose(fault, (1, 7, 64, 1000))}
        fields[Field.INTERRUPTED] = (0, 5, 30)[fault.draw // 8 % 3]
        director.transfers_single_bytes = fields[Field.TRANSFER_BYTES] == 1
        try:
            await self._fail_system_calls(fault, director, fields)
        finally:
            director.transfers_single_bytes = False

    async def _broken(self, fault: SoakFault, director: SoakDirector) -> None:
        await self._fail_system_calls(fault, director, {Field.BROKEN_ERRNO: choose(fault, BROKEN_ERRORS)})

    async def _disk(self, fault: SoakFault, director: SoakDirector) -> None:
        begun = self.soak.clock()
        self.state.disk_since[director.number].append(begun)
        await self._fail_system_calls(fault, director, {Field.DISK_ERRNO: choose(fault, DISK_ERRORS)})
        self.state.disk_since[director.number].remove(begun)

    async def _fail_system_calls(
        self, fault: SoakFault, director: SoakDirector, fields: dict[Field, int]
    ) -> None:
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
            self.soak.records.stopped.append(
                DirectorOutage(director.number, begun, self.soak.clock() + 20_000)
            )

    async def _restart(self, fault: SoakFault, director: SoakDirector) -> None:
        """Restart the director or, if the lab owns the listening socket, upgrade it to a successor process.

        Clients use their open connections until the process has ended, at its SIGKILL at the latest.
        """
        signals, kill_after_s = choose(fault, TERM_SIGNAL_SERIES), self.soak.plan.kill_after_s
        async with director.lifecycle_lock:
            old = director.process
            if old is None or not director.takes_connections:
                return
            if director.held is not None:
                await self.soak.start(director)
                await director.terminate(old, signals, kill_after_s)
                return
            ending = asyncio.get_running_loop().create_task(director.terminate(old, signals, kill_after_s))
            await asyncio.sleep(CONNECTS_AFTER_TERM_S)
            director.takes_connections = False
            await ending
            await self.soak.start(director)

    async def _kill(self, fault: SoakFault, director: SoakDirector) -> None:
        async with director.lifecycle_lock:
            process = director.process
            if process is not None and not process.is_running:
                self.soak.records.ended.append(f"{process.name} had ended before its SIGKILL")
            await self._kill_and_restart(director)

    async def _kill_and_restart(self, director: SoakDirector, at_once: bool = False) -> None:
        process = director.process
        if process is None:
            return
        begun = self.soak.clock()
        director.takes_connections = False
        process.signal(signal.SIGKILL)
        await process.wait(5.0)
        await asyncio.sleep(RESTART_DELAY_S)
        director.control.set(Field.DISK_ERRNO, 0)
        await self.soak.start(director, at_once)
        self.soak.records.down.append(DirectorOutage(director.number, begun, self.soak.clock()))

    async def _torn_write(self, fault: SoakFault, director: SoakDirector) -> None:
        """Kill the director in the middle of writing the operator command file.

        The call is not confirmed, so the director owes nothing for it.
        """
        async with director.lifecycle_lock:
            server = self.state.reserve_server(fault, ("box",))
            if server is None:
                return
            begun = self.soak.clock()
            director.control.set(Field.DISK_ERRNO, KILL_IN_WRITE)
            await director.call("POST", f"/caches/disable/{server.name}", 0.5)
            await self._kill_and_restart(director)
            self.soak.records.down.append(DirectorOutage(director.number, begun, self.soak.clock()))
            await self.operators.call_until_ok(director, f"/caches/enable/{server.name}")
            self.state.reserved.discard(server.name)

    async def _reload(self, fault: SoakFault, director: SoakDirector) -> None:
        async with director.lifecycle_lock:
            director.feed_index ^= 1
            director.write(self.soak.director_configuration(director))
            if director.process is not None:
                director.process.signal(signal.SIGHUP)

    # ---- the feed ----------------------------------------------------------------------------------------

    async def _feed_lost(self, fault: SoakFault, director: SoakDirector) -> None:
        await self.feeds.impair(fault, director, cut=True)

    async def _feed_slow(self, fault: SoakFault, director: SoakDirector) -> None:
        await self.feeds.impair(fault, director, cut=False)

    async def _clients_leave(self, fault: SoakFault, director: SoakDirector) -> None:
        self.soak.clients.leaving.add(director.number)
        await asyncio.sleep(fault.for_s)
        self.soak.clients.leaving.discard(director.number)

    async def _crowd(self, fault: SoakFault, director: SoakDirector) -> None:
        """Have many clients connect and send nothing. They reconnect once they are disconnected, while the
        director takes connections."""
        begun = self.soak.clock()
        members = [self.soak.persistent(director, Habit.SILENT) for _ in range(CROWD_CLIENTS)]
        tasks = [asyncio.get_running_loop().create_task(member.run()) for member in members]
        try:
            await asyncio.sleep(fault.for_s)
        finally:
            for task in tasks:
                task.cancel()
            ended = self.soak.clock() + CROWD_GRACE_US
            self.soak.records.crowded.append(DirectorOutage(director.number, begun, ended))
            for error in await asyncio.gather(*tasks, return_exceptions=True):
                if isinstance(error, Exception):
                    self.soak.records.lab_errors.append(repr(error))

    # ---- caches ------------------------------------------------------------------------------------------

    async def _cache_drain(self, fault: SoakFault, director: SoakDirector) -> None:
        await self.feeds.drain(fault, fault.for_s)

    async def _cache_restart(self, fault: SoakFault, director: SoakDirector) -> None:
        if (server := self.state.reserve_server(fault, ("box", "parent"))) is None:
            return
        await server.die()
        await asyncio.sleep(fault.for_s)
        server.cold_start()
        await server.listen()
        began = self.soak.clock()
        self.state.history.starts.append((server.name, began, self.feeds.publish_state(server, "SERVING")))
        self.state.reserved.discard(server.name)

    async def _cache_hang(self, fault: SoakFault, director: SoakDirector) -> None:
        if (server := self.state.reserve_server(fault, ("box", "parent"))) is None:
            return
        server.hang(True)
        await asyncio.sleep(fault.for_s)
        server.hang(False)
        self.state.reserved.discard(server.name)

    async def _cache_forget(self, fault: SoakFault, director: SoakDirector) -> None:
        if (server := self.state.reserve_server(fault, ("box", "parent"))) is None:
            return
        server.end_connections(choose(fault, tuple(ConnectionLoss)))
        await asyncio.sleep(fault.for_s)
        self.state.reserved.discard(server.name)

    async def _purge(self, fault: SoakFault, director: SoakDirector) -> None:
        self.feeds.purge_one_group(fault)
