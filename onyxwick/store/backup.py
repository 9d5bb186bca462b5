"""Backs up and restores a store's folder, and reads its log as a list. Used by tools, not by the director.

A backup is a copy of the files and can be made while the store is in use. A restore replays the log of a
backup up to a chosen time or record.
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
    """A backup could not be made, or does not cover the requested time or record."""


class LoggedRecord(NamedTuple):
    """A decoded record of the log with its record number."""

    number: int
    payload: records.RecordPayload


class RestoreResult(NamedTuple):
    """The count of replayed records, and the record number of the checkpoint that they follow."""

    replayed: int
    checkpoint_number: int


def segment_files(folder: Path) -> list[Path]:
    """List the segment files of the log, oldest first."""
    return sorted(folder.glob(f"{SEGMENT_PREFIX}*"))


def checkpoint_files(folder: Path) -> list[Path]:
    """List the checkpoint files, oldest first."""
    return sorted(folder.glob(f"{CHECKPOINT_PREFIX}*"))


def read_log(folder: Path) -> list[LoggedRecord]:
    """Read all records that the log still holds. Raises StoreUnusableError if a segment header is damaged."""
    logged_records = []
    for path in segment_files(folder):
        data = path.read_bytes()
        header = records.decode_segment_header(data, path.name)
        for record in records.decode_records(data, records.SEGMENT_HEADER.size, header.preceding_number):
            payload = records.decode_payload(record.payload, record.number)
            logged_records.append(LoggedRecord(record.number, payload))
    return logged_records


def write_payload(target: StoreEngine, payload: records.RecordPayload) -> None:
    """Commit the operations of a record to another store, in transactions of bounded size."""
    operations = tuple(WriteOperation(key, value) for key, value, _ in payload.operations)
    for start in range(0, len(operations), OPERATIONS_PER_TRANSACTION):
        part = operations[start : start + OPERATIONS_PER_TRANSACTION]
        target.commit(Transaction(part, payload.author, payload.at_us))


def copy_store(folder: Path, target: Path) -> int:
    """Copy a store to a new folder, open the copy, and return the number of its last record.

    The store may be in use. The commit mark is copied first, so that all records that it acknowledges are in
    the log, which is copied after it. Raises BackupError if a compaction removed files during every attempt.
    """
    for _ in range(MAX_COPY_ATTEMPTS):
        target.mkdir(parents=True)
        try:
            shutil.copy(folder / COMMIT_MARK_FILE, target)
            for path in checkpoint_files(folder) + segment_files(folder):
                shutil.copy(path, target)
            engine = StoreEngine(DiskFiles(target))
        except (FileNotFoundError, StoreUnusableError):  # a compaction removed a file during the copy
            shutil.rmtree(target)
            continue
        number = engine.last_record_number
        engine.close()
        return number
    raise BackupError("a compaction of the store removed files during every copy attempt; try again")


def restore_store(
    source: StoreEngine, folder: Path, target_folder: Path, until_us: int | None, last_record: int | None
) -> RestoreResult:
    """Create a new store from the backup in `folder`, which `source` has open, up to a given change.

    The last change to restore is limited by `until_us`, a time in Unix microseconds, and by `last_record`, a
    record number; None means no limit. Raises BackupError if the backup's log does not start early enough.
    """
    log = read_log(folder)
    first_number = log[0].number if log else source.last_record_number + 1
    checkpoint_number = source.checkpoint.number
    is_before_checkpoint = last_record is not None and last_record < checkpoint_number
    if checkpoint_number >= first_number or is_before_checkpoint:
        raise BackupError(f"record {checkpoint_number} is the earliest state that this backup can restore")
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
