"""How directors that restart together come back without asking for everything at once. No I/O.

Each draws its own delays from its seed, and raises its limits step by step: of many, no more than a few do
the same at the same time, with no talk between them.
"""

from __future__ import annotations

import random
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Pace:
    """`spread_us`: over how long the first calls of all directors are spread; `rise_us`: from a start to full
    limits; `first`: the share of the limits at the start; `most_us`: of one delay between attempts."""

    spread_us: int = 2_000_000
    rise_us: int = 10_000_000
    first: float = 0.2
    most_us: int = 8_000_000


class Comeback:
    """One director's way back to full limits."""

    def __init__(self, seed: int, now: int, pace: Pace, directors: int) -> None:
        self.random = random.Random(seed)
        self.pace, self.begun = pace, now
        # Alone there is nobody to wait for; the wait grows with the number that may do the same.
        share = 1 - 1 / max(1, directors)
        self.wait_us = int(pace.spread_us * share * self.random.random())
        self.tries = 0

    def may_call(self, now: int) -> bool:
        """May the first call for the list and the archive's first fills be made?"""
        return now - self.begun >= self.wait_us

    def share(self, now: int) -> float:
        """Of its usual limits that a director allows itself at a time."""
        passed = max(0, now - self.begun - self.wait_us)
        return min(1.0, self.pace.first + (1 - self.pace.first) * passed / max(1, self.pace.rise_us))

    def next_try_us(self, base_us: int) -> int:
        """How long to wait after another failed call: doubled each time, up to a bound, drawn evenly below it
        ("full jitter": Brooker 2015), so that those that failed together do not come again together."""
        self.tries = min(self.tries + 1, 20)
        most = min(self.pace.most_us, base_us << (self.tries - 1))
        return int(self.random.uniform(0.1, 1.0) * most)

    def heard(self) -> None:
        self.tries = 0
