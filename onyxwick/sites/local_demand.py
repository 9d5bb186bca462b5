"""The objects that clients of the local site request, which are therefore likely to be in its caches.

A remote client's request for such an object is served here, because another serving site would add one
more copy and one more hop. The number of objects is bounded; the least recently requested ones are evicted
first. Times are in microseconds.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import NamedTuple

from onyxwick.sites.model import MICROSECONDS_PER_SECOND

MAX_OBJECTS = 20_000
RECENT_US = 30 * MICROSECONDS_PER_SECOND  # how long a copy usually stays cached after one request
REPEATED_WITHIN_US = 120 * MICROSECONDS_PER_SECOND  # how long it usually stays cached after two requests


class RecentRequests(NamedTuple):
    """The times (us) of the last two requests for an object; 0 means never."""

    last_us: int = 0
    previous_us: int = 0


NEVER_REQUESTED = RecentRequests()


class LocalDemand:
    """When each object was last requested by clients of the local site."""

    def __init__(self) -> None:
        self.last_requests: OrderedDict[str, RecentRequests] = OrderedDict()

    def record_request(self, now: int, object_name: str) -> None:
        """Record that a client of the local site has requested an object."""
        before = self.last_requests.pop(object_name, NEVER_REQUESTED)
        self.last_requests[object_name] = RecentRequests(now, before.last_us)
        if len(self.last_requests) > MAX_OBJECTS:
            self.last_requests.popitem(last=False)

    def is_local(self, now: int, object_name: str) -> bool:
        """Return whether an object is likely to be in the caches of the local site."""
        recent = self.last_requests.get(object_name, NEVER_REQUESTED)
        if not recent.last_us:
            return False
        is_recent = now - recent.last_us <= RECENT_US
        is_repeated = bool(recent.previous_us) and now - recent.previous_us <= REPEATED_WITHIN_US
        return is_recent or is_repeated
