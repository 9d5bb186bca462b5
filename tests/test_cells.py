"""Cells under failure: each hard case of containment and of migrations, with real routers."""

from __future__ import annotations

import asyncio
import socket
from dataclasses import replace

import pytest

from onyxwick.cells import (
    Cell,
    CellPlan,
    CellPlanControl,
    CellPlanError,
    PlanVersionConflictError,
    TenantSpec,
)
from onyxwick.cells.migration import (
    LEGAL_TRANSITIONS,
    CellHealthSignals,
    IllegalMigrationTransitionError,
    Migration,
    MigrationPhase,
)
from onyxwick.cells.model import CellPolicy, MigrationSpec
from onyxwick.cells.reservation import ConnectionReservation
from onyxwick.cells.router import CellRouter
from onyxwick.cells.status import explain, router_status
from onyxwick.core import AttemptOutcome, AttemptSpec, RequestEngine
from onyxwick.core.endpoints import EndpointTable
from onyxwick.counters import Counters
from onyxwick.interface import (
    AnswerDetail,
    AttemptEnded,
    AttemptStatus,
    EndpointListKind,
    EndpointsChanged,
    MemberState,
    ObjectsPurged,
    TimerFired,
    WeightSource,
)
from onyxwick.net import fastcgi
from onyxwick.net.front import FastCgiFront
from onyxwick.net.front_connection import FrontConnection
from tests.cells import CACHES, CELL_SETTINGS, CellWorld, plan_of, rejections
from tests.router_harness import ORIGIN, PARENTS, S, forwards

HEALTHY = CellHealthSignals(
    target_caches=4,
    target_ready=4,
    target_warm_share=1.0,
    target_pressure=0.0,
    source_ready=4,
    source_in_flight=0,
    target_in_flight=0,
)
MIGRATION = MigrationSpec("m", "t1", ("b",), warm_up_us=2 * S, soak_us=S)


def _settle(w: CellWorld, seconds: float) -> None:
    w.pass_time(int(seconds * S))


def test_each_tenant_stays_in_its_cell() -> None:
    w = CellWorld()
    for tenant, cell in (("t1", "a"), ("t2", "b")) * 40:
        request = w.send_request(tenant)
        (attempt,) = forwards(w.last)
        assert attempt.member in w.cells.membership.placement.members(cell)
        w.end_attempt(request)
    assert (
        not w.cells.requests
        and not w.cells.admission.in_flight_by_tenant_cell
        and w.cells.admission.write_gate.in_flight == 0
    )


def test_health_and_budgets_do_not_leak() -> None:
    """All caches of one cell fail and its retries run out: the other cell's router has observed nothing."""
    w = CellWorld()
    for _ in range(60):
        request = w.send_request("t1")
        while (out := [key for key in w.in_flight if key[0] == request]) and request in w.cells.requests:
            w.end_attempt(request, AttemptStatus.CONNECT_FAILED, out[0][1])
    a, b = (w.cells.cells[n].router for n in "ab")
    assert a.retry_budget.tokens < a.retry_budget.max_tokens
    assert any(p.ejected for p in a.endpoints.members.values())
    assert b.retry_budget.tokens == b.retry_budget.max_tokens
    assert not any(p.ejected or p.failure_score for p in b.endpoints.members.values())


def test_a_purge_reaches_every_cell_and_those_created_later() -> None:
    w = CellWorld()
    w.handle(ObjectsPurged(1, None, 10_000))
    later = plan_of((Cell("a"), Cell("b"), Cell("c")))
    w.cells.apply_plan(w.now, later)
    w.handle()
    w.now += S
    purges = {name: unit.router.purges for name, unit in w.cells.cells.items()}
    assert set(purges) == {"a", "b", "c"} and len({tuple(p.groups.items()) for p in purges.values()}) == 1
    assert not any(p.objects for p in purges.values())
    assert purges["c"].groups[1] == w.now - S - 10_000


