"""A fleet of which most directors are killed and started at once, twice, while caches drain.

Counts, by the time at which the system received them at the caches, the requests that came to a server that
was drained, or that named it as the source of a fill. The lab runs beside up to a hundred starting processes,
so its own clients and timers may be late; the counted times are not.
"""

from __future__ import annotations

import random
from collections import Counter, defaultdict
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

from onyxwick.lab.soak.model import SoakRecords, Unready
from onyxwick.lab.soak.oracle import DRAIN_LIMIT_US, SOCKET_SLACK_US
from onyxwick.lab.soak.plan import SoakFault, SoakFaultKind
from onyxwick.lab.soak.report import SoakPlan, plan_without_persistent_clients
from onyxwick.lab.soak.run import Soak

S = 1_000_000
KILLS_AT_S, KILL_LENGTH_S, RUN_S = (2.0, 14.0), 3.0, 24.0
REQUESTS_PER_S = 2.0  # for each director
MAX_REPORTED_READY_TIMES = 3


@dataclass(frozen=True, slots=True)
class FleetReport:
    """The results of one run."""

    seed: int
    directors: int
    killed: int
    drains: int
    verdicts: Counter[str]
    sends: int
    within_grace: int
    """Requests to drained servers, or with them as source, that the rule still allows."""
    past_grace_ms: list[int]
    """For each request that breaks the rule: the time since the drain was in the coordinator."""
    slowest_restarts_s: list[float]
    """From the kill until ready again."""
    lab_late_ms: float

    def data(self) -> dict[str, Any]:
        """Return the report as a JSON object."""
        return {
            "seed": self.seed,
            "directors": self.directors,
            "killed": self.killed,
            "drains": self.drains,
            "verdicts": dict(self.verdicts),
            "sends": self.sends,
            "within_grace": self.within_grace,
            "past_grace": len(self.past_grace_ms),
            "worst_ms": max(self.past_grace_ms, default=0),
            "slowest_restarts_s": self.slowest_restarts_s,
            "lab_late_ms": self.lab_late_ms,
        }


def fleet_plan(seed: int, directors: int, tree: Path | None) -> SoakPlan:
    """Return the plan of a run: two kills of most of the fleet, drawn from the seed."""
    rng = random.Random(f"fleet {seed}")
    faults = tuple(
        SoakFault(number, SoakFaultKind.FLEET_KILL, 0, at_s, KILL_LENGTH_S, rng.getrandbits(32))
        for number, at_s in enumerate(KILLS_AT_S, 1)
    )
    plan = plan_without_persistent_clients(seed, directors, RUN_S, faults, tree)
    return replace(plan, requests_per_s=REQUESTS_PER_S)


async def play_fleet(seed: int, directors: int, tree: Path | None, slot: int) -> FleetReport:
    """Play one run. `tree`: source tree of another revision, whose program is run."""
    soak = Soak(fleet_plan(seed, directors, tree), slot)
    report = await soak.play()
    records = soak.records
    ages_us = ages_of_sends_to_drained(records)
    limit_us = DRAIN_LIMIT_US + SOCKET_SLACK_US
    past_grace_ms = [age_us // 1000 for age_us in ages_us if age_us > limit_us]
    restarts_s = sorted(((each.until_us - each.from_us) / S for each in records.down), reverse=True)
    return FleetReport(
        seed,
        directors,
        len(records.down),
        len({(span.server, span.told_us) for span in records.unready}),
        report.verdicts,
        len(records.sent),
        len(ages_us) - len(past_grace_ms),
        past_grace_ms,
        [round(each, 1) for each in restarts_s[:MAX_REPORTED_READY_TIMES]],
        report.lab_late_ms,
    )


def ages_of_sends_to_drained(records: SoakRecords) -> list[int]:
    """Return for each request to a drained server or source how long before the drain was told."""
    spans = defaultdict[tuple[str, int], list[Unready]](list)
    for span in records.unready:
        spans[span.server, span.director].append(span)
    ages_us = list[int]()
    for sent in records.sent:
        call = records.calls.get(sent.request)
        for server in (sent.server, sent.source):
            if call is None or server is None:
                continue
            drained = (span for span in spans[server, call.director] if span.told_us < sent.at_us)
            ages_us += [sent.at_us - span.told_us for span in drained if sent.at_us < span.until_us]
    return ages_us
