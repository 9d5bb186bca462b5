"""Popularity: at which rank a cache keeps an object (the online part of Adapt-L, see
DESIGN of the deployment).

Input: client reads, one per object and visit; hits and answers of the caches; the mean fill latency
(microseconds). Output: the retention rank of an object: gold (kept, evicted last), silver (kept, evicted
first) or bronze (forwarded without being kept).

Rule: reads are counted with exponential decay. Every two seconds the two thresholds are set from the sorted
counts: gold takes as many objects as fill a fixed share of one cache; bronze starts at the objects read
once, moved up or down in small steps by feedback: fewer hits, or fills that grow slower, keep more.
"""

from __future__ import annotations

import math
from bisect import bisect_left, bisect_right

from onyxwick.interface import RequestArrived, RequestClass, RouterSettings
from onyxwick.routing.rendezvous import exponential_draw
from onyxwick.routing.units import US_PER_S

BRONZE_RANK = 0
SILVER_RANK = 1
GOLD_RANK = 3
"""The ranks are the wire's; its rank 2 is not used."""

HALF_LIFE_US = 10 * US_PER_S
"""Counts halve in this time; hits of the same time are taken for a cache's content."""
RECOMPUTE_INTERVAL_US = 2 * US_PER_S
GOLD_SHARE = 0.2
"""Of the objects that fit into one cache."""
MIN_GOLD_COUNT = 1.001
"""An object read once is never gold."""
BRONZE_STEP = 0.02
"""Of the counted objects: how far one step of the feedback moves the bronze threshold."""
SLOWER_FILL_RATIO = 1.2
"""Fill latency over that of the step before, from which fills count as slower."""
MAX_COUNTED_OBJECTS = 50_000
MIN_COUNT = 0.1
"""An object with a lower count is forgotten."""
COMPACTION_SHARE = 0.75
MAX_SCALE = 1e100
"""Of the counts' unit, far below the largest float."""


