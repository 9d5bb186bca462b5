"""Tests of the store: transactions, snapshots, damaged files, crashes and failing disks.

Damage covers every truncation and a flipped bit in every byte; crashes cover every file call with writes in
any order. Bugs planted on purpose must be detected.
"""

from __future__ import annotations

import random
from pathlib import Path

import pytest
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from onyxwick.store import (
    StoreBusyError,
    StoreEngine,
    StoreError,
    StoreFailedError,
    StoreFullError,
    StoreLimits,
    StoreUnusableError,
    Transaction,
    VersionConflictError,
    WriteOperation,
    records,
)
from onyxwick.store.files import DiskFiles
from tests.faulty_files import FaultyFiles, PowerLoss

SMALL = StoreLimits(segment_bytes=700, log_bytes=2000, total_bytes=1 << 20)
State = dict[str, bytes]


def put_one(key: str, value: bytes | None, version: int = -1) -> Transaction:
    return Transaction((WriteOperation(key, value, version),), "test", 1)


def rows_of(engine: StoreEngine) -> State:
    return dict(engine.scan())


def fill_store(files: FaultyFiles, count: int = 30, compact_at: int = -1) -> list[State]:
    """Commit some transactions to a new store and return its rows before them and after each of them."""
    engine = StoreEngine(files, SMALL)
    states = [rows_of(engine)]
    for n in range(count):
        ops = [
            WriteOperation(f"key-{n % 7}", b"v%d" % n * 3),
            WriteOperation(f"other-{n % 3}", None if n % 5 == 4 else b"x%d" % n),
        ]
        engine.commit(Transaction(tuple(ops), "test", n))
        states.append(rows_of(engine))
        if n == compact_at:
            engine.compact()
    engine.close()
    return states


# ---- transactions and snapshots -------------------------------------------------------------------------


def test_transactions_are_atomic_and_check_versions() -> None:
    engine = StoreEngine(FaultyFiles())
    engine.commit(put_one("a", b"1", 0))
    with pytest.raises(VersionConflictError, match="'b' has version 0, not 3"):
        engine.commit(Transaction((WriteOperation("a", b"2", 1), WriteOperation("b", b"1", 3))))
    assert rows_of(engine) == {"a": b"1"} and engine.version("a") == 1
    batch, errors = engine.prepare([put_one("a", b"2", 1), put_one("a", b"3", 1), put_one("a", b"4", 2)])
    assert [type(e) for e in errors] == [type(None), VersionConflictError, type(None)], (
        "each transaction of a batch is checked separately"
    )
    engine.write(batch)
    engine.apply(batch)
    assert engine.get("a") == b"4" and engine.version("a") == 3
    with pytest.raises(StoreError, match="occurs twice"):
        engine.commit(Transaction((WriteOperation("a", b"1"), WriteOperation("a", b"2"))))


def test_snapshots_are_unchanged_by_later_commits() -> None:
    engine = StoreEngine(FaultyFiles(), SMALL)
    for n in range(10):
        engine.commit(put_one(f"k{n}", b"old"))
    with engine.snapshot() as view, engine.snapshot() as again:
        for n in range(0, 10, 2):
            engine.commit(put_one(f"k{n}", None if n % 4 else b"new"))
        engine.commit(put_one("k99", b"new"))
        engine.compact()
        assert dict(view.scan("k")) == dict(again.scan("k")) == {f"k{n}": b"old" for n in range(10)}
        with engine.snapshot() as later:
            assert later.get("k99") == b"new" and later.get("k2") is None and later.get("k1") == b"old"
    assert not engine.index.older_entries and not engine.index.open_snapshots
    assert [k for k, _ in engine.scan("k9")] == ["k9", "k99"]


def test_the_size_limit_rejects_growth_and_allows_deletion() -> None:
    engine = StoreEngine(FaultyFiles(), StoreLimits(segment_bytes=500, log_bytes=1000, total_bytes=3000))
    with pytest.raises(StoreFullError, match=r"of 3000"):
        for n in range(100):
            engine.commit(put_one(f"k{n}", bytes(100)))
    for n in range(12):
        engine.commit(put_one(f"k{n}", None))
    assert engine.compact() and engine.total_bytes() < 2500
    engine.commit(put_one("again", bytes(100)))


def test_another_process_and_another_installation_are_rejected(tmp_path: Path) -> None:
    engine = StoreEngine(DiskFiles(tmp_path), expected_store_id=b"installation-one")
    engine.commit(put_one("a", b"1"))
    with pytest.raises(StoreBusyError):
        StoreEngine(DiskFiles(tmp_path))
    engine.close()
    with pytest.raises(StoreUnusableError, match="another installation"):
        StoreEngine(DiskFiles(tmp_path), expected_store_id=b"installation-two")
    again = StoreEngine(DiskFiles(tmp_path), expected_store_id=b"installation-one")
    assert rows_of(again) == {"a": b"1"}
    again.compact()
    again.close()
    assert rows_of(StoreEngine(DiskFiles(tmp_path))) == {"a": b"1"}


# ---- truncated files and flipped bits -------------------------------------------------------------------


