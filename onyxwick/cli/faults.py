"""`onyxwick lab faults`: fault scenarios with real processes, or with deciders alone on a simulated clock."""

from __future__ import annotations

import json
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click

from onyxwick.cli import FINDING_EXIT_CODE, UnusableInputError
from onyxwick.cli.remote import json_option

if TYPE_CHECKING:
    from onyxwick.lab.faults.history import History
    from onyxwick.lab.faults.model import FleetScenario
    from onyxwick.lab.faults.run import FaultRun
    from onyxwick.lab.soak.report import SoakReport

NOT_JUDGED_EXIT_CODE = 3
"""Exit code of a soak whose own clients or servers ran too late for a verdict."""
scenario_argument = click.argument("file", type=click.Path(path_type=Path))
first_seed_option = click.option(
    "--seed", "first", type=int, default=1, show_default=True, help="The first seed."
)
seed_count_option = click.option("--seeds", type=click.IntRange(1, 1000), default=1, show_default=True)
program_option = click.option(
    "--program", type=click.Path(path_type=Path), help="Source tree of another revision, to run instead."
)
slot_option = click.option(
    "--slot",
    type=click.IntRange(0, 40),
    default=0,
    help="Number of the loopback network; runs beside each other need different ones.",
)


@click.group()
def faults() -> None:
    """Run real directors, with relays between all parties, under faults from a script or a seed."""


simulated_option = click.option(
    "--simulated", is_flag=True, help="Run only the deciders, on a simulated clock."
)
directors_option = click.option(
    "--directors", type=click.IntRange(1, 1000), help="Total number, in place of the scenario's."
)


def _read_fleet(file: Path, seed: int, directors: int | None) -> FleetScenario:
    from onyxwick.lab.faults.script import drawn, read, spread

    fleet = drawn(read(file), seed)
    return fleet if directors is None else spread(fleet, directors)


async def _play(
    file: Path,
    fleet: FleetScenario,
    seed: int,
    variant: str,
    slot: int,
    program: Path | None,
    shows_progress: bool,
) -> tuple[FaultRun, History]:
    """Play a scenario with real processes. Return the run, whose files the caller clears, and its history."""
    from onyxwick.lab.faults.run import FaultRun

    run = FaultRun(str(file), fleet, seed, variant, slot, program)
    run.progress = shows_progress
    return run, await run.play()


@faults.command("run")
@scenario_argument
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--variant", type=click.Choice(["sites", "plain"]), default="sites", show_default=True)
@click.option("--slot", type=click.IntRange(0, 49), default=0, help="Distinguishes concurrent runs.")
@click.option("--keep", type=click.Path(path_type=Path), help="Folder for the history, logs and stores.")
@program_option
@simulated_option
@directors_option
@json_option
def faults_run(
    file: Path,
    seed: int,
    variant: str,
    slot: int,
    keep: Path | None,
    program: Path | None,
    simulated: bool,
    directors: int | None,
    as_json: bool,
) -> None:
    """Play the scenario FILE once; exit 1 if a rule was broken. The files of a failed run are kept."""
    import uvloop

    from onyxwick.lab.faults.checkers import report
    from onyxwick.lab.faults.history import write

    fleet = _read_fleet(file, seed, directors)

    run = None
    if simulated:
        from onyxwick.lab.faults.simulate import simulated as play_simulated

        history = play_simulated(str(file), fleet, seed, variant)
    else:
        run, history = uvloop.run(_play(file, fleet, seed, variant, slot, program, not as_json))
    verdict = report(history)
    failed = bool(verdict["broken"])
    kept = keep or (Path("found") / f"{file.stem}-{variant}-{seed}" if failed else None)
    if kept is not None:
        kept.mkdir(parents=True, exist_ok=True)
        write(history, kept / "history.jsonl")
        verdict["kept"] = str(kept)
    if run is not None:
        run.clear(kept)
    click.echo(json.dumps(verdict) if as_json else _verdict_text(verdict))
    if failed:
        click.echo(f"play it again: {history.line()}", err=True)
        raise click.exceptions.Exit(FINDING_EXIT_CODE)


def _report_progress(text: str) -> None:
    click.echo(text, err=True)


def _verdict_text(verdict: dict[str, Any]) -> str:
    return "\n".join(f"{name}: {value}" for name, value in verdict.items() if value not in ("", [], {}))


@faults.command()
@click.argument("files", nargs=-1, required=True, type=click.Path(path_type=Path))
@click.option("--seeds", default=3, show_default=True, help="Number of seeds, counted from --first.")
@click.option("--first", default=1, show_default=True, help="The first seed.")
@click.option("--variants", default="sites,plain", show_default=True, help="With --against also: earlier.")
@click.option("--at-once", type=int, help="Concurrent runs; by default set by the number of cores.")
@click.option("--against", help="Revision whose directors run as the variant `earlier`.")
@click.option("--keep", type=click.Path(path_type=Path), help="Folder for the histories.")
@simulated_option
@directors_option
def sweep(
    files: tuple[Path, ...],
    seeds: int,
    first: int,
    variants: str,
    at_once: int | None,
    against: str | None,
    keep: Path | None,
    simulated: bool,
    directors: int | None,
) -> None:
    """Play the scenarios FILES with many seeds and paired variants; exit 1 if a rule was broken."""
    from onyxwick.lab.cost import tree_of
    from onyxwick.lab.faults.sweep import Plays, at_once_here, paired
    from onyxwick.lab.faults.sweep import sweep as run_sweep

    names = variants.split(",")
    seed_numbers = list(range(first, first + seeds))
    with tree_of(against) as tree:
        plays = [Plays(file, keep, tree, simulated, directors) for file in files]
        rows = run_sweep(plays, seed_numbers, names, at_once or at_once_here(simulated), _report_progress)
    for row in rows:
        click.echo(json.dumps(row))
    for file in files:
        file_rows = [row for row in rows if row["scenario"] == str(file)]
        for other_variant in names[1:]:
            pair = {"scenario": file.stem, "paired": [names[0], other_variant]}
            click.echo(json.dumps(pair | paired(file_rows, names[0], other_variant)))
    if any(row["broken"] for row in rows):
        raise click.exceptions.Exit(FINDING_EXIT_CODE)


