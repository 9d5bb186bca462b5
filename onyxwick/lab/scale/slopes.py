"""Run of all sweeps, alternating over sizes and repeats, with their fits, as JSON and as a plot."""

from __future__ import annotations

import json
import os
import platform
import subprocess
import time
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any

from onyxwick.lab.scale import processes, sweeps
from onyxwick.lab.scale.fits import SlopeFit, fit
from onyxwick.lab.scale.sweeps import Sweep

ALL: tuple[Sweep, ...] = (*sweeps.SWEEPS, *processes.SWEEPS)
COLUMNS = 3


def by_name(names: Sequence[str]) -> list[Sweep]:
    """Return the sweeps with the given names, or all sweeps if no name is given.

    Raises KeyError, which lists the known names, if a sweep does not exist.
    """
    known = {sweep.name: sweep for sweep in ALL}
    missing = [name for name in names if name not in known]
    if missing:
        raise KeyError(f"no sweep is named '{missing[0]}'; known sweeps: {', '.join(known)}")
    return [known[name] for name in names] if names else list(ALL)


def run(chosen: Sequence[Sweep], repeats: int | None, progress: Callable[[str], None]) -> dict[str, Any]:
    """Measure sweeps and return their rows with every point of every repeat."""
    out: dict[str, Any] = {"machine": machine(), "revision": revision(), "sweeps": {}}
    for sweep in chosen:
        points: list[tuple[float, float]] = []
        for turn in range(repeats or sweep.repeats):
            for size in sweep.sizes:
                value = sweep.measure(size)
                points.append((float(size), value))
                progress(f"{sweep.name}: turn {turn + 1}, {sweep.driver} {size}: {value:.4g} {sweep.unit}")
        out["sweeps"][sweep.name] = row_of(sweep, points)
    return out


def row_of(sweep: Sweep, points: list[tuple[float, float]]) -> dict[str, Any]:
    """Return the JSON row of one sweep: its points and their fit."""
    return {
        "driver": sweep.driver,
        "unit": sweep.unit,
        "points": points,
        "fit": fit(points).row(),
    }


def fit_of(row: dict[str, Any]) -> SlopeFit:
    """Rebuild the fit from a JSON row."""
    return SlopeFit(**{name: row["fit"][name] for name in SlopeFit.__slots__})


def machine() -> dict[str, Any]:
    """Describe the machine; `load` is the load average of the last minute when the measurement starts."""
    return {
        "cores": os.cpu_count(),
        "python": platform.python_version(),
        "load": os.getloadavg()[0],
        "at": time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime()),
    }


def revision() -> str:
    """Return the measured commit, with a `+` if the working tree differs from it, or "unknown"."""
    try:
        described = subprocess.run(
            ["git", "describe", "--always", "--dirty=+"],
            cwd=Path(__file__).parent,
            capture_output=True,
            text=True,
            check=True,
        )
    except (OSError, subprocess.CalledProcessError):
        return "unknown"
    return described.stdout.strip()


def table(result: dict[str, Any]) -> str:
    """Render the fits as a Markdown table."""
    lines = [
        "| figure | driver, range | slope (95%) | constant (95%) | worst residual | power | note |",
        "| --- | --- | --- | --- | --- | --- | --- |",
    ]
    for name, row in result["sweeps"].items():
        each, sizes = fit_of(row), [point[0] for point in row["points"]]
        repeats = len(row["points"]) // len(set(sizes))
        note = "" if each.is_line else "no line fits"
        if each.grows_faster:
            note = (note + "; " if note else "") + "grows faster than its driver"
        lines.append(
            f"| {name} ({row['unit']}) | {row['driver']}, {min(sizes):g} to {max(sizes):g}, {repeats} times |"
            f" {each.slope:.4g} (+-{each.slope_interval:.2g}) |"
            f" {each.constant:.4g} (+-{each.constant_interval:.2g}) |"
            f" {each.residual:.0%} | {each.power:.2f} | {note} |"
        )
    return "\n".join(lines)


def plot(result: dict[str, Any], path: Path) -> None:
    """Plot the points and fitted lines of all sweeps into one image file."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    names = list(result["sweeps"])
    lines = -(-len(names) // COLUMNS)
    figure, axes = pyplot.subplots(lines, COLUMNS, figsize=(4.2 * COLUMNS, 3 * lines), squeeze=False)
    for axis in axes.flat[len(names) :]:
        axis.axis("off")
    for axis, name in zip(axes.flat, names, strict=False):
        row = result["sweeps"][name]
        each = fit_of(row)
        sizes = [point[0] for point in row["points"]]
        axis.plot(sizes, [point[1] for point in row["points"]], ".", alpha=0.6)
        ends = [min(sizes), max(sizes)]
        axis.plot(ends, [each.at(end) for end in ends], "-" if each.is_line else "--")
        axis.set_title(name, fontsize=9)
        axis.set_xlabel(row["driver"], fontsize=8)
        axis.set_ylabel(row["unit"], fontsize=8)
    figure.tight_layout()
    figure.savefig(path, dpi=70)
    pyplot.close(figure)


def load(path: Path) -> dict[str, Any]:
    """Read a result from its JSON file."""
    value = json.loads(path.read_text())
    assert isinstance(value, dict)
    return value
