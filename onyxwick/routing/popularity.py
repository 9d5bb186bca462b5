"""Popularity: the rank at which a cache keeps an object.

This is the online part of the algorithm Adapt-L; see DESIGN of the deployment.

Input: client reads, one per object and visit; hits and answers of the caches; the mean fill latency
(microseconds). Output: the retention rank of an object: gold (cached, evicted last), silver (cached, evicted
first) or bronze (forwarded without being cached).

Rule: reads are counted with exponential decay. Every two seconds the two thresholds are set from the sorted
counts. The gold threshold admits as many objects as fill a fixed share of one cache. At first, the
bronze threshold makes those objects bronze that were read only once. Feedback then moves it up or down in
small steps: when the share of hits falls, or fills become slower, more objects are cached.
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
"""The ranks have the values of the wire protocol, whose rank 2 is not used."""

HALF_LIFE_US = 10 * US_PER_S
"""Read counts halve in this time. A cache's content is taken to be the objects hit there within this time."""
RECOMPUTE_INTERVAL_US = 2 * US_PER_S
GOLD_SHARE = 0.2
"""The gold objects are this share of the objects that fit into one cache, if the zone has one router."""
MIN_GOLD_COUNT = 1.001
"""Lowest count of a gold object: an object that was read once is never gold."""
BRONZE_STEP = 0.02
"""Share of the counted objects by which one step of the feedback moves the bronze threshold."""
SLOWER_FILL_RATIO = 1.2
"""Fills count as slower if their mean latency is more than this multiple of that at the previous step."""
MAX_COUNTED_OBJECTS = 50_000
MAX_RECENT_HITS = 50_000
"""Recent hits remembered of all caches together; further objects are not remembered as hit."""
MIN_COUNT = 0.1
"""Objects whose decayed number of reads is below this are dropped."""
COMPACTION_SHARE = 0.75
MAX_COUNT_UNIT = 1e100
"""Largest unit of the stored counts, far below the largest float."""