def test_an_unknown_tenant_is_rejected_and_the_default_one_used() -> None:
    w = CellWorld()
    w.send_request("nobody")
    assert rejections(w.last) and w.cells.counts["unknown_tenant"] == 1
    w = CellWorld(plan_of(policy=CellPolicy(default_tenant="t2")))
    assert w.cell_of(w.send_request(None)) == "b"


def test_a_tenants_rate_is_limited_with_a_retry_after() -> None:
    w = CellWorld(
        plan_of(tenants=(TenantSpec("t1", cells=("a",), rate_per_s=10), TenantSpec("t2", cells=("b",))))
    )
    answers = []
    for _ in range(30):
        w.send_request("t1")
        answers += rejections(w.last)
    assert len(answers) == 20 and all(0 < a.retry_after_us <= 500_000 for a in answers)
    w.send_request("t2")
    assert not rejections(w.last)
    w.now += S
    w.send_request("t1")
    assert not rejections(w.last)


@pytest.mark.parametrize("kind", ["chunk", "save"])
def test_a_flood_in_one_cell_leaves_another_its_concurrency(kind: str) -> None:
    """Ten times its rate, never answered, with reads or with writes only: the neighbour's are served."""
    w = CellWorld()
    for _ in range(1500):
        w.send_request("t1", kind)
    assert len(w.cells.requests) < 400, "what is over the cell's bounds was refused"
    for _ in range(20):
        request = w.send_request("t2", kind)
        assert forwards(w.last) and not rejections(w.last)
        w.end_attempt(request)
    assert w.cells.cells["a"].in_flight <= w.cells.admission.concurrency_pool.upper_bound("a")


def test_a_cell_without_caches_rejects_at_once_or_falls_back_within_spare_capacity() -> None:
    plan = plan_of((Cell("a"), Cell("b")))
    for fallback in (None, "b"):
        w = CellWorld(replace(plan, cells={"a": Cell("a", fallback=fallback), "b": Cell("b")}))
        for cache in CACHES:
            if w.cells.membership.placement.cell_of_cache[cache.address] == "a":
                w.change_member(cache, MemberState.REMOVED)
        w.send_request("t1")
        answer = next(iter(rejections(w.last)), None)
        assert (answer is not None) == (fallback is None)
        assert "No box of a" in explain(w.cells, "t1", "o")[-1]
        if answer is not None:
            assert answer.retry_after_us > 0
            continue
        w.cells.cells["b"].gate.adaptive_limit.limit = 20.0
        taken = sum(not rejections((w.send_request("t1"), w.last)[1]) for _ in range(300))
        gate = w.cells.cells["b"].gate
        assert 0 < taken <= 0.5 * gate.adaptive_limit.limit + 1
        assert w.cells.counts["shed.no_spare.t1"] > 0
        w.send_request("t2")
        assert not rejections(w.last), "the cell's own tenants have the rest"


def test_departed_caches_stay_assigned_for_a_while() -> None:
    """A cell whose caches fail is not given its neighbour's at once: what brought them down would go on."""
    w = CellWorld(plan_of(policy=CellPolicy(seat_retention_us=5 * S)))
    own = w.cells.membership.placement.members("b")
    for cache in CACHES:
        if cache.address not in own:
            w.change_member(cache, MemberState.REMOVED)
    assert w.cells.membership.placement.members("b") == own
    _settle(w, 6)
    assert len(w.cells.membership.placement.members("b")) < len(own)


# ---- moves ----------------------------------------------------------------------------------------------


