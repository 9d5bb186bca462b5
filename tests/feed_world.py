"""A distribution tree on a simulated clock: the real state machines, and links with seeded random faults."""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from functools import partial

from onyxwick.distribution import codec
from onyxwick.distribution.codec import decode_follow
from onyxwick.distribution.fanout import FanOut, FanOutLimits, Subscriber
from onyxwick.distribution.follower import Follower
from onyxwick.distribution.follower_actions import (
    Action,
    ConnectToParent,
    DeliverEvent,
    DisconnectFromParent,
    FollowerLimits,
    InstallSnapshot,
    RefreshFreshness,
    SendLine,
)
from onyxwick.distribution.model import (
    CacheListChange,
    CacheRow,
    Cursor,
    FeedEvent,
    Freshness,
    PurgeEvent,
    PurgeKey,
)
from onyxwick.distribution.publisher import Publisher, PublisherLimits
from onyxwick.distribution.replica import FeedSnapshot, Replica

S = 1_000_000
START = 1_800_000_000 * S
TICK_US = 50_000
RETENTION_MS = 60_000


class JitteredBackoff:
    """Backoff for followers, with jitter from the seeded generator of the simulation."""

    def __init__(self, rng: random.Random) -> None:
        self.rng, self.tries = rng, 0

    def next_delay_us(self) -> int:
        self.tries = min(self.tries + 1, 5)
        return int(self.rng.uniform(0.1, 1.0) * min(S, 100_000 << (self.tries - 1)))

    def reset(self) -> None:
        self.tries = 0


@dataclass(eq=False)
class SimulatedLink:
    """One connection from a child to a parent. Lines arrive in order unless a fault reorders them."""

    child: SimulatedNode
    parent: SimulatedNode
    subscriber: Subscriber
    free_at_us: int = 0
    in_flight_bytes: int = 0
    open: bool = True


@dataclass
class LineFaults:
    """Fault probabilities per line, and the rate of a link in bytes per second (0 means unlimited)."""

    drop: float = 0.0
    repeat: float = 0.0
    swap: float = 0.0
    garble: float = 0.0
    bytes_per_s: int = 0


