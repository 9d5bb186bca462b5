"""Reads the records that are still readable in a store that cannot be opened, and reports the losses.

It takes the folder, which is not changed, and returns the readable records in order and a text for each loss.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from pathlib import Path

from onyxwick.store import records
from onyxwick.store.backup import checkpoint_files, segment_files
from onyxwick.store.errors import StoreUnusableError
from onyxwick.store.segment_log import COMMIT_MARK_FILE


@dataclass(slots=True)
class Salvage:
    """The readable payloads of a damaged store, and a text for each loss."""

    payloads: list[records.RecordPayload] = field(default_factory=list)
    losses: list[str] = field(default_factory=list)
    last_number: int = 0
    """Number of the last record that could be read."""


def salvage(folder: Path) -> Salvage:
    """Read a damaged store: its newest readable checkpoint, then its log, then its commit mark."""
    result = Salvage()
    for path in checkpoint_files(folder):
        _read_checkpoint(path, result)
    for path in segment_files(folder):
        _read_segment(path, result)
    _compare_with_commit_mark(folder / COMMIT_MARK_FILE, result)
    return result


def _read_checkpoint(path: Path, result: Salvage) -> None:
    try:
        checkpoint = records.decode_checkpoint(path.read_bytes(), path.name)
    except StoreUnusableError as error:
        result.losses.append(str(error))
        return
    result.last_number = checkpoint.number
    result.payloads = [records.RecordPayload(0, "repair", checkpoint.rows)]


def _read_segment(path: Path, result: Salvage) -> None:
    data = path.read_bytes()
    try:
        header = records.decode_segment_header(data, path.name)
    except StoreUnusableError as error:
        result.losses.append(str(error))
        return
    if header.preceding_number > result.last_number:
        missing = f"records {result.last_number + 1} to {header.preceding_number}"
        result.losses.append(f"{missing}, before {path.name}")
    end_offset = records.SEGMENT_HEADER.size
    for record in records.decode_records(data, end_offset, header.preceding_number):
        if record.number > result.last_number:
            result.payloads.append(records.decode_payload(record.payload, record.number))
            result.last_number = record.number
        end_offset = record.end_offset
    if end_offset < len(data):
        unreadable = f"{len(data) - end_offset} bytes of {path.name}"
        result.losses.append(f"{unreadable} after record {result.last_number}")


def _compare_with_commit_mark(path: Path, result: Salvage) -> None:
    """Add the acknowledged records that could not be read to the losses."""
    marks = records.decode_commit_marks(path.read_bytes()) if path.exists() else []
    acknowledged = max((mark.number for mark in marks), default=None)
    if acknowledged is None:
        result.losses.append("the commit mark: it is unknown whether more records were acknowledged")
    elif acknowledged > result.last_number:
        missing = f"records {result.last_number + 1} to {acknowledged}"
        result.losses.append(f"{missing}, which were acknowledged")