def test_a_migration_warms_up_cuts_over_and_ends_writes_in_flight_where_they_began() -> None:
    w = CellWorld(plan_of(migrations=(MIGRATION,)))
    booking = w.send_request("t1", "save")
    assert w.cell_of(booking) == "a"
    seen, shares = [], []
    for _ in range(60):
        _settle(w, 0.1)
        seen.append(w.cells.migrations.by_name["m"].phase)
        shares.append(w.cells.migrations.by_name["m"].share)
        request = w.send_request("t1")
        w.end_attempt(request)
    assert [p for n, p in enumerate(seen) if not n or seen[n - 1] is not p] == [
        MigrationPhase.WARMING,
        MigrationPhase.CUTTING,
        MigrationPhase.DRAINING,
    ]
    assert shares == sorted(shares), "the share only grows while all is well"
    assert w.cell_of(booking) == "a", "the booking under way is the old cell's"
    assert w.cell_of(w.send_request("t1", "save")) == "b", "a new one is the new cell's"
    w.end_attempt(booking, AttemptStatus.RESET)  # its answer is lost during the cut
    assert w.attempts[booking] == 1, "it may have run, so nobody sends it again"
    w.pass_time(200_000)
    assert w.cells.migrations.by_name["m"].phase is MigrationPhase.DONE
    assert explain(w.cells, "t1", "x")[-1] == "It is served by cell 'b'."


def test_an_object_never_returns_while_a_migration_warms_up() -> None:
    migration = Migration(MIGRATION, 0)
    took: set[int] = set()
    for n in range(1, 40):
        migration.step(n * 100_000, HEALTHY)
        now = {key for key in range(0, 2**64, 2**56 + 12345) if migration.is_migrated(key)}
        assert took <= now
        took = now
    assert migration.phase is MigrationPhase.DONE and len(took) == 256


def test_a_migration_into_cold_caches_never_exceeds_their_warm_share() -> None:
    since = 100 * S
    plan = plan_of(
        (Cell("a", tuple(f"b{n}" for n in range(4))), Cell("b", tuple(f"b{n}" for n in range(4, 8))))
    )
    caches = tuple(replace(b, started_at_us=since if n >= 4 else 0) for n, b in enumerate(CACHES))
    w = CellWorld(replace(plan, migrations={"m": MIGRATION}), caches=caches)
    for _ in range(150):
        _settle(w, 0.1)
        migration = w.cells.migrations.by_name["m"]
        assert (
            migration.share <= w.cells.membership.warm_share(("b",), w.now) + 1e-9
            or migration.phase is not MigrationPhase.WARMING
        )
        if migration.phase is not MigrationPhase.WARMING:
            assert w.now - since >= CELL_SETTINGS.rules.warm_up_us
    assert migration.share < 1 and migration.phase is MigrationPhase.WARMING, "a box is warm only after 16 s"
    _settle(w, 3)
    assert migration.phase in (MigrationPhase.CUTTING, MigrationPhase.DRAINING, MigrationPhase.DONE)


def test_a_drain_or_failure_in_the_target_pauses_a_migration_and_a_loss_after_the_cut_over_aborts_it() -> (
    None
):
    w = CellWorld(plan_of(migrations=(MIGRATION,)))
    _settle(w, 1)
    target = [b for b in CACHES if w.cells.membership.placement.cell_of_cache[b.address] == "b"]
    for cache in target[:3]:
        w.change_member(cache, MemberState.DRAINING)
    _settle(w, 0.2)
    migration = w.cells.migrations.by_name["m"]
    assert migration.phase is MigrationPhase.PAUSED and migration.share < 0.2
    for cache in target[:3]:
        w.change_member(cache, MemberState.READY)
    while migration.phase in (MigrationPhase.PAUSED, MigrationPhase.WARMING):
        _settle(w, 0.1)
    assert migration.phase is MigrationPhase.CUTTING
    for cache in target:
        w.change_member(cache, MemberState.REMOVED)
    _settle(w, 0.3)
    assert migration.phase is MigrationPhase.ABORTED and w.cell_of(w.send_request("t1")) == "a"


