"""What an outage of the coordinator costs caches, parents and the origin, beside steady load.

All coordinators of a fleet refuse connections for some seconds; nothing else fails. The report compares the
work that each tier receives, and what clients are served, before, during and after the outage.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

from onyxwick.lab.soak.model import SoakCall, SoakRecords
from onyxwick.lab.soak.plan import SoakFault, SoakFaultKind
from onyxwick.lab.soak.report import SoakPlan, plan_without_persistent_clients
from onyxwick.lab.soak.run import Soak

S = 1_000_000
OUTAGE_AT_S, OUTAGE_S, RUN_S = 10.0, 10.0, 30.0
BEFORE_S, AFTER_S = 5.0, 5.0  # lengths of the times that the outage is compared with
RETURN_SETTLE_S = 1.0
REQUESTS_PER_S = 15.0  # for each director
TIERS = ("box", "parent", "origin")


@dataclass(frozen=True, slots=True)
class OutagePhase:
    """One part of a run. Work is in seconds of full-rate transfer for each second of the phase."""

    name: str
    seconds: float
    requests: int
    served: int
    median_ms: float
    p99_ms: float
    work_by_tier: dict[str, float]
    most_work_in_a_second: dict[str, float]

    def data(self) -> dict[str, Any]:
        """Return the phase as a JSON object."""
        return {
            "phase": self.name,
            "requests": self.requests,
            "served": self.served,
            "median_ms": round(self.median_ms, 1),
            "p99_ms": round(self.p99_ms, 1),
            "work": {tier: round(work, 2) for tier, work in self.work_by_tier.items()},
            "most_work": {tier: round(work, 2) for tier, work in self.most_work_in_a_second.items()},
        }


@dataclass(frozen=True, slots=True)
class OutageReport:
    """The results of one run."""

    seed: int
    directors: int
    phases: list[OutagePhase]
    lab_late_ms: float

    def data(self) -> dict[str, Any]:
        """Return the report as a JSON object."""
        return {
            "seed": self.seed,
            "directors": self.directors,
            "phases": [phase.data() for phase in self.phases],
            "lab_late_ms": self.lab_late_ms,
        }


def outage_plan(seed: int, directors: int, tree: Path | None) -> SoakPlan:
    """Return the plan of a run: the coordinators of all directors are absent at the same time."""
    faults = tuple(
        SoakFault(number + 1, SoakFaultKind.FEED_ABSENT, number, OUTAGE_AT_S, OUTAGE_S, 0)
        for number in range(directors)
    )
    plan = plan_without_persistent_clients(seed, directors, RUN_S, faults, tree)
    return replace(plan, deadline_share=1.0, requests_per_s=REQUESTS_PER_S)


async def play_outage(seed: int, directors: int, tree: Path | None, slot: int) -> OutageReport:
    """Play one run. `tree`: source tree of another revision, whose program is run."""
    soak = Soak(outage_plan(seed, directors, tree), slot)
    report = await soak.play()
    spans = [each for each in soak.actions.state.history.spans if each.kind is SoakFaultKind.FEED_ABSENT]
    begun, ended = min(span.from_us for span in spans), max(span.until_us for span in spans)
    settled = ended + int(RETURN_SETTLE_S * S)
    bounds = (
        ("before", begun - int(BEFORE_S * S), begun),
        ("outage", begun, ended),
        ("after", settled, settled + int(AFTER_S * S)),
    )
    tiers = {name: server.kind for name, server in soak.servers.items()}
    phases = [phase_of(name, soak.records, tiers, from_us, until_us) for name, from_us, until_us in bounds]
    return OutageReport(seed, directors, phases, report.lab_late_ms)


def phase_of(
    name: str, records: SoakRecords, tiers: dict[str, str], from_us: int, until_us: int
) -> OutagePhase:
    """Return the figures of the time from `from_us` to `until_us`. `tiers`: by server."""
    seconds = (until_us - from_us) / S
    by_second = dict[str, Counter[int]]((tier, Counter()) for tier in TIERS)
    for work in records.asked:
        if from_us <= work.at_us < until_us:
            by_second[tiers[work.server]][(work.at_us - from_us) // S] += int(work.work_us)
    calls = [call for call in records.calls.values() if from_us <= call.sent_us < until_us]
    latencies_ms = sorted(_latencies_ms(calls))
    return OutagePhase(
        name,
        seconds,
        len(calls),
        sum(call.verdict == "served" for call in calls),
        _quantile(latencies_ms, 0.5),
        _quantile(latencies_ms, 0.99),
        {tier: sum(by_second[tier].values()) / S / seconds for tier in TIERS},
        {tier: max(by_second[tier].values(), default=0) / S for tier in TIERS},
    )


def _latencies_ms(calls: Iterable[SoakCall]) -> Iterator[float]:
    for call in calls:
        if call.verdict == "served":
            yield (call.ended_us - call.sent_us) / 1000


def _quantile(values: list[float], share: float) -> float:
    return values[min(len(values) - 1, int(share * len(values)))] if values else 0.0
