"""What the feed tells is bounded in memory, and numbers that are out of range spoil one row or line alone."""

from __future__ import annotations

import asyncio
import json
import socket
from typing import Any

import pytest
import ujson

from onyxwick.core.feed_intake import MEMBER_BYTES
from onyxwick.core.memory_account import DEFAULT_LIMIT_BYTES
from onyxwick.net.coordinator_feed import CoordinatorFeed
from tests.director_harness import DirectorHarness, run_scenario

INFINITE = "1e999"
"""JSON text that is parsed to an infinite float."""


def _row(number: int, **fields: Any) -> dict[str, Any]:
    address = f"127.9.{number // 250}.{number % 250 + 1}:5050"
    row = {"id": f"s-{number:08x}", "addr": address, "zone": "edge-1", "kind": "box", "state": "SERVING"}
    return {**row, "weight": 1, "started_ms": 0, **fields}


def _event(index: int | str, rows: list[dict[str, Any]], full: bool = False) -> bytes:
    event = {"index": index, "endpoints": {"version": index, "full": full, "servers": rows}}
    return json.dumps(event).replace(f'"{INFINITE}"', INFINITE).encode()


def _listed_after(*lines: bytes) -> tuple[set[str], int]:
    """Return the members listed after these lines, and how often bad input was counted."""
    listed, bad = set[str](), list[int]()

    async def scenario(harness: DirectorHarness) -> None:
        feed = CoordinatorFeed(harness.core, harness.counters)
        for line in lines:
            feed.handle_line(line)
        listed.update(harness.members.listed)
        bad.append(harness.counters.counts["bad.coordinator"])

    run_scenario(scenario)
    return listed, bad[0]


# Guards against: a number out of range that ends each connection of the feed at the same line for ever.
@pytest.mark.parametrize(
    "line",
    [
        _event(INFINITE, [_row(2)]),
        _event(2, [_row(2, started_ms=INFINITE), _row(3)]),
        _event(2, [_row(2, weight=INFINITE), _row(3)]),
        _event(2, [_row(2, cell=INFINITE), _row(3)]),
        _event(2, [_row(2, id="s" * 4096), _row(3)]),
        b'{"index":2,"evict":{"shard":1e999,"unix_ms":1}}',
        b'{"index":2,"evict":{"ref":"7f3a9c21e0b4d655","unix_ms":1e999}}',
        b'{"index":2,"evict":{"ref":"' + b"7" * 4096 + b'","unix_ms":1}}',
        b"1e999",
        b"9" * 400,
    ],
)
def test_a_line_with_a_number_out_of_range_is_reported_and_the_feed_goes_on(line: bytes) -> None:
    has_index = line.replace(b" ", b"").startswith(b'{"index":2')
    index = 3 if has_index else 2
    listed, bad = _listed_after(_event(1, [_row(1)], True), line, _event(index, [_row(9)]))
    assert {"s-00000001", "s-00000009"} <= listed and "s-00000002" not in listed and bad == 1
    assert ("s-00000003" in listed) == (b"s-00000003" in line)


# Guards against: a process that ends at its start because of a number in the configured events.
def test_configured_events_with_numbers_out_of_range_do_not_end_the_start() -> None:
    async def scenario(harness: DirectorHarness) -> None:
        feed = CoordinatorFeed(harness.core, harness.counters)
        events = [_event(1, [_row(1), _row(2, started_ms=INFINITE)], True), _event(INFINITE, [_row(3)])]
        feed.load_configured({"index": float("inf"), "updates": [ujson.loads(event) for event in events]})
        assert set(harness.members.listed) == {"s-00000001"} and feed.last_index == 1

    run_scenario(scenario)


# Guards against: one line of the feed whose objects take twenty times its size.
@pytest.mark.parametrize("value", ["[]", "{}", "1,1", '"a"'])
def test_a_line_that_would_take_too_much_memory_is_not_parsed(
    value: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    line = b'{"index":2,"x":[' + b",".join([value.encode()] * 1_000_000) + b"]}"
    parsed = list[int]()
    loads = ujson.loads

    def recorded_loads(text: bytes) -> Any:
        parsed.append(len(text))
        return loads(text)

    monkeypatch.setattr(ujson, "loads", recorded_loads)
    listed, bad = _listed_after(_event(1, [_row(1)], True), line, _event(3, [_row(9)]))
    assert listed == {"s-00000001", "s-00000009"} and bad == 1 and len(line) not in parsed


# Guards against: a line over the limit that each connection brings again, and nothing behind it is read.
def test_a_line_over_the_limit_is_discarded_as_it_comes_and_the_next_one_is_read() -> None:
    async def scenario(harness: DirectorHarness) -> None:
        with socket.create_server(("127.0.0.1", 0)) as server:
            server.setblocking(False)
            feed = harness.follow(server.getsockname())
            feed.max_line_bytes = 100_000
            conn = await harness.accept(server)
            await harness.read_until(conn, b"follow 0\n")
            loop = asyncio.get_running_loop()
            await loop.sock_sendall(conn, _event(1, [_row(1)], True) + b'\n{"index":2,"x":"')
            for _ in range(10):
                await loop.sock_sendall(conn, b"x" * 50_000)
                await asyncio.sleep(0.01)
                assert len(feed.buffer) <= 2 * feed.max_line_bytes
            await loop.sock_sendall(conn, b'"}\n' + _event(3, [_row(9)]) + b"\n")
            await harness.wait_until(lambda: "s-00000009" in harness.members.listed)
            assert feed.last_index == 3 and harness.counters.counts["feed.skipped"] == 1

    run_scenario(scenario)


# Guards against: lists that grow from change to change until the process passes its limit.
def test_members_beyond_the_limit_are_left_out_and_the_others_stay() -> None:
    limit = DEFAULT_LIMIT_BYTES // MEMBER_BYTES
    rows = [_row(number) for number in range(limit + 10)]
    lines = [_event(1 + at // 500, rows[at : at + 500], at == 0) for at in range(0, len(rows), 500)]
    last = len(lines)
    listed, _ = _listed_after(*lines)
    assert listed == {row["id"] for row in rows[:limit]}
    removal, addition = _event(last + 1, [_row(0, state="DELETED")]), _event(last + 2, [rows[-1]])
    listed, _ = _listed_after(*lines, removal, addition)
    assert len(listed) == limit and rows[-1]["id"] in listed and rows[0]["id"] not in listed


def test_a_list_of_the_largest_fleet_is_taken_in_with_the_smallest_memory() -> None:
    async def scenario(harness: DirectorHarness) -> None:
        feed = CoordinatorFeed(harness.core, harness.counters)
        feed.max_parsed_bytes = 5_000_000  # half of the account at 40 MB
        feed.handle_line(_event(1, [_row(number) for number in range(3_200)], True))
        assert len(harness.members.listed) == 3_200

    run_scenario(scenario)
