"""The embedded store: transactions on keys, made durable in a log and read from an in-memory index.

Its files are the segments `log-N`, `checkpoint-N` (all rows as of record N), `mark` (the commit mark: the
last acknowledged record) and `lock`. Every file call goes through `StoreFiles`; the store reads no clock.
Sizes are in bytes.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator, Sequence
from contextlib import AbstractContextManager

from onyxwick.store import records
from onyxwick.store.compaction import CheckpointInfo, compaction_steps
from onyxwick.store.errors import StoreError, StoreFailedError, StoreFullError
from onyxwick.store.files import StoreFiles
from onyxwick.store.index import StoreIndex, StoreSnapshot
from onyxwick.store.opening import open_store
from onyxwick.store.transactions import (
    ANY_VERSION,
    PreparedBatch,
    StoreLimits,
    Transaction,
    WriteBatch,
    WriteOperation,
    check_transaction,
    payload_bytes,
)

__all__ = ["ANY_VERSION", "StoreEngine", "StoreLimits", "Transaction", "WriteBatch", "WriteOperation"]


class StoreEngine:
    """An open store with one writer. Raises StoreUnusableError if opening it could lose acknowledged data."""

    def __init__(
        self, files: StoreFiles, limits: StoreLimits | None = None, expected_store_id: bytes | None = None
    ) -> None:
        self.limits = limits or StoreLimits()
        self.failure = ""  # why commits are no longer acknowledged; empty while there was no failure
        self.bytes_written = 0  # divided by `bytes_requested` it gives the write amplification
        self.bytes_requested = 0
        self.compaction: Iterator[int] | None = None
        files.lock()
        try:
            opened = open_store(files, expected_store_id)
        except BaseException:  # a store that failed to open must not stay locked for other processes
            files.close()
            raise
        self.index: StoreIndex = opened.index
        self.log = opened.log
        self.last_record_number = opened.last_record_number
        self.checkpoint = CheckpointInfo(opened.checkpoint_number, opened.checkpoint_bytes)
        # Size of a torn write after the commit mark, which was truncated when the store was opened.
        self.torn_bytes = opened.torn_bytes

    @property
    def store_id(self) -> bytes:
        """Return the id in this store's files, which distinguishes them from another store's."""
        return self.log.store_id

    # ---- reading ----------------------------------------------------------------------------------------

    def get(self, key: str) -> bytes | None:
        """Return a key's value; None if the key does not exist."""
        return self.index.get(key)

    def version(self, key: str) -> int:
        """Return how often a key was set; 0 if it was never set or was deleted."""
        return self.index.version(key)

    def keys(self, prefix: str = "") -> Iterator[str]:
        """Iterate over the keys with a prefix, in order, including keys that only a snapshot still holds."""
        return self.index.keys(prefix)

    def scan(self, prefix: str = "") -> Iterator[tuple[str, bytes]]:
        """Iterate over the keys with a prefix and their values, in key order."""
        return self.index.scan(prefix)

    def snapshot(self) -> AbstractContextManager[StoreSnapshot]:
        """Open a snapshot of the present rows, which later commits do not change."""
        return self.index.snapshot(self.last_record_number)

    # ---- writing ----------------------------------------------------------------------------------------

    def prepare(self, transactions: Sequence[Transaction]) -> PreparedBatch:
        """Build one batch of the valid transactions, with an error or None for each transaction.

        Raises StoreFailedError if the store has failed before.
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
        return PreparedBatch(batch, errors)

    def _check_size(self, payload: records.RecordPayload, batch_bytes: int) -> None:
        """Raise StoreFullError if a transaction that adds data exceeds the limit. Deletions always pass."""
        adds_data = any(value is not None for _, value, _ in payload.operations)
        total = self.total_bytes() + batch_bytes + payload_bytes(payload.operations)
        if adds_data and total > self.limits.total_bytes:
            raise StoreFullError(self.total_bytes(), self.limits.total_bytes)

    def write(self, batch: WriteBatch) -> None:
        """Make a batch durable.

        After a disk error this and all later calls raise StoreFailedError, because it is unknown which data
        reached the disk.
        """
        self._check_working()
        if not batch.payloads:
            return
        try:
            self.log.append(batch, self.limits.segment_bytes)
        except OSError as error:
            self.failure = f"the disk failed ({error}); reopen the store"
            raise StoreFailedError(self.failure) from error
        self.bytes_written += len(batch.data) + records.COMMIT_MARK.size
        self.bytes_requested += sum(payload_bytes(payload.operations) for payload in batch.payloads)

    def apply(self, batch: WriteBatch) -> None:
        """Make a written batch visible to readers."""
        for number, payload in enumerate(batch.payloads, batch.first_number):
            self.index.apply(payload, number)
            self.last_record_number = number

    def commit(self, *transactions: Transaction) -> None:
        """Prepare, write and apply transactions, then raise the first error of a rejected transaction."""
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
        """Return the size of the log and the checkpoint in bytes."""
        return self.log.total_bytes + self.checkpoint.size_bytes

    def needs_compaction(self) -> bool:
        """Return whether the log exceeds its limit and no compaction is in progress."""
        return self.compaction is None and self.log.total_bytes > self.limits.log_bytes

    def compact(self, may_continue: Callable[[], bool] = lambda: True) -> bool:
        """Write a checkpoint and remove redundant files, in steps for as long as `may_continue` returns True.

        Returns True once the compaction is complete; otherwise the next call continues it. Raises
        StoreFailedError after a disk error.
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
            self.failure = f"the disk failed during a compaction ({error}); reopen the store"
            raise StoreFailedError(self.failure) from error
        self.compaction = None
        return True

    def close(self) -> None:
        """Close the files and release the lock."""
        self.log.files.close()

    def status(self) -> dict[str, int | str]:
        """Return figures for logs and `onyxwick store` under their published names."""
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