@pytest.mark.parametrize("phase", [p for p in MigrationPhase if p is not MigrationPhase.DONE])
def test_a_migration_can_be_aborted_from_every_phase_but_done(phase: MigrationPhase) -> None:
    migration = Migration(MIGRATION, 0)
    migration.phase, migration.share = (
        phase,
        0.7 * (phase not in (MigrationPhase.RETURNING, MigrationPhase.ABORTED)),
    )
    assert migration.abort(S, "taken back") is (phase is not MigrationPhase.ABORTED)
    assert migration.share == 0
    migration.step(2 * S, replace(HEALTHY, target_in_flight=3))
    assert migration.phase is MigrationPhase.RETURNING or phase in (
        MigrationPhase.PLANNED,
        MigrationPhase.ABORTED,
    )
    migration.step(3 * S, HEALTHY)
    assert migration.phase is MigrationPhase.ABORTED and not any(
        migration.is_migrated(k) for k in range(0, 2**64, 2**58)
    )


def test_only_legal_migration_transitions_are_possible() -> None:
    for phase in MigrationPhase:
        for to in MigrationPhase:
            migration = Migration(MIGRATION, 0)
            migration.phase = phase
            if to not in LEGAL_TRANSITIONS[phase]:
                with pytest.raises(IllegalMigrationTransitionError):
                    migration._transition(to, 1, "")
    assert not LEGAL_TRANSITIONS[MigrationPhase.DONE] and not LEGAL_TRANSITIONS[MigrationPhase.ABORTED]


@pytest.mark.parametrize("step", range(0, 60, 4))
def test_a_director_killed_at_any_step_of_a_migration_restarts_safely(step: int) -> None:
    """It does not remember the migration: it serves from the source cell, and earlier purges hold in both."""
    w = CellWorld(plan_of(migrations=(MIGRATION,)))
    for _ in range(step):
        _settle(w, 0.1)
        w.end_attempt(w.send_request("t1"))
    again = CellRouter(CELL_SETTINGS, 8, w.now, w.cells.plan, 400)
    again.handle(
        w.now,
        [EndpointsChanged(EndpointListKind.SNAPSHOT, (*CACHES, *PARENTS, ORIGIN)), ObjectsPurged(1, None, 5)],
    )
    assert again.migrations.by_name["m"].share == 0 and again.cells_for("t1", "x") == ("a",)
    assert all(unit.router.purges for unit in again.cells.values())
    assert again.membership.placement.cell_of_cache == w.cells.membership.placement.cell_of_cache


def test_two_crossing_migrations_and_a_tenant_deleted_while_it_migrates() -> None:
    cross = (MIGRATION, MigrationSpec("n", "t2", ("a",), warm_up_us=2 * S, soak_us=S))
    w = CellWorld(plan_of(migrations=cross))
    _settle(w, 1)
    booking = w.send_request("t1", "save")
    old = w.cell_of(booking)
    w.cells.apply_plan(w.now, plan_of(tenants=(TenantSpec("t2", cells=("b",)),), migrations=(cross[1],)))
    w.send_request("t1")
    assert rejections(w.last), "a deleted tenant's new requests are refused"
    w.end_attempt(booking)
    assert booking not in w.cells.requests and old in w.cells.cells
    _settle(w, 6)
    assert w.cell_of(w.send_request("t2")) == "a" and "m" not in w.cells.migrations.by_name


def test_a_cell_removed_from_the_plan_completes_its_requests() -> None:
    w = CellWorld()
    request = w.send_request("t2")
    w.cells.apply_plan(w.now, plan_of((Cell("a"),), (TenantSpec("t1", cells=("a",)),)))
    assert w.cells.cells["b"].retired and w.cell_of(request) == "b"
    w.end_attempt(request)
    assert set(w.cells.cells) == {"a"} and len(w.cells.cells["a"].router.endpoints.caches) in (4, 8)
    w.handle(TimerFired("b/due"))


