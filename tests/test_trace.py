"""The trace: whole requests or none, files cut and spoilt anywhere, clocks that disagree, rules judged."""

from __future__ import annotations

import json
import random
import signal
from collections.abc import Callable
from pathlib import Path
from typing import BinaryIO

import numpy as np
import pytest
import zstandard
from hypothesis import given, settings
from hypothesis import strategies as st

from onyxwick.cells import CellRouter
from onyxwick.interface import AnswerDetail, AttemptEnded, AttemptStatus, ForwardWithFill, RequestArrived
from onyxwick.lab.traces import CLASSES, RULES, START, Maker, TraceClock, make
from onyxwick.sites import SiteRouter
from onyxwick.trace import format as f
from onyxwick.trace.anonymise import Anonymiser
from onyxwick.trace.audit import Auditor
from onyxwick.trace.clocks import MonotonicClock, fit_clock
from onyxwick.trace.compare import compare, losses
from onyxwick.trace.decision_tracer import DelegatingRouter
from onyxwick.trace.explain import explain_request
from onyxwick.trace.export import json_lines, parquet
from onyxwick.trace.filter import TraceFilter, select_requests
from onyxwick.trace.merge import TraceFileWriter, merge_files
from onyxwick.trace.model import (
    ATTEMPT_COLUMNS,
    REQUEST_COLUMNS,
    DecisionReason,
    NotificationKind,
    RecordedVerdict,
    TraceDamagedError,
    TraceError,
)
from onyxwick.trace.reader import TraceReader, open_trace
from onyxwick.trace.recorder import MemberEstimate, RecordedBlock, Recorder, id_number
from onyxwick.trace.sink import SinkLimits, TraceFiles, TraceWriterThread
from onyxwick.trace.summary import Summary
from onyxwick.trace.table import StringTable, Table, concatenate
from tests.exchange import Exchange

S = 1_000_000
HEADER = f.FileHeader((1, 0), "n0", "ab", START, 0, CLASSES, RULES)


# Both distribute requests among routers, and are checked by mypy against what a tracer asks of them.
DELEGATING_ROUTERS: tuple[type[DelegatingRouter], ...] = (CellRouter, SiteRouter)


def _recorded(count: int = 40, blocks: list[RecordedBlock] | None = None) -> list[RecordedBlock]:
    out = blocks if blocks is not None else []

    def take(block: RecordedBlock) -> bool:
        out.append(block)
        return True

    recorder = Recorder(START, take, frozenset({"booking"}))
    for n in range(count):
        now, kind = START + n * 10_000, ("site-video", "job-sheet", "booking")[n % 3]
        request = f"{n + 1:016x}"
        recorder.on_request_arrived(
            now, RequestArrived(request, kind, f"{n % 7:016x}", 3 * S, object_group=n % 5, tenant="t1")
        )
        recorder.on_attempt_started(
            now,
            ForwardWithFill(request, "box-1", "parent-1", 1),
            MemberEstimate(DecisionReason.HOME_CACHE, 2, 1.0),
        )
        recorder.on_attempt_sent(request, 0, now + 500)
        end = AttemptEnded(request, 0, "box-1", AttemptStatus.OK, 9_000, True, AnswerDetail.HIT)
        recorder.on_attempt_ended(now + 9_000, end, now - S)
        recorder.on_final_answer(
            now + 9_100, request, RecordedVerdict.SERVED, DecisionReason.ANSWERED, 0, 100
        )
        if n % 16 == 15:
            recorder.flush(now)
    recorder.finish(START + S)
    return out


def _file(path: Path, blocks: list[RecordedBlock], index: bool = True) -> list[int]:
    """A file; where each block begins, and the end of the last one."""
    data, places, entries = f.encode_opening(HEADER), [], []
    for block in blocks:
        head, frame = block.encode()
        places.append(len(data))
        entries.append(f.BlockIndexEntry(len(data), len(frame), head))
        data += frame
    places.append(len(data))
    path.write_bytes(data + (f.encode_index(entries, len(data)) if index else b""))
    return places


