"""Popularity gives the same ranks as a reference that recomputes every count, with far less work."""

from __future__ import annotations

import math
import random

import pytest

from onyxwick import Router
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
from onyxwick.routing import popularity
from onyxwick.routing.popularity import Popularity
from tests.router_harness import CACHES, ORIGIN, PARENTS, SETTINGS, US_PER_S

START_US = 1_000 * US_PER_S


class RecomputedPopularity(Popularity):
    """Reference implementation: stores each count with its time and recomputes all counts at each step."""

    def __init__(self, settings: RouterSettings, now_us: int) -> None:
        super().__init__(settings, now_us)
        self.timed_counts: dict[str, tuple[float, int]] = {}

    def count(self, object_id: str, now_us: int) -> float:
        count, at_us = self.timed_counts.get(object_id, (0.0, now_us))
        return count * math.exp2((at_us - now_us) / popularity.HALF_LIFE_US)

    def record_read(self, object_id: str, now_us: int, reads: float = 1.0) -> float:
        count = self.count(object_id, now_us) + reads
        if object_id in self.timed_counts or len(self.timed_counts) < popularity.MAX_COUNTED_OBJECTS:
            self.timed_counts[object_id] = (count, now_us)
        return count

    def recompute_ranks(self, now_us: int, mean_fill_us: float) -> None:
        self._drop_low_counts(now_us)
        shift = self.bronze_shift
        hit_share = self.hits / max(1, self.answers)
        keep_less = hit_share >= self.previous_hit_share
        keep_less = keep_less and mean_fill_us <= popularity.SLOWER_FILL_RATIO * self.previous_fill_us
        # The base class does the step; its thresholds are then replaced, from counts in descending order.
        super().recompute_ranks(now_us, mean_fill_us)
        ranked = sorted((self.count(name, now_us) for name in self.timed_counts), reverse=True)
        cached = sum(len(hits) for hits in self.recent_hits.values()) / max(1, len(self.recent_hits))
        gold = int(popularity.GOLD_SHARE * cached * math.sqrt(self.zone_router_count))
        self.gold_threshold = max(ranked[gold - 1], 1.001) if 0 < gold <= len(ranked) else math.inf
        shift += -popularity.BRONZE_STEP if keep_less else popularity.BRONZE_STEP
        once, twice = (sum(count > reads for count in ranked) for reads in (1.0, 2.0))
        kept = min(max(once + int(shift * len(ranked)), twice), len(ranked))
        at_bound = kept in (twice, len(ranked))
        self.bronze_shift = (kept - once) / max(1, len(ranked)) if at_bound else shift
        self.bronze_threshold = ranked[kept] if kept < len(ranked) else 0.0

    def _drop_low_counts(self, now_us: int) -> None:
        for name in [name for name in self.timed_counts if self.count(name, now_us) < 0.1]:
            del self.timed_counts[name]
        if len(self.timed_counts) >= popularity.MAX_COUNTED_OBJECTS:
            ascending = sorted(self.timed_counts, key=lambda name: self.count(name, now_us))
            for name in ascending[: popularity.MAX_COUNTED_OBJECTS // 2]:
                del self.timed_counts[name]


def _router(popularity_class: type[Popularity]) -> Router:
    router = Router(SETTINGS, 5, START_US)
    reference = popularity_class(SETTINGS, START_US)
    router.popularity = router.cache_selector.popularity = router.outcomes.popularity = reference
    return router


def _run_stream(router: Router, seed: int, requests: int, objects: int) -> list[object]:
    """Send a skewed stream of reads; return each read's rank and cache, and the thresholds after it."""
    rng = random.Random(seed)
    now = START_US
    decisions: list[object] = []
    router.handle(now, [EndpointsChanged(EndpointListKind.SNAPSHOT, (*CACHES, *PARENTS, ORIGIN))])
    for n in range(requests):
        now += int(rng.expovariate(1 / 15_000))
        object_id = f"o{min(objects, int(rng.paretovariate(0.6)))}"
        actions = router.handle(
            now, [RequestArrived(f"r{n}", "chunk", object_id, 3 * US_PER_S, part=n % 3 // 2)]
        )
        forwards = [action for action in actions if isinstance(action, ForwardWithFill)]
        decisions += [(forward.retention_rank, forward.member) for forward in forwards]
        detail = AnswerDetail.HIT if rng.random() < 0.6 else AnswerDetail.FILLED
        for forward in forwards:
            end = AttemptEnded(f"r{n}", 0, forward.member, AttemptStatus.OK, 60_000, True, detail)
            router.handle(now + 1, [end])
        ranks = router.popularity
        decisions.append((round(ranks.gold_threshold, 6), round(ranks.bronze_threshold, 6)))
    return decisions


@pytest.mark.parametrize("seed", range(3))
def test_the_ranks_are_those_of_recomputed_counts(seed: int) -> None:
    runs = [_run_stream(_router(kind), seed, 5_000, 4_000) for kind in (Popularity, RecomputedPopularity)]
    assert runs[0] == runs[1]
    ranks = {row[0] for row in runs[0] if isinstance(row, tuple) and isinstance(row[0], int)}
    assert len(ranks) == 3, "gold, silver and bronze all occur"


def test_the_bound_on_the_table_drops_the_same_objects(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(popularity, "MAX_COUNTED_OBJECTS", 300)
    runs = [_run_stream(_router(kind), 9, 4_000, 100_000) for kind in (Popularity, RecomputedPopularity)]
    assert runs[0] == runs[1]


def test_counts_hold_over_days_without_an_overflow() -> None:
    router = Router(SETTINGS, 5, 0)
    now = 0
    for n in range(3 * 86_400 // 60):
        now += 60 * US_PER_S
        router.handle(now, [TimerFired("due")])
        router.handle(now, [RequestArrived(f"r{n}", "chunk", "daily", 3 * US_PER_S)])
        assert router.popularity.count("daily", now) == pytest.approx(1, rel=0.02)
    assert all(math.isfinite(count) for count in router.popularity.counts.values())