def _read_history(path: Path) -> History:
    from onyxwick.lab.faults.history import read

    try:
        return read(path)
    except (OSError, ValueError) as error:
        raise UnusableInputError(str(error)) from None


@faults.command()
@click.argument("history", type=click.Path(path_type=Path))
@json_option
def judge(history: Path, as_json: bool) -> None:
    """Judge a saved HISTORY and print the command that replays it; exit 1 if a rule was broken."""
    from onyxwick.lab.faults.checkers import report

    found = _read_history(history)
    verdict = report(found)
    click.echo(json.dumps(verdict) if as_json else _verdict_text(verdict))
    click.echo(f"play it again: {found.line()}", err=True)
    if verdict["broken"]:
        raise click.exceptions.Exit(FINDING_EXIT_CODE)


@faults.command()
@click.argument("history", type=click.Path(path_type=Path))
@click.pass_context
def replay(ctx: click.Context, history: Path) -> None:
    """Replay the run of a HISTORY with the same scenario, seed and variant."""
    found = _read_history(history)
    ctx.invoke(
        faults_run,
        file=Path(found.scenario),
        seed=found.seed,
        variant=found.variant,
        slot=0,
        keep=None,
        program=None,
        simulated=False,
        directors=None,
        as_json=False,
    )


@faults.command()
@first_seed_option
@seed_count_option
@click.option("--directors", type=click.IntRange(1, 40), default=10, show_default=True)
@click.option("--minutes", type=click.FloatRange(0.1, 60), default=1.0, show_default=True)
@click.option("--only", default="", help="Numbers of the faults to inject, as 3,7; 0 for none.")
@click.option("--keep", type=click.Path(path_type=Path), help="Folder for the files of failed runs.")
@click.option(
    "--shrink",
    type=click.IntRange(0, 200),
    default=0,
    help="Most runs spent on finding fewer faults that still fail.",
)
@program_option
@slot_option
def soak(
    first: int,
    seeds: int,
    directors: int,
    minutes: float,
    only: str,
    keep: Path | None,
    shrink: int,
    program: Path | None,
    slot: int,
) -> None:
    """Run real directors under overlapping faults of calls, clocks, signals, feeds, caches and clients.

    Prints one JSON report per seed; exit 1 if a rule was broken, 3 if the lab itself was too late to judge.
    """
    from onyxwick.lab.soak.shim import ShimError
    from onyxwick.lab.soak.sweep import play_all

    kept = tuple(int(number) for number in only.split(",")) if only else None
    try:
        run = range(first, first + seeds)
        reports = play_all(run, directors, minutes * 60, kept, keep, shrink, program, slot)
        codes = set()
        for report in reports:
            click.echo(json.dumps(report.data()))
            codes.add(_soak_exit_code(report))
    except ShimError as error:
        raise UnusableInputError(str(error)) from None
    if codes - {0}:
        raise click.exceptions.Exit(min(codes - {0}))


def _soak_exit_code(report: SoakReport) -> int:
    if report.findings:
        return FINDING_EXIT_CODE
    return 0 if report.judged else NOT_JUDGED_EXIT_CODE


@faults.command()
@first_seed_option
@seed_count_option
@click.option("--directors", type=click.IntRange(2, 200), default=100, show_default=True)
@program_option
@slot_option
def fleet(first: int, seeds: int, directors: int, program: Path | None, slot: int) -> None:
    """Kill most of a fleet and start it at once as caches drain; count what comes to them past the grace.

    Prints one JSON report per seed; exit 1 if a request came past the grace.
    """
    import uvloop

    from onyxwick.lab.soak.fleet import play_fleet

    broken = False
    for seed in range(first, first + seeds):
        report = uvloop.run(play_fleet(seed, directors, program, slot))
        click.echo(json.dumps(report.data()))
        broken = broken or bool(report.past_grace_ms)
    if broken:
        raise click.exceptions.Exit(FINDING_EXIT_CODE)


@faults.command()
@first_seed_option
@seed_count_option
@click.option("--directors", type=click.IntRange(1, 40), default=10, show_default=True)
@program_option
@slot_option
def outage(first: int, seeds: int, directors: int, program: Path | None, slot: int) -> None:
    """Have all coordinators refuse connections for 10 s beside load; report what each tier is asked for.

    Prints one JSON report per seed.
    """
    import uvloop

    from onyxwick.lab.soak.outage import play_outage

    for seed in range(first, first + seeds):
        click.echo(json.dumps(uvloop.run(play_outage(seed, directors, program, slot)).data()))