def _ids(path: Path) -> tuple[list[int], TraceReader]:
    with open_trace(path) as trace:
        out = [int(n) for _, table in trace.tables(StringTable()) for n in table.requests["id"]]
    return out, trace


def test_what_is_recorded_is_read_back_and_explained(tmp_path: Path) -> None:
    _file(tmp_path / "a.owt", _recorded())
    ids, trace = _ids(tmp_path / "a.owt")
    assert ids == list(range(1, 41)) and trace.indexed and not trace.losses
    with open_trace(tmp_path / "a.owt") as again:
        (table,) = [
            t
            for t in select_requests(
                again, TraceFilter(request=f"{5:016x}"), StringTable(), notifications=False
            )
            if len(t)
        ]
    story = "\n".join(explain_request(table, 0))
    wanted = (
        "0000000000000005 of tenant t1",
        "box-1 was chosen, the first box",
        "Sent at 0.5 ms",
        "ok, a hit",
    )
    for words in (*wanted, "filled from parent-1 at rank 1", "It was served after 9.1 ms with 100 bytes"):
        assert words in story


def test_a_file_cut_at_every_byte_of_its_last_two_blocks_gives_all_before(tmp_path: Path) -> None:
    places = _file(tmp_path / "a.owt", _recorded(30))
    data, path = (tmp_path / "a.owt").read_bytes(), tmp_path / "cut.owt"
    tried = 0
    for size in range(places[-3], len(data)):
        path.write_bytes(data[:size])
        ids, trace = _ids(path)
        whole = sum(place <= size for place in places[1:])
        assert len(ids) == sum(b.head.lives for b in _BLOCKS[:whole]), size
        inside = size not in places and size < places[-1]
        assert trace.losses or not inside, "the loss is told"
        tried += 1
    assert tried > 1000


_BLOCKS = _recorded(30)
for _block in _BLOCKS:
    _block.encode()


def test_a_flipped_bit_in_each_part_of_a_block_loses_that_block_alone(tmp_path: Path) -> None:
    places = _file(tmp_path / "a.owt", _recorded(48), index=False)
    data, path, rng = (tmp_path / "a.owt").read_bytes(), tmp_path / "bit.owt", random.Random(5)
    sizes = [e.head.lives for e in open_trace(tmp_path / "a.owt").entries]
    for at in range(places[1], places[2], 3):
        spoilt = bytearray(data)
        spoilt[at] ^= 1 << rng.randrange(8)
        path.write_bytes(spoilt)
        ids, trace = _ids(path)
        assert len(ids) == sum(sizes) - sizes[1] and trace.losses, at


def _frame(magic: bytes, head: int, body: int, raw: int) -> bytes:
    return f.FRAME.pack(magic, head, body, raw, 0)


@pytest.mark.parametrize(
    "tail",
    [
        _frame(f.BLOCK, 10, 10, 0xFFFFFFFF),  # a block that claims 4 GB
        _frame(f.BLOCK, 0xFFFFFFFF, 10, 10),
        f.encode_frame(f.BLOCK, f.encode(f.BlockHead(lives=1 << 30)), b""),
        f.encode_frame(f.BLOCK, b"\x81" * 5000, b""),  # deep nesting
        f.encode_frame(f.BLOCK, f.encode(f.BlockHead(lives=1)), b"\x91" * 100_000),
        f.encode_frame(f.BLOCK, f.encode(f.BlockHead()), f.encode(f.BlockBody(["a"] * 70_000, {}, {}, []))),
        f.encode_frame(f.INDEX, b"", f.encode([f.BlockIndexEntry(1, 1 << 60, f.BlockHead())]))
        + f.CLOSING.pack(0, f.END),
    ],
)
def test_hostile_files_are_refused_with_bounded_memory(tail: bytes, tmp_path: Path) -> None:
    path = tmp_path / "hostile.owt"
    path.write_bytes(f.encode_opening(HEADER) + _BLOCKS[0].encode()[1] + tail)
    ids, trace = _ids(path)
    assert len(ids) == _BLOCKS[0].head.lives and (trace.losses or tail.endswith(f.END))


