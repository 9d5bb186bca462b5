"""`onyxwick config`: checks configuration files without starting a director."""

from __future__ import annotations

import json
from pathlib import Path

import click

from onyxwick.cli import UNUSABLE_EXIT_CODE
from onyxwick.config import ConfigError


def check_file(path: Path) -> str:
    """Return the kind of a file, `director` or `service`. Raises ConfigError if the file is invalid."""
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
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object to standard output.")
def check(files: tuple[Path, ...], as_json: bool) -> None:
    """Check director (.json) and service (.hcl) files; exit 2 if a file is invalid."""
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
