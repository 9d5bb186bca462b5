"""All decisions of the request router. The types spoken here are in onyxwick/interface.py.

The mechanism is Adapt-L's online part: each router ranks objects by its own windowed counts into gold
(kept, top rank), silver (kept, lowest rank) and bronze (passed through unkept); the cache and the parent
of an object are chosen by hashes that all routers share. Everything else guards that mechanism.
"""

from __future__ import annotations

import heapq
import math
import random
from bisect import bisect_left, bisect_right
from collections import deque
from dataclasses import dataclass, field, replace
from functools import lru_cache
from hashlib import blake2b

from onyxwick.interface import (
    Action,
    AnswerDetail,
    AnswerDetailLevel,
    AttemptEnded,
    AttemptStatus,
    CancelAttempt,
    ClientDisconnected,
    EndpointListKind,
    EndpointsChanged,
    Event,
    FailRequest,
    FillOption,
    FleetShareChanged,
    ForwardRequest,
    ForwardWithFill,
    Idempotency,
    KeyScope,
    Member,
    MemberState,
    ObjectsPurged,
    RejectRequest,
    RequestArrived,
    RequestClass,
    RetryReserveChanged,
    RouterSettings,
    SetTimer,
    SiblingFills,
    SubscribeToEndpoints,
    WeightSource,
)

S = 1_000_000  # microseconds in a second

# Popularity: DESIGN's values.
HALF_LIFE_US = 10 * S  # counts halve in this time; also the window in which hits make up B
STEP_US = 2 * S  # thresholds are set anew this often
ALPHA = 0.2  # gold's share of one cache's room B
T2_STEP = 0.02  # of the table: how far T2 moves in one step; small, so that its effect can be seen
FILL_GROWTH = 1.2  # of the fill latency from step to step that counts as slower
TABLE_MAX = 50_000  # objects counted at once; far over what a window brings, a bound on memory
HOT_SHARE = 0.1  # of one cache's link taken by one part: above it the part is served by two caches in turn
GOLD_RANK, SILVER_RANK = 3, 1

# Health.
EJECT_AT = 0.3  # failing share (weighted to the last few answers) at which a member is ejected
BROKEN = 0.5  # of a failure: a connection that broke, as that is no proof against the member behind it
BROKE_US = 50_000  # what breaks within this time broke together, with one connection: it counts once
BLAME = 0.2  # weight of one answer in that share: two failures in a row eject, one does not
EJECT_US, EJECT_MAX_US = 1 * S, 8 * S  # first and longest ejection; doubled each time in between
NOTICE_US = 5 * S  # the list tells of a restart within this time, as a rule
EJECT_MAX_SHARE = 0.5  # of a tier's members: no more are ejected on errors alone (silence always ejects)
PATIENCE = 4.0  # deviations over the mean latency after which an answer is overdue

# Cold members, overload, retries.
COLD_MARGIN = 0.5  # of what the rule allows a cold member: weights are rough and routers unevenly loaded
GOLDEN = 0.6180339887  # its multiples spread evenly over the unit interval, as do those of every n-th
DRAWN = 0.38  # link into a location over its caches' links: a quarter missed at full load, with its room
LINK_FOR = 6  # a location of fewer caches has a wider link, by the root of this over their number
PARENT_LINK = 3.9  # parent's link over a location's: made for four locations' fills at full load
GUESSED = 0.6  # of a size that is only guessed from the links: what a cold member is trusted to have
LOAD_SHARE = 0.9  # of the transfers that can share a link and still meet the aim
RETRY_SHARE = 0.2  # retries earned by each request
RETRY_BURST = 60.0  # retries that all routers together can save up
FAILED_STEPS = 3.0  # most steps of one failed fill: it halves a limit, however seldom its member is heard
SLOWEST = 0.3  # least part of a step by which a limit grows: in proportion below one, but never for good
JAMMED = 0.25  # share of late answers at which a time-out is laid to load, and not taken for lost
LATE_CUT, FAILED_CUT = 0.93, 0.8  # what one late answer, one failed fill leaves of the factor
ROOM_LEAST, ROOM_MOST = 0.02, 2.0  # bounds of the learned factor on a load limit
HEARD_US = 4 * S  # over which a member's answers are counted
HEARD_PER_S = 12.0  # answers a second for which the steps of a load limit are meant; fewer take longer steps
USED = 0.5  # of a load limit in use at an answer, for that answer to be evidence that the limit holds
BUSY_US, CALM = 2 * S, 0.5  # the mean's time, and the share of a part in use up to which all is lent
ROOM_STEP = 0.005  # gained by each answer in time: against LATE_CUT it sets the late share that is borne


@lru_cache(maxsize=1 << 12)  # what a moment asks for again and again
def _draw(key: str, address: str) -> float:
    """A stable exponential draw for a key at a member; the least, over its weight, comes first."""
    word = int.from_bytes(blake2b(f"{key}|{address}".encode(), digest_size=8).digest(), "big")
    return -math.log((word + 1) / (2**64 + 1))


class Learned:
    """Running mean and deviation of a latency, in microseconds."""

    def __init__(self, first: float) -> None:
        self.mean, self.dev = first, first / 2

    def add(self, value: float, weight: float = 0.05) -> None:
        self.dev += weight * (abs(value - self.mean) - self.dev)
        self.mean += weight * (value - self.mean)

    def late(self) -> float:
        return self.mean + PATIENCE * self.dev


