"""The parameters of a fleet run, and a check that the machine has enough memory for it."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

from onyxwick.lab.scale.hollow import Shape

RELAYS_PER_REGION = 2
MAX_PROCESSES, OTHER_PROCESSES = 200, 5
DIRECTOR_KB, PROCESS_KB = 1_000, 80_000
"""Conservative memory estimates of a hollow director and of a process."""


@dataclass(frozen=True, slots=True)
class FleetPlan:
    """The parameters of a run.

    `fault` is injected after a third of the run time. `cut_s` is how long, in seconds, a region is cut off or
    a relay is paused or down.
    """

    shape: Shape = Shape.TREE
    directors: int = 1000
    regions: int = 3
    hosts: int = 6
    caches: int = 190
    seconds: float = 60.0
    purges_per_s: float = 21.0
    list_changes_per_s: float = 0.5
    changes: int = 650
    bursts: int = 10
    change_bytes: int = 500
    requests_per_s: float = 0.05
    fault: str = "none"
    cut_s: float = 20.0
    slot: int = 0
    seed: int = 1


def check_plan(plan: FleetPlan) -> None:
    """Reject a plan that needs over half of the machine's memory or over 200 processes, with ValueError."""
    processes = plan.hosts + plan.regions * RELAYS_PER_REGION + OTHER_PROCESSES
    if processes > MAX_PROCESSES:
        raise ValueError(f"the plan needs {processes} processes, at most {MAX_PROCESSES} are allowed")
    needed = plan.directors * DIRECTOR_KB + processes * PROCESS_KB
    total = int(Path("/proc/meminfo").read_text().split()[1])
    if needed > total // 2:
        raise ValueError(
            f"the plan needs about {needed // 1024} MB, over half of the machine's {total // 1024} MB"
        )
