"""The memory account: what is released first, and what is counted for calls, writes and buffers."""

from __future__ import annotations

from dataclasses import dataclass, field

import pytest

from onyxwick.core.memory_account import (
    RECLAIM_RETRY_S,
    RECLAIM_SHARE,
    RECLAIMED_SHARE,
    HeldKind,
    MemoryAccount,
    Releasable,
)
from onyxwick.core.request_table import REQUEST_BYTES
from onyxwick.lab.soak.hoarding import ClientHoard, encode_begin, hoarding_input
from onyxwick.net import fastcgi
from onyxwick.net.fastcgi_parser import FastCgiParser
from tests.director_harness import DirectorHarness, forward_arrivals_to, run_scenario

LIMIT_BYTES = 1_000_000
NOW_S = 100.0


@dataclass
class _Holders:
    """Holders by name, each with its bytes, its last progress and its opening in seconds before now."""

    account: MemoryAccount
    held: dict[str, tuple[int, float, float]]
    released: list[str] = field(default_factory=list)

    def __post_init__(self) -> None:
        for size, _, _ in self.held.values():
            self.account.held[HeldKind.CLIENT_INPUT].held_bytes += size
        self.account.sources.append(self._releasable)

    def _releasable(self, now_s: float) -> list[Releasable]:
        return [
            Releasable(
                _Holder(self, name).release_memory,
                HeldKind.CLIENT_INPUT,
                size,
                now_s - idle_s,
                now_s - open_s,
            )
            for name, (size, idle_s, open_s) in self.held.items()
        ]


@dataclass
class _Holder:
    holders: _Holders
    name: str

    def release_memory(self, now_s: float) -> None:
        size, _, _ = self.holders.held.pop(self.name)
        self.holders.account.held[HeldKind.CLIENT_INPUT].held_bytes -= size
        self.holders.released.append(self.name)


# Guards against: a client that makes progress being ended before those that hoard.
def test_holders_without_progress_go_first_then_the_largest_then_the_newest() -> None:
    account = MemoryAccount(LIMIT_BYTES)
    holders = _Holders(
        account,
        {
            "active": (300_000, 0.01, 9.0),
            "older": (200_000, 1.0, 5.0),
            "newer": (200_000, 1.0, 2.0),
            "small": (100_000, 1.0, 1.0),
        },
    )
    account.reclaim(NOW_S)
    assert holders.released == ["newer", "older"]
    assert account.total_bytes() <= LIMIT_BYTES * RECLAIMED_SHARE


def test_nothing_is_released_below_the_threshold() -> None:
    account = MemoryAccount(LIMIT_BYTES)
    holders = _Holders(account, {"one": (int(LIMIT_BYTES * RECLAIM_SHARE), 1.0, 1.0)})
    account.reclaim(NOW_S)
    assert not holders.released and account.has_room(NOW_S)


def test_a_reclaim_that_finds_nothing_is_counted_and_not_repeated_at_once() -> None:
    account = MemoryAccount(LIMIT_BYTES)
    account.held[HeldKind.FEED].held_bytes = LIMIT_BYTES + 1
    assert not account.has_room(NOW_S) and not account.has_room(NOW_S + RECLAIM_RETRY_S / 2)
    assert account.counters.counts["memory.not_released"] == 1


def _parse(parser: FastCgiParser, data: bytes, piece_bytes: int = 4096) -> list[fastcgi.FastCgiMessage]:
    messages = list[fastcgi.FastCgiMessage]()
    for at in range(0, len(data), piece_bytes):
        parser.buffer.append(data[at : at + piece_bytes])
        for message in parser.messages():
            messages.append(message)
            parser.open_requests.clear()  # as if it were answered at once
    return messages


@pytest.mark.parametrize("kind", list(ClientHoard))
def test_what_is_accounted_for_partial_calls_is_exact_and_ends_with_them(kind: ClientHoard) -> None:
    parser = FastCgiParser()
    _parse(parser, hoarding_input(kind))
    assert parser.partial_bytes == sum(each.held_bytes for each in parser.partial.values())
    parser.release_partial_calls()
    assert parser.partial_bytes == 0 and not parser.partial and parser.releasable_bytes == 0


# Guards against: a connection whose record boundaries are lost because its memory was released.
@pytest.mark.parametrize("cut", [5_000, 30_000, 65_000])
def test_a_dropped_record_is_skipped_and_the_next_call_is_read(cut: int) -> None:
    parser = FastCgiParser()
    record = hoarding_input(ClientHoard.RECORD) + bytes(255)
    _parse(parser, record[:cut])
    assert parser.release_partial_calls() == [1]
    assert parser.held_bytes == 0 and parser.has_partial_call
    call = encode_begin(2) + b"".join(
        fastcgi.encode_record(kind, 2, b"") for kind in (fastcgi.RecordType.PARAMS, fastcgi.RecordType.STDIN)
    )
    (message,) = _parse(parser, record[cut:] + call)
    assert isinstance(message, fastcgi.FastCgiCall) and message.request_number == 2


def test_open_requests_and_their_bodies_are_accounted() -> None:
    async def scenario(harness: DirectorHarness) -> None:
        held = harness.core.memory.by_kind
        first = harness.start(body=bytes(48_000))
        harness.start()
        assert held()["requests"] == 2 * REQUEST_BYTES + 48_000
        harness.core.client_departed(first)
        await harness.wait_until(lambda: len(harness.core.lifecycles) == 1)
        assert held()["requests"] == REQUEST_BYTES

    run_scenario(scenario)


def test_a_command_that_waits_for_its_connection_is_accounted_until_it_is_over() -> None:
    async def scenario(harness: DirectorHarness) -> None:
        (accept_next,) = harness.cache_with_full_backlog("c0")  # the command waits until it accepts
        forward_arrivals_to(harness, "c0")
        lifecycle = harness.start(body=bytes(20_000))
        commands = harness.caches.memory.held[HeldKind.CACHE_OUTPUT]
        await harness.wait_until(lambda: commands.held_bytes > 20_000)
        conn = await accept_next()
        await harness.read_until(conn, b"$20000\r\n")
        harness.core.client_departed(lifecycle)
        await harness.wait_until(lambda: not harness.core.lifecycles)
        await harness.caches.close()
        assert commands.held_bytes == 0
        assert harness.caches.memory.held[HeldKind.CACHE_INPUT].held_bytes == 0

    run_scenario(scenario)
