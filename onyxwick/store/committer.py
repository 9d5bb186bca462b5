"""Group commit: transactions that arrive while the disk is busy are written together in the next batch.

One task is the only writer of a store. Disk calls block a separate thread; the index is changed only in the
event loop, so that readers need no lock. Compaction runs between batches, in slices, for a bounded share of
the time. Times are in seconds of the clock that is passed in.
"""

from __future__ import annotations

import asyncio
import time
from collections import deque
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass

from onyxwick import logs
from onyxwick.store.engine import StoreEngine, Transaction
from onyxwick.store.errors import StoreError, StoreFailedError, StoreOverloadedError

__all__ = ["Committer", "StoreOverloadedError"]

log = logs.get()
MAX_BATCH_TRANSACTIONS = 256
MAX_PENDING_COMMITS = 4096
"""Maximum number of commits that wait to be written; further commits are rejected immediately."""
MAX_COMPACTION_SHARE = 0.2
"""Largest fraction of the time that compaction may use."""
MIN_COMPACTION_WINDOW_S = 0.05
COMPACTION_SLICE_S = 0.005
"""Longest duration of one compaction slice; pending commits are written between slices."""
CLOSE_POLL_S = 0.001


@dataclass(slots=True)
class PendingCommit:
    """A transaction with its caller's future. `submitted_at_s` is a time of the committer's clock."""

    transaction: Transaction
    future: asyncio.Future[None]
    submitted_at_s: float


class Committer:
    """The only writer of a store in an event loop. It must be created while the loop is running."""

    def __init__(self, engine: StoreEngine, clock: Callable[[], float] = time.monotonic) -> None:
        self.engine = engine
        self.clock = clock
        self.pending: deque[PendingCommit] = deque()
        self.work_available = asyncio.Event()
        self.disk_executor = ThreadPoolExecutor(1, "store")
        self.commit_count = 0
        self.batch_count = 0
        self.slowest_s = 0.0
        self.compaction_s = 0.0  # seconds spent on compaction since `window_started_at_s`
        self.window_started_at_s = clock()
        self.task = asyncio.get_running_loop().create_task(self._run())

    async def commit(self, transaction: Transaction) -> None:
        """Commit a transaction and return once it is durable.

        Raises VersionConflictError, StoreFullError, InvalidTransactionError or StoreOverloadedError if no
        part of it was applied; StoreFailedError if it may or may not be present when the store is reopened.
        """
        if len(self.pending) >= MAX_PENDING_COMMITS:
            raise StoreOverloadedError(f"{MAX_PENDING_COMMITS} commits are pending, which is the limit")
        if self.task.done():
            raise StoreFailedError("the store is closed")
        future = asyncio.get_running_loop().create_future()
        self.pending.append(PendingCommit(transaction, future, self.clock()))
        self.work_available.set()
        await future

    async def _run(self) -> None:
        try:
            await self._write_batches()
        finally:
            # Pending commits were not written. Their callers must be notified however the writer ends.
            for commit in self.pending:
                _resolve(commit, StoreFailedError("the store is closed"))
            self.pending.clear()

    async def _write_batches(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            if not self.pending:
                if self._may_compact():
                    await self._compact(loop)
                    continue
                self.work_available.clear()
                await self.work_available.wait()
            count = min(MAX_BATCH_TRANSACTIONS, len(self.pending))
            await self._write(loop, [self.pending.popleft() for _ in range(count)])
            if self._may_compact():
                await self._compact(loop)

    async def _write(self, loop: asyncio.AbstractEventLoop, commits: list[PendingCommit]) -> None:
        try:
            batch, errors = self.engine.prepare([commit.transaction for commit in commits])
            await loop.run_in_executor(self.disk_executor, self.engine.write, batch)
            self.engine.apply(batch)
        except StoreError as error:
            _resolve_all(commits, error)
            return
        except Exception as error:
            # This is a fault in the store's own code. It is unknown which changes reached the disk and the
            # index, so no further commit may be acknowledged, as after a disk error.
            log.exception("internal error in a commit")
            self.engine.failure = f"internal error in the store ({error!r}); reopen the store"
            _resolve_all(commits, StoreFailedError(self.engine.failure))
            return
        now = self.clock()
        for commit, rejection in zip(commits, errors, strict=True):
            _resolve(commit, rejection)
            self.slowest_s = max(self.slowest_s, now - commit.submitted_at_s)
        self.commit_count += sum(rejection is None for rejection in errors)
        self.batch_count += 1

    def _may_compact(self) -> bool:
        """Return whether a compaction is needed or in progress and is within its share of the time."""
        engine = self.engine
        if engine.failure or not (engine.compaction is not None or engine.needs_compaction()):
            return False
        window_s = max(MIN_COMPACTION_WINDOW_S, self.clock() - self.window_started_at_s)
        return self.compaction_s <= MAX_COMPACTION_SHARE * window_s

    async def _compact(self, loop: asyncio.AbstractEventLoop) -> None:
        started_at_s = self.clock()

        def is_within_slice() -> bool:
            return self.clock() - started_at_s < COMPACTION_SLICE_S

        try:
            done = await loop.run_in_executor(self.disk_executor, self.engine.compact, is_within_slice)
        except StoreError as error:
            log.error("compaction failed", error=str(error))
            done = True
        self.compaction_s += self.clock() - started_at_s
        if done:
            figures = {name: value for name, value in self.engine.status().items() if name != "store"}
            log.info("store compacted", **figures)
            self.compaction_s = 0.0
            self.window_started_at_s = self.clock()
        await asyncio.sleep(0)

    async def close(self) -> None:
        """Write the pending commits, then close the files."""
        while self.pending and not self.task.done():
            await asyncio.sleep(CLOSE_POLL_S)
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)
        self.disk_executor.shutdown(wait=True)
        self.engine.close()

    def metrics(self) -> dict[str, float]:
        """Return the store's metrics under their published names."""
        return {
            "commits": self.commit_count,
            "batches": self.batch_count,
            "waiting": len(self.pending),
            "slowest_ms": round(self.slowest_s * 1000, 2),
            "log_bytes": self.engine.log.total_bytes,
            "keys": len(self.engine.index),
        }


def _resolve(commit: PendingCommit, error: StoreError | None) -> None:
    if commit.future.done():
        return
    if error is None:
        commit.future.set_result(None)
    else:
        commit.future.set_exception(error)


def _resolve_all(commits: list[PendingCommit], error: StoreError) -> None:
    for commit in commits:
        _resolve(commit, error)
