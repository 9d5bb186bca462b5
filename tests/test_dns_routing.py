"""DNS routing on loopback, with emulated resolvers and clients, counting late requests at each cache."""

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
    """A core with the DNS front, and caches that record when they receive requests."""

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
        # The director is created inside the running loop, because the core sets its first timer at once.
        await DnsDirector().run(scenario)

    asyncio.run(main())


class Resolver:
    """A resolver stub. With `cache_s` it caches each answer at least that long, regardless of its TTL."""

    def __init__(self, cache_s: float = 0.0) -> None:
        self.cache_s = cache_s
        self.cached: dict[str, tuple[float, str]] = {}
        """By name: when the cached answer expires, and its address."""
        self.fresh_answers: list[tuple[float, str]] = []
        """When the front answered, and the address it named."""
        self.cached_answer_count = 0

    async def address(self, name: str) -> str:
        now = time.monotonic()
        if name in self.cached and now < self.cached[name][0]:
            self.cached_answer_count += 1
            return self.cached[name][1]
        answer = await dns.asyncquery.udp(dns.message.make_query(name, "A"), DNS[0], 10, DNS[1])
        (rrset,) = answer.answer
        assert rrset.ttl == 0
        self.cached[name] = (now + max(rrset.ttl, self.cache_s), rrset[0].address)
        self.fresh_answers.append((time.monotonic(), rrset[0].address))
        return str(rrset[0].address)


async def client(resolver: Resolver, part: int) -> None:
    """Act as a client: resolve the name of a part and connect to the cache that was named."""
    address = await resolver.address(NAME.format(part))
    _, writer = await asyncio.open_connection(address, CACHE_ADDRESSES["c0"][1])
    writer.close()


async def _drain(depot: DnsDirector, resolver: Resolver) -> tuple[str, float]:
    """Request 24 parts, then drain c0. Return its name and when the director received the drain."""
    for part in range(24):
        await client(resolver, part)
    depot.receive_list(replace(member("c0"), state=MemberState.DRAINING))
    return "c0", time.monotonic()


def _count_late(times: list[float], drained_at: float) -> int:
    return sum(at > drained_at + GRACE_S for at in times)


def test_a_drained_cache_is_not_named_and_resolvers_that_obey_the_ttl_send_nothing_late() -> None:
    async def scenario(depot: DnsDirector) -> None:
        resolver = Resolver()
        cache, drained_at = await _drain(depot, resolver)
        assert depot.request_times[cache]
        while time.monotonic() < drained_at + GRACE_S + 0.2:
            await asyncio.gather(*(client(resolver, part) for part in range(24)))
        assert not [
            at
            for at, address in resolver.fresh_answers
            if at > drained_at and address == CACHE_ADDRESSES[cache][0]
        ]
        assert _count_late(depot.request_times[cache], drained_at) == 0

    run_scenario(scenario)


def test_answers_cached_too_long_reach_a_drained_cache_and_are_counted() -> None:
    """DNS routing cannot prevent this: every late request uses a cached answer, none a fresh one."""

    async def scenario(depot: DnsDirector) -> None:
        resolver = Resolver(cache_s=60.0)
        cache, drained_at = await _drain(depot, resolver)
        cached = [
            part for part in range(24) if resolver.cached[NAME.format(part)][1] == CACHE_ADDRESSES[cache][0]
        ]
        await asyncio.sleep(GRACE_S + 0.1)
        before, resolver.cached_answer_count = len(depot.request_times[cache]), 0
        for part in range(24):
            await client(resolver, part)
        # A cache records a request when it accepts the connection, which may follow the client's connect.
        while len(depot.request_times[cache]) < before + len(cached):
            await asyncio.sleep(0.01)
        assert (
            resolver.cached_answer_count == 24
            and _count_late(depot.request_times[cache], drained_at) == len(cached) > 0
        )
        assert not [
            at
            for at, address in resolver.fresh_answers
            if at > drained_at and address == CACHE_ADDRESSES[cache][0]
        ]

    run_scenario(scenario)


def test_a_restarted_cache_is_named_within_its_slow_start_budget() -> None:
    """Naming counts against the cold budget: a flood of queries must not all go to the empty cache."""

    async def scenario(depot: DnsDirector) -> None:
        depot.receive_list(replace(member("c0"), started_at_us=depot.core.now()))
        resolver = Resolver()
        for part in range(150):
            await client(resolver, part)
        cold = sum(address == CACHE_ADDRESSES["c0"][0] for _, address in resolver.fresh_answers)
        router = depot.core.router
        assert isinstance(router, Router)
        peer = router.endpoints.members["c0"]
        # The initial estimate of a chunk's sending time in microseconds is half its aim.
        rules, work = SETTINGS.rules, 250_000.0
        most = (
            rules.overload_multiple
            * peer.info.weight
            * rules.warm_up_start_share
            * rules.overload_window_us
            * 1.3
        )
        assert 0 < cold * work <= most and len(peer.warm_up_sends) == cold
        # Naming a cache adds neither latency nor hit observations.
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
        # The prerequisite of the repeated update fails, and none of its changes is applied.
        change.add("other", 60, "A", "127.77.9.9")
        assert (await ask(change)).rcode() == dns.rcode.YXDOMAIN
        other = await ask(dns.message.make_query("other.depot.test.", "A"))
        assert other.rcode() == dns.rcode.NXDOMAIN
        foreign = dns.update.UpdateMessage("depot.test.", keyring=key)
        foreign.add("0.7f3a9c21e0b4d655.chunk.route", 60, "A", "127.77.9.9")
        assert (await ask(foreign)).rcode() == dns.rcode.REFUSED

    run_scenario(scenario)


def test_names_are_routed_through_cells() -> None:
    """A tenant's names resolve to its own cell's caches at any load, and no request stays in flight."""
    plan = CellPlan(
        {"a": Cell("a", ("c0",)), "b": Cell("b", ("c1", "c2"))}, {"depot": TenantSpec("depot", cells=("a",))}
    )

    async def scenario(depot: DnsDirector) -> None:
        resolver = Resolver()
        for part in range(40):
            await client(resolver, part)
        assert {address for _, address in resolver.fresh_answers} == {CACHE_ADDRESSES["c0"][0]}
        cells = depot.core.router
        assert isinstance(cells, CellRouter)
        assert not cells.requests and cells.cells["a"].in_flight == 0

    async def main() -> None:
        await DnsDirector(lambda s, seed, now: CellRouter(s, seed, now, plan, 400)).run(scenario)

    asyncio.run(main())
