"""A small embedded store: a log, an index, checkpoints and recovery beneath everything that must last.

Its names are loaded when they are asked for: who only needs an error's name loads no library.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from onyxwick.store.errors import StoreBusyError, VersionConflictError, StoreFailedError, StoreFullError, StoreUnusableError, StoreError

if TYPE_CHECKING:
    from onyxwick.store.engine import StoreEngine, StoreLimits, WriteOperation, Transaction

__all__ = [
    "StoreBusyError",
    "VersionConflictError",
    "StoreEngine",
    "StoreFailedError",
    "StoreFullError",
    "StoreLimits",
    "WriteOperation",
    "StoreUnusableError",
    "StoreError",
    "Transaction",
]


def __getattr__(name: str) -> Any:
    if name not in __all__:
        raise AttributeError(name)
    from onyxwick.store import engine

    return getattr(engine, name)
