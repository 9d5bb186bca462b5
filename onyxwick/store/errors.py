"""Errors of the embedded store."""

from __future__ import annotations

from onyxwick.errors import OnyxwickError


class StoreError(OnyxwickError):
    """Base class of the store's errors."""


class StoreUnusableError(StoreError):
    """The files cannot be opened without risk of data loss; the message states which data may be lost."""


class SecretUnreadableError(StoreUnusableError):
    """No key of the key file decrypts a row's secret."""


class StoreBusyError(StoreError):
    """Another process has the store open."""


class InvalidTransactionError(StoreError):
    """A transaction has an invalid key, contains a key twice or is too large; no part of it was applied."""


class VersionConflictError(StoreError):
    """A compare-and-set found another version; no part of the transaction was applied."""

    def __init__(self, key: str, expected: int, found: int) -> None:
        super().__init__(f"'{key}' has version {found}, not {expected}")
        self.key = key
        self.expected = expected
        self.found = found


class StoreFullError(StoreError):
    """The store has reached its size limit; deletions and compaction are still possible."""

    def __init__(self, size_bytes: int, limit_bytes: int) -> None:
        super().__init__(f"the store is full: {size_bytes} bytes of {limit_bytes}")
        self.size_bytes = size_bytes
        self.limit_bytes = limit_bytes


class StoreFailedError(StoreError):
    """The store failed or is closed; no commit is acknowledged until the store is reopened."""


class StoreOverloadedError(StoreError):
    """Too many commits are pending; no part of the transaction was applied."""
