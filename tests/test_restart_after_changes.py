"""What a call, an update or a reload accepts, the next start accepts; one bad record harms nobody else."""

from __future__ import annotations

import asyncio
import random
from types import SimpleNamespace
from typing import cast

import dns.message
import dns.rcode
import dns.rdatatype
import dns.rrset
import dns.update
import pytest

from onyxwick.cells import CellRouter
from onyxwick.config.cells import json_of_plan
from onyxwick.core import RequestEngine
from onyxwick.dns import update
from onyxwick.hosting import durable_state as hosting
from onyxwick.hosting.routers import RouterFactory
from onyxwick.store.encryption import SecretCipher, generate_key
from onyxwick.store.errors import SecretUnreadableError
from onyxwick.store.row_schema import StoredPlan, StoredRows, pack_row, unpack_row
from onyxwick.store.transactions import WriteOperation
from onyxwick.tenant_errors import AlreadyExistsError
from onyxwick.tenants import Tenant, Tenants
from onyxwick.zones import read_accepted_zone, read_name, read_zone
from tests.cells import plan_of
from tests.director_with_store import DirectorWithStore, load_tenants, open_state
from tests.faulty_files import FaultyFiles
from tests.router_harness import SETTINGS

HEAD = "@ 60 IN SOA ns a 1 1 1 1 60\n@ 60 IN NS ns\nns 60 IN A 192.0.2.1\n"
SEEDS = range(20)
CALLS_PER_SEED = 40


def _restarted(director: DirectorWithStore) -> DirectorWithStore:
    return DirectorWithStore(director.files.after_crash(random.Random(1)))


async def _with_tenants(*names: str) -> DirectorWithStore:
    director = DirectorWithStore(FaultyFiles())
    for name in names:
        assert (await director.call("POST", "/tenants", {"name": name}))[0] == 201
    return director


async def _put(director: DirectorWithStore, tenant: str, zone: str, text: str = HEAD) -> int:
    return (await director.call("PUT", f"/tenants/{tenant}/zones/{zone}", {"text": text}))[0]


def _state(director: DirectorWithStore) -> dict[str, dict[str, str]]:
    return {
        tenant.name: {str(name): zone.data.to_text(relativize=False) for name, zone in tenant.zones.items()}
        for tenant in director.tenants.tenants.values()
    }


# Guards against: two accepted zones of two tenants, one below the other, that keep the next start from
# serving (review/10).
@pytest.mark.parametrize("outer_first", [True, False])
def test_a_zone_around_or_below_another_tenants_is_refused_in_either_order(outer_first: bool) -> None:
    async def scenario() -> None:
        director = await _with_tenants("yards", "depots")
        calls = [("yards", "north.depot.example."), ("depots", "depot.example.")]
        first, second = reversed(calls) if outer_first else calls
        assert (await _put(director, *first), await _put(director, *second)) == (201, 409)
        again = _restarted(director)
        assert _state(again) == _state(director)
        assert (await again.call("DELETE", f"/tenants/{first[0]}/zones/{first[1]}"))[0] == 204
        assert await _put(again, *second) == 201, "the refused zone is accepted once the other has gone"

    asyncio.run(scenario())


def test_a_tenant_may_have_zones_below_its_own_in_any_order() -> None:
    async def scenario() -> None:
        director = await _with_tenants("yards")
        for zone in ("a.b.example.", "example.", "b.example."):
            assert await _put(director, "yards", zone) == 201
        assert _state(_restarted(director)) == _state(director)

    asyncio.run(scenario())


# Guards against: stores of earlier versions, which accepted such zones, being refused.
def test_nested_zones_that_are_stored_are_served_after_a_start() -> None:
    async def scenario() -> None:
        director = await _with_tenants("yards", "depots")
        assert await _put(director, "yards", "north.depot.example.") == 201
        director.tenants.add_accepted_zone(read_zone("depots", "depot.example.", HEAD))
        operations = director.durable.tenant_operations("depots", director.tenants.tenants["depots"])
        await director.durable.commit(operations, "test")
        again = _restarted(director)
        assert not again.durable.unused_rows and _state(again) == _state(director)
        nearest = again.tenants.nearest_zone(read_name("x.north.depot.example."))
        assert nearest is not None and nearest.tenant == "yards"

    asyncio.run(scenario())


# Guards against: an accepted zone whose stored text is longer than the text of the call (review/9).
@pytest.mark.parametrize("names", [6_000, 9_500])
def test_a_zone_that_grows_as_it_is_written_out_is_served_after_a_start(names: int) -> None:
    async def scenario() -> None:
        director = await _with_tenants("yards")
        text = HEAD + "".join(f"b{number} 60 A 192.0.2.1\n" for number in range(names))
        assert await _put(director, "yards", "boxes.north.depot.example.", text) == 201
        again = _restarted(director)
        (zone,) = again.tenants.tenants["yards"].zones.values()
        assert len(zone.data.nodes) == names + 2

    asyncio.run(scenario())


