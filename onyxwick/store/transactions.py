"""The write operations that writers pass to the store, grouped into transactions and batches.

A transaction is checked against the versions of its keys before it is written; the result is the payload of
its log record. Sizes are in bytes, times in Unix microseconds.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NamedTuple

from onyxwick.store.errors import InvalidTransactionError, StoreError, VersionConflictError
from onyxwick.store.records import MAX_PAYLOAD_BYTES, RecordPayload, StoredOperations

ANY_VERSION = -1
"""Expected version that matches every version."""
MAX_KEY_CHARACTERS = 1024
MAX_TRANSACTION_BYTES = MAX_PAYLOAD_BYTES // 2


@dataclass(frozen=True, slots=True)
class StoreLimits:
    """Size limits in bytes: of one log segment, of the log since the last checkpoint, of the whole store."""

    segment_bytes: int = 8 << 20
    log_bytes: int = 64 << 20
    total_bytes: int = 512 << 20


@dataclass(frozen=True, slots=True)
class WriteOperation:
    """Sets a key to a value, or deletes it if `value` is None.

    `expected_version` is compared with the key's version first; 0 means that the key must not exist.
    """

    key: str
    value: bytes | None
    expected_version: int = ANY_VERSION


@dataclass(frozen=True, slots=True)
class Transaction:
    """Operations that are applied atomically. The author and the time are recorded in the log."""

    operations: tuple[WriteOperation, ...]
    author: str = ""
    at_us: int = 0


@dataclass(slots=True)
class WriteBatch:
    """Transactions that are written to disk together. `first_number` is the number of the first record."""

    data: bytes = b""
    payloads: list[RecordPayload] = field(default_factory=list)
    first_number: int = 0


class PreparedBatch(NamedTuple):
    """A batch of the valid transactions, and for each transaction its error or None."""

    batch: WriteBatch
    errors: list[StoreError | None]


def check_transaction(transaction: Transaction, version_of: Callable[[str], int]) -> RecordPayload:
    """Check a transaction and return its payload with the new versions of the keys.

    Raises InvalidTransactionError for an invalid transaction, and VersionConflictError if a key does not have
    the expected version.
    """
    operations: StoredOperations = []
    keys: set[str] = set()
    for operation in transaction.operations:
        key = operation.key
        if not key or len(key) > MAX_KEY_CHARACTERS or key in keys:
            raise InvalidTransactionError(
                f"key {key[:64]!r} is invalid or occurs twice in a transaction"
                f" (keys have 1 to {MAX_KEY_CHARACTERS} characters)"
            )
        keys.add(key)
        version = version_of(key)
        if operation.expected_version not in (ANY_VERSION, version):
            raise VersionConflictError(key, operation.expected_version, version)
        operations.append((key, operation.value, version + 1 if operation.value is not None else 0))
    size = payload_bytes(operations)
    if size > MAX_TRANSACTION_BYTES:
        raise InvalidTransactionError(
            f"the transaction has {size} bytes, but at most {MAX_TRANSACTION_BYTES} are allowed"
        )
    return RecordPayload(transaction.at_us, transaction.author, operations)


def payload_bytes(operations: StoredOperations) -> int:
    """Return the size of the keys and values of some operations in bytes."""
    return sum(len(key) + len(value or b"") for key, value, _ in operations)
