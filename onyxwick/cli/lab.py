"""`onyxwick lab`: scenarios against the real program, judged from the sockets."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import click

from onyxwick.cli import Unusable

path_argument = click.argument("file", type=click.Path(path_type=Path))
json_option = click.option("--json", "as_json", is_flag=True, help="JSON on standard output.")


@click.group()
def lab() -> None:
    """Scenarios against the real program, judged from the sockets."""


@lab.command()
@path_argument
@click.option("--seed", "seeds", multiple=True, type=int, default=(1,), show_default=True)
@click.option("--at-once", default=1, show_default=True, help="Runs beside each other (two cores each).")
@json_option
def run(file: Path, seeds: tuple[int, ...], at_once: int, as_json: bool) -> None:
    """Play the scenario FILE in all its variants; exit 1 where a rule broke or a bound was not met."""
    from onyxwick.lab.compare import play_all, summary
    from onyxwick.lab.scenario import read

    scenario = read(file)
    runs = play_all(file, scenario, list(seeds), at_once)
    told = summary(scenario, runs)
    if as_json:
        click.echo(json.dumps({**told, "runs": runs}))
    else:
        _print(told, runs)
    if told["unmet"]:
        raise click.exceptions.Exit(1)


def _print(told: dict[str, Any], runs: list[dict[str, Any]]) -> None:
    for run in runs:
        click.echo(f"{run['variant']} seed {run['seed']}: {run['audited']} requests, broken {run['broken']}")
        for name, row in run["tenants"].items():
            click.echo(
                f"  {name}: service {row['service']:.4f}, p50 {row['p50_ms']} ms, p99 {row['p99_ms']} ms,"
                f" refused {row['refused']}, failed {row['failed']}"
            )
    for row in told["seeds"]:
        click.echo(json.dumps(row))
    for text in told["unmet"]:
        click.echo(f"not met: {text}")


@lab.command()
@path_argument
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--cells/--no-cells", default=True, show_default=True)
@click.option("--fault", help="The way to misbehave that is played; none without it.")
@click.option("--slot", type=click.IntRange(0, 99), default=0, help="Keeps apart what runs at once.")
def play(file: Path, seed: int, cells: bool, fault: str | None, slot: int) -> None:
    """Play one variant of the scenario FILE once; its report as JSON, exit 1 where a rule broke."""
    import uvloop

    from onyxwick.lab.play import Run
    from onyxwick.lab.scenario import read

    scenario = read(file)
    if fault is not None and fault not in scenario.faults:
        raise Unusable(f"no fault '{fault}' in {file.name}; it has: {', '.join(scenario.faults) or 'none'}")

    async def once() -> dict[str, Any]:
        return await Run(scenario, seed, cells, fault, slot).play()

    report = uvloop.run(once())
    click.echo(json.dumps(report))
    if report["broken"]:
        raise click.exceptions.Exit(1)
