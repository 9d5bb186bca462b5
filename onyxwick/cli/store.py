"""`onyxwick store`: what a store holds, and what to do when it refuses."""

from __future__ import annotations

import json
import shutil
from pathlib import Path
from typing import Any

import click

from onyxwick.cli import UnusableInputError
from onyxwick.store import StoreEngine, StoreError, StoreUnusableError
from onyxwick.store import records as r
from onyxwick.store.files import DiskFiles

folder_argument = click.argument("folder", type=click.Path(path_type=Path, exists=True, file_okay=False))
json_option = click.option("--json", "as_json", is_flag=True, help="JSON on standard output.")


def _open(folder: Path) -> StoreEngine:
    try:
        return StoreEngine(DiskFiles(folder))
    except StoreError as error:
        raise UnusableInputError(f"{folder.name}: {error}") from None


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
        raise click.exceptions.Exit(1) from None
    except StoreError as error:
        raise UnusableInputError(str(error)) from None
    state = engine.status()
    engine.close()
    text = "\n".join(f"{name}: {value}" for name, value in state.items())
    click.echo(json.dumps({"good": True, **state}) if as_json else text)


def _shown(key: str, value: bytes | None) -> Any:
    """A row as JSON can hold it; sealed secrets stay sealed."""
    if value is None:
        return None
    from onyxwick.store.row_schema import unpack_row

    try:
        row = unpack_row(key, value)
    except StoreError:
        return value.hex()
    return {n: v.hex() if isinstance(v, bytes) else v for n, v in row.items()}


@store.command()
@folder_argument
@click.argument("prefix", default="")
def dump(folder: Path, prefix: str) -> None:
    """Every row whose key begins with PREFIX, as JSON lines."""
    engine = _open(folder)
    for key, value in engine.scan(prefix):
        line = {"key": key, "version": engine.version(key), "value": _shown(key, value)}
        click.echo(json.dumps(line))
    engine.close()


@store.command()
@folder_argument
@click.argument("key")
def history(folder: Path, key: str) -> None:
    """Every change of KEY that the log still holds: when, by whom, to what."""
    _open(folder).close()  # refuses where the log cannot be trusted
    found = 0
    for number, payload in _records(folder):
        for name, value, version in payload.operations:
            if name == key:
                shown = _shown(name, value)
                line = {"record": number, "at_us": payload.at_us, "by": payload.author, "version": version}
                click.echo(json.dumps({**line, "value": shown}))
                found += 1
    if not found:
        raise click.exceptions.Exit(1)


def _records(folder: Path) -> list[tuple[int, r.RecordPayload]]:
    out = []
    for path in sorted(folder.glob("log-*")):
        data = path.read_bytes()
        _, _, before = r.decode_segment_header(data, path.name)
        for found in r.decode_records(data, r.SEGMENT_HEADER.size, before):
            out.append((found.number, r.decode_payload(found.payload, found.number)))
    return out


@store.command()
@folder_argument
def compact(folder: Path) -> None:
    """Write a checkpoint and drop the log that it makes needless. The director must not run."""
    engine = _open(folder)
    before = engine.total_bytes()
    engine.compact()
    click.echo(f"{before} bytes before, {engine.total_bytes()} after")
    engine.close()


@store.command()
@folder_argument
@click.argument("out", type=click.Path(path_type=Path))
def backup(folder: Path, out: Path) -> None:
    """Copy the store to the new folder OUT, also while a director runs: the copy is checked by opening it.

    The mark is copied first: what it promises is in the log that is copied after it.
    """
    if out.exists():
        raise UnusableInputError(f"{out.name} is there already")
    for _ in range(BACKUP_TRIES):
        out.mkdir(parents=True)
        try:
            shutil.copy(folder / "mark", out)
            for path in sorted(folder.glob("checkpoint-*")) + sorted(folder.glob("log-*")):
                shutil.copy(path, out)
            engine = StoreEngine(DiskFiles(out))
        except (FileNotFoundError, StoreUnusableError):  # a compaction dropped a file in between
            shutil.rmtree(out)
            continue
        records = engine.last_record_number
        engine.close()
        click.echo(f"{records} records")
        return
    raise UnusableInputError("the store was compacted under every attempt; try again")


BACKUP_TRIES = 5


