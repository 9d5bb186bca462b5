"""One cell at work, and the place where one request lives."""

from __future__ import annotations

from dataclasses import dataclass

from onyxwick.cells.limits import AdmissionGate
from onyxwick.interface import Member, RequestClass
from onyxwick.logic import Router

PRESSURE_WEIGHT = 0.05  # weight of one answer in the pressure on a cell
INITIAL_SERVICE_TIME_US = 300_000  # a place is taken for so long, where nothing is known yet


@dataclass(slots=True)
class CellRequestOwner:
    """Where one request lives: fixed when it is taken, until its last attempt has ended."""

    cell: str
    tenant: str
    request_class: RequestClass
    arrived_at_us: int
    attempts_in_flight: int = 0  # attempts under way
    answered: bool = False  # its final answer is decided


class ActiveCell:
    """One cell: its router, its gate, what its router knows of the list."""

    def __init__(self, name: str, router: Router, max_in_flight: float) -> None:
        self.name, self.router = name, router
        self.gate = AdmissionGate(max_in_flight)
        self.reported_members: dict[str, Member] = {}
        self.pressure = 0.0  # refused and late among the latest answers
        self.service_time_us = float(INITIAL_SERVICE_TIME_US)  # how long a place is taken
        self.retired = False  # no longer in the plan: ends what it has
        self.in_flight = 0

    @property
    def ready_caches(self) -> int:
        """Boxes of this director's depot that it can send to."""
        return len(self.router.caches)

    def record_answer(self, taken_us: int, late: bool) -> None:
        self.service_time_us += PRESSURE_WEIGHT * (taken_us - self.service_time_us)
        self.pressure += PRESSURE_WEIGHT * (late - self.pressure)

    def record_rejection(self) -> None:
        self.pressure += PRESSURE_WEIGHT * (1.0 - self.pressure)
