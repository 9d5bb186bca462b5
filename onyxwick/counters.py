"""Counters by name, bounded in number: printed on SIGUSR1 and at exit, and the source of the metrics."""

from __future__ import annotations

from collections import Counter

MAX_NAMES = 512
"""Some names carry a class name that a client wrote."""
OVERFLOW_NAME = "other"


class Counters:
    """Counts that only grow. Of one thread."""

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()

    def add(self, name: str, by: int = 1) -> None:
        """Count; new names beyond `MAX_NAMES` are counted as one."""
        if name not in self.counts and len(self.counts) >= MAX_NAMES:
            name = OVERFLOW_NAME
        self.counts[name] += by

    def merged(self, other: Counters) -> Counters:
        """The sums of both; neither is changed."""
        both = Counters()
        both.counts = self.counts + other.counts
        return both

    def text(self) -> str:
        """One line `NAME COUNT` for each name, sorted."""
        return "\n".join(f"{name} {count}" for name, count in sorted(self.counts.items()))
