"""One run: emulators, clients and real directors on loopback, and what came of it."""

from __future__ import annotations

import asyncio
import json
import shutil
import signal
import tempfile
import time
from pathlib import Path
from typing import Any

from onyxwick.lab.arrivals import Arrival, draw, object_name
from onyxwick.lab.audit import audit
from onyxwick.lab.clients import Clients, ClientTarget
from onyxwick.lab.copies import Copy
from onyxwick.lab.feed import Feed, row_of
from onyxwick.lab.machines import CoordinatorEmulator, Machine, World
from onyxwick.lab.model import Happening, Scenario, Tier
from onyxwick.lab.platform import HUB, ZONE, configuration, settings
from onyxwick.lab.programs import Program
from onyxwick.lab.report import report_of
from onyxwick.store.encryption import generate_key

GROUPS = 64
SETTLE_S = 0.3
TOKEN = "operator-token-of-the-lab"


def unix_us() -> int:
    return time.time_ns() // 1000


class ScenarioRun:
    """`slot` 0 to 99 keeps the addresses of runs apart that go on at once."""

    def __init__(
        self, scenario: Scenario, seed: int, cells: bool, misbehaves: str | None, slot: int = 0
    ) -> None:
        self.scenario, self.seed, self.misbehaves = scenario, seed, misbehaves
        self.service = scenario.service if cells else None
        self.base = f"127.{100 + slot}"
        self.store = False  # the director keeps one
        self.idle = False  # a trace could be written and is not
        self.killed = 0  # when a director was, the last time
        self.trace: Path | None = None  # a folder for the directors' traces
        self.program: Path | None = None  # the tree of another revision whose director is played
        self.world = World(scenario.classes, unix_us, GROUPS)
        self.coordinator = CoordinatorEmulator((f"{self.base}.9.1", 7070), unix_us)
        self.feed = Feed(self.coordinator)
        self.clients = Clients(
            scenario.classes, self.world.records, unix_us, seed, self.world.group, scenario.counted_from_us
        )
        self.folder = Path(tempfile.mkdtemp(prefix="onyxwick-lab-"))
        self.programs: list[Program] = []
        self.listens = [(f"{self.base}.1.{n + 1}", 5050) for n in range(scenario.directors)]
        self.drained: dict[str, int] = {}

    # ---- machines and their list ------------------------------------------------------------------------

    def _machines(self) -> None:
        rows: tuple[tuple[str, str, str, Tier, int], ...] = (
            ("box", "box", ZONE, self.scenario.boxes, 2),
            ("parent", "parent", HUB, self.scenario.parents, 3),
            ("origin", "origin", HUB, self.scenario.origin, 4),
        )
        for kind, prefix, zone, tier, net in rows:
            for n in range(tier.count):
                name = "origin" if kind == "origin" else f"{prefix}-{n + 1}"
                address = (f"{self.base}.{net}.{n + 1}", 5050)
                self.world.machines[name] = Machine(self.world, name, kind, zone, tier, address)

    def _fill_stores(self) -> None:
        """What a run begins with: the most wanted objects, at every machine that could have them."""
        now = unix_us()
        for machine in self.world.machines.values():
            for load in self.scenario.loads if machine.kind != "origin" else ():
                for number in range(min(self.scenario.warm_objects, load.objects)):
                    name = object_name(load.name, number)
                    for part in range(max(job.parts for job in self.scenario.jobs)):
                        tag = self.world.truth.copy(name, part, self.world.group(name), now).tag
                        machine.store.keep(name, part, Copy(tag, now), 1)

    # ---- directors --------------------------------------------------------------------------------------

    async def _director(self, n: int) -> None:
        """Start director `n`, for the first time or again."""
        told = configuration(
            f"n{n}",
            self.seed * 1000 + n,
            self.listens[n],
            self.coordinator.address,
            self.feed.known(),
            {**settings(self.scenario), "self_index": n},
        )
        path = self.folder / f"director-{n}.json"
        path.write_text(json.dumps(told))
        if n == len(self.programs):
            names = {"RELAY_CONFIG": str(path), "ONYXWICK_SERVICE": str(self._service_file(n))}
            self.programs.append(Program(f"n{n}", self.folder, self.listens[n], names, self.program))
        await self.programs[n].start()

    def _write_service(self, source: Path | None) -> None:
        """The service file: the scenario's, with what the run adds to it."""
        text = source.read_text() if source else ""
        if self.trace is not None:
            on = "false" if self.idle else "true"
            text += f'\ntrace {{\n  folder = "{self.trace.resolve()}"\n  on = {on}\n}}\n'
        if self.scenario.store:
            (self.folder / "operator.token").write_text(TOKEN)
            text += f'\nadmin {{\n  listen = "{self.base}.8.1:8053"\n  token_file = "operator.token"\n}}\n'
        if text:
            self._service_file().write_text(text)
        if self.store:  # a store is one director's: each has a service file of its own, with its folder
            (self.folder / "store.keys").write_text(generate_key())
            for n in range(self.scenario.directors):
                kept = f'\nstore {{\n  folder = "store-{n}"\n  key_file = "store.keys"\n'
                kept += '  installation = "lab"\n  bookings = true\n}\n'
                self._service_file(n).write_text(text + kept)

    async def _api(self, call: str) -> None:
        """One call of the administration API; an operator's drain counts as told with its answer."""
        method, path = call.split(" ")
        reader, writer = await asyncio.open_connection(f"{self.base}.8.1", 8053)
        body = "{}" if method == "PUT" else ""
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: lab\r\nAuthorization: Bearer {TOKEN}\r\nConnection: close\r\n"
        )
        writer.write(f"{head}Content-Length: {len(body)}\r\n\r\n{body}".encode())
        status = (await reader.readline()).split()[1]
        writer.close()
        if path.startswith("/drains/") and method == "PUT" and status == b"200":
            self.world.records.drained.append((path.rpartition("/")[2], unix_us(), 0))

    def _service_file(self, director: int | None = None) -> Path:
        if director is None or not self.store:
            return self.folder / "service.hcl"
        return self.folder / f"service-{director}.hcl"

    async def _crash(self, n: int) -> None:
        """Killed outright, and started again with no memory."""
        self.killed = unix_us()
        self.clients.crashes[n] = 1 << 62  # whatever it has taken until it is gone
        await self.programs[n].kill()
        self.clients.crashes[n] = unix_us()
        await self._director(n)

    async def _end_directors(self) -> None:
        for program in self.programs:
            if wrong := await program.end():
                self.world.records.crashed.append(wrong)

    # ---- what happens -----------------------------------------------------------------------------------

    async def _happen(self, event: Happening, start_us: int) -> None:
        await asyncio.sleep(max(0.0, (start_us + event.at_us - unix_us()) / 1e6))
        machine, now = self.world.machines.get(event.name), unix_us()
        match event.what:
            case "purge":
                await self._purge(int(event.name), now)
            case "drain" if machine:
                self.feed.list([row_of(machine, "DRAINING")])
                self.drained[event.name] = len(self.world.records.drained)
                self.world.records.drained.append((event.name, now, 0))
            case "lift" if machine:
                self.feed.list([row_of(machine, "SERVING")])
                if (at := self.drained.pop(event.name, None)) is not None:
                    self.world.records.drained[at] = (event.name, self.world.records.drained[at][1], now)
            case "kill" if machine:
                await machine.die()
                await asyncio.sleep(self.scenario.told_after_us / 1e6)
                self.feed.list([row_of(machine, "DELETED")])
            case "start" if machine:
                await machine.restart()
                await asyncio.sleep(self.scenario.told_after_us / 1e6)
                self.feed.list([row_of(machine, "SERVING")])
            case "service" if self.service:
                self._write_service(self.service.parent / event.name)
                for program in self.programs:
                    program.signal(signal.SIGHUP)
            case "mute":
                await self.coordinator.mute()
            case "unmute":
                await self.coordinator.listen()
            case "api":
                await self._api(event.name)
            case "crash" if event.name.isdigit() and int(event.name) < len(self.programs):
                await self._crash(int(event.name))
            case "crash" if event.name == "all":
                await asyncio.gather(*(self._crash(n) for n in range(len(self.programs))))

    async def _purge(self, group: int, now: int) -> None:
        """True at once; told after the coordinator's delay; done by each machine in its own time."""
        self.world.truth.purge(group, now)
        scenario = self.scenario
        delays = [scenario.purge_done_us * (n % 5 + 1) / 6 / 1e6 for n in range(len(self.world.machines))]
        loop = asyncio.get_running_loop()
        for machine, delay in zip(self.world.machines.values(), delays, strict=True):
            loop.call_later(delay, self._drop, machine, group, now)
        await asyncio.sleep(scenario.told_after_us / 1e6)
        self.world.records.purged.append((group, now, unix_us()))
        self.feed.purge(group, now)

    def _drop(self, machine: Machine, group: int, before: int) -> None:
        names = {key[0] for key in machine.store.rank_of if self.world.group(key[0]) == group}
        machine.store.purge(names, before)

    # ---- the run ----------------------------------------------------------------------------------------

    async def _load(self, arrivals: list[Arrival], start_us: int) -> None:
        tasks: set[asyncio.Task[None]] = set()
        faults = {load.name: load.fault(self.misbehaves) for load in self.scenario.loads}
        for n, arrival in enumerate(arrivals):
            wait = start_us + arrival.at_us - unix_us()
            if wait > 1000:
                await asyncio.sleep(wait / 1e6)
            fault = faults.get(arrival.tenant)
            if fault and fault.never_reads:
                on = fault.begin_us <= arrival.at_us < fault.end_us
                (self.clients.mute.add if on else self.clients.mute.discard)(arrival.tenant)
            at = n % self.scenario.directors
            to = ClientTarget(at, self.listens[at])
            task = asyncio.get_running_loop().create_task(
                self.clients.ask(arrival, start_us, lambda to=to: to)  # type: ignore[misc]
            )
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        if tasks:
            await asyncio.wait(tasks, timeout=30)

    async def play(self) -> dict[str, Any]:
        """Play it and judge it; everything that was started ends with it."""
        self._machines()
        self._fill_stores()
        self._write_service(self.service)
        await self.coordinator.listen()
        for machine in self.world.machines.values():
            await machine.listen()
        self.feed.list([row_of(m, "SERVING") for m in self.world.machines.values()], full=True)
        events: list[asyncio.Task[None]] = []
        self.feed.begun()
        try:
            for n in range(self.scenario.directors):
                await self._director(n)
            await asyncio.sleep(SETTLE_S)
            start = unix_us() + 200_000
            loop = asyncio.get_running_loop()
            events = [loop.create_task(self._happen(e, start)) for e in self.scenario.happenings]
            await self._load(draw(self.scenario, self.seed, self.misbehaves), start)
            for event in events:
                if event.done() and (error := event.exception()):
                    raise error
        finally:
            for event in events:
                event.cancel()
            self.clients.close()
            await self._end_directors()
            for machine in self.world.machines.values():
                await machine.die()
        report = report_of(self, audit(self.world.records))
        shutil.rmtree(self.folder, ignore_errors=True)
        return report
