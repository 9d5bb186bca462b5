"""Directors with sites on a clock of their own: the hard cases, each a small fleet with its faults."""

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
from onyxwick.core import RequestEngine
from onyxwick.core.endpoints import EndpointTable
from onyxwick.counters import Counters
from onyxwick.interface import (
    AnswerDetail,
    AttemptEnded,
    AttemptStatus,
    ClientDisconnected,
    EndpointFeedReceived,
    ForwardRequest,
    ForwardWithFill,
    RejectRequest,
    RequestArrived,
    RetryReserveChanged,
    SetTimer,
    TimerFired,
)
from onyxwick.lab.faults import checkers as c
from onyxwick.lab.faults.history import History
from onyxwick.lab.faults.model import FleetScenario, InjectedFault, When
from onyxwick.lab.faults.script import read
from onyxwick.lab.faults.simulate import Simulation, planned, topology_of
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
from onyxwick.trace.table import Strings
from tests.director_with_store import ImmediateTransport, open_state
from tests.exchange import ROOT
from tests.faulty_files import FaultyFiles
from tests.world import SETTINGS, S

LOSS = ROOT / "examples" / "lab" / "faults" / "site-loss.hcl"


@cache
def _small() -> tuple[FleetScenario, Topology, SitePlan]:
    """The example's fleet with a quarter of its load on a quarter of its room and more at the stores (a part
    of few transfers comes in large pieces), for 42 s."""
    fleet = read(LOSS)
    sc = fleet.scenario
    loads = tuple(replace(load, rate_per_s=load.rate_per_s / 4) for load in sc.loads)
    parents, origin = replace(sc.parents, capacity=1.25), replace(sc.origin, capacity=2.0)
    boxes = replace(sc.boxes, count=3, capacity=sc.boxes.capacity / 2)
    scenario = replace(sc, loads=loads, boxes=boxes, parents=parents, origin=origin, duration_us=42 * S)
    sites = {n: replace(s, boxes=3) for n, s in fleet.sites.items()}
    small = replace(fleet, scenario=scenario, sites=sites, faults=())
    top = topology_of(small)
    return small, top, planned(top)


def fault(
    what: str, name: str, at: float = 8, lasts: float = 10, how: str = "", amount: float = 0.0
) -> InjectedFault:
    return InjectedFault(f"{what} {name}", When(int(at * S)), what, name, int(lasts * S), how, amount)


def play(
    *faults: InjectedFault,
    seed: int = 1,
    variant: str = "sites",
    change: Callable[[FleetScenario], FleetScenario] | None = None,
) -> History:
    fleet, top, plan = _small()
    fleet = replace(fleet, faults=faults)
    if change is not None:
        fleet = change(fleet)
    return Simulation("small", fleet, seed, variant, top, plan).play()


def sound(history: History) -> History:
    """No rule is broken, whatever happened."""
    found = c.rules(history)
    assert not found.counts, found.broken[:3]
    assert not c.ran_twice(history)
    return history


def at(history: History, begin: float, end: float) -> float:
    return c.service(history.rows, history.began_us + int(begin * S), history.began_us + int(end * S))


def left_by(history: History, site: str) -> set[str]:
    return {row.who for row in c.states(history, site) if row.data["now"] in ("evacuating", "evacuated")}


def test_the_same_seed_gives_the_same_run() -> None:
    one, other = (play(fault("lose", "north"), seed=3) for _ in range(2))
    assert one == other != play(fault("lose", "north"), seed=4)


def test_a_lost_site_is_left_and_returned_to_and_all_is_as_before() -> None:
    history = sound(play(fault("lose", "north")))
    assert left_by(history, "north") == {"n2", "n3", "n4", "n5"}
    assert at(history, 13, 18) > 0.85 and at(history, 36, 44) > 0.97
    last = {row.who: row.data["now"] for row in c.states(history, "north")}
    assert set(last.values()) == {"steady"}


def test_a_site_is_lost_in_the_middle_of_the_return_of_another() -> None:
    history = sound(play(fault("lose", "north", 6, 6), fault("lose", "west", 17, 6)))
    assert left_by(history, "west") >= {"n4", "n5"} and at(history, 38, 44) > 0.9


