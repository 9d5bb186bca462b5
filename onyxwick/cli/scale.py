"""`onyxwick lab scale`: measures slopes and a fleet of hollow directors, and prints capacity tables."""

from __future__ import annotations

import json
from pathlib import Path
from typing import TYPE_CHECKING

import click

from onyxwick.cli import FINDING_EXIT_CODE, UnusableInputError

if TYPE_CHECKING:
    from onyxwick.lab.scale.fleet_plan import FleetPlan

FAULTS = ("none", "kill", "pause", "publisher", "restart", "cut")
PATH_TYPE = click.Path(path_type=Path)


def _report_progress(text: str) -> None:
    click.echo(text, err=True)


@click.group()
def scale() -> None:
    """Measure capacity at scale: cost slopes, a fleet of hollow directors, and the model built on them."""


@scale.command()
@click.argument("names", nargs=-1)
@click.option(
    "--repeats", type=click.IntRange(1, 50), help="Repeats of each size; each sweep has its own default."
)
@click.option("--out", type=PATH_TYPE, help="JSON file to write; printed by default.")
@click.option("--plot", type=PATH_TYPE, help="PNG file for the points and lines.")
@click.option("--table", is_flag=True, help="Print the fits as a table.")
def slopes(
    names: tuple[str, ...], repeats: int | None, out: Path | None, plot: Path | None, table: bool
) -> None:
    """Measure the sweeps NAMES (by default all), each over at least five sizes, and fit lines."""
    from onyxwick.lab.scale import slopes as slope_sweeps

    try:
        chosen = slope_sweeps.by_name(names)
    except KeyError as error:
        raise UnusableInputError(str(error.args[0])) from None
    result = slope_sweeps.run(chosen, repeats, _report_progress)
    if out is not None:
        out.write_text(json.dumps(result, indent=1) + "\n")
    if plot is not None:
        slope_sweeps.plot(result, plot)
    if table:
        click.echo(slope_sweeps.table(result))
    elif out is None:
        click.echo(json.dumps(result))


@scale.command()
@click.option("--shape", type=click.Choice(["tree", "single"]), default="tree", show_default=True)
@click.option("--directors", type=click.IntRange(1, 2000), default=1000, show_default=True)
@click.option(
    "--regions",
    type=click.IntRange(1, 8),
    default=3,
    show_default=True,
    help="Regions, with two relays each.",
)
@click.option(
    "--hosts",
    type=click.IntRange(1, 64),
    default=6,
    show_default=True,
    help="Processes that host the directors.",
)
@click.option("--caches", type=click.IntRange(1, 1000), default=190, show_default=True)
@click.option("--seconds", type=click.FloatRange(2, 3600), default=60.0, show_default=True)
@click.option(
    "--purges", type=click.FloatRange(0, 1000), default=21.0, show_default=True, help="Purges per second."
)
@click.option(
    "--changes",
    type=click.IntRange(0, 10_000),
    default=650,
    show_default=True,
    help="Changes, in ten bursts.",
)
@click.option(
    "--fault",
    type=click.Choice(FAULTS),
    default="none",
    show_default=True,
    help="Fault injected after a third of the time.",
)
@click.option(
    "--cut", "cut_s", type=click.FloatRange(0, 3600), default=20.0, show_default=True, help="Seconds."
)
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--slot", type=click.IntRange(0, 50), default=0, help="Distinguishes concurrent runs.")
def fleet(
    shape: str,
    directors: int,
    regions: int,
    hosts: int,
    caches: int,
    seconds: float,
    purges: float,
    changes: int,
    fault: str,
    cut_s: float,
    seed: int,
    slot: int,
) -> None:
    """Run hollow directors under published events; exit 1 if an event is lost, repeated or out of order."""
    from onyxwick.lab.scale.fleet_plan import FleetPlan
    from onyxwick.lab.scale.hollow import Shape

    plan = FleetPlan(
        shape=Shape(shape),
        directors=directors,
        regions=regions,
        hosts=hosts,
        caches=caches,
        seconds=seconds,
        purges_per_s=purges,
        changes=changes,
        fault=fault,
        cut_s=cut_s,
        seed=seed,
        slot=slot,
    )
    _run_fleet(plan)


def _run_fleet(plan: FleetPlan) -> None:
    import uvloop

    from onyxwick.lab.scale.fleet import HollowFleet

    try:
        hollow_fleet = HollowFleet(plan, _report_progress)
    except ValueError as error:
        raise UnusableInputError(str(error)) from None
    report = uvloop.run(hollow_fleet.run())
    click.echo(json.dumps(report))
    if report["starved"]:
        click.echo("the machine ran short of cores: no verdict on times", err=True)
    if report["lost"] or report["disordered"] or report["settled_s"] is None:
        raise click.exceptions.Exit(FINDING_EXIT_CODE)


@scale.command()
@click.argument("folder", type=PATH_TYPE)
@click.option(
    "--size", "size_file", type=PATH_TYPE, help="HCL file with a block `size`; by default the built-in size."
)
@click.option("--directors", type=click.IntRange(1, 10**6))
@click.option("--caches", type=click.IntRange(1, 10**6))
@click.option("--requests", type=click.FloatRange(1), help="Requests per second of all directors.")
@click.option("--purges", type=click.FloatRange(0), help="Purges per second.")
@click.option(
    "--times",
    type=click.FloatRange(0.01, 100),
    default=1.0,
    show_default=True,
    help="Factor applied to the whole size.",
)
def capacity(
    folder: Path,
    size_file: Path | None,
    directors: int | None,
    caches: int | None,
    requests: float | None,
    purges: float | None,
    times: float,
) -> None:
    """Print the capacity page's tables for a size, from the measurements in FOLDER."""
    from dataclasses import replace

    from onyxwick.lab.scale.capacity import page, read_inputs
    from onyxwick.lab.scale.size import Size, read

    size = Size() if size_file is None else read(size_file)
    drivers = {"directors": directors, "caches": caches, "requests_per_s": requests, "purges_per_s": purges}
    size = replace(size, **{name: value for name, value in drivers.items() if value is not None})  # type: ignore[arg-type]
    try:
        click.echo(page(size.times(times), read_inputs(folder)))
    except (OSError, KeyError) as error:
        raise UnusableInputError(f"{folder}: a measurement is missing or unreadable: {error}") from None
