"""Estimates how the clocks of directors differ, from notifications that all received and from client
retries.

Input: times in microseconds. Output: for each director an offset and a drift against the first one, with
their uncertainty.

Each director's times are first put on its own monotonic clock, by the pairs of both clocks that it records,
which undoes steps of the Unix clock. The rest is an offset and a drift, fitted to the notifications that
both received (Theil 1950 and Sen 1968: the median of slopes, which a few late notifications do not move),
and bounded by retries: a client that one director rejected comes to another one later, never earlier.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

import numpy as np

from onyxwick.trace.table import Column

SAMPLED_SLOPES = 2000
MIN_EVENTS = 3
UNKNOWN_DOUBT_US = 1e9
"""Uncertainty where two directors have nothing in common."""
MAX_DRIFT = 1e-3
"""A larger slope is noise of few events."""
MIN_SLOPE_SPAN = 0.2
"""Of the whole time: pairs of events that are closer give no useful slope."""
DOUBT_QUANTILE = 0.9
DOUBT_FACTOR = 3
MIN_DOUBT_US = 1000.0


class MonotonicClock:
    """One director's recorded Unix times on its own monotonic clock."""

    def __init__(self, samples: Sequence[tuple[int, int]]) -> None:
        """`samples`: (Unix, monotonic) microseconds at the same instants; none: the clock is trusted."""
        ordered = sorted(samples)
        self.unix = np.array([u for u, _ in ordered], np.float64)
        self.mono = np.array([m for _, m in ordered], np.float64)
        self.base = float(self.unix[0] - self.mono[0]) if len(ordered) else 0.0

    def to_monotonic(self, times: Column) -> Column:
        """Unix times moved to where the monotonic clock puts them."""
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
        """How far the Unix clock stepped back against the monotonic one, at most."""
        if len(self.unix) < 2:
            return 0.0
        ahead = self.unix - self.mono
        return float((np.maximum.accumulate(ahead) - ahead).max())


@dataclass(frozen=True, slots=True)
class ClockFit:
    """A director's clock: t - offset - drift * (t - origin) is the time on the first director's."""

    offset_us: float = 0.0
    drift: float = 0.0
    origin_us: float = 0.0
    doubt_us: float = 0.0
    """How far off the result may be."""
    events: int = 0
    retries: int = 0
    """Bounds from retries that were checked."""
    violated_retries: int = 0  # of them, those that the fit contradicts

    def to_first(self, times: Column) -> Column:
        """Times of this director on the first one's clock."""
        times = np.asarray(times, np.float64)
        out: Column = times - self.offset_us - self.drift * (times - self.origin_us)
        return out


def fit_clock(
    first: Column, other: Column, earlier: Column | None = None, later: Column | None = None, seed: int = 1
) -> ClockFit:
    """The other director's clock against the first one's.

    `first` and `other`: when each received the same notifications, on its monotonic clock. `earlier` and
    `later`: when the first rejected a request, and when its retry came to the other.
    """
    events = len(first)
    bounds = 0 if earlier is None else len(earlier)
    if events < MIN_EVENTS:
        if not bounds or earlier is None or later is None:
            return ClockFit(doubt_us=UNKNOWN_DOUBT_US)
        # Retries alone: the other's clock is at least so far behind that each comes after its rejection.
        gap = float(np.min(np.asarray(later, float) - np.asarray(earlier, float)))
        return ClockFit(
            min(0.0, gap), doubt_us=abs(gap) + UNKNOWN_DOUBT_US / 1e3, events=events, retries=bounds
        )
    gaps = np.asarray(other, np.float64) - np.asarray(first, np.float64)
    origin = float(np.median(other))
    slope = _slope(np.asarray(other, np.float64), gaps, seed)
    rest = gaps - slope * (np.asarray(other, np.float64) - origin)
    offset = float(np.median(rest))
    # Notifications are delayed at random, for both alike: the rest is this delay and the uncertainty.
    spread = np.abs(rest - offset)
    doubt = float(np.quantile(spread, DOUBT_QUANTILE)) / max(1.0, events**0.5)
    doubt = doubt * DOUBT_FACTOR + MIN_DOUBT_US
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
    a, b = rng.integers(0, len(times), SAMPLED_SLOPES), rng.integers(0, len(times), SAMPLED_SLOPES)
    span = times[b] - times[a]
    far = np.abs(span) > MIN_SLOPE_SPAN * (times.max() - times.min() + 1)
    if not far.any():
        return 0.0
    slope = float(np.median((gaps[b] - gaps[a])[far] / span[far]))
    return slope if abs(slope) <= MAX_DRIFT else 0.0
