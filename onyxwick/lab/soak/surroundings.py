"""The environment of a soak's directors: request classes, caches, parents and the origin."""

from __future__ import annotations

from onyxwick.interface import Idempotency, RequestClass
from onyxwick.lab.model import Scenario, ScenarioClass, Tier
from onyxwick.lab.soak.model import BOOKING, JOB_SHEET, SITE_VIDEO

S = 1_000_000
CACHES, PARENTS = 6, 2


def _job(
    name: str,
    repeat: Idempotency,
    sending_us: int,
    deadline_us: int,
    fresh_us: int = 0,
    answer_bytes: int = 2000,
) -> ScenarioClass:
    unsafe = repeat is Idempotency.NON_IDEMPOTENT
    aim_us = min(600_000, deadline_us // 2)
    kind = RequestClass(
        name,
        repeat,
        aim_us,
        deadline_us,
        latency_objective_stretch=1.6,
        priority_weight=1.0,
        is_write=unsafe,
        segmented=not unsafe,
        freshness_lifetime_us=fresh_us,
    )
    return ScenarioClass(kind, sending_us, answer_bytes, 3)


DEADLINES_US = {SITE_VIDEO: 3 * S, JOB_SHEET: 2 * S, BOOKING: 3 * S}


def soak_jobs(deadlines_us: dict[str, int], answer_bytes: int = 2000) -> tuple[ScenarioClass, ...]:
    """Return the request classes of a soak, with the given deadlines in microseconds."""
    return (
        _job(SITE_VIDEO, Idempotency.IDEMPOTENT, 60_000, deadlines_us[SITE_VIDEO], answer_bytes=answer_bytes),
        _job(JOB_SHEET, Idempotency.IDEMPOTENT, 20_000, deadlines_us[JOB_SHEET], 12 * S),
        _job(BOOKING, Idempotency.NON_IDEMPOTENT, 20_000, deadlines_us[BOOKING]),
    )


TIERS = {
    "box": Tier(CACHES, 12.0, 0.18, 17 * S, 4.0),
    "parent": Tier(PARENTS, 24.0, 0.07, 20 * S, 2.0),
    "origin": Tier(1, 60.0, 1.0, 0, 100.0, 10_000),
}


def soak_scenario(jobs: tuple[ScenarioClass, ...]) -> Scenario:
    """Return the scenario from which the directors' configuration is made."""
    box, parent, origin = TIERS["box"], TIERS["parent"], TIERS["origin"]
    return Scenario("soak", 0, 0, 1, box, parent, origin, jobs, (), (), None, False, 0, 6 * S, 0, ())