@dataclass(slots=True, eq=False)
class Peer:
    """What is known of one member, from the list and from its answers."""

    info: Member
    cold_from: int  # when it was last (re)started, as far as known or presumed
    presumed: bool = False  # cold only by presumption, after a silence
    failing: float = 0.0
    ejected: bool = False
    until: int = 0  # end of the ejection; then trials, one at a time
    strikes: int = 0
    silent: bool = False  # ejected for silence: it may come back cold
    alive_at: int = 0  # last answer (for a source: last fill) of any kind
    room: float = 1.0  # learned factor on how many transfers it takes in time
    heard: float = 0.0  # answers up to then, fading
    lateness: float = 0.0  # share of late answers among the last few
    ended_at: int = 0  # end and length of the last attempt at it or through it
    lasted: int = 0
    broke_at: int = -BROKE_US  # when an attempt was last cut off
    allowed: float = 0.0  # transfers at once that the last load limit allowed
    busy: float = 0.0  # transfers open at once, a mean over the last seconds, as seen at each ask
    busy_at: int = 0
    pending: dict[tuple[str, int], None] = field(default_factory=dict)
    spent: deque[list[float]] = field(default_factory=deque)  # [time, cost] within the overload window


@dataclass(slots=True)
class Flight:
    """One attempt."""

    peer: Peer
    source: Peer | None
    sent: int
    behind: Peer | None = None  # the origin, where the source may go on to it
    charge: list[float] | None = None  # what it was booked at with a cold source
    pending: bool = True
    cancelled: bool = False
    doubled: bool = False  # a second copy was sent, as it was overdue
    missed: bool = False  # a plain look that found nothing
    held: bool = False  # its source gives only what it holds


@dataclass(slots=True)
class Job:
    """One client request and its attempts."""

    ask: RequestArrived
    kind: RequestClass
    deadline: int
    rank: int
    over: bool = False
    flights: list[Flight] = field(default_factory=list)
    maybe_ran: Flight | None = None  # the first attempt that may have run


