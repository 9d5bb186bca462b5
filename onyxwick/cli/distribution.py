"""`onyxwick distribution`: runs and plans the nodes that distribute lists, purges and documents."""

from __future__ import annotations

import json
from collections import Counter
from pathlib import Path

import click

from onyxwick.cli import UnusableInputError


@click.group()
def distribution() -> None:
    """Run and plan the tree that distributes lists, purges and documents to every director."""


@distribution.command("run")
@click.argument("file", type=click.Path(path_type=Path))
def run_node(file: Path) -> None:
    """Run the node configured by FILE in the foreground, until SIGTERM.

    SIGUSR1 prints the node's status as JSON; SIGHUP makes a publisher reload its document files.
    """
    import uvloop

    from onyxwick import logs
    from onyxwick.config.distribution import load_node
    from onyxwick.net.distribution_node import run
    from onyxwick.store.errors import StoreError

    config = load_node(file)
    logs.set_up()
    try:
        uvloop.run(run(config))
    except (StoreError, OSError) as error:
        raise UnusableInputError(f"node '{config.name}': {error}") from None


@distribution.command()
@click.option("--relays", type=click.IntRange(1, 4096), default=12, show_default=True)
@click.option("--directors", type=click.IntRange(1, 100_000), default=1000, show_default=True)
@click.option("--width", type=click.IntRange(1, 4096), default=256, show_default=True)
@click.option("--parents", type=click.IntRange(2, 8), default=2, show_default=True)
@click.option(
    "--racks",
    type=click.IntRange(1, 4096),
    default=1,
    show_default=True,
    help="Racks that the relays are assigned to in turn.",
)
@click.option(
    "--each/--loads", default=False, help="Print each director's parents too, or only the relays' loads."
)
def tree(relays: int, directors: int, width: int, parents: int, racks: int, each: bool) -> None:
    """Plan the tree of these numbers of relays and directors, as JSON; exit 2 if it exceeds the width.

    With more than one rack, the parents of each director are in different racks.
    """
    from onyxwick.distribution.tree import TreeError, TreeLimits, plan_tree

    relay_names = [f"relay-{number}" for number in range(1, relays + 1)]
    director_names = [f"director-{number}" for number in range(1, directors + 1)]
    domains = {name: f"rack-{index % racks}" for index, name in enumerate(relay_names)} if racks > 1 else {}
    try:
        rows = plan_tree("root", relay_names, director_names, TreeLimits(width, parents), domains)
    except TreeError as error:
        raise UnusableInputError(str(error)) from None
    first_loads = Counter(rows[director][0] for director in director_names)
    second_loads = Counter(rows[director][1] for director in director_names)
    summary: dict[str, object] = {"root": relays, "first": dict(first_loads), "second": dict(second_loads)}
    if each:
        summary["parents"] = {director: rows[director] for director in director_names}
    click.echo(json.dumps(summary))
