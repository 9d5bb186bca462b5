"""Straight-line fits of measured points: slope, interval, residuals, and whether a line fits at all."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import asdict, dataclass
from typing import Any

import numpy as np
from scipy import optimize, stats

CONFIDENCE = 0.95
MAX_RESIDUAL = 0.2
"""Largest residual at which the line counts as fitting the points.

A residual is the distance of a size's median from the line, as a share of that median (see MIN_SCALE)."""
SUPERLINEAR_POWER = 1.15
"""Exponent of the driver above which a cost counts as growing faster than its driver."""
MIN_SIZES = 5
MIN_SCALE = 0.02
"""Lower bound of the scale of a residual, as a share of the largest median.

A residual is divided by its median, or by this bound if the median is smaller."""


@dataclass(frozen=True, slots=True)
class SlopeFit:
    """The line `y = constant + slope * x`, with the half width of the interval of each coefficient.

    `power` is the exponent of a power law fitted to the sizes from the median up, where a constant matters
    least.
    """

    slope: float
    slope_interval: float
    constant: float
    constant_interval: float
    residual: float
    power: float

    @property
    def is_line(self) -> bool:
        """Whether the largest residual is small enough for the line to describe the points."""
        return self.residual <= MAX_RESIDUAL

    @property
    def grows_faster(self) -> bool:
        """Whether the cost grows faster than its driver."""
        return self.power > SUPERLINEAR_POWER

    def at(self, driver: float) -> float:
        """Return the line's value at a driver, 0 if it would be negative."""
        return max(0.0, self.constant + self.slope * driver)

    def row(self) -> dict[str, Any]:
        """Return the fit as a JSON object."""
        return {**asdict(self), "is_line": self.is_line, "grows_faster": self.grows_faster}


def fit(points: Sequence[tuple[float, float]]) -> SlopeFit:
    """Fit a line by least squares.

    Each point is weighted by the median of its size, so that a large size counts no more than a small one.
    Raises ValueError if there are fewer than five distinct sizes.
    """
    x = np.array([point[0] for point in points], dtype=float)
    y = np.array([point[1] for point in points], dtype=float)
    sizes = np.unique(x)
    if len(sizes) < MIN_SIZES:
        raise ValueError(f"{len(sizes)} sizes measured, a fit needs at least {MIN_SIZES}")
    medians = np.array([np.median(y[x == size]) for size in sizes])
    scale = np.maximum(np.abs(medians), np.abs(medians).max() * MIN_SCALE)
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
    """Return the exponent over the upper half of the sizes, 0 if any median there is not positive."""
    upper = sizes >= np.median(sizes)
    if np.any(medians[upper] <= 0):
        return 0.0
    return float(stats.linregress(np.log(sizes[upper]), np.log(medians[upper])).slope)
