"""Which objects the own site's clients want, too: those are at its boxes already.

A stranger's object that is here anyway is served here: a new home for it would be one more copy, and one more
way. Bounded: the objects asked for least lately are forgotten first.
"""

from __future__ import annotations

from collections import OrderedDict

S = 1_000_000
MOST = 20_000  # objects remembered
LATELY_US = 30 * S  # asked for by an own client so lately: as a rule a copy is kept that long
AGAIN_US = 120 * S  # or asked for twice within so long


class LocalDemand:
    """When each object was asked for by own clients, the last time and the time before."""

    def __init__(self) -> None:
        self.seen: OrderedDict[str, tuple[int, int]] = OrderedDict()

    def asked(self, now: int, name: str) -> None:
        last = self.seen.pop(name, (0, 0))[0]
        self.seen[name] = (now, last)
        if len(self.seen) > MOST:
            self.seen.popitem(last=False)

    def here(self, now: int, name: str) -> bool:
        last, before = self.seen.get(name, (0, 0))
        return bool(last) and (now - last <= LATELY_US or (bool(before) and now - before <= AGAIN_US))