def test_plan_changes_are_atomic_and_by_version() -> None:
    w = CellWorld()
    flushed: list[int] = []
    control = CellPlanControl(w.cells, lambda: w.now, lambda: flushed.append(1))
    running = control.plan
    for wrong in (
        plan_of((Cell("a", ("b0",)), Cell("b", ("b0",)))),  # a member in two cells
        plan_of((Cell("a"), Cell("b", ("none-such",)))),  # a cell with no members
        plan_of(tuple(Cell(f"c{n}") for n in range(9)), ()),  # more cells than caches
        plan_of(migrations=(MigrationSpec("m", "who", ("a",)),)),  # an unknown tenant
    ):
        with pytest.raises(CellPlanError):
            control.replace_plan(wrong)
        assert control.plan is running and set(w.cells.cells) == {"a", "b"} and not flushed
    new = plan_of((Cell("a"), Cell("b"), Cell("c")))
    assert control.replace_plan(new, made_for=1) and control.plan.version == 2 and len(flushed) == 1
    assert not control.replace_plan(new, made_for=1), "the same call again changes nothing and is no conflict"
    with pytest.raises(PlanVersionConflictError):
        control.replace_plan(plan_of(), made_for=1)
    assert control.plan.version == 2 and router_status(w.cells)["version"] == 2


def test_the_shares_of_the_parents_reach_the_routers() -> None:
    w = CellWorld()
    assert {unit.router.capacity.fleet_share.parent_share for unit in w.cells.cells.values()} == {0.5}
    w.cells.apply_plan(w.now, plan_of((Cell("a"), Cell("b"), Cell("c"))))
    for _ in range(80):
        _settle(w, 0.1)
        assert sum(u.router.capacity.fleet_share.parent_share for u in w.cells.cells.values()) <= 1 + 2e-3
    assert all(0.3 < u.router.capacity.fleet_share.parent_share < 0.35 for u in w.cells.cells.values())


def test_dns_requests_without_an_observed_end_leave_no_state_behind() -> None:
    w = CellWorld()
    for _ in range(5):
        request = w.send_request("t1")
        where = w.in_flight.pop((request, 0))
        w.handle(AttemptEnded(request, 0, where, AttemptStatus.CANCELLED, 0, is_final=True))
    assert not w.cells.requests


def test_lists_without_weights_divide_the_estimated_capacity_among_cells() -> None:
    told = replace(
        CELL_SETTINGS, weight_source=WeightSource.NONE, zone_link_kb_per_s=56_000.0, transfer_kb_per_s=6_900.0
    )
    cells = CellRouter(told, 7, 0, plan_of(), 400)
    rows = tuple(replace(b, weight=0.0) for b in (*CACHES, *PARENTS, ORIGIN))
    cells.handle(0, [EndpointsChanged(EndpointListKind.SNAPSHOT, rows)])
    routers = [unit.router for unit in cells.cells.values()]
    caches = sum(r.capacity.transfers(p) for r in routers for p in r.endpoints.caches)
    whole = CellPlan({"one": Cell("one")}, {})
    alone = CellRouter(told, 7, 0, whole, 400)
    alone.handle(0, [EndpointsChanged(EndpointListKind.SNAPSHOT, rows)])
    router = alone.cells["one"].router
    assert caches == pytest.approx(sum(router.capacity.transfers(p) for p in router.endpoints.caches))


# ---- the fronts -----------------------------------------------------------------------------------------


def test_unread_answers_and_connections_of_one_cell_leave_the_others_their_share() -> None:
    """Clients that never read fill their own cell's share of the front and no more."""
    w = CellWorld()
    reservation = ConnectionReservation(w.cells, max_bytes=1_000_000, max_clients=100)
    releases = []
    while not reservation.bytes_exhausted("a"):
        releases.append(reservation.reserve_bytes("a", 10_000))
    assert 490_000 <= sum(reservation.bytes.used.values()) <= 520_000 and not reservation.bytes_exhausted("b")
    taken = 0
    while reservation.connect("a"):
        taken += 1
    assert taken == 50 and all(reservation.connect("b") for _ in range(35))
    w.cells.apply_plan(w.now, plan_of((Cell("a"), Cell("b"), Cell("c"))))
    assert reservation.cell_of("t1") == "a" and reservation.cell_of("nobody") is None
    assert reservation.clients.used == {"a": 50.0, "b": 35.0, "c": 0.0}, "what is held stays counted"
    for release in releases:
        release()
    for cell in ["a"] * taken + ["b"] * 35:
        reservation.disconnect(cell)
    assert not any(reservation.bytes.used.values()) and not any(reservation.clients.used.values())
    assert reservation.clients.lent == pytest.approx(0) and reservation.bytes.lent == pytest.approx(0)


