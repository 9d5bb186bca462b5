"""Fill sources: the member from which a cache fetches an object that it has not cached.

Input: a request, its class and the attempts made so far. Output: the member that a miss is filled from
(None means that it is not to be filled now), and whether a parent may fetch from the origin in turn.

Rule: the parents are considered in the rendezvous order of the object, so that all zones share one copy;
then the origin; then a cache of another zone, for objects that it has cached itself. A parent that is only
at its concurrency limit is not skipped: the limit may be reached because of the link that all fills share,
and the origin is the last member to be loaded.
"""

from __future__ import annotations

from onyxwick.interface import RouterSettings, SiblingFills
from onyxwick.routing.concurrency_limit import ConcurrencyLimit
from onyxwick.routing.endpoints import MemberRoles
from onyxwick.routing.latency import LatencyTracker
from onyxwick.routing.outlier_detection import is_usable
from onyxwick.routing.rendezvous import RendezvousHash, exponential_draw
from onyxwick.routing.slow_start import SlowStart
from onyxwick.routing.state import MemberRecord, RequestState


class FillSourceSelector:
    """Chooses the fill source of an attempt."""

    def __init__(
        self,
        settings: RouterSettings,
        endpoints: MemberRoles,
        latency: LatencyTracker,
        rendezvous: RendezvousHash,
        slow_start: SlowStart,
        concurrency_limit: ConcurrencyLimit,
    ) -> None:
        self.remote_fills = settings.sibling_fills is SiblingFills.ANY
        self.endpoints = endpoints
        self.latency = latency
        self.rendezvous = rendezvous
        self.slow_start = slow_start
        self.concurrency_limit = concurrency_limit

    def choose(self, request: RequestState, now_us: int) -> MemberRecord | None:
        """Return the member that a miss is filled from; None means that a miss is not to be filled now."""
        request_class = request.request_class
        if not request_class.is_write:
            transfer_us = self.latency.transfer[request_class.name].mean_us
            tried = [attempt.fill_source for attempt in request.attempts]
            for parent in self.rendezvous.order(request.arrival.object_id, self.endpoints.parents):
                if parent in tried or not is_usable(parent, now_us):
                    continue
                if self.slow_start.admits(parent, transfer_us, now_us):
                    admitted = self.concurrency_limit.admits(parent, request_class, now_us)
                    return parent if admitted else None
        origin = self.endpoints.origin
        if origin and self.concurrency_limit.admits(origin, request_class, now_us):
            return origin
        return self.choose_remote_cache(request, now_us)

    def choose_remote_cache(self, request: RequestState, now_us: int) -> MemberRecord | None:
        """Return the part's home cache in another zone, if settings allow such fills.

        A cache of another zone is asked once per request. None means that none may fill the request now.
        """
        if not self.remote_fills or request.request_class.is_write or not self.endpoints.remote_caches:
            return None
        parents = self.endpoints.parents
        if any(attempt.fill_source and attempt.fill_source not in parents for attempt in request.attempts):
            return None
        arrival = request.arrival
        remote = self.endpoints.remote_caches
        zone = min(remote, key=lambda name: exponential_draw(arrival.object_id, name))
        cache = self.rendezvous.order(f"{arrival.object_id}/{arrival.part}", remote[zone])[0]
        if not is_usable(cache, now_us) or self.slow_start.warm_share(cache, now_us) < 1.0:
            return None
        admitted = self.concurrency_limit.admits(cache, request.request_class, now_us)
        return cache if admitted else None

    def is_remote_cache(self, source: MemberRecord | None) -> bool:
        """Return whether a fill source is neither a parent nor the origin."""
        if source is None or source is self.endpoints.origin:
            return False
        return source not in self.endpoints.parents

    def origin_is_full(self, request: RequestState, source: MemberRecord | None, now_us: int) -> bool:
        """Return whether `source` is a parent and the origin behind it is at its concurrency limit.

        Such a parent is asked only for objects that it has cached itself.
        """
        origin = self.endpoints.origin
        if origin is None or source not in self.endpoints.parents:
            return False
        return not self.concurrency_limit.admits(origin, request.request_class, now_us)