# Guards against: a zone that moved from a tenant of the service file to one whose name sorts before it.
@pytest.mark.parametrize("target", ["aaa", "zzz"])
def test_a_zone_that_moved_from_the_service_files_tenant_is_served_after_a_start(target: str) -> None:
    def file_tenants() -> Tenants:
        tenants = Tenants()
        for name in ("filed", target):
            tenants.add(Tenant(name))
        tenants.add_zone(read_zone("filed", "b.example.", HEAD))
        return tenants

    async def scenario() -> None:
        director = DirectorWithStore(FaultyFiles())
        tenants = file_tenants()
        director.api.api.tenants = tenants
        assert (await director.call("DELETE", "/tenants/filed/zones/b.example."))[0] == 204
        assert await _put(director, target, "b.example.") == 201
        restarted = file_tenants()
        load_tenants(open_state(director.files.after_crash(random.Random(1))), restarted)
        zone = restarted.zone_of_text("b.example.")
        assert zone is not None and zone.tenant == target

    asyncio.run(scenario())


def test_a_zone_of_the_service_file_gives_way_to_a_stored_one_of_that_name() -> None:
    async def scenario() -> None:
        director = await _with_tenants("stored")
        assert await _put(director, "stored", "b.example.") == 201
        tenants = Tenants()
        tenants.add(Tenant("filed"))
        tenants.add_zone(read_zone("filed", "b.example.", HEAD))
        tenants.add_zone(read_zone("filed", "c.example.", HEAD))
        load_tenants(open_state(director.files.after_crash(random.Random(1))), tenants)
        owners = {str(name): zone.tenant for name, zone in tenants.zones.items()}
        assert owners == {"b.example.": "stored", "c.example.": "filed"}

    asyncio.run(scenario())


# Guards against: one record that cannot be used keeping all from being served, or lost at the next call.
@pytest.mark.parametrize("bad", ["zone", "key", "tenant"])
def test_one_bad_record_keeps_nobody_from_being_served_and_is_kept(bad: str) -> None:
    async def scenario() -> None:
        director = await _with_tenants("yards", "depots")
        for zone in ("one.example.", "two.example."):
            assert await _put(director, "yards", zone) == 201
        assert await _put(director, "depots", "depot.example.") == 201
        secret = {"secret": "b255eHdpY2stdGVzdC1rZXk="}
        for tenant in ("yards", "depots"):
            assert (await director.call("PUT", f"/tenants/{tenant}/keys/k.{tenant}.", secret))[0] == 201
        foreign = SecretCipher([generate_key()]).encrypt(b"secret-of-another")
        rows: dict[str, StoredRows] = {
            "zone": {"zone/yards/one.example.": {"text": "@ IN SOA broken", "routed": None}},
            "key": {"key/yards/k.yards.": {"secret": foreign}},
            "tenant": {"tenant/yards": {"quota_per_s": 5.0, "token": foreign}},
        }
        ((key, row),) = rows[bad].items()
        await director.durable.commit([WriteOperation(key, pack_row(key, row))], "test")
        again = _restarted(director)
        assert key in again.durable.unused_rows
        assert "depot.example." in _state(again)["depots"]
        if bad != "tenant":
            assert "two.example." in _state(again)["yards"]
            assert await _put(again, "yards", "three.example.") == 201
        value = again.durable.engine.get(key)
        assert value is not None and unpack_row(key, value) == row, "the record is kept for the operators"
        assert (await again.call("POST", "/tenants", {"name": "yards"}))[0] == (
            201 if bad == "tenant" else 409
        )
        assert (await again.call("DELETE", "/tenants/yards"))[0] == 204
        assert again.durable.engine.get(key) is None

    asyncio.run(scenario())


def test_a_key_file_that_decrypts_no_secret_is_refused() -> None:
    async def scenario() -> None:
        director = await _with_tenants("yards")
        token = {"token": "token-of-the-yards"}
        assert (await director.call("PATCH", "/tenants/yards", token))[0] == 200
        state = open_state(director.files.after_crash(random.Random(1)))
        state.cipher = SecretCipher([generate_key()])
        with pytest.raises(SecretUnreadableError):
            load_tenants(state, Tenants())

    asyncio.run(scenario())


def test_a_token_that_cannot_be_encoded_is_refused() -> None:
    async def scenario() -> None:
        director = await _with_tenants("yards")
        status, _ = await director.call("PATCH", "/tenants/yards", {"token": "\ud800" * 20})
        assert status == 400
        assert (await director.call("GET", "/tenants"))[0] == 200
        assert _state(_restarted(director)) == {"yards": {}}

    asyncio.run(scenario())


