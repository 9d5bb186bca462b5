"""What the run-time invariants cost a request: made-up requests through all checks, nothing else."""

from __future__ import annotations

import time
from typing import Any

from onyxwick.core.invariant_model import AttemptStarted, Violation
from onyxwick.core.invariants import Invariants
from onyxwick.interface import EndpointListKind, EndpointsChanged, Member, MemberState
from onyxwick.lab.platform import settings
from onyxwick.lab.soak.surroundings import DEADLINES_US, soak_jobs, soak_scenario
from onyxwick.settings import SettingValues, read_settings

CACHES = 10
S = 1_000_000


def _measured(requests: int) -> tuple[float, int]:
    """Microseconds a request, and violations: none, as nothing is wrong with these."""
    found: list[Violation] = []
    rules = read_settings(SettingValues.from_json(settings(soak_scenario(soak_jobs(DEADLINES_US)))))
    checks = Invariants(rules, found.append)
    rows = tuple(Member(f"c{n}", "depot-1", "box", 0, MemberState.READY, 6.0, 0) for n in range(CACHES))
    checks.endpoints_changed(EndpointsChanged(EndpointListKind.SNAPSHOT, rows), S)
    checks.object_purged(3, None, S, S)
    begun = time.perf_counter()
    for n in range(requests):
        name, cache = f"{n:016x}", f"c{n % CACHES}"
        checks.request_started(name, "site-video", 17, "o1", 9 * S, 2 * S)
        checks.attempt_started(AttemptStarted(name, 0, cache, None, 0, 5 * S), 2 * S)
        checks.attempt_ended(name, 0, False)
        checks.answered(name, 3 * S)
        checks.request_ended(name)
    return (time.perf_counter() - begun) / requests * 1e6, len(found)


def report(requests: int, rounds: int) -> dict[str, Any]:
    """The least, median and most of some rounds, in microseconds a request."""
    rows = sorted(_measured(requests) for _ in range(rounds))
    costs = [cost for cost, _ in rows]
    return {
        "requests": requests,
        "us_per_request": {"least": costs[0], "median": costs[len(costs) // 2], "most": costs[-1]},
        "violations": sum(found for _, found in rows),
    }
