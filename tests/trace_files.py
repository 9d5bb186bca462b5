"""Helpers that create and read small traces for tests: recorded blocks, files, and the audit of a file."""

from __future__ import annotations

from pathlib import Path

from onyxwick.interface import AnswerDetail, AttemptEnded, AttemptStatus, ForwardWithFill, RequestArrived
from onyxwick.lab.traces import CLASSES, RULES, START
from onyxwick.trace import format as f
from onyxwick.trace.audit import Auditor
from onyxwick.trace.model import (
    DecisionReason,
    RecordedVerdict,
)
from onyxwick.trace.reader import TraceReader, open_trace
from onyxwick.trace.recorder import MemberEstimate, RecordedBlock, Recorder
from onyxwick.trace.table import StringTable

US_PER_S = 1_000_000
HEADER = f.FileHeader((1, 0), "n0", "ab", START, 0, CLASSES, RULES)


def recorded_blocks(count: int = 40) -> list[RecordedBlock]:
    """Return the blocks of `count` requests, 10 ms apart, each served by a hit. At most 16 per block."""
    blocks: list[RecordedBlock] = []

    def accept(block: RecordedBlock) -> bool:
        blocks.append(block)
        return True

    recorder = Recorder(START, accept, frozenset({"booking"}))
    for n in range(count):
        now = START + n * 10_000
        kind = ("site-video", "job-sheet", "booking")[n % 3]
        request = f"{n + 1:016x}"
        recorder.on_request_arrived(
            now, RequestArrived(request, kind, f"{n % 7:016x}", 3 * US_PER_S, object_group=n % 5, tenant="t1")
        )
        recorder.on_attempt_started(
            now,
            ForwardWithFill(request, "box-1", "parent-1", 1),
            MemberEstimate(DecisionReason.HOME_CACHE, 2, 1.0),
        )
        recorder.on_attempt_sent(request, 0, now + 500)
        end = AttemptEnded(request, 0, "box-1", AttemptStatus.OK, 9_000, True, AnswerDetail.HIT)
        recorder.on_attempt_ended(now + 9_000, end, now - US_PER_S)
        recorder.on_final_answer(
            now + 9_100, request, RecordedVerdict.SERVED, DecisionReason.ANSWERED, 0, 100
        )
        if n % 16 == 15:
            recorder.flush(now)
    recorder.finish(START + US_PER_S)
    return blocks


def write_trace(path: Path, blocks: list[RecordedBlock], index: bool = True) -> list[int]:
    """Write a trace file and return the offset of each block and of the end of the last block."""
    data = f.encode_opening(HEADER)
    offsets = []
    entries = []
    for block in blocks:
        head, frame = block.encode()
        offsets.append(len(data))
        entries.append(f.BlockIndexEntry(len(data), len(frame), head))
        data += frame
    offsets.append(len(data))
    path.write_bytes(data + (f.encode_index(entries, len(data)) if index else b""))
    return offsets


def request_ids(path: Path) -> tuple[list[int], TraceReader]:
    """Return the ids of all readable requests, and the reader with its losses."""
    with open_trace(path) as trace:
        ids = [int(n) for _, table in trace.tables(StringTable()) for n in table.requests["id"]]
    return ids, trace


def auditor_of(path: Path) -> Auditor:
    """Return an auditor to which all tables of a file were added."""
    with open_trace(path) as trace:
        strings = StringTable()
        tables = [t for _, t in trace.tables(strings)]
    auditor = Auditor(trace.header, [t for table in tables for t in table.notifications])
    for table in tables:
        auditor.add(table)
    return auditor
