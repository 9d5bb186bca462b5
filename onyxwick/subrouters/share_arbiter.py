"""Divides one director's budget at the parents among its inner routers, so that all shares add up to one at
most.

In: each inner router's weight and the fills that it decided through a parent (its demand). Out: its share, 0
to 1. A share that is taken from one router may have been used by it within the parents' overload window, so
it is reserved for that long before another router gets it: over any window the largest shares add up to one
at most.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass

GUARANTEED_SHARE = 0.5  # default: of the share by weight that a router keeps whatever the others demand
MIN_SHARE_CHANGE = 0.02  # a smaller reduction is not worth an event
DEMAND_DECAY = 0.6  # of the demand counted so far that remains after a rebalance
NEGLIGIBLE_SHARE = 1e-9
SHARE_TOLERANCE = 1e-12  # a change below it is rounding


@dataclass(slots=True)
class QuotaReservation:
    """A share taken from a router that no other may have before `available_at_us`."""

    amount: float
    available_at_us: int


class ShareArbiter:
    """The shares of all inner routers, by weight and demand."""

    def __init__(
        self, weights: Mapping[str, float], window_us: int, guaranteed_share: float = GUARANTEED_SHARE
    ) -> None:
        """`window_us`: for how long a share that was taken may have been used. `guaranteed_share`: of its
        share by weight that a router keeps whatever the others demand."""
        self.window_us = window_us
        self.guaranteed_share = guaranteed_share
        self.weights = dict(weights)
        total = sum(weights.values()) or 1.0
        self.shares: dict[str, float] = {name: weight / total for name, weight in weights.items()}
        self.demand: dict[str, float] = dict.fromkeys(weights, 0.0)
        self.reservations: deque[QuotaReservation] = deque()

    def record_demand(self, name: str) -> None:
        """One more fill through a parent was decided by this router."""
        self.demand[name] += 1

    def set_weights(self, now: int, weights: Mapping[str, float]) -> dict[str, float]:
        """Replace the routers; returns the shares that changed. A new one starts with none and receives its
        share as reservations expire."""
        for name in [name for name in self.shares if name not in weights]:
            self.reservations.append(QuotaReservation(self.shares.pop(name), now + self.window_us))
            del self.demand[name]
        for name in weights:
            self.shares.setdefault(name, 0.0)
            self.demand.setdefault(name, 0.0)
        self.weights = dict(weights)
        return self.rebalance(now)

    def rebalance(self, now: int) -> dict[str, float]:
        """The shares that changed at this instant: reductions first, then what is available is
        distributed."""
        targets = self._target_shares()
        before = dict(self.shares)
        self._reduce(now, targets)
        self._distribute(targets)
        for name in self.demand:
            self.demand[name] *= DEMAND_DECAY
        return {
            name: share for name, share in self.shares.items() if abs(share - before[name]) > SHARE_TOLERANCE
        }

    def _target_shares(self) -> dict[str, float]:
        total_weight = sum(self.weights.values()) or 1.0
        total_demand = sum(self.demand.values())
        targets = {}
        for name, weight in self.weights.items():
            by_weight = weight / total_weight
            by_demand = self.demand[name] / total_demand if total_demand else by_weight
            targets[name] = self.guaranteed_share * by_weight + (1 - self.guaranteed_share) * by_demand
        return targets

    def _reduce(self, now: int, targets: Mapping[str, float]) -> None:
        while self.reservations and self.reservations[0].available_at_us <= now:
            self.reservations.popleft()
        for name, target in targets.items():
            excess = self.shares[name] - target
            if excess > MIN_SHARE_CHANGE:
                self.reservations.append(QuotaReservation(excess, now + self.window_us))
                self.shares[name] = target

    def _distribute(self, targets: Mapping[str, float]) -> None:
        reserved = sum(reservation.amount for reservation in self.reservations)
        available = 1.0 - sum(self.shares.values()) - reserved
        missing = {name: target - self.shares[name] for name, target in targets.items()}
        missing = {name: amount for name, amount in missing.items() if amount > 0}
        total_missing = sum(missing.values())
        if total_missing <= 0 or available <= NEGLIGIBLE_SHARE:
            return
        for name, amount in missing.items():
            self.shares[name] += amount * min(1.0, available / total_missing)
