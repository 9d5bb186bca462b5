"""Load shedding at one site while it also carries the load of other sites.

Takes answers (late, rejected or in time) and the time in microseconds, and determines a shedding level (0 to
3), the reason to reject a request, and a Retry-After. A level is entered at a given share of late and
rejected answers at the site, and left more slowly: (1) no hedged requests, fewer further attempts, and stale
copies are not served while they are revalidated; (2) clients' retries are rejected; (3) the classes with the
lowest priority weight per unit of work are rejected first. Within the learned limit of the site no tenant of
a class is preferred: a tenant over its max-min fair share is rejected, and a tenant under its reserve is
admitted.

Further attempts and clients' retries are work caused by an earlier rejection. They are rejected before all
other work, which prevents overload that sustains itself (Bronson, Aghayev, Charapko and Zhu, "Metastable
failures in distributed systems", 2021).
"""

from __future__ import annotations

import random
from collections.abc import Mapping

from onyxwick.interface import Idempotency, RequestClass
from onyxwick.sites.model import MICROSECONDS_PER_SECOND
from onyxwick.subrouters.admission_gate import AdmissionGate
from onyxwick.subrouters.rejection import AdmissionRejection

ANSWER_SMOOTHING = 0.04  # weight of one answer in the moving averages of pressure and service time
PRESSURE_HALVING_US = 500_000  # without answers, the pressure halves after each such interval
LEVEL_THRESHOLDS = (0.15, 0.35, 0.55)  # pressure at which each level is entered
LEAVE_THRESHOLD_FACTOR = 0.5  # a level is left when the pressure is below its threshold times this
MIN_LEVEL_TIME_US = 1 * MICROSECONDS_PER_SECOND  # shortest time at a level before it is left
RETRY_SHEDDING_LEVEL = 2  # from this level on, clients' retries are rejected
STRICTNESS_INCREASE = 0.05  # added to `plan_strictness` in each step under pressure
STRICTNESS_DECREASE = 0.02  # subtracted from `plan_strictness` in each step without pressure
INITIAL_SERVICE_TIME_US = 300_000  # assumed until answers are measured
MIN_RETRY_AFTER_US = 100_000
MAX_RETRY_AFTER_US = 8 * MICROSECONDS_PER_SECOND
RETRY_AFTER_JITTER = (0.5, 1.5)  # a Retry-After is multiplied by a random factor from this range


class SheddingLevels:
    """The shedding level of one site, and the admission of requests at that level."""

    def __init__(self, max_in_flight: int, tenant_reserves: Mapping[str, float], seed: int) -> None:
        """`tenant_reserves`: by tenant, the share of the concurrency limit that is reserved for it."""
        self.gate = AdmissionGate(max_in_flight)
        self.tenant_reserves = tenant_reserves
        self.random = random.Random(seed)
        self.pressure = 0.0  # share of late and rejected among the latest answers, 0 to 1
        self.level = 0
        self.plan_strictness = 0.0  # of the load that the plan may reject, the share rejected now, 0 to 1
        self.level_changed_us = 0
        self.last_answer_us = 0
        self.service_time_us = float(INITIAL_SERVICE_TIME_US)

    # ---- measurements --------------------------------------------------------------------------------

    def record_answer(self, now: int, bad: bool, taken_us: int = 0) -> None:
        """Update the pressure and the mean service time with one answer of the site's router.

        `bad`: the answer was late, or the request was rejected or failed. `taken_us`: service time in us; 0
        if unknown."""
        self.pressure += ANSWER_SMOOTHING * (bad - self.pressure)
        self.last_answer_us = now
        if taken_us:
            self.service_time_us += ANSWER_SMOOTHING * (taken_us - self.service_time_us)

    def record_outcome(self, now: int, late: bool, objective_us: int) -> None:
        """Adapt the concurrency limit of the site to one answer; `objective_us`: its latency objective."""
        self.gate.adaptive_limit.record_answer(now, late, objective_us, self.gate.in_flight)

    def step(self, now: int) -> None:
        """Decay the pressure, adapt the strictness, and enter or leave a level. Called periodically."""
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
        """Return the share of its budget for further attempts that the site's router may use: 1 at level
        0, 0 at the highest level."""
        return 1 - self.level / len(LEVEL_THRESHOLDS)

    # ---- admission -----------------------------------------------------------------------------------

    def rejection_reason(
        self, request_class: RequestClass, tenant: str, is_retry: bool, priority: float
    ) -> AdmissionRejection | None:
        """Return why a request is not admitted; None if it is admitted. `priority`: the priority of its
        class, 0 to 1."""
        if request_class.is_write or request_class.idempotency is Idempotency.NON_IDEMPOTENT:
            return None  # writes and non-idempotent requests are shed last, by the origin's limits
        if self.level < RETRY_SHEDDING_LEVEL:
            return None  # below this level nothing is rejected here; the limits of the site's router suffice
        if is_retry:
            return AdmissionRejection.CLIENT_RETRY
        reserve = self.tenant_reserves.get(tenant, 0.0)
        if reserve and self.gate.in_flight_of(tenant) < reserve * self.gate.adaptive_limit.limit:
            return None
        # Below the highest level every class may use the full concurrency limit. At the highest level the
        # class with the lowest priority is shed first.
        is_highest_level = self.level >= len(LEVEL_THRESHOLDS)
        return self.gate.rejection_reason(tenant, priority if is_highest_level else 1.0)

    def retry_after_us(self, max_retry_after_us: int) -> int:
        """Return the time after which a rejected client may retry, at most `max_retry_after_us` (0: no
        limit).

        By Little's law, a full gate completes one request per service time divided by its limit, and all
        requests rejected in the meantime compete for these completions. The time is randomized so
        that rejected clients do not retry simultaneously."""
        load = self.gate.in_flight / max(1.0, self.gate.adaptive_limit.limit)
        queue_length = 1 + load + 2 * self.level
        wait_us = min(MAX_RETRY_AFTER_US, max(MIN_RETRY_AFTER_US, self.service_time_us * queue_length))
        jittered_us = int(wait_us * self.random.uniform(*RETRY_AFTER_JITTER))
        return min(max_retry_after_us, jittered_us) if max_retry_after_us else jittered_us
