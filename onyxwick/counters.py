"""Named counters, limited in number: printed on SIGUSR1 and at exit, and exported as metrics."""

from __future__ import annotations

from collections import Counter

MAX_NAMES = 512
"""Maximum number of counter names; needed because some names contain a class name sent by a client."""
OVERFLOW_NAME = "other"


class Counters:
    """Monotonically increasing counters. Not thread-safe: each instance belongs to one thread."""

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()

    def add(self, name: str, by: int = 1) -> None:
        """Increment a counter. New names beyond `MAX_NAMES` are all counted under `OVERFLOW_NAME`."""
        if name not in self.counts and len(self.counts) >= MAX_NAMES:
            name = OVERFLOW_NAME
        self.counts[name] += by

    def merged(self, other: Counters) -> Counters:
        """Return new counters with the sums of both; neither operand is changed."""
        total = Counters()
        total.counts = self.counts + other.counts
        return total

    def text(self) -> str:
        """Return one line `NAME COUNT` for each counter, sorted by name."""
        return "\n".join(f"{name} {count}" for name, count in sorted(self.counts.items()))
