"""A new process at the address of one that has gone is not taken for the old one."""

from __future__ import annotations

import asyncio

import pytest

from onyxwick.core.executed_ids import MAX_REMEMBERED_IDS, REMEMBERED_US, ExecutedIds
from onyxwick.interface import EndpointListKind, EndpointsChanged, Member, MemberState
from tests.director_harness import DirectorHarness, encode_reply, forward_arrivals_to, run_scenario


def _row(name: str, state: MemberState = MemberState.READY, started_at_us: int = 0) -> Member:
    return Member(name, "edge-1", "box", 0, state, 6.0, started_at_us)


def _change(harness: DirectorHarness, address: tuple[str, int], *rows: Member) -> None:
    addresses = {row.address: address for row in rows if row.state is not MemberState.REMOVED}
    harness.core.feed.apply_endpoints(EndpointsChanged(EndpointListKind.CHANGE, rows), addresses)


# Guards against: work for a cache that has gone sent to the new one at its address, as the list tells the new
# one first.
def test_a_cache_whose_address_another_one_has_gets_nothing_new() -> None:
    async def scenario(harness: DirectorHarness) -> None:
        sock = harness.add_cache("c0")
        address = sock.getsockname()
        forward_arrivals_to(harness, "c0")
        first = harness.start()
        conn = await harness.accept(sock)
        await harness.read_until(conn, first.request.request_id.encode())
        _change(harness, address, _row("c1"))
        assert not harness.core.endpoints.is_ready("c0") and harness.core.endpoints.is_ready("c1")
        harness.start()
        await harness.wait_until(lambda: harness.router.attempt_statuses())  # not sent
        conn.send(encode_reply(first.request.request_id))  # what was sent to the old process ends there
        await harness.wait_until(lambda: harness.answers)
        with pytest.raises(BlockingIOError):
            sock.accept()
        assert harness.counters.counts["feed.replaced"] == 1
        _change(harness, address, _row("c0", MemberState.REMOVED))  # the list tells it late
        assert harness.core.endpoints.is_ready("c1")

    run_scenario(scenario)


def test_the_latest_of_two_caches_at_one_address_is_used() -> None:
    async def scenario(harness: DirectorHarness) -> None:
        address = ("127.0.0.1", 9)
        _change(harness, address, _row("c0"))
        _change(harness, address, _row("c1"))
        _change(harness, address, _row("c0", started_at_us=5))  # it has come back there
        endpoints = harness.core.endpoints
        assert endpoints.is_ready("c0") and not endpoints.is_ready("c1")
        _change(harness, address, _row("c0", MemberState.DRAINING))
        _change(harness, ("127.0.0.1", 10), _row("c0"))
        _change(harness, address, _row("c2"))
        assert endpoints.is_ready("c0") and endpoints.is_ready("c2")
        await asyncio.sleep(0)

    run_scenario(scenario)


def test_a_list_that_names_two_members_at_one_address_keeps_both() -> None:
    async def scenario(harness: DirectorHarness) -> None:
        rows = (_row("c0"), _row("c1"))
        addresses = {row.address: ("127.0.0.1", 9) for row in rows}
        harness.core.feed.apply_endpoints(EndpointsChanged(EndpointListKind.SNAPSHOT, rows), addresses)
        _change(harness, ("127.0.0.1", 9), *rows)
        assert all(harness.core.endpoints.is_ready(row.address) for row in rows)
        await asyncio.sleep(0)

    run_scenario(scenario)


def test_remembered_ids_are_bounded_in_number_and_time() -> None:
    ids = ExecutedIds()
    for number in range(MAX_REMEMBERED_IDS + 10):
        ids.add(f"{number:016x}", number)
    assert len(ids) == MAX_REMEMBERED_IDS
    assert not ids.contains(f"{9:016x}", 0) and ids.contains(f"{10:016x}", 0)
    now_us = 2 * REMEMBERED_US
    assert not ids.contains(f"{11:016x}", now_us)
    ids.add("one", now_us)
    assert len(ids) == 1 and ids.contains("one", now_us + REMEMBERED_US - 1)
