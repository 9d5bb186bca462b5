"""Cells under failure: each hard case of containment and of moves, against the real module."""

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
from tests.cells import BOXES, SET, CellWorld, plan_of, refusals
from tests.world import ORIGIN, PARENTS, S, forwards

WELL = CellHealthSignals(
    target_caches=4,
    target_ready=4,
    target_warm_share=1.0,
    target_pressure=0.0,
    source_ready=4,
    source_in_flight=0,
    target_in_flight=0,
)
MOVE = MigrationSpec("m", "t1", ("b",), warm_up_us=2 * S, soak_us=S)


def _settle(w: CellWorld, seconds: float) -> None:
    w.pass_time(int(seconds * S))


def test_each_tenant_stays_in_its_cell() -> None:
    w = CellWorld()
    for tenant, cell in (("t1", "a"), ("t2", "b")) * 40:
        request = w.ask(tenant)
        (attempt,) = forwards(w.last)
        assert attempt.member in w.cells.membership.placement.members(cell)
        w.end(request)
    assert (
        not w.cells.requests
        and not w.cells.admission.in_flight_by_tenant_cell
        and w.cells.admission.write_gate.in_flight == 0
    )


def test_health_and_budgets_do_not_leak() -> None:
    """All boxes of one cell fail and its retries run out: the other cell's router has seen nothing."""
    w = CellWorld()
    for _ in range(60):
        request = w.ask("t1")
        while (out := [key for key in w.open if key[0] == request]) and request in w.cells.requests:
            w.end(request, AttemptStatus.CONNECT_FAILED, out[0][1])
    a, b = (w.cells.cells[n].router for n in "ab")
    assert a.retry_budget.tokens < a.retry_budget.max_tokens
    assert any(p.ejected for p in a.endpoints.members.values())
    assert b.retry_budget.tokens == b.retry_budget.max_tokens
    assert not any(p.ejected or p.failure_score for p in b.endpoints.members.values())


def test_a_purge_holds_in_every_cell_and_in_those_made_later() -> None:
    w = CellWorld()
    w.give(ObjectsPurged(1, None, 10_000))
    later = plan_of((Cell("a"), Cell("b"), Cell("c")))
    w.cells.apply_plan(w.now, later)
    w.give()
    w.now += S
    purges = {name: unit.router.purges for name, unit in w.cells.cells.items()}
    assert set(purges) == {"a", "b", "c"} and len({tuple(p.groups.items()) for p in purges.values()}) == 1
    assert not any(p.objects for p in purges.values())
    assert purges["c"].groups[1] == w.now - S - 10_000


def test_an_unknown_tenant_is_refused_and_a_default_one_taken() -> None:
    w = CellWorld()
    w.ask("nobody")
    assert refusals(w.last) and w.cells.counts["unknown_tenant"] == 1
    w = CellWorld(plan_of(policy=CellPolicy(default_tenant="t2")))
    assert w.where(w.ask(None)) == "b"


def test_a_rate_is_kept_and_tells_when_to_return() -> None:
    w = CellWorld(
        plan_of(tenants=(TenantSpec("t1", cells=("a",), rate_per_s=10), TenantSpec("t2", cells=("b",))))
    )
    answers = []
    for _ in range(30):
        w.ask("t1")
        answers += refusals(w.last)
    assert len(answers) == 20 and all(0 < a.retry_after_us <= 500_000 for a in answers)
    w.ask("t2")
    assert not refusals(w.last)
    w.now += S
    w.ask("t1")
    assert not refusals(w.last)


@pytest.mark.parametrize("kind", ["chunk", "save"])
def test_a_flood_in_one_cell_leaves_another_its_places(kind: str) -> None:
    """Ten times its rate, never answered, with reads or with bookings only: the neighbour's come through."""
    w = CellWorld()
    for _ in range(1500):
        w.ask("t1", kind)
    assert len(w.cells.requests) < 400, "what is over the cell's bounds was refused"
    for _ in range(20):
        request = w.ask("t2", kind)
        assert forwards(w.last) and not refusals(w.last)
        w.end(request)
    assert w.cells.cells["a"].in_flight <= w.cells.admission.concurrency_pool.upper_bound("a")


