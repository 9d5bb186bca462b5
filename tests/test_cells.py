"""Containment of failures within a cell, and migrations between cells, tested with real routers."""

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
from tests.cells import CACHES, CELL_SETTINGS, CellHarness, plan_of, rejections
from tests.router_harness import ORIGIN, PARENTS, US_PER_S, forwards

HEALTHY = CellHealthSignals(
    target_caches=4,
    target_ready=4,
    target_warm_share=1.0,
    target_pressure=0.0,
    source_ready=4,
    source_in_flight=0,
    target_in_flight=0,
)
MIGRATION = MigrationSpec("m", "t1", ("b",), warm_up_us=2 * US_PER_S, soak_us=US_PER_S)


def _pass_seconds(harness: CellHarness, seconds: float) -> None:
    harness.pass_time(int(seconds * US_PER_S))


def test_each_tenant_stays_in_its_cell() -> None:
    harness = CellHarness()
    for tenant, cell in (("t1", "a"), ("t2", "b")) * 40:
        request = harness.send_request(tenant)
        (attempt,) = forwards(harness.last)
        assert attempt.member in harness.cells.membership.placement.members(cell)
        harness.end_attempt(request)
    assert (
        not harness.cells.requests
        and not harness.cells.admission.in_flight_by_tenant_cell
        and harness.cells.admission.write_gate.in_flight == 0
    )


def test_health_and_budgets_do_not_leak() -> None:
    """If all caches of one cell fail and its retry budget runs out, the other cell's router is unaffected."""
    harness = CellHarness()
    for _ in range(60):
        request = harness.send_request("t1")
        while (
            out := [key for key in harness.in_flight if key[0] == request]
        ) and request in harness.cells.requests:
            harness.end_attempt(request, AttemptStatus.CONNECT_FAILED, out[0][1])
    a, b = (harness.cells.cells[n].router for n in "ab")
    assert a.retry_budget.tokens < a.retry_budget.max_tokens
    assert any(p.ejected for p in a.endpoints.members.values())
    assert b.retry_budget.tokens == b.retry_budget.max_tokens
    assert not any(p.ejected or p.failure_score for p in b.endpoints.members.values())


def test_a_purge_reaches_every_cell_and_those_created_later() -> None:
    harness = CellHarness()
    harness.handle(ObjectsPurged(1, None, 10_000))
    later = plan_of((Cell("a"), Cell("b"), Cell("c")))
    harness.cells.apply_plan(harness.now, later)
    harness.handle()
    harness.now += US_PER_S
    purges = {name: active_cell.router.purges for name, active_cell in harness.cells.cells.items()}
    assert set(purges) == {"a", "b", "c"} and len({tuple(p.groups.items()) for p in purges.values()}) == 1
    assert not any(p.objects for p in purges.values())
    assert purges["c"].groups[1] == harness.now - US_PER_S - 10_000


def test_an_unknown_tenant_is_rejected_and_the_default_one_used() -> None:
    harness = CellHarness()
    harness.send_request("nobody")
    assert rejections(harness.last) and harness.cells.counts["unknown_tenant"] == 1
    harness = CellHarness(plan_of(policy=CellPolicy(default_tenant="t2")))
    assert harness.cell_of(harness.send_request(None)) == "b"


def test_a_tenants_rate_is_limited_with_a_retry_after() -> None:
    harness = CellHarness(
        plan_of(tenants=(TenantSpec("t1", cells=("a",), rate_per_s=10), TenantSpec("t2", cells=("b",))))
    )
    answers = []
    for _ in range(30):
        harness.send_request("t1")
        answers += rejections(harness.last)
    assert len(answers) == 20 and all(0 < a.retry_after_us <= 500_000 for a in answers)
    harness.send_request("t2")
    assert not rejections(harness.last)
    harness.now += US_PER_S
    harness.send_request("t1")
    assert not rejections(harness.last)


@pytest.mark.parametrize("kind", ["chunk", "save"])
def test_a_flood_in_one_cell_leaves_another_its_concurrency(kind: str) -> None:
    """Unanswered reads or writes at ten times a cell's rate leave the other cell's requests unaffected."""
    harness = CellHarness()
    for _ in range(1500):
        harness.send_request("t1", kind)
    assert len(harness.cells.requests) < 400, "requests over the cell's limits must be rejected"
    for _ in range(20):
        request = harness.send_request("t2", kind)
        assert forwards(harness.last) and not rejections(harness.last)
        harness.end_attempt(request)
    assert harness.cells.cells["a"].in_flight <= harness.cells.admission.concurrency_pool.upper_bound("a")


