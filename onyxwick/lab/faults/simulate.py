"""Simulation of the fault scenarios on a virtual clock: many deciders, simulated machines, links and clients.

Nothing waits for real time and there are no processes, so the run of a seed is the same each time. The
simulation covers all that deciders can distinguish: connects that are refused or never complete, silence,
resets, late answers, hits and fills, late endpoint lists. Machines share their links as the emulators do
(`lab/link.py`).
"""

from __future__ import annotations

import heapq
import random
from collections import defaultdict
from collections.abc import Callable
from dataclasses import replace

from onyxwick.config import hcl
from onyxwick.config.fields import Fields
from onyxwick.interface import (
    Action,
    AnswerDetail,
    AttemptEnded,
    AttemptStatus,
    CancelAttempt,
    ClientDisconnected,
    EndpointFeedReceived,
    EndpointListKind,
    EndpointsChanged,
    Event,
    FailRequest,
    FillOption,
    ForwardRequest,
    ForwardWithFill,
    Member,
    MemberState,
    RejectRequest,
    RequestArrived,
    SetTimer,
    SiteStateChanged,
    TimerFired,
)
from onyxwick.lab.arrivals import Arrival, draw, object_name
from onyxwick.lab.audit import Earned, Given, RecordedSend, Records, Taken
from onyxwick.lab.clients import LATE_WORTH, PAUSE_S, RETRIES
from onyxwick.lab.copies import Copy, CopyStore
from onyxwick.lab.faults.fleet import topology_text, warm_names
from onyxwick.lab.faults.history import History, Row, rows_of
from onyxwick.lab.faults.model import ARCHIVE, FleetScenario, InjectedFault
from onyxwick.lab.faults.simulated_faults import Faults, partial_of
from onyxwick.lab.faults.simulation_model import (
    COPIES,
    GROUPS,
    AttemptInFlight,
    Box,
    Callback,
    S,
    SimulatedFront,
)
from onyxwick.lab.link import EmulatedLink
from onyxwick.lab.machines import FILL_PACE
from onyxwick.lab.model import ScenarioClass
from onyxwick.lab.platform import PlatformLayout, settings
from onyxwick.routing import Router
from onyxwick.settings import SettingValues, read_settings
from onyxwick.sites import SitePlan, SiteRouter
from onyxwick.sites.model import Topology

CONNECT_US, SILENT_FILL_US = 400_000, 2 * S
BEGIN_US = 1_000 * S


