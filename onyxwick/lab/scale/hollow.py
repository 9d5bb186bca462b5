"""Hollow directors: true core, router, membership, timers and feed follower; no clients, no caches.

Many live in one process, which is what makes a fleet of a thousand fit on one machine. What each applies is
recorded with the time from its publication, by the machine's monotonic clock.
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

DOCUMENTS = 64
"""Names of documents that a fleet's run publishes: doc-0 and so on."""


class Shape(Enum):
    """How directors get their events: from one coordinator, or through the distribution tree."""

    SINGLE = "single"
    TREE = "tree"


class ObservationKind(Enum):
    """What an observation is of."""

    PURGE = 0
    LIST = 1
    DOCUMENT = 2


class Observations:
    """What all directors of a process applied: kind, director, publication and delay, in columns."""

    def __init__(self) -> None:
        self.kinds, self.directors = array("b"), array("i")
        self.published_ns, self.delays_ms = array("q"), array("f")

    def add(self, kind: ObservationKind, director: int, published_ns: int) -> None:
        """One application now."""
        self.kinds.append(kind.value)
        self.directors.append(director)
        self.published_ns.append(published_ns)
        self.delays_ms.append((time.monotonic_ns() - published_ns) / 1e6)

    def columns(self) -> dict[str, bytes]:
        """All columns, as bytes, for another process."""
        return {
            "kinds": self.kinds.tobytes(),
            "directors": self.directors.tobytes(),
            "published_ns": self.published_ns.tobytes(),
            "delays_ms": self.delays_ms.tobytes(),
        }


class ObservedFeed(FeedIntake):
    """A director's feed intake that records what it receives; a purge's object is its publication time."""

    observations: Observations
    number = 0
    last_purge = 0
    disordered = 0

    def apply_purge(self, object_group: int, object_id: str | None, purged_at_us: int) -> None:
        """A purge, applied as ever; one not later than the last is counted as disorder."""
        super().apply_purge(object_group, object_id, purged_at_us)
        if object_id is not None:
            published = int(object_id, 16)
            self.disordered += published <= self.last_purge
            self.last_purge = max(self.last_purge, published)
            self.observations.add(ObservationKind.PURGE, self.number, published)

    def apply_endpoints(self, event: EndpointsChanged, addresses: dict[str, Address]) -> None:
        """A change of the list; its version is its publication in microseconds, if it has any."""
        super().apply_endpoints(event, addresses)
        if event.kind is EndpointListKind.CHANGE and event.version:
            self.observations.add(ObservationKind.LIST, self.number, event.version * 1000)

    def document(self, text: str) -> None:
        """A configuration document that came whole."""
        self.observations.add(ObservationKind.DOCUMENT, self.number, int(ujson.loads(text)["published_ns"]))


class InstantTransport:
    """A transport whose caches have everything."""

    async def run(self, order: AttemptSpec) -> AttemptOutcome:
        """Answers at once."""
        return AttemptOutcome(AttemptStatus.OK, AnswerDetail.HIT)


class HollowDirector:
    """One director without sockets but for its feed."""

    def __init__(self, number: int, shape: Shape, parents: Sequence[Address], observed: Observations) -> None:
        self.number, self.shape, self.parents, self.observed = number, shape, parents, observed
        self.counters = Counters()
        self.task: asyncio.Task[None] | None = None
        self.subscription: Subscription | None = None
        self.coordinator: CoordinatorFeed | None = None
        self.feed: DirectorFeed | None = None
        self.disordered = 0
        self.since_ns = time.monotonic_ns()
        self._begin()

    def _begin(self) -> None:
        own = replace(settings(), router_count=1000, zone_router_count=12, router_index=self.number)
        seed = random.Random(self.number).getrandbits(60)
        self.core = RequestEngine(own, seed, InstantTransport(), EndpointTable(), self.counters)
        self.intake = ObservedFeed(self.core.context)
        self.intake.observations, self.intake.number = self.observed, self.number
        self.core.feed = self.intake
        if self.shape is Shape.SINGLE:
            self.coordinator = CoordinatorFeed(self.core, self.counters, seed, directors=1000)
            self.coordinator.set_address(self.parents[0])
            return
        follower = Follower(len(self.parents), ReconnectDelays(seed, steady_us()))
        documents = {f"doc-{n}": self.intake.document for n in range(DOCUMENTS)}
        self.feed = DirectorFeed(self.core, self.counters, documents)
        self.subscription = Subscription(follower, self.parents, self.feed, self.counters)

    def _following(self) -> Coroutine[None, None, None]:
        if self.subscription is not None:
            return self.subscription.run()
        assert self.coordinator is not None
        return self.coordinator.follow()

    def start(self) -> None:
        """Begin to follow."""
        self.task = asyncio.get_running_loop().create_task(self._following())

    async def stop(self) -> None:
        """Follow no more; returns when the connection is closed."""
        if self.task is not None:
            self.task.cancel()
            await asyncio.gather(self.task, return_exceptions=True)
        self.disordered += self.intake.disordered

    async def restart(self) -> None:
        """Begin anew with nothing, as a new process would."""
        await self.stop()
        self.since_ns = time.monotonic_ns()
        self._begin()
        self.start()

    @property
    def place(self) -> int:
        """The last event's number as the feed counts it."""
        if self.feed is not None:
            return self.feed.cursor.packed
        assert self.coordinator is not None
        return self.coordinator.last_index

    def age_s(self) -> float | None:
        """Seconds since the publisher was last heard from; None where the feed does not tell."""
        if self.subscription is None:
            return None
        age = self.subscription.follower.staleness_us(steady_us())
        return None if age is None else age / 1e6

    def tables(self) -> dict[str, int]:
        """Sizes of what a director keeps: each has to have a bound that does not depend on its product with
        another."""
        out = {
            "purge_times": len(self.core.endpoints.purge_times),
            "router_purges": len(self.core.router.purges) if isinstance(self.core.router, Router) else 0,
            "caches": len(self.core.endpoints.listed),
            "requests": len(self.core.lifecycles),
        }
        if self.feed is not None:
            out |= {"feed_purges": len(self.feed.purges), "documents": len(self.feed.versions)}
        return out

    async def ask(self, name: str, number: int) -> None:
        """A made-up request."""
        request = ClientRequest(f"{number:016x}", "site-video", name, 0, 1, self.core.now(), 3_000_000)
        await self.core.serve(request, lambda answer: None)


