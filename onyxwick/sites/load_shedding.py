"""Which requests a site rejects first while load of other sites arrives, and when a rejected client may
return.

In: answers (late, rejected or in time) and the time in microseconds. Out: a shedding level, 0 to 3, a reason
to reject a request, and a Retry-After. The levels are entered by the share of late and rejected answers at
one site, and left more slowly: (1) fewer hedged requests, renewals and further attempts; (2) clients' retries
are rejected; (3) the classes of the lowest priority weight for their work are rejected first. Within the
site's learned limit no tenant of a class is preferred: one over its max-min fair share is rejected, one
under its reserve is admitted. This prevents load that sustains itself: further attempts and clients' retries
are work that an earlier rejection has caused, so they are rejected before all other work (Bronson, Aghayev,
Charapko and Zhu, "Metastable failures in distributed systems", 2021).
"""

from __future__ import annotations

import random
from collections.abc import Mapping

from onyxwick.interface import Idempotency, RequestClass
from onyxwick.sites.model import MICROSECONDS_PER_SECOND
from onyxwick.subrouters.admission_gate import AdmissionGate
from onyxwick.subrouters.rejection import AdmissionRejection

PRESSURE_WEIGHT = 0.04  # of one answer in the pressure
PRESSURE_HALVING_US = 500_000  # without an answer the pressure halves in this time
LEVEL_THRESHOLDS = (0.15, 0.35, 0.55)  # pressure at which each level is entered
LEAVE_THRESHOLD_FACTOR = 0.5  # of that pressure, below which the level is left
MIN_LEVEL_TIME_US = 1 * MICROSECONDS_PER_SECOND  # at a level before it is left
RETRY_SHEDDING_LEVEL = 2  # from which clients' retries are rejected
STRICTNESS_INCREASE = 0.05  # a step, under pressure
STRICTNESS_DECREASE = 0.02  # a step, without
INITIAL_SERVICE_TIME_US = 300_000  # assumed until answers have been measured
MIN_RETRY_AFTER_US = 100_000
MAX_RETRY_AFTER_US = 8 * MICROSECONDS_PER_SECOND
RETRY_AFTER_JITTER = (0.5, 1.5)  # factors between which a Retry-After is drawn


class SheddingLevels:
    """One site's shedding level, and what it still admits."""

    def __init__(self, max_in_flight: int, tenant_reserves: Mapping[str, float], seed: int) -> None:
        """`tenant_reserves`: by tenant, the share of the limit that is kept for it."""
        self.gate = AdmissionGate(max_in_flight)
        self.tenant_reserves = tenant_reserves
        self.random = random.Random(seed)
        self.pressure = 0.0  # share of late and rejected among the latest answers, 0 to 1
        self.level = 0
        self.plan_strictness = 0.0  # of what the plan may reject, the share that is rejected, 0 to 1
        self.level_changed_us = 0
        self.last_answer_us = 0
        self.service_time_us = float(INITIAL_SERVICE_TIME_US)

    # ---- measurements --------------------------------------------------------------------------------

    def record_answer(self, now: int, bad: bool, taken_us: int = 0) -> None:
        """One answer of the site's router; `bad`: late, rejected or failed."""
        self.pressure += PRESSURE_WEIGHT * (bad - self.pressure)
        self.last_answer_us = now
        if taken_us:
            self.service_time_us += PRESSURE_WEIGHT * (taken_us - self.service_time_us)

    def record_outcome(self, now: int, late: bool, objective_us: int) -> None:
        """Adapt the site's concurrency limit to one answer."""
        self.gate.adaptive_limit.record_answer(now, late, objective_us, self.gate.in_flight)

    def step(self, now: int) -> None:
        """Periodic: let the pressure decay, adapt the strictness, enter or leave a level."""
        if now - self.last_answer_us > PRESSURE_HALVING_US and self.pressure > 0:
            self.pressure /= 2
            self.last_answer_us = now
        self._adapt_strictness()
        target_level = sum(self.pressure >= threshold for threshold in LEVEL_THRESHOLDS)
        if target_level > self.level:
            self._set_level(target_level, now)
        elif self._may_leave_level(now):
            self._set_level(self.level - 1, now)

    def _adapt_strictness(self) -> None:
        lowest_threshold = LEVEL_THRESHOLDS[0]
        if self.pressure >= lowest_threshold:
            self.plan_strictness = min(1.0, self.plan_strictness + STRICTNESS_INCREASE)
        elif self.pressure < LEAVE_THRESHOLD_FACTOR * lowest_threshold:
            self.plan_strictness = max(0.0, self.plan_strictness - STRICTNESS_DECREASE)

    def _may_leave_level(self, now: int) -> bool:
        if not self.level:
            return False
        leave_threshold = LEAVE_THRESHOLD_FACTOR * LEVEL_THRESHOLDS[self.level - 1]
        return self.pressure < leave_threshold and now - self.level_changed_us >= MIN_LEVEL_TIME_US

    def _set_level(self, level: int, now: int) -> None:
        self.level = level
        self.level_changed_us = now

    @property
    def retry_reserve(self) -> float:
        """Of what the site's router may spend beyond one attempt a request: 1 at level 0, 0 at the
        highest."""
        return 1 - self.level / len(LEVEL_THRESHOLDS)

    # ---- admission -----------------------------------------------------------------------------------

    def rejection_reason(
        self, request_class: RequestClass, tenant: str, is_retry: bool, priority: float
    ) -> AdmissionRejection | None:
        """Why a request is not admitted, or None. `priority`: of its class, 0 to 1."""
        if request_class.is_write or request_class.idempotency is Idempotency.NON_IDEMPOTENT:
            return None  # shed last of all: the origin's own limits apply
        if self.level < RETRY_SHEDDING_LEVEL:
            return None  # the router's own limits are enough
        if is_retry:
            return AdmissionRejection.CLIENT_RETRY
        reserve = self.tenant_reserves.get(tenant, 0.0)
        if reserve and self.gate.in_flight_of(tenant) < reserve * self.gate.adaptive_limit.limit:
            return None
        # Below the highest level the classes share the whole limit; at it the lowest priority is shed first.
        is_highest_level = self.level >= len(LEVEL_THRESHOLDS)
        return self.gate.rejection_reason(tenant, priority if is_highest_level else 1.0)

    def retry_after_us(self, max_retry_after_us: int) -> int:
        """When a rejected client may return, at most `max_retry_after_us` (0: no such bound).

        By Little's law a full gate completes one request each service time over its limit, and all that were
        rejected meanwhile want one too; drawn at random, so that they do not return together."""
        load = self.gate.in_flight / max(1.0, self.gate.adaptive_limit.limit)
        queue_length = 1 + load + 2 * self.level
        wait_us = min(MAX_RETRY_AFTER_US, max(MIN_RETRY_AFTER_US, self.service_time_us * queue_length))
        jittered_us = int(wait_us * self.random.uniform(*RETRY_AFTER_JITTER))
        return min(max_retry_after_us, jittered_us) if max_retry_after_us else jittered_us
