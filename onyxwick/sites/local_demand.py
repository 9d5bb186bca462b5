"""Which objects the own site's clients want, too: those are at its boxes already.

A stranger's object that is here anyway is served here: a new home for it would be one more copy, and one more
way. Bounded: the objects asked for least lately are forgotten first.
"""

from __future__ import annotations

from collections import OrderedDict

S = 1_000_000
MAX_OBJECTS = 20_000  # objects remembered
RECENT_US = 30 * S  # asked for by an own client so lately: as a rule a copy is kept that long
REPEATED_WITHIN_US = 120 * S  # or asked for twice within so long


class LocalDemand:
    """When each object was asked for by own clients, the last time and the time before."""

    def __init__(self) -> None:
        self.last_requests: OrderedDict[str, tuple[int, int]] = OrderedDict()

    def record_request(self, now: int, name: str) -> None:
        last = self.last_requests.pop(name, (0, 0))[0]
        self.last_requests[name] = (now, last)
        if len(self.last_requests) > MAX_OBJECTS:
            self.last_requests.popitem(last=False)

    def is_local(self, now: int, name: str) -> bool:
        last, before = self.last_requests.get(name, (0, 0))
        return bool(last) and (
            now - last <= RECENT_US or (bool(before) and now - before <= REPEATED_WITHIN_US)
        )
