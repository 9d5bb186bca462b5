"""Hollow directors: the real core, router, membership, timers and feed follower, without clients or caches.

Many hollow directors share one process, so that a fleet of a thousand fits on one machine. Every event that a
director applies is recorded with the time since its publication, by the machine's monotonic clock.
"""

from __future__ import annotations

import asyncio
import gc
import os
import random
import time
from array import array
from collections import Counter
from collections.abc import Coroutine, Sequence
from dataclasses import dataclass, replace
from enum import Enum
from multiprocessing.connection import Connection as Pipe
from typing import Any

import ujson
import uvloop

from onyxwick import logs
from onyxwick.config.address import Address
from onyxwick.core import AttemptOutcome, AttemptSpec, ClientRequest, RequestEngine
from onyxwick.core.clock import steady_us
from onyxwick.core.endpoints import EndpointTable
from onyxwick.core.feed_intake import FeedIntake
from onyxwick.counters import Counters
from onyxwick.distribution.follower import Follower
from onyxwick.interface import AnswerDetail, AttemptStatus, EndpointListKind, EndpointsChanged
from onyxwick.lab.scale.processes import resident_kb
from onyxwick.lab.scale.sweeps import settings
from onyxwick.net.coordinator_feed import CoordinatorFeed
from onyxwick.net.director_feed import DirectorFeed
from onyxwick.net.subscription import ReconnectDelays, Subscription
from onyxwick.routing import Router

DOC_COUNT = 64
"""Number of document names that a fleet run publishes: `doc-0`, `doc-1` and so on."""


class Shape(Enum):
    """How directors receive events: from a single coordinator, or through the distribution tree."""

    SINGLE = "single"
    TREE = "tree"


class ObservationKind(Enum):
    """The kind of event that an observation records."""

    PURGE = 0
    LIST = 1
    DOCUMENT = 2


class Observations:
    """The events that all directors of a process applied.

    The columns are kind, director, publication time and delay.
    """

    def __init__(self) -> None:
        self.kinds, self.directors = array("b"), array("i")
        self.published_ns, self.delays_ms = array("q"), array("f")

    def add(self, kind: ObservationKind, director: int, published_ns: int) -> None:
        """Record that a director applies an event now."""
        self.kinds.append(kind.value)
        self.directors.append(director)
        self.published_ns.append(published_ns)
        self.delays_ms.append((time.monotonic_ns() - published_ns) / 1e6)

    def columns(self) -> dict[str, bytes]:
        """Return all columns as bytes, to be sent to another process."""
        return {
            "kinds": self.kinds.tobytes(),
            "directors": self.directors.tobytes(),
            "published_ns": self.published_ns.tobytes(),
            "delays_ms": self.delays_ms.tobytes(),
        }


class ObservedFeed(FeedIntake):
    """A director's feed intake that records each event; a purge's object name is its publication time."""

    observations: Observations
    number = 0
    last_purge = 0
    disordered = 0

    def apply_purge(self, object_group: int, object_id: str | None, purged_at_us: int) -> None:
        """Apply and record a purge; count it as disordered if it was not published after the latest one."""
        super().apply_purge(object_group, object_id, purged_at_us)
        if object_id is not None:
            published = int(object_id, 16)
            self.disordered += published <= self.last_purge
            self.last_purge = max(self.last_purge, published)
            self.observations.add(ObservationKind.PURGE, self.number, published)

    def apply_endpoints(self, event: EndpointsChanged, addresses: dict[str, Address]) -> None:
        """Apply an endpoint list event; record a change whose version (publication time in us) is not 0."""
        super().apply_endpoints(event, addresses)
        if event.kind is EndpointListKind.CHANGE and event.version:
            self.observations.add(ObservationKind.LIST, self.number, event.version * 1000)

    def document(self, text: str) -> None:
        """Record a configuration document that was received completely."""
        self.observations.add(ObservationKind.DOCUMENT, self.number, int(ujson.loads(text)["published_ns"]))


class InstantTransport:
    """A transport whose caches answer every attempt at once with a hit."""

    async def run(self, order: AttemptSpec) -> AttemptOutcome:
        """Return a hit at once."""
        return AttemptOutcome(AttemptStatus.OK, AnswerDetail.HIT)


