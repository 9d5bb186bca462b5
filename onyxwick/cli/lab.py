"""`onyxwick lab`: runs scenarios against the real program and judges them by its socket traffic."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import click

from onyxwick.cli import FINDING_EXIT_CODE, UnusableInputError
from onyxwick.cli.faults import faults, scenario_argument
from onyxwick.cli.remote import json_option
from onyxwick.cli.scale import scale


@click.group()
def lab() -> None:
    """Run scenarios against the real program and judge them by its socket traffic."""


@lab.command()
@scenario_argument
@click.option("--seed", "seeds", multiple=True, type=int, default=(1,), show_default=True)
@click.option("--at-once", default=1, show_default=True, help="Concurrent runs (two cores each).")
@json_option
def run(file: Path, seeds: tuple[int, ...], at_once: int, as_json: bool) -> None:
    """Play the scenario FILE in all its variants; exit 1 if a rule was broken or a bound was not met."""
    from onyxwick.lab.compare import play_all, summary
    from onyxwick.lab.scenario import read

    scenario = read(file)
    runs = play_all(file, scenario, list(seeds), at_once)
    result = summary(scenario, runs)
    if as_json:
        click.echo(json.dumps({**result, "runs": runs}))
    else:
        _print_result(result, runs)
    if result["unmet"]:
        raise click.exceptions.Exit(FINDING_EXIT_CODE)


def _print_result(result: dict[str, Any], runs: list[dict[str, Any]]) -> None:
    for run in runs:
        click.echo(f"{run['variant']} seed {run['seed']}: {run['audited']} requests, broken {run['broken']}")
        for name, row in run["tenants"].items():
            click.echo(
                f"  {name}: service {row['service']:.4f}, p50 {row['p50_ms']} ms, p99 {row['p99_ms']} ms,"
                f" refused {row['refused']}, failed {row['failed']}"
            )
    for row in result["seeds"]:
        click.echo(json.dumps(row))
    for text in result["unmet"]:
        click.echo(f"not met: {text}")


@lab.command()
@scenario_argument
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--cells/--no-cells", default=True, show_default=True)
@click.option("--fault", help="Fault of the scenario to inject; none by default.")
@click.option("--slot", type=click.IntRange(0, 99), default=0, help="Distinguishes concurrent runs.")
@click.option("--store/--no-store", default=False, help="Run the director with a store.")
@click.option("--trace", type=click.Path(path_type=Path), help="Folder for the directors' traces.")
@click.option("--idle", is_flag=True, help="Configure tracing but leave it off.")
@click.option(
    "--program", type=click.Path(path_type=Path), help="Source tree of another revision, to run instead."
)
def play(
    file: Path,
    seed: int,
    cells: bool,
    fault: str | None,
    slot: int,
    store: bool,
    trace: Path | None,
    idle: bool,
    program: Path | None,
) -> None:
    """Play one variant of the scenario FILE once and print its report as JSON; exit 1 if a rule broke."""
    import uvloop

    from onyxwick.lab.play import ScenarioRun
    from onyxwick.lab.scenario import read

    scenario = read(file)
    if fault is not None and fault not in scenario.faults:
        known = ", ".join(scenario.faults) or "none"
        raise UnusableInputError(f"unknown fault '{fault}' in {file.name}; known faults: {known}")

    async def play_once() -> dict[str, Any]:
        run = ScenarioRun(scenario, seed, cells, fault, slot)
        run.program = program
        run.trace = trace
        run.store = store
        run.idle = idle
        return await run.play()

    report = uvloop.run(play_once())
    click.echo(json.dumps(report))
    if report["broken"]:
        raise click.exceptions.Exit(FINDING_EXIT_CODE)


@lab.command()
@scenario_argument
@click.option("--cells", type=int, default=0, show_default=True, help="0: the router without cells.")
@click.option("--boxes", type=int, default=64, show_default=True)
@click.option("--tenants", type=int, default=64, show_default=True)
@click.option("--requests", type=int, default=20_000, show_default=True)
@click.option(
    "--sites",
    type=int,
    default=0,
    show_default=True,
    help="0: off; otherwise the number of sites, all steady.",
)
def decider(file: Path, cells: int, boxes: int, tenants: int, requests: int, sites: int) -> None:
    """Measure the cost of a decider alone, with the settings of the scenario FILE, as JSON."""
    from onyxwick.lab import cost
    from onyxwick.lab.scenario import read

    click.echo(json.dumps(cost.decider(read(file), cells, boxes, tenants, requests, sites)))


@lab.command()
@scenario_argument
@click.option("--runs", default=3, show_default=True, help="Runs of each row, in turn.")
@click.option("--requests", default=20_000, show_default=True)
def cost(file: Path, runs: int, requests: int) -> None:
    """Measure deciders of 0, 1, 8 and 64 cells over 64 and 512 caches, each in a process, as JSON lines."""
    from onyxwick.lab.cost import in_processes

    rows = [(cells, boxes, 64) for boxes in (64, 512) for cells in (0, 1, 8, 64)]
    for row in in_processes(file, [*rows, (64, 512, 10_000)], requests, runs):
        click.echo(json.dumps(row))


@lab.command()
@click.argument("revision")
@scenario_argument
@click.option("--pairs", default=3, show_default=True)
@click.option("--seed", default=1, show_default=True)
def against(revision: str, file: Path, pairs: int, seed: int) -> None:
    """Compare processor time and memory of this tree's director with an earlier REVISION's, as JSON."""
    from onyxwick.lab.cost import against as measure_cost

    click.echo(json.dumps(measure_cost(file, revision, pairs, seed)))


@lab.command()
@scenario_argument
@click.option("--pairs", default=3, show_default=True)
@click.option("--seed", default=1, show_default=True)
def tracing(file: Path, pairs: int, seed: int) -> None:
    """Measure the cost of tracing in the director: with it, without it, and without it again, as JSON."""
    from onyxwick.lab.cost import tracing as measure_cost

    click.echo(json.dumps(measure_cost(file, pairs, seed)))


@lab.command()
@scenario_argument
@click.option("--pairs", default=3, show_default=True)
@click.option("--seed", default=1, show_default=True)
def storing(file: Path, pairs: int, seed: int) -> None:
    """Measure the cost of a store in the director: with it, without it, and without it again, as JSON."""
    from onyxwick.lab.cost import storing as measure_cost

    click.echo(json.dumps(measure_cost(file, pairs, seed)))


@lab.command()
@click.option("--boxes", default=1000, show_default=True)
@click.option("--tenants", default=10_000, show_default=True)
def placement(boxes: int, tenants: int) -> None:
    """Measure placement of tenants in 16 and 64 cells: time, moves, effect of a lost cell, as JSON lines."""
    from onyxwick.lab.cost import placement as measure_placement

    for cells, span in ((16, 1), (16, 2), (16, 4), (64, 1), (64, 2)):
        click.echo(json.dumps(measure_placement(cells, span, boxes, tenants)))


@lab.command()
@click.argument("revision")
@click.option("--runs", default=10, show_default=True)
def startup(revision: str, runs: int) -> None:
    """Time the director's start until it is ready and has answered, against an earlier REVISION, as JSON."""
    from onyxwick.lab.startup import measure

    click.echo(json.dumps(measure(revision, runs)))


