"""Writes a checkpoint of all rows and removes the log segments that it makes redundant, step by step.

A crash at any step loses no data: the checkpoint is written under a temporary name, synced and renamed, and
the files that it replaces are removed last.
"""

from __future__ import annotations

import itertools
from collections.abc import Generator, Iterator
from dataclasses import dataclass

from onyxwick.store import records
from onyxwick.store.files import StoreFiles
from onyxwick.store.index import StoreIndex, StoreSnapshot
from onyxwick.store.segment_log import (
    CHECKPOINT_PREFIX,
    SEGMENT_PREFIX,
    SegmentLog,
    checkpoint_name,
    segment_name,
)

CHECKPOINT_RECORD_ROWS = 256
"""Number of checkpoint rows that are written in one step."""
TEMPORARY_NAME = "checkpoint.tmp"


@dataclass(slots=True)
class CheckpointInfo:
    """The newest durable checkpoint: the number of the last record that it includes, and its size."""

    number: int = 0
    size_bytes: int = 0


def compaction_steps(
    log: SegmentLog, index: StoreIndex, last_record_number: int, checkpoint: CheckpointInfo
) -> Iterator[int]:
    """Run a compaction in steps, and yield after each step the number of bytes that it wrote.

    `checkpoint` is updated once the new checkpoint is durable; the files that it makes redundant are removed
    in the last step. An OSError of the file calls is passed on.
    """
    files = log.files
    with index.snapshot(last_record_number) as snapshot:
        log.start_segment(last_record_number)  # all earlier segments can then be removed as complete files
        first_kept_segment = segment_name(log.segment)
        size_bytes = yield from _write_rows(files, log.store_id, snapshot)
    name = checkpoint_name(last_record_number)
    files.sync(TEMPORARY_NAME)
    files.rename(TEMPORARY_NAME, name)
    files.sync_folder()  # makes the new name durable before the old log is removed
    checkpoint.number = last_record_number
    checkpoint.size_bytes = size_bytes
    yield 0
    _remove_redundant(log, first_kept_segment, name)


def _write_rows(files: StoreFiles, store_id: bytes, snapshot: StoreSnapshot) -> Generator[int, None, int]:
    """Write all rows under the temporary name and return the size of the file in bytes."""
    index = snapshot.index
    end = records.CHECKPOINT_HEADER_BYTES
    row_count = 0
    last_key = ""
    files.write(TEMPORARY_NAME, 0, bytes(end))
    for number in itertools.count(1):
        keys = index.keys_after(last_key, CHECKPOINT_RECORD_ROWS)
        if not keys:
            break
        last_key = keys[-1]
        rows = index.rows_at(keys, snapshot.record_number)
        payload = records.encode_payload(records.RecordPayload(0, "", rows))
        record = records.encode_record(number, payload)
        files.write(TEMPORARY_NAME, end, record)
        end += len(record)
        row_count += len(rows)
        yield len(record)
    header = records.encode_checkpoint_header(store_id, snapshot.record_number, row_count)
    files.write(TEMPORARY_NAME, 0, header)
    return end


def _remove_redundant(log: SegmentLog, first_kept_segment: str, checkpoint: str) -> None:
    for name in log.files.names():
        is_old_segment = name.startswith(SEGMENT_PREFIX) and name < first_kept_segment
        is_old_checkpoint = name.startswith(CHECKPOINT_PREFIX) and name != checkpoint
        if is_old_segment or is_old_checkpoint:
            log.files.remove(name)
            log.segment_sizes.pop(name, None)
    log.files.sync_folder()
