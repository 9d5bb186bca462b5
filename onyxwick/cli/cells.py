"""`onyxwick cells`: shows the cells, previews a plan, and orders or aborts moves of tenants."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any
from urllib.parse import quote

import click

from onyxwick.cli import FINDING_EXIT_CODE
from onyxwick.cli.remote import RemoteDirector, admin_option, json_option, remote_director, token_option


@click.group()
@admin_option
@token_option
@click.pass_context
def cells(ctx: click.Context, admin: str, token_file: Path | None) -> None:
    """Show the cells, preview a plan, and move tenants."""
    ctx.obj = (admin, token_file)


def _remote(ctx: click.Context) -> RemoteDirector:
    return remote_director(ctx, "cells")


def _print_state(state: dict[str, Any]) -> None:
    click.echo(f"version {state['version']}, {state['tenants']} tenants")
    for name, row in state["cells"].items():
        open_text = f"{row['open']} of {row['limit']:g} (at most {row['most']:g})"
        click.echo(
            f"cell {name}: {row['ready']} of {len(row['members'])} boxes ready, {row['tenants']} tenants,"
            f" open {open_text}, pressure {row['pressure']:.0%}, {row['parents_part']:.0%} of the parents"
            + (", leaving" if row["leaving"] else "")
        )
    for name, row in state["moves"].items():
        route_text = f"{row['tenant']} to {', '.join(row['to'])}"
        click.echo(f"move {name}: {route_text}: {row['phase']}, {row['share']:.0%} over: {row['why']}")
    for name, count in state["counts"].items():
        click.echo(f"{name} {count}")


@cells.command()
@json_option
@click.pass_context
def show(ctx: click.Context, as_json: bool) -> None:
    """Show the cells of a running director."""
    answer = _remote(ctx).call("GET", "/cells")
    click.echo(json.dumps(answer)) if as_json else _print_state(answer)


@cells.command()
@click.argument("tenant")
@click.argument("object_name", metavar="OBJECT")
@json_option
@click.pass_context
def explain(ctx: click.Context, tenant: str, object_name: str, as_json: bool) -> None:
    """Explain how the cell and the cache of an object of TENANT are chosen."""
    answer = _remote(ctx).call("GET", f"/cells/explain/{quote(tenant, '')}/{quote(object_name, '')}")
    click.echo(json.dumps(answer) if as_json else "\n".join(answer["because"]))


@cells.command()
@click.argument("name")
@click.argument("tenant")
@click.argument("to", nargs=-1, required=True)
@click.option(
    "--keys", default="00-ff", show_default=True, help="Range of the first bytes of the objects' hashes."
)
@click.option(
    "--warm", default="20s", show_default=True, help="Time over which the moved share grows to 100 %."
)
@click.option("--bake", default="5s", show_default=True, help="Soak time after the cut-over.")
@click.option("--for-version", type=int, help="Change the plan only if this version is active.")
@json_option
@click.pass_context
def move(
    ctx: click.Context,
    name: str,
    tenant: str,
    to: tuple[str, ...],
    keys: str,
    warm: str,
    bake: str,
    for_version: int | None,
    as_json: bool,
) -> None:
    """Move TENANT to the cells TO. Repeating the same call changes nothing."""
    row = {"tenant": tenant, "to": list(to), "keys": keys, "warm": warm, "bake": bake}
    answer = _remote(ctx).call("PUT", f"/cells/plan/moves/{quote(name, '')}", row, for_version)
    order_result = "ordered" if answer["changed"] else "was ordered already"
    click.echo(
        json.dumps(answer) if as_json else f"move {name} {order_result}; version {answer['version']} runs"
    )


@cells.command()
@click.argument("name")
@json_option
@click.pass_context
def abort(ctx: click.Context, name: str, as_json: bool) -> None:
    """Roll back the move NAME; exit 1 if it has already ended."""
    answer = _remote(ctx).call("POST", f"/cells/moves/{quote(name, '')}/abort")
    row = answer["move"]
    click.echo(json.dumps(answer) if as_json else f"move {name}: {row['phase']}: {row['why']}")
    if not answer["changed"]:
        raise click.exceptions.Exit(FINDING_EXIT_CODE)


@cells.command()
@click.argument("file", type=click.Path(path_type=Path))
@click.option(
    "--list", "config", type=click.Path(path_type=Path), help="A director's JSON file with its list."
)
@click.option(
    "--against", type=click.Path(path_type=Path), help="An earlier plan file, to show what would move."
)
@json_option
def plan(file: Path, config: Path | None, against: Path | None, as_json: bool) -> None:
    """Preview the plan in FILE, without a running director; exit 1 if a cell has no cache."""
    from onyxwick.cells.offline import plan_summary

    outcome = plan_summary(file, config, against)
    if as_json:
        click.echo(json.dumps(outcome))
    else:
        for name, row in outcome["cells"].items():
            click.echo(f"cell {name}: {len(row['members'])} boxes, {row['tenants']} tenants")
        for name, row in outcome["moved"].items():
            click.echo(f"tenant {name}: {', '.join(row['from'])} to {', '.join(row['to'])}")
        for text in outcome["findings"]:
            click.echo(f"finding: {text}")
    if outcome["findings"]:
        raise click.exceptions.Exit(FINDING_EXIT_CODE)
