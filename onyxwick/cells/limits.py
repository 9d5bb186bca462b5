"""What a cell takes at once, and from whom: adaptive, fair between tenants, the dearest class shed last."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from onyxwick.quota import TokenBucket

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

    def __init__(self, most: float) -> None:
        self.most = max(LEAST, most)
        self.limit = max(LEAST, FIRST * self.most)
        self.lateness = 0.0
        self.cut_at = 0

    def bound(self, most: float) -> None:
        self.most = max(LEAST, most)
        self.limit = min(self.limit, self.most)

    def ended(self, now: int, late: bool, aim_us: int, used: int) -> None:
        """One answer at time `now` (us), with `used` requests under way beside it."""
        self.lateness += WEIGHT * (late - self.lateness)
        if late:
            if self.lateness > TOLERATED and now - self.cut_at >= REST * aim_us:
                self.cut_at = now
                # From what is in use: a limit far over it would take many cuts to bind at all.
                self.limit = max(LEAST, CUT * min(self.limit, max(used + 1.0, LEAST)))
        elif used >= BUSY * self.limit:
            self.limit = min(self.most, self.limit + 1 / self.limit)


@dataclass(slots=True)
class OwnerAccount:
    """One owner's place at a gate."""

    weight: float
    open: int = 0


class AdmissionGate:
    """Admits up to a limit: the less a class is worth the earlier it is shed, and under pressure nobody may
    hold more than its fair part.

    A fair part is reckoned over those that have something under way and one newcomer, so that there is always
    room for one (weighted max-min: what others leave unused can be used); or, with `whole`, over the weights
    of all that could come.
    """

    def __init__(self, most: float, whole: float = 0.0) -> None:
        self.adaptive = AdaptiveLimit(most)
        self.whole = whole
        self.accounts: dict[str, OwnerAccount] = {}  # of those with something under way
        self.open = 0
        self.active = 0.0  # weights of those

    def refusal(self, owner: str, priority: float) -> str | None:
        """Why one more of `owner` is not admitted, or None. `priority`: 0 the least class, 1 the dearest."""
        limit = self.adaptive.limit * (1 - KEPT * (1 - priority))
        if self.open >= limit:
            return "full"
        account = self.accounts.get(owner)
        if self.open < PRESSED * limit or account is None:
            return None
        sharing = self.whole or self.active + self.active / len(self.accounts)
        return "fair" if account.open + 1 > limit * account.weight / sharing else None

    def enter(self, owner: str, weight: float) -> None:
        account = self.accounts.get(owner)
        if account is None:
            account = self.accounts[owner] = OwnerAccount(weight)
            self.active += weight
        account.open += 1
        self.open += 1

    def leave(self, owner: str) -> None:
        account = self.accounts[owner]
        account.open -= 1
        self.open -= 1
        if not account.open:
            del self.accounts[owner]
            self.active = sum(other.weight for other in self.accounts.values())

    def held(self, owner: str) -> int:
        account = self.accounts.get(owner)
        return account.open if account else 0


class ReservedPool:
    """A bound on something countable, split between cells: each has a reserve that no other can reach, and
    the rest is lent, at most half of it to one."""

    def __init__(self, total: float, reserved: float, weights: dict[str, float]) -> None:
        whole = sum(weights.values()) or 1.0
        self.reserve = {name: reserved * total * weight / whole for name, weight in weights.items()}
        self.common = (1 - reserved) * total
        self.used = dict.fromkeys(weights, 0.0)
        self.lent = 0.0

    def most(self, name: str) -> float:
        """What one cell can have at the most."""
        return self.reserve[name] + self.common / 2

    def fits(self, name: str, amount: float = 1.0) -> bool:
        used = self.used[name]
        over = used + amount - self.reserve[name]
        if over <= 0:
            return True
        more = over - max(0.0, used - self.reserve[name])
        return over <= self.common / 2 and self.lent + more <= self.common

    def change(self, name: str, amount: float) -> None:
        """Take (or with a negative amount give back) what `fits` has allowed."""
        before = max(0.0, self.used[name] - self.reserve[name])
        self.used[name] = max(0.0, self.used[name] + amount)
        self.lent += max(0.0, self.used[name] - self.reserve[name]) - before


class TenantRates:
    """The tenants' rates at this director, each counted for itself alone."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self.clock = clock
        self.quotas: dict[str, TokenBucket] = {}

    def set(self, wanted: dict[str, float]) -> None:
        """The rates that hold from now on. Who keeps its rate keeps what it has saved."""
        kept = {name: q for name, q in self.quotas.items() if wanted.get(name) == q.per_s}
        new = {
            name: TokenBucket(rate, self.clock) for name, rate in wanted.items() if rate and name not in kept
        }
        self.quotas = kept | new

    def wait_us(self, tenant: str) -> int:
        """0 where one more may come now (it is counted), else how long until the next one may."""
        quota = self.quotas.get(tenant)
        if quota is None or quota.take():
            return 0
        return max(1, int(quota.wait_s() * 1_000_000))