def test_boxes_gone_with_their_directors_alive_are_left_by_them() -> None:
    """Their own clients go on asking them: they send to the others' boxes, and no crowd asks the archive."""
    history = sound(play(fault("lose", "north", how="boxes")))
    assert {"n0", "n1"} <= left_by(history, "north")
    plain = play(fault("lose", "north", how="boxes"), variant="plain")
    begin = history.began_us + 9 * S
    peaks = [c.peak(h, begin, begin + 9 * S).get("archive", 0.0) for h in (history, plain)]
    assert peaks[0] < peaks[1] and at(history, 12, 18) > 0.85


def test_directors_gone_with_their_boxes_alive_are_no_loss_of_the_site() -> None:
    """Strangers come, their site is tried first, and its boxes go on serving them over the link."""
    history = sound(play(fault("lose", "north", how="directors")))
    assert not left_by(history, "north") and at(history, 13, 18) > 0.9
    boxes = {row.who for row in history.of("sent") if row.at_us > history.began_us + 13 * S}
    assert {"north-1", "north-2", "north-3"} <= boxes


@pytest.mark.parametrize("what", ["cut", "cut-there", "cut-back"])
def test_one_link_that_is_cut_moves_nothing(what: str) -> None:
    history = sound(play(fault(what, "west|north")))
    assert not left_by(history, "north") and not left_by(history, "west")


def test_our_own_cut_evacuates_nobody_onto_us() -> None:
    history = sound(play(fault("cut", "north|outside")))
    ours = [row for row in c.states(history) if row.who in ("n0", "n1") and row.what != "north"]
    assert not [row for row in ours if row.data["now"] in ("lost", "evacuating", "evacuated")]
    assert at(history, 30, 44) > 0.95


def test_a_loss_that_the_list_tells_7_s_late_or_never_is_found_from_evidence() -> None:
    def late(fleet: FleetScenario) -> FleetScenario:
        return replace(fleet, scenario=replace(fleet.scenario, told_after_us=7 * S))

    for history in (
        sound(play(fault("lose", "north"), change=late)),
        sound(play(fault("unlisted", "all", 1, 40), fault("lose", "north"))),
    ):
        found = c.reached(history, "north", "evacuating", history.began_us + 11 * S)
        assert found and found[0] < 3.0, "within 3 s of its clients' coming, 3 s after the loss"


def test_a_loss_during_a_mass_purge_and_under_all_copies_void() -> None:
    history = sound(play(fault("purge", "all", 9, 0), fault("lose", "north")))
    assert at(history, 36, 44) > 0.9


def test_of_three_sites_two_lost_the_rest_is_prompt_and_refuses_at_once() -> None:
    history = sound(play(fault("lose", "north", 8, 14), fault("lose", "west", 8.5, 14)))
    begin = history.began_us + 14 * S
    calls = [r for r in history.of("call") if begin <= r.at_us < begin + 7 * S]
    refused = [r for r in calls if r.data["verdict"] == "refused"]
    assert len(refused) > 20 and not [r for r in calls if r.data["verdict"] == "failed"]
    kinds = {r.data["class"] for r in refused}
    assert "booking" not in kinds, "bookings are refused last of all"
    south = [r for r in history.of("earned") if r.who == "south" and begin <= r.at_us < begin + 7 * S]
    assert c.service(south, begin, begin + 7 * S) > 0.3


@pytest.mark.parametrize("when", [8.2, 12.0, 19.0])
def test_a_director_stopped_through_loss_or_return_does_nothing_on_old_beliefs(when: float) -> None:
    history = sound(play(fault("lose", "north"), fault("stop", "n4", when, 4)))
    assert at(history, 38, 44) > 0.95


@pytest.mark.parametrize("when", [8.5, 11.2, 13.0, 19.0, 24.0])
def test_a_director_killed_in_any_state_comes_back_without_a_crowd(when: float) -> None:
    history = sound(play(fault("lose", "north"), fault("kill", "n4", when, 1)))
    assert at(history, 38, 44) > 0.95