@pytest.mark.parametrize("seed", SEEDS)
def test_random_calls_leave_the_same_state_after_a_start(seed: int) -> None:
    rng = random.Random(seed)
    tenants = ["aaa", "mmm", "zzz"]
    zones = ["example.", "a.example.", "b.a.example.", "b.example.", "0/25.2.0.192.in-addr.arpa."]

    async def act(director: DirectorWithStore) -> None:
        tenant, zone = rng.choice(tenants), rng.choice(zones)
        match rng.randrange(6):
            case 0:
                await director.call("POST", "/tenants", {"name": tenant, "quota_per_s": rng.randrange(1, 9)})
            case 1:
                await director.call("DELETE", f"/tenants/{tenant}")
            case 2:
                await director.call("DELETE", f"/tenants/{tenant}/zones/{zone}")
            case _:
                await _put(director, tenant, zone, HEAD + f"w{rng.randrange(9)} 60 A 192.0.2.7\n")

    async def scenario() -> None:
        director = await _with_tenants(*tenants)
        for _ in range(CALLS_PER_SEED):
            await act(director)
            if rng.random() < 0.2:
                before = _state(director)
                director = _restarted(director)
                assert _state(director) == before and not director.durable.unused_rows

    asyncio.run(scenario())


# Guards against: an update whose records no start can read back.
@pytest.mark.parametrize(
    "kind", [dns.rdatatype.OPT, dns.rdatatype.ANY, dns.rdatatype.TSIG, dns.rdatatype.NONE]
)
def test_an_update_that_adds_records_of_a_type_without_data_is_refused(kind: dns.rdatatype.RdataType) -> None:
    zone = read_zone("yards", "example.", HEAD)
    message = dns.update.UpdateMessage("example.")
    rrset = dns.rrset.RRset(read_name("x.example."), dns.rdataclass.IN, kind)
    message.update.append(rrset)
    with pytest.raises(update.UpdateError) as refused:
        update.apply_update(zone, message)
    assert refused.value.rcode == dns.rcode.FORMERR


@pytest.mark.parametrize(
    "record",
    [
        "A 192.0.2.9",
        'TXT "a;b" "" "\\"q\\""',
        "TYPE65280 \\# 3 010203",
        "CNAME other.example.",
        "SRV 0 0 1 x.",
    ],
)
def test_what_an_update_adds_is_read_back(record: str) -> None:
    zone = read_zone("yards", "example.", HEAD)
    message = dns.update.UpdateMessage("example.")
    kind, _, data = record.partition(" ")
    message.add("x\\046y\\000.example.", 60, kind, data)
    received = dns.message.from_wire(message.to_wire())
    assert isinstance(received, dns.update.UpdateMessage)
    update.apply_update(zone, received)
    text = zone.data.to_text(relativize=False)
    again = read_accepted_zone("yards", "example.", text)
    assert again.data.to_text(relativize=False) == text


# ---- plans of cells -------------------------------------------------------------------------------------


async def _with_plan(stored: StoredPlan) -> DirectorWithStore:
    director = DirectorWithStore(FaultyFiles())
    await director.durable.commit([director.durable.cell_plan_operation(stored)], "test")
    return director


def _restore(director: DirectorWithStore, cells: CellRouter) -> None:
    routers = cast(RouterFactory, SimpleNamespace(cells=cells, sites=None))
    engine = cast(RequestEngine, SimpleNamespace(now=lambda: 0))
    hosting._restore_cell_plan(engine, director.durable, routers)


# Guards against: a stored plan that cannot be used keeping the director from its start.
@pytest.mark.parametrize("stored", [{"cells": {}}, {"unknown": {}}, {"cells": {"a": {"fallback": "b"}}}])
def test_the_files_plan_applies_where_the_stored_one_cannot_be_used(stored: dict[str, object]) -> None:
    async def scenario() -> None:
        director = await _with_plan(StoredPlan(3, stored))
        cells = CellRouter(SETTINGS, 1, 0, plan_of(), 100)
        before = cells.plan
        _restore(director, cells)
        assert cells.plan is before

    asyncio.run(scenario())


# Guards against: a plan that a call made returning at a restart after a reload has replaced it.
def test_a_plan_that_a_reload_has_replaced_does_not_return_at_a_start() -> None:
    async def scenario() -> None:
        director = await _with_plan(StoredPlan(3, json_of_plan(plan_of())))
        director.durable.forget_cell_plan()
        await asyncio.gather(*director.durable.background_commits)
        assert _restarted(director).durable.cell_plan() is None
        early = open_state(director.files.after_crash(random.Random(1)))
        early.forget_cell_plan()  # by a reload before the store accepts commits
        early.start()
        await asyncio.gather(*early.background_commits)
        assert early.cell_plan() is None

    asyncio.run(scenario())


def test_zones_of_the_service_file_are_checked_in_their_order() -> None:
    tenants = Tenants()
    for name in ("yards", "depots"):
        tenants.add(Tenant(name))
    tenants.add_zone(read_zone("yards", "depot.example.", HEAD))
    with pytest.raises(AlreadyExistsError):
        tenants.add_zone(read_zone("depots", "north.depot.example.", HEAD))
