"""A small embedded store: a log, an index in memory, checkpoints and recovery.

Names other than errors are loaded on first use: a caller that only catches errors loads no library.
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
