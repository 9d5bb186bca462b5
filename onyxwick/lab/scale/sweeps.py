"""In-process sweeps: the cost of one operation as its driver grows, measured over five or more sizes.

Each function sets up a case of one size and returns its figure. Clocks are simulated; processor time and
memory are real. Complete processes are measured in `processes.py`.
"""

from __future__ import annotations

import random
import tempfile
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import ujson

from onyxwick.core import AttemptOutcome, AttemptSpec, RequestEngine
from onyxwick.core.endpoints import EndpointTable
from onyxwick.counters import Counters
from onyxwick.distribution.codec import encode_event
from onyxwick.distribution.durable_feed import DurableFeed
from onyxwick.distribution.model import Cursor, PurgeEvent, PurgeKey
from onyxwick.distribution.replica import Replica
from onyxwick.interface import (
    AnswerDetail,
    AttemptEnded,
    AttemptStatus,
    EndpointListKind,
    EndpointsChanged,
    Event,
    ForwardRequest,
    ForwardWithFill,
    Member,
    MemberState,
    RequestArrived,
    RouterSettings,
    TimerFired,
)
from onyxwick.net.coordinator_feed import CoordinatorFeed
from onyxwick.routing import Router
from onyxwick.settings import SettingValues, read_settings
from onyxwick.store.engine import StoreEngine
from onyxwick.store.files import DiskFiles

SECOND_US = 1_000_000
START_US = 1_800_000_000 * SECOND_US
CONFIG = Path(__file__).parents[3] / "examples" / "config.json"
MEASURED_REQUESTS = 2_000
MAX_OPEN_REQUESTS = 40
POPULARITY_PERIODS = 2


@dataclass(frozen=True, slots=True)
class Sweep:
    """A measurement over sizes of a driver.

    `driver` and `unit` describe the figure in words; `measure` returns the figure for one size of the driver.
    """

    name: str
    driver: str
    unit: str
    sizes: Sequence[int]
    measure: Callable[[int], float]
    repeats: int = 5


class SweepClock:
    """A simulated clock in Unix microseconds."""

    def __init__(self) -> None:
        self.now = START_US

    def __call__(self) -> int:
        """Return the simulated time."""
        return self.now


class NoTransport:
    """A transport for cores that receive no requests; it performs no attempts."""

    async def run(self, order: AttemptSpec) -> AttemptOutcome:
        """Raise RuntimeError; a core without requests makes no attempts."""
        raise RuntimeError("a sweep without requests made an attempt, but its core has no caches")


class SynchronousEngine(RequestEngine):
    """A core that receives events outside an event loop, with timers fired explicitly."""

    def handle(self, *events: Event) -> None:
        """Pass events to the router, which processes due timers at the next event."""
        self.router.handle(self.now(), list(events))


def settings() -> RouterSettings:
    """Return the router settings of the example configuration."""
    return read_settings(SettingValues.from_json(ujson.loads(CONFIG.read_text())["settings"]))


def director_core(clock: Callable[[], int]) -> RequestEngine:
    """Return a director's core without clients or caches."""
    return SynchronousEngine(settings(), 7, NoTransport(), EndpointTable(), Counters(), clock)


def rows(caches: int, zone: str = "edge-1") -> list[dict[str, Any]]:
    """Return endpoint list rows of `caches` caches, a parent and an origin, as a coordinator sends them."""

    def row(name: str, kind: str, where: str, number: int) -> dict[str, Any]:
        return {
            "id": name,
            "addr": f"127.66.{number // 250}.{number % 250 + 1}:5050",
            "zone": where,
            "kind": kind,
            "cell": 0,
            "state": "SERVING",
            "weight": 1.0,
            "started_ms": 0,
        }

    out = [row("p0", "parent", "hub", 0), row("o0", "origin", "hub", 1)]
    return out + [row(f"c{n}", "box", zone, n + 2) for n in range(caches)]


def _list_event(index: int, servers: list[dict[str, Any]], full: bool) -> dict[str, Any]:
    return {"index": index, "endpoints": {"version": index, "full": full, "servers": servers}}


