"""The popularity step gives the ranks that recomputing every count would give, for far less work."""

from __future__ import annotations

import math
import random

import pytest

from onyxwick import Router, logic
from onyxwick.interface import (
    AnswerDetail,
    AttemptEnded,
    AttemptStatus,
    EndpointListKind,
    EndpointsChanged,
    ForwardWithFill,
    RequestArrived,
    RouterSettings,
    TimerFired,
)
from tests.world import CACHES, ORIGIN, PARENTS, SETTINGS, S

Recount = dict[str, tuple[float, int]]


class Recomputed(Router):
    """The reference: each object's count with its time, every one recomputed at each step."""

    def __init__(self, settings: RouterSettings, seed: int, now: int) -> None:
        self.recount: Recount = {}
        super().__init__(settings, seed, now)

    def _count(self, name: str, add: float = 0.0) -> float:
        count, at = self.recount.get(name, (0.0, self.now))
        count = count * math.exp2((at - self.now) / logic.HALF_LIFE_US) + add
        if add and (name in self.recount or len(self.recount) < logic.TABLE_MAX):
            self.recount[name] = (count, self.now)
        return count

    def _step(self) -> None:
        for name in [n for n in self.recount if self._count(n) < 0.1]:
            del self.recount[name]
        if len(self.recount) >= logic.TABLE_MAX:
            for name in sorted(self.recount, key=self._count)[: logic.TABLE_MAX // 2]:
                del self.recount[name]
        # Everything of the step but the thresholds, then these from counts in falling order.
        shift, answers, fills = self.shift, list(self.answers), (self.hit_share, self.fill_level)
        super()._step()
        ranked = sorted((self._count(n) for n in self.recount), reverse=True)
        room = sum(len(seen) for seen in self.hits.values()) / max(1, len(self.hits))
        t1 = int(logic.ALPHA * room * math.sqrt(self.set.zone_router_count))
        self.gold_cut = max(ranked[t1 - 1], 1.001) if 0 < t1 <= len(ranked) else math.inf
        well = answers[0] / max(1, answers[1]) >= fills[0]
        well = well and self.fill.mean <= logic.FILL_GROWTH * fills[1]
        shift += -logic.T2_STEP if well else logic.T2_STEP
        once, least = (sum(c > n for c in ranked) for n in (1.0, 2.0))
        t2 = min(max(once + int(shift * len(ranked)), least), len(ranked))
        self.shift = (t2 - once) / max(1, len(ranked)) if t2 in (least, len(ranked)) else shift
        self.bronze_cut = ranked[t2] if t2 < len(ranked) else 0.0


def _play(router: Router, seed: int, requests: int, objects: int, start: int) -> list[object]:
    rng, now, out = random.Random(seed), start, list[object]()
    listed = EndpointsChanged(EndpointListKind.SNAPSHOT, (*CACHES, *PARENTS, ORIGIN))
    router.handle(now, [listed])
    for n in range(requests):
        now += int(rng.expovariate(1 / 15_000))
        name = f"o{min(objects, int(rng.paretovariate(0.6)))}"
        actions = router.handle(now, [RequestArrived(f"r{n}", "chunk", name, 3 * S, part=n % 3 // 2)])
        out += [(a.retention_rank, a.member) for a in actions if isinstance(a, ForwardWithFill)]
        hit = AnswerDetail.HIT if rng.random() < 0.6 else AnswerDetail.FILLED
        for action in actions:
            if isinstance(action, ForwardWithFill):
                end = AttemptEnded(f"r{n}", 0, action.member, AttemptStatus.OK, 60_000, True, hit)
                router.handle(now + 1, [end])
        out.append((round(router.gold_cut, 6), round(router.bronze_cut, 6)))
    return out


@pytest.mark.parametrize("seed", range(3))
def test_the_ranks_are_those_of_recomputed_counts(seed: int) -> None:
    start = 1_000 * S
    played = [_play(kind(SETTINGS, 5, start), seed, 5_000, 4_000, start) for kind in (Router, Recomputed)]
    assert played[0] == played[1]
    ranks = {row[0] for row in played[0] if isinstance(row, tuple) and isinstance(row[0], int)}
    assert len(ranks) == 3, "gold, silver and bronze all occur"


def test_the_bound_on_the_table_drops_the_same_objects(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(logic, "TABLE_MAX", 300)
    start = 1_000 * S
    played = [_play(kind(SETTINGS, 5, start), 9, 4_000, 100_000, start) for kind in (Router, Recomputed)]
    assert played[0] == played[1]


def test_counts_hold_over_days_without_an_overflow() -> None:
    router = Router(SETTINGS, 5, 0)
    now = 0
    for n in range(3 * 86_400 // 60):
        now += 60 * S
        router.handle(now, [TimerFired("due")])
        router.handle(now, [RequestArrived(f"r{n}", "chunk", "daily", 3 * S)])
        assert router._count("daily") == pytest.approx(1, rel=0.02)
    assert all(math.isfinite(count) for count in router.counts.values())
