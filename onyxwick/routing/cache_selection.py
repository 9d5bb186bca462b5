"""Cache selection: which cache of the zone a request is sent to.

Input: the requested part of an object, its class, and the attempts made so far. Output: a cache, or None if
no cache may take the request now.

Rule: the candidates are the zone's caches in the rendezvous order of the part's key, so that all routers
look for a copy at the same cache. A part that is so hot that it takes much of one cache's link is served by
the first two caches in alternation. The other caches are fallbacks, and caches that were already tried come
last. The rule selects the first cache that is healthy, within its warm-up budget and under its concurrency
limit.
"""

from __future__ import annotations

import math

from onyxwick.interface import Idempotency, RequestArrived, RequestClass, RouterSettings
from onyxwick.routing.capacity import CapacityModel
from onyxwick.routing.concurrency_limit import ConcurrencyLimit
from onyxwick.routing.endpoints import MemberRoles
from onyxwick.routing.latency import LatencyTracker
from onyxwick.routing.outlier_detection import is_usable
from onyxwick.routing.popularity import HALF_LIFE_US, Popularity
from onyxwick.routing.rendezvous import RendezvousHash
from onyxwick.routing.slow_start import SlowStart
from onyxwick.routing.state import MemberRecord, RequestState

HOT_LINK_SHARE = 0.1
"""Share of one cache's link taken by one part, above which the part is split between two caches."""


class CacheSelector:
    """Chooses the cache of an attempt."""

    def __init__(
        self,
        settings: RouterSettings,
        endpoints: MemberRoles,
        capacity: CapacityModel,
        latency: LatencyTracker,
        popularity: Popularity,
        rendezvous: RendezvousHash,
        slow_start: SlowStart,
        concurrency_limit: ConcurrencyLimit,
    ) -> None:
        self.zone_router_count = settings.zone_router_count
        self.endpoints = endpoints
        self.capacity = capacity
        self.latency = latency
        self.popularity = popularity
        self.rendezvous = rendezvous
        self.slow_start = slow_start
        self.concurrency_limit = concurrency_limit
        self._second_is_next = False

    def order(self, arrival: RequestArrived) -> list[MemberRecord]:
        """Return the zone's caches in the rendezvous order of a part; the first is the part's home."""
        return self.rendezvous.order(f"{arrival.object_id}/{arrival.part}", self.endpoints.caches)

    def choose(self, request: RequestState, now_us: int) -> MemberRecord | None:
        """Return the cache for the next attempt of a request; None if no cache may take it now."""
        request_class = request.request_class
        transfer_us = self.latency.transfer[request_class.name].mean_us
        candidates = self.order(request.arrival)
        if len(candidates) > 1 and not request_class.is_write:
            self._alternate_if_hot(candidates, request.arrival, transfer_us, now_us)
        if request.attempts:
            candidates = _untried_first(candidates, request)
        may_be_trial = request_class.idempotency is Idempotency.IDEMPOTENT and not request.attempts
        for cache in candidates:
            if cache.ejected and not may_be_trial:
                continue
            if self._admits(cache, request_class, transfer_us, now_us):
                return cache
        return None

    def _admits(
        self, cache: MemberRecord, request_class: RequestClass, transfer_us: float, now_us: int
    ) -> bool:
        """Return whether a cache may take one more request of a class now."""
        return (
            is_usable(cache, now_us)
            and self.slow_start.admits(cache, transfer_us, now_us)
            and self.concurrency_limit.admits(cache, request_class, now_us)
        )

    def _alternate_if_hot(
        self, candidates: list[MemberRecord], arrival: RequestArrived, transfer_us: float, now_us: int
    ) -> None:
        """Swap the first two candidates for every other request of a hot part."""
        reads_per_us = self.popularity.count(arrival.object_id, now_us) * math.log(2) / HALF_LIFE_US
        hot = HOT_LINK_SHARE * self.capacity.transfers(candidates[0]) / self.zone_router_count
        if reads_per_us * transfer_us <= hot:
            return
        self._second_is_next = not self._second_is_next
        if self._second_is_next:
            candidates[0], candidates[1] = candidates[1], candidates[0]


def _untried_first(candidates: list[MemberRecord], request: RequestState) -> list[MemberRecord]:
    tried = [attempt.member for attempt in request.attempts if not attempt.missed]
    untried = [cache for cache in candidates if cache not in tried]
    return untried + [cache for cache in candidates if cache in tried]
