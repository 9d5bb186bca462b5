"""One run: sets up the fleet, starts directors, sends requests, injects faults, and returns the history."""

from __future__ import annotations

import asyncio
import random
import re
import shutil
from dataclasses import replace
from pathlib import Path

from onyxwick.lab.arrivals import Arrival, draw
from onyxwick.lab.faults.acts import FaultActions
from onyxwick.lab.faults.fleet import OUTSIDE, FleetHarness
from onyxwick.lab.faults.history import History, Row, rows_of
from onyxwick.lab.faults.model import FleetScenario, InjectedFault
from onyxwick.lab.feed import row_of

S = 1_000_000
SETTLE_S = 0.5
CLOCK_CHECK_INTERVAL_S = 0.02  # interval of the measurement of the lab's own timer lateness
LAST_REQUESTS_TIMEOUT_S = 30.0  # wait for the requests in flight after the last arrival


class FaultRun:
    """One run of a scenario. `variant` is 'sites', with the block `sites` in every director's service file,
    or 'plain', without it. `tree` is the source tree of an earlier revision, whose directors run as
    'plain'."""

    def __init__(
        self,
        name: str,
        fleet: FleetScenario,
        seed: int,
        variant: str,
        slot: int = 0,
        tree: Path | None = None,
    ) -> None:
        self.name, self.fleet, self.seed, self.variant = name, fleet, seed, variant
        self.harness = FleetHarness(fleet, seed, variant, slot, tree)
        self.acts = FaultActions(self.harness)
        self.random = random.Random(f"clients {seed}")
        self.lateness: list[float] = []
        self.began_us = 0
        self.progress = False

    async def play(self) -> History:
        """Run the scenario and return its history. Everything that was started is stopped at the end."""
        side: list[asyncio.Task[None]] = []
        try:
            await self._set_up()
            loop = asyncio.get_running_loop()
            side.append(loop.create_task(self._watch_clock()))
            start = self.began_us = self.harness.clock() + 200_000
            faults = [loop.create_task(self._fault(fault, start)) for fault in self.fleet.faults]
            side += faults
            await self._load(draw(self.fleet.scenario, self.seed, None), start)
            for task in faults:
                if task.done() and not task.cancelled() and (error := task.exception()):
                    raise error
        finally:
            for task in (*side, *self.acts.later):
                task.cancel()
            await asyncio.gather(*side, return_exceptions=True)
            await self._end()
        return self._history()

    async def _set_up(self) -> None:
        harness = self.harness
        harness.build()
        machines = list(harness.world.machines.values())
        for machine in machines:
            await machine.listen()
        for director in harness.directors:
            await director.coordinator.listen()
            await harness.relay(director.site, OUTSIDE, director.relayed, director.coordinator.address)
            for machine in machines:
                await harness.reach(director, machine)
            for n, place in enumerate((director.site, OUTSIDE)):
                door = director.doors[place] = (f"{harness.base}.{10 + n}.{director.number + 1}", 5050)
                await harness.relay(place, director.site, door, director.listen)
            rows = [row_of(m, "SERVING", director.members[m.name]) for m in machines]
            director.feed.list(rows, full=True)
            director.feed.begun()
        await asyncio.gather(*(harness.start(director) for director in harness.directors))
        await asyncio.sleep(SETTLE_S)

    async def _watch_clock(self) -> None:
        """Record the lateness of the lab's own timers: if the lab is short of cores, its run gives no verdict
        on service."""
        loop = asyncio.get_running_loop()
        while True:
            due = loop.time() + CLOCK_CHECK_INTERVAL_S
            await asyncio.sleep(CLOCK_CHECK_INTERVAL_S)
            self.lateness.append(loop.time() - due)

    # ---- load -------------------------------------------------------------------------------------------

    def _site(self) -> str:
        sites = list(self.fleet.sites.values())
        return self.random.choices([s.name for s in sites], [s.share for s in sites])[0]

    async def _load(self, arrivals: list[Arrival], start_us: int) -> None:
        """Send each arrival at its time, independently of the others (open loop). The clients of an object
        stay at one site: the parts of the object are requested from there."""
        harness, tasks = self.harness, set[asyncio.Task[None]]()
        loop, site_of = asyncio.get_running_loop(), dict[tuple[str, str, int], str]()
        reported_steps = 0
        for arrival in arrivals:
            wait = start_us + arrival.at_us - harness.clock()
            if wait > 1000:
                await asyncio.sleep(wait / S)
            key = (arrival.tenant, arrival.object, arrival.at_us - arrival.part)
            site = site_of.setdefault(key, self._site()) if arrival.part == 0 else self._site()
            arrival = replace(arrival, object=self.fleet.object_at(arrival.object, site))
            ask = harness.clients.ask(arrival, start_us, lambda site=site: harness.choose(site), site)  # type: ignore[misc]
            task = loop.create_task(ask)
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            if self.progress and arrival.at_us // (5 * S) > reported_steps:
                reported_steps = arrival.at_us // (5 * S)
                print(f"{self.name} seed {self.seed} {self.variant}: {reported_steps * 5} s", flush=True)
        if tasks:
            await asyncio.wait(tasks, timeout=LAST_REQUESTS_TIMEOUT_S)

    # ---- faults -----------------------------------------------------------------------------------------

    async def _fault(self, fault: InjectedFault, start_us: int) -> None:
        await self._until(fault, start_us)
        undo = await self.acts.begin(fault)
        for again in range(2 if fault.how == "twice" else 1):
            if again:
                undo = await self.acts.begin(fault)
            if fault.for_us:
                await asyncio.sleep(fault.for_us / S)
                await undo()
                self.acts.note(fault, False)
            if fault.how == "twice":
                await asyncio.sleep(fault.amount)

    async def _until(self, fault: InjectedFault, start_us: int) -> None:
        """Wait for the start time of a fault and for the log lines of a director that start it."""
        when = fault.when
        if when.at_us:
            await asyncio.sleep(max(0.0, (start_us + when.at_us - self.harness.clock()) / S))
        if not when.says:
            return
        pattern, left, said = re.compile(when.says), when.count, asyncio.Event()

        def heard(line: str) -> None:
            nonlocal left
            if pattern.search(line):
                left -= 1
                if left <= 0:
                    said.set()

        programs = [
            d.program for d in self.harness.directors if d.program and when.director in ("", d.name, d.site)
        ]
        for program in programs:
            program.heard.append(heard)
        await said.wait()
        for program in programs:
            program.heard.remove(heard)

    # ---- the end ----------------------------------------------------------------------------------------

    async def _end(self) -> None:
        harness = self.harness
        harness.clients.close()
        for director in harness.directors:
            if director.program is not None and director.up:
                if wrong := await director.program.end():
                    harness.world.records.crashed.append(wrong)
            elif director.program is not None and director.program.ended is None:
                await director.program.kill()
        for relay in harness.relays:
            relay.close()
        for director in harness.directors:
            await director.coordinator.mute()
        for machine in harness.world.machines.values():
            await machine.die()

    def _history(self) -> History:
        harness = self.harness
        rows = rows_of(harness.world.records) + harness.rows
        for (place, second), work in sorted(harness.world.used.items()):
            rows.append(Row("used", second * S, place, "", {"work_us": work}))
        late = sorted(self.lateness) or [0.0]
        figures = {"p99_ms": 1000 * late[int(len(late) * 0.99)], "most_ms": 1000 * late[-1]}
        rows.append(Row("late", harness.clock(), "lab", "", figures))
        if harness.clients.twice:
            rows.append(Row("twice", harness.clock(), "", "", {"answers": harness.clients.twice}))
        end = self.began_us + self.fleet.scenario.duration_us
        return History(self.name, self.seed, self.variant, self.began_us, end, rows)

    def clear(self, keep: Path | None) -> None:
        """Delete the run's folder with each director's log, files and store. Copies it to `keep` first if
        given."""
        if keep is not None:
            shutil.copytree(self.harness.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.harness.folder, ignore_errors=True)
