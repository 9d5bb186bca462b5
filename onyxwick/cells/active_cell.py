"""One cell in use at a director: its router, its admission gate and what is measured of its answers."""

from __future__ import annotations

from dataclasses import dataclass

from onyxwick.interface import Member
from onyxwick.routing import Router
from onyxwick.subrouters import RequestOwner
from onyxwick.subrouters.admission_gate import AdmissionGate

PRESSURE_WEIGHT = 0.05  # of one answer in a cell's pressure
INITIAL_SERVICE_TIME_US = 300_000  # assumed until answers have been measured


@dataclass(slots=True, kw_only=True)
class CellRequestOwner(RequestOwner):
    """The cell and the tenant of one request; the cell never changes, whatever migrates meanwhile."""

    tenant: str


class ActiveCell:
    """One cell's router and its measurements."""

    def __init__(self, name: str, router: Router, max_in_flight: float) -> None:
        self.name = name
        self.router = router
        self.gate = AdmissionGate(max_in_flight)
        self.reported_members: dict[str, Member] = {}
        self.pressure = 0.0  # share of rejected and late among the latest answers, 0 to 1
        self.service_time_us = float(INITIAL_SERVICE_TIME_US)  # mean time from admission to answer
        self.retired = False  # no longer in the plan: completes the requests that it has
        self.in_flight = 0

    @property
    def ready_caches(self) -> int:
        """Caches in this director's zone that the cell can send to."""
        return len(self.router.endpoints.caches)

    def record_answer(self, taken_us: int, late: bool) -> None:
        """A request was answered this long after its admission."""
        self.service_time_us += PRESSURE_WEIGHT * (taken_us - self.service_time_us)
        self.pressure += PRESSURE_WEIGHT * (late - self.pressure)

    def record_rejection(self) -> None:
        """The cell's router has rejected or failed a request."""
        self.pressure += PRESSURE_WEIGHT * (1.0 - self.pressure)
