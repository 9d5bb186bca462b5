"""The capacity model: combines slopes and fleet figures for a size into the tables of docs/CAPACITY.md.

Each cell is a formula over measured figures and drivers. A figure taken from a run of another size is always
marked as such.
"""

from __future__ import annotations

import json
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from enum import Enum
from pathlib import Path
from statistics import median
from typing import Any

import numpy as np

from onyxwick.distribution.admission import AdmissionLimits
from onyxwick.distribution.replica import MAX_LOG_BYTES, PURGE_RETENTION_MS
from onyxwick.lab.scale.fits import SlopeFit
from onyxwick.lab.scale.size import DAY_S, Size
from onyxwick.lab.scale.slopes import fit_of

CONTROL_CORES_BUDGET, CONTROL_MEMORY_BUDGET_MB, CONTROL_BYTES_PER_S_BUDGET = 0.011, 256.0, 10_000.0
MAX_COUNTED_OBJECTS = 50_000
"""The router's limit on objects that are counted at the same time."""
LOOP_TURN_BUDGET_MS = 8.0
MEASURED_PURGES_PER_S = 21.0
PURGE_LINE_BYTES = 110.0
"""Bytes of a purge line in the distribution tree: a number of 19 digits, an object name and a time."""
REGION_CUT_DURATION_S = 600.0
ROW_KB = 0.15


class FigureOrigin(Enum):
    """The origin of a figure."""

    MEASURED = "measured"
    DERIVED = "derived"
    ASSUMED = "assumed"


@dataclass(frozen=True, slots=True)
class CapacityInputs:
    """The measured inputs: fits and points by sweep name, and fleet reports by shape and fault."""

    fits: Mapping[str, SlopeFit]
    points: Mapping[str, Sequence[tuple[float, float]]]
    fleets: Mapping[str, Mapping[str, Any]]
    revision: str

    def at(self, name: str, driver: float) -> float:
        """Return a figure at a driver, by its fitted line.

        Where no line fits, interpolate between the measured medians, and extrapolate past the largest size by
        the power law of the upper half of the sizes.
        """
        each = self.fits[name]
        if each.is_line:
            return each.at(driver)
        sizes = sorted({size for size, _ in self.points[name]})
        medians = [
            median(value for size, value in self.points[name] if size == each_size) for each_size in sizes
        ]
        if driver > sizes[-1]:
            return float(medians[-1] * (driver / sizes[-1]) ** each.power)
        return float(np.interp(driver, sizes, medians))

    def fleet(self, name: str) -> Mapping[str, Any]:
        """Return the report of a fleet. Raises KeyError if that fleet was not run."""
        return self.fleets[name]


Formula = Callable[[Size, CapacityInputs], float]


@dataclass(frozen=True, slots=True)
class CapacityCell:
    """One figure of one role; a `budget` of None means that no budget is set."""

    role: str
    kind: str
    unit: str
    formula: str
    compute: Formula
    mark: FigureOrigin
    mechanism: str
    budget: float | None = None


def _p99_rate(size: Size) -> float:
    return size.requests_per_director * size.p99_over_mean


def _serving(rate: Callable[[Size], float]) -> Formula:
    def compute(size: Size, inputs: CapacityInputs) -> float:
        return rate(size) * inputs.at("director_request_us", size.request_bytes / 1e3) / 1e6

    return compute


def _counted(size: Size, rate: float) -> float:
    return min(MAX_COUNTED_OBJECTS, size.objects_counted(rate))


def _popularity(rate: Callable[[Size], float]) -> Formula:
    return lambda size, inputs: inputs.at("popularity_ms_per_s", _counted(size, rate(size))) / 1e3


def _turn(size: Size, inputs: CapacityInputs) -> float:
    return inputs.at("popularity_turn_ms", _counted(size, _p99_rate(size)))


def _feed_share(size: Size, inputs: CapacityInputs) -> float:
    return (
        float(inputs.fleet("tree-quiet")["core_share_a_director"]) * size.purges_per_s / MEASURED_PURGES_PER_S
    )


def _list_share(size: Size, inputs: CapacityInputs) -> float:
    return size.list_changes_per_hour / 3600 * inputs.at("list_change_us", size.caches) / 1e6


def _purge_share(size: Size, inputs: CapacityInputs) -> float:
    return inputs.at("purge_ms_per_s", size.purges_per_s) / 1e3


def _idle_share(size: Size, inputs: CapacityInputs) -> float:
    return inputs.at("director_idle_ms_per_s", size.caches_at_largest_site) / 1e3


def _year_mb(size: Size, _: CapacityInputs) -> float:
    return size.changes_per_day * 365 * (size.change_bytes + 200) / 1e6


