"""The store itself: log, index, snapshots, checkpoints. Every file call goes through `Files`; no clock of
its own.

Layout: `log-N` segments, `checkpoint-N` (everything up to record N), `mark` (acknowledged up to), `lock`. A
commit is acknowledged when its records are synced and, after that, the mark that covers them: a crash
between the two leaves records that nobody was promised, which are kept.
"""

from __future__ import annotations

import itertools
import secrets
from collections.abc import Callable, Iterator, Sequence
from contextlib import contextmanager
from dataclasses import dataclass, field
from typing import Any

from sortedcontainers import SortedDict

from onyxwick.store import records as r
from onyxwick.store.errors import (
    StoreError,
    StoreFailedError,
    StoreFullError,
    StoreUnusableError,
    VersionConflictError,
)
from onyxwick.store.files import Files

ANY = -1  # of a version: whatever it is
PART_ROWS = 256  # rows of a checkpoint written in one step
MOST_KEY = 1024


@dataclass(frozen=True, slots=True)
class StoreLimits:
    """Bounds in bytes: of one segment, of the log beyond the last checkpoint, of everything."""

    segment: int = 8 << 20
    log: int = 64 << 20
    total: int = 512 << 20


@dataclass(frozen=True, slots=True)
class WriteOperation:
    """Set a key to a value, or with None delete it. `version`: what it must have now (0: none; ANY)."""

    key: str
    value: bytes | None
    version: int = ANY


@dataclass(frozen=True, slots=True)
class Transaction:
    """Several keys at once, whole or not at all; who did it, and when, is kept in the log."""

    ops: tuple[WriteOperation, ...]
    by: str = ""
    at_us: int = 0


@dataclass(slots=True)
class IndexEntry:
    value: bytes | None
    version: int
    number: int  # of the record that made it


@dataclass(slots=True)
class WriteBatch:
    """Transactions on their way to the disk."""

    data: bytes = b""
    payloads: list[r.RecordPayload] = field(default_factory=list)
    first: int = 0


class StoreSnapshot:
    """The store as it was at one record, while writers go on."""

    def __init__(self, engine: StoreEngine, number: int) -> None:
        self.engine, self.number = engine, number

    def get(self, key: str) -> bytes | None:
        entry = self.engine.at(key, self.number)
        return entry.value if entry is not None else None

    def scan(self, prefix: str = "") -> Iterator[tuple[str, bytes]]:
        for key in list(self.engine.keys(prefix)):
            value = self.get(key)
            if value is not None:
                yield key, value


