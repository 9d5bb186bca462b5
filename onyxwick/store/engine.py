"""The embedded store: transactions on keys, durable in a log, read from an index in memory.

Files: `log-N` segments, `checkpoint-N` (all rows up to record N), `mark` (the commit mark: acknowledged up to
which record) and `lock`. Every file call goes through `StoreFiles`; the store reads no clock. Sizes in bytes.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator, Sequence
from contextlib import AbstractContextManager
from typing import Any

from onyxwick.store import records
from onyxwick.store.compaction import CheckpointInfo, compaction_steps
from onyxwick.store.errors import StoreError, StoreFailedError, StoreFullError
from onyxwick.store.files import StoreFiles
from onyxwick.store.index import StoreIndex, StoreSnapshot
from onyxwick.store.opening import open_store
from onyxwick.store.transactions import (
    ANY_VERSION,
    StoreLimits,
    Transaction,
    WriteBatch,
    WriteOperation,
    check_transaction,
    payload_bytes,
)

__all__ = ["ANY_VERSION", "StoreEngine", "StoreLimits", "Transaction", "WriteBatch", "WriteOperation"]


class StoreEngine:
    """An open store with one writer. StoreUnusableError where opening it could lose acknowledged data."""

    def __init__(
        self, files: StoreFiles, limits: StoreLimits | None = None, expected_store_id: bytes | None = None
    ) -> None:
        self.limits = limits or StoreLimits()
        self.failure = ""  # why nothing more is acknowledged; empty while the disk works
        self.bytes_written = 0  # with `bytes_requested` for the write amplification
        self.bytes_requested = 0
        self.compaction: Iterator[int] | None = None
        files.lock()
        try:
            opened = open_store(files, expected_store_id)
        except BaseException:  # a store that was not opened must not keep other processes out
            files.close()
            raise
        self.index: StoreIndex = opened.index
        self.log = opened.log
        self.last_record_number = opened.last_record_number
        self.checkpoint = CheckpointInfo(opened.checkpoint_number, opened.checkpoint_bytes)
        self.torn_bytes = opened.torn_bytes  # behind the commit mark, truncated at opening

    @property
    def store_id(self) -> bytes:
        """What tells this store's files from another's."""
        return self.log.store_id

    # ---- reading ----------------------------------------------------------------------------------------

    def get(self, key: str) -> bytes | None:
        """A key's value; None where it has none."""
        return self.index.get(key)

    def version(self, key: str) -> int:
        """How often a key was set; 0 where it never was, or was deleted."""
        return self.index.version(key)

    def keys(self, prefix: str = "") -> Iterator[str]:
        """Keys with a prefix, in order; with those that only a snapshot still holds."""
        return self.index.keys(prefix)

    def scan(self, prefix: str = "") -> Iterator[tuple[str, bytes]]:
        """Keys with a prefix and their values, in order."""
        return self.index.scan(prefix)

    def snapshot(self) -> AbstractContextManager[StoreSnapshot]:
        """The present rows, unchanged by later commits."""
        return self.index.snapshot(self.last_record_number)

    # ---- writing ----------------------------------------------------------------------------------------

    def prepare(self, transactions: Sequence[Transaction]) -> tuple[WriteBatch, list[StoreError | None]]:
        """One batch of the transactions that can be done, and an error or None for each of them.

        StoreFailedError where the disk has failed before.
        """
        self._check_working()
        batch = WriteBatch(first_number=self.last_record_number + 1)
        errors: list[StoreError | None] = []
        versions: dict[str, int] = {}
        encoded: list[bytes] = []
        batch_bytes = 0

        def version_of(key: str) -> int:
            return versions[key] if key in versions else self.version(key)

        for transaction in transactions:
            try:
                payload = check_transaction(transaction, version_of)
                self._check_size(payload, batch_bytes)
            except StoreError as error:
                errors.append(error)
                continue
            errors.append(None)
            versions |= {key: version for key, _, version in payload.operations}
            record = records.encode_record(batch.first_number + len(encoded), records.encode_payload(payload))
            batch.payloads.append(payload)
            encoded.append(record)
            batch_bytes += len(record)
        batch.data = b"".join(encoded)
        return batch, errors

    def _check_size(self, payload: records.RecordPayload, batch_bytes: int) -> None:
        """StoreFullError where a transaction that adds data exceeds the limit; deletions are always taken."""
        adds_data = any(value is not None for _, value, _ in payload.operations)
        total = self.total_bytes() + batch_bytes + payload_bytes(payload.operations)
        if adds_data and total > self.limits.total_bytes:
            raise StoreFullError(self.total_bytes(), self.limits.total_bytes)

    def write(self, batch: WriteBatch) -> None:
        """Make a batch durable. After any error of the disk StoreFailedError, now and for all later calls:
        what has reached the disk is not known."""
        self._check_working()
        if not batch.payloads:
            return
        try:
            self.log.append(batch, self.limits.segment_bytes)
        except OSError as error:
            self.failure = f"the disk failed ({error}); open the store anew"
            raise StoreFailedError(self.failure) from error
        self.bytes_written += len(batch.data) + records.COMMIT_MARK.size
        self.bytes_requested += sum(payload_bytes(payload.operations) for payload in batch.payloads)

    def apply(self, batch: WriteBatch) -> None:
        """Make a written batch visible to readers."""
        for number, payload in enumerate(batch.payloads, batch.first_number):
            self.index.apply(payload, number)
            self.last_record_number = number

    def commit(self, *transactions: Transaction) -> None:
        """Prepare, write and apply; the first error of a transaction is raised after the others are done."""
        batch, errors = self.prepare(transactions)
        self.write(batch)
        self.apply(batch)
        for error in errors:
            if error is not None:
                raise error

    def _check_working(self) -> None:
        if self.failure:
            raise StoreFailedError(self.failure)

    # ---- compaction -------------------------------------------------------------------------------------

    def total_bytes(self) -> int:
        """Bytes of the log and the checkpoint."""
        return self.log.total_bytes + self.checkpoint.size_bytes

    def needs_compaction(self) -> bool:
        """Is the log over its limit, and no compaction under way?"""
        return self.compaction is None and self.log.total_bytes > self.limits.log_bytes

    def compact(self, may_continue: Callable[[], bool] = lambda: True) -> bool:
        """Write a checkpoint and remove what it makes redundant, in steps for as long as `may_continue`.

        True when it is done; else the next call goes on. StoreFailedError after an error of the disk.
        """
        self._check_working()
        if self.compaction is None:
            self.compaction = compaction_steps(self.log, self.index, self.last_record_number, self.checkpoint)
        try:
            for written in self.compaction:
                self.bytes_written += written
                if not may_continue():
                    return False
        except OSError as error:
            self.compaction = None
            self.failure = f"the disk failed in a compaction ({error}); open the store anew"
            raise StoreFailedError(self.failure) from error
        self.compaction = None
        return True

    def close(self) -> None:
        """Close the files and release the lock."""
        self.log.files.close()

    def status(self) -> dict[str, Any]:
        """Figures for logs and `onyxwick store`, under their published names."""
        return {
            "store": self.store_id.hex(),
            "records": self.last_record_number,
            "keys": len(self.index),
            "log_bytes": self.log.total_bytes,
            "checkpoint_at": self.checkpoint.number,
            "checkpoint_bytes": self.checkpoint.size_bytes,
            "segments": len(self.log.segment_sizes),
            "torn_bytes": self.torn_bytes,
            "failed": self.failure,
        }