class HollowDirector:
    """A director without sockets other than its feed connection.

    "Hollow" is the term of scale tests, as in the hollow nodes of Kubernetes: the control code is real, the
    load behind it is left out.
    """

    def __init__(
        self, number: int, shape: Shape, parents: Sequence[Address], shared_observations: Observations
    ) -> None:
        self.number, self.shape, self.parents, self.shared_observations = (
            number,
            shape,
            parents,
            shared_observations,
        )
        self.counters = Counters()
        self.task: asyncio.Task[None] | None = None
        self.subscription: Subscription | None = None
        self.coordinator: CoordinatorFeed | None = None
        self.feed: DirectorFeed | None = None
        self.disordered = 0
        self.started_ns = time.monotonic_ns()
        self._create_core()

    def _create_core(self) -> None:
        own = replace(settings(), router_count=1000, zone_router_count=12, router_index=self.number)
        seed = random.Random(self.number).getrandbits(60)
        self.core = RequestEngine(own, seed, InstantTransport(), EndpointTable(), self.counters)
        self.intake = ObservedFeed(self.core.context)
        self.intake.observations, self.intake.number = self.shared_observations, self.number
        self.core.feed = self.intake
        if self.shape is Shape.SINGLE:
            self.coordinator = CoordinatorFeed(self.core, self.counters, seed, directors=1000)
            self.coordinator.set_address(self.parents[0])
            return
        follower = Follower(len(self.parents), ReconnectDelays(seed, steady_us()))
        documents = {f"doc-{n}": self.intake.document for n in range(DOC_COUNT)}
        self.feed = DirectorFeed(self.core, self.counters, documents)
        self.subscription = Subscription(follower, self.parents, self.feed, self.counters)

    def _follow(self) -> Coroutine[None, None, None]:
        if self.subscription is not None:
            return self.subscription.run()
        assert self.coordinator is not None
        return self.coordinator.follow()

    def start(self) -> None:
        """Start to follow the feed."""
        self.task = asyncio.get_running_loop().create_task(self._follow())

    async def stop(self) -> None:
        """Stop following the feed and return when the connection is closed."""
        if self.task is not None:
            self.task.cancel()
            await asyncio.gather(self.task, return_exceptions=True)
        self.disordered += self.intake.disordered

    async def restart(self) -> None:
        """Restart with empty state, as a new process would."""
        await self.stop()
        self.started_ns = time.monotonic_ns()
        self._create_core()
        self.start()

    @property
    def position(self) -> int:
        """The number of the last applied event, as the feed counts events."""
        if self.feed is not None:
            return self.feed.cursor.packed
        assert self.coordinator is not None
        return self.coordinator.last_index

    def age_s(self) -> float | None:
        """Return the seconds since data from the publisher, None if the feed does not report that."""
        if self.subscription is None:
            return None
        age = self.subscription.follower.staleness_us(steady_us())
        return None if age is None else age / 1e6

    def tables(self) -> dict[str, int]:
        """Return the sizes of a director's tables.

        Each needs a bound that does not depend on the product of its size with another one.
        """
        out = {
            "purge_times": len(self.core.endpoints.purge_times),
            "router_purges": len(self.core.router.purges) if isinstance(self.core.router, Router) else 0,
            "caches": len(self.core.endpoints.listed),
            "requests": len(self.core.lifecycles),
        }
        if self.feed is not None:
            out |= {"feed_purges": len(self.feed.purges), "documents": len(self.feed.versions)}
        return out

    async def send_request(self, name: str, number: int) -> None:
        """Serve a synthetic request for an object; the answer is discarded."""
        request = ClientRequest(f"{number:016x}", "site-video", name, 0, 1, self.core.now(), 3_000_000)
        await self.core.serve(request, lambda answer: None)


@dataclass(frozen=True, slots=True)
class HostSpec:
    """The directors of one process: parent addresses by director number, and requests/s per director."""

    shape: Shape
    parents: dict[int, tuple[Address, ...]]
    requests_per_s: float