def test_a_bomb_is_not_unpacked() -> None:
    bomb = zstandard.ZstdCompressor().compress(bytes(200 << 20))
    with pytest.raises(TraceDamagedError):
        f.decompress(bomb, 1000)


@settings(max_examples=300, deadline=None, derandomize=True)
@given(st.binary(max_size=200), st.integers(0, 400), st.integers(0, 60))
def test_no_bytes_make_the_reader_fail_in_another_way(
    tmp_path_factory: pytest.TempPathFactory, junk: bytes, at: int, cut_off: int
) -> None:
    path = tmp_path_factory.getbasetemp() / "fuzz.owt"
    data = f.encode_opening(HEADER) + _BLOCKS[0].encode()[1] + _BLOCKS[1].encode()[1]
    path.write_bytes(data[:at] + junk + data[at + cut_off :])
    try:
        _ids(path)
    except TraceError as error:
        assert str(error).startswith("fuzz.owt: ")


def test_a_newer_format_is_refused_by_name_and_an_older_minor_is_read(tmp_path: Path) -> None:
    newer = f.encode_opening(f.FileHeader((2, 1), "n0", "ab", 0, 0, [], {}))
    (tmp_path / "a.owt").write_bytes(newer)
    with pytest.raises(TraceError, match=r"a\.owt: format 2\.1 is newer than 1\.0"):
        open_trace(tmp_path / "a.owt")
    (tmp_path / "a.owt").write_bytes(f.encode_opening(f.FileHeader((1, 9), "n0", "ab", 0, 0, [], {})))
    assert not open_trace(tmp_path / "a.owt").entries
    with pytest.raises(TraceError, match="no trace"):
        open_trace(Path(__file__))


def test_the_two_filters_are_one() -> None:
    keys = [id_number(f"{n * 7919:016x}") for n in range(500)]
    table = Table({"id": np.array(keys, np.uint64)}, {}, StringTable())
    from onyxwick.trace.table import bloom_of_columns

    made = bloom_of_columns(table.requests["id"])
    assert made == f.bloom_of(keys) and all(key in f.Bloom(made) for key in keys)
    assert sum(n in f.Bloom(made) for n in range(10**6, 10**6 + 2000)) < 160


# ---- the writer -----------------------------------------------------------------------------------------


class Faulty(TraceFiles):
    """A disk that refuses: `room` bytes, then errors; or a folder that has gone."""

    def __init__(self, room: int) -> None:
        self.room = room

    def write(self, file: BinaryIO, data: bytes) -> None:
        taken = data[: self.room]
        self.room -= len(taken)
        super().write(file, taken)
        if len(taken) < len(data):
            raise OSError(28, "No space left on device")


def test_a_disk_that_fills_loses_whole_requests_which_the_next_file_counts(tmp_path: Path) -> None:
    now, disk = [0.0], Faulty(3000)
    sink = TraceWriterThread(tmp_path, HEADER, files=disk, clock=lambda: now[0])
    blocks = _recorded(64)
    for block in blocks[:-1]:
        sink.write(block)
    assert sink.counts.lost_blocks and any("No space left" in text for text in sink.counts.errors)
    disk.room, now[0] = 10**9, 10.0
    sink.write(blocks[-1])
    sink.close()
    read, dropped = 0, 0
    for path in sorted(tmp_path.glob("*.owt")):
        ids, trace = _ids(path)
        read += len(ids)
        dropped += sum(e.head.dropped for e in trace.entries)
    assert read + dropped == 64 and dropped == sink.counts.lost_requests > 0


