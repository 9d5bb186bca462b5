"""Opens a store's folder: reads the commit mark, the newest checkpoint and the log records after it.

Raises StoreUnusableError if opening could lose acknowledged data. A torn write after the last intact record
is truncated; intact records after the commit mark are replayed and acknowledged.
"""

from __future__ import annotations

import secrets
from dataclasses import dataclass
from typing import NamedTuple

from onyxwick.store import records
from onyxwick.store.errors import StoreUnusableError
from onyxwick.store.files import StoreFiles
from onyxwick.store.index import IndexEntry, StoreIndex
from onyxwick.store.segment_log import (
    CHECKPOINT_PREFIX,
    COMMIT_MARK_FILE,
    SEGMENT_PREFIX,
    SegmentLog,
    number_in_name,
    segment_name,
)

STORE_ID_BYTES = 16
TEMPORARY_SUFFIX = ".tmp"


class NumberedFile(NamedTuple):
    """A segment or checkpoint file with the number in its name."""

    number: int
    name: str


@dataclass(frozen=True, slots=True)
class OpenedStore:
    """The result of opening a store. `torn_bytes` is the number of bytes that were truncated after the last
    intact record."""

    index: StoreIndex
    log: SegmentLog
    last_record_number: int
    checkpoint_number: int
    checkpoint_bytes: int
    torn_bytes: int


def open_store(files: StoreFiles, expected_store_id: bytes | None) -> OpenedStore:
    """Open the store in a folder, or create a store if the folder is empty.

    Raises StoreUnusableError if data may be lost or the store's id differs from the expected id.
    """
    return _StoreOpener(files).run(expected_store_id)