def test_a_drill_leaves_and_returns_and_gives_way_to_a_real_loss() -> None:
    calm = sound(play(fault("drill", "west", 6, 0, amount=4)))
    assert left_by(calm, "west") == {f"n{n}" for n in range(6)} and at(calm, 6, 44) > 0.93
    assert {row.data["now"] for row in c.states(calm, "west")} >= {"evacuated", "returning", "steady"}
    real = sound(play(fault("drill", "west", 6, 0, amount=30), fault("lose", "north", 9)))
    back = [r for r in c.states(real, "west") if r.data["now"] == "returning"]
    assert back and min(r.at_us for r in back) < real.began_us + 16 * S


def test_bookings_out_at_the_instant_of_loss_run_once() -> None:
    def bookings(fleet: FleetScenario) -> FleetScenario:
        loads = [replace(load, mix=(("booking", 1.0),)) for load in fleet.scenario.loads]
        return replace(fleet, scenario=replace(fleet.scenario, loads=tuple(loads), duration_us=20 * S))

    for seed in range(3):
        history = sound(play(fault("lose", "north", 6, 6), seed=seed, change=bookings))
        assert len(history.of("ran")) > 300


def test_a_tenant_whose_whole_room_was_there_is_served_elsewhere() -> None:
    history = sound(play(fault("lose", "north")))
    begin = history.began_us + 13 * S
    for rows in c.split(history.of("earned"), "tenant").values():
        assert c.service(rows, begin, begin + 5 * S) > 0.7


@pytest.mark.parametrize("how", ["part", "new"])
def test_a_site_that_comes_back_smaller_or_under_new_names(how: str) -> None:
    history = sound(play(fault("lose", "north", how=how)))
    assert at(history, 38, 44) > 0.9
    boxes = {row.who for row in history.of("sent") if row.at_us > history.began_us + 36 * S}
    assert any(name.startswith("north-") and name.endswith("-b") is (how == "new") for name in boxes)


def test_a_site_lost_twice_is_returned_to_more_slowly() -> None:
    history = sound(play(fault("lose", "north", 6, 5, how="twice", amount=8)))
    back = [r for r in c.states(history, "north") if r.data["now"] == "returning" and r.who in ("n2", "n4")]
    assert back


QUIET = [
    ("slow", "north", 6.0),
    ("replace", "north", 0.0),
    ("lossy", "west|south", 0.03),
    ("cut", "south|outside", 0.0),
    ("mute", "all", 0.0),
    ("delay", "north|west", 200.0),
]


@pytest.mark.parametrize(("what", "name", "amount"), QUIET)
def test_what_is_no_loss_raises_no_alarm(what: str, name: str, amount: float) -> None:
    history = sound(play(fault(what, name, 8, 12, amount=amount)))
    assert not c.false_alarms(history)
    others = [r for r in c.states(history) if r.data["now"] in ("evacuating", "evacuated")]
    assert not others


def test_load_does_not_keep_itself_up_after_its_cause_has_gone() -> None:
    """Twice the load and clients that come again: 10 s after the loss is over all is as before."""

    def hard(fleet: FleetScenario) -> FleetScenario:
        loads = [replace(load, rate_per_s=load.rate_per_s * 1.35) for load in fleet.scenario.loads]
        return replace(fleet, scenario=replace(fleet.scenario, loads=tuple(loads), duration_us=60 * S))

    history = sound(play(fault("lose", "north", 6, 10), fault("lose", "west", 6, 10), change=hard))
    assert at(history, 50, 60) > 0.93 * at(history, 1, 6)


# ---- the decider by hand --------------------------------------------------------------------------------


def _decider() -> SiteRouter:
    fleet, top, plan = _small()
    sim = Simulation("hand", fleet, 1, "sites", top, plan)
    sim._build()
    decider = sim.fronts[0].decider
    assert isinstance(decider, SiteRouter)
    return decider


def _ask(name: str, kind: str = "job-sheet", site: str | None = None, again: bool = False) -> RequestArrived:
    return RequestArrived(
        name,
        kind,
        "7f3a9c21e0b4d655",
        2 * S,
        object_group=1,
        client_site=site,
        is_retry=again,
        tenant="depot",
    )