def test_a_cell_without_boxes_refuses_at_once_or_falls_back_within_spare_room() -> None:
    plan = plan_of((Cell("a"), Cell("b")))
    for fallback in (None, "b"):
        w = CellWorld(replace(plan, cells={"a": Cell("a", fallback=fallback), "b": Cell("b")}))
        for box in BOXES:
            if w.cells.membership.placement.cell_of_cache[box.address] == "a":
                w.change(box, MemberState.REMOVED)
        w.ask("t1")
        answer = next(iter(refusals(w.last)), None)
        assert (answer is not None) == (fallback is None)
        assert "No box of a" in explain(w.cells, "t1", "o")[-1]
        if answer is not None:
            assert answer.retry_after_us > 0
            continue
        w.cells.cells["b"].gate.adaptive_limit.limit = 20.0
        taken = sum(not refusals((w.ask("t1"), w.last)[1]) for _ in range(300))
        gate = w.cells.cells["b"].gate
        assert 0 < taken <= 0.5 * gate.adaptive_limit.limit + 1
        assert w.cells.counts["shed.no_spare.t1"] > 0
        w.ask("t2")
        assert not refusals(w.last), "the cell's own tenants have the rest"


def test_dead_boxes_keep_their_seats_for_a_while() -> None:
    """A cell whose boxes die is not given its neighbour's at once: what killed them would go on."""
    w = CellWorld(plan_of(policy=CellPolicy(seat_retention_us=5 * S)))
    own = w.cells.membership.placement.members("b")
    for box in BOXES:
        if box.address not in own:
            w.change(box, MemberState.REMOVED)
    assert w.cells.membership.placement.members("b") == own
    _settle(w, 6)
    assert len(w.cells.membership.placement.members("b")) < len(own)


# ---- moves ----------------------------------------------------------------------------------------------


def test_a_move_warms_cuts_over_and_ends_in_flight_bookings_where_they_began() -> None:
    w = CellWorld(plan_of(moves=(MOVE,)))
    booking = w.ask("t1", "save")
    assert w.where(booking) == "a"
    seen, shares = [], []
    for _ in range(60):
        _settle(w, 0.1)
        seen.append(w.cells.migrations.by_name["m"].phase)
        shares.append(w.cells.migrations.by_name["m"].share)
        request = w.ask("t1")
        w.end(request)
    assert [p for n, p in enumerate(seen) if not n or seen[n - 1] is not p] == [
        MigrationPhase.WARMING,
        MigrationPhase.CUTTING,
        MigrationPhase.DRAINING,
    ]
    assert shares == sorted(shares), "the share only grows while all is well"
    assert w.where(booking) == "a", "the booking under way is the old cell's"
    assert w.where(w.ask("t1", "save")) == "b", "a new one is the new cell's"
    w.end(booking, AttemptStatus.RESET)  # its answer is lost during the cut
    assert w.flown[booking] == 1, "it may have run, so nobody sends it again"
    w.pass_time(200_000)
    assert w.cells.migrations.by_name["m"].phase is MigrationPhase.DONE
    assert explain(w.cells, "t1", "x")[-1] == "It is served by cell 'b'."


def test_an_object_never_goes_back_while_a_move_warms() -> None:
    move = Migration(MOVE, 0)
    took: set[int] = set()
    for n in range(1, 40):
        move.step(n * 100_000, WELL)
        now = {key for key in range(0, 2**64, 2**56 + 12345) if move.is_migrated(key)}
        assert took <= now
        took = now
    assert move.phase is MigrationPhase.DONE and len(took) == 256


