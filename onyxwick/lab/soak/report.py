"""The plan of one soak and the report of its run."""

from __future__ import annotations

from collections import Counter
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any

from onyxwick.lab.soak.oracle import Finding
from onyxwick.lab.soak.persistent import Habit
from onyxwick.lab.soak.plan import SoakFault, draw_faults, missing_pairs
from onyxwick.lab.soak.surroundings import DEADLINES_US

S = 1_000_000
MAX_COUNTED_DEADLINE_S, KILL_MARGIN_S = 3.0, 0.7
"""The platform sends SIGKILL after SIGTERM by the longest deadline, of which at most the first value counts,
plus the second value."""
RARE_MEMORY_INTERVAL_S = 3.0  # of the looks at each process's memory, beside up to a hundred processes
SHORT_DEADLINE_SHARE, SHORT_DEADLINE_EVERY = 0.27, 3
"""In every third seed's run deadlines are this share of the usual ones, so that SIGKILL comes early."""


@dataclass(frozen=True, slots=True)
class SoakPlan:
    """The parameters of one run. `only`: numbers of the faults to play, as set by the shrinker; None: all."""

    seed: int
    directors: int
    seconds: float
    only: tuple[int, ...] | None = None
    tree: Path | None = None  # source tree of another revision, whose program is run
    scripted: tuple[SoakFault, ...] | None = None  # faults that replace those drawn from the seed
    habits: tuple[Habit, ...] | None = None  # habits of each director's persistent clients; None: drawn
    deadline_share: float | None = None  # share of the usual deadlines; None: chosen by the seed
    answer_bytes: int = 2000  # answer size of the class with the largest answers
    memory_mb: int = 80  # limits that are told to each director, as tight as on the platform's short days
    sockets: int = 512
    requests_per_s: float = 5.0  # arrival rate of the ordinary clients' requests, for each director
    memory_interval_s: float = 0.1  # interval of the looks at each process's memory
    held: bool | None = None  # the lab owns the listening sockets; None: those of every third director

    @property
    def deadlines_us(self) -> dict[str, int]:
        """The deadlines by class, in microseconds."""
        share = self.deadline_share
        if share is None:
            share = SHORT_DEADLINE_SHARE if self.seed % SHORT_DEADLINE_EVERY == 0 else 1.0
        return {name: int(deadline * share) for name, deadline in DEADLINES_US.items()}

    @property
    def kill_after_s(self) -> float:
        """The time from SIGTERM to the earliest SIGKILL of the platform, in seconds."""
        return min(MAX_COUNTED_DEADLINE_S, max(self.deadlines_us.values()) / S) + KILL_MARGIN_S

    def faults(self) -> list[SoakFault]:
        """Return the faults in order of time."""
        if self.scripted is not None:
            return list(self.scripted)
        drawn = draw_faults(self.seed, self.directors, self.seconds)
        return [fault for fault in drawn if self.only is None or fault.number in self.only]

    def command_line(self) -> str:
        """Return the command line that runs this plan again."""
        only = "" if self.only is None else f" --only {','.join(map(str, self.only)) or '0'}"
        head = f"onyxwick lab faults soak --seed {self.seed} --directors {self.directors}"
        tree = "" if self.tree is None else f" --program {self.tree}"
        return f"{head} --minutes {self.seconds / 60:g}{only}{tree}"


def plan_without_persistent_clients(
    seed: int, directors: int, seconds: float, faults: tuple[SoakFault, ...], tree: Path | None
) -> SoakPlan:
    """Return the plan of a run that measures the given faults beside ordinary clients alone."""
    return SoakPlan(
        seed,
        directors,
        seconds,
        tree=tree,
        scripted=faults,
        habits=(),
        held=False,
        memory_interval_s=RARE_MEMORY_INTERVAL_S,
    )


@dataclass(slots=True)
class SoakReport:
    """The results of one run."""

    plan: SoakPlan
    calls: int
    verdicts: Counter[str]
    attempts: int
    faults: Counter[str]
    met: dict[str, int]
    pairs: Counter[tuple[str, str]]
    findings: list[Finding]
    peak_bytes: int
    """The largest anonymous memory of any process."""
    lab_late_ms: float
    judged: bool
    kept: Path | None = None

    def data(self) -> dict[str, Any]:
        """Return the report as a JSON object."""
        return {
            "seed": self.plan.seed,
            "directors": self.plan.directors,
            "seconds": self.plan.seconds,
            "calls": self.calls,
            "verdicts": dict(self.verdicts),
            "attempts": self.attempts,
            "faults": dict(self.faults),
            "calls_failed_by_shim": self.met,
            "pairs_played": len(self.pairs),
            "pairs_missing": len(missing_pairs(self.pairs)),
            "peak_mb": round(self.peak_bytes / 1e6, 1),
            "memory_mb": self.plan.memory_mb,
            "lab_late_ms": round(self.lab_late_ms, 1),
            "judged": self.judged,
            "broken": dict(Counter(finding.rule for finding in self.findings)),
            "findings": [asdict(finding) for finding in self.findings[:40]],
            "again": self.plan.command_line(),
            "kept": None if self.kept is None else str(self.kept),
        }
