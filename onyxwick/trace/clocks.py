"""How directors' clocks differ, estimated from what they all were told and from clients that retried
elsewhere.

Each director's times are first put on its own monotonic clock, by the pairs of both clocks that it records:
a clock that stepped back is undone there. Against the first director the rest is an offset and a drift,
fitted to the events that both were told (Theil 1950 and Sen 1968: the median of slopes, which a few late
tellings do not move), and bounded by retries: a client that was refused by one director asks another one
later, never before.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

import numpy as np

from onyxwick.trace.table import Column

PAIRS = 2000  # slopes looked at
LEAST_EVENTS = 3
UNKNOWN_US = 1e9  # doubt where two directors have nothing in common
DRIFT_MOST = 1e-3  # a slope over it is noise of few events, no clock


class OwnClock:
    """One director's recorded Unix times on its own monotonic clock."""

    def __init__(self, samples: Sequence[tuple[int, int]]) -> None:
        """`samples`: (Unix us as recorded, monotonic us) at instants, in order. None: the clock is taken as
        steady."""
        ordered = sorted(samples)
        self.unix = np.array([u for u, _ in ordered], np.float64)
        self.mono = np.array([m for _, m in ordered], np.float64)
        self.base = float(self.unix[0] - self.mono[0]) if len(ordered) else 0.0

    def steady(self, times: Column) -> Column:
        """Times in us that run with the monotonic clock, still near Unix time."""
        times = np.asarray(times, np.float64)
        if len(self.unix) < 2:
            return times
        inside = np.interp(times, self.unix, self.mono)
        before, after = times < self.unix[0], times > self.unix[-1]
        inside = np.where(before, self.mono[0] - (self.unix[0] - times), inside)
        inside = np.where(after, self.mono[-1] + (times - self.unix[-1]), inside)
        out: Column = inside + self.base
        return out

    @property
    def steps_us(self) -> float:
        """How far the Unix clock fell behind the monotonic one, from where it had been furthest ahead."""
        if len(self.unix) < 2:
            return 0.0
        ahead = self.unix - self.mono
        return float((np.maximum.accumulate(ahead) - ahead).max())


@dataclass(frozen=True, slots=True)
class ClockFit:
    """From a director's steady time to the first director's: t - offset - drift * (t - origin)."""

    offset_us: float = 0.0
    drift: float = 0.0
    origin_us: float = 0.0
    doubt_us: float = 0.0  # how far off it may be
    events: int = 0
    retries: int = 0  # bounds from retries that were looked at
    against: int = 0  # of them, those that the fit breaks

    def to_first(self, times: Column) -> Column:
        times = np.asarray(times, np.float64)
        out: Column = times - self.offset_us - self.drift * (times - self.origin_us)
        return out


def fit(
    first: Column, other: Column, earlier: Column | None = None, later: Column | None = None, seed: int = 1
) -> ClockFit:
    """The other director's clock against the first one's.

    `first` and `other`: steady times at which each was told of the same events. `earlier` (on the first's
    clock) and `later` (on the other's): a retry that came to the other after a refusal by the first.
    """
    events = len(first)
    bounds = 0 if earlier is None else len(earlier)
    if events < LEAST_EVENTS:
        if not bounds or earlier is None or later is None:
            return ClockFit(doubt_us=UNKNOWN_US)
        # The retries alone: the other's clock is at least so far behind as makes each come later.
        gap = float(np.min(np.asarray(later, float) - np.asarray(earlier, float)))
        return ClockFit(min(0.0, gap), doubt_us=abs(gap) + UNKNOWN_US / 1e3, events=events, retries=bounds)
    gaps = np.asarray(other, np.float64) - np.asarray(first, np.float64)
    origin = float(np.median(other))
    slope = _slope(np.asarray(other, np.float64), gaps, seed)
    rest = gaps - slope * (np.asarray(other, np.float64) - origin)
    offset = float(np.median(rest))
    # The events are told late by chance, to both alike: what is left over is this lateness and the doubt.
    spread = np.abs(rest - offset)
    doubt = float(np.quantile(spread, 0.9)) / max(1.0, events**0.5) * 3 + 1000.0
    out = ClockFit(offset, slope, origin, doubt, events, bounds)
    if earlier is None or later is None or not bounds:
        return out
    broken = np.asarray(earlier, np.float64) - out.to_first(np.asarray(later))
    worst = float(broken.max())
    if worst > 0:
        out = ClockFit(offset, slope, origin, max(doubt, worst), events, bounds, int((broken > 0).sum()))
    return out


def _slope(times: Column, gaps: Column, seed: int) -> float:
    rng = np.random.default_rng(seed)
    a, b = rng.integers(0, len(times), PAIRS), rng.integers(0, len(times), PAIRS)
    span = times[b] - times[a]
    far = np.abs(span) > 0.2 * (times.max() - times.min() + 1)
    if not far.any():
        return 0.0
    slope = float(np.median((gaps[b] - gaps[a])[far] / span[far]))
    return slope if abs(slope) <= DRIFT_MOST else 0.0
