"""Backoff and ramp-up, so that directors that restart together do not reconnect together. No I/O.

Each director draws its own delays from its seed and raises its limits step by step, so that only a few of
many directors act at the same time, without any communication between them. Times are in microseconds, except
in `DoublingTimeout`.
"""

from __future__ import annotations

import random
from dataclasses import dataclass

MAX_DOUBLINGS = 20
MIN_DELAY_SHARE = 0.1
"""A delay drawn at random is at least this share of the longest delay that could be drawn."""


@dataclass(frozen=True, slots=True)
class BackoffPolicy:
    """Delays and limits after a restart."""

    spread_us: int = 2_000_000
    """The first connections of all directors are spread over this time."""
    ramp_us: int = 10_000_000
    """Time after the initial delay in which the director's limits rise to their normal values."""
    initial_share: float = 0.2
    """Share (0 to 1) of the normal limits that applies at the start."""
    max_delay_us: int = 8_000_000
    """The longest delay between two attempts."""


class ReconnectBackoff:
    """Computes one director's exponential backoff with jitter, and the rise of its limits after a restart.

    Such limits are the number of connections per member and the share of the parents.
    """

    def __init__(self, seed: int, now_us: int, policy: BackoffPolicy, director_count: int) -> None:
        self.random = random.Random(seed)
        self.policy = policy
        self.started_at_us = now_us
        # A single director need not wait. The delay grows with the number of directors that may restart
        # together.
        share = 1 - 1 / max(1, director_count)
        self.initial_delay_us = int(policy.spread_us * share * self.random.random())
        self.attempts = 0

    def may_connect(self, now_us: int) -> bool:
        """Return whether the first list request and the first fills from the origin may be made."""
        return now_us - self.started_at_us >= self.initial_delay_us

    def ramp_share(self, now_us: int) -> float:
        """Return the share (0 to 1) of its normal limits that the director may use at this time."""
        policy = self.policy
        elapsed_us = max(0, now_us - self.started_at_us - self.initial_delay_us)
        gained = (1 - policy.initial_share) * elapsed_us / max(1, policy.ramp_us)
        return min(1.0, policy.initial_share + gained)

    def next_delay_us(self, base_us: int) -> int:
        """Return how long to wait after another failed attempt, in microseconds.

        The longest possible delay doubles with each attempt, up to the policy's maximum. The delay is drawn
        uniformly below it ("full jitter", Brooker 2015), so that directors that failed together do not retry
        together.
        """
        self.attempts = min(self.attempts + 1, MAX_DOUBLINGS)
        bound_us = min(self.policy.max_delay_us, base_us << (self.attempts - 1))
        return int(self.random.uniform(MIN_DELAY_SHARE, 1.0) * bound_us)

    def reset(self) -> None:
        """Restart the backoff from its shortest delay, after a connection has succeeded."""
        self.attempts = 0


class DoublingTimeout:
    """A timeout in seconds that doubles for the next attempt each time an attempt exceeds it.

    After `max_doublings` doublings it returns to its initial value. So an attempt that needs longer than the
    initial timeout eventually succeeds, and attempts do not keep waiting for the longest timeout.
    """

    def __init__(self, initial_s: float, max_doublings: int) -> None:
        self.initial_s = initial_s
        self.max_doublings = max_doublings
        self.doublings = 0

    @property
    def timeout_s(self) -> float:
        """Timeout of the next attempt, in seconds."""
        return self.initial_s * float(1 << self.doublings)

    def extend(self) -> None:
        """Lengthen the timeout, after an attempt has exceeded it."""
        self.doublings = (self.doublings + 1) % (self.max_doublings + 1)

    def reset(self) -> None:
        """Return to the initial timeout, after an attempt has succeeded."""
        self.doublings = 0
