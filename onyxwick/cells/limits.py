"""Capacity pools divided among cells, and request rates limited per tenant."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from onyxwick.quota import TokenBucket

MICROSECONDS_PER_SECOND = 1_000_000


class ReservedPool:
    """A capacity (requests, connections, bytes) divided among cells.

    Each cell has a reserve that no other cell can use. The rest is shared, and one cell may take at most half
    of it. A cell that the plan has no more has no reserve; what it uses is lent until it is released."""

    def __init__(self, total: float, reserved_share: float, weights: Mapping[str, float]) -> None:
        """Reserve `reserved_share` (0 to 1) of `total` for the cells, in proportion to their weights."""
        total_weight = sum(weights.values()) or 1.0
        self.reserved = {
            name: reserved_share * total * weight / total_weight for name, weight in weights.items()
        }
        self.shared_amount = (1 - reserved_share) * total
        self.used = dict.fromkeys(weights, 0.0)
        self.lent = 0.0  # part of the shared amount that is in use

    def upper_bound(self, name: str) -> float:
        """Return the largest amount that one cell can use. KeyError for an unknown cell."""
        return self.reserved[name] + self.shared_amount / 2

    def has_capacity(self, name: str, amount: float = 1.0) -> bool:
        """Return whether a cell may use `amount` more."""
        used = self.used.get(name, 0.0)
        reserved = self.reserved.get(name, 0.0)
        borrowed = used + amount - reserved
        if borrowed <= 0:
            return True
        additional = borrowed - max(0.0, used - reserved)
        return borrowed <= self.shared_amount / 2 and self.lent + additional <= self.shared_amount

    def adjust(self, name: str, amount: float) -> None:
        """Add to a cell's use an amount that `has_capacity` allowed; a negative amount releases it."""
        reserved = self.reserved.get(name, 0.0)
        before = self.used.get(name, 0.0)
        after = max(0.0, before + amount)
        self.lent += max(0.0, after - reserved) - max(0.0, before - reserved)
        self.used[name] = after
        if not after and name not in self.reserved:
            del self.used[name]


class TenantRates:
    """Limits each tenant's request rate at this director independently of the other tenants."""

    def __init__(self, clock: Callable[[], float]) -> None:
        """`clock` returns monotonic time in seconds."""
        self.clock = clock
        self.quotas: dict[str, TokenBucket] = {}

    def set_rates(self, rates_per_s: Mapping[str, float]) -> None:
        """Replace the rates; 0 means unlimited. A tenant with the same rate as before keeps its tokens."""
        unchanged = {
            name: quota for name, quota in self.quotas.items() if rates_per_s.get(name) == quota.tokens_per_s
        }
        added = {
            name: TokenBucket(rate, self.clock)
            for name, rate in rates_per_s.items()
            if rate and name not in unchanged
        }
        self.quotas = unchanged | added

    def wait_us(self, tenant: str) -> int:
        """Count a request and return 0 if the rate allows it now; else return the time to wait."""
        quota = self.quotas.get(tenant)
        if quota is None or quota.take():
            return 0
        return max(1, int(quota.wait_s() * MICROSECONDS_PER_SECOND))
