"""What a new plan of cells takes away while something counts on it: no open request loses its answer."""

from __future__ import annotations

import asyncio
import contextlib
import random
import socket
from collections.abc import Callable

import pytest

from onyxwick.cells import Cell, CellPlan, CellRouter, TenantSpec
from onyxwick.cells.migration import MigrationPhase
from onyxwick.cells.model import CellPlanError, MigrationSpec
from onyxwick.cells.reservation import ConnectionReservation
from onyxwick.core import AttemptOutcome, AttemptSpec, RequestEngine
from onyxwick.core.endpoints import EndpointTable
from onyxwick.counters import Counters
from onyxwick.interface import AnswerDetail, AttemptStatus, EndpointListKind, EndpointsChanged
from onyxwick.net.call_intake import CallIntake
from onyxwick.net.front import FastCgiFront
from onyxwick.net.front_connection import FrontConnection
from tests.cells import CACHES, CELL_SETTINGS, CellHarness, plan_of
from tests.limited_director import encode_call
from tests.router_harness import ORIGIN, PARENTS, US_PER_S

TIMEOUT_S = 20.0
ONE_CELL = CellPlan({"a": Cell("a")}, {t: TenantSpec(t, cells=("a",)) for t in ("t1", "t2")})
TWO_CELLS = plan_of()
NAMES = ("a", "b", "c", "d")


class _HeldExecutor:
    """Answers each attempt once the test says so."""

    def __init__(self) -> None:
        self.released = asyncio.Event()

    async def run(self, order: AttemptSpec) -> AttemptOutcome:
        await self.released.wait()
        return AttemptOutcome(AttemptStatus.OK, AnswerDetail.HIT, body=b"walk", etag="t")


class _CellFront:
    """A front with two cells and one client connection of a tenant of cell b."""

    def __init__(self, executor: _HeldExecutor) -> None:
        self.executor = executor
        self.counters = Counters()
        self.core = RequestEngine(
            CELL_SETTINGS,
            7,
            executor,
            EndpointTable(),
            self.counters,
            make_router=lambda s, n, at: CellRouter(s, n, at, TWO_CELLS, 400),
        )
        rows = (*CACHES, *PARENTS, ORIGIN)
        addresses = {each.address: ("127.0.0.1", 9) for each in rows}
        self.core.feed.apply_endpoints(EndpointsChanged(EndpointListKind.SNAPSHOT, rows), addresses)
        assert isinstance(self.core.router, CellRouter)
        self.cells = self.core.router
        self.reservation = ConnectionReservation(self.cells, 2_000_000, 40)
        self.front = FastCgiFront(
            self.core, self.counters, lambda: True, 40, 50_000_000, self.reservation, "X-Tenant"
        )
        served, self.client = socket.socketpair()
        for sock in (served, self.client):
            sock.setblocking(False)
        self.connection = FrontConnection(self.front, served)
        self.task = asyncio.get_running_loop().create_task(self.connection.run())

    def send(self, number: int, tenant: str = "t2") -> None:
        params = {"HTTP_X_TENANT": tenant, "HTTP_X_TIMEOUT_MS": "11000"}
        self.client.send(encode_call(number, "/call/chunk", params))

    async def wait_until(self, condition: Callable[[], object]) -> None:
        while not condition():
            assert not self.task.done(), f"the connection has ended: {self.task}"
            await asyncio.sleep(0.001)

    async def receive_answers(self, count: int) -> bytes:
        received = b""
        while received.count(b"Status: ") < count:
            received += await asyncio.get_running_loop().sock_recv(self.client, 65_536)
        return received

    async def close(self) -> None:
        self.client.close()
        await asyncio.gather(self.task, return_exceptions=True)


async def _with_open_call() -> _CellFront:
    front = _CellFront(_HeldExecutor())
    front.send(1)
    await front.wait_until(lambda: front.connection.open_calls)
    assert front.connection.cell == "b"
    return front


# Guards against: a connection that ends, with its open requests, as the new plan lacks its cell (review/7).
@pytest.mark.parametrize("returns", [False, True], ids=["removed", "removed-and-back"])
def test_a_connection_outlives_its_cell_and_counts_towards_the_next_one(returns: bool) -> None:
    async def scenario() -> None:
        front = await _with_open_call()
        front.cells.apply_plan(front.core.now(), ONE_CELL)
        front.core.handle()
        if returns:
            front.cells.apply_plan(front.core.now(), TWO_CELLS)
            front.core.handle()
        front.send(2)
        await front.wait_until(lambda: len(front.connection.open_calls) == 2)
        assert front.connection.cell == ("b" if returns else "a")
        assert sum(front.reservation.clients.used.values()) == 1
        front.executor.released.set()
        assert (await front.receive_answers(2)).count(b"Status: 200 OK") == 2
        await front.close()
        assert not any(front.reservation.clients.used.values())
        assert not any(front.reservation.bytes.used.values())

    asyncio.run(asyncio.wait_for(scenario(), TIMEOUT_S))


