"""Work whose length a peer chooses: bounded in a turn of the event loop, and charged to whoever asks."""

from __future__ import annotations

import asyncio
import random
import socket
import threading
import time
from collections.abc import Callable
from typing import cast

import dns.flags
import dns.message
import dns.name
import dns.node
import dns.rcode
import dns.rdatatype
import dns.tsigkeyring
import dns.update
import pytest

from onyxwick.admin.api import AdminApi
from onyxwick.admin.http_messages import Answer, HttpError, HttpRequest
from onyxwick.admin.http_server import HttpServer
from onyxwick.background_work import MAX_WAITING, BackgroundWork, Price
from onyxwick.counters import Counters
from onyxwick.dns import lookup, query_handler
from onyxwick.dns.open_queries import MAX_OPEN_OF_TENANT
from onyxwick.dns.query_handler import QueryHandler, SendBytes
from onyxwick.dns.routed_names import RoutedNames
from onyxwick.dns.server import MAX_OPEN_QUERIES
from onyxwick.dns.turn_budget import TurnBudget
from onyxwick.dns.zone_updates import _changed_copy
from onyxwick.packed_nodes import take_nodes
from onyxwick.store import StoreFailedError, WriteOperation
from onyxwick.store.durable_state import DurableState
from onyxwick.tenant_errors import TenantError, TooManyCallsError
from onyxwick.tenants import Tenant, Tenants, read_key
from onyxwick.work_quota import WorkQuota
from onyxwick.zones import (
    MAX_RRSET_RECORDS,
    MAX_ZONE_RECORDS,
    TenantZone,
    read_name,
    read_zone,
)
from tests.director_with_store import DirectorWithStore, load_tenants, open_state
from tests.faulty_files import FaultyFiles

HEAD = "@ 60 IN SOA ns a 1 1 1 1 60\n@ 60 IN NS ns\nns 60 IN A 192.0.2.1\n"
LARGE = HEAD + "".join(f"b{number} 60 A 192.0.2.1\n" for number in range(10_000))
MAX_GAP_S = 0.5
"""What a request may be late by before it is lost; the loop may stand still for less."""
BEAT_S = 0.001
STABLE_POLLS, POLL_S = 30, 0.01
"""A count that is the same for so many looks grows no more."""
LABELS = ("a", "b", "c")
SECRET = "b255eHdpY2stdGVzdC1rZXk="


class _Heartbeat:
    """Records the longest time between two turns of the event loop."""

    def __init__(self) -> None:
        self.longest_s = 0.0
        self._has_beaten = asyncio.Event()

    async def __aenter__(self) -> _Heartbeat:
        self._task = asyncio.create_task(self._beat())
        await self._has_beaten.wait()
        return self

    async def __aexit__(self, *_: object) -> None:
        self._has_beaten.clear()
        await self._has_beaten.wait()  # so that the last turn counts
        self._task.cancel()

    async def _beat(self) -> None:
        before_s = time.monotonic()
        while True:
            await asyncio.sleep(BEAT_S)
            now_s = time.monotonic()
            self.longest_s = max(self.longest_s, now_s - before_s)
            before_s = now_s
            self._has_beaten.set()


def _tenants(**zones: str) -> Tenants:
    """Return tenants with a zone NAME.example. each, and a key k.NAME."""
    tenants = Tenants()
    for name, text in zones.items():
        tenant = Tenant(name)
        tenants.add(tenant)
        tenants.add_zone(read_zone(name, f"{name}.example.", text))
        tenants.add_key(tenant, *read_key(f"k.{name}.", SECRET))
    return tenants


def _handler(tenants: Tenants, durable: DurableState | None = None) -> QueryHandler:
    return QueryHandler(tenants, cast(RoutedNames, None), Counters(), durable, BackgroundWork())


def _query(name: str, kind: str = "A") -> bytes:
    return dns.message.make_query(name, kind).to_wire()


async def _ask(handler: QueryHandler, wire: bytes, over_udp: bool = False) -> dns.message.Message:
    answers: list[bytes] = []
    await handler.handle(wire, over_udp, answers.append)
    (answer,) = answers
    return dns.message.from_wire(answer, keyring=False)


