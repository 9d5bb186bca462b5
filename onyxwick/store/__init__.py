"""A small embedded store: a log, an index, checkpoints and recovery beneath everything that must last."""

from onyxwick.store.engine import Engine, Limits, Op, Transaction
from onyxwick.store.errors import Busy, Conflict, Failed, Full, Refused, StoreError

__all__ = [
    "Busy",
    "Conflict",
    "Engine",
    "Failed",
    "Full",
    "Limits",
    "Op",
    "Refused",
    "StoreError",
    "Transaction",
]
