"""Straight lines through measured points: slope, interval, residuals, and a flag where no line fits."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import asdict, dataclass
from typing import Any

import numpy as np
from scipy import optimize, stats

CONFIDENCE = 0.95
MOST_RESIDUAL = 0.2
"""Largest distance of a mean from the line, over the line's value there, up to which it is said to fit."""
STEEPER = 1.15
"""Power of the driver from which a cost is said to grow faster than its driver."""
LEAST_SIZES = 5
LEAST_SCALE = 0.02
"""Of the largest median: what a smaller one is taken for when residuals are set against it."""


@dataclass(frozen=True, slots=True)
class SlopeFit:
    """`y = constant + slope * x`, with the half width of each one's interval; `power`: the exponent of the
    power law between the two largest thirds of the sizes, where a constant matters least."""

    slope: float
    slope_interval: float
    constant: float
    constant_interval: float
    residual: float
    power: float

    @property
    def is_line(self) -> bool:
        """Does the line describe the points?"""
        return self.residual <= MOST_RESIDUAL

    @property
    def grows_faster(self) -> bool:
        """Does the cost grow faster than its driver?"""
        return self.power > STEEPER

    def at(self, driver: float) -> float:
        """The line's value for a driver; never under 0."""
        return max(0.0, self.constant + self.slope * driver)

    def row(self) -> dict[str, Any]:
        """The fit as JSON."""
        return {**asdict(self), "is_line": self.is_line, "grows_faster": self.grows_faster}


def fit(points: Sequence[tuple[float, float]]) -> SlopeFit:
    """The line of least squares, each point weighted by its size's median: a large size counts no more than a
    small one. ValueError under five sizes."""
    x = np.array([point[0] for point in points], dtype=float)
    y = np.array([point[1] for point in points], dtype=float)
    sizes = np.unique(x)
    if len(sizes) < LEAST_SIZES:
        raise ValueError(f"{len(sizes)} sizes, {LEAST_SIZES} at least")
    medians = np.array([np.median(y[x == size]) for size in sizes])
    scale = np.maximum(np.abs(medians), np.abs(medians).max() * LEAST_SCALE)
    (slope, constant), covariance = optimize.curve_fit(
        _line, x, y, p0=(1.0, 0.0), sigma=scale[np.searchsorted(sizes, x)]
    )
    half = stats.t.ppf((1 + CONFIDENCE) / 2, len(x) - 2) * np.sqrt(np.diag(covariance))
    return SlopeFit(
        slope=float(slope),
        slope_interval=float(half[0]),
        constant=float(constant),
        constant_interval=float(half[1]),
        residual=float(np.max(np.abs(medians - _line(sizes, slope, constant)) / scale)),
        power=_power(sizes, medians),
    )


def _line(x: Any, slope: float, constant: float) -> Any:
    return slope * x + constant


def _power(sizes: Any, medians: Any) -> float:
    """The exponent over the upper half of the sizes; 0 where the cost does not grow at all."""
    upper = sizes >= np.median(sizes)
    if np.any(medians[upper] <= 0):
        return 0.0
    return float(stats.linregress(np.log(sizes[upper]), np.log(medians[upper])).slope)