def _update(tenant: str, *changes: tuple[str, str]) -> bytes:
    """Return an update that adds an A record for each name, and deletes those without an address."""
    message = dns.update.UpdateMessage(f"{tenant}.example.")
    for name, address in changes:
        owner = f"{name}.{tenant}.example."
        if address:
            message.add(owner, 60, "A", address)
        else:
            message.delete(owner)
    message.use_tsig(dns.tsigkeyring.from_text({f"k.{tenant}.": SECRET}))
    return message.to_wire()


# ---- names ----------------------------------------------------------------------------------------------


# Guards against: a name that does not exist compared with each of a zone's names, in the loop (review/8).
def test_names_that_do_not_exist_hold_up_nobody() -> None:
    async def scenario() -> None:
        handler = _handler(_tenants(noisy=LARGE, quiet=HEAD))
        async with _Heartbeat() as heartbeat:
            asked = [_ask(handler, _query(f"no{n}.such.noisy.example.")) for n in range(400)]
            answers = await asyncio.gather(*asked)  # static names are answered at once, one by one
        assert {answer.rcode() for answer in answers} == {dns.rcode.NXDOMAIN}
        assert heartbeat.longest_s < MAX_GAP_S

    asyncio.run(scenario())


def _exists(zone: TenantZone, name: dns.name.Name) -> bool:
    return any(other.is_subdomain(name) for other in zone.data.nodes)


def _expected_node(zone: TenantZone, name: dns.name.Name) -> dns.node.Node | None:
    """Find the node by comparing each name of the zone, as RFC 4592 defines the closest encloser."""
    if (node := zone.data.get_node(name)) is not None:
        return node
    if _exists(zone, name):
        return dns.node.Node()  # type: ignore[no-untyped-call]
    parent = name.parent()
    while not _exists(zone, parent):
        parent = parent.parent()
    return zone.data.get_node(dns.name.Name((b"*", *parent.labels)))


@pytest.mark.parametrize("seed", range(20))
def test_lookups_find_what_a_comparison_with_all_names_finds(seed: int) -> None:
    rng = random.Random(seed)

    def name() -> str:
        labels = [rng.choice(LABELS) for _ in range(rng.randint(1, 5))]
        return ".".join(labels if rng.random() < 0.8 else ["*", *labels])

    zone = read_zone("x", "x.example.", HEAD + "".join(f"{name()} 60 A 192.0.2.{n}\n" for n in range(12)))
    for _ in range(20):
        for _ in range(20):
            asked = read_name(f"{name()}.X.example.".upper())
            labels = zone.nodes.labels_of(asked)
            expected, found = _expected_node(zone, asked), lookup._find_node(zone, asked, labels)
            assert (expected is None) == (found is None)
            assert found is None or expected is None or list(found.node()) == list(expected)
        zone = _changed_copy(zone, _parsed_update(rng, name))
        rebuilt = take_nodes(zone.name, dict(zone.nodes))
        assert (zone.nodes._packed, zone.nodes._below) == (rebuilt._packed, rebuilt._below)
        assert zone.text == zone.data.to_text(relativize=False)


def _parsed_update(rng: random.Random, name: Callable[[], str]) -> dns.update.UpdateMessage:
    changes = [(name(), rng.choice(["", "192.0.2.9"])) for _ in range(3)]
    keyring = {read_name("k.x."): read_key("k.x.", SECRET)[1]}
    message = dns.message.from_wire(_update("x", *changes), keyring=keyring)
    assert isinstance(message, dns.update.UpdateMessage)
    return message


# Guards against: names of many labels, whose time grows with their square, at the price of short ones.
def test_long_names_are_charged_to_the_tenant_whose_zone_they_are_in() -> None:
    async def scenario() -> None:
        tenants = _tenants(noisy=HEAD, quiet=HEAD)
        handler = _handler(tenants)
        wire = _query("a." * 110 + "noisy.example.")
        async with _Heartbeat() as heartbeat:
            answers = await asyncio.gather(*(_ask(handler, wire) for _ in range(300)))
        rcodes = [answer.rcode() for answer in answers]
        assert rcodes.count(dns.rcode.NXDOMAIN) < 30 and rcodes.count(dns.rcode.SERVFAIL) > 270
        assert all(len(answer.question) == 1 for answer in answers)
        assert handler.counters.counts["dns.quota.noisy"] == rcodes.count(dns.rcode.SERVFAIL)
        assert (await _ask(handler, _query("ns.quiet.example."))).answer
        assert heartbeat.longest_s < MAX_GAP_S
        outside = await _ask(handler, _query("a." * 110 + "elsewhere."))
        assert outside.rcode() == dns.rcode.REFUSED

    asyncio.run(scenario())


