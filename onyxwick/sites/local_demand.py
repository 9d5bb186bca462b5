"""Which objects the own site's clients request: those are in its caches already.

A remote client's object that is cached here anyway is served here: another serving site would be one more
copy and one more hop. Bounded: the objects requested least recently are forgotten first. Times are in
microseconds.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import NamedTuple

from onyxwick.sites.model import MICROSECONDS_PER_SECOND

MAX_OBJECTS = 20_000
RECENT_US = 30 * MICROSECONDS_PER_SECOND  # for which a copy is usually cached after a request
REPEATED_WITHIN_US = 120 * MICROSECONDS_PER_SECOND  # or for which it is after two requests


class RecentRequests(NamedTuple):
    """The times (us) of an object's last request and of the one before; 0 for never."""

    last_us: int = 0
    previous_us: int = 0


NEVER_REQUESTED = RecentRequests()


class LocalDemand:
    """When each object was last requested by the own site's clients."""

    def __init__(self) -> None:
        self.last_requests: OrderedDict[str, RecentRequests] = OrderedDict()

    def record_request(self, now: int, object_name: str) -> None:
        """An own client has requested an object."""
        before = self.last_requests.pop(object_name, NEVER_REQUESTED)
        self.last_requests[object_name] = RecentRequests(now, before.last_us)
        if len(self.last_requests) > MAX_OBJECTS:
            self.last_requests.popitem(last=False)

    def is_local(self, now: int, object_name: str) -> bool:
        """Whether an object is likely to be in the own site's caches."""
        recent = self.last_requests.get(object_name, NEVER_REQUESTED)
        if not recent.last_us:
            return False
        is_recent = now - recent.last_us <= RECENT_US
        is_repeated = bool(recent.previous_us) and now - recent.previous_us <= REPEATED_WITHIN_US
        return is_recent or is_repeated
