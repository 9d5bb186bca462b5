"""What each kind of fault does, and how it ends. Times are waited for by who calls (`run.py`)."""

from __future__ import annotations

import asyncio
import json
import signal
from collections.abc import Awaitable, Callable

from onyxwick.lab.faults.fleet import TOKEN, FleetDirector, Ground
from onyxwick.lab.faults.history import Row
from onyxwick.lab.faults.model import InjectedFault
from onyxwick.lab.machines import Machine

S = 1_000_000
Undo = Callable[[], Awaitable[None]]


async def _nothing() -> None:
    return None


class FaultActions:
    """The faults of one run on its ground."""

    def __init__(self, ground: Ground) -> None:
        self.ground = ground
        self.later: set[asyncio.Task[None]] = set()  # what is told late

    def note(self, fault: InjectedFault, on: bool) -> None:
        data = {"on": on, "sites": self._sites(fault), "name": fault.name, "how": fault.how}
        self.ground.rows.append(Row("fault", self.ground.clock(), fault.label, fault.what, data))

    def _sites(self, fault: InjectedFault) -> list[str]:
        """The sites that a fault may make a director leave."""
        names = fault.name.replace("|", " ").split()
        places = {*self.ground.fleet.sites, *self.ground.fleet.hubs}
        return sorted(places & set(names))

    async def begin(self, fault: InjectedFault) -> Undo:
        """Bring it about; what ends it."""
        self.note(fault, True)
        match fault.what:
            case "lose":
                return await self._lose(fault)
            case "cut" | "cut-there" | "cut-back":
                return self._cut(fault)
            case "slow":
                return self._slow(fault)
            case "lossy" | "delay":
                return self._way(fault)
            case "replace":
                return await self._replace(fault)
            case "stop":
                return self._stop(fault)
            case "kill":
                return await self._kill(fault)
            case "mute":
                return await self._mute(fault)
            case "unlisted":
                return self._unlisted()
            case "purge":
                await self._purge(fault)
            case "order" | "drill":
                await self._order(fault)
        return _nothing

    # ---- places -----------------------------------------------------------------------------------------

    def _machines(self, place: str) -> list[Machine]:
        ground = self.ground
        return [m for n, m in ground.world.machines.items() if ground.world.place_of[n] == place]

    async def _lose(self, fault: InjectedFault) -> Undo:
        """A site or hub: machines that vanish, directors killed, and its clients elsewhere some seconds
        later."""
        ground, place = self.ground, fault.name
        boxes = fault.how != "directors"
        directors = [d for d in ground.directors if d.site == place and fault.how != "boxes"]
        machines = self._machines(place) if boxes else []
        if not fault.how or fault.how in ("new", "part", "twice"):
            ground.paths.lose(place, True)
        for machine in machines:
            await machine.die()
        for director in directors:
            await self._down(director)
        if directors:
            ground.away[place] = ground.clock() + ground.fleet.failover_us
        self._list(machines, "DELETED")
        return lambda: self._back(fault, place, machines, directors)

    async def _back(
        self, fault: InjectedFault, place: str, machines: list[Machine], directors: list[FleetDirector]
    ) -> None:
        ground = self.ground
        if machines and fault.how == "part":
            machines = machines[: max(1, len(machines) // 2)]
        if machines and fault.how == "new":
            machines = [await self._renamed(machine) for machine in machines]
        ground.paths.lose(place, False)
        for machine in machines:
            await machine.restart()
        self._list(machines, "SERVING")
        for director in directors:
            await ground.start(director)
        if directors:
            await asyncio.sleep(ground.fleet.failover_us / S)
            ground.away.pop(place, None)

    async def _renamed(self, machine: Machine) -> Machine:
        """Another machine at the address of one that is gone."""
        world = self.ground.world
        name = f"{machine.name}-b"
        made = Machine(world, name, machine.kind, machine.zone, machine.tier, machine.address)
        world.place_of[name] = world.place_of[machine.name]
        world.machines[name] = made
        for director in self.ground.directors:
            director.members[name] = director.members[machine.name]
        return made

    async def _down(self, director: FleetDirector) -> None:
        assert director.program is not None
        director.up = False
        self.ground.downs[director.number].append((self.ground.clock(), 1 << 62))
        await director.program.kill()

    def _list(self, machines: list[Machine], state: str) -> None:
        """Tell the lists, the coordinator's delay later; one that says all is well is told nothing."""
        if not machines:
            return
        task = asyncio.get_running_loop().create_task(self._told(machines, state))
        self.later.add(task)
        task.add_done_callback(self.later.discard)

    async def _told(self, machines: list[Machine], state: str) -> None:
        await asyncio.sleep(self.ground.fleet.scenario.told_after_us / S)
        for director in self.ground.directors:
            if not director.unlisted or state == "SERVING":
                director.feed.list(self.ground.rows_for(director, machines, state))

    async def _replace(self, fault: InjectedFault) -> Undo:
        """A planned replacement: each box drained, stopped, replaced by a cold one under a new id."""
        machines = self._machines(fault.name)
        gap = fault.for_us / S / max(1, len(machines))

        async def go() -> None:
            for machine in machines:
                self._list([machine], "DRAINING")
                drained = self.ground.clock() + self.ground.fleet.scenario.told_after_us
                self.ground.world.records.drained.append((machine.name, drained, 0))
                await asyncio.sleep(gap * 0.6)
                await machine.die()
                self._list([machine], "DELETED")
                new = await self._renamed(machine)
                await new.restart()
                self._list([new], "SERVING")
                await asyncio.sleep(gap * 0.4)

        task = asyncio.get_running_loop().create_task(go())
        self.later.add(task)
        task.add_done_callback(self.later.discard)
        return _nothing

    # ---- ways -------------------------------------------------------------------------------------------

    def _cut(self, fault: InjectedFault) -> Undo:
        one, other = fault.name.split("|")
        there, back = fault.what != "cut-back", fault.what != "cut-there"
        places = [one]
        others = self._all_others(one) if other == "outside" else [other]

        def turn(on: bool) -> None:
            for a in places:
                for b in others:
                    self.ground.paths.cut(a, b, there, back, on)

        turn(True)

        async def undo() -> None:
            turn(False)

        return undo

    def _all_others(self, place: str) -> list[str]:
        fleet = self.ground.fleet
        return [p for p in (*fleet.sites, *fleet.hubs, "archive", "outside") if p != place]

    def _way(self, fault: InjectedFault) -> Undo:
        one, other = fault.name.split("|")
        ways = [self.ground.paths.way(one, other), self.ground.paths.way(other, one)]
        before = [(way.resets, way.delay_s) for way in ways]
        for way in ways:
            if fault.what == "lossy":
                way.resets = fault.amount
            else:
                way.delay_s += fault.amount / 1000

        async def undo() -> None:
            for way, (resets, delay) in zip(ways, before, strict=True):
                way.resets, way.delay_s = resets, delay

        return undo

    def _slow(self, fault: InjectedFault) -> Undo:
        machines = self._machines(fault.name)
        for machine in machines:
            machine.slow_down(fault.amount)

        async def undo() -> None:
            for machine in machines:
                machine.slow_down(1.0)

        return undo

    # ---- directors --------------------------------------------------------------------------------------

    def _named(self, name: str) -> list[FleetDirector]:
        found = [d for d in self.ground.directors if name in (d.name, d.site, "all")]
        if not found:
            raise ValueError(f"no director '{name}'")
        return found

    def _stop(self, fault: InjectedFault) -> Undo:
        directors = self._named(fault.name)
        for director in directors:
            assert director.program is not None
            director.program.signal(signal.SIGSTOP)

        async def undo() -> None:
            for director in directors:
                assert director.program is not None
                director.program.signal(signal.SIGCONT)

        return undo

    async def _kill(self, fault: InjectedFault) -> Undo:
        directors = self._named(fault.name)
        for director in directors:
            await self._down(director)

        async def undo() -> None:
            for director in directors:
                await self.ground.start(director)

        return undo

    async def _mute(self, fault: InjectedFault) -> Undo:
        directors = self._named(fault.name)
        for director in directors:
            await director.coordinator.mute()

        async def undo() -> None:
            for director in directors:
                await director.coordinator.listen()

        return undo

    def _unlisted(self) -> Undo:
        for director in self.ground.directors:
            director.unlisted = True

        async def undo() -> None:
            for director in self.ground.directors:
                director.unlisted = False

        return undo

    async def _purge(self, fault: InjectedFault) -> None:
        """True at once; told after the coordinator's delay; done by each machine in its own time."""
        ground, now = self.ground, self.ground.clock()
        groups = range(ground.world.groups) if fault.name == "all" else [int(fault.name)]
        loop, done = asyncio.get_running_loop(), ground.fleet.scenario.purge_done_us / S
        for group in groups:
            ground.world.truth.purge(group, now)
        for n, machine in enumerate(list(ground.world.machines.values())):
            loop.call_later(done * (n % 5 + 1) / 6, _drop, ground, machine, set(groups), now)
        await asyncio.sleep(ground.fleet.scenario.told_after_us / S)
        for group in groups:
            ground.world.records.purged.append((group, now, ground.clock()))
            for director in ground.directors:
                director.feed.purge(group, now)

    async def _order(self, fault: InjectedFault) -> None:
        """At every director that is up, as an operator would with the command."""
        site, _, word = fault.name.partition(" ")
        row = {"word": word or "evacuate", "reason": fault.label}
        if fault.what == "drill":
            row["stay_s"] = fault.amount  # type: ignore[assignment]
        for director in self.ground.directors:
            if director.up:
                status = await call(director, "PUT", f"/sites/orders/{site}", row)
                if status >= 300:
                    raise RuntimeError(f"{director.name} refused the order for {site}: {status}")


async def call(director: FleetDirector, method: str, path: str, body: object = None) -> int:
    """One call of a director's administration API; its status, 0 where there was no answer."""
    data = json.dumps(body).encode() if body is not None else b""
    head = f"{method} {path} HTTP/1.1\r\nHost: lab\r\nAuthorization: Bearer {TOKEN}\r\nConnection: close\r\n"
    try:
        async with asyncio.timeout(5):
            reader, writer = await asyncio.open_connection(*director.admin)
            writer.write(f"{head}Content-Length: {len(data)}\r\n\r\n".encode() + data)
            status = int((await reader.readline()).split()[1])
            writer.close()
            return status
    except (OSError, TimeoutError, IndexError, ValueError):
        return 0


def _drop(ground: Ground, machine: Machine, groups: set[int], before: int) -> None:
    names = {key[0] for key in machine.store.rank_of if ground.world.group(key[0]) in groups}
    machine.store.purge(names, before)
