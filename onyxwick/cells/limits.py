"""Limits that are divided among cells or counted for each tenant alone: capacity pools and request rates."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from onyxwick.quota import TokenBucket

MICROSECONDS_PER_SECOND = 1_000_000


class ReservedPool:
    """A bound on something countable, divided among cells: each has a reserve that no other can use. The rest
    is shared, and one cell may take at most half of it."""

    def __init__(self, total: float, reserved_share: float, weights: Mapping[str, float]) -> None:
        """`reserved_share`: of `total` that is permanently divided, by weight."""
        total_weight = sum(weights.values()) or 1.0
        self.reserved = {
            name: reserved_share * total * weight / total_weight for name, weight in weights.items()
        }
        self.shared_amount = (1 - reserved_share) * total
        self.used = dict.fromkeys(weights, 0.0)
        self.lent = 0.0  # of the shared amount, in use

    def upper_bound(self, name: str) -> float:
        """The most that one cell can have."""
        return self.reserved[name] + self.shared_amount / 2

    def has_capacity(self, name: str, amount: float = 1.0) -> bool:
        """Whether a cell may take this much more."""
        used = self.used[name]
        borrowed = used + amount - self.reserved[name]
        if borrowed <= 0:
            return True
        additional = borrowed - max(0.0, used - self.reserved[name])
        return borrowed <= self.shared_amount / 2 and self.lent + additional <= self.shared_amount

    def adjust(self, name: str, amount: float) -> None:
        """Take what `has_capacity` has allowed, or give back with a negative amount."""
        borrowed_before = max(0.0, self.used[name] - self.reserved[name])
        self.used[name] = max(0.0, self.used[name] + amount)
        self.lent += max(0.0, self.used[name] - self.reserved[name]) - borrowed_before


class TenantRates:
    """The tenants' request rates at this director, each counted for itself alone."""

    def __init__(self, clock: Callable[[], float]) -> None:
        """`clock`: seconds that never go back."""
        self.clock = clock
        self.quotas: dict[str, TokenBucket] = {}

    def set_rates(self, rates_per_s: Mapping[str, float]) -> None:
        """Replace the rates; 0 is unlimited. A tenant whose rate is unchanged keeps its saved tokens."""
        kept = {name: quota for name, quota in self.quotas.items() if rates_per_s.get(name) == quota.per_s}
        added = {
            name: TokenBucket(rate, self.clock)
            for name, rate in rates_per_s.items()
            if rate and name not in kept
        }
        self.quotas = kept | added

    def wait_us(self, tenant: str) -> int:
        """0 where one more request may come now (it is counted), else the time until the next one may."""
        quota = self.quotas.get(tenant)
        if quota is None or quota.take():
            return 0
        return max(1, int(quota.wait_s() * MICROSECONDS_PER_SECOND))
