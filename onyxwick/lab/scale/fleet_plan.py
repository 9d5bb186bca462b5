"""What a run of a fleet is asked to be, and whether the machine can bear it."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

from onyxwick.lab.scale.hollow import Shape

RELAYS_OF_A_REGION = 2
MOST_PROCESSES, OTHER_PROCESSES = 200, 5
DIRECTOR_KB, PROCESS_KB = 1_000, 80_000
"""What a hollow director and a process are reckoned at, on the safe side."""


@dataclass(frozen=True, slots=True)
class FleetPlan:
    """What is run. `fault` happens at a third of the time; `cut_s`: how long a region is cut, a relay paused
    or gone."""

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


def check(plan: FleetPlan) -> None:
    """ValueError where a plan would take more than half of the machine's memory, or 200 processes."""
    processes = plan.hosts + plan.regions * RELAYS_OF_A_REGION + OTHER_PROCESSES
    if processes > MOST_PROCESSES:
        raise ValueError(f"{processes} processes, {MOST_PROCESSES} at most")
    needed = plan.directors * DIRECTOR_KB + processes * PROCESS_KB
    total = int(Path("/proc/meminfo").read_text().split()[1])
    if needed > total // 2:
        raise ValueError(f"some {needed // 1024} MB needed, half of the machine's {total // 1024} MB at most")
