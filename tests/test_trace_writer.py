"""Tests of writing a trace: full disks, removed folders, rotation, and the switch in the running program."""

from __future__ import annotations

import signal
from pathlib import Path
from typing import BinaryIO

from onyxwick.cells import CellRouter
from onyxwick.interface import RequestArrived
from onyxwick.lab.traces import START
from onyxwick.sites import SiteRouter
from onyxwick.trace.decision_tracer import DelegatingRouter
from onyxwick.trace.explain import explain_request
from onyxwick.trace.filter import TraceFilter, select_requests
from onyxwick.trace.model import (
    DecisionReason,
    RecordedVerdict,
)
from onyxwick.trace.reader import open_trace
from onyxwick.trace.recorder import Recorder
from onyxwick.trace.sink import SinkLimits, TraceFiles, TraceWriterThread
from onyxwick.trace.table import StringTable
from tests.exchange import Exchange
from tests.trace_files import HEADER, US_PER_S, auditor_of, recorded_blocks, request_ids

# Both distribute requests among routers. mypy checks that they implement the protocol a tracer needs.
DELEGATING_ROUTERS: tuple[type[DelegatingRouter], ...] = (CellRouter, SiteRouter)


class LimitedDisk(TraceFiles):
    """A disk that accepts `room` bytes in total and then raises errors."""

    def __init__(self, room: int) -> None:
        self.room = room

    def write(self, file: BinaryIO, data: bytes) -> None:
        accepted = data[: self.room]
        self.room -= len(accepted)
        super().write(file, accepted)
        if len(accepted) < len(data):
            raise OSError(28, "No space left on device")


def test_a_full_disk_loses_complete_requests_which_the_next_file_counts(tmp_path: Path) -> None:
    now, disk = [0.0], LimitedDisk(3000)
    sink = TraceWriterThread(tmp_path, HEADER, files=disk, clock=lambda: now[0])
    blocks = recorded_blocks(64)
    for block in blocks[:-1]:
        sink.write(block)
    assert sink.counts.lost_blocks and any("No space left" in text for text in sink.counts.errors)
    disk.room, now[0] = 10**9, 10.0
    sink.write(blocks[-1])
    sink.close()
    read, dropped = 0, 0
    for path in sorted(tmp_path.glob("*.owt")):
        ids, trace = request_ids(path)
        read += len(ids)
        dropped += sum(e.head.dropped for e in trace.entries)
    assert read + dropped == 64 and dropped == sink.counts.lost_requests > 0


def test_a_removed_folder_is_made_again_and_a_refused_block_drops_complete_requests(tmp_path: Path) -> None:
    sink = TraceWriterThread(tmp_path / "gone", HEADER, SinkLimits(file_bytes=1))
    for block in recorded_blocks(32)[:2]:
        sink.write(block)
        for path in (tmp_path / "gone").glob("*"):
            path.unlink()
        (tmp_path / "gone").rmdir()
    assert sink.counts.blocks == 2 and sink.counts.files == 2
    recorder = Recorder(START, lambda block: False, frozenset())
    for n in range(10):
        recorder.on_request_arrived(START, RequestArrived(f"{n:016x}", "job-sheet", "0" * 16, US_PER_S))
        recorder.on_final_answer(
            START + 5, f"{n:016x}", RecordedVerdict.REJECTED, DecisionReason.NO_CACHE, 0, 0
        )
    recorder.flush(START + 9)
    assert recorder.dropped == 10 and not recorder.block.requests["id"]


def test_files_rotate_by_size_and_age_and_the_oldest_are_removed(tmp_path: Path) -> None:
    now = [0.0]
    blocks = recorded_blocks(160)
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


def test_sigusr2_switches_a_trace_on_in_the_real_program(tmp_path: Path) -> None:
    """No trace is written while tracing is off.

    After a signal, the trace contains the requests completely, and its audit finds no broken rule.
    """
    exchange = Exchange(tmp_path, "trace.hcl")
    try:
        assert not (tmp_path / "trace").exists()
        exchange.program.send_signal(signal.SIGUSR2)
        exchange._until("trace started")
        exchange.play("served.txt")
    finally:
        exchange.stop()
    (path,) = (tmp_path / "trace").glob("*.owt")
    ids, trace = request_ids(path)
    assert ids == [0x9B1F03AA5C7E2D41, 0x9B1F03AA5C7E2D42] and trace.indexed
    with open_trace(path) as again:
        (table,) = [
            t
            for t in select_requests(
                again, TraceFilter(request="9b1f03aa5c7e2d41"), StringTable(), notifications=False
            )
            if len(t)
        ]
    explanation = "\n".join(explain_request(table, 0))
    assert "c0 was chosen, the first box" in explanation and "filled from p0 at rank 1" in explanation
    assert "It was served" in explanation and not auditor_of(path).report().broken