def test_a_folder_that_vanishes_ends_no_request_and_a_late_writer_drops_whole_ones(tmp_path: Path) -> None:
    sink = TraceWriterThread(tmp_path / "gone", HEADER, SinkLimits(file_bytes=1))
    for block in _recorded(32)[:2]:
        sink.write(block)
        for path in (tmp_path / "gone").glob("*"):
            path.unlink()
        (tmp_path / "gone").rmdir()
    assert sink.counts.blocks == 2 and sink.counts.files == 2
    recorder = Recorder(START, lambda block: False, frozenset())
    for n in range(10):
        recorder.on_request_arrived(START, RequestArrived(f"{n:016x}", "job-sheet", "0" * 16, S))
        recorder.on_final_answer(
            START + 5, f"{n:016x}", RecordedVerdict.REJECTED, DecisionReason.NO_CACHE, 0, 0
        )
    recorder.flush(START + 9)
    assert recorder.dropped == 10 and not recorder.block.requests["id"]


def test_files_turn_over_by_size_and_age_and_the_oldest_go(tmp_path: Path) -> None:
    now = [0.0]
    blocks = _recorded(160)
    size = len(blocks[0].encode()[1])
    sink = TraceWriterThread(tmp_path, HEADER, SinkLimits(4 * size, 60.0, 12 * size), clock=lambda: now[0])
    for n, block in enumerate(blocks):
        now[0] = 45.0 * n
        sink.write(block)
    sink.close()
    files = sorted(tmp_path.glob("*.owt"))
    assert sink.counts.files > len(files) >= 2
    assert sum(p.stat().st_size for p in files) < 16 * size
    assert all(not open_trace(p).losses and open_trace(p).indexed for p in files)


# ---- clocks and merging ---------------------------------------------------------------------------------


def test_clocks_800_ms_apart_that_drift_and_one_that_steps_back_are_aligned(tmp_path: Path) -> None:
    stand = make(tmp_path, rate_per_s=30, duration_s=1500)
    out = tmp_path / "merged.owt"
    told = merge_files(stand.paths, out)
    assert told["requests"] == stand.requests and not told["losses"]
    second, third = told["clocks"]["n1"], told["clocks"]["n2"]
    middle = 800_000 + 200e-6 * 750 * S
    assert abs(second["offset_us"] - middle) < 30_000 and abs(second["drift_ppm"] - 200) < 25
    assert 0 < second["doubt_us"] < 60_000 and third["steps_us"] > 1.9 * S
    with open_trace(out) as trace:
        whole = concatenate([t for _, t in trace.tables(StringTable())][:0], StringTable())
        arrivals = np.concatenate([t.requests["at"] for _, t in trace.tables(StringTable())])
    assert not len(whole) and (np.diff(arrivals) >= 0).all()


def test_a_directors_own_order_is_kept_over_a_step_of_its_clock() -> None:
    samples = [(START + n * S, n * S) for n in range(10)]
    samples += [(START + 9 * S, n * S) for n in range(10, 12)]  # it stepped back by 2 s: frozen meanwhile
    samples += [(START + (n - 2) * S, n * S) for n in range(12, 30)]
    clock = MonotonicClock(samples)
    times = clock.to_monotonic(np.array([START + 5 * S, START + 9 * S + 1, START + 15 * S]))
    assert (np.diff(times) > 0).all() and times[2] - times[0] == pytest.approx(12 * S, rel=0.01)


def test_retries_bound_what_events_cannot() -> None:
    rng = np.random.default_rng(3)
    true = np.sort(rng.uniform(0, 3600 * S, 50))
    first, other = true + rng.exponential(20_000, 50), true + 500_000 + rng.exponential(20_000, 50)
    early = np.array([1000.0 * S])
    sound = fit_clock(first, other, early, early + 500_000 + 150_000)
    assert abs(sound.offset_us - 500_000) < 20_000 and sound.violated_retries == 0
    wrong = fit_clock(first, other, early, early + 500_000 - 300_000)
    assert wrong.violated_retries == 1 and wrong.doubt_us >= 250_000, "a contradiction is doubt, not silence"
    assert fit_clock(first[:2], other[:2]).doubt_us > 10**8