def test_a_cell_without_caches_rejects_at_once_or_falls_back_within_spare_capacity() -> None:
    plan = plan_of((Cell("a"), Cell("b")))
    for fallback in (None, "b"):
        harness = CellHarness(replace(plan, cells={"a": Cell("a", fallback=fallback), "b": Cell("b")}))
        for cache in CACHES:
            if harness.cells.membership.placement.cell_of_cache[cache.address] == "a":
                harness.change_member(cache, MemberState.REMOVED)
        harness.send_request("t1")
        answer = next(iter(rejections(harness.last)), None)
        assert (answer is not None) == (fallback is None)
        assert "No cache of a" in explain(harness.cells, "t1", "o")[-1]
        if answer is not None:
            assert answer.retry_after_us > 0
            continue
        harness.cells.cells["b"].gate.adaptive_limit.limit = 20.0
        admitted_count = sum(
            not rejections((harness.send_request("t1"), harness.last)[1]) for _ in range(300)
        )
        gate = harness.cells.cells["b"].gate
        assert 0 < admitted_count <= 0.5 * gate.adaptive_limit.limit + 1
        assert harness.cells.counts["shed.no_spare.t1"] > 0
        harness.send_request("t2")
        assert not rejections(harness.last), "the rest of the capacity must be left to the cell's own tenants"


def test_departed_caches_stay_assigned_for_a_while() -> None:
    """A cell whose caches fail does not get another cell's at once, as its load could fail those too."""
    harness = CellHarness(plan_of(policy=CellPolicy(assignment_retention_us=5 * US_PER_S)))
    caches_of_b = harness.cells.membership.placement.members("b")
    for cache in CACHES:
        if cache.address not in caches_of_b:
            harness.change_member(cache, MemberState.REMOVED)
    assert harness.cells.membership.placement.members("b") == caches_of_b
    _pass_seconds(harness, 6)
    assert len(harness.cells.membership.placement.members("b")) < len(caches_of_b)


# ---- migrations -----------------------------------------------------------------------------------------


def test_a_migration_warms_up_cuts_over_and_ends_writes_in_flight_where_they_began() -> None:
    harness = CellHarness(plan_of(migrations=(MIGRATION,)))
    write_request = harness.send_request("t1", "save")
    assert harness.cell_of(write_request) == "a"
    phases, shares = [], []
    for _ in range(60):
        _pass_seconds(harness, 0.1)
        phases.append(harness.cells.migrations.by_name["m"].phase)
        shares.append(harness.cells.migrations.by_name["m"].share)
        request = harness.send_request("t1")
        harness.end_attempt(request)
    assert [p for n, p in enumerate(phases) if not n or phases[n - 1] is not p] == [
        MigrationPhase.WARMING,
        MigrationPhase.CUTTING,
        MigrationPhase.DRAINING,
    ]
    assert shares == sorted(shares), "the share must only grow while the target is healthy"
    assert harness.cell_of(write_request) == "a", "a write in flight must stay in the source cell"
    assert harness.cell_of(harness.send_request("t1", "save")) == "b", (
        "a new write must go to the target cell"
    )
    harness.end_attempt(write_request, AttemptStatus.RESET)  # its answer is lost during the cut-over
    assert harness.attempts[write_request] == 1, "a write that may have run must not be retried"
    harness.pass_time(200_000)
    assert harness.cells.migrations.by_name["m"].phase is MigrationPhase.DONE
    assert explain(harness.cells, "t1", "x")[-1] == "It is served by cell 'b'."


def test_an_object_never_returns_while_a_migration_warms_up() -> None:
    migration = Migration(MIGRATION, 0)
    migrated_before: set[int] = set()
    for n in range(1, 40):
        migration.step(n * 100_000, HEALTHY)
        migrated_now = {key for key in range(0, 2**64, 2**56 + 12345) if migration.is_migrated(key)}
        assert migrated_before <= migrated_now
        migrated_before = migrated_now
    assert migration.phase is MigrationPhase.DONE and len(migrated_before) == 256