def _opened(files: FaultyFiles) -> State | None:
    """Return the store's rows, or None if it refuses to open. Any other error fails the test."""
    try:
        return rows_of(StoreEngine(files, SMALL))
    except StoreUnusableError as error:
        assert len(str(error)) > 20, "the message states which data may be lost"
        return None


@pytest.mark.parametrize("compact_at", [-1, 17])
def test_files_truncated_at_every_byte_lose_nothing_unnoticed(compact_at: int) -> None:
    files = FaultyFiles()
    last = fill_store(files, compact_at=compact_at)[-1]
    tried = refused = 0
    for name in files.names():
        for size in range(len(files.read(name))):
            cut = files.copy()
            del cut.entries[name].now[size:]
            found = _opened(cut)
            assert found in (None, last), (name, size)
            tried, refused = tried + 1, refused + (found is None)
        without_file = files.copy()
        del without_file.entries[name]
        assert _opened(without_file) in (None, last), name
    assert tried > 2000 and 0.05 < refused / tried < 1


@pytest.mark.parametrize("compact_at", [-1, 17])
def test_a_flipped_bit_at_every_byte_loses_nothing_unnoticed(compact_at: int) -> None:
    files = FaultyFiles()
    last, tried, rng = fill_store(files, 20, compact_at)[-1], 0, random.Random(3)
    for name in files.names():
        for position in range(len(files.read(name))):
            flipped = files.copy()
            flipped.entries[name].now[position] ^= 1 << rng.randrange(8)
            assert _opened(flipped) in (None, last), (name, position)
            tried += 1
    assert tried > 1500


# ---- crashes --------------------------------------------------------------------------------------------


def _run(files: FaultyFiles, states: list[State], ignored: str = "") -> None:
    """Commit transactions with a compaction in between.

    Appends to `states` the expected rows before each commit is attempted and again once it is acknowledged.
    When a crash interrupts a commit, the last entry is the attempted state.
    """
    if ignored:
        files.ignored_calls.add(ignored)
    engine = StoreEngine(files, SMALL)
    state: State = {}
    for n in range(14):
        new = state | {f"k{n % 5}": b"value %d" % n * 20}
        states.append(new)
        engine.commit(put_one(f"k{n % 5}", new[f"k{n % 5}"]))
        state = new
        states.append(state)
        if n == 8:
            while not engine.compact(lambda: False):
                state = state | {"during": b"compaction"}
                states.append(state)
                engine.commit(put_one("during", b"compaction"))
                states.append(state)
    engine.close()


def _survives(files: FaultyFiles, rng: random.Random, before: list[State]) -> bool:
    """Return whether a crash left the last acknowledged state or the complete attempted state."""
    found = rows_of(StoreEngine(files.after_crash(rng), SMALL))
    return found in (before[-2:] if len(before) > 1 else [{}, *before])


def test_a_crash_at_every_call_with_writes_in_any_order_loses_nothing_acknowledged() -> None:
    complete_run = FaultyFiles()
    _run(complete_run, [])
    tried = 0
    for call_number in range(1, complete_run.calls + 1):
        for seed in range(12):
            files, before = FaultyFiles(), list[State]()
            files.crash_at_call = call_number
            with pytest.raises(PowerLoss):
                _run(files, before)
            assert _survives(files, random.Random(seed), before or [{}]), (call_number, seed, files.log[-1])
            tried += 1
    assert tried == 12 * complete_run.calls > 800


@pytest.mark.parametrize("bug", ["sync", "sync_folder"])
def test_planted_bugs_are_caught(bug: str) -> None:
    """Without `sync`, records are acknowledged before they are durable. Without `sync_folder`, a compaction
    may remove the old log before the new names are durable.
    """
    complete_run = FaultyFiles()
    _run(complete_run, [], bug)
    caught = 0
    for call_number in range(1, complete_run.calls + 1):
        files, before = FaultyFiles(), list[State]()
        files.crash_at_call = call_number
        with pytest.raises(PowerLoss):
            _run(files, before, bug)
        try:
            caught += not _survives(files, random.Random(call_number), before or [{}])
        except StoreUnusableError:
            caught += 1
    assert caught > 0


def test_a_checksum_that_covers_less_than_the_length_is_caught(monkeypatch: pytest.MonkeyPatch) -> None:
    import crc32c

    monkeypatch.setattr(records, "_record_checksum", lambda number, payload: crc32c.crc32c(payload[:16]))
    files = FaultyFiles()
    last = fill_store(files, 12)[-1]
    found = []
    for name in [n for n in files.names() if n.startswith("log-")]:
        for position in range(len(files.read(name))):
            flipped = files.copy()
            flipped.entries[name].now[position] ^= 1
            try:
                found.append(rows_of(StoreEngine(flipped, SMALL)))
            except StoreUnusableError:
                continue
    assert any(state != last for state in found)