def test_in_calm_all_passes_through_unchanged() -> None:
    decider, now = _decider(), 1_001 * S
    out = decider.handle(now, [_ask("a"), _ask("b", site="north"), _ask("c", site="nowhere")])
    assert [type(a) for a in out if not isinstance(a, SetTimer)] == [ForwardWithFill] * 3
    assert set(decider.sites) == {"north"} and not decider.shed_now
    fetch = next(a for a in out if isinstance(a, ForwardWithFill))
    out = decider.handle(
        now + 1000, [AttemptEnded("a", 0, fetch.member, AttemptStatus.OK, 1000, True, AnswerDetail.HIT)]
    )
    assert "a" not in decider.requests and decider.sites["north"].in_flight == 2
    decider.handle(now + 2000, [ClientDisconnected("b")])
    assert decider.handle(now, [_ask("x", "no-class")]) == [RejectRequest("x")]


def test_strangers_are_tried_at_their_site_and_moved_on_with_their_attempts_counted() -> None:
    """The first go to their own boxes; one that finds them dark goes on to its object's new home, its
    attempts numbered on, and no answer is held back."""
    decider, now = _decider(), 1_001 * S
    sent = [a for a in decider.handle(now, [_ask("a", site="west")]) if isinstance(a, ForwardWithFill)]
    assert (
        sent[0].member.startswith("west-") and decider.monitor.lifecycles["west"].phase is SitePhase.SUSPECT
    )
    for number in range(4):
        now += 400_000
        end = AttemptEnded("a", number, sent[-1].member, AttemptStatus.CONNECT_FAILED, 400_000, False)
        out = decider.handle(now, [EndpointFeedReceived(), end, TimerFired("sites")])
        sent += [a for a in out if isinstance(a, ForwardWithFill | ForwardRequest)]  # type: ignore[misc]
        if any(isinstance(a, RejectRequest) for a in out):
            break
    home = decider.requests.get("a")
    moved = home is not None and home.relocated
    assert moved or any(isinstance(a, RejectRequest) for a in out)
    if moved and home is not None:
        assert not sent[-1].member.startswith("west-")
        numbers = [one.local_index for one in home.attempts if one.site == home.assigned_to]
        assert numbers == list(range(len(numbers)))


def test_an_order_is_shown_explained_and_undone() -> None:
    decider, now = _decider(), 1_001 * S
    decider.apply_command(now, SiteCommand("north", SiteDirective.EVACUATE, "flood"))
    for n in range(40):
        decider.handle(now + n * 100_000, [TimerFired("sites")])
    told = router_status(decider, now + 4 * S)
    assert told["sites"]["north"]["state"] == "evacuated" and told["orders"]["north"]["reason"] == "flood"
    words = " ".join(explain(decider, "north", "job-sheet", "7f3a9c21e0b4d655"))
    assert "is evacuated: an operator's order" in words and "It goes to '" in words
    assert "archive" in " ".join(explain(decider, "north", "booking", "7f3a9c21e0b4d655"))
    with pytest.raises(KeyError):
        explain(decider, "east", "job-sheet", "x")
    decider.apply_command(now + 5 * S, SiteCommand("north", SiteDirective.NONE))
    for n in range(200):
        decider.handle(now + 5 * S + n * 100_000, [TimerFired("sites")])
    assert router_status(decider, now + 30 * S)["sites"]["north"]["state"] == "steady"


def test_an_operators_order_binds_when_it_is_durable_and_outlives_the_director() -> None:
    """By the API, over a store that is read again; without a store an order is refused."""

    async def play() -> None:
        files, orders = FaultyFiles(), []
        for start in range(2):
            decider = _decider()
            durable = open_state(files)
            durable.start()
            orders.append([command_from_row(row) for row in durable.site_command_rows()])
            core = RequestEngine(SETTINGS, 7, ImmediateTransport(), EndpointTable(), Counters())
            sites = SitesApi(decider, lambda: 1_002 * S, lambda: None)
            api = AdminApi(Tenants(), Counters(), "operator-token-1", dict, {"sites": sites})
            body = json.dumps({"word": "evacuate", "reason": "flood"}).encode()
            head = {"authorization": "Bearer operator-token-1"}
            request = HttpRequest("PUT", "/sites/orders/north", head, body)
            if start == 0:
                with pytest.raises(HttpError, match="no block 'store'"):
                    api(request)
                assert (await DurableApi(api, durable, core)(request))[0] == 200
                assert decider.monitor.commands.directive_for("north") is SiteDirective.EVACUATE
                nowhere = HttpRequest("PUT", "/sites/orders/nowhere", head, body)
                with pytest.raises(HttpError, match="no site 'nowhere'"):
                    await DurableApi(api, durable, core)(nowhere)
            told = api(HttpRequest("GET", "/sites", head, b""))
            assert told[0] == 200
            await durable.close()
        assert orders[0] == [] and [o.directive for o in orders[1]] == [SiteDirective.EVACUATE]
        decider.monitor.restore_commands(orders[1])
        for n in range(30):
            decider.handle(1_003 * S + n * 100_000, [TimerFired("sites")])
        assert decider.monitor.lifecycles["north"].phase is SitePhase.EVACUATED

    asyncio.run(play())