@store.command()
@folder_argument
@click.argument("out", type=click.Path(path_type=Path))
@click.option("--until", type=int, help="Unix microseconds: changes after it are left out.")
@click.option("--record", type=int, help="The last record that is taken.")
def restore(folder: Path, out: Path, until: int | None, record: int | None) -> None:
    """Make a new store in OUT from the backup FOLDER, up to a moment, as far back as its log reaches."""
    source = _open(folder)
    if out.exists():
        raise UnusableInputError(f"{out.name} is there already")
    payloads = _records(folder)
    first = payloads[0][0] if payloads else source.last_record_number + 1
    chosen = [
        (n, p) for n, p in payloads if (until is None or p.at_us <= until) and (record is None or n <= record)
    ]
    if source.checkpoint.number >= first or (record is not None and record < source.checkpoint.number):
        raise UnusableInputError(f"this backup reaches back to record {source.checkpoint.number} only")
    target = StoreEngine(DiskFiles(out), expected_store_id=source.store_id)
    for path in sorted(folder.glob("checkpoint-*"))[-1:]:
        _, _, rows = r.decode_checkpoint(path.read_bytes(), path.name)
        _write(target, r.RecordPayload(0, "restore", rows))
    for _, payload in chosen:
        _write(target, payload)
    click.echo(f"{len(chosen)} records after record {source.checkpoint.number}")
    source.close()
    target.close()


def _write(target: StoreEngine, payload: r.RecordPayload) -> None:
    from onyxwick.store import Transaction, WriteOperation

    ops = tuple(WriteOperation(key, value) for key, value, _ in payload.operations)
    for at in range(0, len(ops), 1000):
        target.commit(Transaction(ops[at : at + 1000], payload.author, payload.at_us))


@store.command()
@folder_argument
@click.argument("out", type=click.Path(path_type=Path))
@click.option("--accept-loss", is_flag=True, help="Yes, what is told to be lost may be lost.")
def repair(folder: Path, out: Path, accept_loss: bool) -> None:
    """Make a new store in OUT from what can still be read of a FOLDER that refuses; says what is missing.

    The folder itself is not touched. Exit 1 without --accept-loss.
    """
    if out.exists():
        raise UnusableInputError(f"{out.name} is there already")
    kept, lost = _salvage(folder)
    for text in lost:
        click.echo(f"lost: {text}")
    click.echo(f"{len(kept)} records can be read")
    if not accept_loss:
        click.echo("nothing was written; with --accept-loss a new store is made of them")
        raise click.exceptions.Exit(1)
    target = StoreEngine(DiskFiles(out))
    for payload in kept:
        _write(target, payload)
    target.close()


def _salvage(folder: Path) -> tuple[list[r.RecordPayload], list[str]]:
    kept, lost, number = list[r.RecordPayload](), list[str](), 0
    for path in sorted(folder.glob("checkpoint-*")):
        try:
            _, number, rows = r.decode_checkpoint(path.read_bytes(), path.name)
            kept = [r.RecordPayload(0, "repair", rows)]
        except StoreUnusableError as error:
            lost.append(str(error))
    for path in sorted(folder.glob("log-*")):
        data = path.read_bytes()
        try:
            _, _, before = r.decode_segment_header(data, path.name)
        except StoreUnusableError as error:
            lost.append(str(error))
            continue
        if before > number:
            lost.append(f"records {number + 1} to {before}, before {path.name}")
        end = r.SEGMENT_HEADER.size
        for found in r.decode_records(data, end, before):
            if found.number > number:
                kept.append(r.decode_payload(found.payload, found.number))
                number = found.number
            end = found.end_offset
        if end < len(data):
            lost.append(f"{len(data) - end} bytes of {path.name} behind record {number}")
    marks = r.decode_commit_marks((folder / "mark").read_bytes()) if (folder / "mark").exists() else []
    promised = max((n for _, n, _ in marks), default=None)
    if promised is None:
        lost.append("the mark: whether more was acknowledged cannot be told")
    elif promised > number:
        lost.append(f"records {number + 1} to {promised}, which were acknowledged")
    return kept, lost


@store.command("new-key")
def new_key() -> None:
    """Print a new key for the key file; put it on its first line to seal with it from now on."""
    from onyxwick.store.encryption import generate_key as made

    click.echo(made())


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
