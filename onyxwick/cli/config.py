"""`onyxwick config`: checks of configuration files, without running anything."""

from __future__ import annotations

import json
from pathlib import Path

import click

from onyxwick.cli import UNUSABLE_EXIT_CODE
from onyxwick.config import ConfigError


def check_file(path: Path) -> str:
    """The kind of a file, `director` or `service`; ConfigError where it cannot be used."""
    if path.suffix == ".json":
        from onyxwick.config import director

        director.load({"RELAY_CONFIG": str(path)})
        return "director"
    from onyxwick.config import service

    service.load(path)
    return "service"


@click.group()
def config() -> None:
    """Check configuration files."""


@config.command()
@click.argument("files", nargs=-1, required=True, type=click.Path(path_type=Path))
@click.option("--json", "as_json", is_flag=True, help="One JSON object on standard output.")
def check(files: tuple[Path, ...], as_json: bool) -> None:
    """Check director (.json) and service (.hcl) files; exit 2 where one cannot be used."""
    rows: list[dict[str, object]] = []
    for path in files:
        try:
            rows.append({"file": path.name, "kind": check_file(path), "error": None})
        except ConfigError as error:
            rows.append({"file": path.name, "kind": None, "error": str(error)})
    if as_json:
        click.echo(json.dumps({"files": rows}))
    else:
        for row in rows:
            click.echo(str(row["error"]) if row["error"] else f"{row['file']}: good ({row['kind']})")
    if any(row["error"] for row in rows):
        raise click.exceptions.Exit(UNUSABLE_EXIT_CODE)
