"""A flood of bad input does not fill the log, and log lines are JSON unless the output is a terminal."""

from __future__ import annotations

import io
import os
import subprocess
import sys
from collections.abc import Mapping

import pytest
import structlog
import ujson

from onyxwick import logs
from onyxwick.former_log_events import FORMER_EVENTS
from tests.exchange import ROOT


def test_a_flood_of_lines_is_limited_and_counted() -> None:
    now = [0.0]
    limit = logs.LineRateLimit(lambda: now[0])

    def passes(event: str) -> Mapping[str, object] | None:
        try:
            return limit(None, "warning", {"event": event, "detail": "x"})
        except structlog.DropEvent:
            return None

    assert sum(passes("bad input") is not None for _ in range(500)) == logs.MAX_LINES_PER_S
    assert passes("another kind"), "expected a separate limit for each kind of line"
    now[0] = 1.0
    assert (passes("bad input") or {})["left_out"] == 490


def test_lines_are_json_and_errors_carry_their_traceback() -> None:
    stream = io.StringIO()
    try:
        logs.set_up(stream)
        try:
            raise ValueError("planted")
        except ValueError:
            structlog.get_logger().exception("error in a test", request="r/1")
    finally:
        structlog.reset_defaults()
    line = ujson.loads(stream.getvalue())
    assert (line["event"], line["level"], line["request"]) == ("error in a test", "error", "r/1")
    assert "ValueError: planted" in line["exception"]


@pytest.mark.parametrize("value", [object(), {1, 2}, b"\xff"])
def test_a_line_with_a_value_that_json_cannot_represent_is_logged(value: object) -> None:
    stream = io.StringIO()
    try:
        logs.set_up(stream)
        structlog.get_logger().warning("odd", value=value)
    finally:
        structlog.reset_defaults()
    assert ujson.loads(stream.getvalue())["event"] == "odd"


LOGGING_PROGRAM = """
import sys
from onyxwick import logs
from onyxwick.former_log_events import FORMER_EVENTS
from tests.exchange import ROOT
logs.set_up()
for n in range(2000):
    logs.get().warning(f"line {n}", text="x" * 200)
print("went on")
"""


def test_a_log_that_accepts_no_lines_stops_nothing() -> None:
    """The log's output is a full disk, a closed pipe, or a pipe that is not read."""
    read_end, write_end = os.pipe()
    closed_read, closed_write = os.pipe()
    os.close(closed_read)
    with open("/dev/full", "w") as full:
        for stderr in (full.fileno(), closed_write, write_end):
            done = subprocess.run(
                [sys.executable, "-c", LOGGING_PROGRAM],
                stdout=subprocess.PIPE,
                stderr=stderr,
                text=True,
                timeout=20,
                check=False,
            )
            assert (done.returncode, done.stdout) == (0, "went on\n"), stderr
    for end in (read_end, write_end, closed_write):
        os.close(end)


def test_a_renamed_event_carries_its_former_text() -> None:
    stream = io.StringIO()
    try:
        logs.set_up(stream)
        logs.get().warning("site state changed", site="north")
        logs.get().info("serving")
    finally:
        structlog.reset_defaults()
    renamed, unchanged = map(ujson.loads, stream.getvalue().splitlines())
    assert (renamed["event"], renamed["former_event"], renamed["site"]) == (
        "site state changed",
        "site",
        "north",
    )
    assert "former_event" not in unchanged


def test_each_event_of_the_table_is_logged_somewhere() -> None:
    """A renamed log event must not leave an outdated row in the table."""
    sources = "".join(path.read_text() for path in (ROOT / "onyxwick").rglob("*.py"))
    composed_events = {"operations endpoint on", "bad input to the operations endpoint"}  # by the HTTP server
    for event in FORMER_EVENTS.keys() - composed_events:
        assert sources.count(f'"{event}"') >= 2, event
