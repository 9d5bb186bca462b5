"""A distribution tree on a made-up clock: the real state machines, links with faults drawn from a seed."""

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


class Waits:
    """Backoff for followers, drawn from the world's seed."""

    def __init__(self, rng: random.Random) -> None:
        self.rng, self.tries = rng, 0

    def next_delay_us(self) -> int:
        self.tries = min(self.tries + 1, 5)
        return int(self.rng.uniform(0.1, 1.0) * min(S, 100_000 << (self.tries - 1)))

    def reset(self) -> None:
        self.tries = 0


@dataclass(eq=False)
class Link:
    """One connection from a child to a parent. Lines arrive in order unless a fault says otherwise."""

    child: Node
    parent: Node
    subscriber: Subscriber
    free_at: int = 0
    in_flight: int = 0
    open: bool = True


@dataclass
class Faults:
    """Chances for each line, and bytes a second of a link (0: no bound)."""

    drop: float = 0.0
    repeat: float = 0.0
    swap: float = 0.0
    garble: float = 0.0
    bytes_per_s: int = 0


@dataclass(eq=False)
class Node:
    """A relay, the root (no follower) or a leaf (no subscribers). What was applied, in order, is kept."""

    world: World
    name: str
    parents: tuple[str, ...] = ()
    log_bytes: int = 200_000
    links: list[Link] = field(default_factory=list)
    up: Link | None = None
    alive: bool = True
    paused: bool = False
    applied: list[tuple[Cursor, PurgeEvent]] = field(default_factory=list)
    installed: int = 0
    cursors: list[Cursor] = field(default_factory=list)
    seen: dict[PurgeKey, int] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.begin()

    def begin(self) -> None:
        """Start, or start anew with nothing."""
        self.replica = Replica(self.log_bytes, RETENTION_MS)
        limits = FanOutLimits(max_subscribers=64, high_water_bytes=16_384)
        self.fanout = FanOut(self.replica, limits, authoritative=not self.parents)
        self.follower: Follower | None = None
        if self.parents:
            waits = Waits(self.world.rng)
            self.follower = Follower(
                len(self.parents), waits, limits=FollowerLimits(return_to_first_after_us=20 * S)
            )

    # ---- the follower's side ------------------------------------------------------------------------------

    def act(self, actions: Sequence[Action]) -> None:
        for action in actions:
            match action:
                case ConnectToParent(parent):
                    self.world.connect(self, self.world.nodes[self.parents[parent]])
                case SendLine(data):
                    self.world.at(self.world.delay(), partial(self.world.asked, self.up, data))
                case DisconnectFromParent():
                    self.world.end(self.up)
                    self.up = None
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
        """As a director does: what came by itself and again in a snapshot is applied once."""
        if self.seen.get(purge.key, -1) < purge.unix_ms:
            self.seen[purge.key] = purge.unix_ms
            self.applied.append((cursor, purge))

    def install(self, snapshot: FeedSnapshot) -> None:
        self.installed += 1
        self.cursors.append(snapshot.cursor)
        self.replica.install(snapshot)
        self.published()

    def published(self) -> None:
        for link in list(self.links):
            self.world.pump(link)