class Popularity:
    """Holds the read counts of one router and the thresholds between the ranks.

    All counts decay at the same rate, so no stored count is rewritten when it decays. A count is stored
    multiplied by the unit of the time at which it was last raised. The unit grows with time, and a stored
    count is divided by the current unit when it is read.
    """

    def __init__(self, settings: RouterSettings, now_us: int) -> None:
        self.router_key = f"{settings.router_index}"
        self.zone_router_count = settings.zone_router_count
        self.started_us = now_us
        self.counts: dict[str, float] = {}
        self.unit_since_us = now_us
        self.dropped_below = 0.0
        """Stored counts below this value count as 0; they are removed at intervals."""
        self.gold_threshold = math.inf
        self.bronze_threshold = 1.0
        self.bronze_shift = 0.0
        """Number of objects above the bronze threshold, minus the number read more than once, as a share of
        the counted objects."""
        self.recent_hits: dict[str, dict[str, int]] = {}
        """Time of the last hit in microseconds, by cache and object."""
        self.recent_hit_count = 0
        """Entries of `recent_hits`, as of the last recompute and with those added since."""
        self.hits = 0
        """Hits since the last step of the feedback; `answers` counts all answers over the same time."""
        self.answers = 0
        self.previous_hit_share = 0.0
        self.previous_fill_us = 0.0

    def _unit(self, now_us: int) -> float:
        return math.exp2((now_us - self.unit_since_us) / HALF_LIFE_US)

    def count(self, object_id: str, now_us: int) -> float:
        """Return the decayed number of reads of an object."""
        stored = self.counts.get(object_id, 0.0)
        return stored / self._unit(now_us) if stored >= self.dropped_below else 0.0

    def record_read(self, object_id: str, now_us: int, reads: float = 1.0) -> float:
        """Count reads of an object and return its new count. A full table accepts no new object."""
        unit = self._unit(now_us)
        stored = self.counts.get(object_id, 0.0)
        count = stored / unit + reads if stored >= self.dropped_below else reads
        if object_id in self.counts or len(self.counts) < MAX_COUNTED_OBJECTS:
            self.counts[object_id] = count * unit
        return count

    def retention_rank(self, arrival: RequestArrived, request_class: RequestClass, now_us: int) -> int:
        """Count a client's read of an object, at its first part only, and return the object's rank."""
        if arrival.part == 0 and not arrival.is_retry:
            count = self.record_read(arrival.object_id, now_us)
        else:
            count = self.count(arrival.object_id, now_us)
        if request_class.is_write:
            return BRONZE_RANK
        if count >= self.gold_threshold:
            return GOLD_RANK
        if count > self.bronze_threshold or now_us - self.started_us < HALF_LIFE_US:
            return SILVER_RANK  # Just after the start nothing has been counted, so no object is bronze yet.
        # An object that was read once here was probably read through the zone's other routers too. It is
        # silver with a probability that grows with their number; its hash decides, so that all parts agree.
        others_share = 1 - 1 / self.zone_router_count
        likely_read = math.exp(-exponential_draw(self.router_key, arrival.object_id)) < others_share
        return SILVER_RANK if likely_read else BRONZE_RANK

    def record_answer(self, cache: str, object_id: str, hit: bool, now_us: int) -> None:
        """Record that a cache has answered a read, with a hit or without."""
        self.answers += 1
        if hit:
            self.hits += 1
            hits = self.recent_hits.setdefault(cache, {})
            if object_id not in hits:
                if self.recent_hit_count >= MAX_RECENT_HITS:
                    return
                self.recent_hit_count += 1
            hits[object_id] = now_us

    def forget_cache(self, cache: str) -> None:
        """Drop the hits of a cache that has lost its copies."""
        self.recent_hits.pop(cache, None)

    def recompute_ranks(self, now_us: int, mean_fill_us: float) -> None:
        """Recompute both thresholds and drop expired hits and counts."""
        self._drop_old_hits(now_us)
        unit = self._unit(now_us)
        ranked = self._ranked_counts(unit)
        self._set_gold_threshold(ranked, unit)
        self._adjust_bronze_shift(mean_fill_us)
        self._set_bronze_threshold(ranked, unit)
        if unit > MAX_COUNT_UNIT:
            self.counts = {object_id: count / unit for object_id, count in self.counts.items()}
            self.unit_since_us = now_us
            self.dropped_below /= unit

    def _drop_old_hits(self, now_us: int) -> None:
        oldest_us = now_us - HALF_LIFE_US
        for hits in self.recent_hits.values():
            for object_id in [name for name, hit_us in hits.items() if hit_us < oldest_us]:
                del hits[object_id]
        self.recent_hit_count = sum(len(hits) for hits in self.recent_hits.values())

    def _ranked_counts(self, unit: float) -> list[float]:
        """Return the counts that are kept, in ascending order; of a full table only the upper half."""
        ranked = sorted(self.counts.values())
        self.dropped_below = MIN_COUNT * unit
        ranked = ranked[bisect_left(ranked, self.dropped_below) :]
        if len(ranked) >= MAX_COUNTED_OBJECTS:
            half = MAX_COUNTED_OBJECTS // 2
            self.dropped_below = ranked[half]
            ranked = ranked[half:]
        stored = len(self.counts)
        if len(ranked) < COMPACTION_SHARE * stored or stored > COMPACTION_SHARE * MAX_COUNTED_OBJECTS:
            self.counts = {name: count for name, count in self.counts.items() if count >= self.dropped_below}
        return ranked

    def _set_gold_threshold(self, ranked: list[float], unit: float) -> None:
        cached = sum(len(hits) for hits in self.recent_hits.values()) / max(1, len(self.recent_hits))
        # A router sees part of the zone's hits, and these parts overlap: hence the square root.
        gold = int(GOLD_SHARE * cached * math.sqrt(self.zone_router_count))
        self.gold_threshold = math.inf
        if 0 < gold <= len(ranked):
            self.gold_threshold = max(ranked[-gold] / unit, MIN_GOLD_COUNT)

    def _adjust_bronze_shift(self, mean_fill_us: float) -> None:
        hit_share = self.hits / max(1, self.answers)
        fills_not_slower = mean_fill_us <= SLOWER_FILL_RATIO * self.previous_fill_us
        keep_less = hit_share >= self.previous_hit_share and fills_not_slower
        self.bronze_shift += -BRONZE_STEP if keep_less else BRONZE_STEP
        self.previous_hit_share = hit_share
        self.previous_fill_us = mean_fill_us
        self.hits = 0
        self.answers = 0

    def _set_bronze_threshold(self, ranked: list[float], unit: float) -> None:
        total = len(ranked)
        over_once = total - bisect_right(ranked, 1 * unit)
        over_twice = total - bisect_right(ranked, 2 * unit)  # Objects read more than twice are never bronze.
        kept = min(max(over_once + int(self.bronze_shift * total), over_twice), total)
        # If the number of objects kept is at its minimum or maximum, the shift is set to match that number.
        # Otherwise the shift would move on, and its first steps back would have no effect.
        if kept in (over_twice, total):
            self.bronze_shift = (kept - over_once) / max(1, total)
        self.bronze_threshold = ranked[-1 - kept] / unit if kept < total else 0.0