def test_a_move_into_cold_boxes_never_gives_them_more_than_they_can_bear() -> None:
    since = 100 * S
    plan = plan_of(
        (Cell("a", tuple(f"b{n}" for n in range(4))), Cell("b", tuple(f"b{n}" for n in range(4, 8))))
    )
    boxes = tuple(replace(b, started_at_us=since if n >= 4 else 0) for n, b in enumerate(BOXES))
    w = CellWorld(replace(plan, migrations={"m": MOVE}), boxes=boxes)
    for _ in range(150):
        _settle(w, 0.1)
        move = w.cells.migrations.by_name["m"]
        assert (
            move.share <= w.cells.membership.warm_share(("b",), w.now) + 1e-9
            or move.phase is not MigrationPhase.WARMING
        )
        if move.phase is not MigrationPhase.WARMING:
            assert w.now - since >= SET.rules.warm_up_us
    assert move.share < 1 and move.phase is MigrationPhase.WARMING, "a box is warm only after 16 s"
    _settle(w, 3)
    assert move.phase in (MigrationPhase.CUTTING, MigrationPhase.DRAINING, MigrationPhase.DONE)


def test_a_drain_or_a_death_in_the_target_pauses_a_move_and_a_loss_after_the_cut_turns_it_back() -> None:
    w = CellWorld(plan_of(moves=(MOVE,)))
    _settle(w, 1)
    target = [b for b in BOXES if w.cells.membership.placement.cell_of_cache[b.address] == "b"]
    for box in target[:3]:
        w.change(box, MemberState.DRAINING)
    _settle(w, 0.2)
    move = w.cells.migrations.by_name["m"]
    assert move.phase is MigrationPhase.PAUSED and move.share < 0.2
    for box in target[:3]:
        w.change(box, MemberState.READY)
    while move.phase in (MigrationPhase.PAUSED, MigrationPhase.WARMING):
        _settle(w, 0.1)
    assert move.phase is MigrationPhase.CUTTING
    for box in target:
        w.change(box, MemberState.REMOVED)
    _settle(w, 0.3)
    assert move.phase is MigrationPhase.ABORTED and w.where(w.ask("t1")) == "a"


@pytest.mark.parametrize("phase", [p for p in MigrationPhase if p is not MigrationPhase.DONE])
def test_a_move_can_be_taken_back_from_every_state_but_its_end(phase: MigrationPhase) -> None:
    move = Migration(MOVE, 0)
    move.phase, move.share = phase, 0.7 * (phase not in (MigrationPhase.RETURNING, MigrationPhase.ABORTED))
    assert move.abort(S, "taken back") is (phase is not MigrationPhase.ABORTED)
    assert move.share == 0
    move.step(2 * S, replace(WELL, target_in_flight=3))
    assert move.phase is MigrationPhase.RETURNING or phase in (MigrationPhase.PLANNED, MigrationPhase.ABORTED)
    move.step(3 * S, WELL)
    assert move.phase is MigrationPhase.ABORTED and not any(
        move.is_migrated(k) for k in range(0, 2**64, 2**58)
    )


def test_only_legal_steps_are_possible() -> None:
    for phase in MigrationPhase:
        for to in MigrationPhase:
            move = Migration(MOVE, 0)
            move.phase = phase
            if to not in LEGAL_TRANSITIONS[phase]:
                with pytest.raises(IllegalMigrationTransitionError):
                    move._transition(to, 1, "")
    assert not LEGAL_TRANSITIONS[MigrationPhase.DONE] and not LEGAL_TRANSITIONS[MigrationPhase.ABORTED]


