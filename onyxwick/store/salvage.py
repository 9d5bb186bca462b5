"""Reads what is still readable of a store that cannot be opened, and tells what is lost.

Input is the folder, which is not changed; output the readable records in order and a text for each loss.
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
    """What was read of a damaged store."""

    payloads: list[records.RecordPayload] = field(default_factory=list)
    losses: list[str] = field(default_factory=list)
    last_number: int = 0
    """Of the last record that could be read."""


def salvage(folder: Path) -> Salvage:
    """Read a damaged store: its newest readable checkpoint, then its log, then what was acknowledged."""
    found = Salvage()
    for path in checkpoint_files(folder):
        _read_checkpoint(path, found)
    for path in segment_files(folder):
        _read_segment(path, found)
    _compare_with_commit_mark(folder / COMMIT_MARK_FILE, found)
    return found


def _read_checkpoint(path: Path, found: Salvage) -> None:
    try:
        checkpoint = records.decode_checkpoint(path.read_bytes(), path.name)
    except StoreUnusableError as error:
        found.losses.append(str(error))
        return
    found.last_number = checkpoint.number
    found.payloads = [records.RecordPayload(0, "repair", checkpoint.rows)]


def _read_segment(path: Path, found: Salvage) -> None:
    data = path.read_bytes()
    try:
        header = records.decode_segment_header(data, path.name)
    except StoreUnusableError as error:
        found.losses.append(str(error))
        return
    if header.preceding_number > found.last_number:
        missing = f"records {found.last_number + 1} to {header.preceding_number}"
        found.losses.append(f"{missing}, before {path.name}")
    end_offset = records.SEGMENT_HEADER.size
    for record in records.decode_records(data, end_offset, header.preceding_number):
        if record.number > found.last_number:
            found.payloads.append(records.decode_payload(record.payload, record.number))
            found.last_number = record.number
        end_offset = record.end_offset
    if end_offset < len(data):
        unreadable = f"{len(data) - end_offset} bytes of {path.name}"
        found.losses.append(f"{unreadable} behind record {found.last_number}")


def _compare_with_commit_mark(path: Path, found: Salvage) -> None:
    """Report records that were acknowledged and could not be read."""
    marks = records.decode_commit_marks(path.read_bytes()) if path.exists() else []
    acknowledged = max((mark.number for mark in marks), default=None)
    if acknowledged is None:
        found.losses.append("the mark: whether more was acknowledged cannot be told")
    elif acknowledged > found.last_number:
        missing = f"records {found.last_number + 1} to {acknowledged}"
        found.losses.append(f"{missing}, which were acknowledged")
