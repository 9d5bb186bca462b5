"""Injects and ends each kind of fault. The caller (`run.py`) waits for the times."""

from __future__ import annotations

import asyncio
import json
import signal
from collections.abc import Awaitable, Callable

from onyxwick.lab.faults.fleet import TOKEN, FleetDirector, FleetHarness
from onyxwick.lab.faults.history import Row
from onyxwick.lab.faults.model import InjectedFault
from onyxwick.lab.machines import Machine

S = 1_000_000
Undo = Callable[[], Awaitable[None]]


async def _nothing() -> None:
    return None


class FaultActions:
    """Injects the faults of one run into its fleet."""

    def __init__(self, harness: FleetHarness) -> None:
        self.harness = harness
        self.later: set[asyncio.Task[None]] = set()  # endpoint list updates and replacements in progress

    def note(self, fault: InjectedFault, on: bool) -> None:
        """Record in the history that a fault begins or ends."""
        data = {"on": on, "sites": self._sites(fault), "name": fault.name, "how": fault.how}
        self.harness.rows.append(Row("fault", self.harness.clock(), fault.label, fault.what, data))

    def _sites(self, fault: InjectedFault) -> list[str]:
        """Return the sites and hubs that a fault names, which directors may evacuate because of it."""
        names = fault.name.replace("|", " ").split()
        places = {*self.harness.fleet.sites, *self.harness.fleet.hubs}
        return sorted(places & set(names))

    async def begin(self, fault: InjectedFault) -> Undo:
        """Inject a fault and return the function that ends it."""
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
        harness = self.harness
        return [m for n, m in harness.world.machines.items() if harness.world.place_of[n] == place]

    async def _lose(self, fault: InjectedFault) -> Undo:
        """Lose a site or hub: stop its machines, kill its directors, and move its clients to other sites some
        seconds later."""
        harness, place = self.harness, fault.name
        boxes = fault.how != "directors"
        directors = [d for d in harness.directors if d.site == place and fault.how != "boxes"]
        machines = self._machines(place) if boxes else []
        if not fault.how or fault.how in ("new", "part", "twice"):
            harness.paths.lose(place, True)
        for machine in machines:
            await machine.die()
        for director in directors:
            await self._kill_director(director)
        if directors:
            harness.away[place] = harness.clock() + harness.fleet.failover_us
        self._list(machines, "DELETED")
        return lambda: self._restore(fault, place, machines, directors)

    async def _restore(
        self, fault: InjectedFault, place: str, machines: list[Machine], directors: list[FleetDirector]
    ) -> None:
        harness = self.harness
        if machines and fault.how == "part":
            machines = machines[: max(1, len(machines) // 2)]
        if machines and fault.how == "new":
            machines = [await self._successor(machine) for machine in machines]
        harness.paths.lose(place, False)
        for machine in machines:
            await machine.restart()
        self._list(machines, "SERVING")
        for director in directors:
            await harness.start(director)
        if directors:
            await asyncio.sleep(harness.fleet.failover_us / S)
            harness.away.pop(place, None)

    async def _successor(self, machine: Machine) -> Machine:
        """Create a machine under a new name at the address of a stopped machine."""
        world = self.harness.world
        name = f"{machine.name}-b"
        made = Machine(world, name, machine.kind, machine.zone, machine.tier, machine.address)
        world.place_of[name] = world.place_of[machine.name]
        world.machines[name] = made
        for director in self.harness.directors:
            director.members[name] = director.members[machine.name]
        return made

    async def _kill_director(self, director: FleetDirector) -> None:
        assert director.program is not None
        director.up = False
        self.harness.downs[director.number].append((self.harness.clock(), 1 << 62))
        await director.program.kill()

    def _list(self, machines: list[Machine], state: str) -> None:
        """Update the endpoint lists after the coordinator's delay. A list that reports no losses gets only
        machines that serve."""
        if not machines:
            return
        task = asyncio.get_running_loop().create_task(self._update_lists(machines, state))
        self.later.add(task)
        task.add_done_callback(self.later.discard)

    async def _update_lists(self, machines: list[Machine], state: str) -> None:
        await asyncio.sleep(self.harness.fleet.scenario.told_after_us / S)
        for director in self.harness.directors:
            if not director.unlisted or state == "SERVING":
                director.feed.list(self.harness.rows_for(director, machines, state))

    async def _replace(self, fault: InjectedFault) -> Undo:
        """Replace the caches of a site as planned work: drain and stop each, and start an empty one under a
        new id."""
        machines = self._machines(fault.name)
        gap = fault.for_us / S / max(1, len(machines))

        async def go() -> None:
            for machine in machines:
                self._list([machine], "DRAINING")
                drained = self.harness.clock() + self.harness.fleet.scenario.told_after_us
                self.harness.world.records.drained.append((machine.name, drained, 0))
                await asyncio.sleep(gap * 0.6)
                await machine.die()
                self._list([machine], "DELETED")
                new = await self._successor(machine)
                await new.restart()
                self._list([new], "SERVING")
                await asyncio.sleep(gap * 0.4)

        task = asyncio.get_running_loop().create_task(go())
        self.later.add(task)
        task.add_done_callback(self.later.discard)
        return _nothing

    # ---- links ------------------------------------------------------------------------------------------

    def _cut(self, fault: InjectedFault) -> Undo:
        one, other = fault.name.split("|")
        there, back = fault.what != "cut-back", fault.what != "cut-there"
        places = [one]
        others = self._all_others(one) if other == "outside" else [other]

        def turn(on: bool) -> None:
            for a in places:
                for b in others:
                    self.harness.paths.cut(a, b, there, back, on)

        turn(True)

        async def undo() -> None:
            turn(False)

        return undo

    def _all_others(self, place: str) -> list[str]:
        fleet = self.harness.fleet
        return [p for p in (*fleet.sites, *fleet.hubs, "archive", "outside") if p != place]

    def _way(self, fault: InjectedFault) -> Undo:
        one, other = fault.name.split("|")
        ways = [self.harness.paths.way(one, other), self.harness.paths.way(other, one)]
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

    def _directors_named(self, name: str) -> list[FleetDirector]:
        found = [d for d in self.harness.directors if name in (d.name, d.site, "all")]
        if not found:
            raise ValueError(f"no director is named or located at '{name}'")
        return found

    def _stop(self, fault: InjectedFault) -> Undo:
        directors = self._directors_named(fault.name)
        for director in directors:
            assert director.program is not None
            director.program.signal(signal.SIGSTOP)

        async def undo() -> None:
            for director in directors:
                assert director.program is not None
                director.program.signal(signal.SIGCONT)

        return undo

    async def _kill(self, fault: InjectedFault) -> Undo:
        directors = self._directors_named(fault.name)
        for director in directors:
            await self._kill_director(director)

        async def undo() -> None:
            for director in directors:
                await self.harness.start(director)

        return undo

    async def _mute(self, fault: InjectedFault) -> Undo:
        directors = self._directors_named(fault.name)
        for director in directors:
            await director.coordinator.mute()

        async def undo() -> None:
            for director in directors:
                await director.coordinator.listen()

        return undo

    def _unlisted(self) -> Undo:
        for director in self.harness.directors:
            director.unlisted = True

        async def undo() -> None:
            for director in self.harness.directors:
                director.unlisted = False

        return undo

    async def _purge(self, fault: InjectedFault) -> None:
        """Purge at once in the reference data, after a separate time on each machine, and notify directors
        after the coordinator's delay."""
        harness, now = self.harness, self.harness.clock()
        groups = range(harness.world.groups) if fault.name == "all" else [int(fault.name)]
        loop, done = asyncio.get_running_loop(), harness.fleet.scenario.purge_done_us / S
        for group in groups:
            harness.world.truth.purge(group, now)
        for n, machine in enumerate(list(harness.world.machines.values())):
            loop.call_later(done * (n % 5 + 1) / 6, _drop, harness, machine, set(groups), now)
        await asyncio.sleep(harness.fleet.scenario.told_after_us / S)
        for group in groups:
            harness.world.records.purged.append((group, now, harness.clock()))
            for director in harness.directors:
                director.feed.purge(group, now)

    async def _order(self, fault: InjectedFault) -> None:
        """Send the order to every running director, as an operator would with the command. Raises
        RuntimeError if one rejects it."""
        site, _, word = fault.name.partition(" ")
        row = {"word": word or "evacuate", "reason": fault.label}
        if fault.what == "drill":
            row["stay_s"] = fault.amount  # type: ignore[assignment]
        for director in self.harness.directors:
            if director.up:
                status = await call(director, "PUT", f"/sites/orders/{site}", row)
                if status >= 300:
                    raise RuntimeError(f"{director.name} refused the order for {site}: {status}")


async def call(director: FleetDirector, method: str, path: str, body: object = None) -> int:
    """Call a director's administration API and return the HTTP status, or 0 if there was no valid answer."""
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


def _drop(harness: FleetHarness, machine: Machine, groups: set[int], before: int) -> None:
    names = {key[0] for key in machine.store.rank_of if harness.world.group(key[0]) in groups}
    machine.store.purge(names, before)
