"""Embedded key-value store with a write-ahead log, an in-memory index, checkpoints and crash recovery.

All names except the errors are imported on first use, so that a caller that only catches errors does not
load the libraries of the store.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from onyxwick.store.errors import (
    StoreBusyError,
    StoreError,
    StoreFailedError,
    StoreFullError,
    StoreUnusableError,
    VersionConflictError,
)

if TYPE_CHECKING:
    from onyxwick.store.engine import StoreEngine, StoreLimits, Transaction, WriteOperation

__all__ = [
    "StoreBusyError",
    "StoreEngine",
    "StoreError",
    "StoreFailedError",
    "StoreFullError",
    "StoreLimits",
    "StoreUnusableError",
    "Transaction",
    "VersionConflictError",
    "WriteOperation",
]


def __getattr__(name: str) -> Any:
    if name not in __all__:
        raise AttributeError(name)
    from onyxwick.store import engine

    return getattr(engine, name)