def test_a_restart_under_the_same_name_is_one_director_in_one_order(tmp_path: Path) -> None:
    """Two runs of one name: each on its own clock pairs, told apart in time, with no rule broken between."""
    paths = []
    for n, run in enumerate(("a1", "b2")):
        header = f.FileHeader((1, 0), "n0", run, START + n * 60 * S, 0, CLASSES, RULES)
        writer, strings = TraceFileWriter(tmp_path / f"{run}.owt", header), StringTable()
        begin = START + n * 60 * S
        lives = {name: np.zeros(20, np.int64) for name in REQUEST_COLUMNS}
        lives["id"], lives["at"] = np.arange(1, 21) + 100 * n, begin + np.arange(20) * S
        lives["verdict"][:] = RecordedVerdict.REJECTED
        lives["director"][:] = strings.number("n0")
        attempts = {name: np.zeros(0, np.int64) for name in ATTEMPT_COLUMNS}
        told = [f.Notification(NotificationKind.START, begin - S, {})]
        told += [
            f.Notification(NotificationKind.CLOCK, begin + k * S, {"mono_us": 5_000 * S * n + k * S})
            for k in range(20)
        ]
        writer.add(Table(lives, attempts, strings, told))
        writer.close()
        paths.append(tmp_path / f"{run}.owt")
    assert merge_files(paths[::-1], tmp_path / "m.owt")["requests"] == 40
    with open_trace(tmp_path / "m.owt") as trace:
        at = np.concatenate([t.requests["at"] for _, t in trace.tables(StringTable())])
    assert (np.diff(at) == S).sum() == 38 and at[20] - at[19] == 41 * S
    assert not _judged(tmp_path / "m.owt").report().broken


# ---- the rules ------------------------------------------------------------------------------------------


def _judged(path: Path) -> Auditor:
    with open_trace(path) as trace:
        strings = StringTable()
        tables = [t for _, t in trace.tables(strings)]
    judge = Auditor(trace.header, [t for table in tables for t in table.notifications])
    for table in tables:
        judge.add(table)
    return judge


def test_a_sound_trace_breaks_nothing_and_planted_breaches_are_all_found_and_no_others(
    tmp_path: Path,
) -> None:
    sound = Maker(tmp_path, 0, TraceClock(), 60, 600 * S, 3)
    sound.write()
    report = _judged(sound.path).report()
    assert not report.broken and report.looked_at["booking once"] > 500, report.as_document()["broken"][:3]
    plant = {"one answer": 3, "drain": 4, "not listed": 5, "purge": 6, "booking once": 4, "cold": 400}
    maker = Maker(tmp_path, 1, TraceClock(), 60, 600 * S, 3)
    planted = maker.write(plant)
    found: dict[str, set[str]] = {}
    for row in _judged(maker.path).report().broken:
        found.setdefault(row["rule"], set()).add(row.get("request") or row["member"])
    assert len(planted.pop("cold")) == 400 and found.pop("cold") == {"box-7"}
    assert found == {rule: set(ids) for rule, ids in planted.items()}


def _life(**change: int) -> dict[str, np.ndarray]:
    plain = dict.fromkeys(REQUEST_COLUMNS, 0) | {
        "id": 7,
        "at": START,
        "verdict": 1,
        "attempts": 1,
        "took": 1000,
    }
    return {name: np.array([value]) for name, value in (plain | change).items()}


def _two(strings: StringTable, gap_us: int, status: int = 0) -> Table:
    """One booking under one id at two directors, so far apart."""
    lives = [_life(flags=6, director=strings.number(f"n{n}"), at=START + n * gap_us) for n in range(2)]
    columns = {name: np.concatenate([life[name] for life in lives]) for name in REQUEST_COLUMNS}
    attempts = {name: np.zeros(2, np.int64) for name in ATTEMPT_COLUMNS}
    attempts["status"][:] = status
    return Table(columns, attempts, strings)


@pytest.mark.parametrize(
    ("gap_us", "status", "broken"), [(S, 0, True), (S, 2, False), (86_400 * S, 0, False)]
)
def test_a_booking_at_two_directors_ran_twice_unless_one_is_another_days(
    gap_us: int, status: int, broken: bool
) -> None:
    judge = Auditor(HEADER, [])
    judge.add(_two(StringTable(), gap_us, status))
    assert ("booking once" in judge.report().counts) is broken


