"""Backup and restore of a store's folder, and its log as a list: for tools, not for the director.

A backup is a copy of the files, also of a store in use; a restore replays its log up to a moment.
"""

from __future__ import annotations

import shutil
from pathlib import Path
from typing import NamedTuple

from onyxwick.store import records
from onyxwick.store.engine import StoreEngine
from onyxwick.store.errors import StoreError, StoreUnusableError
from onyxwick.store.files import DiskFiles
from onyxwick.store.segment_log import CHECKPOINT_PREFIX, COMMIT_MARK_FILE, SEGMENT_PREFIX
from onyxwick.store.transactions import Transaction, WriteOperation

MAX_COPY_ATTEMPTS = 5
OPERATIONS_PER_TRANSACTION = 1000


class BackupError(StoreError):
    """A copy could not be made, or does not reach as far as was asked."""


class LoggedRecord(NamedTuple):
    """A record of the log with its number."""

    number: int
    payload: records.RecordPayload


class RestoreResult(NamedTuple):
    """How many records were replayed, and the checkpoint that they follow."""

    replayed: int
    checkpoint_number: int


def segment_files(folder: Path) -> list[Path]:
    """The log's segments, the oldest first."""
    return sorted(folder.glob(f"{SEGMENT_PREFIX}*"))


def checkpoint_files(folder: Path) -> list[Path]:
    """The checkpoints, the oldest first."""
    return sorted(folder.glob(f"{CHECKPOINT_PREFIX}*"))


def read_log(folder: Path) -> list[LoggedRecord]:
    """All records that the log still holds; StoreUnusableError where a segment's header is damaged."""
    found = []
    for path in segment_files(folder):
        data = path.read_bytes()
        header = records.decode_segment_header(data, path.name)
        for record in records.decode_records(data, records.SEGMENT_HEADER.size, header.preceding_number):
            payload = records.decode_payload(record.payload, record.number)
            found.append(LoggedRecord(record.number, payload))
    return found


def write_payload(target: StoreEngine, payload: records.RecordPayload) -> None:
    """Commit the operations of a record to another store, in transactions of a bounded size."""
    operations = tuple(WriteOperation(key, value) for key, value, _ in payload.operations)
    for at in range(0, len(operations), OPERATIONS_PER_TRANSACTION):
        part = operations[at : at + OPERATIONS_PER_TRANSACTION]
        target.commit(Transaction(part, payload.author, payload.at_us))


def copy_store(folder: Path, target: Path) -> int:
    """Copy a store to a new folder, also while it is in use, and open the copy; its last record's number.

    The commit mark is copied first: what it acknowledges is in the log that is copied after it. BackupError
    where a compaction removed files under every attempt.
    """
    for _ in range(MAX_COPY_ATTEMPTS):
        target.mkdir(parents=True)
        try:
            shutil.copy(folder / COMMIT_MARK_FILE, target)
            for path in checkpoint_files(folder) + segment_files(folder):
                shutil.copy(path, target)
            engine = StoreEngine(DiskFiles(target))
        except (FileNotFoundError, StoreUnusableError):  # a compaction removed a file in between
            shutil.rmtree(target)
            continue
        number = engine.last_record_number
        engine.close()
        return number
    raise BackupError("the store was compacted under every attempt; try again")


def restore_store(
    source: StoreEngine, folder: Path, target_folder: Path, until_us: int | None, last_record: int | None
) -> RestoreResult:
    """Make a new store from the backup in `folder`, which `source` has open, up to a moment.

    `until_us`: Unix microseconds of the last change; `last_record`: its number; None: all. BackupError where
    the backup's log does not reach back so far.
    """
    log = read_log(folder)
    first_number = log[0].number if log else source.last_record_number + 1
    checkpoint_number = source.checkpoint.number
    is_before_checkpoint = last_record is not None and last_record < checkpoint_number
    if checkpoint_number >= first_number or is_before_checkpoint:
        raise BackupError(f"this backup reaches back to record {checkpoint_number} only")
    target = StoreEngine(DiskFiles(target_folder), expected_store_id=source.store_id)
    for path in checkpoint_files(folder)[-1:]:
        checkpoint = records.decode_checkpoint(path.read_bytes(), path.name)
        write_payload(target, records.RecordPayload(0, "restore", checkpoint.rows))
    chosen = [
        record
        for record in log
        if (until_us is None or record.payload.at_us <= until_us)
        and (last_record is None or record.number <= last_record)
    ]
    for record in chosen:
        write_payload(target, record.payload)
    target.close()
    return RestoreResult(len(chosen), checkpoint_number)