class StoreEngine:
    """An open store. Refused where opening it could forget something."""

    def __init__(self, files: Files, limits: StoreLimits | None = None, store: bytes | None = None) -> None:
        self.files, self.limits = files, limits or StoreLimits()
        self.index: SortedDict[str, IndexEntry] = SortedDict()
        self.older: dict[str, list[IndexEntry]] = {}  # entries that a snapshot may still ask for
        self.snapshots: dict[int, int] = {}  # number: how many hold it
        self.number = 0  # of the last record
        self.acknowledged = 0
        self.turn = 0
        self.failed = ""
        self.segment, self.segment_size = 0, 0
        self.sizes: dict[str, int] = {}
        self.checkpoint_at = 0
        self.log_bytes = 0
        self.written = self.asked = 0  # bytes, for the write amplification
        self.torn = 0  # bytes behind the mark that a crash had torn
        self.job: Iterator[int] | None = None
        self.store = b""
        files.lock()
        try:
            self._open(store)
        except BaseException:  # who refuses to open keeps nobody else out
            files.close()
            raise

    # ---- opening ----------------------------------------------------------------------------------------

    def _open(self, wanted: bytes | None) -> None:
        names = set(self.files.names())
        for name in [n for n in names if n.endswith(".tmp")]:  # a checkpoint that was never finished
            self.files.remove(name)
            names.discard(name)
        segments = sorted((_number_of(n), n) for n in names if n.startswith("log-"))
        checkpoints = sorted(((_number_of(n), n) for n in names if n.startswith("checkpoint-")), reverse=True)
        marked = self._read_mark("mark" in names, bool(segments or checkpoints))
        if not segments and not checkpoints:
            return self._create(wanted, marked)
        # Taken in as a plain mapping and ordered once: a million ordered insertions would take seconds.
        plain: dict[str, IndexEntry] = {}
        self._load_checkpoint(checkpoints, bool(segments), plain)
        self._replay(segments, plain)
        self.index = SortedDict(plain)
        if wanted is not None and self.store != wanted:
            raise StoreUnusableError("this store belongs to another installation")
        if self.number < self.acknowledged:
            raise StoreUnusableError(
                f"records {self.number + 1} to {self.acknowledged} were acknowledged and are not there:"
                " drains, purges and configuration in them may be lost"
            )
        self._end_torn()
        return None

    def _read_mark(self, there: bool, others: bool) -> bool:
        slots = r.read_marks(self.files.read("mark")) if there else []
        if not slots:
            if others:
                raise StoreUnusableError("the mark of what was acknowledged is gone or does not hold")
            return False
        self.store, self.acknowledged, self.turn = max(slots, key=lambda slot: slot[2])
        return True

    def _create(self, wanted: bytes | None, marked: bool) -> None:
        if marked and self.acknowledged:
            raise StoreUnusableError(f"all {self.acknowledged} acknowledged records are gone")
        self.store = wanted or secrets.token_bytes(16)
        # The mark first: a log without it is refused, and an empty store without its log is made anew.
        for _ in range(2):
            self._write_mark(0)
        self.files.sync_folder()
        self._new_segment()

    def _load_checkpoint(
        self, found: list[tuple[int, str]], segments: bool, index: dict[str, IndexEntry]
    ) -> None:
        """The newest that holds. One that does not is passed over only if what it held is in the log still,
        which `_replay` finds out."""
        for number, name in found:
            data = self.files.read(name)
            try:
                store, upto, rows = r.read_checkpoint(data, name)
            except StoreUnusableError:
                if number == found[-1][0] and not segments:
                    raise
                continue
            self._same_store(store, name)
            self.number = self.checkpoint_at = upto
            self._checkpoint_bytes = len(data)
            for key, value, version in rows:
                index[key] = IndexEntry(value, version, upto)
            return

    def _same_store(self, store: bytes, name: str) -> None:
        if self.store and store != self.store:
            raise StoreUnusableError(f"{name}: belongs to another store")
        self.store = store

    def _replay(self, segments: list[tuple[int, str]], index: dict[str, IndexEntry]) -> None:
        for place, (number, name) in enumerate(segments):
            last = place == len(segments) - 1
            if not last and self._needless(segments[place + 1][1]):
                continue  # a crash came before it was dropped: the checkpoint has all of it
            data = self.files.read(name)
            try:
                store, segment, before = r.read_segment_header(data, name)
            except StoreUnusableError:
                # A segment that was begun and never written to holds nothing that was promised.
                if last and self.number >= self.acknowledged and len(data) <= r.SEGMENT.size:
                    self.files.remove(name)
                    return
                raise
            self._same_store(store, name)
            if segment != number:
                raise StoreUnusableError(f"{name}: says that it is segment {segment}")
            if before > self.number:
                raise StoreUnusableError(f"records {self.number + 1} to {before} are missing before {name}")
            end = self._replay_one(data, before, index)
            self.segment, self.segment_size = segment, end
            self.sizes[name] = end
            self.log_bytes += end
            if end < len(data):
                self.torn += len(data) - end
                if not last and self.number < self._before_next(segments[place + 1][1]):
                    raise StoreUnusableError(
                        f"{name}: damaged behind record {self.number}, and more follows it"
                    )

    def _needless(self, following: str) -> bool:
        """Does the checkpoint hold all that lies before a segment?"""
        try:
            return self.checkpoint_at > 0 and self._before_next(following) <= self.checkpoint_at
        except StoreUnusableError:
            return False

    def _before_next(self, name: str) -> int:
        return r.read_segment_header(self.files.read(name), name)[2]

    def _replay_one(self, data: bytes, before: int, index: dict[str, IndexEntry]) -> int:
        """Take in a segment's records; where the last whole one ends."""
        end = r.SEGMENT.size
        for found in r.records(data, end, before):
            end = found.end
            if found.number <= self.number:
                continue  # the checkpoint has it
            if found.number != self.number + 1:
                raise StoreUnusableError(f"record {self.number + 1} is missing before {found.number}")
            for key, value, version in r.read_payload(found.payload, found.number).ops:
                if value is None:
                    index.pop(key, None)
                else:
                    index[key] = IndexEntry(value, version, found.number)
            self.number = found.number
        return end

    def _end_torn(self) -> None:
        """What a crash left behind the last whole record goes, so that nothing is ever written behind it."""
        if not self.segment:
            return self._new_segment()
        name = _log(self.segment)
        if self.torn:
            self.files.truncate(name, self.segment_size)
            self.files.sync(name)
        if self.acknowledged < self.number:
            # Whole and durable, though never acknowledged: they are the past now, so the mark takes them in.
            self.files.sync(name)
            self._write_mark(self.number)
        return None

    # ---- reading ----------------------------------------------------------------------------------------

    def get(self, key: str) -> bytes | None:
        entry = self.index.get(key)
        return entry.value if entry is not None else None

    def version(self, key: str) -> int:
        """How often a key was set; 0: never, or it was deleted."""
        entry = self.index.get(key)
        return entry.version if entry is not None else 0

    def keys(self, prefix: str = "") -> Iterator[str]:
        """In order; those that only a snapshot still knows included."""
        end = prefix + "\U0010ffff"
        merged = set(self.index.irange(prefix, end)) if self.older else None
        if merged is None:
            yield from self.index.irange(prefix, end)
            return
        yield from sorted(merged | {k for k in self.older if k.startswith(prefix)})

    def scan(self, prefix: str = "") -> Iterator[tuple[str, bytes]]:
        for key in self.index.irange(prefix, prefix + "\U0010ffff"):
            value = self.index[key].value
            if value is not None:
                yield key, value

    def at(self, key: str, number: int) -> IndexEntry | None:
        """A key's entry as of a record."""
        entry: IndexEntry | None = self.index.get(key)
        if entry is not None and entry.number <= number:
            return entry
        return next((e for e in reversed(self.older.get(key, [])) if e.number <= number), None)

    @contextmanager
    def snapshot(self) -> Iterator[StoreSnapshot]:
        number = self.number
        self.snapshots[number] = self.snapshots.get(number, 0) + 1
        try:
            yield StoreSnapshot(self, number)
        finally:
            self.snapshots[number] -= 1
            if not self.snapshots[number]:
                del self.snapshots[number]
                self._forget_older()

    def _forget_older(self) -> None:
        if not self.snapshots:
            self.older.clear()

    # ---- writing ----------------------------------------------------------------------------------------

    def prepare(self, transactions: Sequence[Transaction]) -> tuple[WriteBatch, list[StoreError | None]]:
        """One write for several transactions; each that cannot be done has its error, and no other is
        harmed."""
        if self.failed:
            raise StoreFailedError(self.failed)
        batch, errors = WriteBatch(first=self.number + 1), list[StoreError | None]()
        versions: dict[str, int] = {}
        parts: list[bytes] = []
        for transaction in transactions:
            try:
                payload = self._checked(transaction, versions, sum(map(len, parts)))
            except StoreError as error:
                errors.append(error)
                continue
            errors.append(None)
            versions |= {key: version for key, _, version in payload.ops}
            batch.payloads.append(payload)
            parts.append(r.record(batch.first + len(parts), r.encode(payload)))
        batch.data = b"".join(parts)
        return batch, errors

    def _checked(self, transaction: Transaction, versions: dict[str, int], waiting: int) -> r.RecordPayload:
        """The payload with the versions that it makes. Conflict, Full, or StoreError where it cannot be."""
        ops: r.Ops = []
        seen: set[str] = set()
        for op in transaction.ops:
            if not op.key or len(op.key) > MOST_KEY or op.key in seen:
                raise StoreError(f"key {op.key[:64]!r} cannot be used, or stands twice in a transaction")
            seen.add(op.key)
            now = versions.get(op.key, self.version(op.key))
            if op.version not in (ANY, now):
                raise VersionConflictError(op.key, op.version, now)
            ops.append((op.key, op.value, now + 1 if op.value is not None else 0))
        size = sum(len(key) + len(value or b"") for key, value, _ in ops)
        if size > r.MOST_PAYLOAD // 2:
            raise StoreError(f"a transaction of {size} bytes is too large")
        grows = any(value is not None for _, value, _ in ops)
        if grows and self.size() + waiting + size > self.limits.total:
            raise StoreFullError(f"the store holds {self.size()} bytes of {self.limits.total}")
        return r.RecordPayload(transaction.at_us, transaction.by, ops)

    def write(self, batch: WriteBatch) -> None:
        """Put a batch on the disk, durable when this returns. Failed after any error of the disk: what has
        reached it then is not known, so nothing more is acknowledged."""
        if self.failed:
            raise StoreFailedError(self.failed)
        if not batch.payloads:
            return
        try:
            if (
                self.segment_size + len(batch.data) > self.limits.segment
                and self.segment_size > r.SEGMENT.size
            ):
                self._new_segment()
            name = _log(self.segment)
            self.files.write(name, self.segment_size, batch.data)
            self.files.sync(name)
            self._write_mark(batch.first + len(batch.payloads) - 1)
        except OSError as error:
            self.failed = f"the disk failed ({error}); open the store anew"
            raise StoreFailedError(self.failed) from error
        self.segment_size += len(batch.data)
        self.sizes[name] = self.segment_size
        self.log_bytes += len(batch.data)
        self.written += len(batch.data) + r.MARK.size
        self.asked += sum(len(k) + len(v or b"") for p in batch.payloads for k, v, _ in p.ops)

    def finish(self, batch: WriteBatch) -> None:
        """Make a written batch seen by readers."""
        for number, payload in enumerate(batch.payloads, batch.first):
            self._apply(payload, number)
            self.number = number

    def commit(self, *transactions: Transaction) -> None:
        """Prepare, write and finish at once; the first error of a transaction is raised, after the others are
        done."""
        batch, errors = self.prepare(transactions)
        self.write(batch)
        self.finish(batch)
        for error in errors:
            if error is not None:
                raise error

    def _apply(self, payload: r.RecordPayload, number: int) -> None:
        for key, value, version in payload.ops:
            old = self.index.get(key)
            if self.snapshots:
                held = self.older.setdefault(key, [])
                held.append(old if old is not None else IndexEntry(None, 0, 0))
            if value is None:
                self.index.pop(key, None)
                if self.snapshots:  # a snapshot of later must not find what was deleted
                    self.older[key].append(IndexEntry(None, 0, number))
            else:
                self.index[key] = IndexEntry(value, version, number)

    def _write_mark(self, number: int) -> None:
        self.turn += 1
        slot = r.mark_slot(self.store, number, self.turn)
        self.files.write("mark", (self.turn % 2) * r.SLOT, slot)
        self.files.sync("mark")
        self.acknowledged = number

    def _new_segment(self) -> None:
        self.segment += 1
        name = _log(self.segment)
        header = r.segment_header(self.store, self.segment, self.number)
        self.files.write(name, 0, header)
        self.files.sync(name)
        self.files.sync_folder()
        self.segment_size = len(header)
        self.sizes[name] = len(header)

    # ---- checkpoints and compaction ---------------------------------------------------------------------

    def size(self) -> int:
        return sum(self.sizes.values()) + self._checkpoint_bytes

    _checkpoint_bytes = 0

    def wants_compaction(self) -> bool:
        return self.job is None and sum(self.sizes.values()) > self.limits.log

    def compact(self, budget: Callable[[], bool] = lambda: True) -> bool:
        """Write a checkpoint and drop what it makes needless, a step at a time while `budget` says so; True
        when it is done. A crash at any step loses nothing: what is dropped is dropped last."""
        if self.failed:
            raise StoreFailedError(self.failed)
        if self.job is None:
            self.job = self._compaction()
        try:
            for size in self.job:
                self.written += size
                if not budget():
                    return False
        except OSError as error:
            self.job = None
            self.failed = f"the disk failed in a compaction ({error}); open the store anew"
            raise StoreFailedError(self.failed) from error
        self.job = None
        return True

    def _compaction(self) -> Iterator[int]:
        """Steps, each giving the bytes that it wrote."""
        with self.snapshot() as view:
            # The log goes on in a new segment, so that the old ones can go whole.
            self._new_segment()
            kept = _log(self.segment)
            temporary, final = "checkpoint.tmp", f"checkpoint-{view.number:020d}"
            at, count, last = r.CHECKPOINT_SIZE, 0, ""
            self.files.write(temporary, 0, bytes(at))
            for n in itertools.count(1):
                keys = self._keys_after(last)
                if not keys:
                    break
                last, rows = keys[-1], self._rows(keys, view.number)
                part = r.record(n, r.encode(r.RecordPayload(0, "", rows)))
                self.files.write(temporary, at, part)
                at, count = at + len(part), count + len(rows)
                yield len(part)
            self.files.write(temporary, 0, r.checkpoint_header(self.store, view.number, count))
        self.files.sync(temporary)
        self.files.rename(temporary, final)
        self.files.sync_folder()  # without it the old log could be gone and the new name not be there
        self.checkpoint_at, self._checkpoint_bytes = view.number, at
        yield 0
        for name in self.files.names():
            old_log = name.startswith("log-") and name < kept
            if old_log or (name.startswith("checkpoint-") and name != final):
                self.files.remove(name)
                self.sizes.pop(name, None)
        self.files.sync_folder()
        self.log_bytes = sum(self.sizes.values())

    def _keys_after(self, last: str) -> list[str]:
        """The next part of all keys, those included that only a snapshot still knows."""
        keys = list(itertools.islice(self.index.irange(last, inclusive=(False, True)), PART_ROWS))
        held = [k for k in self.older if k > last and (len(keys) < PART_ROWS or k <= keys[-1])]
        return sorted({*keys, *held})

    def _rows(self, keys: list[str], number: int) -> r.Ops:
        entries = ((key, self.at(key, number)) for key in keys)
        return [(key, e.value, e.version) for key, e in entries if e is not None and e.value is not None]

    def close(self) -> None:
        self.files.close()

    def state(self) -> dict[str, Any]:
        return {
            "store": self.store.hex(),
            "records": self.number,
            "keys": len(self.index),
            "log_bytes": sum(self.sizes.values()),
            "checkpoint_at": self.checkpoint_at,
            "checkpoint_bytes": self._checkpoint_bytes,
            "segments": len(self.sizes),
            "torn_bytes": self.torn,
            "failed": self.failed,
        }


def _log(segment: int) -> str:
    return f"log-{segment:010d}"


def _number_of(name: str) -> int:
    digits = name.rpartition("-")[2]
    if not digits.isdigit():
        raise StoreUnusableError(f"{name}: is no file of this store")
    return int(digits)
