"""Counts of what the program takes in, sends and answers: printed on SIGUSR1 and at exit."""

from __future__ import annotations

from collections import Counter

MAX_NAMES = 512  # names at once: some carry a class name that a client wrote


class Counters:
    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()

    def add(self, name: str, by: int = 1) -> None:
        if name not in self.counts and len(self.counts) >= MAX_NAMES:
            name = "other"
        self.counts[name] += by

    def merged(self, other: Counters) -> Counters:
        """Both counts in one, as for printing; neither is changed."""
        both = Counters()
        both.counts = self.counts + other.counts
        return both

    def text(self) -> str:
        return "\n".join(f"{name} {count}" for name, count in sorted(self.counts.items()))