def test_a_migration_into_cold_caches_never_exceeds_their_warm_share() -> None:
    start_time_us = 100 * US_PER_S
    plan = plan_of(
        (Cell("a", tuple(f"b{n}" for n in range(4))), Cell("b", tuple(f"b{n}" for n in range(4, 8))))
    )
    caches = tuple(replace(b, started_at_us=start_time_us if n >= 4 else 0) for n, b in enumerate(CACHES))
    harness = CellHarness(replace(plan, migrations={"m": MIGRATION}), caches=caches)
    for _ in range(150):
        _pass_seconds(harness, 0.1)
        migration = harness.cells.migrations.by_name["m"]
        assert (
            migration.share <= harness.cells.membership.warm_share(("b",), harness.now) + 1e-9
            or migration.phase is not MigrationPhase.WARMING
        )
        if migration.phase is not MigrationPhase.WARMING:
            assert harness.now - start_time_us >= CELL_SETTINGS.rules.warm_up_us
    assert migration.share < 1 and migration.phase is MigrationPhase.WARMING, (
        "a cache is warm only after 16 s"
    )
    _pass_seconds(harness, 3)
    assert migration.phase in (MigrationPhase.CUTTING, MigrationPhase.DRAINING, MigrationPhase.DONE)


def test_a_drain_or_failure_in_the_target_pauses_a_migration_and_a_loss_after_the_cut_over_aborts_it() -> (
    None
):
    harness = CellHarness(plan_of(migrations=(MIGRATION,)))
    _pass_seconds(harness, 1)
    target = [b for b in CACHES if harness.cells.membership.placement.cell_of_cache[b.address] == "b"]
    for cache in target[:3]:
        harness.change_member(cache, MemberState.DRAINING)
    _pass_seconds(harness, 0.2)
    migration = harness.cells.migrations.by_name["m"]
    assert migration.phase is MigrationPhase.PAUSED and migration.share < 0.2
    for cache in target[:3]:
        harness.change_member(cache, MemberState.READY)
    while migration.phase in (MigrationPhase.PAUSED, MigrationPhase.WARMING):
        _pass_seconds(harness, 0.1)
    assert migration.phase is MigrationPhase.CUTTING
    for cache in target:
        harness.change_member(cache, MemberState.REMOVED)
    _pass_seconds(harness, 0.3)
    assert migration.phase is MigrationPhase.ABORTED and harness.cell_of(harness.send_request("t1")) == "a"


@pytest.mark.parametrize("phase", [p for p in MigrationPhase if p is not MigrationPhase.DONE])
def test_a_migration_can_be_aborted_from_every_phase_but_done(phase: MigrationPhase) -> None:
    migration = Migration(MIGRATION, 0)
    migration.phase, migration.share = (
        phase,
        0.7 * (phase not in (MigrationPhase.RETURNING, MigrationPhase.ABORTED)),
    )
    assert migration.abort(US_PER_S, "aborted by a test") is (phase is not MigrationPhase.ABORTED)
    assert migration.share == 0
    migration.step(2 * US_PER_S, replace(HEALTHY, target_in_flight=3))
    assert migration.phase is MigrationPhase.RETURNING or phase in (
        MigrationPhase.PLANNED,
        MigrationPhase.ABORTED,
    )
    migration.step(3 * US_PER_S, HEALTHY)
    assert migration.phase is MigrationPhase.ABORTED and not any(
        migration.is_migrated(k) for k in range(0, 2**64, 2**58)
    )


def test_only_legal_migration_transitions_are_possible() -> None:
    for phase in MigrationPhase:
        for next_phase in MigrationPhase:
            migration = Migration(MIGRATION, 0)
            migration.phase = phase
            if next_phase not in LEGAL_TRANSITIONS[phase]:
                with pytest.raises(IllegalMigrationTransitionError):
                    migration._transition(next_phase, 1, "")
    assert not LEGAL_TRANSITIONS[MigrationPhase.DONE] and not LEGAL_TRANSITIONS[MigrationPhase.ABORTED]


@pytest.mark.parametrize("step", range(0, 60, 4))
def test_a_director_killed_at_any_step_of_a_migration_restarts_safely(step: int) -> None:
    """After the restart, the source cell serves all objects, and earlier purges are applied in both cells."""
    harness = CellHarness(plan_of(migrations=(MIGRATION,)))
    for _ in range(step):
        _pass_seconds(harness, 0.1)
        harness.end_attempt(harness.send_request("t1"))
    restarted = CellRouter(CELL_SETTINGS, 8, harness.now, harness.cells.plan, 400)
    restarted.handle(
        harness.now,
        [EndpointsChanged(EndpointListKind.SNAPSHOT, (*CACHES, *PARENTS, ORIGIN)), ObjectsPurged(1, None, 5)],
    )
    assert restarted.migrations.by_name["m"].share == 0 and restarted.cells_for("t1", "x") == ("a",)
    assert all(active_cell.router.purges for active_cell in restarted.cells.values())
    assert restarted.membership.placement.cell_of_cache == harness.cells.membership.placement.cell_of_cache


