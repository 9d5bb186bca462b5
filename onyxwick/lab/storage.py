"""The store's figures: durable commits a second beside sqlite3, opening, write amplification."""

from __future__ import annotations

import asyncio
import shutil
import sqlite3
import tempfile
import threading
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from hdrh.histogram import HdrHistogram

from onyxwick.store import StoreEngine, StoreLimits, Transaction, WriteOperation
from onyxwick.store.committer import Committer
from onyxwick.store.files import DiskFiles

VALUE = bytes(200)


def _shown(histogram: HdrHistogram, count: int, seconds: float) -> dict[str, Any]:
    quantile = histogram.get_value_at_percentile
    return {
        "commits_per_s": round(count / seconds),
        "p50_ms": round(quantile(50) / 1000, 2),
        "p99_ms": round(quantile(99) / 1000, 2),
    }


def ours(folder: Path, writers: int, seconds: float) -> dict[str, Any]:
    """Writers that each wait for their commit before the next one."""

    async def run() -> dict[str, Any]:
        committer = Committer(StoreEngine(DiskFiles(folder)))
        histogram, end = HdrHistogram(1, 60_000_000, 3), time.monotonic() + seconds
        count = 0

        async def writer(n: int) -> None:
            nonlocal count
            at = 0
            while time.monotonic() < end:
                begun = time.monotonic()
                await committer.commit(Transaction((WriteOperation(f"k{n}/{at % 1000}", VALUE),), "lab", at))
                histogram.record_value(max(1, int((time.monotonic() - begun) * 1e6)))
                count, at = count + 1, at + 1

        begun = time.monotonic()
        await asyncio.gather(*(writer(n) for n in range(writers)))
        out = _shown(histogram, count, time.monotonic() - begun)
        await committer.close()
        return out

    return asyncio.run(run())


def theirs(folder: Path, writers: int, seconds: float) -> dict[str, Any]:
    """The same with sqlite3, write-ahead log, synchronous=FULL: a connection and a thread for each writer."""
    path = folder / "x.sqlite"
    setup = sqlite3.connect(path)
    setup.execute("pragma journal_mode=wal")
    setup.execute("create table rows (key text primary key, value blob)")
    setup.close()
    histogram, lock, counts = HdrHistogram(1, 60_000_000, 3), threading.Lock(), [0] * writers
    end = time.monotonic() + seconds

    def writer(n: int) -> None:
        connection = sqlite3.connect(path, timeout=60, isolation_level=None)
        connection.execute("pragma synchronous=full")
        at = 0
        while time.monotonic() < end:
            begun = time.monotonic()
            connection.execute("insert or replace into rows values (?, ?)", (f"k{n}/{at % 1000}", VALUE))
            taken = int((time.monotonic() - begun) * 1e6)
            with lock:
                histogram.record_value(max(1, taken))
            at += 1
        counts[n] = at
        connection.close()

    threads = [threading.Thread(target=writer, args=(n,)) for n in range(writers)]
    begun = time.monotonic()
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return _shown(histogram, sum(counts), time.monotonic() - begun)


def _in_folder(parent: Path | None, run: Callable[[Path], dict[str, Any]]) -> dict[str, Any]:
    folder = Path(tempfile.mkdtemp(prefix="onyxwick-store-", dir=parent))
    try:
        return run(folder)
    finally:
        shutil.rmtree(folder)


def commits(parent: Path | None, seconds: float) -> list[dict[str, Any]]:
    """Both, in turn, at 1, 16 and 256 writers."""
    out = []
    for writers in (1, 16, 256):
        for name, run in (("onyxwick", ours), ("sqlite3", theirs)):
            told = _in_folder(parent, lambda folder, run=run, w=writers: run(folder, w, seconds))  # type: ignore[misc]
            out.append({"store": name, "writers": writers, **told})
    return out


def opening(parent: Path | None, count: int) -> dict[str, Any]:
    """Opening a store of so many records: from the log alone, and after a compaction."""

    def run(folder: Path) -> dict[str, Any]:
        limits = StoreLimits(segment_bytes=64 << 20, log_bytes=1 << 40, total_bytes=1 << 40)
        engine = StoreEngine(DiskFiles(folder), limits)
        for at in range(0, count, 2000):
            batch, _ = engine.prepare(
                [
                    Transaction((WriteOperation(f"key/{n:09d}", VALUE[:50]),), "lab", n)
                    for n in range(at, at + 2000)
                ]
            )
            engine.write(batch)
            engine.apply(batch)
        engine.close()
        begun = time.monotonic()
        engine = StoreEngine(DiskFiles(folder), limits)
        from_log, size = time.monotonic() - begun, engine.total_bytes()
        begun = time.monotonic()
        engine.compact()
        compacting = time.monotonic() - begun
        engine.close()
        begun = time.monotonic()
        StoreEngine(DiskFiles(folder), limits).close()
        return {
            "records": count,
            "log_mb": round(size / 1e6, 1),
            "open_from_log_s": round(from_log, 2),
            "compact_s": round(compacting, 2),
            "open_from_checkpoint_s": round(time.monotonic() - begun, 2),
        }

    return _in_folder(parent, run)


def amplification(parent: Path | None, overwrites: int) -> dict[str, Any]:
    """Bytes written for each byte asked for, under steady overwrites of 2,000 keys with compactions."""

    def run(folder: Path) -> dict[str, Any]:
        engine = StoreEngine(
            DiskFiles(folder), StoreLimits(segment_bytes=1 << 20, log_bytes=4 << 20, total_bytes=64 << 20)
        )
        compactions = 0
        for at in range(0, overwrites, 50):
            ops = [
                Transaction((WriteOperation(f"k{n % 2000}", VALUE),), "lab", n) for n in range(at, at + 50)
            ]
            batch, _ = engine.prepare(ops)
            engine.write(batch)
            engine.apply(batch)
            if engine.needs_compaction():
                engine.compact()
                compactions += 1
        told = {
            "overwrites": overwrites,
            "compactions": compactions,
            "size_mb": round(engine.total_bytes() / 1e6, 2),
        }
        engine.close()
        return {
            **told,
            "bytes_written_for_each_asked": round(engine.bytes_written / engine.bytes_requested, 2),
        }

    return _in_folder(parent, run)