def test_a_client_that_never_reads_is_disconnected_within_its_cells_share_with_a_retry_after() -> None:
    """On real sockets: unread answers fill the cell's share; then its requests are rejected, while
    another cell's client is served; and a closed connection gives its share back."""

    class Instant:
        async def run(self, order: AttemptSpec) -> AttemptOutcome:
            return AttemptOutcome(AttemptStatus.OK, AnswerDetail.HIT, body=bytes(100_000), etag="t")

    async def play() -> None:
        plan = plan_of()
        members, counters = EndpointTable(), Counters()
        core = RequestEngine(
            CELL_SETTINGS,
            7,
            Instant(),
            members,
            counters,
            make_router=lambda s, n, at: CellRouter(s, n, at, plan, 400),
        )
        rows = (*CACHES, *PARENTS, ORIGIN)
        core.feed.apply_endpoints(
            EndpointsChanged(EndpointListKind.SNAPSHOT, rows), {m.address: ("127.0.0.1", 9) for m in rows}
        )
        cells = core.router
        assert isinstance(cells, CellRouter)
        reservation = ConnectionReservation(cells, 2_000_000, 40)
        front = FastCgiFront(core, counters, lambda: True, 40, 50_000_000, reservation, "X-Tenant")
        clients = []
        for tenant, sizes in (("t1", 4096), ("t2", 4_000_000)):
            ours, theirs = socket.socketpair()
            for sock in (ours, theirs):
                sock.setblocking(False)
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, sizes)
            client = FrontConnection(front, ours)
            clients.append((tenant, client, theirs, asyncio.get_running_loop().create_task(client.run())))
        loop = asyncio.get_running_loop()
        for n in range(1, 31):
            await loop.sock_sendall(clients[0][2], call(n, "t1"))
            while clients[0][1].complete_calls < n or clients[0][1].open_calls:
                await asyncio.sleep(0)
        assert counters.counts["answer.cell_full"] > 0 and reservation.bytes_exhausted("a")
        await loop.sock_sendall(clients[1][2], call(1, "t2"))
        got = b""
        while b"Status: " not in got:
            got += await loop.sock_recv(clients[1][2], 65_536)
        assert b"Status: 200 OK" in got
        for _, _, theirs, task in clients:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            theirs.close()
        assert reservation.bytes.used == {"a": 0.0, "b": 0.0} and reservation.clients.used == {
            "a": 0.0,
            "b": 0.0,
        }

    asyncio.run(asyncio.wait_for(play(), 20))


def call(number: int, tenant: str) -> bytes:
    params = {
        "SCRIPT_NAME": "/call/chunk",
        "HTTP_X_REQUEST_ID": f"{number:015x}{len(tenant) + ord(tenant[-1]) & 15:x}",
        "HTTP_X_TIMEOUT_MS": "5000",
        "HTTP_X_OBJECT": f"{number:016x}",
        "HTTP_X_TENANT": tenant,
    }
    pairs = fastcgi.encode_pairs({k.encode(): v.encode() for k, v in params.items()})
    begin = fastcgi.BEGIN_BODY.pack(fastcgi.RESPONDER, 1)
    kinds = ((fastcgi.RecordType.BEGIN, begin), (fastcgi.RecordType.PARAMS, pairs))
    ends = ((fastcgi.RecordType.PARAMS, b""), (fastcgi.RecordType.STDIN, b""))
    return b"".join(fastcgi.encode_record(kind, number, content) for kind, content in kinds + ends)