def test_two_crossing_migrations_and_a_tenant_deleted_while_it_migrates() -> None:
    crossing = (MIGRATION, MigrationSpec("n", "t2", ("a",), warm_up_us=2 * US_PER_S, soak_us=US_PER_S))
    harness = CellHarness(plan_of(migrations=crossing))
    _pass_seconds(harness, 1)
    write_request = harness.send_request("t1", "save")
    source_cell = harness.cell_of(write_request)
    harness.cells.apply_plan(
        harness.now, plan_of(tenants=(TenantSpec("t2", cells=("b",)),), migrations=(crossing[1],))
    )
    harness.send_request("t1")
    assert rejections(harness.last), "new requests of a deleted tenant must be rejected"
    harness.end_attempt(write_request)
    assert write_request not in harness.cells.requests and source_cell in harness.cells.cells
    _pass_seconds(harness, 6)
    assert harness.cell_of(harness.send_request("t2")) == "a" and "m" not in harness.cells.migrations.by_name


def test_a_cell_removed_from_the_plan_completes_its_requests() -> None:
    harness = CellHarness()
    request = harness.send_request("t2")
    harness.cells.apply_plan(harness.now, plan_of((Cell("a"),), (TenantSpec("t1", cells=("a",)),)))
    assert harness.cells.cells["b"].retired and harness.cell_of(request) == "b"
    harness.end_attempt(request)
    assert set(harness.cells.cells) == {"a"} and len(harness.cells.cells["a"].router.endpoints.caches) in (
        4,
        8,
    )
    harness.handle(TimerFired("b/due"))


def test_plan_changes_are_atomic_and_by_version() -> None:
    harness = CellHarness()
    flushed: list[int] = []
    control = CellPlanControl(harness.cells, lambda: harness.now, lambda: flushed.append(1))
    running = control.plan
    for invalid_plan in (
        plan_of((Cell("a", ("b0",)), Cell("b", ("b0",)))),  # a member in two cells
        plan_of((Cell("a"), Cell("b", ("none-such",)))),  # a cell with no members
        plan_of(tuple(Cell(f"c{n}") for n in range(9)), ()),  # more cells than caches
        plan_of(migrations=(MigrationSpec("m", "who", ("a",)),)),  # an unknown tenant
    ):
        with pytest.raises(CellPlanError):
            control.replace_plan(invalid_plan)
        assert control.plan is running and set(harness.cells.cells) == {"a", "b"} and not flushed
    changed_plan = plan_of((Cell("a"), Cell("b"), Cell("c")))
    assert control.replace_plan(changed_plan, made_for=1) and control.plan.version == 2 and len(flushed) == 1
    assert not control.replace_plan(changed_plan, made_for=1), (
        "a repeated call must change nothing and not conflict"
    )
    with pytest.raises(PlanVersionConflictError):
        control.replace_plan(plan_of(), made_for=1)
    assert control.plan.version == 2 and router_status(harness.cells)["version"] == 2


def test_the_shares_of_the_parents_reach_the_routers() -> None:
    harness = CellHarness()
    assert {
        active_cell.router.capacity.fleet_share.parent_share for active_cell in harness.cells.cells.values()
    } == {0.5}
    harness.cells.apply_plan(harness.now, plan_of((Cell("a"), Cell("b"), Cell("c"))))
    for _ in range(80):
        _pass_seconds(harness, 0.1)
        assert (
            sum(
                cell_in_use.router.capacity.fleet_share.parent_share
                for cell_in_use in harness.cells.cells.values()
            )
            <= 1 + 2e-3
        )
    assert all(
        0.3 < cell_in_use.router.capacity.fleet_share.parent_share < 0.35
        for cell_in_use in harness.cells.cells.values()
    )


def test_dns_requests_without_an_observed_end_leave_no_state_behind() -> None:
    harness = CellHarness()
    for _ in range(5):
        request = harness.send_request("t1")
        cache_address = harness.in_flight.pop((request, 0))
        harness.handle(AttemptEnded(request, 0, cache_address, AttemptStatus.CANCELLED, 0, is_final=True))
    assert not harness.cells.requests