class World:
    """All nodes and links, on one clock."""

    def __init__(self, seed: int, faults: Faults | None = None) -> None:
        self.rng = random.Random(seed)
        self.now, self.count = START, 0
        self.due: list[tuple[int, int, Callable[[], None]]] = []
        self.faults = faults or Faults()
        self.nodes: dict[str, Node] = {}
        self.cuts: set[frozenset[str]] = set()
        self.published: list[PurgeEvent] = []
        root = self.root = self.nodes["root"] = Node(self, "root")
        root.replica.log.restart(Cursor(self.now // S, 0))
        self.publisher = Publisher(root.replica, self.now, PublisherLimits(bulk_bytes_per_s=100_000))
        self.fresh = True
        self.at(0, self.beat)

    def add(self, name: str, *parents: str, log_bytes: int = 200_000) -> Node:
        node = self.nodes[name] = Node(self, name, parents, log_bytes)
        assert node.follower is not None
        node.act(node.follower.start(self.now, int(self.rng.random() * 100_000)))
        return node

    # ---- the clock ----------------------------------------------------------------------------------------

    def at(self, delay_us: int, callback: Callable[[], None]) -> None:
        self.count += 1
        heapq.heappush(self.due, (self.now + delay_us, self.count, callback))

    def run(self, seconds: float) -> None:
        end = self.now + int(seconds * S)
        while self.due and self.due[0][0] <= end:
            at, _, callback = heapq.heappop(self.due)
            self.now = max(self.now, at)
            callback()
        self.now = end

    def delay(self) -> int:
        return int(self.rng.uniform(500, 20_000))

    def beat(self) -> None:
        """Timers of all nodes, each tick."""
        if self.fresh:
            self.root.fanout.on_freshness(Freshness(self.root.replica.cursor, self.now // 1000))
        for node in self.nodes.values():
            if not node.alive or node.paused:
                continue
            if node.follower is not None:
                node.act(node.follower.on_tick(self.now))
            line = node.fanout.heartbeat(self.now)
            for link in list(node.links):
                self.pump(link)
                if line and link.in_flight == 0 and node.fanout.is_current(link.subscriber):
                    self.carry(link, line)
                elif node.fanout.close_reason(link.subscriber, link.in_flight, self.now):
                    self.end(link, tell_child=True)
        self.flush()
        self.at(TICK_US, self.beat)

    # ---- links --------------------------------------------------------------------------------------------

    def reachable(self, one: Node, other: Node) -> bool:
        return frozenset((one.name, other.name)) not in self.cuts

    def connect(self, child: Node, parent: Node) -> None:
        if not self.reachable(child, parent) or parent.paused:
            return  # no answer at all: the follower's own time-out ends it
        subscriber = parent.fanout.on_connected(self.now) if parent.alive else None
        if subscriber is None:
            self.at(self.delay(), lambda: self.lost(child, None))
            return
        link = child.up = Link(child, parent, subscriber)
        parent.links.append(link)
        self.at(self.delay(), lambda: self.come_up(link))

    def come_up(self, link: Link) -> None:
        if link.open and link.child.up is link and link.child.follower is not None:
            link.child.act(link.child.follower.on_connected(self.now))

    def asked(self, link: Link | None, data: bytes) -> None:
        if link is None or not link.open or not self.reachable(link.child, link.parent):
            return
        if not link.parent.fanout.on_follow(link.subscriber, decode_follow(data), self.now):
            self.end(link, tell_child=True)
        else:
            self.pump(link)

    def lost(self, child: Node, link: Link | None) -> None:
        if child.follower is not None and child.alive and child.up is link:
            child.up = None
            child.act(child.follower.on_connection_lost(self.now, "lost"))

    def end(self, link: Link | None, tell_child: bool = False) -> None:
        if link is None or not link.open:
            return
        link.open = False
        link.parent.links.remove(link)
        link.parent.fanout.on_closed(link.subscriber)
        if tell_child and self.reachable(link.child, link.parent):
            self.at(self.delay(), lambda: self.lost(link.child, link))

    def pump(self, link: Link) -> None:
        parent = link.parent
        while link.open and parent.alive and not parent.paused:
            room = parent.fanout.limits.high_water_bytes - link.in_flight
            data = parent.fanout.next_bytes(link.subscriber, room, self.now)
            if not data:
                return
            self.carry(link, data)

    def carry(self, link: Link, data: bytes) -> None:
        """Put lines on their way, with the faults of this world."""
        lines = data.splitlines()
        for line in lines:
            if self.rng.random() < self.faults.drop:
                continue
            if self.rng.random() < self.faults.garble:
                line = line[: self.rng.randrange(len(line) + 1)]
            copies = 2 if self.rng.random() < self.faults.repeat else 1
            for _ in range(copies):
                self.one(link, line)

    def one(self, link: Link, line: bytes) -> None:
        size = len(line)
        link.in_flight += size
        took = size * S // self.faults.bytes_per_s if self.faults.bytes_per_s else 0
        arrives = max(link.free_at, self.now + self.delay()) + took
        link.free_at = arrives
        if self.rng.random() < self.faults.swap:
            arrives -= 15_000
        self.at(max(0, arrives - self.now), lambda: self.arrived(link, line, size))

    def arrived(self, link: Link, line: bytes, size: int) -> None:
        link.in_flight -= size
        child = link.child
        if not link.open or child.up is not link or not child.alive or child.follower is None:
            return
        if not self.reachable(child, link.parent):
            return
        if child.paused:  # its socket holds the line until it wakes
            link.in_flight += size
            self.at(TICK_US, lambda: self.arrived(link, line, size))
            return
        if line:
            child.act(child.follower.on_line(self.now, line))
        self.pump(link)

    # ---- what is published, and faults of nodes -----------------------------------------------------------

    def flush(self) -> None:
        if not self.root.alive:
            return
        for event in self.publisher.take_due_events(self.now):
            self.root.replica.apply(event, self.now // 1000)
        self.root.published()

    def purge(self, name: str) -> None:
        purge = PurgeEvent(PurgeKey(name, None), self.now // 1000)
        self.publisher.submit(purge, self.now // 1000)
        self.published.append(purge)
        self.flush()

    def change(self, name: str, gone: bool = False, full: bool = False) -> None:
        state = "DELETED" if gone else "SERVING"
        row = CacheRow(name, gone, {"id": name, "addr": "10.0.0.1:5050", "state": state})
        self.publisher.submit(CacheListChange((row,), full, self.count), self.now // 1000)
        self.flush()

    def document(self, name: str, text: str) -> None:
        self.publisher.submit_document(name, text)
        self.flush()

    def kill(self, node: Node) -> None:
        node.alive = False
        for link in list(node.links):
            self.end(link, tell_child=True)
        self.end(node.up)
        node.up = None

    def restart(self, node: Node) -> None:
        """A process with nothing, but for what its tests keep of the one before."""
        node.alive = True
        node.begin()
        if node.follower is not None:
            node.act(node.follower.start(self.now))

    # ---- what must hold -----------------------------------------------------------------------------------

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

    def missing(self, node: Node, since_ms: int = 0) -> list[PurgeEvent]:
        had = {purge for _, purge in node.applied}
        return [purge for purge in self.published if purge not in had and purge.unix_ms >= since_ms]


# ---- for tests of one state machine ----------------------------------------------------------------------

HISTORY = 1_800_000_000
NOW_MS = START // 1000


class NoWait:
    """A backoff that does not wait."""

    def next_delay_us(self) -> int:
        return 0

    def reset(self) -> None:
        pass


def purge(number: int) -> FeedEvent:
    payload = PurgeEvent(PurgeKey(f"{number:016x}", None), NOW_MS + number)
    return codec.encode_event(Cursor(HISTORY, number), payload)


def filled(numbers: int, log_bytes: int = 200_000) -> Replica:
    replica = Replica(log_bytes)
    replica.log.restart(Cursor(HISTORY, 0))
    for number in range(1, numbers + 1):
        replica.apply(purge(number), NOW_MS)
    return replica


def following(cursor: Cursor = Cursor(HISTORY, 5)) -> Follower:  # noqa: B008
    follower = Follower(2, NoWait(), cursor)
    assert follower.start(START) == (ConnectToParent(0),)
    assert follower.on_connected(START) == (SendLine(b"follow %d\n" % cursor.packed),)
    return follower


def check_earlier_states_are_refused() -> None:
    for cursor in (Cursor(HISTORY, 4), Cursor(HISTORY - 1, 900)):
        follower = following()
        (gone,) = follower.on_line(START, codec.encode_snapshot_begin(cursor, 0))
        assert isinstance(gone, DisconnectFromParent)
        assert "stepback" in gone.reason
        assert follower.cursor == Cursor(HISTORY, 5)
