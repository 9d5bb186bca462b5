"""Estimates the clock differences between directors from common notifications and client retries.

The module takes times in microseconds and returns for each director an offset and a drift relative to the
first director, with their uncertainty.

Each director records pairs of its Unix and monotonic clocks. With these pairs, its times are first converted
to its own monotonic clock, which removes steps of the Unix clock. The remaining difference is an offset and
a drift. Both are fitted to the notifications that both directors received, with the median of slopes (Theil
1950 and Sen 1968), which a few late notifications do not affect. Retries bound the result: a client that
one director rejected reaches another director after the rejection, never before it.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

import numpy as np

from onyxwick.trace.table import Column

SAMPLED_SLOPES = 2000
MIN_EVENTS = 3
UNKNOWN_UNCERTAINTY_US = 1e9
"""Uncertainty of the clock difference of two directors without common notifications or retries."""
MAX_DRIFT = 1e-3
"""A fitted drift above this value is noise from too few events and is ignored."""
MIN_SLOPE_SPAN = 0.2
"""Pairs of events that are closer together than this share of the total time span give no useful slope."""
UNCERTAINTY_QUANTILE = 0.9
UNCERTAINTY_FACTOR = 3
MIN_UNCERTAINTY_US = 1000.0


class MonotonicClock:
    """Converts the Unix times that one director recorded to its own monotonic clock."""

    def __init__(self, samples: Sequence[tuple[int, int]]) -> None:
        """Take (Unix, monotonic) pairs in microseconds, each read at the same instant.

        With fewer than two pairs, Unix times are used unchanged.
        """
        ordered = sorted(samples)
        self.unix = np.array([u for u, _ in ordered], np.float64)
        self.mono = np.array([m for _, m in ordered], np.float64)
        self.base = float(self.unix[0] - self.mono[0]) if len(ordered) else 0.0

    def to_monotonic(self, times: Column) -> Column:
        """Return Unix times corrected by the monotonic clock, in microseconds."""
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
        """Return the largest backward step of the Unix clock relative to the monotonic clock, in
        microseconds."""
        if len(self.unix) < 2:
            return 0.0
        ahead = self.unix - self.mono
        return float((np.maximum.accumulate(ahead) - ahead).max())


@dataclass(frozen=True, slots=True)
class ClockFit:
    """The fit of a director's clock to the first director's clock.

    The time t of this director is t - offset - drift * (t - origin) on the first director's clock.
    """

    offset_us: float = 0.0
    drift: float = 0.0
    origin_us: float = 0.0
    uncertainty_us: float = 0.0
    """Uncertainty of the converted times, in microseconds."""
    events: int = 0
    retries: int = 0
    """Number of retries that the fit was checked against."""
    violated_retries: int = 0  # Number of the checked retries that contradict the fit.

    def to_first(self, times: Column) -> Column:
        """Convert times of this director to the first director's clock."""
        times = np.asarray(times, np.float64)
        out: Column = times - self.offset_us - self.drift * (times - self.origin_us)
        return out


def fit_clock(
    first: Column, other: Column, earlier: Column | None = None, later: Column | None = None, seed: int = 1
) -> ClockFit:
    """Fit the other director's clock to the first director's clock.

    `first` and `other` are the times at which each director received the same notifications, on its own
    monotonic clock. `earlier` are the times at which the first director rejected requests, and `later` the
    times at which their retries reached the other director. None means that there are no retries.
    """
    events = len(first)
    bounds = 0 if earlier is None else len(earlier)
    if events < MIN_EVENTS:
        if not bounds or earlier is None or later is None:
            return ClockFit(uncertainty_us=UNKNOWN_UNCERTAINTY_US)
        # Only retries are known. If a retry seems to come before its rejection, the other clock is behind by
        # at least the time between the two.
        gap = float(np.min(np.asarray(later, float) - np.asarray(earlier, float)))
        return ClockFit(
            min(0.0, gap),
            uncertainty_us=abs(gap) + UNKNOWN_UNCERTAINTY_US / 1e3,
            events=events,
            retries=bounds,
        )
    gaps = np.asarray(other, np.float64) - np.asarray(first, np.float64)
    origin = float(np.median(other))
    slope = _slope(np.asarray(other, np.float64), gaps, seed)
    rest = gaps - slope * (np.asarray(other, np.float64) - origin)
    offset = float(np.median(rest))
    # Notifications are delayed at random, with the same distribution for both directors. What the fit leaves
    # of each gap (`rest - offset`) consists of this delay and the uncertainty of the fit.
    spread = np.abs(rest - offset)
    uncertainty = float(np.quantile(spread, UNCERTAINTY_QUANTILE)) / max(1.0, events**0.5)
    uncertainty = uncertainty * UNCERTAINTY_FACTOR + MIN_UNCERTAINTY_US
    out = ClockFit(offset, slope, origin, uncertainty, events, bounds)
    if earlier is None or later is None or not bounds:
        return out
    broken = np.asarray(earlier, np.float64) - out.to_first(np.asarray(later))
    worst = float(broken.max())
    if worst > 0:
        out = ClockFit(
            offset, slope, origin, max(uncertainty, worst), events, bounds, int((broken > 0).sum())
        )
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
