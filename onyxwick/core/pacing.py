"""How directors that restart together reconnect without asking for everything at once. No I/O.

Each draws its own delays from its seed, and raises its limits step by step: of many, no more than a few do
the same at the same time, with no talk between them.
"""

from __future__ import annotations

import random
from dataclasses import dataclass

MAX_DOUBLINGS = 20


@dataclass(frozen=True, slots=True)
class BackoffPolicy:
    """`spread_us`: over how long the first connections of all directors are spread; `rise_us`: from a start
    to full limits; `initial_share`: of the limits at the start; `max_delay_us`: between two attempts."""

    spread_us: int = 2_000_000
    rise_us: int = 10_000_000
    initial_share: float = 0.2
    max_delay_us: int = 8_000_000


class ReconnectBackoff:
    """Exponential backoff with jitter, and one director's way back to its full limits. All times in us."""

    def __init__(self, seed: int, now: int, policy: BackoffPolicy, directors: int) -> None:
        self.random = random.Random(seed)
        self.policy, self.started_at = policy, now
        # Alone there is nobody to wait for; the wait grows with the number that may do the same.
        share = 1 - 1 / max(1, directors)
        self.wait_us = int(policy.spread_us * share * self.random.random())
        self.attempts = 0

    def may_connect(self, now: int) -> bool:
        """May the first call for the list and the origin's first fills be made?"""
        return now - self.started_at >= self.wait_us

    def share(self, now: int) -> float:
        """Of its usual limits that a director allows itself at a time."""
        policy = self.policy
        passed = max(0, now - self.started_at - self.wait_us)
        risen = (1 - policy.initial_share) * passed / max(1, policy.rise_us)
        return min(1.0, policy.initial_share + risen)

    def next_delay_us(self, base_us: int) -> int:
        """How long to wait after another failed attempt: doubled each time, up to a bound, drawn evenly below
        it ("full jitter": Brooker 2015), so that those that failed together do not return together."""
        self.attempts = min(self.attempts + 1, MAX_DOUBLINGS)
        most = min(self.policy.max_delay_us, base_us << (self.attempts - 1))
        return int(self.random.uniform(0.1, 1.0) * most)

    def reset(self) -> None:
        """A connection has worked: the next delay is short again."""
        self.attempts = 0


class DoublingTimeout:
    """A time limit that an attempt which ran into it doubles for the next one, up to a bound, and then begins
    anew: an attempt that takes longer than the usual limit gets through, and none waits long for ever.
    Seconds.
    """

    def __init__(self, first_s: float, most_doublings: int) -> None:
        self.first_s, self.most_doublings, self.doublings = first_s, most_doublings, 0

    @property
    def limit_s(self) -> float:
        """The limit of the next attempt."""
        return self.first_s * float(1 << self.doublings)

    def extend(self) -> None:
        """An attempt ran into the limit."""
        self.doublings = (self.doublings + 1) % (self.most_doublings + 1)

    def reset(self) -> None:
        """An attempt got through."""
        self.doublings = 0
