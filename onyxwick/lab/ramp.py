"""What all directors together send to a member that has just started, against what the rule allows.

Deciders alone, on a made-up clock, from a seed. The bound, in requests of mean work: N + 2 x root of N + 2 in
any window, N = multiple x present capacity x window over the mean work, the present capacity being what the
settings say at the least. Told beside it: how much was sent of what could have been, the lesser of N and what
came for the member.
"""

from __future__ import annotations

import heapq
import math
import random
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field, replace
from functools import partial
from typing import Any

from onyxwick.interface import (
    AnswerDetail,
    AnswerDetailLevel,
    AttemptEnded,
    AttemptStatus,
    EndpointListKind,
    EndpointsChanged,
    Event,
    ForwardRequest,
    ForwardWithFill,
    Idempotency,
    Member,
    MemberState,
    RequestArrived,
    RequestClass,
    RequestLimits,
    RequestRouter,
    RouterSettings,
    ServiceRules,
    SetTimer,
    SiblingFills,
    TimerFired,
    WeightSource,
)
from onyxwick.routing import Router

S = 1_000_000
START_US, LENGTH_US = 5 * S, 27 * S  # when the cold member starts; a run's length
BOXES, SIZE, PACE = 4, 7.0, 6_900.0  # caches of a location, their links in transfers, KB/s of a transfer
LINK_SHARE, PARENT_SIZE = 0.38, 3.9  # link in over the caches' links; a parent's link over a location's
ZONE_DIRECTORS = 4  # directors of one location, where a parent is the cold one
WORK = {"large": 450_000, "small": 45_000}  # mean work of the classes, in us
MIX, HITS, HITS_COLD, FILL_US = 0.5, 0.7, 0.25, 60_000

RULES = ServiceRules(8_000, 500_000, 0.18, 17 * S, 4.0, 3 * S, 0.068, 20 * S, 2.0, S, 6 * S)
Decide = Callable[[RouterSettings, int, int], RequestRouter]


@dataclass(frozen=True)
class Case:
    """`told_us`: up to how much later than the start directors hear of it; `restarts`: share of the directors
    that lose all they know in the ramp; `uneven`: spread of their traffic; `together`: how many start;
    `load`: what clients ask for over what the location's caches can send."""

    directors: int
    parent: bool = False
    told_us: int = 2 * S
    restarts: float = 0.0
    uneven: float = 0.6
    together: int = 1
    load: float = 0.6