class _StoreOpener:
    def __init__(self, files: StoreFiles) -> None:
        self.files = files
        self.log = SegmentLog(files)
        self.entries: dict[str, IndexEntry] = {}
        self.last_record_number = 0
        self.checkpoint_number = 0
        self.checkpoint_bytes = 0
        self.torn_bytes = 0

    def run(self, expected_store_id: bytes | None) -> OpenedStore:
        names = self._remove_unfinished_checkpoints()
        segments = sorted(_numbered(names, SEGMENT_PREFIX))
        checkpoints = sorted(_numbered(names, CHECKPOINT_PREFIX), reverse=True)
        has_data = bool(segments or checkpoints)
        has_commit_mark = self._read_commit_mark(COMMIT_MARK_FILE in names, has_data)
        if not has_data:
            self._create(expected_store_id, has_commit_mark)
        else:
            self._load_checkpoint(checkpoints, bool(segments))
            self._replay_segments(segments)
            self._check_complete(expected_store_id)
            self._finish_log()
        return OpenedStore(
            StoreIndex(self.entries),
            self.log,
            self.last_record_number,
            self.checkpoint_number,
            self.checkpoint_bytes,
            self.torn_bytes,
        )

    def _remove_unfinished_checkpoints(self) -> set[str]:
        names = set(self.files.names())
        unfinished = {name for name in names if name.endswith(TEMPORARY_SUFFIX)}
        for name in unfinished:
            self.files.remove(name)
        return names - unfinished

    def _read_commit_mark(self, exists: bool, has_data: bool) -> bool:
        marks = records.decode_commit_marks(self.files.read(COMMIT_MARK_FILE)) if exists else []
        if not marks:
            if has_data:
                raise StoreUnusableError(
                    "the commit mark is missing or damaged; it is unknown which records were acknowledged"
                )
            return False
        mark = max(marks, key=lambda mark: mark.sequence)
        self.log.store_id = mark.store_id
        self.log.acknowledged_number = mark.number
        self.log.commit_mark_sequence = mark.sequence
        return True

    def _create(self, store_id: bytes | None, has_commit_mark: bool) -> None:
        if has_commit_mark and self.log.acknowledged_number:
            raise StoreUnusableError(f"all {self.log.acknowledged_number} acknowledged records are missing")
        self.log.store_id = store_id or secrets.token_bytes(STORE_ID_BYTES)
        # The commit mark is written first: after a crash in between, a log without a commit mark would be
        # rejected, whereas a commit mark without a log is an empty store and is created again.
        for _ in range(2):
            self.log.write_commit_mark(0)
        self.files.sync_folder()
        self.log.start_segment(0)

    # ---- checkpoint -------------------------------------------------------------------------------------

    def _load_checkpoint(self, checkpoints: list[NumberedFile], has_segments: bool) -> None:
        """Load the newest intact checkpoint.

        A damaged checkpoint is skipped; the replay then detects whether the log still has all its records. If
        there is no segment and no intact checkpoint, StoreUnusableError is raised.
        """
        for number, name in checkpoints:
            data = self.files.read(name)
            try:
                checkpoint = records.decode_checkpoint(data, name)
            except StoreUnusableError:
                if number == checkpoints[-1].number and not has_segments:
                    raise
                continue
            self._check_store_id(checkpoint.store_id, name)
            self.last_record_number = checkpoint.number
            self.checkpoint_number = checkpoint.number
            self.checkpoint_bytes = len(data)
            for key, value, version in checkpoint.rows:
                self.entries[key] = IndexEntry(value, version, checkpoint.number)
            return

    def _check_store_id(self, store_id: bytes, name: str) -> None:
        if self.log.store_id and store_id != self.log.store_id:
            raise StoreUnusableError(f"{name}: the file belongs to another store")
        self.log.store_id = store_id

    # ---- log --------------------------------------------------------------------------------------------

    def _replay_segments(self, segments: list[NumberedFile]) -> None:
        for position, segment in enumerate(segments):
            is_last = position == len(segments) - 1
            following = None if is_last else segments[position + 1].name
            if following is not None and self._is_redundant(following):
                continue  # a crash prevented its removal; the checkpoint includes all of its records
            if not self._replay_segment(segment, following):
                return

    def _replay_segment(self, segment: NumberedFile, following: str | None) -> bool:
        """Replay one segment. Returns False after removing it if it is the last one and was never written."""
        name = segment.name
        data = self.files.read(name)
        try:
            header = records.decode_segment_header(data, name)
        except StoreUnusableError:
            if following is None and self._was_never_written(data):
                self.files.remove(name)
                return False
            raise
        self._check_segment_header(header, segment)
        end = self._replay_records(data, header.preceding_number)
        self.log.segment = header.segment
        self.log.segment_bytes = end
        self.log.segment_sizes[name] = end
        if end < len(data):
            self.torn_bytes += len(data) - end
            if following is not None and self.last_record_number < self._preceding_number(following):
                raise StoreUnusableError(
                    f"{name}: damaged after record {self.last_record_number}, and later segments hold records"
                )
        return True

    def _was_never_written(self, data: bytes) -> bool:
        """Return whether a segment with a damaged header cannot hold an acknowledged record."""
        complete = self.last_record_number >= self.log.acknowledged_number
        return complete and len(data) <= records.SEGMENT_HEADER.size

    def _check_segment_header(self, header: records.SegmentHeader, segment: NumberedFile) -> None:
        self._check_store_id(header.store_id, segment.name)
        if header.segment != segment.number:
            raise StoreUnusableError(f"{segment.name}: its header has segment number {header.segment}")
        if header.preceding_number > self.last_record_number:
            raise StoreUnusableError(
                f"records {self.last_record_number + 1} to {header.preceding_number} are missing"
                f" before {segment.name}"
            )

    def _is_redundant(self, following: str) -> bool:
        """Return whether the checkpoint includes all records before a segment."""
        try:
            preceding = self._preceding_number(following)
        except StoreUnusableError:
            return False
        return self.checkpoint_number > 0 and preceding <= self.checkpoint_number

    def _preceding_number(self, name: str) -> int:
        return records.decode_segment_header(self.files.read(name), name).preceding_number

    def _replay_records(self, data: bytes, preceding_number: int) -> int:
        """Replay a segment's records and return the offset after the last intact record."""
        end = records.SEGMENT_HEADER.size
        for record in records.decode_records(data, end, preceding_number):
            end = record.end_offset
            if record.number <= self.last_record_number:
                continue  # the checkpoint includes this record
            if record.number != self.last_record_number + 1:
                raise StoreUnusableError(
                    f"record {self.last_record_number + 1} is missing before {record.number}"
                )
            payload = records.decode_payload(record.payload, record.number)
            for key, value, version in payload.operations:
                if value is None:
                    self.entries.pop(key, None)
                else:
                    self.entries[key] = IndexEntry(value, version, record.number)
            self.last_record_number = record.number
        return end

    # ---- after the replay -------------------------------------------------------------------------------

    def _check_complete(self, expected_store_id: bytes | None) -> None:
        if expected_store_id is not None and self.log.store_id != expected_store_id:
            raise StoreUnusableError("the store belongs to another installation than the expected one")
        if self.last_record_number < self.log.acknowledged_number:
            raise StoreUnusableError(
                f"records {self.last_record_number + 1} to {self.log.acknowledged_number} were acknowledged"
                " and are missing: drains, purges and configuration in them may be lost"
            )

    def _finish_log(self) -> None:
        """Truncate a torn write, so that no record is appended after it, and acknowledge intact records."""
        if not self.log.segment:
            self.log.start_segment(self.last_record_number)
            return
        name = segment_name(self.log.segment)
        if self.torn_bytes:
            self.files.truncate(name, self.log.segment_bytes)
            self.files.sync(name)
        if self.log.acknowledged_number < self.last_record_number:
            # These records are intact and durable but were never acknowledged. Later records follow them.
            self.files.sync(name)
            self.log.write_commit_mark(self.last_record_number)


def _numbered(names: set[str], prefix: str) -> list[NumberedFile]:
    return [NumberedFile(number_in_name(name), name) for name in names if name.startswith(prefix)]
