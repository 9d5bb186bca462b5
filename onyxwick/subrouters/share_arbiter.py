"""Divides one director's budget at the parents among its subrouters, so that all shares add up to at most 1.

Takes each subrouter's weight and its demand, which is the number of fills through a parent that it decided,
and returns its share, 0 to 1. The overload window is the time for which a parent withstands too much load
before it fails. A subrouter may have used a share within the parents' overload window before the share is
taken from it. The share is therefore reserved for that long before another subrouter gets it: over any
window, the largest shares add up to at most 1.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass

GUARANTEED_SHARE = 0.5  # default part of its share by weight that a subrouter keeps whatever others demand
MIN_SHARE_CHANGE = 0.02  # smaller reductions of a share are skipped, as they are not worth an event
DEMAND_DECAY = 0.6  # part of the accumulated demand that remains after a rebalance
NEGLIGIBLE_SHARE = 1e-9
SHARE_TOLERANCE = 1e-12  # smaller changes of a share are rounding errors


@dataclass(slots=True)
class ShareReservation:
    """A share taken from a subrouter, which no other subrouter may use before `available_at_us`."""

    amount: float
    available_at_us: int


class ShareArbiter:
    """Computes the shares of all subrouters from their weights and demand."""

    def __init__(
        self, weights: Mapping[str, float], window_us: int, guaranteed_share: float = GUARANTEED_SHARE
    ) -> None:
        """`window_us` is how long a share is reserved after it is taken, as it may have been used.

        `guaranteed_share` is the part of its share by weight that a subrouter keeps under any demand."""
        self.window_us = window_us
        self.guaranteed_share = guaranteed_share
        self.weights = dict(weights)
        total = sum(weights.values()) or 1.0
        self.shares: dict[str, float] = {name: weight / total for name, weight in weights.items()}
        self.demand: dict[str, float] = dict.fromkeys(weights, 0.0)
        self.reservations: deque[ShareReservation] = deque()

    def record_demand(self, name: str) -> None:
        """Count one more fill through a parent that this subrouter decided."""
        self.demand[name] += 1

    def set_weights(self, now: int, weights: Mapping[str, float]) -> dict[str, float]:
        """Replace the subrouters and return the shares that changed.

        A new subrouter starts with a share of 0 and receives its share as reservations expire."""
        for name in [name for name in self.shares if name not in weights]:
            self.reservations.append(ShareReservation(self.shares.pop(name), now + self.window_us))
            del self.demand[name]
        for name in weights:
            self.shares.setdefault(name, 0.0)
            self.demand.setdefault(name, 0.0)
        self.weights = dict(weights)
        return self.rebalance(now)

    def rebalance(self, now: int) -> dict[str, float]:
        """Adapt the shares to the demand and return those that changed.

        Shares above their target are reduced first, then the available amount is distributed."""
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
                self.reservations.append(ShareReservation(excess, now + self.window_us))
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