def _idle_mb(size: Size, inputs: CapacityInputs) -> float:
    return inputs.at("director_memory_kb", size.caches_at_largest_site) / 1e3


def _control(rate: Callable[[Size], float]) -> Formula:
    def compute(size: Size, inputs: CapacityInputs) -> float:
        rest = _popularity(rate)(size, inputs) + _list_share(size, inputs)
        return _feed_share(size, inputs) + rest + _idle_share(size, inputs)

    return compute


def _control_mb(size: Size, inputs: CapacityInputs) -> float:
    counted = inputs.at("counted_kb", _counted(size, _p99_rate(size)))
    feed = float(inputs.fleet("tree-quiet")["memory_kb_a_director"])
    return (counted + feed + size.document_bytes / 1e3) / 1e3


def _director_bytes(size: Size, inputs: CapacityInputs) -> float:
    measured = float(inputs.fleet("tree-quiet")["bytes_per_s_a_director"])
    return measured * size.purges_per_s / MEASURED_PURGES_PER_S


def _burst_bytes(size: Size, inputs: CapacityInputs) -> float:
    return _director_bytes(size, inputs) + size.changes_per_s_in_burst * size.change_bytes * 1.1


def _relays(size: Size) -> int:
    return size.control_machines - 2


def _followers(size: Size, lost: int = 0) -> float:
    return size.directors / max(1, _relays(size) - lost)


def _events_per_s(size: Size) -> float:
    return size.purges_per_s + size.list_changes_per_hour / 3600 + size.changes_per_day / DAY_S


def _relay_share(lost: int) -> Formula:
    def compute(size: Size, inputs: CapacityInputs) -> float:
        return _events_per_s(size) * inputs.at("node_ms_per_event", _followers(size, lost)) / 1e3

    return compute


def _publisher_share(size: Size, inputs: CapacityInputs) -> float:
    binding = size.purges_per_s * PURGE_RETENTION_MS / 1e3
    each = inputs.at("publish_us", binding) / 1e6 + inputs.at("node_ms_per_event", _relays(size)) / 1e3
    return _events_per_s(size) * each


def _single_share(size: Size, inputs: CapacityInputs) -> float:
    report = inputs.fleet("single-none")
    share = float(report["cores"]["coordinator"])
    grown = size.directors * size.purges_per_s / (report["plan"]["directors"] * MEASURED_PURGES_PER_S)
    return share * float(grown)


def _trace_mb_per_s(size: Size, inputs: CapacityInputs) -> float:
    return size.requests_per_s * inputs.fits["trace_bytes"].slope / 1e6


def _snapshot_kb(size: Size, inputs: CapacityInputs) -> float:
    binding = inputs.at("snapshot_kb", size.purges_per_s * PURGE_RETENTION_MS / 1e3)
    return binding + size.caches * ROW_KB + size.document_bytes / 1e3


