"""What is refused first while a site's load is elsewhere, and when those refused may come back. No I/O.

The order is a ladder, climbed by the share of late and refused answers at one site and come down from more
slowly: (1) second copies, renewals, further attempts; (2) clients' retries; (3) the least worth for its work.
Within the limit learned for the site a class's dearest tenant is not dearer than another: whoever holds more
than its max-min part waits, nobody under its reserve does. What cannot be: load that keeps itself up. An
attempt beyond the first and a client's retry are work that a refusal before them has made, so these go first
(Bronson, Aghayev, Charapko and Zhu, "Metastable failures in distributed systems", 2021).
"""

from __future__ import annotations

import random
from collections.abc import Mapping

from onyxwick.cells.limits import AdmissionGate
from onyxwick.interface import Idempotency, RequestClass

S = 1_000_000
PRESSURE_WEIGHT = 0.04  # weight of one answer in the pressure
PRESSURE_HALVING_US = 500_000  # without an answer the pressure halves in so long: nothing proves it any more
LEVEL_THRESHOLDS = (0.15, 0.35, 0.55)  # pressure from which on the ladder's steps are taken
LEAVE_THRESHOLD_FACTOR = 0.5  # of it, at which they are left
MIN_LEVEL_TIME_US = 1 * S  # on a step before it is left
TIGHTEN, LOOSEN = 0.05, 0.02  # of what the plan refuses, more or less of it at each look
INITIAL_SERVICE_TIME_US = 300_000  # a place is taken for so long, where nothing is known yet
LEAST_WAIT_US, MOST_WAIT_US = 100_000, 8 * S


def class_priorities(classes: Mapping[str, RequestClass], work_us: Mapping[str, float]) -> dict[str, float]:
    """0 for the class that is shed first, 1 for the last: what must not run twice, then worth for its
    work."""
    order = sorted(
        classes.values(),
        key=lambda c: (
            c.idempotency is Idempotency.NON_IDEMPOTENT or c.is_write,
            c.priority_weight / max(1.0, work_us[c.name]),
            c.name,
        ),
    )
    return {c.name: n / max(1, len(order) - 1) for n, c in enumerate(order)}


class SheddingLevels:
    """One site's: what is still let in, and the reserve that its router has."""

    def __init__(self, most_open: int, reserves: Mapping[str, float], seed: int) -> None:
        self.gate = AdmissionGate(most_open)
        self.tenant_reserves = reserves
        self.random = random.Random(seed)
        self.pressure, self.level = 0.0, 0
        self.plan_strictness = 0.0  # of what the plan refuses, the share that is too much here
        self.level_changed_us = self.last_answer_us = 0
        self.service_time_us = float(INITIAL_SERVICE_TIME_US)
        self.refused: dict[str, int] = {}

    # ---- what is learned --------------------------------------------------------------------------------

    def record_answer(self, now: int, bad: bool, took_us: int = 0) -> None:
        """One answer of the site's router: late, refused or failed, or good."""
        self.pressure += PRESSURE_WEIGHT * (bad - self.pressure)
        self.last_answer_us = now
        if took_us:
            self.service_time_us += PRESSURE_WEIGHT * (took_us - self.service_time_us)

    def record_outcome(self, now: int, late: bool, aim_us: int) -> None:
        self.gate.adaptive_limit.record_answer(now, late, aim_us, self.gate.in_flight)

    def step(self, now: int) -> None:
        """Some times a second: fade what is old, climb or come down."""
        if now - self.last_answer_us > PRESSURE_HALVING_US and self.pressure > 0:
            self.pressure, self.last_answer_us = self.pressure / 2, now
        if self.pressure >= LEVEL_THRESHOLDS[0]:
            self.plan_strictness = min(1.0, self.plan_strictness + TIGHTEN)
        elif self.pressure < LEAVE_THRESHOLD_FACTOR * LEVEL_THRESHOLDS[0]:
            self.plan_strictness = max(0.0, self.plan_strictness - LOOSEN)
        wanted = sum(self.pressure >= at for at in LEVEL_THRESHOLDS)
        if wanted > self.level:
            self.level, self.level_changed_us = wanted, now
        elif (
            self.level
            and self.pressure < LEAVE_THRESHOLD_FACTOR * LEVEL_THRESHOLDS[self.level - 1]
            and now - self.level_changed_us >= MIN_LEVEL_TIME_US
        ):
            self.level, self.level_changed_us = self.level - 1, now

    @property
    def retry_reserve(self) -> float:
        """Of what its router may spend beyond one attempt a request: 1 in calm, 0 at the top."""
        return 1 - self.level / len(LEVEL_THRESHOLDS)

    # ---- who is let in ----------------------------------------------------------------------------------

    def rejection_reason(self, kind: RequestClass, tenant: str, again: bool, priority: float) -> str | None:
        """Why a request is not let in, or None."""
        if kind.is_write or kind.idempotency is Idempotency.NON_IDEMPOTENT:
            return None  # last of all: the archive's own limits hold for it
        if self.level < 2:
            return None  # the router's own limits are enough
        if again:
            return "retry"
        reserve = self.tenant_reserves.get(tenant, 0.0)
        if reserve and self.gate.in_flight_of(tenant) < reserve * self.gate.adaptive_limit.limit:
            return None
        # Below the top of the ladder the classes share the whole limit; at it the least worth goes first.
        return self.gate.rejection_reason(tenant, priority if self.level >= len(LEVEL_THRESHOLDS) else 1.0)

    def count(self, reason: str) -> None:
        self.refused[reason] = self.refused.get(reason, 0) + 1

    def retry_after_us(self, most_us: int) -> int:
        """When one that is refused may come back: by Little's law a full gate frees a place each turn over
        its limit, and all that were refused meanwhile want one too; drawn, so that they do not come in
        step."""
        queue = 1 + self.gate.in_flight / max(1.0, self.gate.adaptive_limit.limit) + 2 * self.level
        spread = min(MOST_WAIT_US, max(LEAST_WAIT_US, self.service_time_us * queue))
        out = int(spread * self.random.uniform(0.5, 1.5))
        return min(most_us, out) if most_us else out
