"""`onyxwick store`: inspects, backs up and restores a store, and repairs one that does not open."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import click

from onyxwick.cli import FINDING_EXIT_CODE, UnusableInputError
from onyxwick.store import StoreEngine, StoreError, StoreUnusableError
from onyxwick.store.files import DiskFiles

folder_argument = click.argument("folder", type=click.Path(path_type=Path, exists=True, file_okay=False))
json_option = click.option("--json", "as_json", is_flag=True, help="Print JSON to standard output.")


def _open(folder: Path) -> StoreEngine:
    try:
        return StoreEngine(DiskFiles(folder))
    except StoreError as error:
        raise UnusableInputError(f"{folder.name}: {error}") from None


def _check_new(folder: Path) -> None:
    if folder.exists():
        raise UnusableInputError(f"{folder.name} already exists; a new folder is required")


@click.group()
def store() -> None:
    """Inspect and back up a store, and repair one that does not open."""


@store.command()
@folder_argument
@json_option
def check(folder: Path, as_json: bool) -> None:
    """Check that the store opens without loss; exit 1 if it refuses, with a report of what may be lost."""
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
    """Return a row in a form that JSON can hold; encrypted secrets stay encrypted."""
    if value is None:
        return None
    from onyxwick.store.row_schema import unpack_row

    try:
        row = unpack_row(key, value)
    except StoreError:
        return value.hex()
    return {
        name: field_value.hex() if isinstance(field_value, bytes) else field_value
        for name, field_value in row.items()
    }


@store.command()
@folder_argument
@click.argument("prefix", default="")
def dump(folder: Path, prefix: str) -> None:
    """Print every row whose key begins with PREFIX, as JSON lines."""
    engine = _open(folder)
    for key, value in engine.scan(prefix):
        line = {"key": key, "version": engine.version(key), "value": _row_as_json(key, value)}
        click.echo(json.dumps(line))
    engine.close()


@store.command()
@folder_argument
@click.argument("key")
def history(folder: Path, key: str) -> None:
    """Print every change of KEY that the log still holds: its time, author and new value."""
    from onyxwick.store.backup import read_log

    # Opening the store fails if its log cannot be trusted.
    _open(folder).close()
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
    """Write a checkpoint and remove the log that it makes redundant. The director must not be running."""
    engine = _open(folder)
    bytes_before = engine.total_bytes()
    engine.compact()
    click.echo(f"{bytes_before} bytes before, {engine.total_bytes()} after")
    engine.close()


@store.command()
@folder_argument
@click.argument("out", type=click.Path(path_type=Path))
def backup(folder: Path, out: Path) -> None:
    """Copy the store to the new folder OUT, even while a director runs, and check the copy by opening it.

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
@click.option("--until", type=int, help="Leave out changes after this Unix time in microseconds.")
@click.option("--record", type=int, help="Number of the last record to restore.")
def restore(folder: Path, out: Path, until: int | None, record: int | None) -> None:
    """Make a new store in OUT from the backup FOLDER, up to a time or record that its log reaches."""
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
@click.option("--accept-loss", is_flag=True, help="Accept the reported losses.")
def repair(folder: Path, out: Path, accept_loss: bool) -> None:
    """Make a new store in OUT from the readable records of a FOLDER that does not open; report the losses.

    FOLDER itself is not changed. Exit 1 without --accept-loss.
    """
    from onyxwick.store.backup import write_payload
    from onyxwick.store.salvage import salvage

    _check_new(out)
    salvaged = salvage(folder)
    for text in salvaged.losses:
        click.echo(f"lost: {text}")
    click.echo(f"{len(salvaged.payloads)} records can be read")
    if not accept_loss:
        click.echo("nothing was written; with --accept-loss a new store is made from these records")
        raise click.exceptions.Exit(FINDING_EXIT_CODE)
    target = StoreEngine(DiskFiles(out))
    for payload in salvaged.payloads:
        write_payload(target, payload)
    target.close()


@store.command("new-key")
def new_key() -> None:
    """Print a new key. Put it on the first line of the key file to encrypt with it from then on."""
    from onyxwick.store.encryption import generate_key

    click.echo(generate_key())


@store.command()
@click.option(
    "--folder", type=click.Path(path_type=Path, file_okay=False), help="Folder on the disk to measure."
)
@click.option("--seconds", default=3.0, show_default=True, help="Duration of each row's measurement.")
@click.option("--records", default=1_000_000, show_default=True)
def bench(folder: Path | None, seconds: float, records: int) -> None:
    """Measure commits per second against sqlite3, opening time and write amplification, as JSON lines."""
    from onyxwick.lab.storage import amplification, commits, opening

    for row in commits(folder, seconds):
        click.echo(json.dumps(row))
    click.echo(json.dumps(opening(folder, records)))
    click.echo(json.dumps(amplification(folder, 200_000)))
