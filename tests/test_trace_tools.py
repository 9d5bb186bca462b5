"""Tests of the trace tools: selection, summary, anonymising, comparison, export."""

from __future__ import annotations

import json
from collections.abc import Callable
from pathlib import Path

import numpy as np
import pytest

from onyxwick.lab.traces import START, Maker, TraceClock
from onyxwick.trace import format as f
from onyxwick.trace.anonymise import Anonymiser
from onyxwick.trace.compare import compare, losses
from onyxwick.trace.export import json_lines, parquet
from onyxwick.trace.filter import TraceFilter, select_requests
from onyxwick.trace.merge import TraceFileWriter
from onyxwick.trace.model import (
    RecordedVerdict,
)
from onyxwick.trace.reader import open_trace
from onyxwick.trace.summary import Summary
from onyxwick.trace.table import StringTable, Table
from tests.trace_files import US_PER_S, auditor_of


@pytest.fixture(scope="module")
def trace_path(tmp_path_factory: pytest.TempPathFactory) -> Path:
    """Return the path of a trace with ten minutes of one director."""
    maker = Maker(tmp_path_factory.mktemp("trace"), 0, TraceClock(), 60, 600 * US_PER_S, 9)
    maker.write()
    return maker.path


def test_a_selection_reads_only_blocks_that_may_match(trace_path: Path) -> None:
    with open_trace(trace_path) as trace:
        begin = START + 120 * US_PER_S
        tables = list(
            select_requests(
                trace,
                TraceFilter(begin, begin + 10 * US_PER_S, class_name="booking"),
                StringTable(),
                notifications=False,
            )
        )
        assert sum(map(len, tables)) > 5 and trace.read_bytes < 0.5 * trace.size
        assert all(
            (t.requests["at"] >= begin).all() and (t.requests["at"] < begin + 10 * US_PER_S).all()
            for t in tables
        )


def test_a_summary_adds_up_and_its_page_stands_alone(trace_path: Path, tmp_path: Path) -> None:
    from onyxwick.trace.plots import write

    with open_trace(trace_path) as trace:
        summary = Summary(trace.header)
        for head, table in trace.tables(StringTable()):
            summary.add(table, head.dropped)
    document = summary.as_document()
    for kind in ("class", "tenant", "cell"):
        assert sum(row["requests"] for row in document[kind].values()) == document["requests"]
    assert document["class"]["booking"]["attempts"] == document["class"]["booking"]["requests"]
    assert 0 < document["worst"]["service"] <= document["all"]["service"] < 1
    files = write(summary, tmp_path, "a <title>")
    page = (tmp_path / "summary.html").read_text()
    assert len(files) >= 6 and "a &lt;title&gt;" in page and "http" not in page.replace("http-equiv", "")


def test_anonymised_traces_hold_no_raw_name_and_still_match(trace_path: Path, tmp_path: Path) -> None:
    anonymiser = Anonymiser(bytes(range(32)))
    out = tmp_path / "hidden.owt"
    with open_trace(trace_path) as trace:
        writer, old, new = TraceFileWriter(out, anonymiser.header(trace.header)), StringTable(), StringTable()
        raw: set[int] = set()
        for head, table in trace.tables(old):
            raw |= set(table.requests["id"].tolist()) | set(table.requests["object"].tolist())
            writer.add(anonymiser.table(table, new), head.dropped)
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
    assert (
        anonymiser.number("object", 5)
        != anonymiser.number("request", 5)
        != Anonymiser(bytes(32)).number("request", 5)
    )
    assert not auditor_of(out).report().broken, "an anonymised trace must pass the audit like the original"


def test_the_largest_difference_between_two_windows_comes_first(trace_path: Path) -> None:
    def window(change: Callable[[Table], None] | None) -> object:
        with open_trace(trace_path) as trace:
            tables = []
            for table in select_requests(trace, TraceFilter(), StringTable(), notifications=False):
                if change:
                    change(table)
                tables.append(table)
            return losses(trace.header, tables)

    def fail_requests_of_member(table: Table) -> None:
        at_member = table.last_attempt("member") == table.strings.numbers.get("box-5", -1)
        table.requests["verdict"] = np.where(
            at_member, int(RecordedVerdict.FAILED), table.requests["verdict"]
        )

    document = compare(window(None), window(fail_requests_of_member))  # type: ignore[arg-type]
    first = next(row for row in document["rows"] if row["kind"] == "member")
    assert first["name"] == "box-5" and first["by_worse_service"] > 0.03
    assert document["service_b"] < document["service_a"] - 0.03


def test_exports_hold_what_the_trace_holds(trace_path: Path, tmp_path: Path) -> None:
    import pyarrow.parquet as pq

    with open_trace(trace_path) as trace:
        strings = StringTable()
        tables = [t for _, t in trace.tables(strings) if len(t)][:2]
    count = json_lines(tables, tmp_path / "a.jsonl")
    assert parquet(tables, tmp_path / "a.parquet") == count == sum(map(len, tables))
    rows = [json.loads(line) for line in (tmp_path / "a.jsonl").read_text().splitlines()]
    parquet_rows = pq.read_table(tmp_path / "a.parquet").to_pylist()
    assert [f"{r['id']:016x}" for r in parquet_rows] == [r["id"] for r in rows]
    assert [len(r["attempts"]) for r in parquet_rows] == [len(r["attempts"]) for r in rows]
    assert parquet_rows[0]["attempts"][0]["member"] == rows[0]["attempts"][0]["member"]