@pytest.mark.parametrize("step", range(0, 60, 4))
def test_a_director_killed_at_any_step_of_a_move_comes_up_safe(step: int) -> None:
    """It has no memory of the move: it serves from the old cell, and a purge told before binds both."""
    w = CellWorld(plan_of(moves=(MOVE,)))
    for _ in range(step):
        _settle(w, 0.1)
        w.end(w.ask("t1"))
    again = CellRouter(SET, 8, w.now, w.cells.plan, 400)
    again.handle(
        w.now,
        [EndpointsChanged(EndpointListKind.SNAPSHOT, (*BOXES, *PARENTS, ORIGIN)), ObjectsPurged(1, None, 5)],
    )
    assert again.migrations.by_name["m"].share == 0 and again.cells_for("t1", "x") == ("a",)
    assert all(unit.router.purges for unit in again.cells.values())
    assert again.membership.placement.cell_of_cache == w.cells.membership.placement.cell_of_cache


def test_two_moves_that_cross_and_a_tenant_deleted_while_it_moves() -> None:
    cross = (MOVE, MigrationSpec("n", "t2", ("a",), warm_up_us=2 * S, soak_us=S))
    w = CellWorld(plan_of(moves=cross))
    _settle(w, 1)
    booking = w.ask("t1", "save")
    old = w.where(booking)
    w.cells.apply_plan(w.now, plan_of(tenants=(TenantSpec("t2", cells=("b",)),), moves=(cross[1],)))
    w.ask("t1")
    assert refusals(w.last), "a deleted tenant's new requests are refused"
    w.end(booking)
    assert booking not in w.cells.requests and old in w.cells.cells
    _settle(w, 6)
    assert w.where(w.ask("t2")) == "a" and "m" not in w.cells.migrations.by_name


def test_a_cell_taken_out_of_the_plan_ends_what_it_has() -> None:
    w = CellWorld()
    request = w.ask("t2")
    w.cells.apply_plan(w.now, plan_of((Cell("a"),), (TenantSpec("t1", cells=("a",)),)))
    assert w.cells.cells["b"].retired and w.where(request) == "b"
    w.end(request)
    assert set(w.cells.cells) == {"a"} and len(w.cells.cells["a"].router.endpoints.caches) in (4, 8)
    w.give(TimerFired("b/due"))