@dataclass
class Ramp:
    """One run: events by time, the deciders, and what reached the cold member."""

    case: Case
    seed: int
    decide: Decide = Router
    due: list[tuple[int, int, Callable[[], None]]] = field(default_factory=list)
    sent: list[tuple[int, float]] = field(default_factory=list)  # (us, work in us)
    now: int = 0
    count: int = 0

    def __post_init__(self) -> None:
        case, self.rng = self.case, random.Random(self.seed)
        self.zones = max(1, case.directors // ZONE_DIRECTORS) if case.parent else 1
        self.bias = self.rng.uniform(0.8, 1.25)  # of the links told, over what they are
        shares = [math.exp(self.rng.gauss(0, case.uneven)) for _ in range(case.directors)]
        self.shares = shares
        self.lists = [self._members(k % self.zones) for k in range(case.directors)]
        self.routers = [self._router(k) for k in range(case.directors)]
        self.cold = "p0" if case.parent else "z0c0"

    def _settings(self, director: int) -> RouterSettings:
        classes = tuple(
            RequestClass(
                name,
                Idempotency.IDEMPOTENT,
                600_000,
                5 * S,
                latency_objective_stretch=1.6,
                priority_weight=1.0,
            )
            for name in WORK
        )
        in_zone = len(range(director % self.zones, self.case.directors, self.zones))
        wider = max(1.0, math.sqrt(6 / BOXES))
        return RouterSettings(
            zone=f"z{director % self.zones}",
            classes=classes,
            rules=RULES,
            limits=RequestLimits(max_attempts=6, cancellation=True, hedging=True),
            parent_kind="parent",
            origin_kind="origin",
            router_count=self.case.directors,
            zone_router_count=in_zone,
            router_index=director,
            tick_us=2_000,
            weight_source=WeightSource.NONE,
            sibling_fills=SiblingFills.ANY,
            answer_detail=AnswerDetailLevel.FULL,
            transfer_kb_per_s=PACE,
            zone_link_kb_per_s=SIZE * LINK_SHARE * BOXES * PACE * wider * self.bias,
        )

    def _router(self, director: int) -> RequestRouter:
        router = self.decide(self._settings(director), self.rng.getrandbits(60), self.now)
        members = tuple(m for m in self.lists[director] if m.started_at_us <= self.now)
        self._act(director, router, [EndpointsChanged(EndpointListKind.RESTORED, members)])
        return router

    def _members(self, zone: int) -> list[Member]:
        def row(name: str, kind: str, where: str, since: int = 0) -> Member:
            return Member(name, where, kind, 0, MemberState.READY, 1.0, since)

        parents = max(2, round(self.zones / 4))
        new = self.case.together
        rows = [row("origin", "origin", "hub")]
        rows += [
            row(f"p{n}", "parent", "hub", START_US if self.case.parent and n < new else 0)
            for n in range(parents)
        ]
        rows += [
            row(f"z{zone}c{n}", "box", f"z{zone}", START_US if not self.case.parent and n < new else 0)
            for n in range(BOXES)
        ]
        return rows

    # ---- the clock ----------------------------------------------------------------------------------------

    def _at(self, when: int, deed: Callable[[], None]) -> None:
        self.count += 1
        heapq.heappush(self.due, (when, self.count, deed))

    def _act(self, director: int, router: RequestRouter, events: list[Event]) -> None:
        for action in router.handle(self.now, events):
            match action:
                case SetTimer(at_us, token):
                    self._at(max(at_us, self.now), partial(self._timer, director, router, token))
                case ForwardWithFill() | ForwardRequest():
                    self._send(director, router, action)
                case _:
                    pass

    def _timer(self, director: int, router: RequestRouter, token: str) -> None:
        if self.routers[director] is router:
            self._act(director, router, [TimerFired(token)])

    def _send(self, director: int, router: RequestRouter, action: ForwardRequest | ForwardWithFill) -> None:
        number = self.attempts[action.request_id] = self.attempts.get(action.request_id, -1) + 1
        kind = action.request_id.partition("/")[0]
        work = self.rng.lognormvariate(-0.5, 1.0) * WORK[kind]
        source = action.fill_source if isinstance(action, ForwardWithFill) else action.member
        at_cold = action.member == self.cold
        hit = self.rng.random() < (HITS_COLD if at_cold else HITS)
        if at_cold or (source == self.cold and not hit):
            self.sent.append((self.now, WORK[kind]))
        status, detail = AttemptStatus.OK, AnswerDetail.HIT if hit else AnswerDetail.FILLED
        if not hit and source == action.member:
            status, detail = AttemptStatus.MISS, AnswerDetail.NONE
        took = int(work) + (0 if hit else FILL_US)
        done = status is AttemptStatus.OK
        end = AttemptEnded(action.request_id, number, action.member, status, took, done, detail)
        self._at(self.now + took, partial(self._ended, director, router, end))

    def _ended(self, director: int, router: RequestRouter, end: AttemptEnded) -> None:
        if self.routers[director] is router:
            self._act(director, router, [end])

    def _arrivals(self) -> Iterator[tuple[int, int]]:
        mean = sum(WORK.values()) / len(WORK)
        rate = self.case.load * SIZE * BOXES * self.zones / mean  # a microsecond
        at = 0.0
        while at < LENGTH_US:
            at += self.rng.expovariate(rate)
            yield int(at), self.rng.choices(range(self.case.directors), self.shares)[0]

    def _arrive(self, number: int, director: int) -> None:
        kind = "large" if self.rng.random() < MIX else "small"
        thing = f"o{int(self.rng.paretovariate(0.9)) % 4000}"
        ask = RequestArrived(f"{kind}/{number}", kind, thing, 5 * S, object_group=1, part=number % 3)
        self._act(director, self.routers[director], [ask])

    def run(self) -> Ramp:
        self.attempts: dict[str, int] = {}
        for number, (at, director) in enumerate(self._arrivals()):
            self._at(at, partial(self._arrive, number, director))
        for director in range(self.case.directors):
            told = START_US + int(self.rng.random() * self.case.told_us)
            self._at(told, partial(self._told, director))
            if self.rng.random() < self.case.restarts:
                at = told + int(self.rng.random() * 6 * S)
                self._at(at, partial(self._restart, director))
        while self.due:
            at, _, deed = heapq.heappop(self.due)
            if at > LENGTH_US:
                break
            self.now = max(self.now, at)
            deed()
        return self

    def _told(self, director: int) -> None:
        new = tuple(m for m in self.lists[director] if m.started_at_us)
        self._act(director, self.routers[director], [EndpointsChanged(EndpointListKind.CHANGE, new)])

    def _restart(self, director: int) -> None:
        self.routers[director] = self._router(director)

    # ---- figures ------------------------------------------------------------------------------------------

    def allowed(self, at: int) -> float:
        """N: requests of mean work in the window that ends then."""
        r, mean = RULES, sum(WORK.values()) / len(WORK)
        first, rise, multiple, size = r.warm_up_start_share, r.warm_up_us, r.overload_multiple, SIZE
        if self.case.parent:
            first, rise, multiple = (
                r.parent_warm_up_start_share,
                r.parent_warm_up_us,
                r.parent_overload_multiple,
            )
            size = SIZE * LINK_SHARE * BOXES * PARENT_SIZE
        share = first + (1 - first) * min(1.0, max(0, at - START_US) / rise)
        return multiple * share * size * r.overload_window_us / mean

    def figures(self) -> dict[str, Any]:
        mean = sum(WORK.values()) / len(WORK)
        rise = RULES.parent_warm_up_us if self.case.parent else RULES.warm_up_us
        window, load, worst = deque[tuple[int, float]](), 0.0, 0.0
        ramp = [(at, work) for at, work in self.sent if START_US <= at < START_US + rise]
        for at, work in ramp:
            window.append((at, work))
            load += work
            while window[0][0] <= at - RULES.overload_window_us:
                load -= window.popleft()[1]
            n = self.allowed(at)
            worst = max(worst, load / mean / (n + 2 * math.sqrt(n) + 2))
        steps = range(START_US, START_US + rise, 100_000)
        came = self.case.load * SIZE / mean * RULES.overload_window_us  # requests in a window, for one cache
        if self.case.parent:
            came *= (1 - HITS) * BOXES * self.zones / max(2, round(self.zones / 4))
        could = sum(min(came, self.allowed(at)) * 100_000 / RULES.overload_window_us for at in steps)
        return {"worst": worst, "used": sum(work for _, work in ramp) / mean / could, "sent": len(ramp)}


HARD = {"told_us": 7 * S, "restarts": 0.7, "uneven": 1.0, "together": 2, "load": 1.0}


def cases(hard: bool) -> list[Case]:
    """The sizes looked at; `hard`: told late, seven in ten restarted, uneven, two start, full load."""
    rows = [Case(n) for n in (1, 3, 12, 20, 30, 40, 200)] + [
        Case(n, parent=True) for n in (3, 12, 20, 30, 40)
    ]
    return [replace(case, **HARD) for case in rows] if hard else rows  # type: ignore[arg-type]


def measure(case: Case, seeds: range, decide: Decide = Router) -> dict[str, Any]:
    rows = [Ramp(case, seed, decide).run().figures() for seed in seeds]
    return {
        "directors": case.directors,
        "tier": "parent" if case.parent else "cache",
        "seeds": len(rows),
        "worst_over_bound": round(max(row["worst"] for row in rows), 3),
        "used": round(sum(row["used"] for row in rows) / len(rows), 3),
        "least_used": round(min(row["used"] for row in rows), 3),
    }
