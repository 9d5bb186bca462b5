"""A machine's link: transfers that share it, its warmth, and how it falls over. Time in, no I/O.

Processor sharing by virtual time (Demers, Keshav and Shenker 1989, section 2): each transfer under way
advances at the same pace, so the one with the least virtual finish ends first whoever joins or leaves.
"""

from __future__ import annotations

import heapq
from collections import deque

from onyxwick.lab.model import Tier

FALL_US = 3_000_000  # over which a machine is sent too much before it falls over
STEP_US = 100_000  # a cold machine's capacity is looked at anew this often


class EmulatedLink:
    def __init__(self, tier: Tier, now: int, started: int = 0) -> None:
        """`started` 0: it has been running for long and is warm."""
        self.tier, self.started, self.at = tier, started, now
        self.virtual = 0.0
        self.due: list[tuple[float, int]] = []
        self.live: dict[int, float] = {}
        self.number = 0
        self.sent: deque[tuple[int, float]] = deque()
        self.sent_sum = 0.0

    def warmth(self, now: int) -> float:
        tier = self.tier
        if not self.started or now - self.started >= tier.cold_us:
            return 1.0
        return tier.cold_share + (1 - tier.cold_share) * max(0, now - self.started) / tier.cold_us

    def pace(self, now: int) -> float:
        """How fast each transfer moves: 1 at full pace."""
        return min(1.0, self.tier.capacity * self.warmth(now) / max(1, len(self.live)))

    def advance(self, now: int) -> list[int]:
        """Let time pass; the transfers that ended."""
        while self.at < now:
            step = min(now, self.at + STEP_US)
            self.virtual += (step - self.at) * self.pace(self.at)
            self.at = step
        out = []
        while self.due and (self.due[0][1] not in self.live or self.due[0][0] <= self.virtual + 1e-6):
            number = heapq.heappop(self.due)[1]
            if self.live.pop(number, None) is not None:
                out.append(number)
        return out

    def begin(self, now: int, work_us: float) -> int:
        """A transfer that takes `work_us` at full pace; call `advance` before."""
        self.number += 1
        self.live[self.number] = self.virtual + work_us
        heapq.heappush(self.due, (self.virtual + work_us, self.number))
        return self.number

    def cancel(self, number: int) -> None:
        self.live.pop(number, None)

    def next_end(self, now: int) -> int | None:
        """When the next transfer ends if nothing changes; call `advance` before."""
        while self.due and self.due[0][1] not in self.live:
            heapq.heappop(self.due)
        if not self.due:
            return None
        left = (self.due[0][0] - self.virtual) / self.pace(now)
        end = now + max(1, int(left) + 1)
        return min(end, now + STEP_US) if self.warmth(now) < 1 else end

    def asked(self, now: int, work_us: float) -> bool:
        """Count what is asked of it, refused or not; True if that pushes it over."""
        self.sent.append((now, work_us))
        self.sent_sum += work_us
        while self.sent[0][0] <= now - FALL_US:
            self.sent_sum -= self.sent.popleft()[1]
        if not self.started:
            return False
        begin = max(self.started, now - FALL_US)
        able = self.tier.capacity * FALL_US * (self.warmth(begin) + self.warmth(now)) / 2
        return self.warmth(now) < 1 and self.sent_sum > self.tier.fall_multiple * able