def test_repeated_crashes_during_recovery_lose_nothing() -> None:
    for seed in range(60):
        rng = random.Random(seed)
        files, before = FaultyFiles(), list[State]()
        files.crash_at_call = rng.randrange(5, 70)
        with pytest.raises(PowerLoss):
            _run(files, before)
        for _ in range(3):
            files = files.after_crash(rng)
            files.crash_at_call = rng.randrange(1, 4)
            try:
                StoreEngine(files, SMALL)
            except PowerLoss:
                continue
        assert _survives(files, rng, before or [{}]), seed


# ---- disks that fail ------------------------------------------------------------------------------------


@pytest.mark.parametrize("call", ["sync", "write"])
def test_after_a_failed_call_nothing_more_is_acknowledged(call: str) -> None:
    files = FaultyFiles()
    engine = StoreEngine(files, SMALL)
    engine.commit(put_one("a", b"1"))
    files.failing_calls.add(call)
    with pytest.raises(StoreFailedError):
        engine.commit(put_one("a", b"2"))
    files.failing_calls.clear()
    with pytest.raises(StoreFailedError, match="reopen the store"):
        engine.commit(put_one("a", b"3"))
    with pytest.raises(StoreFailedError):
        engine.compact()
    assert engine.get("a") == b"1", "readers see acknowledged values only"
    files.close()
    assert rows_of(StoreEngine(files, SMALL))["a"] in (b"1", b"2")


def test_a_full_disk_and_a_partial_write_lose_nothing() -> None:
    for free_bytes in range(300, 2500, 37):
        files, done, tried = FaultyFiles(), State(), State()
        files.free_bytes = free_bytes
        try:
            engine = StoreEngine(files, SMALL)
            for n in range(50):
                tried = {f"k{n % 4}": b"%d" % n * 9}
                engine.commit(put_one(*next(iter(tried.items()))))
                done |= tried
        except (StoreFailedError, OSError):
            pass
        files.close()
        found = rows_of(StoreEngine(files.after_crash(random.Random(free_bytes)), SMALL))
        # All acknowledged commits are present; the attempted one is present completely or not at all.
        assert found in (done, done | tried), free_bytes


# ---- against a model ------------------------------------------------------------------------------------


class StoreAgainstModel(RuleBasedStateMachine):
    """Compares the store with a dictionary. After a crash, an unacknowledged commit may be present or not."""

    def __init__(self) -> None:
        super().__init__()
        self.files, self.model = FaultyFiles(), State()
        self.engine = StoreEngine(self.files, SMALL)

    @rule(key=st.sampled_from("abcde"), value=st.one_of(st.none(), st.binary(max_size=200)))
    def change(self, key: str, value: bytes | None) -> None:
        self.engine.commit(put_one(key, value))
        if value is None:
            self.model.pop(key, None)
        else:
            self.model[key] = value

    @rule()
    def compact(self) -> None:
        self.engine.compact()

    @rule(steps=st.integers(0, 2))
    def compact_a_little(self, steps: int) -> None:
        for _ in range(steps):
            self.engine.compact(lambda: False)

    @rule(seed=st.integers(0, 1 << 30))
    def lose_power(self, seed: int) -> None:
        self.files = self.files.after_crash(random.Random(seed))
        self.engine = StoreEngine(self.files, SMALL)

    @precondition(lambda self: not self.engine.failure)
    @rule(call=st.integers(1, 3), key=st.sampled_from("abcde"), seed=st.integers(0, 1 << 30))
    def lose_power_in_a_commit(self, call: int, key: str, seed: int) -> None:
        self.files.crash_at_call = self.files.calls + call
        try:
            self.engine.commit(put_one(key, b"torn"))
            self.model[key] = b"torn"
            self.files.crash_at_call = -1
        except PowerLoss:
            self.files = self.files.after_crash(random.Random(seed))
            self.engine = StoreEngine(self.files, SMALL)
            if rows_of(self.engine) == self.model | {key: b"torn"}:
                self.model[key] = b"torn"

    @invariant()
    def store_equals_model(self) -> None:
        assert rows_of(self.engine) == self.model


StoreAgainstModel.TestCase.settings = settings(
    max_examples=60,
    stateful_step_count=25,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)
TestMachine = StoreAgainstModel.TestCase


def test_an_internal_error_fails_its_callers_and_all_later_ones(tmp_path: Path) -> None:
    """An error that is not a disk error must also fail the commit, so that no caller waits forever."""
    import asyncio

    from onyxwick.store.committer import Committer

    engine = StoreEngine(DiskFiles(tmp_path))
    broken = iter([True])

    def prepare(transactions: object) -> object:
        if next(broken, False):
            raise RuntimeError("planted")
        return StoreEngine.prepare(engine, transactions)  # type: ignore[arg-type]

    engine.prepare = prepare  # type: ignore[assignment,method-assign]

    async def scenario() -> list[str]:
        committer = Committer(engine)
        results = []
        for n in range(2):
            try:
                await asyncio.wait_for(committer.commit(put_one(f"k{n}", b"v")), 5)
                results.append("done")
            except StoreFailedError as error:
                results.append(str(error).split(" (")[0])
        await asyncio.wait_for(committer.close(), 5)
        return results

    assert asyncio.run(scenario()) == ["internal error in the store", "internal error in the store"]