def test_a_connection_whose_tenant_is_removed_is_answered() -> None:
    async def scenario() -> None:
        front = await _with_open_call()
        without_tenant = CellPlan({"a": Cell("a")}, {"t1": TenantSpec("t1", cells=("a",))})
        front.cells.apply_plan(front.core.now(), without_tenant)
        front.core.handle()
        front.send(2)
        assert b"Status: 503" in await front.receive_answers(1)
        front.executor.released.set()
        assert b"Status: 200 OK" in await front.receive_answers(1)
        await front.close()
        assert not any(front.reservation.clients.used.values())

    asyncio.run(asyncio.wait_for(scenario(), TIMEOUT_S))


# Guards against: an internal error in one call that ends the connection under the other calls.
def test_an_internal_error_in_one_call_fails_that_call_alone(monkeypatch: pytest.MonkeyPatch) -> None:
    def fail(*_: object) -> bool:
        raise KeyError("north")

    async def scenario() -> None:
        front = await _with_open_call()
        with monkeypatch.context() as patch:
            patch.setattr(CallIntake, "_reserve_in_cell", fail)
            front.send(2)
            assert b"Status: 500" in await front.receive_answers(1)
        assert front.counters.counts["error.call"] == 1
        front.executor.released.set()
        assert b"Status: 200 OK" in await front.receive_answers(1)
        await front.close()

    asyncio.run(asyncio.wait_for(scenario(), TIMEOUT_S))


def _random_plan(rng: random.Random) -> CellPlan:
    names = rng.sample(NAMES, rng.randint(1, len(NAMES)))
    cells = {name: Cell(name, weight=rng.choice((1.0, 2.0, 5.0))) for name in names}
    tenants = {t: TenantSpec(t, cells=(rng.choice(names),)) for t in ("t1", "t2", "t3")}
    return CellPlan(cells, tenants)


class _RandomPlay:
    """Random plans, and connections with unread answers that come and go meanwhile."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.harness = CellHarness(_random_plan(self.rng))
        self.reservation = ConnectionReservation(self.harness.cells, max_bytes=1_000_000, max_clients=60)
        self.connections = list[str]()
        self.releases = list[Callable[[], None]]()

    def act(self) -> None:
        rng = self.rng
        match rng.randrange(6):
            case 0:
                with contextlib.suppress(CellPlanError):  # too few caches for its cells
                    self.harness.cells.apply_plan(self.harness.now, _random_plan(rng))
            case 1 if self.connections:
                self.reservation.disconnect(self.connections.pop(rng.randrange(len(self.connections))))
            case 2 if self.releases:
                self.releases.pop(rng.randrange(len(self.releases)))()
            case 3 | 4 if self.connections:
                self._call(rng.randrange(len(self.connections)))
            case _:
                cell = self._cell()
                if self.reservation.connect(cell):
                    self.connections.append(cell)

    def _cell(self) -> str:
        cell = self.reservation.cell_of(self.rng.choice(("t1", "t2", "t3")))
        assert cell is not None
        return cell

    def _call(self, index: int) -> None:
        cell = self.reservation.current_cell(self.connections[index], self._cell())
        self.connections[index] = cell
        if not self.reservation.bytes_exhausted(cell):
            self.releases.append(self.reservation.reserve_bytes(cell, self.rng.randrange(90_000)))

    def end(self) -> None:
        for release in self.releases:
            release()
        for cell in self.connections:
            self.reservation.disconnect(cell)


@pytest.mark.parametrize("seed", range(30))
def test_random_plans_leave_nothing_counted_for_what_has_ended(seed: int) -> None:
    play = _RandomPlay(seed)
    reservation = play.reservation
    for _ in range(400):
        play.act()
        assert sum(reservation.clients.used.values()) == len(play.connections)
    play.end()
    for pool in (reservation.clients, reservation.bytes):
        assert not any(pool.used.values()) and pool.lent == pytest.approx(0, abs=1e-6)
        assert pool.used.keys() == play.harness.cells.plan.cells.keys()


# Guards against: two migrations that a plan withdraws and that end in one tick (second review, no case).
@pytest.mark.parametrize(
    ("starts_at_us", "phase"), [(10_000 * US_PER_S, MigrationPhase.PLANNED), (0, MigrationPhase.WARMING)]
)
def test_two_withdrawn_migrations_end_in_one_tick(starts_at_us: int, phase: MigrationPhase) -> None:
    tenants = tuple(TenantSpec(t, cells=("a",)) for t in ("t1", "t2"))
    moves = tuple(
        MigrationSpec(name, tenant, ("b",), starts_at_us=starts_at_us)
        for name, tenant in (("m1", "t1"), ("m2", "t2"))
    )
    harness = CellHarness(plan_of(tenants=tenants, migrations=moves))
    harness.pass_time(2 * US_PER_S)
    migrations = harness.cells.migrations
    assert {each.phase for each in migrations.by_name.values()} == {phase}
    harness.cells.apply_plan(harness.now, plan_of(tenants=tenants))
    harness.pass_time(2 * US_PER_S)
    assert not migrations.by_name and not migrations.of_tenant