CELLS: tuple[CapacityCell, ...] = (
    CapacityCell(
        "director, serving",
        "processor, mean director",
        "cores",
        "requests x director_request_us(kB)",
        _serving(lambda s: s.requests_per_director),
        FigureOrigin.DERIVED,
        "net/front, net/caches",
        1.0,
    ),
    CapacityCell(
        "director, serving",
        "processor, p99 director",
        "cores",
        "as above x p99 over mean",
        _serving(_p99_rate),
        FigureOrigin.DERIVED,
        "net/front, net/caches; more directors",
        1.0,
    ),
    CapacityCell(
        "director, serving",
        "messages",
        "requests/s",
        "requests a second / directors",
        lambda s, _: s.requests_per_director,
        FigureOrigin.DERIVED,
        "net/front",
    ),
    CapacityCell(
        "director, serving",
        "bytes out, mean director",
        "MB/s",
        "bits / 8 / directors",
        lambda s, _: s.bits_per_s / 8e6 / s.directors,
        FigureOrigin.DERIVED,
        "net/front, net/outbox",
    ),
    CapacityCell(
        "director, serving",
        "memory, idle, all links",
        "MB",
        "director_memory_kb(caches linked)",
        _idle_mb,
        FigureOrigin.DERIVED,
        "net/caches",
    ),
    CapacityCell(
        "director, control",
        "processor, mean director",
        "cores",
        "idle + feed + popularity + list",
        _control(lambda s: s.requests_per_director),
        FigureOrigin.DERIVED,
        "net/subscription, routing",
        CONTROL_CORES_BUDGET,
    ),
    CapacityCell(
        "director, control",
        "processor, p99 director",
        "cores",
        "as above at the p99 rate",
        _control(_p99_rate),
        FigureOrigin.DERIVED,
        "net/subscription, routing",
        CONTROL_CORES_BUDGET,
    ),
    CapacityCell(
        "director, control",
        "of it the feed with purges",
        "cores",
        "hollow fleet, x purges",
        _feed_share,
        FigureOrigin.MEASURED,
        "net/subscription, net/director_feed",
        CONTROL_CORES_BUDGET,
    ),
    CapacityCell(
        "director, control",
        "of it popularity, mean director",
        "cores",
        "popularity_ms_per_s(counted)",
        _popularity(lambda s: s.requests_per_director),
        FigureOrigin.DERIVED,
        "routing/popularity",
        CONTROL_CORES_BUDGET,
    ),
    CapacityCell(
        "director, control",
        "of it popularity, p99 director",
        "cores",
        "the same at the p99 rate",
        _popularity(_p99_rate),
        FigureOrigin.DERIVED,
        "routing/popularity",
        CONTROL_CORES_BUDGET,
    ),
    CapacityCell(
        "director, control",
        "of it timers when idle",
        "cores",
        "director_idle_ms_per_s(caches linked)",
        _idle_share,
        FigureOrigin.MEASURED,
        "net/front, net/caches: sweeps",
        CONTROL_CORES_BUDGET,
    ),
    CapacityCell(
        "director, control",
        "of it purges alone",
        "cores",
        "purge_ms_per_s(purges)",
        _purge_share,
        FigureOrigin.DERIVED,
        "core/members, routing/purge",
        CONTROL_CORES_BUDGET,
    ),
    CapacityCell(
        "director, control",
        "of it list changes",
        "cores",
        "changes an hour x list_change_us(caches)",
        _list_share,
        FigureOrigin.DERIVED,
        "net/coordinator, routing/endpoints",
        CONTROL_CORES_BUDGET,
    ),
    CapacityCell(
        "director, control",
        "longest turn of the loop",
        "ms",
        "popularity_turn_ms(objects counted, p99)",
        _turn,
        FigureOrigin.DERIVED,
        "routing/popularity",
        LOOP_TURN_BUDGET_MS,
    ),
    CapacityCell(
        "director, control",
        "memory",
        "MB",
        "counted_kb(objects) + hollow director + documents",
        _control_mb,
        FigureOrigin.DERIVED,
        "routing/popularity, net/director_feed",
        CONTROL_MEMORY_BUDGET_MB,
    ),
    CapacityCell(
        "director, control",
        "bytes in, steady",
        "bytes/s",
        "hollow fleet, x purges",
        _director_bytes,
        FigureOrigin.MEASURED,
        "distribution/",
        CONTROL_BYTES_PER_S_BUDGET,
    ),
    CapacityCell(
        "director, control",
        "bytes in, burst of changes",
        "bytes/s",
        "steady + burst x bytes / 5 s",
        _burst_bytes,
        FigureOrigin.DERIVED,
        "distribution/publisher",
        CONTROL_BYTES_PER_S_BUDGET,
    ),
    CapacityCell(
        "feed's publisher",
        "processor",
        "cores",
        "events x (publish_us + node_ms(relays))",
        _publisher_share,
        FigureOrigin.DERIVED,
        "distribution/publisher, durable",
        1.0,
    ),
    CapacityCell(
        "feed's publisher",
        "state",
        "rows",
        "caches + purges x 60 s + documents",
        lambda s, _: s.caches + s.purges_per_s * 60 + 64,
        FigureOrigin.DERIVED,
        "distribution/replica",
    ),
    CapacityCell(
        "feed's publisher",
        "bytes out",
        "kB/s",
        "relays x steady bytes",
        lambda s, inputs: _relays(s) * _director_bytes(s, inputs) / 1e3,
        FigureOrigin.DERIVED,
        "net/fanout_server",
    ),
    CapacityCell(
        "feed's publisher",
        "snapshot",
        "kB",
        "snapshot_kb(purges x 60 s) + rows + documents",
        lambda s, inputs: _snapshot_kb(s, inputs),
        FigureOrigin.DERIVED,
        "distribution/replica",
    ),
    CapacityCell(
        "today: one coordinator",
        "processor",
        "cores",
        "single fleet, x directors x purges",
        _single_share,
        FigureOrigin.MEASURED,
        "the lab's stand-in",
        1.0,
    ),
    CapacityCell(
        "control machine, relay",
        "followers",
        "connections",
        "directors / (machines - 2)",
        lambda s, _: _followers(s),
        FigureOrigin.DERIVED,
        "distribution/tree",
        256.0,
    ),
    CapacityCell(
        "control machine, relay",
        "followers, four lost",
        "connections",
        "directors / (machines - 6)",
        lambda s, _: _followers(s, 4),
        FigureOrigin.DERIVED,
        "distribution/tree",
        256.0,
    ),
    CapacityCell(
        "control machine, relay",
        "processor",
        "cores",
        "events x node_ms_per_event(followers)",
        _relay_share(0),
        FigureOrigin.DERIVED,
        "net/fanout_server",
        1.0,
    ),
    CapacityCell(
        "control machine, relay",
        "processor, four lost",
        "cores",
        "the same with four fewer",
        _relay_share(4),
        FigureOrigin.DERIVED,
        "net/fanout_server",
        1.0,
    ),
    CapacityCell(
        "control machine, relay",
        "bytes out",
        "kB/s",
        "followers x steady bytes",
        lambda s, inputs: _followers(s) * _director_bytes(s, inputs) / 1e3,
        FigureOrigin.DERIVED,
        "net/fanout_server",
    ),
    CapacityCell(
        "administration API, store",
        "changes",
        "1/s",
        "changes a day / 86,400",
        lambda s, _: s.changes_per_day / DAY_S,
        FigureOrigin.DERIVED,
        "admin/, store/",
    ),
    CapacityCell(
        "administration API, store",
        "changes of a year, not compacted",
        "MB",
        "changes x (bytes + 200)",
        _year_mb,
        FigureOrigin.DERIVED,
        "store/: compacted",
    ),
    CapacityCell(
        "parent cache, origin",
        "connections at one",
        "connections",
        "directors x links to one",
        lambda s, _: float(s.directors * s.links_per_cache),
        FigureOrigin.DERIVED,
        "net/caches (2 to 8 a director)",
    ),
    CapacityCell(
        "traces, figures",
        "bytes written, all directors",
        "MB/s",
        "requests x trace_bytes slope",
        _trace_mb_per_s,
        FigureOrigin.DERIVED,
        "trace/; collection is missing",
    ),
    CapacityCell(
        "traces, figures",
        "bytes of a day",
        "TB",
        "the same x 86,400",
        lambda s, inputs: _trace_mb_per_s(s, inputs) * DAY_S / 1e6,
        FigureOrigin.DERIVED,
        "missing",
    ),
)


