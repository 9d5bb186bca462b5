"""The write side of the log: the segment to which records are appended, and the commit mark.

A commit is acknowledged after its records have been synced and then the commit mark that covers them. A crash
between the two syncs leaves records that were never acknowledged; the next start retains them.
"""

from __future__ import annotations

from onyxwick.store import records
from onyxwick.store.errors import StoreUnusableError
from onyxwick.store.files import StoreFiles
from onyxwick.store.transactions import WriteBatch

COMMIT_MARK_FILE = "mark"
SEGMENT_PREFIX = "log-"
CHECKPOINT_PREFIX = "checkpoint-"


def segment_name(segment: int) -> str:
    """Return the file name of a segment. Names sort in the order of the numbers."""
    return f"{SEGMENT_PREFIX}{segment:010d}"


def checkpoint_name(record_number: int) -> str:
    """Return the file name of the checkpoint as of a record. Names sort in the order of the numbers."""
    return f"{CHECKPOINT_PREFIX}{record_number:020d}"


def number_in_name(name: str) -> int:
    """Return the number at the end of a file name. Raises StoreUnusableError if there is none."""
    digits = name.rpartition("-")[2]
    if not digits.isdigit():
        raise StoreUnusableError(f"{name}: not a file of this store, its name does not end in a number")
    return int(digits)


class SegmentLog:
    """Appends to the last segment and starts new segments. After an OSError the disk content is unknown."""

    def __init__(self, files: StoreFiles) -> None:
        self.files = files
        self.store_id = b""
        self.acknowledged_number = 0
        self.commit_mark_sequence = 0
        self.segment = 0
        self.segment_bytes = 0
        self.segment_sizes: dict[str, int] = {}  # by name, in bytes

    @property
    def total_bytes(self) -> int:
        """Return the size of all segments in bytes."""
        return sum(self.segment_sizes.values())

    def append(self, batch: WriteBatch, max_segment_bytes: int) -> None:
        """Make a batch durable, in a new segment if it does not fit into the last one."""
        fits = self.segment_bytes + len(batch.data) <= max_segment_bytes
        if not fits and self.segment_bytes > records.SEGMENT_HEADER.size:
            self.start_segment(batch.first_number - 1)
        name = segment_name(self.segment)
        self.files.write(name, self.segment_bytes, batch.data)
        self.files.sync(name)
        self.write_commit_mark(batch.first_number + len(batch.payloads) - 1)
        self.segment_bytes += len(batch.data)
        self.segment_sizes[name] = self.segment_bytes

    def write_commit_mark(self, number: int) -> None:
        """Durably acknowledge all records up to a number."""
        self.commit_mark_sequence += 1
        slot = records.encode_commit_mark(self.store_id, number, self.commit_mark_sequence)
        offset = (self.commit_mark_sequence % 2) * records.COMMIT_MARK_SLOT_BYTES
        self.files.write(COMMIT_MARK_FILE, offset, slot)
        self.files.sync(COMMIT_MARK_FILE)
        self.acknowledged_number = number

    def start_segment(self, preceding_number: int) -> None:
        """Start a new segment, whose first record follows record `preceding_number`."""
        self.segment += 1
        name = segment_name(self.segment)
        header = records.encode_segment_header(self.store_id, self.segment, preceding_number)
        self.files.write(name, 0, header)
        self.files.sync(name)
        self.files.sync_folder()
        self.segment_bytes = len(header)
        self.segment_sizes[name] = len(header)
