"""Who may ask how much of the parents: cells share them, and all cells' parts never add up to over one.

Each cell's router divides the director's budget for a parent by its own part. A part that is taken from one
cell has been spent by it in the window of the rule on cold parents, so it lies in escrow for that long before
another cell gets it: over any window the greatest parts add up to one at most.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

FLOOR = 0.5  # kept so, where nothing else is said
STEP = 0.02  # least change that is worth an event
FADE = 0.6  # of the last step's demand that counts on


@dataclass(slots=True)
class QuotaReservation:
    amount: float
    free_at: int


class ShareArbiter:
    """Parts of one, by weight and demand. `window_us`: how long a part that was taken may have been used."""

    def __init__(self, weights: dict[str, float], window_us: int, floor: float = FLOOR) -> None:
        """`floor`: of its weight's share that a cell keeps whatever the others ask for."""
        self.window_us, self.floor = window_us, floor
        self.weights: dict[str, float] = {}
        self.parts: dict[str, float] = {}
        self.demand: dict[str, float] = {}
        self.escrow: deque[QuotaReservation] = deque()
        self.weights = dict(weights)
        total = sum(weights.values()) or 1.0
        self.parts = {name: weight / total for name, weight in weights.items()}
        self.demand = dict.fromkeys(weights, 0.0)

    def asked(self, name: str) -> None:
        """One more fill through a parent was decided in this cell."""
        self.demand[name] += 1

    def cells(self, now: int, weights: dict[str, float]) -> dict[str, float]:
        """Other cells from now on. One that is new begins with nothing and is given its part as it frees."""
        for name in [n for n in self.parts if n not in weights]:
            self.escrow.append(QuotaReservation(self.parts.pop(name), now + self.window_us))
            del self.demand[name]
        for name in weights:
            self.parts.setdefault(name, 0.0)
            self.demand.setdefault(name, 0.0)
        self.weights = dict(weights)
        return self.step(now)

    def _targets(self) -> dict[str, float]:
        weight = sum(self.weights.values()) or 1.0
        asked = sum(self.demand.values())
        out = {}
        for name, own in self.weights.items():
            share = own / weight
            wanted = self.demand[name] / asked if asked else share
            out[name] = self.floor * share + (1 - self.floor) * wanted
        return out

    def step(self, now: int) -> dict[str, float]:
        """The parts that changed at this instant: first what is taken, then what has come free is given."""
        targets, before = self._targets(), dict(self.parts)
        while self.escrow and self.escrow[0].free_at <= now:
            self.escrow.popleft()
        for name, target in targets.items():
            if self.parts[name] - target > STEP:
                self.escrow.append(QuotaReservation(self.parts[name] - target, now + self.window_us))
                self.parts[name] = target
        free = 1.0 - sum(self.parts.values()) - sum(e.amount for e in self.escrow)
        lacking = {n: t - self.parts[n] for n, t in targets.items() if t - self.parts[n] > 0}
        wanted = sum(lacking.values())
        if wanted > 0 and free > 1e-9:
            for name, lack in lacking.items():
                self.parts[name] += lack * min(1.0, free / wanted)
        for name in self.demand:
            self.demand[name] *= FADE
        return {n: part for n, part in self.parts.items() if abs(part - before[n]) > 1e-12}