@lab.command()
@click.option("--seeds", default=20, show_default=True)
@click.option(
    "--hard/--plain",
    default=False,
    help="Late notification, restarts, uneven traffic, two starting, full load.",
)
@click.option("--at-once", default=4, show_default=True, help="Cases run concurrently.")
@click.option(
    "--parent-of", type=click.IntRange(1, 5000), help="Only a cold parent under this many directors."
)
def ramp(seeds: int, hard: bool, at_once: int, parent_of: int | None) -> None:
    """Measure what fleets send to a newly started member, against the rule's bound, as JSON lines."""
    from concurrent.futures import ProcessPoolExecutor

    from onyxwick.lab.ramp import Case, cases, measure

    chosen = cases(hard) if parent_of is None else [Case(parent_of, parent=True)]
    with ProcessPoolExecutor(at_once) as pool:
        for row in pool.map(measure, chosen, [range(1, seeds + 1)] * len(chosen)):
            click.echo(json.dumps(row))


@lab.command()
@click.argument("sites", type=click.IntRange(2, 512))
@click.option("--pairs/--no-pairs", default=True, help="Include simultaneous losses of two sites.")
def plans(sites: int, pairs: bool) -> None:
    """Measure seconds and memory of the loss plan of a synthetic installation of SITES sites, as JSON."""
    from onyxwick.lab.plans import measure

    click.echo(json.dumps(measure(sites, pairs)))