# Guards against: queries of one tenant inside its quota that wait for the core and leave no room for others.
def test_the_open_queries_of_one_tenant_are_a_part_of_all(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        tenants = _tenants(noisy=HEAD, quiet=HEAD)
        handler, go = _handler(tenants), asyncio.Event()
        answer = handler._answer

        async def answer_later(query: dns.message.Message, over_udp: bool, send: SendBytes) -> None:
            await go.wait()
            await answer(query, over_udp, send)

        monkeypatch.setattr(handler, "_answer", answer_later)
        wire = _query("ns.noisy.example.")
        asked = [asyncio.create_task(_ask(handler, wire)) for _ in range(MAX_OPEN_OF_TENANT + 50)]
        refused = asyncio.as_completed(asked, timeout=5.0)
        for _ in range(50):
            assert (await next(refused)).rcode() == dns.rcode.SERVFAIL
        assert [task.done() for task in asked].count(True) == 50
        assert MAX_OPEN_OF_TENANT < MAX_OPEN_QUERIES / 2
        quiet = asyncio.create_task(_ask(handler, _query("ns.quiet.example.")))
        await asyncio.sleep(0)
        go.set()
        assert (await quiet).answer
        rcodes = [answer.rcode() for answer in await asyncio.gather(*asked)]
        assert rcodes.count(dns.rcode.SERVFAIL) == 50
        assert (await _ask(handler, wire)).answer, "there is room again"

    asyncio.run(scenario())


def test_messages_wait_for_a_turn_in_which_time_is_left() -> None:
    async def scenario() -> None:
        budget, turns, order = TurnBudget(0.005), [0], list[int]()

        async def work(number: int) -> None:
            await budget.wait()
            with budget:
                time.sleep(0.002)
                order.append(turns[0])

        async def count_turns() -> None:
            while True:
                turns[0] += 1
                await asyncio.sleep(0)

        counting = asyncio.create_task(count_turns())
        await asyncio.gather(*map(work, range(30)))
        counting.cancel()
        assert max(order.count(turn) for turn in order) <= 4 and order[-1] - order[0] >= 7

    asyncio.run(scenario())


def test_a_malformed_question_is_left_to_the_parser() -> None:
    async def scenario() -> None:
        handler = _handler(_tenants(quiet=HEAD))
        header = _query("ns.quiet.example.")[:12]
        for tail in (b"", b"\x03ns", b"\xc0\x0c\x00\x01\x00\x01", b"\x3f" + b"a" * 70, bytes(3)):
            assert (await _ask(handler, header + tail)).rcode() == dns.rcode.FORMERR

    asyncio.run(scenario())


def test_a_set_of_records_is_charged_by_its_size_and_refused_where_no_message_holds_it() -> None:
    text = HEAD + "".join(f"many 60 A 10.0.{n >> 8}.{n & 255}\n" for n in range(1000))

    async def scenario() -> None:
        tenants = _tenants(noisy=text)
        handler = _handler(tenants)
        quota = tenants.tenants["noisy"].quota
        before = quota.tokens
        assert len((await _ask(handler, _query("many.noisy.example."))).answer[0]) == 1000
        assert before - quota.tokens > 1000 / query_handler.RECORDS_PER_TOKEN / 2
        assert (await _ask(handler, _query("many.noisy.example."), over_udp=True)).flags & dns.flags.TC

    asyncio.run(scenario())


# ---- zones and $GENERATE --------------------------------------------------------------------------------


def _admin(tenants: Tenants) -> AdminApi:
    return AdminApi(tenants, Counters(), "operator-token-1", dict)


def _put(tenant: str, text: str, token: str = "operator-token-1") -> HttpRequest:
    body = ('{"text": ' + _json(text) + "}").encode()
    path = f"/tenants/{tenant}/zones/{tenant}.example."
    return HttpRequest("PUT", path, {"authorization": f"Bearer {token}"}, body)


def _json(text: str) -> str:
    return '"' + text.replace('"', '\\"').replace("\n", "\\n") + '"'


# Guards against: a short text that generates any number of records, read in the loop (second review).
@pytest.mark.parametrize("lines", ["$GENERATE 1-100000 a$ 60 A 192.0.2.1\n", LARGE[len(HEAD) :]])
def test_reading_a_zone_holds_up_nobody(lines: str) -> None:
    async def scenario() -> None:
        api = _admin(_tenants(noisy=HEAD))
        async with _Heartbeat() as heartbeat:
            try:
                status = (await api(_put("noisy", HEAD + lines))).status
            except HttpError as error:
                status = error.status
        assert status == (400 if "GENERATE" in lines else 200)
        assert heartbeat.longest_s < MAX_GAP_S

    asyncio.run(scenario())


def test_the_records_that_a_text_generates_are_bounded() -> None:
    with pytest.raises(TenantError, match=str(MAX_ZONE_RECORDS)):
        read_zone("x", "x.example.", HEAD + f"$GENERATE 1-{MAX_ZONE_RECORDS} a$ 60 A 192.0.2.1\n")
    text = HEAD + "".join(f"many 60 TXT {n}\n" for n in range(MAX_RRSET_RECORDS + 1))
    with pytest.raises(TenantError, match=str(MAX_RRSET_RECORDS)):
        read_zone("x", "x.example.", text)


# Guards against: a large zone or update that has the tenant's small calls and its queries refused.
def test_large_work_leaves_the_tenants_other_calls_and_queries_alone() -> None:
    async def scenario() -> None:
        tenants = _tenants(noisy=HEAD)
        tenants.tenants["noisy"].token = "token-of-noisy-00"
        api = _admin(tenants)
        path = "/tenants/noisy/zones/noisy.example."
        get = HttpRequest("GET", path, {"authorization": "Bearer token-of-noisy-00"}, b"")
        for _ in range(2):
            assert (await api(_put("noisy", LARGE, "token-of-noisy-00"))).status == 200
            assert (await api(get)).status == 200
        handler = _handler(tenants)
        for number in range(5):
            updated = await _ask(handler, _update("noisy", (f"n{number}", "192.0.2.9")))
            assert updated.rcode() == dns.rcode.NOERROR
            assert (await _ask(handler, _query("ns.noisy.example."))).answer

    asyncio.run(scenario())


def test_a_zone_is_charged_by_its_time_to_the_tenant_that_calls() -> None:
    async def scenario() -> None:
        tenants = _tenants(noisy=HEAD)
        tenants.tenants["noisy"].token = "token-of-noisy-00"
        api = _admin(tenants)
        request = _put("noisy", LARGE, "token-of-noisy-00")
        bucket = tenants.tenants["noisy"].zone_quota.bucket
        before_ms = bucket.tokens
        assert (await api(request)).status == 200
        spent_ms = before_ms - bucket.tokens
        assert spent_ms > 0
        generate = _put("noisy", HEAD + "$GENERATE 1-100000 a$ 60 A 192.0.2.1\n", "token-of-noisy-00")
        with pytest.raises(HttpError):
            await api(generate)
        assert before_ms - bucket.tokens > spent_ms, "what is refused is charged as well"
        bucket.charge(2 * before_ms)
        assert (await api(request)).status == 200, "what was accepted can be corrected once in debt"
        with pytest.raises(HttpError) as rejected:
            await api(request)
        assert rejected.value.status == 429
        assert int(rejected.value.headers["Retry-After"]) > 1
        assert (await api(_put("noisy", HEAD))).status == 200, "the operator's calls are free"

    asyncio.run(scenario())


def test_an_owner_with_too_much_work_waiting_is_refused_and_the_others_are_not() -> None:
    async def scenario() -> None:
        work, go = BackgroundWork(), threading.Event()
        waiting = [asyncio.create_task(work.do("noisy", go.wait)) for _ in range(MAX_WAITING)]
        while work._open.get("noisy") != MAX_WAITING:
            await asyncio.sleep(0)
        with pytest.raises(TooManyCallsError):
            await work.do("noisy", go.wait)
        other = asyncio.create_task(work.do("quiet", lambda: 7))
        while "quiet" not in work._open:
            await asyncio.sleep(0)
        go.set()
        assert await other == 7 and all(await asyncio.gather(*waiting))
        assert await work.do("noisy", lambda: 8) == 8

    asyncio.run(scenario())


# Guards against: a caller that leaves while its work is done in a thread, whose work is then free.
def test_work_whose_caller_leaves_keeps_its_place_and_its_price() -> None:
    async def scenario() -> None:
        work, go, order = BackgroundWork(), threading.Event(), list[str]()
        began = threading.Event()
        quota = WorkQuota(1000.0, 1.0)

        def burn() -> None:
            began.set()
            go.wait()
            until_s = time.thread_time() + 0.02
            while time.thread_time() < until_s:
                pass
            order.append("first")

        first = asyncio.create_task(work.do("noisy", burn, Price(quota, "zone", 0.0)))
        while not began.is_set():
            await asyncio.sleep(0)
        first.cancel()
        second = asyncio.create_task(work.do("quiet", lambda: order.append("second")))
        await asyncio.gather(first, return_exceptions=True)
        before = quota.bucket.tokens
        go.set()
        await second
        assert order == ["first", "second"] and quota.bucket.tokens < before

    asyncio.run(scenario())


# ---- updates --------------------------------------------------------------------------------------------


# Guards against: each update of a large zone reading and writing out the whole zone in the loop.
def test_updates_of_a_large_zone_hold_up_nobody_and_are_charged() -> None:
    async def scenario() -> None:
        durable = open_state(FaultyFiles())
        durable.start()
        tenants = _tenants(noisy=LARGE)
        handler = _handler(tenants, durable)
        wires = [_update("noisy", *((f"n{n}-{m}", "192.0.2.9") for m in range(500))) for n in range(3)]
        bucket = tenants.tenants["noisy"].update_quota.bucket
        before_ms = bucket.tokens
        async with _Heartbeat() as heartbeat:
            answers = await asyncio.gather(*(_ask(handler, wire) for wire in wires))
            assert bucket.tokens < before_ms
            bucket.charge(2 * before_ms)
            corrected = await _ask(handler, wires[0])
            refused = await _ask(handler, wires[0])
            answered = await _ask(handler, _query("ns.noisy.example."))
        assert [answer.rcode() for answer in answers] == [dns.rcode.NOERROR] * 3
        assert corrected.rcode() == dns.rcode.NOERROR, "the last one may be corrected"
        assert refused.rcode() == dns.rcode.SERVFAIL, "the updates have used up the tenant's work"
        assert answered.answer, "its queries are apart"
        assert heartbeat.longest_s < MAX_GAP_S
        await durable.close()

    asyncio.run(scenario())


# Guards against: two first updates of a tenant of the service file, of which a restart has the last alone.
@pytest.mark.parametrize("seed", range(8))
def test_updates_and_calls_at_once_leave_the_same_state_after_a_start(seed: int) -> None:
    rng = random.Random(seed)

    async def scenario() -> None:
        director = DirectorWithStore(FaultyFiles())
        tenants = _tenants(one=HEAD, two=HEAD)
        tenants.add_zone(read_zone("one", "second.one.example.", HEAD))
        director.api.api.tenants = tenants
        handler = _handler(tenants, director.durable)

        async def act(number: int) -> None:
            await asyncio.sleep(rng.random() * 0.02)
            match rng.randrange(5):
                case 0:
                    path = "/tenants/one/zones/second.one.example."
                    await director.call("PUT", path, {"text": HEAD + f"w{number} 60 A 192.0.2.3\n"})
                case 1:
                    await director.call("PATCH", "/tenants/two", {"quota_per_s": 100 + number})
                case _:
                    wire = _update(rng.choice(["one", "two"]), (f"n{number}", "192.0.2.9"))
                    assert (await _ask(handler, wire)).rcode() == dns.rcode.NOERROR

        for _ in range(3):
            await asyncio.gather(*(act(number) for number in range(4)))
        restarted = _tenants(one=HEAD, two=HEAD)
        load_tenants(open_state(director.files.after_crash(random.Random(seed))), restarted)
        before, after = (
            {str(name): zone.text for name, zone in each.zones.items()} for each in (tenants, restarted)
        )
        if director.durable.engine.get("tenant/one") is None:
            del before["second.one.example."]  # of the file, and never changed
        assert after == before

    asyncio.run(scenario())


def test_a_query_sees_an_update_only_once_it_is_durable(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        durable = open_state(FaultyFiles())
        durable.start()
        tenants = _tenants(one=HEAD)
        handler = _handler(tenants, durable)
        seen = list[int]()

        async def fail(*_: object) -> None:
            seen.append((await _ask(handler, _query("new.one.example."))).rcode())
            raise StoreFailedError("the disk is gone")

        monkeypatch.setattr(durable, "commit", fail)
        answer = await _ask(handler, _update("one", ("new", "192.0.2.9")))
        assert (answer.rcode(), seen) == (dns.rcode.SERVFAIL, [dns.rcode.NXDOMAIN])
        assert (await _ask(handler, _query("new.one.example."))).rcode() == dns.rcode.NXDOMAIN

    asyncio.run(scenario())


# ---- calls and listings ---------------------------------------------------------------------------------


# Guards against: the answers to a pipeline of listings held all at once, for a caller that reads none.
def test_a_pipeline_of_listings_is_answered_as_it_is_read() -> None:
    calls = 0

    def handle(_: HttpRequest) -> Answer:
        nonlocal calls
        calls += 1
        return Answer(200, {"text": "x" * 300_000})

    async def scenario() -> None:
        with socket.create_server(("127.0.0.1", 0)) as listener:
            listener.setblocking(False)
            server = HttpServer(listener.getsockname(), handle, Counters())
            task = asyncio.create_task(server.run(listener))
            client = socket.create_connection(listener.getsockname())
            client.sendall(b"GET /x HTTP/1.1\r\nHost: a\r\n\r\n" * 400)
            before, polls = -1, 0
            while not calls or polls < STABLE_POLLS:
                await asyncio.sleep(POLL_S)
                polls = polls + 1 if calls == before else 0
                before = calls
            assert calls < 200
            client.close()
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

    asyncio.run(scenario())


# Guards against: a call's answer given to another tenant, or to nobody, by its Idempotency-Key alone
# (second review, no case).
def test_an_idempotency_key_is_its_callers_own() -> None:
    async def scenario() -> None:
        director = DirectorWithStore(FaultyFiles())
        for name in ("one", "two"):
            data = {"name": name, "token": f"token-of-tenant-{name}"}
            assert (await director.call("POST", "/tenants", data))[0] == 201

        async def put(path_tenant: str, token: str) -> int:
            request = _put(path_tenant, HEAD, token)
            request.headers["idempotency-key"] = "key-1"
            try:
                return (await director.api(request)).status
            except HttpError as error:
                return error.status

        assert await put("one", "token-of-tenant-one") == 201
        assert await put("one", "token-of-tenant-one") == 201, "repeated"
        assert await put("one", "token-of-tenant-two") == 404
        assert await put("two", "token-of-tenant-two") == 201, "its own call"
        assert await put("one", "token-of-no-tenant") == 401

    asyncio.run(scenario())


# Guards against: a drain that is stored and answered with yes to a repeated call, and not in force, as the
# first call's connection ended while the store committed it (second review, no case).
def test_a_drain_whose_call_is_cut_off_is_in_force(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        director = DirectorWithStore(FaultyFiles())
        began, commit = asyncio.Event(), director.durable.commit

        async def commit_slowly(operations: list[WriteOperation], author: str) -> None:
            began.set()
            await asyncio.sleep(0)
            await commit(operations, author)

        monkeypatch.setattr(director.durable, "commit", commit_slowly)
        call = asyncio.create_task(director.call("PUT", "/drains/c0", {"reason": "disk"}, "key-1"))
        await began.wait()
        call.cancel()
        await asyncio.gather(call, return_exceptions=True)
        assert (await director.call("PUT", "/drains/c0", {"reason": "disk"}, "key-1"))[0] == 200
        assert not director.core.endpoints.is_ready("c0")

    asyncio.run(scenario())


def test_keys_are_found_by_name_whichever_tenant_has_them() -> None:
    tenants = _tenants(one=HEAD, two=HEAD)
    one, two = tenants.tenants["one"], tenants.tenants["two"]
    shared = read_name("k.one.")
    tenants.add_key(two, shared, b"another secret of two")
    assert tenants.remove_key(two, shared) and tenants.keys[shared] == one.keys[shared]
    tenants.remove("one")
    assert set(tenants.keys) == set(two.keys) == {read_name("k.two.")}