def _purge_event(index: int, now: int) -> dict[str, Any]:
    return {"index": index, "evict": {"ref": f"{index:016x}", "unix_ms": now // 1000}}


# ---- a director's control work --------------------------------------------------------------------------


def served_request_us(caches: int) -> float:
    """Return the router's processor time per request with `caches` caches in the director's zone."""
    router = Router(settings(), 7, START_US)
    members = [Member(f"c{n}", "edge-1", "box", 0, MemberState.READY, 1.0, 0) for n in range(caches)]
    members += [
        Member("p0", "hub", "parent", 0, MemberState.READY, 1.0, 0),
        Member("o0", "hub", "origin", 0, MemberState.READY, 1.0, 0),
    ]
    router.handle(START_US, [EndpointsChanged(EndpointListKind.SNAPSHOT, tuple(members))])
    out: list[tuple[str, str]] = []
    now, begin = START_US, time.process_time()
    for n in range(MEASURED_REQUESTS):
        now += 1_000
        ask = RequestArrived(f"r{n}", "site-video", f"o{n * 7919 % 5000}", 3 * SECOND_US, object_group=1)
        for action in router.handle(now, [ask]):
            if isinstance(action, ForwardRequest | ForwardWithFill):
                out.append((action.request_id, action.member))
        if len(out) > MAX_OPEN_REQUESTS:
            request, member = out.pop(0)
            end = AttemptEnded(
                request, 0, member, AttemptStatus.OK, MAX_OPEN_REQUESTS * 1_000, True, AnswerDetail.HIT
            )
            router.handle(now, [end])
    return (time.process_time() - begin) / MEASURED_REQUESTS * 1e6


def purge_ms_per_s(rate: int) -> float:
    """Return the processor time per second at `rate` purges/s, once the tables of recent purges are full."""
    clock = SweepClock()
    director = director_core(clock)
    step = SECOND_US // rate
    for n in range(12 * rate):
        clock.now += step
        director.feed.apply_purge(-1, f"{n:016x}", clock.now)
    measured = max(200, rate)
    begin = time.process_time()
    for n in range(measured):
        clock.now += step
        director.feed.apply_purge(-1, f"w{n:015x}", clock.now)
    return (time.process_time() - begin) / measured * rate * 1e3


def list_change_us(caches: int) -> float:
    """Return the processor time of a change of one row in a list of `caches` caches."""
    director, listed = _feed_with_list(caches)
    begin = time.process_time()
    for n in range(50):
        director.apply(_list_event(2 + n, [listed[2 + n % caches] | {"started_ms": n}], False))
    return (time.process_time() - begin) / 50 * 1e6


def list_full_ms(caches: int) -> float:
    """Return the processor time of a complete list of `caches` caches."""
    director, listed = _feed_with_list(caches)
    begin = time.process_time()
    for n in range(10):
        director.apply(_list_event(2 + n, listed, True))
    return (time.process_time() - begin) / 10 * 1e3


def _feed_with_list(caches: int) -> tuple[CoordinatorFeed, list[dict[str, Any]]]:
    clock = SweepClock()
    director = CoordinatorFeed(director_core(clock), Counters())
    listed = rows(caches)
    director.apply(_list_event(1, listed, True))
    return director, listed


def known_ms(events: int) -> float:
    """Return the processor time to load `events` events from the configuration at a start.

    The events are one list, then purges, with a list change as every tenth event.
    """
    clock = SweepClock()
    director = CoordinatorFeed(director_core(clock), Counters())
    listed = rows(190)
    updates = [_list_event(1, listed, True)]
    for n in range(2, events + 1):
        change = _list_event(n, [listed[2 + n % 190] | {"started_ms": n}], False)
        updates.append(change if n % 10 == 0 else _purge_event(n, START_US))
    begin = time.process_time()
    director.load_configured({"index": events, "updates": updates})
    return (time.process_time() - begin) * 1e3


def _measure_popularity(objects: int) -> tuple[float, float]:
    """Measure the popularity step with `objects` objects counted, over two of its periods.

    Return the processor seconds per period and those of the longest turn of the event loop.
    """
    rng = random.Random(objects)
    router = Router(settings(), 7, START_US)
    for n in range(objects):
        router.popularity.record_read(f"{n:016x}", START_US, rng.paretovariate(1.1))
    now, spent, longest = START_US, 0.0, 0.0
    end = START_US + POPULARITY_PERIODS * 2 * SECOND_US
    while now < end:
        begin = time.process_time()
        router.handle(now, [TimerFired("due")])
        took = time.process_time() - begin
        spent, longest = spent + took, max(longest, took)
        now = max(now + 1, deadlines[0].at_us if (deadlines := router.timers.deadlines) else end)
    return spent / POPULARITY_PERIODS, longest


def popularity_ms_per_s(objects: int) -> float:
    """Return the processor ms per second that the router's periodic step over its read counts takes."""
    return _measure_popularity(objects)[0] / 2 * 1e3


def popularity_turn_ms(objects: int) -> float:
    """Return the processor time of the popularity step's longest turn of the event loop."""
    return _measure_popularity(objects)[1] * 1e3


def counted_kb(objects: int) -> float:
    """Return the memory of the router's read counts of `objects` objects."""
    import tracemalloc

    router = Router(settings(), 7, START_US)
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    for n in range(objects):
        router.popularity.record_read(f"{n:016x}", START_US)
    grown = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    return grown / 1e3


# ---- the distribution tree ------------------------------------------------------------------------------


def _replica_with_purges(count: int) -> Replica:
    replica = Replica()
    replica.log.restart(Cursor(1, 0))
    for n in range(1, count + 1):
        purge = PurgeEvent(PurgeKey(f"{n:016x}", None), START_US // 1000)
        replica.apply(encode_event(Cursor(1, n), purge), START_US // 1000)
    return replica


def snapshot_ms(purges: int) -> float:
    """Return the processor time to make a snapshot with `purges` purges within their retention."""
    replica = _replica_with_purges(purges)
    begin = time.process_time()
    replica.snapshot_lines(START_US // 1000)
    return (time.process_time() - begin) * 1e3


def snapshot_kb(purges: int) -> float:
    """Return the size of a snapshot with `purges` purges within their retention."""
    return sum(map(len, _replica_with_purges(purges).snapshot_lines(START_US // 1000)[1])) / 1e3


def publish_us(purges: int) -> float:
    """Return the processor time to make a purge durable at the publisher, with `purges` in its store."""
    replica = Replica()
    with tempfile.TemporaryDirectory() as folder:
        feed = DurableFeed(StoreEngine(DiskFiles(Path(folder))))
        feed.load(replica, 1)
        events = [
            encode_event(Cursor(1, n), PurgeEvent(PurgeKey(f"{n:016x}", None), START_US // 1000))
            for n in range(1, purges + 101)
        ]
        for at in range(0, purges, 500):
            feed.save(events[at : min(at + 500, purges)], Cursor(0, 0), replica.state, START_US)
        begin = time.process_time()
        for event in events[purges:]:
            feed.save([event], Cursor(0, 0), replica.state, START_US)
        spent = time.process_time() - begin
        feed.engine.close()
    return spent / 100 * 1e6


def trace_bytes(requests: int) -> float:
    """Return the bytes of a trace of `requests` requests."""
    from onyxwick.lab.traces import make

    with tempfile.TemporaryDirectory() as folder:
        traces = make(Path(folder), 1, 200.0, max(1, requests // 200), 1)
        return float(sum(path.stat().st_size for path in traces.paths))


CACHE_COUNTS = (24, 48, 95, 190, 380, 760)
OBJECT_COUNTS = (3_000, 6_000, 12_000, 24_000, 30_000, 36_000, 48_000)
PURGE_COUNTS = (200, 400, 800, 1_600, 3_200)
SWEEPS = (
    Sweep(
        "served_request_us", "caches in the zone", "us a request", (2, 4, 8, 16, 32, 64), served_request_us
    ),
    Sweep("purge_ms_per_s", "purges a second", "ms a second", (5, 21, 42, 84, 168, 336), purge_ms_per_s),
    Sweep("list_change_us", "caches in the list", "us a change", CACHE_COUNTS, list_change_us),
    Sweep("list_full_ms", "caches in the list", "ms a list", CACHE_COUNTS, list_full_ms),
    Sweep("known_ms", "events at the start", "ms", (250, 500, 1000, 2000, 4000), known_ms, 3),
    Sweep("popularity_ms_per_s", "objects counted", "ms a second", OBJECT_COUNTS, popularity_ms_per_s),
    Sweep("popularity_turn_ms", "objects counted", "ms", OBJECT_COUNTS, popularity_turn_ms),
    Sweep("counted_kb", "objects counted", "kB", OBJECT_COUNTS, counted_kb, 2),
    Sweep("snapshot_ms", "binding purges", "ms", PURGE_COUNTS, snapshot_ms),
    Sweep("snapshot_kb", "binding purges", "kB", PURGE_COUNTS, snapshot_kb, 2),
    Sweep("publish_us", "binding purges stored", "us a purge", (100, 300, 900, 2_700, 8_100), publish_us, 3),
    Sweep("trace_bytes", "requests", "bytes", (2_000, 4_000, 8_000, 16_000, 32_000), trace_bytes, 2),
)
