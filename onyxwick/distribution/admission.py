"""Rate limit for subscribers that connect at the same time: a leaky bucket with a bounded wait.

After a network partition or the loss of a node, all followers of a region reconnect within a second. Each
of them costs a snapshot or a replay. Admitting them at a configured rate keeps them from starving the live
subscribers. (Leaky bucket as a meter: Turner 1986.) Times are in microseconds.
"""

from __future__ import annotations

from dataclasses import dataclass

from onyxwick.distribution.model import US_PER_S


@dataclass(frozen=True, slots=True)
class AdmissionLimits:
    """Limits of admission: `per_s` subscribers per second, at most `burst` of them at the same time.

    A subscriber that would have to wait for longer than `max_wait_us` is rejected and tries another node.
    """

    per_s: float = 100.0
    burst: int = 32
    max_wait_us: int = 2 * US_PER_S


class SubscriberAdmission:
    """Decides when each new subscriber may start to load."""

    def __init__(self, limits: AdmissionLimits) -> None:
        self.limits = limits
        self._bucket_empty_at_us = 0.0

    def wait_us(self, now: int) -> int | None:
        """Return how long a subscriber that arrives now must wait.

        None means that the subscriber is rejected; a rejection does not count against the rate.
        """
        interval_us = US_PER_S / self.limits.per_s
        backlog_us = max(0.0, self._bucket_empty_at_us - now)
        wait_us = max(0, int(backlog_us - (self.limits.burst - 1) * interval_us))
        if wait_us > self.limits.max_wait_us:
            return None
        self._bucket_empty_at_us = now + backlog_us + interval_us
        return wait_us