def test_a_booking_told_as_sent_before_a_crash_counts() -> None:
    told = [
        f.Notification(
            NotificationKind.SENT, START + n * S, {"id": 9, "member": "origin", "director": f"n{n}"}
        )
        for n in range(2)
    ]
    assert Auditor(HEADER, told).report().counts == {"booking once": 1}
    assert not Auditor(HEADER, told[:1]).report().counts


def test_what_clocks_leave_in_doubt_is_not_called_broken() -> None:
    """A cold box sent just over its budget by two directors whose clocks may be a second off."""
    row = [["box-1", "d", "box", "ready", 1.0, START]]
    told = [f.Notification(NotificationKind.LIST, START, {"members": row, "full": True, "director": "n0"})]
    for doubt, wanted in ((0.0, "broken"), (2_000_000.0, "cannot be told, because the clocks")):
        clocks = {"n1": {"doubt_us": doubt}}
        header = f.FileHeader((1, 0), "n0+n1", "x", START, 0, CLASSES, RULES, clocks)
        strings = StringTable()
        count = 100  # 60 ms of work each 30 ms, where four times 0.18 to 0.3 of it are allowed
        lives = {name: np.zeros(count, np.int64) for name in REQUEST_COLUMNS}
        lives["id"] = np.arange(1, count + 1)
        lives["at"] = START + 100_000 + np.arange(count) * 30_000
        lives["verdict"][:], lives["attempts"][:] = 1, 1
        lives["class"][:] = strings.number("site-video")
        lives["director"][:] = strings.number("n0")
        attempts = {name: np.zeros(count, np.int64) for name in ATTEMPT_COLUMNS}
        attempts["member"][:] = strings.number("box-1")
        judge = Auditor(header, told)
        judge.add(Table(lives, attempts, strings))
        assert judge.report().verdicts()["cold"].startswith(wanted), judge.report().as_document()


# ---- the tools ------------------------------------------------------------------------------------------


@pytest.fixture(scope="module")
def hour(tmp_path_factory: pytest.TempPathFactory) -> Path:
    """Ten minutes of one director."""
    maker = Maker(tmp_path_factory.mktemp("trace"), 0, TraceClock(), 60, 600 * S, 9)
    maker.write()
    return maker.path


def test_a_cut_reads_only_the_blocks_that_can_match(hour: Path) -> None:
    with open_trace(hour) as trace:
        begin = START + 120 * S
        tables = list(
            select_requests(
                trace,
                TraceFilter(begin, begin + 10 * S, class_name="booking"),
                StringTable(),
                notifications=False,
            )
        )
        assert sum(map(len, tables)) > 5 and trace.read_bytes < 0.5 * trace.size
        assert all(
            (t.requests["at"] >= begin).all() and (t.requests["at"] < begin + 10 * S).all() for t in tables
        )


def test_a_summary_adds_up_and_its_page_stands_alone(hour: Path, tmp_path: Path) -> None:
    from onyxwick.trace.plots import write

    with open_trace(hour) as trace:
        summary = Summary(trace.header)
        for head, table in trace.tables(StringTable()):
            summary.add(table, head.dropped)
    told = summary.as_document()
    for kind in ("class", "tenant", "cell"):
        assert sum(row["requests"] for row in told[kind].values()) == told["requests"]
    assert told["class"]["booking"]["attempts"] == told["class"]["booking"]["requests"]
    assert 0 < told["worst"]["service"] <= told["all"]["service"] < 1
    files = write(summary, tmp_path, "a <title>")
    page = (tmp_path / "summary.html").read_text()
    assert len(files) >= 6 and "a &lt;title&gt;" in page and "http" not in page.replace("http-equiv", "")