@dataclass(eq=False)
class SimulatedNode:
    """A relay, the root (no follower) or a leaf (no subscribers); records what it applied, in order."""

    world: SimulatedTree
    name: str
    parents: tuple[str, ...] = ()
    log_bytes: int = 200_000
    links: list[SimulatedLink] = field(default_factory=list)
    parent_link: SimulatedLink | None = None
    alive: bool = True
    paused: bool = False
    applied: list[tuple[Cursor, PurgeEvent]] = field(default_factory=list)
    installed: int = 0
    cursors: list[Cursor] = field(default_factory=list)
    purge_times: dict[PurgeKey, int] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.start_empty()

    def start_empty(self) -> None:
        """Start, or restart, with an empty replica."""
        self.replica = Replica(self.log_bytes, RETENTION_MS)
        limits = FanOutLimits(max_subscribers=64, high_water_bytes=16_384)
        self.fanout = FanOut(self.replica, limits, authoritative=not self.parents)
        self.follower: Follower | None = None
        if self.parents:
            waits = JitteredBackoff(self.world.rng)
            self.follower = Follower(
                len(self.parents), waits, limits=FollowerLimits(return_to_first_after_us=20 * S)
            )

    # ---- the follower's side ------------------------------------------------------------------------------

    def perform(self, actions: Sequence[Action]) -> None:
        for action in actions:
            match action:
                case ConnectToParent(parent):
                    self.world.connect(self, self.world.nodes[self.parents[parent]])
                case SendLine(data):
                    self.world.call_later(
                        self.world.random_delay_us(),
                        partial(self.world.receive_request, self.parent_link, data),
                    )
                case DisconnectFromParent():
                    self.world.close_link(self.parent_link)
                    self.parent_link = None
                case DeliverEvent(event, from_snapshot):
                    self.deliver(event, from_snapshot)
                case InstallSnapshot(snapshot):
                    self.install(snapshot)
                case RefreshFreshness(freshness):
                    self.fanout.on_freshness(freshness)

    def deliver(self, event: FeedEvent, from_snapshot: bool) -> None:
        if isinstance(event.payload, PurgeEvent):
            self.purge(event.cursor, event.payload)
        if not from_snapshot:
            self.cursors.append(event.cursor)
            self.replica.apply(event, self.world.now // 1000)
            self.published()

    def purge(self, cursor: Cursor, purge: PurgeEvent) -> None:
        """Apply a purge once, as a director does, even if it arrives as an event and in a snapshot."""
        if self.purge_times.get(purge.key, -1) < purge.unix_ms:
            self.purge_times[purge.key] = purge.unix_ms
            self.applied.append((cursor, purge))

    def install(self, snapshot: FeedSnapshot) -> None:
        self.installed += 1
        self.cursors.append(snapshot.cursor)
        self.replica.install(snapshot)
        self.published()

    def published(self) -> None:
        for link in list(self.links):
            self.world.send_available(link)


class SimulatedTree:
    """All nodes and links, on one clock."""

    def __init__(self, seed: int, faults: LineFaults | None = None) -> None:
        self.rng = random.Random(seed)
        self.now, self.count = START, 0
        self.timers: list[tuple[int, int, Callable[[], None]]] = []
        self.faults = faults or LineFaults()
        self.nodes: dict[str, SimulatedNode] = {}
        self.cut_pairs: set[frozenset[str]] = set()
        self.published: list[PurgeEvent] = []
        root = self.root = self.nodes["root"] = SimulatedNode(self, "root")
        root.replica.log.restart(Cursor(self.now // S, 0))
        self.publisher = Publisher(root.replica, self.now, PublisherLimits(bulk_bytes_per_s=100_000))
        self.publisher_is_fresh = True
        self.call_later(0, self.tick_all)

    def add(self, name: str, *parents: str, log_bytes: int = 200_000) -> SimulatedNode:
        node = self.nodes[name] = SimulatedNode(self, name, parents, log_bytes)
        assert node.follower is not None
        node.perform(node.follower.start(self.now, int(self.rng.random() * 100_000)))
        return node

    # ---- the clock ----------------------------------------------------------------------------------------

    def call_later(self, delay_us: int, callback: Callable[[], None]) -> None:
        self.count += 1
        heapq.heappush(self.timers, (self.now + delay_us, self.count, callback))

    def run(self, seconds: float) -> None:
        end = self.now + int(seconds * S)
        while self.timers and self.timers[0][0] <= end:
            at, _, callback = heapq.heappop(self.timers)
            self.now = max(self.now, at)
            callback()
        self.now = end

    def random_delay_us(self) -> int:
        return int(self.rng.uniform(500, 20_000))

    def tick_all(self) -> None:
        """Run the timers of all nodes, once per tick."""
        if self.publisher_is_fresh:
            self.root.fanout.on_freshness(Freshness(self.root.replica.cursor, self.now // 1000))
        for node in self.nodes.values():
            if not node.alive or node.paused:
                continue
            if node.follower is not None:
                node.perform(node.follower.on_tick(self.now))
            line = node.fanout.heartbeat(self.now)
            for link in list(node.links):
                self.send_available(link)
                if line and link.in_flight_bytes == 0 and node.fanout.is_current(link.subscriber):
                    self.send_lines(link, line)
                elif node.fanout.close_reason(link.subscriber, link.in_flight_bytes, self.now):
                    self.close_link(link, tell_child=True)
        self.publish_due()
        self.call_later(TICK_US, self.tick_all)

    # ---- links --------------------------------------------------------------------------------------------

    def is_reachable(self, one: SimulatedNode, other: SimulatedNode) -> bool:
        return frozenset((one.name, other.name)) not in self.cut_pairs

    def connect(self, child: SimulatedNode, parent: SimulatedNode) -> None:
        if not self.is_reachable(child, parent) or parent.paused:
            return  # no answer: the follower's connect timeout ends the attempt
        subscriber = parent.fanout.on_connected(self.now) if parent.alive else None
        if subscriber is None:
            self.call_later(self.random_delay_us(), lambda: self.report_lost(child, None))
            return
        link = child.parent_link = SimulatedLink(child, parent, subscriber)
        parent.links.append(link)
        self.call_later(self.random_delay_us(), lambda: self.establish(link))

    def establish(self, link: SimulatedLink) -> None:
        if link.open and link.child.parent_link is link and link.child.follower is not None:
            link.child.perform(link.child.follower.on_connected(self.now))

    def receive_request(self, link: SimulatedLink | None, data: bytes) -> None:
        if link is None or not link.open or not self.is_reachable(link.child, link.parent):
            return
        if not link.parent.fanout.on_follow(link.subscriber, decode_follow(data), self.now):
            self.close_link(link, tell_child=True)
        else:
            self.send_available(link)

    def report_lost(self, child: SimulatedNode, link: SimulatedLink | None) -> None:
        if child.follower is not None and child.alive and child.parent_link is link:
            child.parent_link = None
            child.perform(child.follower.on_connection_lost(self.now, "lost"))

    def close_link(self, link: SimulatedLink | None, tell_child: bool = False) -> None:
        if link is None or not link.open:
            return
        link.open = False
        link.parent.links.remove(link)
        link.parent.fanout.on_closed(link.subscriber)
        if tell_child and self.is_reachable(link.child, link.parent):
            self.call_later(self.random_delay_us(), lambda: self.report_lost(link.child, link))

    def send_available(self, link: SimulatedLink) -> None:
        parent = link.parent
        while link.open and parent.alive and not parent.paused:
            room = parent.fanout.limits.high_water_bytes - link.in_flight_bytes
            data = parent.fanout.next_bytes(link.subscriber, room, self.now)
            if not data:
                return
            self.send_lines(link, data)

    def send_lines(self, link: SimulatedLink, data: bytes) -> None:
        """Send lines, applying the faults of this simulation."""
        lines = data.splitlines()
        for line in lines:
            if self.rng.random() < self.faults.drop:
                continue
            if self.rng.random() < self.faults.garble:
                line = line[: self.rng.randrange(len(line) + 1)]
            copies = 2 if self.rng.random() < self.faults.repeat else 1
            for _ in range(copies):
                self.send_line(link, line)

    def send_line(self, link: SimulatedLink, line: bytes) -> None:
        size = len(line)
        link.in_flight_bytes += size
        took = size * S // self.faults.bytes_per_s if self.faults.bytes_per_s else 0
        arrives = max(link.free_at_us, self.now + self.random_delay_us()) + took
        link.free_at_us = arrives
        if self.rng.random() < self.faults.swap:
            arrives -= 15_000
        self.call_later(max(0, arrives - self.now), lambda: self.receive_line(link, line, size))

    def receive_line(self, link: SimulatedLink, line: bytes, size: int) -> None:
        link.in_flight_bytes -= size
        child = link.child
        if not link.open or child.parent_link is not link or not child.alive or child.follower is None:
            return
        if not self.is_reachable(child, link.parent):
            return
        if child.paused:  # the line stays in the socket buffer until the node resumes
            link.in_flight_bytes += size
            self.call_later(TICK_US, lambda: self.receive_line(link, line, size))
            return
        if line:
            child.perform(child.follower.on_line(self.now, line))
        self.send_available(link)

    # ---- publishing and node faults -----------------------------------------------------------

    def publish_due(self) -> None:
        if not self.root.alive:
            return
        for event in self.publisher.take_due_events(self.now):
            self.root.replica.apply(event, self.now // 1000)
        self.root.published()

    def publish_purge(self, name: str) -> None:
        purge = PurgeEvent(PurgeKey(name, None), self.now // 1000)
        self.publisher.submit(purge, self.now // 1000)
        self.published.append(purge)
        self.publish_due()

    def publish_change(self, name: str, deleted: bool = False, full: bool = False) -> None:
        state = "DELETED" if deleted else "SERVING"
        row = CacheRow(name, deleted, {"id": name, "addr": "10.0.0.1:5050", "state": state})
        self.publisher.submit(CacheListChange((row,), full, self.count), self.now // 1000)
        self.publish_due()

    def publish_document(self, name: str, text: str) -> None:
        self.publisher.submit_document(name, text)
        self.publish_due()

    def kill(self, node: SimulatedNode) -> None:
        node.alive = False
        for link in list(node.links):
            self.close_link(link, tell_child=True)
        self.close_link(node.parent_link)
        node.parent_link = None

    def restart(self, node: SimulatedNode) -> None:
        """Start a new process with an empty replica; the record of applied purges stays for the checks."""
        node.alive = True
        node.start_empty()
        if node.follower is not None:
            node.perform(node.follower.start(self.now))

    # ---- invariants -----------------------------------------------------------------------------------

    def check_order(self) -> None:
        for node in self.nodes.values():
            purges = [purge for _, purge in node.applied]
            assert len(set(purges)) == len(purges), f"{node.name} applied a purge twice"

    def check_converged(self) -> None:
        state = self.root.replica.state
        for node in self.nodes.values():
            assert node.replica.cursor == self.root.replica.cursor, f"{node.name} has not converged"
            assert node.replica.state.rows == state.rows, node.name
            assert node.replica.state.documents == state.documents, node.name

    def missing_purges(self, node: SimulatedNode, since_ms: int = 0) -> list[PurgeEvent]:
        applied = {purge for _, purge in node.applied}
        return [purge for purge in self.published if purge not in applied and purge.unix_ms >= since_ms]


# ---- for tests of one state machine ----------------------------------------------------------------------

HISTORY = 1_800_000_000
NOW_MS = START // 1000


class ImmediateBackoff:
    """A backoff that does not wait."""

    def next_delay_us(self) -> int:
        return 0

    def reset(self) -> None:
        pass


def purge_event(number: int) -> FeedEvent:
    payload = PurgeEvent(PurgeKey(f"{number:016x}", None), NOW_MS + number)
    return codec.encode_event(Cursor(HISTORY, number), payload)


def filled_replica(numbers: int, log_bytes: int = 200_000) -> Replica:
    replica = Replica(log_bytes)
    replica.log.restart(Cursor(HISTORY, 0))
    for number in range(1, numbers + 1):
        replica.apply(purge_event(number), NOW_MS)
    return replica


def connected_follower(cursor: Cursor = Cursor(HISTORY, 5)) -> Follower:  # noqa: B008
    follower = Follower(2, ImmediateBackoff(), cursor)
    assert follower.start(START) == (ConnectToParent(0),)
    assert follower.on_connected(START) == (SendLine(b"follow %d\n" % cursor.packed),)
    return follower


def check_earlier_states_are_rejected() -> None:
    for cursor in (Cursor(HISTORY, 4), Cursor(HISTORY - 1, 900)):
        follower = connected_follower()
        (action,) = follower.on_line(START, codec.encode_snapshot_begin(cursor, 0))
        assert isinstance(action, DisconnectFromParent)
        assert "stepback" in action.reason
        assert follower.cursor == Cursor(HISTORY, 5)
