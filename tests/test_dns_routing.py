"""Routing by name on loopback: emulated resolvers and clients, and a count of late requests at each cache."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable
from dataclasses import replace

import dns.asyncquery
import dns.message
import dns.rcode
import dns.tsigkeyring
import dns.update

from onyxwick import Router
from onyxwick.cells import Cell, CellPlan, CellRouter, TenantSpec
from onyxwick.config.service import load
from onyxwick.core import RequestEngine
from onyxwick.core.endpoints import EndpointTable
from onyxwick.counters import Counters
from onyxwick.dns.naming import CacheNamingTransport
from onyxwick.dns.server import DnsFront
from onyxwick.interface import (
    EndpointListKind,
    EndpointsChanged,
    Member,
    MemberState,
    RequestRouter,
    RouterSettings,
)
from tests.exchange import DNS, FOLDER
from tests.router_harness import SETTINGS, member

CACHE_ADDRESSES = {f"c{n}": (f"127.77.2.{n + 1}", 15071) for n in range(3)}
GRACE_S = 0.5
NAME = "{}.7f3a9c21e0b4d655.chunk.route.depot.test."


class DnsDirector:
    """A core with the DNS front, and caches that record when they get requests."""

    def __init__(self, decide: Callable[[RouterSettings, int, int], RequestRouter] = Router) -> None:
        self.members, self.counters = EndpointTable(), Counters()
        self.core = RequestEngine(
            SETTINGS, 7, CacheNamingTransport(), self.members, self.counters, make_router=decide
        )
        config = load(FOLDER / "service.hcl")
        self.front = DnsFront(self.core, self.counters, config)
        self.request_times: dict[str, list[float]] = {name: [] for name in CACHE_ADDRESSES}

    def receive_list(self, *rows: Member, kind: EndpointListKind = EndpointListKind.CHANGE) -> None:
        self.core.feed.apply_endpoints(
            EndpointsChanged(kind, rows), {**CACHE_ADDRESSES, "p0": ("127.77.2.9", 15071)}
        )

    async def run(self, scenario: Callable[[DnsDirector], Awaitable[None]]) -> None:
        def count_requests(name: str) -> Callable[[asyncio.StreamReader, asyncio.StreamWriter], None]:
            def serve(_: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
                self.request_times[name].append(time.monotonic())
                writer.close()

            return serve

        servers = [
            await asyncio.start_server(count_requests(name), *address)
            for name, address in CACHE_ADDRESSES.items()
        ]
        front = asyncio.create_task(self.front.run())
        self.receive_list(
            *(member(name) for name in CACHE_ADDRESSES),
            member("p0", "parent", "hub"),
            kind=EndpointListKind.SNAPSHOT,
        )
        await asyncio.sleep(0)
        try:
            await scenario(self)
        finally:
            front.cancel()
            await asyncio.gather(front, return_exceptions=True)
            for server in servers:
                server.close()


def run_scenario(scenario: Callable[[DnsDirector], Awaitable[None]]) -> None:
    async def main() -> None:
        await DnsDirector().run(scenario)  # made where the loop runs: the core sets its first timer at once

    asyncio.run(main())


class Resolver:
    """A stand-in resolver. One that keeps answers too long uses each for `keeps_s`, whatever its TTL says."""

    def __init__(self, keeps_s: float = 0.0) -> None:
        self.keeps_s = keeps_s
        self.kept: dict[str, tuple[float, str]] = {}
        self.named: list[tuple[float, str]] = []  # fresh answers of the front
        self.stale = 0  # answers from the cache

    async def address(self, name: str) -> str:
        now = time.monotonic()
        if name in self.kept and now < self.kept[name][0]:
            self.stale += 1
            return self.kept[name][1]
        answer = await dns.asyncquery.udp(dns.message.make_query(name, "A"), DNS[0], 10, DNS[1])
        (rrset,) = answer.answer
        assert rrset.ttl == 0
        self.kept[name] = (now + max(rrset.ttl, self.keeps_s), rrset[0].address)
        self.named.append((time.monotonic(), rrset[0].address))
        return str(rrset[0].address)


async def client(resolver: Resolver, part: int) -> None:
    """A tablet: resolves the name of a part and asks the box that was named."""
    address = await resolver.address(NAME.format(part))
    _, writer = await asyncio.open_connection(address, CACHE_ADDRESSES["c0"][1])
    writer.close()


async def _drain(depot: DnsDirector, resolver: Resolver) -> tuple[str, float]:
    """Ask for parts until c0 has been named, drain it, ask on; the box and the moment it was told."""
    for part in range(24):
        await client(resolver, part)
    depot.receive_list(replace(member("c0"), state=MemberState.DRAINING))
    return "c0", time.monotonic()


def _late(times: list[float], told: float) -> int:
    return sum(at > told + GRACE_S for at in times)


def test_a_drained_cache_is_not_named_and_honest_resolvers_send_nothing_late() -> None:
    async def scenario(depot: DnsDirector) -> None:
        resolver = Resolver()
        box, told = await _drain(depot, resolver)
        assert depot.request_times[box]
        while time.monotonic() < told + GRACE_S + 0.2:
            await asyncio.gather(*(client(resolver, part) for part in range(24)))
        assert not [at for at, address in resolver.named if at > told and address == CACHE_ADDRESSES[box][0]]
        assert _late(depot.request_times[box], told) == 0

    run_scenario(scenario)


def test_answers_cached_too_long_reach_a_drained_cache_and_are_counted() -> None:
    """What naming alone cannot prevent: every late request comes from a kept answer, none from a naming."""

    async def scenario(depot: DnsDirector) -> None:
        resolver = Resolver(keeps_s=60.0)
        box, told = await _drain(depot, resolver)
        kept = [part for part in range(24) if resolver.kept[NAME.format(part)][1] == CACHE_ADDRESSES[box][0]]
        await asyncio.sleep(GRACE_S + 0.1)
        before, resolver.stale = len(depot.request_times[box]), 0
        for part in range(24):
            await client(resolver, part)
        while len(depot.request_times[box]) < before + len(kept):  # the box counts when it accepts
            await asyncio.sleep(0.01)
        assert resolver.stale == 24 and _late(depot.request_times[box], told) == len(kept) > 0
        assert not [at for at, address in resolver.named if at > told and address == CACHE_ADDRESSES[box][0]]

    run_scenario(scenario)


def test_a_restarted_cache_is_named_within_its_slow_start_budget() -> None:
    """Namings are charged to the cold budget: a flood of names does not all go to the empty box."""

    async def scenario(depot: DnsDirector) -> None:
        depot.receive_list(replace(member("c0"), started_at_us=depot.core.now()))
        resolver = Resolver()
        for part in range(150):
            await client(resolver, part)
        cold = sum(address == CACHE_ADDRESSES["c0"][0] for _, address in resolver.named)
        router = depot.core.router
        assert isinstance(router, Router)
        peer = router.endpoints.members["c0"]
        rules, work = SETTINGS.rules, 250_000.0  # first guess of a chunk's sending: half its aim
        most = (
            rules.overload_multiple
            * peer.info.weight
            * rules.warm_up_start_share
            * rules.overload_window_us
            * 1.3
        )
        assert 0 < cold * work <= most and len(peer.warm_up_sends) == cold
        # A naming teaches neither latency nor hits.
        popularity = router.popularity
        assert (popularity.hits, popularity.answers) == (0, 0) and not popularity.recent_hits

    run_scenario(scenario)


def test_a_signed_update_changes_the_zone_and_raises_its_serial() -> None:
    async def ask(message: dns.message.Message) -> dns.message.Message:
        return await dns.asyncquery.udp(message, DNS[0], 10, DNS[1])

    async def scenario(_: DnsDirector) -> None:
        key = dns.tsigkeyring.from_text({"update.depot.test.": "b255eHdpY2stdGVzdC1rZXk="})
        change = dns.update.UpdateMessage("depot.test.", keyring=key)
        change.absent("new")
        change.add("new", 60, "A", "127.77.9.9")
        assert (await ask(change)).rcode() == dns.rcode.NOERROR
        soa = await ask(dns.message.make_query("depot.test.", "SOA"))
        assert soa.answer[0][0].serial == 8
        found = await ask(dns.message.make_query("new.depot.test.", "A"))
        assert found.answer[0][0].address == "127.77.9.9"
        # The same again: its prerequisite fails, and nothing of it is done.
        change.add("other", 60, "A", "127.77.9.9")
        assert (await ask(change)).rcode() == dns.rcode.YXDOMAIN
        other = await ask(dns.message.make_query("other.depot.test.", "A"))
        assert other.rcode() == dns.rcode.NXDOMAIN
        foreign = dns.update.UpdateMessage("depot.test.", keyring=key)
        foreign.add("0.7f3a9c21e0b4d655.chunk.route", 60, "A", "127.77.9.9")
        assert (await ask(foreign)).rcode() == dns.rcode.REFUSED

    run_scenario(scenario)


def test_names_are_routed_through_cells() -> None:
    """A tenant's names lead to its own cell's boxes, at any load, and leave nothing open behind them."""
    plan = CellPlan(
        {"a": Cell("a", ("c0",)), "b": Cell("b", ("c1", "c2"))}, {"depot": TenantSpec("depot", cells=("a",))}
    )

    async def scenario(depot: DnsDirector) -> None:
        resolver = Resolver()
        for part in range(40):
            await client(resolver, part)
        assert {address for _, address in resolver.named} == {CACHE_ADDRESSES["c0"][0]}
        cells = depot.core.router
        assert isinstance(cells, CellRouter)
        assert not cells.requests and cells.cells["a"].in_flight == 0

    async def main() -> None:
        await DnsDirector(lambda s, seed, now: CellRouter(s, seed, now, plan, 400)).run(scenario)

    asyncio.run(main())