class Router:
    """The decisions of one front. `handle` takes the events of one instant and gives the actions on them."""

    def __init__(self, settings: RouterSettings, seed: int, now: int) -> None:
        self.set, self.now, self.born = settings, now, now
        self.random = random.Random(seed)
        self.classes = {c.name: c for c in settings.classes}
        self.peers: dict[str, Peer] = {}  # everything listed
        self.caches: list[Peer] = []
        self.boxes = 1  # most caches that this location had
        self.link = 0.0  # its link in transfers, if to be used
        self.asked, self.asked_at = 0.0, now  # transfers at once that its clients ask for, as of then
        self.others: dict[str, list[Peer]] = {}  # caches of other locations
        self.parents: list[Peer] = []
        self.origin: Peer | None = None
        self.jobs: dict[str, Job] = {}
        self.out: list[Action] = []
        self.due: list[tuple[int, int, str, int]] = []  # (time, sequence, request or "", attempt)
        self.sequence, self.wake = 0, -1
        # By object, in the units of a time (all halve alike); those below `forgotten` at a step are no more.
        self.counts, self.counted_from, self.forgotten = dict[str, float](), now, 0.0
        self.gold_cut, self.bronze_cut = math.inf, 1.0
        self.shift = 0.0  # T2's distance from 'seen once', as a share of the table
        self.hits: dict[str, dict[str, int]] = {}  # cache: object: last hit
        self.answers, self.hit_share, self.fill_level = [0, 0], 0.0, 0.0  # hits and all since the last step
        self.fill = Learned(0.2 * S)
        self.work = {c.name: Learned(c.latency_objective_us / 2) for c in settings.classes}
        self.latency = {c.name: Learned(c.latency_objective_us) for c in settings.classes}
        self.marks: dict[tuple[int | None, str | None], int] = {}  # purge marks: time of the purge
        self.burst = max(4.0, RETRY_BURST / settings.router_count)
        self.retries = self.burst
        self.turn, self.unsubscribed = 0, False
        self.part = 1.0  # of this director's share of the parents, which other routers of it may share
        self.own = self.own_cold = self.part_cold = self.part_origin = 1.0  # of other members, and cold ones
        self.reserve = 1.0  # of what may be spent beyond one attempt a request
        self._at(now + int(STEP_US * self.random.random()), "", 0)  # routers do not step together
        if settings.subscribe:
            self.out.append(SubscribeToEndpoints())

    def ejected_count(self) -> int:
        return sum(peer.ejected for peer in self.peers.values())

    def handle(self, now: int, events: list[Event]) -> list[Action]:
        self.now = now
        for event in events:
            match event:
                case RequestArrived():
                    self._arrived(event)
                case AttemptEnded():
                    self._ended(event)
                case ClientDisconnected(request):
                    if job := self.jobs.get(request):
                        # Nobody waits for what is still out; what is nearly done may leave a copy.
                        young = self.now - self.latency[job.kind.name].mean
                        self._cancel_rest(job, int(young))
                        self._close(job)
                case EndpointsChanged():
                    self._listed(event)
                case FleetShareChanged():
                    self.part, self.own = event.parent_share, event.cache_share
                    self.part_cold, self.own_cold = (
                        event.parent_share * event.warming_parent_share,
                        event.warming_cache_share,
                    )
                    self.part_origin = event.origin_share
                case RetryReserveChanged(reserve):
                    self.reserve = reserve
                case ObjectsPurged(group, name, age):
                    key = (group, None) if name is None else (None, name)
                    self.marks[key] = max(now - age, self.marks.get(key, 0))
        while self.due and self.due[0][0] <= now:
            _, _, request, attempt = heapq.heappop(self.due)
            if not request:
                self._step()
            elif (job := self.jobs.get(request)) and attempt < len(job.flights):
                self._overdue(job, attempt)
        if self.due and (self.wake <= now or self.due[0][0] < self.wake):
            self.wake = self.due[0][0]
            self.out.append(SetTimer(self.wake, "due"))
        out, self.out = self.out, []
        return out

    def _at(self, when: int, request: str, attempt: int) -> None:
        self.sequence += 1
        heapq.heappush(self.due, (max(when, self.now + 1), self.sequence, request, attempt))

    # ---- the list -------------------------------------------------------------------------------------

    def _listed(self, event: EndpointsChanged) -> None:
        if event.kind is EndpointListKind.UNAVAILABLE:
            self.unsubscribed = self.set.subscribe  # asked anew at the next step: no storm on a failing list
            return
        named = dict.fromkeys(m.address for m in event.members)
        for m in event.members:
            peer = self.peers.get(m.address)
            if peer is None:
                if m.state is not MemberState.REMOVED:
                    self.peers[m.address] = Peer(m, m.started_at_us, alive_at=self.now)
            else:
                if m.started_at_us > peer.info.started_at_us:  # restarted: a clean slate, and cold since then
                    peer.cold_from, peer.failing, peer.ejected, peer.strikes = m.started_at_us, 0.0, False, 0
                    peer.presumed = False
                    self.hits.pop(m.address, None)
                peer.info = m
        if event.kind is not EndpointListKind.CHANGE:
            for address, peer in self.peers.items():
                if address not in named:
                    peer.info = replace(peer.info, state=MemberState.REMOVED)
        for address in [a for a, p in self.peers.items() if p.info.state is MemberState.REMOVED]:
            del self.peers[address]
            self.hits.pop(address, None)
        ready = [p for _, p in sorted(self.peers.items()) if p.info.state is MemberState.READY]
        own = (self.set.parent_kind, self.set.origin_kind)
        self.caches = [p for p in ready if p.info.zone == self.set.zone and p.info.kind not in own]
        self.boxes = max(self.boxes, len(self.caches))
        if self.set.weight_source == WeightSource.NONE and self.set.transfer_kb_per_s:
            wider = max(1.0, math.sqrt(LINK_FOR / self.boxes))
            self.link = self.set.zone_link_kb_per_s / self.set.transfer_kb_per_s / wider
        self.parents = [p for p in ready if p.info.kind == self.set.parent_kind]
        self.others = {}
        for p in ready:
            if p.info.zone != self.set.zone and p.info.kind not in own:
                self.others.setdefault(p.info.zone, []).append(p)
        self.origin = next((p for p in ready if p.info.kind == self.set.origin_kind), None)

    # ---- popularity -----------------------------------------------------------------------------------

    def _count(self, name: str, add: float = 0.0) -> float:
        unit = math.exp2((self.now - self.counted_from) / HALF_LIFE_US)  # all halve alike: one read grows
        count = held / unit + add if (held := self.counts.get(name, 0.0)) >= self.forgotten else add
        if add and (name in self.counts or len(self.counts) < TABLE_MAX):
            self.counts[name] = count * unit
        return count

    def _rank(self, ask: RequestArrived, kind: RequestClass) -> int:
        """Gold, silver or bronze, as the rank at which a copy is kept. One count per client read."""
        count = self._count(ask.object_id, float(ask.part == 0 and not ask.is_retry))
        if kind.is_write:
            return 0
        if count >= self.gold_cut:
            return GOLD_RANK
        if count > self.bronze_cut or self.now - self.born < HALF_LIFE_US:
            # Departure: in the first window after a start the counts are empty and all would look bronze,
            # so unranked objects are taken for silver. Could hurt by keeping a scan's objects in that window.
            return SILVER_RANK
        # Departure: where routers share a location, an object seen once here has likely been seen by the
        # others: it is taken for silver by a chance that grows with their number, the same for all its parts.
        others = 1 - 1 / self.set.zone_router_count
        return SILVER_RANK if math.exp(-_draw(f"{self.set.router_index}", ask.object_id)) < others else 0

    def _step(self) -> None:
        """Set T1 and T2 anew from the counts, the hits and the fill latency; drop what has expired."""
        self._at(self.now + STEP_US, "", 0)
        if self.unsubscribed:
            self.unsubscribed = False
            self.out.append(SubscribeToEndpoints())
        floor = self.now - HALF_LIFE_US
        for seen in self.hits.values():
            for name in [n for n, at in seen.items() if at < floor]:
                del seen[name]
        unit = math.exp2((self.now - self.counted_from) / HALF_LIFE_US)
        ranked, self.forgotten = sorted(self.counts.values()), 0.1 * unit
        ranked = ranked[bisect_left(ranked, self.forgotten) :]
        if len(ranked) >= TABLE_MAX:  # room for what is new: the lesser half goes
            ranked, self.forgotten = ranked[TABLE_MAX // 2 :], ranked[TABLE_MAX // 2]
        if len(ranked) < 0.75 * len(self.counts) or len(self.counts) > 0.75 * TABLE_MAX:  # seldom
            self.counts = {n: c for n, c in self.counts.items() if c >= self.forgotten}
        settled = self.now - self.set.rules.purge_retention_us - S
        self.marks = {k: at for k, at in self.marks.items() if at > settled}
        room = sum(len(seen) for seen in self.hits.values()) / max(1, len(self.hits))
        t1 = int(ALPHA * room * math.sqrt(self.set.zone_router_count))  # the others' hits are partly others
        self.gold_cut = max(ranked[-t1] / unit, 1.001) if 0 < t1 <= len(ranked) else math.inf
        share = self.answers[0] / max(1, self.answers[1])
        well = share >= self.hit_share and self.fill.mean <= FILL_GROWTH * self.fill_level
        self.shift += -T2_STEP if well else T2_STEP  # fewer hits, or fills that grow slow: keep more
        self.hit_share, self.fill_level, self.answers = share, self.fill.mean, [0, 0]
        once, least = (len(ranked) - bisect_right(ranked, n * unit) for n in (1, 2))  # over 2: never bronze
        t2 = min(max(once + int(self.shift * len(ranked)), least), len(ranked))
        self.shift = (t2 - once) / max(1, len(ranked)) if t2 in (least, len(ranked)) else self.shift
        self.bronze_cut = ranked[-1 - t2] / unit if t2 < len(ranked) else 0.0
        if unit > 1e100:  # long before a float ends
            self.counts, self.counted_from = {n: c / unit for n, c in self.counts.items()}, self.now
            self.forgotten /= unit

    # ---- placement ------------------------------------------------------------------------------------

    def _order(self, key: str, peers: list[Peer]) -> list[Peer]:
        """Rendezvous order: the same at every front, in proportion to the listed weights."""
        if self.set.weight_source in (WeightSource.LIVE, WeightSource.NONE):
            return sorted(peers, key=lambda p: _draw(key, p.info.address))
        return sorted(peers, key=lambda p: _draw(key, p.info.address) / self._size(p))

    def _size(self, peer: Peer) -> float:
        """A member's link in transfers at full pace: as listed or, where weights are off, as the links tell.

        A link into a location is sized by what its caches draw and a parent by so many such links; an untold
        one by what the location's clients ask for, of which each router knows its own part. Could hurt where
        caches are very unequal: `room` then learns each one's share.
        """
        if not self.link:
            return peer.info.weight if peer.info.weight > 0 else 1.0
        parent = peer.info.kind == self.set.parent_kind
        return self.link * PARENT_LINK if parent else self.link / DRAWN / self.boxes

    def _tier(self, peer: Peer) -> tuple[float, int, float, float]:
        """Cold start, its rise, the overload multiple and the routers that share a member of this tier."""
        r = self.set.rules
        if peer.info.kind == self.set.parent_kind:
            sharers = self.set.router_count / self.part_cold
            return r.parent_warm_up_start_share, r.parent_warm_up_us, r.parent_overload_multiple, sharers
        return (
            r.warm_up_start_share,
            r.warm_up_us,
            r.overload_multiple,
            self.set.zone_router_count / self.own_cold,
        )

    def _sharers(self, peer: Peer) -> float:
        """Over how many routers what a member takes is divided, as seen by this one."""
        if peer.info.kind == self.set.parent_kind:
            return self.set.router_count / self.part
        if peer in self.caches:
            return self.set.zone_router_count / self.own
        return self.set.router_count / (self.part_origin if peer is self.origin else 1.0)

    def _cold(self, peer: Peer) -> float:
        """Share of its full link that a member can surely give now."""
        start, rise, _, _ = self._tier(peer)
        if peer.presumed and self.now - peer.cold_from > NOTICE_US:
            # Silence is no proof of a restart. One would be on the list by now; presuming it longer would
            # shut the way through a parent that was only jammed. Could hurt where the list is later.
            peer.cold_from, peer.presumed = peer.info.started_at_us, False
        if peer is self.origin or not peer.cold_from or self.now - peer.cold_from >= rise:
            return 1.0
        return start + (1 - start) * max(0, self.now - peer.cold_from) / rise

    def _affords(self, peer: Peer, cost: float) -> bool:
        """Cold budget: may this router send `cost` (microseconds of sending) to a member that may be cold?

        Guards against pushing over a restarted cache or parent, bursts included, with the other routers
        each keeping to their share. Could hurt by turning work from a member that is warmer than presumed.
        """
        share = self._cold(peer)
        if share >= 1.0:
            return True
        start, rise, multiple, routers = self._tier(peer)
        window, age = self.set.rules.overload_window_us, self.now - peer.cold_from
        while peer.spent and peer.spent[0][0] <= self.now - window:
            peer.spent.popleft()
        guess = GUESSED if self.set.weight_source == WeightSource.NONE else 1.0
        full = COLD_MARGIN * guess * multiple * self._size(peer) / routers
        spent = sum(c for _, c in peer.spent) + cost
        if spent <= full * share * window:
            return True
        # A part under one send comes as rare whole turns: this router's turn, of one long send, comes up each
        # time its part adds up to one, from a phase that spreads the routers evenly, and lapses in a window.
        turn = max(w.mean for w in self.work.values())
        if full * share * window >= turn or spent > turn:
            return False
        phase = (self.set.router_index * GOLDEN + _draw("turn", peer.info.address)) % 1.0

        def turns(age: int) -> int:
            return int(phase + full / turn * (start * age + (1 - start) * age * age / (2 * rise)))

        return turns(age) > turns(max(0, age - window))

    def _usable(self, peer: Peer) -> bool:
        return not peer.ejected or (self.now >= peer.until and not peer.pending)

    def _fits(self, peer: Peer, kind: RequestClass) -> bool:
        """Load limit: so many transfers share a member's link that one more could not meet its aim.

        The aim allows short classes more company than long ones, so the least worth per work is shed first.
        Guards against overload of a cache, of a parent or of the link its fills share: `room` falls while
        answers come late. Could hurt where the listed weight is far under the truth, until room has grown.
        """
        work = self.work[kind.name].mean
        stretch = (kind.latency_objective_us + kind.latency_objective_stretch * work) / work
        routers = self._sharers(peer)
        limit = LOAD_SHARE * stretch * self._size(peer) * self._cold(peer) / routers
        if peer is self.origin:
            if kind.is_write:
                return True  # few, worth most, and with nowhere else to go
            routers = self.set.zone_router_count  # its size is not told: a part as large as of all own caches
            limit = LOAD_SHARE * stretch * max(1.0, sum(self._size(p) for p in self.caches)) / routers
        # One router's part may be under one transfer, and is uneven by chance: a deviation comes on top, lent
        # only while its own mean use is under half its part, as forty at once would double what is asked for.
        # Late answers shrink both: what is slow holds its place, so the limit clocks itself.
        peer.busy += (1 - math.exp((peer.busy_at - self.now) / BUSY_US)) * (len(peer.pending) - peer.busy)
        peer.busy_at = self.now
        spare = min(1.0, max(0.0, (1 - peer.busy / limit) / (1 - CALM))) if limit > 0 else 1.0
        chance = spare * min(math.sqrt(limit) + 1, math.sqrt(routers - 1))
        allowed = peer.allowed = peer.room * (limit + chance)
        if allowed >= 1:
            return len(peer.pending) < allowed
        # Less than one: by turns. After each one it rests for as long as makes that part the mean.
        return not peer.pending and self.now >= peer.ended_at + peer.lasted * (1 / allowed - 1)

    def _room(self, peer: Peer, late: bool, failed: bool = False) -> None:
        """Learn how much a member takes in time: holds where about one answer in fifteen is late.

        A refusal or a fill that ran out of time cuts deeper than lateness: it has cost its work for nothing.
        An answer in time while most of the limit lay unused proves nothing of it, and lets it be: else forty
        routers that each grew theirs on a quiet day arrive at twice the room all at once (RFC 7661).
        """
        steps = max(1.0, HEARD_PER_S * HEARD_US / S / (peer.heard + 1))
        if not failed:
            peer.lateness += BLAME * (late - peer.lateness)
        cut = FAILED_CUT ** min(steps, FAILED_STEPS) if failed else LATE_CUT**steps
        used = len(peer.pending) + 1 >= USED * peer.allowed
        gain = ROOM_STEP * steps * min(1.0, max(peer.room, SLOWEST)) if used else 0.0
        room = peer.room * cut if late else peer.room + gain
        peer.room = max(ROOM_LEAST, min(ROOM_MOST, room))

    def _cache(self, job: Job) -> Peer | None:
        """The cache for the next attempt: hash order, two in turn for a hot part, the rest as fall-backs."""
        ask, kind = job.ask, job.kind
        order = self._order(f"{ask.object_id}/{ask.part}", self.caches)
        work = self.work[kind.name].mean
        rate = self._count(ask.object_id) * math.log(2) / HALF_LIFE_US
        hot = HOT_SHARE * self._size(order[0]) / self.set.zone_router_count if order else math.inf
        if len(order) > 1 and not kind.is_write and rate * work > hot:
            self.turn ^= 1
            if self.turn:
                order[:2] = order[1::-1]
        if job.flights:
            tried = [f.peer for f in job.flights if not f.missed]
            order = [p for p in order if p not in tried] + [p for p in order if p in tried]
        for peer in order:
            if peer.ejected and (kind.idempotency is not Idempotency.IDEMPOTENT or job.flights):
                continue  # trials are for first attempts that can be repeated
            if self._usable(peer) and self._affords(peer, work) and self._fits(peer, kind):
                return peer
        return None

    def _source(self, job: Job) -> Peer | None:
        """Where a miss is filled from: the shared parent hash, the next one up, else the origin.

        None: not to be filled now. A parent that is merely full is not passed by: what jams it is as
        likely the link that all fills share, and the origin is the last thing to lean on.
        """
        kind, work = job.kind, self.work[job.kind.name].mean
        tried = [f.source for f in job.flights]
        for peer in self._order(job.ask.object_id, self.parents) if not kind.is_write else ():
            if peer not in tried and self._usable(peer) and self._affords(peer, work):
                return peer if self._fits(peer, kind) else None
        origin = self.origin
        return origin if origin and self._fits(origin, kind) else self._sibling(job)

    def _sibling(self, job: Job) -> Peer | None:
        """Another location's home of the part, for what it holds, where no parent is to be had."""
        asked = any(f.source and f.source not in self.parents for f in job.flights)
        if asked or job.kind.is_write or not self.others or self.set.sibling_fills is not SiblingFills.ANY:
            return None
        zone = min(self.others, key=lambda z: _draw(job.ask.object_id, z))
        peer = self._order(f"{job.ask.object_id}/{job.ask.part}", self.others[zone])[0]
        return peer if self._usable(peer) and self._cold(peer) == 1.0 and self._fits(peer, job.kind) else None

    def _held(self, job: Job, source: Peer | None) -> bool:
        """Is a parent to give only what it holds, since the origin behind it is over its load limit?

        Guards what parents hold against a slow or refusing origin, and the origin against more: a step
        between a full fill and a plain look. Could hurt by a second attempt where the parent lacks it too.
        """
        origin = self.origin
        return origin is not None and source in self.parents and not self._fits(origin, job.kind)

    def _age(self, job: Job, stale: bool) -> int:
        """Oldest copy that will do: the class's lifetime, cut to what is younger than the purges told of."""
        kind, ask = job.kind, job.ask
        age = kind.freshness_lifetime_us + kind.stale_grace_us if stale and kind.freshness_lifetime_us else 0
        told = [self.marks.get((None, ask.object_id)), self.marks.get((ask.object_group, None))]
        purged = max((at for at in told if at is not None), default=None)
        if purged is None:
            return age
        since = max(1, self.now - purged)
        limit = age or kind.freshness_lifetime_us
        return min(since, limit) if limit else since

    # ---- requests -------------------------------------------------------------------------------------

    def _arrived(self, ask: RequestArrived) -> None:
        kind = self.classes.get(ask.class_name)
        if kind is None:
            self.out.append(RejectRequest(ask.request_id))
            return
        if ask.size_kb and self.set.transfer_kb_per_s:
            self.work[kind.name].add(ask.size_kb / self.set.transfer_kb_per_s * S)
        if (
            self.set.weight_source == WeightSource.NONE
            and not self.set.zone_link_kb_per_s
            and not kind.is_write
        ):  # Little's law
            self.asked *= math.exp((self.asked_at - self.now) / HALF_LIFE_US)
            self.asked, self.asked_at = self.asked + self.work[kind.name].mean / HALF_LIFE_US, self.now
            seen = max(0.01, 1 - math.exp((self.born - self.now) / HALF_LIFE_US))
            self.link = DRAWN * self.asked / seen * self.set.zone_router_count
        job = Job(ask, kind, self.now + ask.expires_in_us, self._rank(ask, kind))
        self.jobs[ask.request_id] = job
        self.retries = min(self.burst, self.retries + RETRY_SHARE * self.reserve)
        self._send(job)

    def _send(self, job: Job) -> None:
        """One more attempt, or the final answer at once where none can help."""
        kind = job.kind
        cap = self.set.limits.max_attempts
        most = 1 + int((cap - 1) * self.reserve)  # a look that missed is the first half of one
        spent = len(job.flights) >= cap or sum(not f.missed for f in job.flights) >= most
        if spent or job.deadline - self.now <= self.set.tick_us:
            return self._answer(job)
        cache, source = self._cache(job), self._source(job)
        bare = not any(self._usable(p) for p in self.caches)  # a full cache is no reason to pass it by
        direct = self.set.cache_bypass and (kind.is_write or bare)
        if direct and source is not None and (source is self.origin or source in self.parents):
            return self._fly(job, source, source if source is not self.origin else None)
        looked = any(f.missed for f in job.flights)
        if any(f.missed and f.held for f in job.flights) and self._held(job, source):
            source = self._sibling(job)  # its cache and its parent lack it, and the origin is full
        if cache is None or (source is None and (kind.is_write or looked)):
            return self._answer(job)
        self._fly(job, cache, source)

    def _fly(self, job: Job, peer: Peer, source: Peer | None) -> None:
        kind, ask, now = job.kind, job.ask, self.now
        work = self.work[kind.name].mean
        sibling = source not in (None, peer, self.origin) and source not in self.parents
        held = source is not peer and (sibling or self._held(job, source))
        flight = Flight(peer, source if source is not peer else None, now, held=held)
        if source in self.parents and not held:
            flight.behind = self.origin
        number = len(job.flights)
        job.flights.append(flight)
        for p in (peer, source, flight.behind):
            if p is not None and (request_at := (ask.request_id, number)) not in p.pending:
                p.pending[request_at] = None
                if self._cold(p) < 1.0:
                    booked = [float(now), work]
                    p.spent.append(booked)
                    if p is source and p is not peer:
                        flight.charge = booked
        left = job.deadline - now
        if peer is self.origin:
            self.out.append(ForwardRequest(ask.request_id, peer.info.address, left))
        else:
            flags = FillOption.NONE
            marked = (None, ask.object_id) in self.marks or (ask.object_group, None) in self.marks
            if source and source is not peer and not kind.is_write:
                if self.set.coalesces_fills and not marked:
                    flags |= FillOption.COALESCE
                if held:
                    flags |= FillOption.ONLY_IF_CACHED
                elif (
                    kind.freshness_lifetime_us
                    and job.rank
                    and self._cold(source) >= 1.0
                    and not source.ejected
                ):
                    flags |= FillOption.STALE_WHILE_REVALIDATE if self.reserve >= 1 else FillOption.NONE
            target = (source or peer).info.address
            if peer is source and self.origin:
                target = self.origin.info.address
            age = self._age(job, stale=number > 0 or source is None or held)
            rank = job.rank if peer in self.caches else 0
            self.out.append(
                ForwardWithFill(ask.request_id, peer.info.address, target, rank, left, age, flags)
            )
        self._at(now + int(self.latency[kind.name].late()), ask.request_id, number)

    def _answer(self, job: Job) -> None:
        """The final answer: refused where the class allows it, else failed."""
        kind = job.kind
        self._cancel_rest(job)
        unrun = job.maybe_ran is None and not any(f.pending for f in job.flights)
        shared = kind.idempotency is Idempotency.WITH_KEY and kind.key_scope is KeyScope.ALL
        if kind.idempotency is Idempotency.IDEMPOTENT or unrun or shared:
            limits = self.set.limits
            after = min(limits.max_retry_after_us, kind.latency_objective_us) if limits.retry_after else 0
            after = int(after * self.random.uniform(0.5, 1))  # not all back at once
            self.out.append(RejectRequest(job.ask.request_id, after))
        else:
            self.out.append(FailRequest(job.ask.request_id))
        self._close(job)

    def _close(self, job: Job) -> None:
        job.over = True
        if not any(f.pending for f in job.flights):
            self.jobs.pop(job.ask.request_id, None)

    # ---- outcomes -------------------------------------------------------------------------------------

    def _ended(self, event: AttemptEnded) -> None:
        job = self.jobs.get(event.request_id)
        if job is None or not 0 <= event.attempt_index < len(job.flights):
            return
        flight = job.flights[event.attempt_index]
        if not flight.pending:
            return
        flight.pending = False
        for p in (flight.peer, flight.source, flight.behind):
            if p is not None:
                p.pending.pop((event.request_id, event.attempt_index), None)
                p.ended_at, p.lasted = self.now, event.latency_us
        if not event.status.proves_not_executed and job.maybe_ran is None:
            job.maybe_ran = flight
        self._learn(job, flight, event)
        if event.is_final or job.over:
            if event.is_final and not job.over:
                self._cancel_rest(job)
            return self._close(job)
        if any(f.pending for f in job.flights):
            return
        if (
            event.status is AttemptStatus.MISS
            and (flight.source is None or flight.held)
            and not job.kind.is_write
        ):
            flight.missed = True  # a look: what it found out is not a failure
            self._send(job)
        elif self._may_repeat(job):
            self.retries -= 1.0
            self._send(job)
        else:
            self._answer(job)

    def _cancel_rest(self, job: Job, since: int = -1) -> None:
        for n, f in enumerate(job.flights):
            if f.pending and not f.cancelled and self.set.limits.cancellation and f.sent > since:
                f.cancelled = True
                self.out.append(CancelAttempt(job.ask.request_id, n))

    def _may_repeat(self, job: Job) -> bool:
        """May, and should, this request be tried again? The class decides, then the retry budget."""
        kind, first = job.kind, job.maybe_ran
        if first is not None and kind.idempotency is not Idempotency.IDEMPOTENT:
            if kind.idempotency is Idempotency.NON_IDEMPOTENT or kind.key_scope is not KeyScope.ALL:
                return False
            if self.now - first.sent >= kind.key_window_us - 2 * self.set.tick_us:
                return False
        return self.retries >= 1.0

    def _learn(self, job: Job, flight: Flight, event: AttemptEnded) -> None:
        peer, source, kind = flight.peer, flight.source, job.kind
        own = job.ask.size_kb / self.set.transfer_kb_per_s * S if self.set.transfer_kb_per_s else 0
        work = own or self.work[kind.name].mean
        late = event.latency_us > kind.latency_objective_us + kind.latency_objective_stretch * work
        if event.status is AttemptStatus.OK:
            hit = event.detail in (AnswerDetail.HIT, AnswerDetail.STALE)
            self.latency[kind.name].add(event.latency_us)
            self._credit(peer)
            if source and not hit and event.detail is not AnswerDetail.COALESCED:
                self._credit(source)
                self.fill.add(event.latency_us)
                told = self.set.answer_detail == AnswerDetailLevel.FULL
                through = flight.behind and (not told or event.detail is AnswerDetail.FILLED_FROM_ORIGIN)
                if flight.behind and through:
                    self._credit(flight.behind)
                    self._room(flight.behind, late)
                if not (through and late and told):
                    self._room(source, late)
            elif source and flight.charge:
                flight.charge[1] = 0.0  # a hit never reached the cold source
            if hit or kind.is_write:
                if not job.ask.size_kb:
                    self.work[kind.name].add(min(event.latency_us, kind.latency_objective_us))
                self._room(peer, late)
            if peer in self.caches and not kind.is_write:
                self.answers[1] += 1
                if hit:
                    self.answers[0] += 1
                    self.hits.setdefault(peer.info.address, {})[job.ask.object_id] = self.now
        elif event.status is AttemptStatus.MISS:
            self._credit(peer)
            if source and flight.held and event.detail is AnswerDetail.SOURCE_MISS:
                self._credit(source)
        elif event.status not in (AttemptStatus.CANCELLED, AttemptStatus.NOT_SENT):
            # Time ran out at a cache that answers others, or in its fill: a jam, not silence. To call it
            # silence would take whole locations for dead, and then cold, in every overload. A jam shows in
            # late answers first; where others came in time a time-out is a lost answer and tells nothing.
            timeout = event.status is AttemptStatus.TIMEOUT
            stuck = (
                source
                and event.latency_us > kind.latency_objective_us
                and not self._mute(source, flight.sent)
            )
            if not stuck and not (timeout and peer.alive_at > flight.sent):
                return self._fault(flight, event)
            jammed = flight.behind or source or peer
            silent = jammed.alive_at <= flight.sent and self._expected(jammed, flight.sent) > 1
            if not timeout or silent or jammed.lateness > JAMMED:
                self._room(jammed, True, source is not None)

    def _fault(self, flight: Flight, event: AttemptEnded) -> None:
        peer, source, behind = flight.peer, flight.source, flight.behind
        if event.detail in (AnswerDetail.SOURCE_MISS, AnswerDetail.NO_FILL_SLOT):
            return
        lost = event.status in (AttemptStatus.CONNECT_FAILED, AttemptStatus.RESET, AttemptStatus.TIMEOUT)
        if event.detail is AnswerDetail.ORIGIN_FAILED and behind:
            self._room(behind, True, True)  # no fault of the parent's
        elif event.detail.value >= AnswerDetail.SOURCE_REJECTED.value:
            self._room(source or peer, True)
            self._blame(source, 1.0, event.detail is AnswerDetail.SOURCE_UNREACHABLE)
        elif lost or source is None:
            if event.status is AttemptStatus.OVERLOADED:
                self._room(peer, True)
            if event.status is not AttemptStatus.RESET:
                self._blame(peer, 1.0, lost)
            elif self.now - peer.broke_at >= BROKE_US:
                # Answers come spoilt and connections break at sound members too. One that died refuses
                # the next connection, which counts in full. Could hurt where a member only ever cuts off.
                self._blame(peer, BROKEN, False)
                peer.broke_at = self.now
        else:
            # An answer that doesn't tell which side failed or refused counts half at each: the cache's
            # hits clear it, only fills clear the source. Else a refusing parent looks like full caches.
            # Where all is told, an error that names no side is the cache's own or its connection's.
            self._blame(peer, 0.5, False)
            if event.status is not AttemptStatus.ERROR or self.set.answer_detail != AnswerDetailLevel.FULL:
                self._room(behind or source, True, event.status is AttemptStatus.OVERLOADED)
                self._blame(source, 0.5, False)

    # ---- health ---------------------------------------------------------------------------------------

    def _credit(self, peer: Peer) -> None:
        peer.failing *= 1 - BLAME
        peer.heard = peer.heard * math.exp((peer.alive_at - self.now) / HEARD_US) + 1
        peer.alive_at = self.now
        if peer.ejected:
            if peer.silent and self._cold(peer) == 1.0:
                # Back from silence: presumed cold before the list says so.
                peer.cold_from, peer.presumed = self.now, True
            peer.ejected, peer.silent, peer.failing = False, False, 0.0
        elif peer.failing < 0.01:
            peer.strikes = 0

    def _blame(self, peer: Peer | None, amount: float, silent: bool) -> None:
        """The one suspicion: errors, resets, failed connects, time-outs and silence all raise it."""
        if peer is None or peer is self.origin:
            return
        peer.failing += BLAME * (amount - peer.failing)
        if peer.failing < EJECT_AT and not peer.ejected:
            return
        tier = self.parents if peer in self.parents else self.caches
        if not silent and sum(p.ejected for p in tier) + 1 > EJECT_MAX_SHARE * len(tier) and not peer.ejected:
            return
        if not peer.ejected or self.now >= peer.until:
            peer.until = self.now + min(EJECT_MAX_US, EJECT_US << min(peer.strikes, 10))
            peer.strikes += 1
            peer.ejected = True
        peer.silent |= silent

    def _mute(self, peer: Peer, since: int) -> bool:
        """Has a member said nothing since then, while others did what it did not?

        All parents slow at once are a slow origin: to call them silent, and then cold, would shut the way
        to what they hold long after the origin is well. Could hurt where the last parent dies alone.
        """
        if peer.alive_at >= since or peer in self.caches:
            return peer.alive_at < since
        return any(p.alive_at >= since for p in (*self.parents, self.origin) if p and p is not peer)

    def _expected(self, peer: Peer, since: int) -> float:
        """Answers that a sound member would have given since then, by what this router heard before."""
        return peer.heard / HEARD_US * (self.now - since) or len(peer.pending) / 2

    def _double(self, job: Job, flight: Flight) -> None:
        """A second copy elsewhere of what is overdue where others are answered in time: lost, as a rule.

        Guards against answers that never come. Could hurt in a jam, where more attempts make it worse: late
        answers stop it, and it is paid for from the retries.
        """
        jammed = any(p.lateness > JAMMED for p in (flight.peer, flight.source) if p)
        alone = sum(f.pending for f in job.flights) == 1 and len(job.flights) < self.set.limits.max_attempts
        safe = (
            job.kind.idempotency is Idempotency.IDEMPOTENT and self.set.limits.hedging and not flight.doubled
        )
        safe &= self.reserve >= 1
        if jammed or not alone or not safe or self.retries < 1 or flight.peer not in self.caches:
            return
        cache, source = self._cache(job), self._source(job)
        if cache is not None and source is not None and cache is not flight.peer:
            flight.doubled = True
            self.retries -= 1.0
            self._fly(job, cache, source)

    def _overdue(self, job: Job, number: int) -> None:
        """An attempt is overdue. If its cache, or the source of its fill, has said nothing since it was sent
        the silence counts as failure, and what is out there and can be repeated is taken back."""
        flight, kind = job.flights[number], job.kind
        if not flight.pending or job.over:
            return
        wait = int(self.latency[kind.name].late())
        mute = next((p for p in (flight.peer, flight.source) if p and self._mute(p, flight.sent)), None)
        if mute is None or mute is self.origin:
            self._double(job, flight)
            if self.now + wait < job.deadline:
                self._at(self.now + wait, job.ask.request_id, number)
            return
        expected = self._expected(mute, flight.sent)  # one silent attempt of few is little evidence
        for _ in range(2 if expected > 3 else 1):
            self._blame(mute, min(1.0, expected / 2), True)
        if not mute.ejected or not self.set.limits.cancellation:
            return self._at(self.now + wait, job.ask.request_id, number)
        for request, n in list(mute.pending):
            other = self.jobs.get(request)
            if (
                other is None
                or other.kind.idempotency is not Idempotency.IDEMPOTENT
                or other.flights[n].cancelled
            ):
                continue
            if other.flights[n].sent + self.latency[other.kind.name].mean < self.now and self.retries >= 1:
                other.flights[n].cancelled = True
                self.out.append(CancelAttempt(request, n))