@lab.command()
@scenario_argument
@click.option("--count", default=25, show_default=True, help="Kills of each director.")
@click.option(
    "--at-once", default=4, show_default=True, help="Concurrent directors, each with its own store."
)
@click.option("--seed", default=1, show_default=True)
def kills(file: Path, count: int, at_once: int, seed: int) -> None:
    """Kill directors in the middle of API calls; exit 1 if a change is half done or lost."""
    from concurrent.futures import ThreadPoolExecutor

    from onyxwick.lab.kills import kills as run_kills
    from onyxwick.lab.scenario import read

    scenario = read(file)
    with ThreadPoolExecutor(at_once) as pool:
        rows = list(pool.map(lambda n: run_kills(scenario, count, seed + n, n), range(at_once)))
    for row in rows:
        click.echo(json.dumps(row))
    if any(row["wrong"] for row in rows):
        raise click.exceptions.Exit(FINDING_EXIT_CODE)


@lab.command()
@click.argument("folder", type=click.Path(path_type=Path))
@click.option("--directors", default=3, show_default=True)
@click.option("--rate", default=170.0, show_default=True, help="Requests per second at each director.")
@click.option("--seconds", default=3600, show_default=True)
@click.option("--seed", default=1, show_default=True)
def traces(folder: Path, directors: int, rate: float, seconds: int, seed: int) -> None:
    """Write synthetic traces of directors whose clocks disagree to FOLDER."""
    from onyxwick.lab.traces import make

    made = make(folder, directors, rate, seconds, seed)
    click.echo(json.dumps({"requests": made.requests, "files": [path.name for path in made.paths]}))


@lab.command()
@click.option(
    "--calls", default=100, show_default=True, help="Calls of each kind that are timed in each phase."
)
@click.option(
    "--flooders", default=64, show_default=True, help="Clients that connect, ping and leave at once."
)
def door(calls: int, flooders: int) -> None:
    """Time the operators' door and the front's pings, without load and with the front flooded (JSON)."""
    from onyxwick.lab.door import measure

    click.echo(json.dumps(measure(calls, flooders)))


@lab.command()
@scenario_argument
@click.option(
    "--rate", default=100.0, show_default=True, help="Changes per second, half by the API, half by DNS."
)
@click.option("--seconds", default=10.0, show_default=True, help="Duration of each run.")
@click.option("--rounds", default=2, show_default=True, help="Runs of each variant, in turn.")
def changes(file: Path, rate: float, seconds: float, rounds: int) -> None:
    """Time durable changes of the API and of DNS updates, with the store off and on (JSON lines).

    FILE is a scenario, whose settings define the classes.
    """
    from onyxwick.lab.changes import measure
    from onyxwick.lab.scenario import read

    for row in measure(read(file), rate, seconds, rounds):
        click.echo(json.dumps(row))


@lab.command()
@click.option("--requests", type=click.IntRange(1000, 10_000_000), default=100_000, show_default=True)
@click.option("--rounds", type=click.IntRange(1, 100), default=5, show_default=True)
def checks(requests: int, rounds: int) -> None:
    """Measure the cost of the run-time invariants, as JSON: microseconds per synthetic request."""
    from onyxwick.lab.checks import report

    click.echo(json.dumps(report(requests, rounds)))


lab.add_command(faults)
lab.add_command(scale)
