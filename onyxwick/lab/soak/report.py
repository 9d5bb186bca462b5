"""What one soak plays, and what came of it."""

from __future__ import annotations

from collections import Counter
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any

from onyxwick.lab.soak.oracle import Finding
from onyxwick.lab.soak.persistent import Habit
from onyxwick.lab.soak.plan import SoakFault, draw, gaps
from onyxwick.lab.soak.surroundings import DEADLINES_US

S = 1_000_000
LONGEST_S, KILL_S = 3.0, 0.7
"""SIGKILL comes the longest deadline, counted as so long at most, and so long more after SIGTERM."""
SHORT_DEADLINES, SHORT_SEEDS = 0.27, 3
"""Of the usual deadlines, in each so many-th seed's run: SIGKILL comes soon there."""


@dataclass(frozen=True, slots=True)
class SoakPlan:
    """What is played. `only`: numbers of the faults that are kept, as the shrinker does; None: all."""

    seed: int
    directors: int
    seconds: float
    only: tuple[int, ...] | None = None
    tree: Path | None = None  # of another revision, whose program is run
    scripted: tuple[SoakFault, ...] | None = None  # in place of what the seed draws
    habits: tuple[Habit, ...] | None = None  # of each director's persistent clients; None: drawn
    deadline_share: float | None = None  # of the usual deadlines; None: by the seed
    answer_bytes: int = 2000  # of the largest class's answers
    held: bool | None = None  # are the listening sockets the lab's? None: each third one

    @property
    def deadlines_us(self) -> dict[str, int]:
        """By class."""
        share = self.deadline_share
        if share is None:
            share = SHORT_DEADLINES if self.seed % SHORT_SEEDS == 0 else 1.0
        return {name: int(deadline * share) for name, deadline in DEADLINES_US.items()}

    @property
    def kill_after_s(self) -> float:
        """From SIGTERM to the earliest SIGKILL of the platform."""
        return min(LONGEST_S, max(self.deadlines_us.values()) / S) + KILL_S

    def faults(self) -> list[SoakFault]:
        """The faults in order of time."""
        if self.scripted is not None:
            return list(self.scripted)
        drawn = draw(self.seed, self.directors, self.seconds)
        return [fault for fault in drawn if self.only is None or fault.number in self.only]

    def line(self) -> str:
        """What plays it again."""
        only = "" if self.only is None else f" --only {','.join(map(str, self.only)) or '0'}"
        head = f"onyxwick lab faults soak --seed {self.seed} --directors {self.directors}"
        tree = "" if self.tree is None else f" --program {self.tree}"
        return f"{head} --minutes {self.seconds / 60:g}{only}{tree}"


@dataclass(slots=True)
class SoakReport:
    """What came of one run."""

    plan: SoakPlan
    calls: int
    verdicts: Counter[str]
    attempts: int
    faults: Counter[str]
    met: dict[str, int]
    pairs: Counter[tuple[str, str]]
    findings: list[Finding]
    lab_late_ms: float
    judged: bool
    kept: Path | None = None

    def data(self) -> dict[str, Any]:
        """As JSON."""
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
            "pairs_missing": len(gaps(self.pairs)),
            "lab_late_ms": round(self.lab_late_ms, 1),
            "judged": self.judged,
            "broken": dict(Counter(finding.rule for finding in self.findings)),
            "findings": [asdict(finding) for finding in self.findings[:40]],
            "again": self.plan.line(),
            "kept": None if self.kept is None else str(self.kept),
        }
