"""What writers hand to the store: operations on keys, grouped into transactions, grouped into batches.

A transaction is checked against the versions of its keys before anything is written; the result is the
payload of its log record. Sizes are in bytes, times in Unix microseconds.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from onyxwick.store.errors import InvalidTransactionError, VersionConflictError
from onyxwick.store.records import MAX_PAYLOAD_BYTES, RecordPayload, StoredOperations

ANY_VERSION = -1
"""An expected version that matches every version."""
MAX_KEY_CHARACTERS = 1024
MAX_TRANSACTION_BYTES = MAX_PAYLOAD_BYTES // 2


@dataclass(frozen=True, slots=True)
class StoreLimits:
    """Sizes in bytes: of one log segment, of the log since the last checkpoint, of the store."""

    segment_bytes: int = 8 << 20
    log_bytes: int = 64 << 20
    total_bytes: int = 512 << 20


@dataclass(frozen=True, slots=True)
class WriteOperation:
    """Set a key to a value, or delete it with None. `expected_version` is compared first (0: no value)."""

    key: str
    value: bytes | None
    expected_version: int = ANY_VERSION


@dataclass(frozen=True, slots=True)
class Transaction:
    """Operations that are done together or not at all; author and time are kept in the log."""

    operations: tuple[WriteOperation, ...]
    author: str = ""
    at_us: int = 0


@dataclass(slots=True)
class WriteBatch:
    """Transactions on their way to the disk as one write; `first_number` is the first record's number."""

    data: bytes = b""
    payloads: list[RecordPayload] = field(default_factory=list)
    first_number: int = 0


def check_transaction(transaction: Transaction, version_of: Callable[[str], int]) -> RecordPayload:
    """The payload with the versions that the transaction makes.

    Raises InvalidTransactionError, or VersionConflictError where a version is not the expected one.
    """
    operations: StoredOperations = []
    keys: set[str] = set()
    for operation in transaction.operations:
        key = operation.key
        if not key or len(key) > MAX_KEY_CHARACTERS or key in keys:
            raise InvalidTransactionError(
                f"key {key[:64]!r} cannot be used, or stands twice in a transaction"
                f" (1 to {MAX_KEY_CHARACTERS} characters, once each)"
            )
        keys.add(key)
        version = version_of(key)
        if operation.expected_version not in (ANY_VERSION, version):
            raise VersionConflictError(key, operation.expected_version, version)
        operations.append((key, operation.value, version + 1 if operation.value is not None else 0))
    size = payload_bytes(operations)
    if size > MAX_TRANSACTION_BYTES:
        raise InvalidTransactionError(
            f"a transaction of {size} bytes is too large, {MAX_TRANSACTION_BYTES} at most"
        )
    return RecordPayload(transaction.at_us, transaction.author, operations)


def payload_bytes(operations: StoredOperations) -> int:
    """Bytes of keys and values."""
    return sum(len(key) + len(value or b"") for key, value, _ in operations)
