"""`onyxwick store`: what a store holds, and what to do when it refuses."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import click

from onyxwick.cli import FINDING_EXIT_CODE, UnusableInputError
from onyxwick.store import StoreEngine, StoreError, StoreUnusableError
from onyxwick.store.files import DiskFiles

folder_argument = click.argument("folder", type=click.Path(path_type=Path, exists=True, file_okay=False))
json_option = click.option("--json", "as_json", is_flag=True, help="JSON on standard output.")


def _open(folder: Path) -> StoreEngine:
    try:
        return StoreEngine(DiskFiles(folder))
    except StoreError as error:
        raise UnusableInputError(f"{folder.name}: {error}") from None


def _check_new(folder: Path) -> None:
    if folder.exists():
        raise UnusableInputError(f"{folder.name} is there already")


@click.group()
def store() -> None:
    """What a store holds, and what to do when it refuses."""


@store.command()
@folder_argument
@json_option
def check(folder: Path, as_json: bool) -> None:
    """Can the store be opened with nothing lost? Exit 1 where it refuses, with what may be lost."""
    try:
        engine = StoreEngine(DiskFiles(folder))
    except StoreUnusableError as error:
        click.echo(json.dumps({"good": False, "why": str(error)}) if as_json else f"refused: {error}")
        raise click.exceptions.Exit(FINDING_EXIT_CODE) from None
    except StoreError as error:
        raise UnusableInputError(str(error)) from None
    status = engine.status()
    engine.close()
    text = "\n".join(f"{name}: {value}" for name, value in status.items())
    click.echo(json.dumps({"good": True, **status}) if as_json else text)


def _row_as_json(key: str, value: bytes | None) -> Any:
    """A row as JSON can hold it; encrypted secrets stay encrypted."""
    if value is None:
        return None
    from onyxwick.store.row_schema import unpack_row

    try:
        row = unpack_row(key, value)
    except StoreError:
        return value.hex()
    return {name: each.hex() if isinstance(each, bytes) else each for name, each in row.items()}


@store.command()
@folder_argument
@click.argument("prefix", default="")
def dump(folder: Path, prefix: str) -> None:
    """Every row whose key begins with PREFIX, as JSON lines."""
    engine = _open(folder)
    for key, value in engine.scan(prefix):
        line = {"key": key, "version": engine.version(key), "value": _row_as_json(key, value)}
        click.echo(json.dumps(line))
    engine.close()


@store.command()
@folder_argument
@click.argument("key")
def history(folder: Path, key: str) -> None:
    """Every change of KEY that the log still holds: when, by whom, to what."""
    from onyxwick.store.backup import read_log

    _open(folder).close()  # fails where the log cannot be trusted
    is_found = False
    for number, payload in read_log(folder):
        for name, value, version in payload.operations:
            if name == key:
                line = {"record": number, "at_us": payload.at_us, "by": payload.author, "version": version}
                click.echo(json.dumps({**line, "value": _row_as_json(name, value)}))
                is_found = True
    if not is_found:
        raise click.exceptions.Exit(FINDING_EXIT_CODE)


@store.command()
@folder_argument
def compact(folder: Path) -> None:
    """Write a checkpoint and remove the log that it makes redundant. The director must not run."""
    engine = _open(folder)
    bytes_before = engine.total_bytes()
    engine.compact()
    click.echo(f"{bytes_before} bytes before, {engine.total_bytes()} after")
    engine.close()


@store.command()
@folder_argument
@click.argument("out", type=click.Path(path_type=Path))
def backup(folder: Path, out: Path) -> None:
    """Copy the store to the new folder OUT, also while a director runs: the copy is checked by opening it.

    The commit mark is copied first: the records that it acknowledges are in the log that is copied after it.
    """
    from onyxwick.store.backup import BackupError, copy_store

    _check_new(out)
    try:
        click.echo(f"{copy_store(folder, out)} records")
    except BackupError as error:
        raise UnusableInputError(str(error)) from None


@store.command()
@folder_argument
@click.argument("out", type=click.Path(path_type=Path))
@click.option("--until", type=int, help="Unix microseconds: changes after it are left out.")
@click.option("--record", type=int, help="The last record that is taken.")
def restore(folder: Path, out: Path, until: int | None, record: int | None) -> None:
    """Make a new store in OUT from the backup FOLDER, up to a moment, as far back as its log reaches."""
    from onyxwick.store.backup import BackupError, restore_store

    source = _open(folder)
    _check_new(out)
    try:
        result = restore_store(source, folder, out, until, record)
    except BackupError as error:
        raise UnusableInputError(str(error)) from None
    click.echo(f"{result.replayed} records after record {result.checkpoint_number}")
    source.close()


@store.command()
@folder_argument
@click.argument("out", type=click.Path(path_type=Path))
@click.option("--accept-loss", is_flag=True, help="Yes, what is told to be lost may be lost.")
def repair(folder: Path, out: Path, accept_loss: bool) -> None:
    """Make a new store in OUT from what can still be read of a FOLDER that refuses; says what is missing.

    The folder itself is not touched. Exit 1 without --accept-loss.
    """
    from onyxwick.store.backup import write_payload
    from onyxwick.store.salvage import salvage

    _check_new(out)
    found = salvage(folder)
    for text in found.losses:
        click.echo(f"lost: {text}")
    click.echo(f"{len(found.payloads)} records can be read")
    if not accept_loss:
        click.echo("nothing was written; with --accept-loss a new store is made of them")
        raise click.exceptions.Exit(FINDING_EXIT_CODE)
    target = StoreEngine(DiskFiles(out))
    for payload in found.payloads:
        write_payload(target, payload)
    target.close()


@store.command("new-key")
def new_key() -> None:
    """Print a new key for the key file; put it on its first line to seal with it from now on."""
    from onyxwick.store.encryption import generate_key

    click.echo(generate_key())


@store.command()
@click.option(
    "--folder", type=click.Path(path_type=Path, file_okay=False), help="Where: the disk to measure."
)
@click.option("--seconds", default=3.0, show_default=True, help="Of each row.")
@click.option("--records", default=1_000_000, show_default=True)
def bench(folder: Path | None, seconds: float, records: int) -> None:
    """Commits a second beside sqlite3, opening, write amplification, as JSON lines."""
    from onyxwick.lab.storage import amplification, commits, opening

    for row in commits(folder, seconds):
        click.echo(json.dumps(row))
    click.echo(json.dumps(opening(folder, records)))
    click.echo(json.dumps(amplification(folder, 200_000)))
