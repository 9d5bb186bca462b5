"""A cell in use at a director: its router, its admission gate and its answer statistics."""

from __future__ import annotations

from dataclasses import dataclass

from onyxwick.interface import Member
from onyxwick.routing import Router
from onyxwick.subrouters import RequestOwner
from onyxwick.subrouters.admission_gate import AdmissionGate

ANSWER_SMOOTHING = 0.05  # weight of one answer in the moving averages of pressure and service time
INITIAL_SERVICE_TIME_US = 300_000  # used until answers have been measured


@dataclass(slots=True, kw_only=True)
class CellRequestOwner(RequestOwner):
    """The cell and the tenant of one request. The cell stays the same even if the tenant migrates."""

    tenant: str


class ActiveCell:
    """One cell's router, admission gate and moving averages of its answers."""

    def __init__(self, name: str, router: Router, max_in_flight: float) -> None:
        self.name = name
        self.router = router
        self.gate = AdmissionGate(max_in_flight)
        self.reported_members: dict[str, Member] = {}
        self.pressure = 0.0  # moving average of the share of rejected and late answers, 0 to 1
        # Moving average of the time from admission to answer.
        self.service_time_us = float(INITIAL_SERVICE_TIME_US)
        self.retired = False  # no longer in the plan; only completes its requests in flight
        self.in_flight = 0

    @property
    def ready_caches(self) -> int:
        """Return the number of caches in this director's zone that can serve the cell."""
        return len(self.router.endpoints.caches)

    def record_answer(self, latency_us: int, late: bool) -> None:
        """Add an answer to the averages, `latency_us` after the admission of its request."""
        self.service_time_us += ANSWER_SMOOTHING * (latency_us - self.service_time_us)
        self.pressure += ANSWER_SMOOTHING * (late - self.pressure)

    def record_rejection(self) -> None:
        """Add a request that the cell's router rejected or failed to the pressure."""
        self.pressure += ANSWER_SMOOTHING * (1.0 - self.pressure)
