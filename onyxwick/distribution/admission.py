"""How fast subscribers that come together are let in: a leaky bucket with a bounded wait.

After a cut or a node's loss all followers of a region reconnect within a second. Each one costs a snapshot
or a replay; admitted at a stated rate they cannot starve those that are live. (Leaky bucket as a meter:
Turner 1986.)
"""

from __future__ import annotations

from dataclasses import dataclass

S_US = 1_000_000


@dataclass(frozen=True, slots=True)
class AdmissionLimits:
    """`per_s` subscribers a second, `burst` of them at once; `most_wait_us`: who would wait longer is refused
    and asks another node."""

    per_s: float = 100.0
    burst: int = 32
    most_wait_us: int = 2 * S_US


class SubscriberAdmission:
    """Decides when each new subscriber may begin to load."""

    def __init__(self, limits: AdmissionLimits) -> None:
        self.limits = limits
        self._free_at = 0.0  # when the bucket will be empty, in microseconds

    def wait_us(self, now: int) -> int | None:
        """How long a subscriber that comes now has to wait; None: refused, and nothing is booked."""
        interval = S_US / self.limits.per_s
        backlog = max(0.0, self._free_at - now)
        wait = max(0, int(backlog - (self.limits.burst - 1) * interval))
        if wait > self.limits.most_wait_us:
            return None
        self._free_at = now + backlog + interval
        return wait