def read_inputs(folder: Path) -> CapacityInputs:
    """Read the measured figures in a folder: `slopes.json`, and `fleet-SHAPE-FAULT.json` of each fleet."""
    measured = json.loads((folder / "slopes.json").read_text())
    fits = {name: fit_of(row) for name, row in measured["sweeps"].items()}
    fleets = {
        path.stem.removeprefix("fleet-"): json.loads(path.read_text()) for path in folder.glob("fleet-*.json")
    }
    points = {name: [tuple(point) for point in row["points"]] for name, row in measured["sweeps"].items()}
    return CapacityInputs(fits, points, fleets, str(measured["revision"]))


def _format(value: float) -> str:
    return f"{value:.0f}" if abs(value) >= 1000 else f"{value:.3g}"


def _headroom(cell: CapacityCell, value: float) -> str:
    if cell.budget is None:
        return "-"
    times = value / cell.budget
    return f"{1 - times:.0%}" if times <= 1 else f"**{times:.1f} times over**"


def _two_columns(first: str, second: str, rows: Sequence[tuple[str, str]]) -> str:
    head = [f"| {first} | {second} |", "| --- | --- |"]
    return "\n".join([*head, *(f"| {name} | {value} |" for name, value in rows)])


def drivers(size: Size) -> str:
    """Render the quantities derived from the size alone as a Markdown table."""
    rows = [
        ("directors a site, even", f"{size.directors / size.sites:.1f}"),
        ("directors at the largest site", f"{size.directors_at_largest_site}"),
        ("caches a site, even", f"{size.caches / size.sites:.1f}"),
        ("caches at the largest site", f"{size.caches_at_largest_site}"),
        ("requests a second, mean director", f"{size.requests_per_director:.0f}"),
        ("requests a second, p99 director", f"{_p99_rate(size):.0f}"),
        ("bytes of an answer, mean", f"{size.request_bytes / 1e3:.0f} kB"),
        (
            "objects counted at once, mean and p99 director",
            f"{size.objects_counted(size.requests_per_director):.0f}, {_counted(size, _p99_rate(size)):.0f}",
        ),
        ("rows of the list that change an hour", f"{size.list_changes_per_hour:.0f}"),
        ("purges of a group, a second", f"{size.purges_per_s * size.group_purge_share:.1f}"),
        ("purges of an object, a second", f"{size.purges_per_s * (1 - size.group_purge_share):.1f}"),
        ("directors of a region, mean", f"{size.directors / size.regions:.0f}"),
        (
            "configuration changes a second, mean and in a burst",
            f"{size.changes_per_day / DAY_S:.4f}, {size.changes_per_s_in_burst:.1f}",
        ),
    ]
    return "\n".join(
        ["| driver | value |", "| --- | --- |", *(f"| {name} | {value} |" for name, value in rows)]
    )