class Popularity:
    """Read counts of one router and the thresholds between its ranks.

    All counts decay alike, so none is rewritten for it: a count is stored in the unit of the time at which it
    was last raised, and that unit grows.
    """

    def __init__(self, settings: RouterSettings, now_us: int) -> None:
        self.router_key = f"{settings.router_index}"
        self.zone_router_count = settings.zone_router_count
        self.started_us = now_us
        self.counts: dict[str, float] = {}
        self.unit_since_us = now_us
        self.forgotten_below = 0.0
        """Stored counts under this are void and are removed now and then."""
        self.gold_threshold = math.inf
        self.bronze_threshold = 1.0
        self.bronze_shift = 0.0
        """Distance of the bronze threshold from `read once`, as a share of the counted objects."""
        self.recent_hits: dict[str, dict[str, int]] = {}
        """Time of the last hit, by cache and object."""
        self.hits = 0
        """Since the last step, as `answers`."""
        self.answers = 0
        self.previous_hit_share = 0.0
        self.previous_fill_us = 0.0

    def _unit(self, now_us: int) -> float:
        return math.exp2((now_us - self.unit_since_us) / HALF_LIFE_US)

    def count(self, object_id: str, now_us: int) -> float:
        """The decayed number of reads of an object."""
        stored = self.counts.get(object_id, 0.0)
        return stored / self._unit(now_us) if stored >= self.forgotten_below else 0.0

    def record_read(self, object_id: str, now_us: int, reads: float = 1.0) -> float:
        """Count reads of an object and return its new count. A full table takes in no new object."""
        unit = self._unit(now_us)
        stored = self.counts.get(object_id, 0.0)
        count = stored / unit + reads if stored >= self.forgotten_below else reads
        if object_id in self.counts or len(self.counts) < MAX_COUNTED_OBJECTS:
            self.counts[object_id] = count * unit
        return count

    def retention_rank(self, arrival: RequestArrived, request_class: RequestClass, now_us: int) -> int:
        """Count one client's read of an object, its first part only, and return its rank."""
        if arrival.part == 0 and not arrival.is_retry:
            count = self.record_read(arrival.object_id, now_us)
        else:
            count = self.count(arrival.object_id, now_us)
        if request_class.is_write:
            return BRONZE_RANK
        if count >= self.gold_threshold:
            return GOLD_RANK
        if count > self.bronze_threshold or now_us - self.started_us < HALF_LIFE_US:
            return SILVER_RANK  # just after the start nothing has been counted: nothing is bronze yet
        # Read once here, an object was likely read through the zone's other routers too: it is silver with
        # a probability that grows with their number, decided by its hash so that all its parts agree.
        others_share = 1 - 1 / self.zone_router_count
        likely_read = math.exp(-exponential_draw(self.router_key, arrival.object_id)) < others_share
        return SILVER_RANK if likely_read else BRONZE_RANK

    def record_answer(self, cache: str, object_id: str, hit: bool, now_us: int) -> None:
        """A cache has answered a read, with a hit or not."""
        self.answers += 1
        if hit:
            self.hits += 1
            self.recent_hits.setdefault(cache, {})[object_id] = now_us

    def forget_cache(self, cache: str) -> None:
        """A cache has lost its copies."""
        self.recent_hits.pop(cache, None)

    def recompute_ranks(self, now_us: int, mean_fill_us: float) -> None:
        """Set both thresholds anew and drop what has expired."""
        self._drop_old_hits(now_us)
        unit = self._unit(now_us)
        ranked = self._ranked_counts(unit)
        self._set_gold_threshold(ranked, unit)
        self._adjust_bronze_shift(mean_fill_us)
        self._set_bronze_threshold(ranked, unit)
        if unit > MAX_SCALE:
            self.counts = {object_id: count / unit for object_id, count in self.counts.items()}
            self.unit_since_us = now_us
            self.forgotten_below /= unit

    def _drop_old_hits(self, now_us: int) -> None:
        oldest_us = now_us - HALF_LIFE_US
        for hits in self.recent_hits.values():
            for object_id in [name for name, hit_us in hits.items() if hit_us < oldest_us]:
                del hits[object_id]

    def _ranked_counts(self, unit: float) -> list[float]:
        """The stored counts in rising order, without the forgotten; of a full table its greater half."""
        ranked = sorted(self.counts.values())
        self.forgotten_below = MIN_COUNT * unit
        ranked = ranked[bisect_left(ranked, self.forgotten_below) :]
        if len(ranked) >= MAX_COUNTED_OBJECTS:
            half = MAX_COUNTED_OBJECTS // 2
            self.forgotten_below = ranked[half]
            ranked = ranked[half:]
        stored = len(self.counts)
        if len(ranked) < COMPACTION_SHARE * stored or stored > COMPACTION_SHARE * MAX_COUNTED_OBJECTS:
            self.counts = {
                name: count for name, count in self.counts.items() if count >= self.forgotten_below
            }
        return ranked

    def _set_gold_threshold(self, ranked: list[float], unit: float) -> None:
        cached = sum(len(hits) for hits in self.recent_hits.values()) / max(1, len(self.recent_hits))
        # A router sees part of the zone's hits, and the parts overlap: hence the root.
        gold = int(GOLD_SHARE * cached * math.sqrt(self.zone_router_count))
        self.gold_threshold = math.inf
        if 0 < gold <= len(ranked):
            self.gold_threshold = max(ranked[-gold] / unit, MIN_GOLD_COUNT)

    def _adjust_bronze_shift(self, mean_fill_us: float) -> None:
        hit_share = self.hits / max(1, self.answers)
        faster = mean_fill_us <= SLOWER_FILL_RATIO * self.previous_fill_us
        keep_less = hit_share >= self.previous_hit_share and faster
        self.bronze_shift += -BRONZE_STEP if keep_less else BRONZE_STEP
        self.previous_hit_share = hit_share
        self.previous_fill_us = mean_fill_us
        self.hits = 0
        self.answers = 0

    def _set_bronze_threshold(self, ranked: list[float], unit: float) -> None:
        total = len(ranked)
        over_once = total - bisect_right(ranked, 1 * unit)
        over_twice = total - bisect_right(ranked, 2 * unit)  # read more than twice is never bronze
        kept = min(max(over_once + int(self.bronze_shift * total), over_twice), total)
        if kept in (over_twice, total):  # at a bound: the shift does not wind up beyond it
            self.bronze_shift = (kept - over_once) / max(1, total)
        self.bronze_threshold = ranked[-1 - kept] / unit if kept < total else 0.0
