"""Commits of many at once: what comes while the disk is busy goes out together in the next write."""

from __future__ import annotations

import asyncio
import time
from collections import deque
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass

from onyxwick import logs
from onyxwick.store.engine import StoreEngine, Transaction, WriteBatch
from onyxwick.store.errors import StoreError, StoreFailedError

log = logs.get()
MOST_BATCH = 256  # transactions in one write
MOST_WAITING = 4096  # over it a commit is refused at once
COMPACT_SHARE = 0.2  # of the time that may go to compaction
COMPACT_SLICE_S = 0.005  # of one step, between which commits go on


class StoreOverloadedError(StoreError):
    """Too many commits wait; nothing was done."""


@dataclass(slots=True)
class PendingCommit:
    transaction: Transaction
    done: asyncio.Future[None]
    since: float


class Committer:
    """The one writer of an engine inside an event loop. The disk is waited for in a thread of its own; the
    index is touched in the loop alone, so that readers need no lock."""

    def __init__(self, engine: StoreEngine, clock: Callable[[], float] = time.monotonic) -> None:
        self.engine, self.clock = engine, clock
        self.waiting: deque[PendingCommit] = deque()
        self.more = asyncio.Event()
        self.disk = ThreadPoolExecutor(1, "store")
        self.commits = self.batches = 0
        self.slowest_s = 0.0
        self.compact_s = 0.0
        self.began = clock()
        self.task = asyncio.get_running_loop().create_task(self._run())

    async def commit(self, transaction: Transaction) -> None:
        """Returns once it is durable. Conflict, Full, Failed, Overloaded: nothing of it was done (after
        Failed it may or may not be found when the store is opened again)."""
        if len(self.waiting) >= MOST_WAITING:
            raise StoreOverloadedError(f"{MOST_WAITING} commits wait")
        if self.task.done():
            raise StoreFailedError("the store is closed")
        entry = PendingCommit(transaction, asyncio.get_running_loop().create_future(), self.clock())
        self.waiting.append(entry)
        self.more.set()
        await entry.done

    async def _run(self) -> None:
        try:
            await self._serve()
        finally:
            # However the writer ends, nobody is left waiting: what waits was not written.
            for entry in self.waiting:
                _settle(entry, StoreFailedError("the store is closed"))
            self.waiting.clear()

    async def _serve(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            if not self.waiting:
                if self._may_compact():
                    await self._compact(loop)
                    continue
                self.more.clear()
                await self.more.wait()
            batch = [self.waiting.popleft() for _ in range(min(MOST_BATCH, len(self.waiting)))]
            await self._write(loop, batch)
            if self._may_compact():
                await self._compact(loop)

    async def _write(self, loop: asyncio.AbstractEventLoop, entries: list[PendingCommit]) -> None:
        try:
            batch, errors = self.engine.prepare([entry.transaction for entry in entries])
            await loop.run_in_executor(self.disk, self.engine.write, batch)
            self.engine.finish(batch)
        except StoreError as failure:
            for entry in entries:
                _settle(entry, failure)
            return
        except Exception as error:
            # An error of the store's own: what reached the disk and what the index holds are not known, so,
            # as after an error of the disk, nothing more is acknowledged.
            log.exception("error in a commit")
            self.engine.failed = f"an error of the store's own ({error!r}); open the store anew"
            for entry in entries:
                _settle(entry, StoreFailedError(self.engine.failed))
            return
        now = self.clock()
        for entry, refused in zip(entries, errors, strict=True):
            _settle(entry, refused)
            self.slowest_s = max(self.slowest_s, now - entry.since)
        self.commits += sum(refused is None for refused in errors)
        self.batches += 1

    def _may_compact(self) -> bool:
        """Is there something to compact, and has compaction not had its share of the time?"""
        engine = self.engine
        if engine.failed or not (engine.job is not None or engine.wants_compaction()):
            return False
        return self.compact_s <= COMPACT_SHARE * max(0.05, self.clock() - self.began)

    async def _compact(self, loop: asyncio.AbstractEventLoop) -> None:
        begun = self.clock()
        try:
            done = await loop.run_in_executor(
                self.disk, self.engine.compact, lambda: self.clock() - begun < COMPACT_SLICE_S
            )
        except StoreError as error:
            log.error("compaction failed", error=str(error))
            done = True
        self.compact_s += self.clock() - begun
        if done:
            log.info("store compacted", **{k: v for k, v in self.engine.state().items() if k != "store"})
            self.compact_s, self.began = 0.0, self.clock()
        await asyncio.sleep(0)

    async def close(self) -> None:
        """What waits is done first, then the files are closed."""
        while self.waiting and not self.task.done():
            await asyncio.sleep(0.001)
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)
        self.disk.shutdown(wait=True)
        self.engine.close()

    def metrics(self) -> dict[str, float]:
        return {
            "commits": self.commits,
            "batches": self.batches,
            "waiting": len(self.waiting),
            "slowest_ms": round(self.slowest_s * 1000, 2),
            "log_bytes": sum(self.engine.sizes.values()),
            "keys": len(self.engine.index),
        }


def _settle(entry: PendingCommit, error: StoreError | None) -> None:
    if entry.done.done():
        return
    if error is None:
        entry.done.set_result(None)
    else:
        entry.done.set_exception(error)


__all__ = ["Committer", "StoreOverloadedError", "WriteBatch"]