def roles(size: Size, inputs: CapacityInputs, factor: float = 2.0) -> str:
    """Render all cells for a size and a multiple of it as a Markdown table.

    Processor time is also given as the number of requests with a 1 kB answer that a complete director serves
    in that time.
    """
    grown = size.times(factor)
    # The cores that one request per second takes.
    served = inputs.at("director_request_us", 1) / 1e6
    lines = [
        f"| role | what | now | {factor:g} times | budget | headroom | formula | mark | mechanism |",
        "| --- | --- | --- | --- | --- | --- | --- | --- | --- |",
    ]
    for cell in CELLS:
        now, then = cell.compute(size, inputs), cell.compute(grown, inputs)
        budget = "-" if cell.budget is None else _format(cell.budget)
        ratio = f" = {now / served:.0f} requests/s" if cell.unit == "cores" else ""
        lines.append(
            f"| {cell.role} | {cell.kind} | {_format(now)} {cell.unit}{ratio} | {_format(then)} | {budget} |"
            f" {_headroom(cell, now)} | {cell.formula} | {cell.mark.value} | {cell.mechanism} |"
        )
    return "\n".join(lines)


def cells_over_budget(size: Size, inputs: CapacityInputs) -> list[tuple[float, CapacityCell]]:
    """Return the cells over their budget, each with its ratio to the budget, largest ratio first."""
    rows = [(cell.compute(size, inputs) / cell.budget, cell) for cell in CELLS if cell.budget]
    return sorted(((times, cell) for times, cell in rows if times > 1), key=lambda row: -row[0])


def superlinear_figures(inputs: CapacityInputs) -> Sequence[str]:
    """Return the names of figures that grow faster than their driver."""
    return [name for name, each in inputs.fits.items() if each.grows_faster]


def bad_days(size: Size, inputs: CapacityInputs) -> str:
    """Render the model's figures for outages and mass restarts as a Markdown table."""
    region = size.directors / size.regions
    events = REGION_CUT_DURATION_S * _events_per_s(size)
    backlog = REGION_CUT_DURATION_S * (
        size.purges_per_s * PURGE_LINE_BYTES + size.changes_per_day / DAY_S * size.change_bytes * 1.1
    )
    snapshot = _snapshot_kb(size, inputs)
    per_s = AdmissionLimits().per_s
    rows = [
        ("events missed in a cut of ten minutes", f"{events:.0f}"),
        ("their bytes, for one director", f"{backlog / 1e3:.0f} kB of {MAX_LOG_BYTES / 1e3:.0f} kB of log"),
        ("directors that return at once, mean region", f"{region:.0f}"),
        ("bytes for them, replayed", f"{region * backlog / 1e6:.0f} MB"),
        ("time to admit them at one relay", f"{max(0.0, region - AdmissionLimits().burst) / per_s:.2f} s"),
        ("time to admit all directors at all relays", f"{size.directors / per_s / _relays(size):.1f} s"),
        ("bytes if all directors load a snapshot", f"{size.directors * snapshot / 1e3:.0f} MB"),
        ("restarts a second, all within an hour", f"{size.directors / 3600:.2f}"),
        ("directors that a bad change reaches", f"{size.directors} of {size.directors}"),
    ]
    return "\n".join(
        ["| what | figure |", "| --- | --- |", *(f"| {name} | {value} |" for name, value in rows)]
    )


def page(size: Size, inputs: CapacityInputs) -> str:
    """Render all tables of docs/CAPACITY.md that are computed from the measured figures."""
    over = [
        f"1. {cell.role}, {cell.kind}: {times:.1f} times over ({cell.mechanism})"
        for times, cell in cells_over_budget(size, inputs)
    ]
    grows = [f"- `{name}`: power {inputs.fits[name].power:.2f}" for name in superlinear_figures(inputs)]
    parts = [
        f"Figures of revision {inputs.revision}.",
        "### Drivers",
        drivers(size),
        "### Roles",
        roles(size, inputs),
        "### Budgets broken",
        "\n".join(over) or "None.",
        "### Grows faster than its driver",
        "\n".join(grows) or "Nothing measured.",
        "### Bad days in figures",
        bad_days(size, inputs),
    ]
    return "\n\n".join(parts)