@dataclass(frozen=True, slots=True)
class HostSpec:
    """The directors of one process, by number, each with its parents' addresses."""

    shape: Shape
    parents: dict[int, tuple[Address, ...]]
    requests_per_s: float


class HollowHost:
    """One process full of hollow directors, commanded through a pipe."""

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
        """Serve until the command to stop."""
        loop = asyncio.get_running_loop()
        loop.add_reader(self.pipe.fileno(), self._command)
        os.set_blocking(self.pipe.fileno(), True)  # the loop has it otherwise, and a report is long
        for director in self.directors:
            director.start()
        trickle = loop.create_task(self._trickle())
        await self.done.wait()
        loop.remove_reader(self.pipe.fileno())
        trickle.cancel()
        await asyncio.gather(*(director.stop() for director in self.directors))

    def _command(self) -> None:
        try:
            word, argument = self.pipe.recv()
        except EOFError:
            self.done.set()
            return
        match word:
            case "place":
                self.pipe.send([director.place for director in self.directors])
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

    async def _trickle(self) -> None:
        """Made-up requests, spread over all directors."""
        if self.spec.requests_per_s <= 0:
            return
        rng, number, rate = random.Random(1), 0, self.spec.requests_per_s * len(self.directors)
        while True:
            await asyncio.sleep(rng.expovariate(rate))
            number += 1
            director = rng.choice(self.directors)
            await director.ask(f"{int(rng.paretovariate(0.9)) % 5000:016x}", number)

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
            "since_ns": {director.number: director.since_ns for director in self.directors},
            "disordered": sum(d.disordered + d.intake.disordered for d in self.directors),
            "counts": dict(counts),
            "follower": dict(follower),
            "largest_tables": dict(tables),
            "empty_kb": self.empty_kb,
            "resident_kb": resident_kb(os.getpid()),
            "cpu_s": time.process_time(),
        }


def host_main(spec: HostSpec, pipe: Pipe) -> None:
    """The entry of a process of hollow directors."""
    logs.set_up(open(os.devnull, "w"))  # noqa: SIM115 - for as long as the process lives
    gc.set_threshold(20_000, 20, 100)  # as a director has it

    async def main() -> None:
        await HollowHost(spec, pipe).run()

    uvloop.run(main())


def coordinator_main(address: Address, pipe: Pipe) -> None:
    """The entry of a process with the lab's coordinator, which is given lines through a pipe."""
    from onyxwick.lab.machines import CoordinatorEmulator as Stand

    async def main() -> None:
        stand, done = Stand(address, steady_us), asyncio.Event()
        await stand.listen()

        def command() -> None:
            try:
                word, argument = pipe.recv()
            except EOFError:
                done.set()
                return
            if word == "tell":
                stand.tell(argument)
            elif word == "cpu":
                pipe.send((time.process_time(), resident_kb(os.getpid())))
            else:
                done.set()

        asyncio.get_running_loop().add_reader(pipe.fileno(), command)
        await done.wait()
        await stand.mute()

    uvloop.run(main())