class Simulation:
    """One run. `variant` is 'sites' or 'plain'. `plan` is computed beforehand, as all directors share one
    plan."""

    def __init__(
        self, name: str, fleet: FleetScenario, seed: int, variant: str, top: Topology, plan: SitePlan | None
    ) -> None:
        self.name, self.fleet, self.seed, self.variant = name, fleet, seed, variant
        self.scenario, self.top, self.plan = fleet.scenario, top, plan
        self.now = BEGIN_US
        self.random = random.Random(f"simulation {seed}")
        self.queue: list[tuple[int, int, Callback]] = []
        self.sequence = 0
        self.records, self.rows = Records(), list[Row]()
        self.boxes: dict[str, Box] = {}
        self.listed: dict[str, Member] = {}  # the endpoint list of the coordinator
        self.fronts = [SimulatedFront(n, k, s) for k, (n, s) in enumerate(fleet.directors)]
        self.gone: set[str] = set()
        self.cuts: set[tuple[str, str]] = set()  # messages of the first place do not reach the second
        self.resets: dict[frozenset[str], float] = {}
        self.extra: dict[frozenset[str], int] = {}
        self.away: dict[str, int] = {}
        self.unlisted = False
        self.used: dict[tuple[str, int], float] = defaultdict(float)
        self.purged: dict[int, int] = {}
        self.asked = 0

    # ---- the clock --------------------------------------------------------------------------------------

    def at(self, when: int, then: Callback) -> None:
        """Call `then` at the time `when` in microseconds, or now if that has passed."""
        self.sequence += 1
        heapq.heappush(self.queue, (max(when, self.now), self.sequence, then))

    def after(self, us: float, then: Callback) -> None:
        """Call `then` after `us` microseconds."""
        self.at(self.now + int(us), then)

    def play(self) -> History:
        """Run the scenario and return its history."""
        self._build()
        for arrival in draw(self.scenario, self.seed, None):
            self.at(BEGIN_US + arrival.at_us, lambda a=arrival: self._arrive(a))  # type: ignore[misc]
        for fault in self.fleet.faults:
            self.at(BEGIN_US + fault.when.at_us, lambda f=fault: self._begin(f))  # type: ignore[misc]
        end = BEGIN_US + self.scenario.duration_us
        while self.queue and self.queue[0][0] < end + 8 * S:
            self.now, _, then = heapq.heappop(self.queue)
            then()
        rows = rows_of(self.records) + self.rows
        rows += [Row("used", s * S, place, "", {"work_us": w}) for (place, s), w in self.used.items()]
        return History(self.name, self.seed, self.variant, BEGIN_US, end, rows)

    # ---- machines ---------------------------------------------------------------------------------------

    def _build(self) -> None:
        sc = self.scenario
        rows = [
            (f"{s.name}-{n + 1}", "box", s.name, s.name, sc.boxes)
            for s in self.fleet.sites.values()
            for n in range(s.boxes)
        ]
        rows += [
            (f"{h.name}-{n + 1}", "parent", h.name, h.name, sc.parents)
            for h in self.fleet.hubs.values()
            for n in range(h.stores)
        ]
        rows.append(("origin", "origin", self.fleet.archive_at, ARCHIVE, sc.origin))
        for name, kind, zone, place, tier in rows:
            box = self.boxes[name] = Box(name, kind, zone, place, tier, EmulatedLink(tier, self.now))
            self._warm(box)
            self.listed[name] = box.member()
        for front in self.fronts:
            self.start_director(front)

    def _warm(self, box: Box) -> None:
        for load in self.scenario.loads if box.kind != "origin" else ():
            for number in range(min(self.scenario.warm_objects, load.objects)):
                for name in warm_names(self.fleet, object_name(load.name, number), box):
                    for part in range(max(job.parts for job in self.scenario.jobs)):
                        box.store.keep(name, part, Copy("", self.now), 1)

    def advance_link(self, box: Box) -> None:
        """Complete the transfers of a machine's link that have ended, and schedule the next end."""
        for number in box.link.advance(self.now):
            if (then := box.waiting.pop(number, None)) is not None:
                then()
        end = box.link.next_end(self.now)
        box.turn += 1
        if end is not None:
            self.at(end, lambda turn=box.turn: self.advance_link(box) if turn == box.turn else None)  # type: ignore[misc]

    def _transfer(self, box: Box, work_us: float, then: Callback) -> None:
        box.link.advance(self.now)
        box.waiting[box.link.begin(self.now, work_us)] = then
        self.used[(box.place, self.now // S)] += work_us
        self.advance_link(box)

    def _count_work(self, box: Box, work_us: float) -> None:
        if box.link.asked(self.now, work_us):
            self.records.fallen.append((box.name, self.now))
            self.stop_machine(box)

    def stop_machine(self, box: Box) -> None:
        """End a machine's process: its transfers and its cached copies are lost."""
        box.up = False
        box.waiting.clear()
        box.store = CopyStore(COPIES)

    def restart_machine(self, box: Box) -> None:
        """Start a machine's process again."""
        box.up, box.link = True, EmulatedLink(box.tier, self.now, started=self.now)

    def reaches(self, here: str, there: str) -> bool:
        """Return whether messages pass from one place to the other and answers pass back."""
        if {here, there} & self.gone:
            return False
        return here == there or not {(here, there), (there, here)} & self.cuts

    def _delay(self, here: str, there: str) -> int:
        ends = frozenset((here, there))
        link = self.fleet.links.get(ends)
        return (link.delay_us if link is not None else 0) + self.extra.get(ends, 0)

    def _give(
        self,
        source: Box,
        to: str,
        name: str,
        part: int,
        job: ScenarioClass,
        held: bool,
        then: Callable[[str], None],
    ) -> None:
        """Serve a fill at its source and pass the resulting status word to `then`."""
        if not source.up or not self.reaches(to, source.place):
            silent = not self.reaches(to, source.place)
            return self.after(SILENT_FILL_US if silent else 1000, lambda: then("UP_DOWN"))
        work = FILL_PACE * job.sending_us
        self._count_work(source, work)
        if not source.up:
            return then("UP_DOWN")
        way = 2 * self._delay(to, source.place)

        def send(word: str) -> None:
            self._transfer(source, work, lambda: self.after(way, lambda: then(word)))

        if source.kind == "origin":
            return self.after(source.tier.wait_us, lambda: send("MISS_ORIGIN"))
        if self._holds(source, name, part, job):
            return send("MISS")
        if held or source.kind != "parent":
            return then("UP_MISS")

        def filled(word: str) -> None:
            if word != "MISS_ORIGIN":
                return then("ORIGIN_ERR")
            source.store.keep(name, part, Copy("", self.now), 1)
            return send("MISS_ORIGIN")

        return self._give(self.boxes["origin"], source.place, name, part, job, False, filled)

    def _holds(self, box: Box, name: str, part: int, job: ScenarioClass) -> bool:
        copy = box.store.get(name, part, self.now, job.kind.freshness_lifetime_us)
        return copy is not None and copy.dated_us >= self.purged.get(int(name[-4:], 16) % GROUPS, 0)

    # ---- directors --------------------------------------------------------------------------------------

    def start_director(self, front: SimulatedFront) -> None:
        """Start a director with a new decider and the present endpoint list."""
        site = self.fleet.sites[front.site]
        zones = (*self.fleet.hubs, *self.fleet.sites)
        place = PlatformLayout(front.site, site.directors, len(self.fronts), zones)
        told = settings(self.scenario, place)
        read = read_settings(SettingValues.from_json({**told, "self_index": front.number}))
        seed = self.seed * 1000 + front.number
        if self.variant == "sites":
            front.decider = SiteRouter(read, seed, self.now, self.top, self.plan or SitePlan(self.top))
        else:
            front.decider = Router(read, seed, self.now)
        front.up, front.born = True, front.born + 1
        front.outs.clear()
        self.notify(front, EndpointsChanged(EndpointListKind.SNAPSHOT, tuple(self.listed.values())))
        self._send_heartbeat(front, front.born)

    def _send_heartbeat(self, front: SimulatedFront, born: int) -> None:
        if front.born != born or not front.up:
            return
        if not front.muted and self.variant == "sites" and self.reaches(front.site, "outside"):
            self.notify(front, EndpointFeedReceived())
        self.after(S, lambda: self._send_heartbeat(front, born))

    def notify(self, front: SimulatedFront, *events: Event) -> None:
        """Pass events to a director's decider and execute its actions. A stopped director gets them later."""
        if front.decider is None or not front.up:
            return
        if front.stopped:
            front.backlog += [e for e in events if not isinstance(e, TimerFired | EndpointFeedReceived)]
            return
        for action in front.decider.handle(self.now, list(events)):
            self._act(front, action)

    def _act(self, front: SimulatedFront, action: Action) -> None:
        match action:
            case SetTimer(at, token):
                self.at(at, lambda: self._timer(front, front.born, token))
            case ForwardRequest(request_id=request, member=member, timeout_us=left):
                self._attempt(front, request, member, None, left, FillOption.NONE, 0)
            case ForwardWithFill(request, member, source, rank, left, _, flags):
                where = source if source != member else None
                self._attempt(front, request, member, where, left, flags, rank)
            case CancelAttempt(request, number):
                if (out := front.outs.get((request, number))) is not None:
                    self._end(out, AttemptStatus.CANCELLED)
            case RejectRequest(request_id=request, retry_after_us=after):
                self._answer(front, request, "refused", after)
            case FailRequest(request_id=request):
                self._answer(front, request, "failed", 0)
            case SiteStateChanged():
                data = {
                    "was": action.previous_state,
                    "now": action.state,
                    "share": action.share_served_elsewhere,
                    "why": action.reason,
                }
                self.rows.append(Row("state", self.now, front.name, action.site, data))

    def _timer(self, front: SimulatedFront, born: int, token: str) -> None:
        if front.born == born and not front.stopped:
            self.notify(front, TimerFired(token))
        elif front.born == born:
            self.after(50_000, lambda: self._timer(front, born, token))

    def _answer(self, front: SimulatedFront, request: str, verdict: str, after_us: int) -> None:
        if (client := front.ends.pop(request, None)) is not None:
            client(verdict, after_us)
        else:
            self.records.taken[request].answers += 1

    # ---- attempts ---------------------------------------------------------------------------------------

    def _attempt(
        self,
        front: SimulatedFront,
        request: str,
        member: str,
        source: str | None,
        left: int,
        flags: FillOption,
        rank: int,
    ) -> None:
        number = front.tries.get(request, 0)
        front.tries[request] = number + 1
        out = front.outs[(request, number)] = AttemptInFlight(front, request, number, member, self.now)
        box, taken = self.boxes[member], self.records.taken[request]
        job = self.scenario.classes[taken.class_name]
        here = front.site
        self.after(left, lambda: self._end(out, AttemptStatus.TIMEOUT))
        if not self.reaches(here, box.place):
            return self.after(CONNECT_US, lambda: self._end(out, AttemptStatus.CONNECT_FAILED))
        if not box.up:
            return self.after(1000, lambda: self._end(out, AttemptStatus.CONNECT_FAILED))
        if self.random.random() < self.resets.get(frozenset((here, box.place)), 0.0):
            return self.after(2000, lambda: self._end(out, AttemptStatus.RESET))
        go = partial_of(self._serve, out, box, taken, job, source, flags, rank)
        return self.after(self._delay(here, box.place), go)

    def _serve(
        self,
        out: AttemptInFlight,
        box: Box,
        taken: Taken,
        job: ScenarioClass,
        source: str | None,
        flags: FillOption,
        rank: int,
    ) -> None:
        """Process an attempt that has arrived at its machine."""
        if out.over or not box.up or box.place in self.gone:
            return
        here = out.director.site
        self.records.sends.append(RecordedSend(self.now, box.name, out.request, source))
        self._count_work(box, job.sending_us)
        back = self._delay(here, box.place)

        def done(status: AttemptStatus, detail: AnswerDetail) -> None:
            if self.reaches(here, box.place) and box.up:
                self.after(back, lambda: self._end(out, status, detail))

        def sent(detail: AnswerDetail) -> None:
            self._transfer(box, job.sending_us, lambda: done(AttemptStatus.OK, detail))

        if not box.up:
            return
        if job.kind.is_write:
            self.records.ran.append(out.request)
            self._transfer(
                self.boxes["origin"],
                job.sending_us,
                lambda: done(AttemptStatus.OK, AnswerDetail.FILLED_FROM_ORIGIN),
            )
            return
        name, part = taken.tag, taken.group
        if box.kind == "origin" or self._holds(box, name, part, job):
            return sent(AnswerDetail.HIT)
        if source is None:
            return done(AttemptStatus.MISS, AnswerDetail.NONE)

        def filled(word: str) -> None:
            if word in ("MISS", "MISS_ORIGIN"):
                if rank:
                    box.store.keep(name, part, Copy("", self.now), rank)
                return sent(AnswerDetail.FILLED if word == "MISS" else AnswerDetail.FILLED_FROM_ORIGIN)
            miss = word == "UP_MISS"
            detail = {
                "UP_DOWN": AnswerDetail.SOURCE_UNREACHABLE,
                "ORIGIN_ERR": AnswerDetail.ORIGIN_FAILED,
            }.get(word)
            return done(
                AttemptStatus.MISS if miss else AttemptStatus.ERROR, detail or AnswerDetail.SOURCE_MISS
            )

        held = FillOption.ONLY_IF_CACHED in flags
        return self._give(self.boxes[source], box.place, name, part, job, held, filled)

    def _end(
        self, out: AttemptInFlight, status: AttemptStatus, detail: AnswerDetail = AnswerDetail.NONE
    ) -> None:
        front = out.director
        if out.over or front.outs.get((out.request, out.number)) is not out:
            return
        out.over = True
        del front.outs[(out.request, out.number)]
        served = status is AttemptStatus.OK
        if served and (client := front.ends.pop(out.request, None)) is not None:
            tag = self.records.taken[out.request].tag
            self.records.given.append(Given(out.request, tag, self.now, out.begun))
            client("served", 0)
        event = AttemptEnded(
            out.request, out.number, out.member, status, self.now - out.begun, served, detail
        )
        self.notify(front, event)

    # ---- clients ----------------------------------------------------------------------------------------

    def _arrive(self, arrival: Arrival) -> None:
        sites = list(self.fleet.sites.values())
        site = self.random.choices([s.name for s in sites], [s.share for s in sites])[0]
        arrival = replace(arrival, object=self.fleet.object_at(arrival.object, site))
        self._try(arrival, site, self.now, 0)

    def _front(self, site: str) -> SimulatedFront | None:
        since = self.away.get(site, 0)
        names = [site]
        if since and self.now >= since:
            shares = self.fleet.sites[site].failover
            names = [s for s in self.fleet.sites if s not in self.away]
            weights = [shares.get(s, 0.0) if shares else 1.0 for s in names]
            names = self.random.choices(names, weights if sum(weights) else None) if names else []
        found = [f for f in self.fronts if f.site in names]
        return found[self.asked % len(found)] if found else None

    def _try(self, arrival: Arrival, site: str, intended: int, tries: int) -> None:
        """Send one try of a client. The answer decides whether another try follows."""
        job = self.scenario.classes[arrival.class_name]
        self.asked += 1
        front, request = self._front(site), f"{self.asked:016x}"
        limit = int(job.kind.deadline_us * self.random.uniform(0.5, 1.0))
        done = [False]

        def end(verdict: str, after_us: int) -> None:
            if done[0]:
                return
            done[0] = True
            if request in self.records.taken:
                self.records.taken[request].verdict = verdict
            if verdict in ("served", "left") or tries == RETRIES:
                return self._record_worth(arrival, site, intended, job, verdict == "served")
            wait = max(after_us / S, self.random.uniform(*PAUSE_S))
            return self.after(wait * S, lambda: self._try(arrival, site, intended, tries + 1))

        # A client whose site is lost reaches another site over links that do not lead through the lost site.
        here = "outside" if front is not None and front.site != site else site
        if front is None or not front.up or not self.reaches(here, front.site):
            refused = front is not None and not front.up and site not in self.gone
            return self.after(1000 if refused else S, lambda: end("failed", 0))
        # `tag` and `group` carry the object and its part, since the simulation does not check tags of copies.
        taken = Taken(request, arrival.tenant, arrival.part, job.kind.is_write, self.now, tag=arrival.object)
        taken.class_name, taken.site, taken.director, taken.again = (
            arrival.class_name,
            site,
            front.name,
            tries > 0,
        )
        self.records.taken[request] = taken

        def answered(verdict: str, after_us: int) -> None:
            taken.answers += 1
            taken.ended_us = self.now
            self.after(self._delay(here, front.site), lambda: end(verdict, after_us))

        def gave_up() -> None:
            if not done[0]:
                taken.left = True
                if front.ends.pop(request, None) is not None:
                    self.notify(front, ClientDisconnected(request))
                end("left", 0)

        front.ends[request] = answered
        self.after(limit, gave_up)
        ask = RequestArrived(
            request,
            arrival.class_name,
            arrival.object,
            limit,
            object_group=int(arrival.object[-4:], 16) % GROUPS,
            part=arrival.part,
            is_retry=tries > 0,
            is_write=job.kind.is_write,
            tenant=arrival.tenant,
            client_site=site,
        )
        return self.after(self._delay(here, front.site), lambda: self.notify(front, ask))

    def _record_worth(
        self, arrival: Arrival, site: str, intended: int, job: ScenarioClass, served: bool
    ) -> None:
        took = self.now - intended
        in_time = took <= job.kind.latency_objective_us + job.kind.latency_objective_stretch * job.sending_us
        earned = job.kind.priority_weight * (1.0 if in_time else LATE_WORTH) if served else 0.0
        row = Earned(intended, arrival.tenant, arrival.class_name, site, job.kind.priority_weight, earned)
        self.records.earned.append(row)

    # ---- faults -----------------------------------------------------------------------------------------

    def _begin(self, fault: InjectedFault) -> None:
        Faults(self).begin(fault)

    def note(self, fault: InjectedFault, on: bool) -> None:
        """Record in the history that a fault begins or ends."""
        places = {*self.fleet.sites, *self.fleet.hubs}
        sites = sorted(places & set(fault.name.replace("|", " ").split()))
        data = {"on": on, "sites": sites, "name": fault.name, "how": fault.how}
        self.rows.append(Row("fault", self.now, fault.label, fault.what, data))

    def tell_lists(self, boxes: list[Box], state: MemberState) -> None:
        """Update each director's endpoint list after the coordinator's delay. A director that is cut off
        receives the update once it is reachable."""
        rows = tuple(box.member(state) for box in boxes)
        for m in rows:
            self.listed[m.address] = m
            if state is MemberState.REMOVED:
                del self.listed[m.address]
        if self.unlisted and state is MemberState.REMOVED:
            return
        for front in self.fronts:
            self.after(self.scenario.told_after_us, lambda f=front, b=front.born: self._update(f, b, rows))  # type: ignore[misc]

    def _update(self, front: SimulatedFront, born: int, rows: tuple[Member, ...]) -> None:
        if front.born != born or not front.up:
            return
        if not self.reaches(front.site, "outside") or front.muted:
            return self.after(S, lambda: self._update(front, born, rows))
        return self.notify(front, EndpointsChanged(EndpointListKind.CHANGE, rows))


def topology_of(fleet: FleetScenario) -> Topology:
    """Return the topology of a fleet, parsed by the reader that directors use."""
    from pathlib import Path

    from onyxwick.config.sites import read_sites

    found = read_sites(Fields(hcl.parse(topology_text(fleet), "scenario"), "scenario"), Path("."))
    assert found is not None
    return found[0]


def planned(top: Topology) -> SitePlan:
    """Compute the plan for site losses of a topology."""
    from onyxwick.sites.loss_study import study_losses

    return study_losses(top).plan()


def simulated(name: str, fleet: FleetScenario, seed: int, variant: str) -> History:
    """Simulate one run and return its history. Computes the site plan first if the variant is 'sites'."""
    top = topology_of(fleet)
    plan = planned(top) if variant == "sites" else None
    return Simulation(name, fleet, seed, variant, top, plan).play()
