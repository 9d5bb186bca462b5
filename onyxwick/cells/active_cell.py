"""One cell at work, and the place where one request lives."""

from __future__ import annotations

from dataclasses import dataclass

from onyxwick.cells.limits import AdmissionGate
from onyxwick.interface import Member, RequestClass
from onyxwick.routing import Router

SEEN = 0.05  # weight of one answer in the pressure on a cell
MEAN_US = 300_000  # a place is taken for so long, where nothing is known yet


@dataclass(slots=True)
class CellRequestOwner:
    """Where one request lives: fixed when it is taken, until its last attempt has ended."""

    cell: str
    tenant: str
    kind: RequestClass
    arrived: int
    out: int = 0  # attempts under way
    over: bool = False  # its final answer is decided


class ActiveCell:
    """One cell: its router, its gate, what its router knows of the list."""

    def __init__(self, name: str, router: Router, most_open: float) -> None:
        self.name, self.router = name, router
        self.gate = AdmissionGate(most_open)
        self.told: dict[str, Member] = {}
        self.pressure = 0.0  # refused and late among the latest answers
        self.place_us = float(MEAN_US)  # how long a place is taken
        self.leaving = False  # no longer in the plan: ends what it has
        self.open = 0

    @property
    def ready(self) -> int:
        """Boxes of this director's depot that it can send to."""
        return len(self.router.endpoints.caches)

    def answered(self, taken_us: int, late: bool) -> None:
        self.place_us += SEEN * (taken_us - self.place_us)
        self.pressure += SEEN * (late - self.pressure)

    def refused(self) -> None:
        self.pressure += SEEN * (1.0 - self.pressure)