class HollowHost:
    """A process of hollow directors that is commanded through a pipe."""

    def __init__(self, spec: HostSpec, pipe: Pipe) -> None:
        self.spec, self.pipe = spec, pipe
        self.observations = Observations()
        self.empty_kb = resident_kb(os.getpid())
        self.directors = [
            HollowDirector(number, spec.shape, parents, self.observations)
            for number, parents in spec.parents.items()
        ]
        self.done = asyncio.Event()

    async def run(self) -> None:
        """Run the directors until the stop command arrives or the pipe is closed."""
        loop = asyncio.get_running_loop()
        loop.add_reader(self.pipe.fileno(), self._command)
        # add_reader makes the pipe non-blocking, but a report is long and has to be written in one call.
        os.set_blocking(self.pipe.fileno(), True)
        for director in self.directors:
            director.start()
        request_task = loop.create_task(self._send_requests())
        await self.done.wait()
        loop.remove_reader(self.pipe.fileno())
        request_task.cancel()
        await asyncio.gather(*(director.stop() for director in self.directors))

    def _command(self) -> None:
        try:
            command_name, argument = self.pipe.recv()
        except EOFError:
            self.done.set()
            return
        match command_name:
            case "place":
                self.pipe.send([director.position for director in self.directors])
            case "cpu":
                self.pipe.send((time.process_time(), resident_kb(os.getpid())))
            case "ages":
                self.pipe.send([age for director in self.directors if (age := director.age_s()) is not None])
            case "restart":
                chosen = [d for d in self.directors if d.number in argument]
                task = asyncio.get_running_loop().create_task(self._restart(chosen))
                task.add_done_callback(lambda _: self.pipe.send(len(chosen)))
            case "report":
                self.pipe.send(self._report())
            case "stop":
                self.done.set()

    @staticmethod
    async def _restart(chosen: list[HollowDirector]) -> None:
        await asyncio.gather(*(director.restart() for director in chosen))

    async def _send_requests(self) -> None:
        """Send synthetic requests, spread randomly over all directors."""
        if self.spec.requests_per_s <= 0:
            return
        rng, number, rate = random.Random(1), 0, self.spec.requests_per_s * len(self.directors)
        while True:
            await asyncio.sleep(rng.expovariate(rate))
            number += 1
            director = rng.choice(self.directors)
            await director.send_request(f"{int(rng.paretovariate(0.9)) % 5000:016x}", number)

    def _report(self) -> dict[str, Any]:
        counts: Counter[str] = Counter()
        follower: Counter[str] = Counter()
        tables: Counter[str] = Counter()
        for director in self.directors:
            counts.update(director.counters.counts)
            if director.subscription is not None:
                follower.update(director.subscription.follower.counts)
            for name, size in director.tables().items():
                tables[name] = max(tables[name], size)
        return {
            "observations": self.observations.columns(),
            "since_ns": {director.number: director.started_ns for director in self.directors},
            "disordered": sum(d.disordered + d.intake.disordered for d in self.directors),
            "counts": dict(counts),
            "follower": dict(follower),
            "largest_tables": dict(tables),
            "empty_kb": self.empty_kb,
            "resident_kb": resident_kb(os.getpid()),
            "cpu_s": time.process_time(),
        }


def host_main(spec: HostSpec, pipe: Pipe) -> None:
    """Run a process of hollow directors; this is the process entry point."""
    logs.set_up(open(os.devnull, "w"))  # noqa: SIM115 - stays open for the lifetime of the process
    gc.set_threshold(20_000, 20, 100)  # the same thresholds as a real director

    async def main() -> None:
        await HollowHost(spec, pipe).run()

    uvloop.run(main())


def coordinator_main(address: Address, pipe: Pipe) -> None:
    """Run the coordinator emulator, which receives feed lines through a pipe.

    This is the process entry point.
    """
    from onyxwick.lab.machines import CoordinatorEmulator

    async def main() -> None:
        emulator, done = CoordinatorEmulator(address, steady_us), asyncio.Event()
        await emulator.listen()

        def command() -> None:
            try:
                command_name, argument = pipe.recv()
            except EOFError:
                done.set()
                return
            if command_name == "tell":
                emulator.tell(argument)
            elif command_name == "cpu":
                pipe.send((time.process_time(), resident_kb(os.getpid())))
            else:
                done.set()

        asyncio.get_running_loop().add_reader(pipe.fileno(), command)
        await done.wait()
        await emulator.mute()

    uvloop.run(main())
