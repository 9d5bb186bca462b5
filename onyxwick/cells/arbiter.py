"""Who may ask how much of the parents: cells share them, and all cells' parts never add up to over one.

Each cell's router divides the director's budget for a parent by its own part. A part that is taken from one
cell has been spent by it in the window of the rule on cold parents, so it lies in escrow for that long before
another cell gets it: over any window the greatest parts add up to one at most.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

GUARANTEED_SHARE = 0.5  # kept so, where nothing else is said
MIN_SHARE_CHANGE = 0.02  # least change that is worth an event
DEMAND_DECAY = 0.6  # of the last step's demand that counts on


@dataclass(slots=True)
class QuotaReservation:
    amount: float
    available_at_us: int


class ShareArbiter:
    """Parts of one, by weight and demand. `window_us`: how long a part that was taken may have been used."""

    def __init__(
        self, weights: dict[str, float], window_us: int, guaranteed_share: float = GUARANTEED_SHARE
    ) -> None:
        """`floor`: of its weight's share that a cell keeps whatever the others ask for."""
        self.window_us, self.guaranteed_share = window_us, guaranteed_share
        self.weights: dict[str, float] = {}
        self.shares: dict[str, float] = {}
        self.demand: dict[str, float] = {}
        self.reservations: deque[QuotaReservation] = deque()
        self.weights = dict(weights)
        total = sum(weights.values()) or 1.0
        self.shares = {name: weight / total for name, weight in weights.items()}
        self.demand = dict.fromkeys(weights, 0.0)

    def record_demand(self, name: str) -> None:
        """One more fill through a parent was decided in this cell."""
        self.demand[name] += 1

    def set_weights(self, now: int, weights: dict[str, float]) -> dict[str, float]:
        """Other cells from now on. One that is new begins with nothing and is given its part as it frees."""
        for name in [n for n in self.shares if n not in weights]:
            self.reservations.append(QuotaReservation(self.shares.pop(name), now + self.window_us))
            del self.demand[name]
        for name in weights:
            self.shares.setdefault(name, 0.0)
            self.demand.setdefault(name, 0.0)
        self.weights = dict(weights)
        return self.rebalance(now)

    def _targets(self) -> dict[str, float]:
        weight = sum(self.weights.values()) or 1.0
        asked = sum(self.demand.values())
        out = {}
        for name, own in self.weights.items():
            share = own / weight
            wanted = self.demand[name] / asked if asked else share
            out[name] = self.guaranteed_share * share + (1 - self.guaranteed_share) * wanted
        return out

    def rebalance(self, now: int) -> dict[str, float]:
        """The parts that changed at this instant: first what is taken, then what has come free is given."""
        targets, before = self._targets(), dict(self.shares)
        while self.reservations and self.reservations[0].available_at_us <= now:
            self.reservations.popleft()
        for name, target in targets.items():
            if self.shares[name] - target > MIN_SHARE_CHANGE:
                self.reservations.append(QuotaReservation(self.shares[name] - target, now + self.window_us))
                self.shares[name] = target
        free = 1.0 - sum(self.shares.values()) - sum(e.amount for e in self.reservations)
        lacking = {n: t - self.shares[n] for n, t in targets.items() if t - self.shares[n] > 0}
        wanted = sum(lacking.values())
        if wanted > 0 and free > 1e-9:
            for name, lack in lacking.items():
                self.shares[name] += lack * min(1.0, free / wanted)
        for name in self.demand:
            self.demand[name] *= DEMAND_DECAY
        return {n: part for n, part in self.shares.items() if abs(part - before[n]) > 1e-12}