def test_lists_without_weights_divide_the_estimated_capacity_among_cells() -> None:
    settings = replace(
        CELL_SETTINGS, weight_source=WeightSource.NONE, zone_link_kb_per_s=56_000.0, transfer_kb_per_s=6_900.0
    )
    cells = CellRouter(settings, 7, 0, plan_of(), 400)
    rows = tuple(replace(b, weight=0.0) for b in (*CACHES, *PARENTS, ORIGIN))
    cells.handle(0, [EndpointsChanged(EndpointListKind.SNAPSHOT, rows)])
    routers = [active_cell.router for active_cell in cells.cells.values()]
    caches = sum(r.capacity.transfers(p) for r in routers for p in r.endpoints.caches)
    single_cell_plan = CellPlan({"one": Cell("one")}, {})
    single_cell_router = CellRouter(settings, 7, 0, single_cell_plan, 400)
    single_cell_router.handle(0, [EndpointsChanged(EndpointListKind.SNAPSHOT, rows)])
    router = single_cell_router.cells["one"].router
    assert caches == pytest.approx(sum(router.capacity.transfers(p) for p in router.endpoints.caches))


# ---- the front ------------------------------------------------------------------------------------------


def test_unread_answers_and_connections_of_one_cell_leave_the_others_their_share() -> None:
    """Clients that never read their answers use up only their own cell's share of the front."""
    harness = CellHarness()
    reservation = ConnectionReservation(harness.cells, max_bytes=1_000_000, max_clients=100)
    releases = []
    while not reservation.bytes_exhausted("a"):
        releases.append(reservation.reserve_bytes("a", 10_000))
    assert 490_000 <= sum(reservation.bytes.used.values()) <= 520_000 and not reservation.bytes_exhausted("b")
    admitted_count = 0
    while reservation.connect("a"):
        admitted_count += 1
    assert admitted_count == 50 and all(reservation.connect("b") for _ in range(35))
    harness.cells.apply_plan(harness.now, plan_of((Cell("a"), Cell("b"), Cell("c"))))
    assert reservation.cell_of("t1") == "a" and reservation.cell_of("nobody") is None
    assert reservation.clients.used == {"a": 50.0, "b": 35.0, "c": 0.0}, (
        "connections in use must stay counted"
    )
    for release in releases:
        release()
    for cell in ["a"] * admitted_count + ["b"] * 35:
        reservation.disconnect(cell)
    assert not any(reservation.bytes.used.values()) and not any(reservation.clients.used.values())
    assert reservation.clients.lent == pytest.approx(0) and reservation.bytes.lent == pytest.approx(0)


def test_a_client_that_never_reads_is_disconnected_within_its_cells_share_with_a_retry_after() -> None:
    """Tested on real sockets. Once unread answers fill the cell's share, its requests are rejected, while
    another cell's client is served. A closed connection releases its share."""

    class ImmediateExecutor:
        async def run(self, order: AttemptSpec) -> AttemptOutcome:
            return AttemptOutcome(AttemptStatus.OK, AnswerDetail.HIT, body=bytes(100_000), etag="t")

    async def serve_clients() -> None:
        plan = plan_of()
        members, counters = EndpointTable(), Counters()
        core = RequestEngine(
            CELL_SETTINGS,
            7,
            ImmediateExecutor(),
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
            server_socket, client_socket = socket.socketpair()
            for sock in (server_socket, client_socket):
                sock.setblocking(False)
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, sizes)
            client = FrontConnection(front, server_socket)
            clients.append(
                (tenant, client, client_socket, asyncio.get_running_loop().create_task(client.run()))
            )
        loop = asyncio.get_running_loop()
        for n in range(1, 31):
            await loop.sock_sendall(clients[0][2], _encode_call(n, "t1"))
            while clients[0][1].complete_calls < n or clients[0][1].open_calls:
                await asyncio.sleep(0)
        assert counters.counts["answer.cell_full"] > 0 and reservation.bytes_exhausted("a")
        await loop.sock_sendall(clients[1][2], _encode_call(1, "t2"))
        received = b""
        while b"Status: " not in received:
            received += await loop.sock_recv(clients[1][2], 65_536)
        assert b"Status: 200 OK" in received
        for _, _, client_socket, task in clients:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            client_socket.close()
        assert reservation.bytes.used == {"a": 0.0, "b": 0.0} and reservation.clients.used == {
            "a": 0.0,
            "b": 0.0,
        }

    asyncio.run(asyncio.wait_for(serve_clients(), 20))


def _encode_call(number: int, tenant: str) -> bytes:
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
