"""Errors of the embedded store."""

from __future__ import annotations

from onyxwick.errors import OnyxwickError


class StoreError(OnyxwickError):
    """The store cannot do what was asked."""


class StoreUnusableError(StoreError):
    """The files cannot be opened without the risk of data loss; the message says what may be lost."""


class StoreBusyError(StoreError):
    """Another process has the store open."""


class InvalidTransactionError(StoreError):
    """A transaction has an unusable key, names a key twice or is too large; nothing of it was done."""


class VersionConflictError(StoreError):
    """A compare-and-set found another version; nothing of the transaction was done."""

    def __init__(self, key: str, expected: int, found: int) -> None:
        super().__init__(f"'{key}' has version {found}, not {expected}")
        self.key = key
        self.expected = expected
        self.found = found


class StoreFullError(StoreError):
    """The limit on the store's size is reached; deletions and compaction are still possible."""

    def __init__(self, size_bytes: int, limit_bytes: int) -> None:
        super().__init__(f"the store holds {size_bytes} bytes of {limit_bytes}")
        self.size_bytes = size_bytes
        self.limit_bytes = limit_bytes


class StoreFailedError(StoreError):
    """The disk failed: nothing more is acknowledged until the store is opened again."""


class StoreOverloadedError(StoreError):
    """Too many commits are pending; nothing was done."""
