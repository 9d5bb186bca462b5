"""What a cell takes at once, and from whom: adaptive, fair between tenants, the dearest class shed last."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from onyxwick.quota import Quota

TOLERATED = 0.2  # share of late answers that a limit bears
WEIGHT = 0.06  # of one answer in that share
CUT, REST = 0.85, 1.0  # what a cut leaves of a limit; aims that pass before the next one
LEAST = 4.0  # below it no limit falls: an answer must come for it to grow again
BUSY = 0.5  # of a limit that must be in use for it to grow: a calm proves nothing
FIRST = 0.5  # of the bound, where a limit begins
KEPT = 0.2  # of a limit that the least class may not use, the next ones less, the dearest all
PRESSED = 0.6  # of a limit in use from where on each tenant is held to its fair part


class AdaptiveLimit:
    """A limit on concurrency, learned from whether answers come within their class's aim.

    Additive increase, multiplicative decrease, which makes independent limits on one resource converge to
    efficient and equal parts (Chiu and Jain, "Analysis of the increase and decrease algorithms for
    congestion avoidance", 1989, section 3). By Little's law a limit of n at a mean latency of the aim is
    n/aim answers a second: late answers at a full limit mean that the resource gives less.
    """

    def __init__(self, upper_bound: float) -> None:
        self.upper_bound = max(LEAST, upper_bound)
        self.limit = max(LEAST, FIRST * self.upper_bound)
        self.late_share = 0.0
        self.decreased_at_us = 0

    def set_upper_bound(self, most: float) -> None:
        self.upper_bound = max(LEAST, most)
        self.limit = min(self.limit, self.upper_bound)

    def record_answer(self, now: int, late: bool, objective_us: int, in_flight: int) -> None:
        """One answer at time `now` (us), with `used` requests under way beside it."""
        self.late_share += WEIGHT * (late - self.late_share)
        if late:
            if self.late_share > TOLERATED and now - self.decreased_at_us >= REST * objective_us:
                self.decreased_at_us = now
                # From what is in use: a limit far over it would take many cuts to bind at all.
                self.limit = max(LEAST, CUT * min(self.limit, max(in_flight + 1.0, LEAST)))
        elif in_flight >= BUSY * self.limit:
            self.limit = min(self.upper_bound, self.limit + 1 / self.limit)


@dataclass(slots=True)
class OwnerAccount:
    """One owner's place at a gate."""

    weight: float
    in_flight: int = 0


class AdmissionGate:
    """Admits up to a limit: the less a class is worth the earlier it is shed, and under pressure nobody may
    hold more than its fair part.

    A fair part is reckoned over those that have something under way and one newcomer, so that there is always
    room for one (weighted max-min: what others leave unused can be used); or, with `whole`, over the weights
    of all that could come.
    """

    def __init__(self, upper_bound: float, total_weight: float = 0.0) -> None:
        self.adaptive_limit = AdaptiveLimit(upper_bound)
        self.total_weight = total_weight
        self.accounts: dict[str, OwnerAccount] = {}  # of those with something under way
        self.in_flight = 0
        self.active_weight = 0.0  # weights of those

    def rejection_reason(self, owner: str, priority: float) -> str | None:
        """Why one more of `owner` is not admitted, or None. `priority`: 0 the least class, 1 the dearest."""
        limit = self.adaptive_limit.limit * (1 - KEPT * (1 - priority))
        if self.in_flight >= limit:
            return "full"
        account = self.accounts.get(owner)
        if self.in_flight < PRESSED * limit or account is None:
            return None
        sharing = self.total_weight or self.active_weight + self.active_weight / len(self.accounts)
        return "fair" if account.in_flight + 1 > limit * account.weight / sharing else None

    def admit(self, owner: str, weight: float) -> None:
        account = self.accounts.get(owner)
        if account is None:
            account = self.accounts[owner] = OwnerAccount(weight)
            self.active_weight += weight
        account.in_flight += 1
        self.in_flight += 1

    def release(self, owner: str) -> None:
        account = self.accounts[owner]
        account.in_flight -= 1
        self.in_flight -= 1
        if not account.in_flight:
            del self.accounts[owner]
            self.active_weight = sum(other.weight for other in self.accounts.values())

    def in_flight_of(self, owner: str) -> int:
        account = self.accounts.get(owner)
        return account.in_flight if account else 0


class ReservedPool:
    """A bound on something countable, split between cells: each has a reserve that no other can reach, and
    the rest is lent, at most half of it to one."""

    def __init__(self, total: float, reserved: float, weights: dict[str, float]) -> None:
        whole = sum(weights.values()) or 1.0
        self.reserved = {name: reserved * total * weight / whole for name, weight in weights.items()}
        self.shared_amount = (1 - reserved) * total
        self.used = dict.fromkeys(weights, 0.0)
        self.lent = 0.0

    def upper_bound(self, name: str) -> float:
        """What one cell can have at the most."""
        return self.reserved[name] + self.shared_amount / 2

    def has_capacity(self, name: str, amount: float = 1.0) -> bool:
        used = self.used[name]
        over = used + amount - self.reserved[name]
        if over <= 0:
            return True
        more = over - max(0.0, used - self.reserved[name])
        return over <= self.shared_amount / 2 and self.lent + more <= self.shared_amount

    def adjust(self, name: str, amount: float) -> None:
        """Take (or with a negative amount give back) what `fits` has allowed."""
        before = max(0.0, self.used[name] - self.reserved[name])
        self.used[name] = max(0.0, self.used[name] + amount)
        self.lent += max(0.0, self.used[name] - self.reserved[name]) - before


class TenantRates:
    """The tenants' rates at this director, each counted for itself alone."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self.clock = clock
        self.quotas: dict[str, Quota] = {}

    def set_rates(self, wanted: dict[str, float]) -> None:
        """The rates that hold from now on. Who keeps its rate keeps what it has saved."""
        kept = {name: q for name, q in self.quotas.items() if wanted.get(name) == q.per_s}
        new = {name: Quota(rate, self.clock) for name, rate in wanted.items() if rate and name not in kept}
        self.quotas = kept | new

    def wait_us(self, tenant: str) -> int:
        """0 where one more may come now (it is counted), else how long until the next one may."""
        quota = self.quotas.get(tenant)
        if quota is None or quota.take():
            return 0
        return max(1, int(quota.wait_s() * 1_000_000))