def test_changes_are_whole_or_nothing_and_by_version() -> None:
    w = CellWorld()
    flushed: list[int] = []
    control = CellPlanControl(w.cells, lambda: w.now, lambda: flushed.append(1))
    running = control.plan
    for wrong in (
        plan_of((Cell("a", ("b0",)), Cell("b", ("b0",)))),  # a member in two cells
        plan_of((Cell("a"), Cell("b", ("none-such",)))),  # a cell with no members
        plan_of(tuple(Cell(f"c{n}") for n in range(9)), ()),  # more cells than boxes
        plan_of(moves=(MigrationSpec("m", "who", ("a",)),)),  # an unknown tenant
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


def test_the_parts_of_the_parents_reach_the_routers() -> None:
    w = CellWorld()
    assert {unit.router.capacity.fleet_share.parent_share for unit in w.cells.cells.values()} == {0.5}
    w.cells.apply_plan(w.now, plan_of((Cell("a"), Cell("b"), Cell("c"))))
    for _ in range(80):
        _settle(w, 0.1)
        assert sum(u.router.capacity.fleet_share.parent_share for u in w.cells.cells.values()) <= 1 + 2e-3
    assert all(0.3 < u.router.capacity.fleet_share.parent_share < 0.35 for u in w.cells.cells.values())


def test_namings_whose_end_nobody_saw_leave_nothing_behind() -> None:
    w = CellWorld()
    for _ in range(5):
        request = w.ask("t1")
        where = w.open.pop((request, 0))
        w.give(AttemptEnded(request, 0, where, AttemptStatus.CANCELLED, 0, is_final=True))
    assert not w.cells.requests


def test_lists_without_weights_give_each_cell_a_part_of_the_guess() -> None:
    told = replace(
        SET, weight_source=WeightSource.NONE, zone_link_kb_per_s=56_000.0, transfer_kb_per_s=6_900.0
    )
    cells = CellRouter(told, 7, 0, plan_of(), 400)
    rows = tuple(replace(b, weight=0.0) for b in (*BOXES, *PARENTS, ORIGIN))
    cells.handle(0, [EndpointsChanged(EndpointListKind.SNAPSHOT, rows)])
    routers = [unit.router for unit in cells.cells.values()]
    boxes = sum(r.capacity.transfers(p) for r in routers for p in r.endpoints.caches)
    whole = CellPlan({"one": Cell("one")}, {})
    alone = CellRouter(told, 7, 0, whole, 400)
    alone.handle(0, [EndpointsChanged(EndpointListKind.SNAPSHOT, rows)])
    router = alone.cells["one"].router
    assert boxes == pytest.approx(sum(router.capacity.transfers(p) for p in router.endpoints.caches))


# ---- the fronts -----------------------------------------------------------------------------------------


def test_unread_answers_and_connections_of_one_cell_leave_the_others_theirs() -> None:
    """Clients that never read fill their own cell's part of the front and no more."""
    w = CellWorld()
    holding = ConnectionReservation(w.cells, max_bytes=1_000_000, max_clients=100)
    releases = []
    while not holding.bytes_exhausted("a"):
        releases.append(holding.reserve_bytes("a", 10_000))
    assert 490_000 <= sum(holding.bytes.used.values()) <= 520_000 and not holding.bytes_exhausted("b")
    taken = 0
    while holding.connect("a"):
        taken += 1
    assert taken == 50 and all(holding.connect("b") for _ in range(35))
    w.cells.apply_plan(w.now, plan_of((Cell("a"), Cell("b"), Cell("c"))))
    assert holding.cell_of("t1") == "a" and holding.cell_of("nobody") is None
    assert holding.clients.used == {"a": 50.0, "b": 35.0, "c": 0.0}, "what is held stays counted"
    for release in releases:
        release()
    for cell in ["a"] * taken + ["b"] * 35:
        holding.disconnect(cell)
    assert not any(holding.bytes.used.values()) and not any(holding.clients.used.values())
    assert holding.clients.lent == pytest.approx(0) and holding.bytes.lent == pytest.approx(0)


def test_a_deaf_client_is_cut_off_within_its_cells_part_and_told_when_to_return() -> None:
    """On real sockets: answers that nobody reads fill the cell's part; then its requests are refused, while
    another cell's client is served; and what is cut off gives its part back."""

    class Instant:
        async def run(self, order: AttemptSpec) -> AttemptOutcome:
            return AttemptOutcome(AttemptStatus.OK, AnswerDetail.HIT, body=bytes(100_000), etag="t")

    async def play() -> None:
        plan = plan_of()
        members, counters = EndpointTable(), Counters()
        core = RequestEngine(
            SET, 7, Instant(), members, counters, make_router=lambda s, n, at: CellRouter(s, n, at, plan, 400)
        )
        rows = (*BOXES, *PARENTS, ORIGIN)
        core.feed.apply_endpoints(
            EndpointsChanged(EndpointListKind.SNAPSHOT, rows), {m.address: ("127.0.0.1", 9) for m in rows}
        )
        cells = core.router
        assert isinstance(cells, CellRouter)
        holding = ConnectionReservation(cells, 2_000_000, 40)
        front = FastCgiFront(core, counters, lambda: True, 40, 50_000_000, holding, "X-Tenant")
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
        assert counters.counts["answer.cell_full"] > 0 and holding.bytes_exhausted("a")
        await loop.sock_sendall(clients[1][2], call(1, "t2"))
        got = b""
        while b"Status: " not in got:
            got += await loop.sock_recv(clients[1][2], 65_536)
        assert b"Status: 200 OK" in got
        for _, _, theirs, task in clients:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            theirs.close()
        assert holding.bytes.used == {"a": 0.0, "b": 0.0} and holding.clients.used == {"a": 0.0, "b": 0.0}

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
