"""A small distribution tree with hollow directors in one event loop, for CI.

A run takes seconds and reports counts, bytes and table sizes."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from onyxwick.config.address import Address
from onyxwick.config.distribution import NodeConfig, Role
from onyxwick.core.clock import wall_us
from onyxwick.distribution.admission import AdmissionLimits
from onyxwick.lab.machines import CoordinatorEmulator
from onyxwick.lab.scale.hollow import HollowDirector, Observations, Shape
from onyxwick.lab.scale.sweeps import rows
from onyxwick.net.front import TICK_INTERVAL_S
from onyxwick.net.publisher_node import PublisherNode
from onyxwick.net.relay_node import RelayNode

CONDITION_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.01


@dataclass(frozen=True, slots=True)
class SmallPlan:
    """Sizes of a small run: `events` purges, a tenth as many changes of one row, `objects` requested."""

    directors: int = 6
    relays: int = 2
    caches: int = 12
    events: int = 40
    objects: int = 50
    slot: int = 0


@dataclass
class SmallReport:
    """Counts of a small run.

    `lines` is the total of delivered events. `tables` holds the size of the largest table of each kind at any
    director. `unsent_bytes` is the maximum of bytes that a relay queued for one connection, such as that of a
    subscriber that reads nothing.
    """

    plan: SmallPlan
    lines: int = 0
    sent_bytes: int = 0
    unsent_bytes: int = 0
    tables: dict[str, int] = field(default_factory=dict)


def node_config(name: str, role: Role, listen: Address, *parents: Address) -> NodeConfig:
    """Return a node's configuration with the same defaults as the configuration reader."""
    return NodeConfig(
        name, role, listen, tuple(parents), 256, AdmissionLimits(per_s=1_000), 60_000, 1e6, None, ()
    )


class SmallTree:
    """A distribution tree and its directors.

    `director` is the factory of directors; a test passes another one to plant a fault.
    """

    def __init__(
        self,
        plan: SmallPlan,
        director: Callable[[int, Shape, list[Address], Observations], HollowDirector] = HollowDirector,
    ) -> None:
        self.plan = plan
        base = f"127.{210 + plan.slot}.0"
        self.feed = CoordinatorEmulator((f"{base}.1", 7070), wall_us)
        root_at = (f"{base}.2", 7400)
        self.root = PublisherNode(node_config("root", Role.PUBLISHER, root_at, self.feed.address))
        addresses = [(f"{base}.{n + 3}", 7400) for n in range(plan.relays)]
        self.relays = [
            RelayNode(node_config(f"relay-{n}", Role.RELAY, address, root_at))
            for n, address in enumerate(addresses)
        ]
        self.observations = Observations()
        self.directors = [
            director(
                n,
                Shape.TREE,
                [addresses[n % plan.relays], addresses[(n + 1) % plan.relays]],
                self.observations,
            )
            for n in range(plan.directors)
        ]
        self.index = 0

    def publish_event(self, payload: dict[str, Any]) -> None:
        """Publish one event at the coordinator."""
        self.index += 1
        self.feed.tell(json.dumps({"index": self.index, **payload}).encode() + b"\n")

    def purge(self) -> None:
        """Publish a purge whose object name is its publication time in monotonic nanoseconds."""
        self.publish_event({"evict": {"ref": f"{time.monotonic_ns():016x}", "unix_ms": wall_us() // 1000}})

    def change(self, number: int) -> None:
        """Publish a change of one row."""
        row = rows(self.plan.caches)[2 + number % self.plan.caches] | {"started_ms": number}
        version = time.monotonic_ns() // 1000
        self.publish_event({"endpoints": {"version": version, "full": False, "servers": [row]}})

    async def wait_until(self, condition: Callable[[], bool]) -> None:
        """Wait for a condition. Raises TimeoutError if it does not hold within 20 s."""
        async with asyncio.timeout(CONDITION_TIMEOUT_S):
            while not condition():
                await asyncio.sleep(POLL_INTERVAL_S)

    def converged(self, events: int) -> bool:
        """Return whether all directors are at the publisher's cursor, which is at `events` or later."""
        cursor = self.root.replica.cursor
        return cursor.number >= events and all(d.position == cursor.packed for d in self.directors)

    async def run(self, stuck: bool = False) -> SmallReport:
        """Publish all events and wait until each director has applied them.

        With `stuck`, an additional subscriber reads nothing from its connection.
        """
        report = SmallReport(self.plan)
        await self.feed.listen()
        self.publish_event({"endpoints": {"version": 0, "full": True, "servers": rows(self.plan.caches)}})
        nodes = [asyncio.create_task(self.root.run())]
        nodes += [asyncio.create_task(relay.run()) for relay in self.relays]
        nodes.append(asyncio.create_task(self._record_loop_turns()))
        writer: asyncio.StreamWriter | None = None
        try:
            await self.wait_until(lambda: self.root.replica.cursor.number >= 1)
            for director in self.directors:
                director.start()
            await self.wait_until(lambda: self.converged(1))
            if stuck:
                writer = await self._connect_stuck_subscriber()
            await self._publish(report)
        finally:
            await self._close(nodes, writer)
        report.lines = len(self.observations.kinds)
        report.sent_bytes = sum(relay.server.sent_bytes for relay in self.relays)
        for director in self.directors:
            for name, size in director.tables().items():
                report.tables[name] = max(report.tables.get(name, 0), size)
        return report

    async def _record_loop_turns(self) -> None:
        """Report turns of the event loop to the directors' stall detectors, as the front does in service.

        A director that rests would otherwise take its next request for one after a stall, and wait.
        """
        while True:
            for director in self.directors:
                director.core.stalls.tick(time.monotonic())
            await asyncio.sleep(TICK_INTERVAL_S)

    async def _connect_stuck_subscriber(self) -> asyncio.StreamWriter:
        reader, writer = await asyncio.open_connection(*self.relays[0].config.listen, limit=64)
        writer.write(b"follow 0\n")
        # After this line, the small limit of the stream reader stops it from reading further.
        await reader.readline()
        return writer

    async def _publish(self, report: SmallReport) -> None:
        for number in range(self.plan.events):
            self.purge()
            if number % 10 == 0:
                self.change(number)
            await asyncio.sleep(0)
        for number in range(self.plan.objects):
            for director in self.directors:
                await director.send_request(f"{number:016x}", number)
        total = 1 + self.plan.events + (self.plan.events + 9) // 10
        await self.wait_until(lambda: self.converged(total))
        sizes = [c.unsent_bytes() for relay in self.relays for c in relay.server.connections]
        report.unsent_bytes = max(sizes, default=0)

    async def _close(self, nodes: list[asyncio.Task[None]], writer: asyncio.StreamWriter | None) -> None:
        if writer is not None:
            writer.transport.abort()
        await asyncio.gather(*(director.stop() for director in self.directors))
        for task in nodes:
            task.cancel()
        await asyncio.gather(*nodes, return_exceptions=True)
        await self.feed.mute()


def run_small_tree(plan: SmallPlan) -> SmallReport:
    """Run a small tree in a new event loop and return its report."""

    async def main() -> SmallReport:
        return await SmallTree(plan).run()

    return asyncio.run(main())
