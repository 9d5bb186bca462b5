"""Directors with sites on a simulated clock: each difficult case is a small fleet with injected faults."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from dataclasses import replace
from functools import cache
from pathlib import Path

import pytest

from onyxwick.admin.api import AdminApi
from onyxwick.admin.durable_api import DurableApi
from onyxwick.admin.http_messages import HttpError, HttpRequest
from onyxwick.admin.sites import SitesApi
from onyxwick.cells import Cell, CellPlan, CellRouter, TenantSpec
from onyxwick.core import RequestEngine
from onyxwick.core.endpoints import EndpointTable
from onyxwick.counters import Counters
from onyxwick.interface import (
    AnswerDetail,
    AttemptEnded,
    AttemptStatus,
    ClientDisconnected,
    EndpointFeedReceived,
    EndpointListKind,
    EndpointsChanged,
    ForwardRequest,
    ForwardWithFill,
    RejectRequest,
    RequestArrived,
    RetryReserveChanged,
    SetTimer,
    TimerFired,
)
from onyxwick.lab.faults import checkers
from onyxwick.lab.faults.history import History
from onyxwick.lab.faults.model import FleetScenario, InjectedFault, When
from onyxwick.lab.faults.script import read
from onyxwick.lab.faults.simulate import Simulation, planned, topology_of
from onyxwick.routing import Router
from onyxwick.sites import SitePlan, SiteRouter
from onyxwick.sites.lifecycle import SiteDirective, SitePhase
from onyxwick.sites.load_shedding import LEVEL_THRESHOLDS, SheddingLevels
from onyxwick.sites.local_demand import RECENT_US, REPEATED_WITHIN_US, LocalDemand
from onyxwick.sites.model import Topology
from onyxwick.sites.operator_commands import SiteCommand, command_from_row
from onyxwick.sites.status import explain, router_status
from onyxwick.subrouters.admission_gate import class_priorities
from onyxwick.tenants import Tenants
from onyxwick.trace.decision_tracer import DecisionTracer
from onyxwick.trace.model import NotificationKind
from onyxwick.trace.reader import open_trace
from onyxwick.trace.sink import SinkLimits
from onyxwick.trace.table import StringTable
from tests.director_with_store import ImmediateTransport, open_state
from tests.exchange import ROOT
from tests.faulty_files import FaultyFiles
from tests.router_harness import SETTINGS, US_PER_S

LOSS = ROOT / "examples" / "lab" / "faults" / "site-loss.hcl"


@cache
def _small_fleet() -> tuple[FleetScenario, Topology, SitePlan]:
    """Return the example's fleet with a quarter of its load and capacity, for 42 s.

    The parents have more than a quarter of their capacity, because a share of few transfers is only
    divisible into large parts."""
    fleet = read(LOSS)
    full_scenario = fleet.scenario
    loads = tuple(replace(load, rate_per_s=load.rate_per_s / 4) for load in full_scenario.loads)
    parents, origin = (
        replace(full_scenario.parents, capacity=1.25),
        replace(full_scenario.origin, capacity=2.0),
    )
    boxes = replace(full_scenario.boxes, count=3, capacity=full_scenario.boxes.capacity / 2)
    scenario = replace(
        full_scenario, loads=loads, boxes=boxes, parents=parents, origin=origin, duration_us=42 * US_PER_S
    )
    sites = {n: replace(s, boxes=3) for n, s in fleet.sites.items()}
    small = replace(fleet, scenario=scenario, sites=sites, faults=())
    topology = topology_of(small)
    return small, topology, planned(topology)


def fault(
    what: str, name: str, at: float = 8, lasts: float = 10, how: str = "", amount: float = 0.0
) -> InjectedFault:
    return InjectedFault(
        f"{what} {name}", When(int(at * US_PER_S)), what, name, int(lasts * US_PER_S), how, amount
    )


def simulate(
    *faults: InjectedFault,
    seed: int = 1,
    variant: str = "sites",
    change: Callable[[FleetScenario], FleetScenario] | None = None,
) -> History:
    fleet, topology, plan = _small_fleet()
    fleet = replace(fleet, faults=faults)
    if change is not None:
        fleet = change(fleet)
    return Simulation("small", fleet, seed, variant, topology, plan).play()


def assert_no_violations(history: History) -> History:
    """Assert that no rule is violated, and return the history."""
    found = checkers.rules(history)
    assert not found.counts, found.broken[:3]
    assert not checkers.ran_twice(history)
    return history


def service_between(history: History, begin: float, end: float) -> float:
    return checkers.service(
        history.rows, history.began_us + int(begin * US_PER_S), history.began_us + int(end * US_PER_S)
    )


def directors_that_evacuated(history: History, site: str) -> set[str]:
    return {
        row.who for row in checkers.states(history, site) if row.data["now"] in ("evacuating", "evacuated")
    }


def test_the_same_seed_gives_the_same_run() -> None:
    one, other = (simulate(fault("lose", "north"), seed=3) for _ in range(2))
    assert one == other != simulate(fault("lose", "north"), seed=4)


def test_a_lost_site_is_left_and_returned_to_and_all_is_as_before() -> None:
    history = assert_no_violations(simulate(fault("lose", "north")))
    assert directors_that_evacuated(history, "north") == {"n2", "n3", "n4", "n5"}
    assert service_between(history, 13, 18) > 0.85 and service_between(history, 36, 44) > 0.97
    last = {row.who: row.data["now"] for row in checkers.states(history, "north")}
    assert set(last.values()) == {"steady"}


def test_a_site_is_lost_in_the_middle_of_the_return_of_another() -> None:
    history = assert_no_violations(simulate(fault("lose", "north", 6, 6), fault("lose", "west", 17, 6)))
    assert (
        directors_that_evacuated(history, "west") >= {"n4", "n5"} and service_between(history, 38, 44) > 0.9
    )


def test_lost_caches_are_left_by_their_own_directors() -> None:
    """The clients stay connected: the directors use caches of other sites, and no burst reaches the
    origin."""
    history = assert_no_violations(simulate(fault("lose", "north", how="boxes")))
    assert {"n0", "n1"} <= directors_that_evacuated(history, "north")
    plain = simulate(fault("lose", "north", how="boxes"), variant="plain")
    begin = history.began_us + 9 * US_PER_S
    peaks = [checkers.peak(h, begin, begin + 9 * US_PER_S).get("archive", 0.0) for h in (history, plain)]
    assert peaks[0] < peaks[1] and service_between(history, 12, 18) > 0.85


def test_lost_directors_with_their_caches_up_are_no_loss_of_the_site() -> None:
    """The clients' requests arrive at other sites, are tried at the caches of their own site first, and
    these caches continue to serve them over the link."""
    history = assert_no_violations(simulate(fault("lose", "north", how="directors")))
    assert not directors_that_evacuated(history, "north") and service_between(history, 13, 18) > 0.9
    boxes = {row.who for row in history.of("sent") if row.at_us > history.began_us + 13 * US_PER_S}
    assert {"north-1", "north-2", "north-3"} <= boxes


@pytest.mark.parametrize("what", ["cut", "cut-there", "cut-back"])
def test_one_link_that_is_cut_moves_nothing(what: str) -> None:
    history = assert_no_violations(simulate(fault(what, "west|north")))
    assert not directors_that_evacuated(history, "north") and not directors_that_evacuated(history, "west")


def test_an_isolated_director_evacuates_no_site() -> None:
    history = assert_no_violations(simulate(fault("cut", "north|outside")))
    ours = [row for row in checkers.states(history) if row.who in ("n0", "n1") and row.what != "north"]
    assert not [row for row in ours if row.data["now"] in ("lost", "evacuating", "evacuated")]
    assert service_between(history, 30, 44) > 0.95


def test_a_loss_that_the_list_reports_7_s_late_or_never_is_detected_from_evidence() -> None:
    def late(fleet: FleetScenario) -> FleetScenario:
        return replace(fleet, scenario=replace(fleet.scenario, told_after_us=7 * US_PER_S))

    for history in (
        assert_no_violations(simulate(fault("lose", "north"), change=late)),
        assert_no_violations(simulate(fault("unlisted", "all", 1, 40), fault("lose", "north"))),
    ):
        found = checkers.reached(history, "north", "evacuating", history.began_us + 11 * US_PER_S)
        assert found and found[0] < 3.0, (
            "not detected within 3 s of the arrival of its clients, which is 3 s after the loss"
        )


def test_a_loss_during_a_mass_purge_and_with_all_copies_purged() -> None:
    history = assert_no_violations(simulate(fault("purge", "all", 9, 0), fault("lose", "north")))
    assert service_between(history, 36, 44) > 0.9


def test_with_two_of_three_sites_lost_the_last_is_prompt_and_rejects_at_once() -> None:
    history = assert_no_violations(simulate(fault("lose", "north", 8, 14), fault("lose", "west", 8.5, 14)))
    begin = history.began_us + 14 * US_PER_S
    calls = [r for r in history.of("call") if begin <= r.at_us < begin + 7 * US_PER_S]
    refused = [r for r in calls if r.data["verdict"] == "refused"]
    assert len(refused) > 20 and not [r for r in calls if r.data["verdict"] == "failed"]
    kinds = {r.data["class"] for r in refused}
    assert "booking" not in kinds, "bookings must be rejected last"
    south = [r for r in history.of("earned") if r.who == "south" and begin <= r.at_us < begin + 7 * US_PER_S]
    assert checkers.service(south, begin, begin + 7 * US_PER_S) > 0.3


@pytest.mark.parametrize("when", [8.2, 12.0, 19.0])
def test_a_director_paused_through_loss_or_return_does_not_act_on_stale_state(when: float) -> None:
    history = assert_no_violations(simulate(fault("lose", "north"), fault("stop", "n4", when, 4)))
    assert service_between(history, 38, 44) > 0.95


@pytest.mark.parametrize("when", [8.5, 11.2, 13.0, 19.0, 24.0])
def test_a_director_killed_in_any_phase_restarts_without_a_burst(when: float) -> None:
    history = assert_no_violations(simulate(fault("lose", "north"), fault("kill", "n4", when, 1)))
    assert service_between(history, 38, 44) > 0.95


def test_a_failover_exercise_leaves_and_returns_and_yields_to_an_actual_loss() -> None:
    undisturbed = assert_no_violations(simulate(fault("drill", "west", 6, 0, amount=4)))
    assert (
        directors_that_evacuated(undisturbed, "west") == {f"n{n}" for n in range(6)}
        and service_between(undisturbed, 6, 44) > 0.93
    )
    assert {row.data["now"] for row in checkers.states(undisturbed, "west")} >= {
        "evacuated",
        "returning",
        "steady",
    }
    real = assert_no_violations(simulate(fault("drill", "west", 6, 0, amount=30), fault("lose", "north", 9)))
    back = [r for r in checkers.states(real, "west") if r.data["now"] == "returning"]
    assert back and min(r.at_us for r in back) < real.began_us + 16 * US_PER_S


def test_writes_in_flight_at_the_instant_of_loss_are_executed_once() -> None:
    def bookings(fleet: FleetScenario) -> FleetScenario:
        loads = [replace(load, mix=(("booking", 1.0),)) for load in fleet.scenario.loads]
        return replace(fleet, scenario=replace(fleet.scenario, loads=tuple(loads), duration_us=20 * US_PER_S))

    for seed in range(3):
        history = assert_no_violations(simulate(fault("lose", "north", 6, 6), seed=seed, change=bookings))
        assert len(history.of("ran")) > 300


def test_a_tenant_whose_capacity_was_all_there_is_served_elsewhere() -> None:
    history = assert_no_violations(simulate(fault("lose", "north")))
    begin = history.began_us + 13 * US_PER_S
    for rows in checkers.split(history.of("earned"), "tenant").values():
        assert checkers.service(rows, begin, begin + 5 * US_PER_S) > 0.7


@pytest.mark.parametrize("how", ["part", "new"])
def test_a_site_that_returns_smaller_or_under_new_names(how: str) -> None:
    history = assert_no_violations(simulate(fault("lose", "north", how=how)))
    assert service_between(history, 38, 44) > 0.9
    boxes = {row.who for row in history.of("sent") if row.at_us > history.began_us + 36 * US_PER_S}
    assert any(name.startswith("north-") and name.endswith("-b") is (how == "new") for name in boxes)


def test_a_site_lost_twice_is_returned_to_more_slowly() -> None:
    history = assert_no_violations(simulate(fault("lose", "north", 6, 5, how="twice", amount=8)))
    back = [
        r for r in checkers.states(history, "north") if r.data["now"] == "returning" and r.who in ("n2", "n4")
    ]
    assert back


FAULTS_WITHOUT_LOSS = [
    ("slow", "north", 6.0),
    ("replace", "north", 0.0),
    ("lossy", "west|south", 0.03),
    ("cut", "south|outside", 0.0),
    ("mute", "all", 0.0),
    ("delay", "north|west", 200.0),
]


@pytest.mark.parametrize(("what", "name", "amount"), FAULTS_WITHOUT_LOSS)
def test_what_is_no_loss_raises_no_alarm(what: str, name: str, amount: float) -> None:
    history = assert_no_violations(simulate(fault(what, name, 8, 12, amount=amount)))
    assert not checkers.false_alarms(history)
    others = [r for r in checkers.states(history) if r.data["now"] in ("evacuating", "evacuated")]
    assert not others


def test_load_does_not_sustain_itself_after_its_cause_has_ended() -> None:
    """With 1.35 times the load and clients that retry, service is as before in the last 10 s of the run."""

    def hard(fleet: FleetScenario) -> FleetScenario:
        loads = [replace(load, rate_per_s=load.rate_per_s * 1.35) for load in fleet.scenario.loads]
        return replace(fleet, scenario=replace(fleet.scenario, loads=tuple(loads), duration_us=60 * US_PER_S))

    history = assert_no_violations(
        simulate(fault("lose", "north", 6, 10), fault("lose", "west", 6, 10), change=hard)
    )
    assert service_between(history, 50, 60) > 0.93 * service_between(history, 1, 6)


# ---- site router driven directly ------------------------------------------------------------------------


def _site_router() -> SiteRouter:
    fleet, topology, plan = _small_fleet()
    sim = Simulation("hand", fleet, 1, "sites", topology, plan)
    sim._build()
    router = sim.fronts[0].decider
    assert isinstance(router, SiteRouter)
    return router


def _request(
    name: str, kind: str = "job-sheet", site: str | None = None, again: bool = False
) -> RequestArrived:
    return RequestArrived(
        name,
        kind,
        "7f3a9c21e0b4d655",
        2 * US_PER_S,
        object_group=1,
        client_site=site,
        is_retry=again,
        tenant="depot",
    )


def test_with_cells_in_a_site_a_request_is_found_at_its_cells_router() -> None:
    plain = _site_router()
    assert plain.router_of("a") is None and plain.cell_of("a") == ""
    cell_plan = CellPlan({"only": Cell("only")}, {"depot": TenantSpec("depot", cells=("only",))})
    nested = SiteRouter(
        plain.settings,
        1,
        1_000 * US_PER_S,
        plain.topology,
        plain.monitor.serving_sites.plan,
        lambda settings, seed, now: CellRouter(settings, seed, now, cell_plan, 400),
    )
    for router, expected in ((plain, "north"), (nested, "north/only")):
        members = tuple(plain.monitor.membership.members.values())
        snapshot = EndpointsChanged(EndpointListKind.SNAPSHOT, members)
        router.handle(1_001 * US_PER_S, [snapshot, _request("a")])
        assert router.cell_of("a") == expected
        assert isinstance(router.router_of("a"), Router)


def test_while_all_sites_are_steady_everything_passes_through_unchanged() -> None:
    router, now = _site_router(), 1_001 * US_PER_S
    out = router.handle(now, [_request("a"), _request("b", site="north"), _request("c", site="nowhere")])
    assert [type(a) for a in out if not isinstance(a, SetTimer)] == [ForwardWithFill] * 3
    assert set(router.sites) == {"north"} and not router.rejection_reason_by_request
    fetch = next(a for a in out if isinstance(a, ForwardWithFill))
    out = router.handle(
        now + 1000, [AttemptEnded("a", 0, fetch.member, AttemptStatus.OK, 1000, True, AnswerDetail.HIT)]
    )
    assert "a" not in router.requests and router.sites["north"].in_flight == 2
    router.handle(now + 2000, [ClientDisconnected("b")])
    assert router.handle(now, [_request("x", "no-class")]) == [RejectRequest("x")]


def test_remote_requests_are_tried_at_their_site_and_relocated_with_their_attempts_counted() -> None:
    """The first requests are sent to the caches of their own site. If these are unreachable, the request is
    relocated to its serving site with consecutive attempt numbers, and no answer is withheld."""
    router, now = _site_router(), 1_001 * US_PER_S
    sent = [a for a in router.handle(now, [_request("a", site="west")]) if isinstance(a, ForwardWithFill)]
    assert sent[0].member.startswith("west-") and router.monitor.lifecycles["west"].phase is SitePhase.SUSPECT
    for number in range(4):
        now += 400_000
        end = AttemptEnded("a", number, sent[-1].member, AttemptStatus.CONNECT_FAILED, 400_000, False)
        out = router.handle(now, [EndpointFeedReceived(), end, TimerFired("sites")])
        sent += [a for a in out if isinstance(a, ForwardWithFill | ForwardRequest)]  # type: ignore[misc]
        if any(isinstance(a, RejectRequest) for a in out):
            break
    owner = router.requests.get("a")
    moved = owner is not None and owner.relocated
    assert moved or any(isinstance(a, RejectRequest) for a in out)
    if moved and owner is not None:
        assert not sent[-1].member.startswith("west-")
        numbers = [one.local_index for one in owner.attempts if one.site == owner.assigned_to]
        assert numbers == list(range(len(numbers)))


def test_a_command_is_reported_explained_and_withdrawn() -> None:
    router, now = _site_router(), 1_001 * US_PER_S
    router.apply_command(now, SiteCommand("north", SiteDirective.EVACUATE, "flood"))
    for n in range(40):
        router.handle(now + n * 100_000, [TimerFired("sites")])
    status = router_status(router, now + 4 * US_PER_S)
    assert status["sites"]["north"]["state"] == "evacuated" and status["orders"]["north"]["reason"] == "flood"
    explanation = " ".join(explain(router, "north", "job-sheet", "7f3a9c21e0b4d655"))
    assert "is evacuated: operator command" in explanation and "It goes to '" in explanation
    assert "archive" in " ".join(explain(router, "north", "booking", "7f3a9c21e0b4d655"))
    with pytest.raises(KeyError):
        explain(router, "east", "job-sheet", "x")
    router.apply_command(now + 5 * US_PER_S, SiteCommand("north", SiteDirective.NONE))
    for n in range(200):
        router.handle(now + 5 * US_PER_S + n * 100_000, [TimerFired("sites")])
    assert router_status(router, now + 30 * US_PER_S)["sites"]["north"]["state"] == "steady"


def test_an_operators_command_applies_once_durable_and_outlives_the_director() -> None:
    """The command is given by the API and read again from the store; without a store it is rejected."""

    async def run() -> None:
        files, orders = FaultyFiles(), []
        for start in range(2):
            router = _site_router()
            durable = open_state(files)
            durable.start()
            orders.append([command_from_row(row) for row in durable.site_command_rows()])
            core = RequestEngine(SETTINGS, 7, ImmediateTransport(), EndpointTable(), Counters())
            sites = SitesApi(router, lambda: 1_002 * US_PER_S, lambda: None)
            api = AdminApi(Tenants(), Counters(), "operator-token-1", dict, {"sites": sites})
            body = json.dumps({"word": "evacuate", "reason": "flood"}).encode()
            head = {"authorization": "Bearer operator-token-1"}
            request = HttpRequest("PUT", "/sites/orders/north", head, body)
            if start == 0:
                with pytest.raises(HttpError, match="no block 'store'"):
                    await api(request)
                assert (await DurableApi(api, durable, core)(request))[0] == 200
                assert router.monitor.commands.directive_for("north") is SiteDirective.EVACUATE
                nowhere = HttpRequest("PUT", "/sites/orders/nowhere", head, body)
                with pytest.raises(HttpError, match="no site 'nowhere'"):
                    await DurableApi(api, durable, core)(nowhere)
            response = await api(HttpRequest("GET", "/sites", head, b""))
            assert response[0] == 200
            await durable.close()
        assert orders[0] == [] and [o.directive for o in orders[1]] == [SiteDirective.EVACUATE]
        router.monitor.restore_commands(orders[1])
        for n in range(30):
            router.handle(1_003 * US_PER_S + n * 100_000, [TimerFired("sites")])
        assert router.monitor.lifecycles["north"].phase is SitePhase.EVACUATED

    asyncio.run(run())


def test_a_phase_is_counted_logged_and_traced_with_its_cause(tmp_path: Path) -> None:
    router = _site_router()

    async def run() -> list[tuple[int, int, dict[str, object]]]:
        core = RequestEngine(
            SETTINGS,
            7,
            ImmediateTransport(),
            EndpointTable(),
            Counters(),
            lambda: 1_002 * US_PER_S,
            make_router=lambda *_: router,
        )
        core.context.tracer = DecisionTracer(SETTINGS, "n0", tmp_path, SinkLimits(), core.now(), lambda: 1)
        router.apply_command(1_002 * US_PER_S, SiteCommand("north", SiteDirective.EVACUATE, "flood"))
        core.handle()
        core.context.tracer.stop(core.now())
        assert core.counters.counts["sites.evacuating.north"] == 1
        (path,) = tmp_path.glob("*.owt")
        with open_trace(path) as trace:
            return [recorded for _, table in trace.tables(StringTable()) for recorded in table.notifications]

    recorded = [data for kind, _, data in asyncio.run(run()) if kind == NotificationKind.SITE]
    assert [(d["site"], d["now"], d["why"]) for d in recorded] == [
        ("north", "evacuating", "operator command")
    ]


# ---- load shedding and local demand ---------------------------------------------------------------------


def test_shedding_levels_rise_with_pressure_and_fall_more_slowly() -> None:
    shedding, now = SheddingLevels(100, {"a": 0.5}, 1), 0
    assert shedding.retry_reserve == 1.0
    levels = []
    for n in range(200):
        shedding.record_answer(now, n % 10 < 7)
        now += 10_000
        shedding.step(now)
        levels.append(shedding.level)
    assert max(levels) == len(LEVEL_THRESHOLDS) and shedding.retry_reserve == 0.0
    chunk, save = SETTINGS.classes[0], SETTINGS.classes[2]
    assert shedding.rejection_reason(chunk, "b", True, 0.5) == "retry"
    assert shedding.rejection_reason(save, "b", True, 1.0) is None, "writes must be shed last"
    shedding.gate.adaptive_limit.limit = 10.0
    for _ in range(9):
        shedding.gate.admit("b", 1.0)
    assert shedding.rejection_reason(chunk, "b", False, 0.0) == "full"
    assert shedding.rejection_reason(chunk, "a", False, 0.0) is None, (
        "a tenant under its reserve must be admitted"
    )
    for _ in range(400):
        now += 100_000
        shedding.step(now)
    assert shedding.level == 0 and shedding.pressure < 0.01
    waits = {shedding.retry_after_us(500_000) for _ in range(50)}
    assert len(waits) > 10 and max(waits) <= 500_000


def test_the_lowest_priority_weight_for_its_work_is_shed_first() -> None:
    classes = {k.name: k for k in SETTINGS.classes}
    order = class_priorities(
        classes.values(), {"chunk": 400_000.0, "thumb": 50_000.0, "save": 1.0, "hold": 1.0}
    )
    assert order["chunk"] < order["thumb"] < order["save"]


def test_an_object_that_own_clients_request_is_local() -> None:
    local_demand = LocalDemand()
    local_demand.record_request(US_PER_S, "o")
    assert local_demand.is_local(US_PER_S + RECENT_US, "o") and not local_demand.is_local(
        2 * US_PER_S + RECENT_US, "o"
    )
    local_demand.record_request(50 * US_PER_S, "o")
    assert local_demand.is_local(US_PER_S + REPEATED_WITHIN_US - 1, "o") and not local_demand.is_local(
        US_PER_S, "p"
    )
    for n in range(30_000):
        local_demand.record_request(60 * US_PER_S, f"o{n}")
    assert len(local_demand.last_requests) == 20_000


def test_a_router_retries_less_as_its_reserve_falls() -> None:
    from tests.router_harness import RouterHarness, final_answers, forwards

    tries = {}
    for reserve in (1.0, 0.5, 0.0):
        w = RouterHarness()
        w.handle(RetryReserveChanged(reserve))
        out, count = w.request(), 0
        while forwards(out) and not final_answers(out):
            count += 1
            out = w.end_attempt(AttemptStatus.ERROR, attempt=count - 1, member=forwards(out)[0].member)
        tries[reserve] = count
    assert tries[1.0] > tries[0.5] > tries[0.0] == 1
