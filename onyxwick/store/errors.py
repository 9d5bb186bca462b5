"""What a store can say no with."""

from __future__ import annotations


class StoreError(Exception):
    """The store cannot do what was asked."""


class StoreUnusableError(StoreError):
    """The files cannot be opened without the risk of forgetting something; the text says what may be lost."""


class StoreBusyError(StoreError):
    """Another process has the store open."""


class VersionConflictError(StoreError):
    """A compare-and-set found another version; nothing of the transaction was done."""

    def __init__(self, key: str, wanted: int, found: int) -> None:
        super().__init__(f"'{key}' has version {found}, not {wanted}")
        self.key, self.wanted, self.found = key, wanted, found


class StoreFullError(StoreError):
    """The store's bound on size is reached; deletions and compaction are still possible."""


class StoreFailedError(StoreError):
    """The disk failed: nothing more is acknowledged until the store is opened anew."""