def test_anonymised_traces_hold_no_raw_name_and_still_match(hour: Path, tmp_path: Path) -> None:
    hide = Anonymiser(bytes(range(32)))
    out = tmp_path / "hidden.owt"
    with open_trace(hour) as trace:
        writer, old, new = TraceFileWriter(out, hide.header(trace.header)), StringTable(), StringTable()
        raw: set[int] = set()
        for head, table in trace.tables(old):
            raw |= set(table.requests["id"].tolist()) | set(table.requests["object"].tolist())
            writer.add(hide.table(table, new), head.dropped)
        writer.close()
    hidden: set[int] = set()
    with open_trace(out) as trace:
        for entry in trace.entries:
            text = repr(trace.head(entry))
            assert "tenant-" not in text and "box-" not in text and "cell-" not in text
        for _, table in trace.tables(StringTable()):
            hidden |= set(table.requests["id"].tolist()) | set(table.requests["object"].tolist())
            assert "box-" not in repr(table.notifications) and "n0" not in repr(table.notifications)
        assert trace.header.director != "n0"
        blooms = [f.Bloom(trace.head(entry).bloom) for entry in trace.entries]
        filters = sum(key in bloom for bloom in blooms for key in list(raw)[:300])
    assert not raw & (hidden - {0}) and filters < 0.06 * 300 * len(trace.entries)
    assert hide.number("object", 5) != hide.number("request", 5) != Anonymiser(bytes(32)).number("request", 5)
    assert not _judged(out).report().broken, "the rules can still be judged"


def test_what_differs_between_two_windows_is_named_first(hour: Path) -> None:
    def window(change: Callable[[Table], None] | None) -> object:
        with open_trace(hour) as trace:
            tables = []
            for table in select_requests(trace, TraceFilter(), StringTable(), notifications=False):
                if change:
                    change(table)
                tables.append(table)
            return losses(trace.header, tables)

    def spoil(table: Table) -> None:
        bad = table.last_attempt("member") == table.strings.numbers.get("box-5", -1)
        table.requests["verdict"] = np.where(bad, int(RecordedVerdict.FAILED), table.requests["verdict"])

    told = compare(window(None), window(spoil))  # type: ignore[arg-type]
    first = next(row for row in told["rows"] if row["kind"] == "member")
    assert first["name"] == "box-5" and first["by_worse_service"] > 0.03
    assert told["service_b"] < told["service_a"] - 0.03


def test_exports_hold_what_the_trace_holds(hour: Path, tmp_path: Path) -> None:
    import pyarrow.parquet as pq

    with open_trace(hour) as trace:
        strings = StringTable()
        tables = [t for _, t in trace.tables(strings) if len(t)][:2]
    count = json_lines(tables, tmp_path / "a.jsonl")
    assert parquet(tables, tmp_path / "a.parquet") == count == sum(map(len, tables))
    rows = [json.loads(line) for line in (tmp_path / "a.jsonl").read_text().splitlines()]
    back = pq.read_table(tmp_path / "a.parquet").to_pylist()
    assert [f"{r['id']:016x}" for r in back] == [r["id"] for r in rows]
    assert [len(r["attempts"]) for r in back] == [len(r["attempts"]) for r in rows]
    assert back[0]["attempts"][0]["member"] == rows[0]["attempts"][0]["member"]


def test_sigusr2_switches_a_trace_on_in_the_real_program(tmp_path: Path) -> None:
    """Off it writes nothing; a signal later the same request is in it, whole, and the rules can be judged."""
    exchange = Exchange(tmp_path, "trace.hcl")
    try:
        assert not (tmp_path / "trace").exists()
        exchange.program.send_signal(signal.SIGUSR2)
        exchange._until("trace started")
        exchange.play("served.txt")
    finally:
        exchange.stop()
    (path,) = (tmp_path / "trace").glob("*.owt")
    ids, trace = _ids(path)
    assert ids == [0x9B1F03AA5C7E2D41, 0x9B1F03AA5C7E2D42] and trace.indexed
    with open_trace(path) as again:
        (table,) = [
            t
            for t in select_requests(
                again, TraceFilter(request="9b1f03aa5c7e2d41"), StringTable(), notifications=False
            )
            if len(t)
        ]
    story = "\n".join(explain_request(table, 0))
    assert "c0 was chosen, the first box" in story and "filled from p0 at rank 1" in story
    assert "It was served" in story and not _judged(path).report().broken
