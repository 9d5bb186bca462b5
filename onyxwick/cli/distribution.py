"""`onyxwick distribution`: the nodes that carry lists, purges and documents to the directors."""

from __future__ import annotations

import json
from collections import Counter
from pathlib import Path

import click

from onyxwick.cli import UnusableInputError


@click.group()
def distribution() -> None:
    """The tree that carries lists, purges and documents to every director."""


@distribution.command("run")
@click.argument("file", type=click.Path(path_type=Path))
def run_node(file: Path) -> None:
    """Run the node that FILE describes in the foreground, until SIGTERM.

    SIGUSR1 prints its status as JSON; SIGHUP makes a publisher read its documents' files again.
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
    "--racks", type=click.IntRange(1, 4096), default=1, show_default=True, help="Of relays, in turn."
)
@click.option("--each/--loads", default=False, help="Each director's parents, or the relays' loads alone.")
def tree(relays: int, directors: int, width: int, parents: int, racks: int, each: bool) -> None:
    """The tree of so many relays and directors, as JSON; exit 2 where it does not fit the width.

    With racks, each director's parents stand in different ones.
    """
    from onyxwick.distribution.tree import TreeError, TreeLimits, plan_tree

    names = [f"relay-{number}" for number in range(1, relays + 1)]
    leaves = [f"director-{number}" for number in range(1, directors + 1)]
    domains = {name: f"rack-{place % racks}" for place, name in enumerate(names)} if racks > 1 else {}
    try:
        rows = plan_tree("root", names, leaves, TreeLimits(width, parents), domains)
    except TreeError as error:
        raise UnusableInputError(str(error)) from None
    first_loads = Counter(rows[leaf][0] for leaf in leaves)
    second_loads = Counter(rows[leaf][1] for leaf in leaves)
    summary: dict[str, object] = {"root": relays, "first": dict(first_loads), "second": dict(second_loads)}
    if each:
        summary["parents"] = {leaf: rows[leaf] for leaf in leaves}
    click.echo(json.dumps(summary))