def test_a_state_is_counted_logged_and_traced_with_its_cause(tmp_path: Path) -> None:
    decider = _decider()

    async def play() -> list[tuple[int, int, dict[str, object]]]:
        core = RequestEngine(
            SETTINGS,
            7,
            ImmediateTransport(),
            EndpointTable(),
            Counters(),
            lambda: 1_002 * S,
            make_router=lambda *_: decider,
        )
        core.context.tracer = DecisionTracer(SETTINGS, "n0", tmp_path, SinkLimits(), core.now(), lambda: 1)
        decider.apply_command(1_002 * S, SiteCommand("north", SiteDirective.EVACUATE, "flood"))
        core.handle()
        core.context.tracer.stop(core.now())
        assert core.counters.counts["sites.evacuating.north"] == 1
        (path,) = tmp_path.glob("*.owt")
        with open_trace(path) as trace:
            return [told for _, table in trace.tables(Strings()) for told in table.told]

    told = [data for kind, _, data in asyncio.run(play()) if kind == NotificationKind.SITE]
    assert [(d["site"], d["now"], d["why"]) for d in told] == [("north", "evacuating", "an operator's order")]


# ---- refusal --------------------------------------------------------------------------------------------


def test_the_ladder_is_climbed_by_pressure_and_left_more_slowly() -> None:
    ladder, now = SheddingLevels(100, {"a": 0.5}, 1), 0
    assert ladder.retry_reserve == 1.0
    levels = []
    for n in range(200):
        ladder.record_answer(now, n % 10 < 7)
        now += 10_000
        ladder.step(now)
        levels.append(ladder.level)
    assert max(levels) == len(LEVEL_THRESHOLDS) and ladder.retry_reserve == 0.0
    chunk, save = SETTINGS.classes[0], SETTINGS.classes[2]
    assert ladder.rejection_reason(chunk, "b", True, 0.5) == "retry"
    assert ladder.rejection_reason(save, "b", True, 1.0) is None, "bookings last"
    ladder.gate.adaptive_limit.limit = 10.0
    for _ in range(9):
        ladder.gate.admit("b", 1.0)
    assert ladder.rejection_reason(chunk, "b", False, 0.0) == "full"
    assert ladder.rejection_reason(chunk, "a", False, 0.0) is None, "no tenant under its reserve"
    for _ in range(400):
        now += 100_000
        ladder.step(now)
    assert ladder.level == 0 and ladder.pressure < 0.01
    waits = {ladder.retry_after_us(500_000) for _ in range(50)}
    assert len(waits) > 10 and max(waits) <= 500_000


def test_what_is_shed_first_is_the_least_worth_for_its_work() -> None:
    classes = {k.name: k for k in SETTINGS.classes}
    order = class_priorities(
        classes.values(), {"chunk": 400_000.0, "thumb": 50_000.0, "save": 1.0, "hold": 1.0}
    )
    assert order["chunk"] < order["thumb"] < order["save"]


def test_an_object_that_own_clients_want_is_here() -> None:
    wanted = LocalDemand()
    wanted.record_request(S, "o")
    assert wanted.is_local(S + RECENT_US, "o") and not wanted.is_local(2 * S + RECENT_US, "o")
    wanted.record_request(50 * S, "o")
    assert wanted.is_local(S + REPEATED_WITHIN_US - 1, "o") and not wanted.is_local(S, "p")
    for n in range(30_000):
        wanted.record_request(60 * S, f"o{n}")
    assert len(wanted.last_requests) == 20_000


def test_the_module_spends_less_as_its_reserve_goes() -> None:
    from tests.world import RouterHarness, final_answers, forwards

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
