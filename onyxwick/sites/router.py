"""The decider of a director with sites, behind the module's own face: events in, actions out. No I/O, no
clock.

Each site whose boxes this director uses has a decider of its own (a router, or cells of routers), so that one
site's health, limits and retries cannot leak into another's. In calm a director uses its own site's alone and
everything passes through unchanged. A request lives at one site; it moves to another once at the most, only
where its class may run twice, and only when the site that took it is lost or was only tried.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import replace

from onyxwick.cells.arbiter import ShareArbiter
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
    ForwardRequest,
    ForwardWithFill,
    Idempotency,
    LogMessage,
    MemberState,
    ObjectsPurged,
    RejectRequest,
    RequestArrived,
    RequestClass,
    RequestRouter,
    RetryReserveChanged,
    RouterSettings,
    SetTimer,
    SiteStateChanged,
    StreamStarted,
    TimerFired,
)
from onyxwick.routing import Router
from onyxwick.sites.active_site import ActiveSite, RoutedAttempt, SiteRequestOwner
from onyxwick.sites.lifecycle import AWAY
from onyxwick.sites.load_shedding import SheddingLevels, by_worth
from onyxwick.sites.model import Topology
from onyxwick.sites.monitor import SiteMonitor, SiteTransition
from onyxwick.sites.operator_commands import SiteCommand
from onyxwick.sites.plan import SitePlan
from onyxwick.sites.serving_sites import SiteRoute
from onyxwick.sites.shares import guest_settings, parts
from onyxwick.sites.traffic_slices import stable_hash

S = 1_000_000
TICK_US, ARBITER_EVERY = 100_000, 5
TOKEN, MARK = "sites", ">"  # of timers: this object's own; between a site's name and its decider's token
MOVED_AT_ONCE = 32  # requests moved off a lost site when it is found lost
IDLE_US = 60 * S  # a guest decider that nothing came to for so long goes, once all is steady
KEPT_STORES = 0.25  # of the stores: kept by weight, the rest by demand
GUEST_WEIGHT, IDLE_WEIGHT, USED_US = 0.3, 0.02, 5 * S  # of a guest that something came to lately, and did not
PURGES_MOST, COUNTS_MOST = 4096, 4096
SOURCE_SPOKE = (
    AnswerDetail.FILLED,
    AnswerDetail.FILLED_FROM_ORIGIN,
    AnswerDetail.SOURCE_REJECTED,
    AnswerDetail.SOURCE_MISS,
    AnswerDetail.ORIGIN_FAILED,
)
Decide = Callable[[RouterSettings, int, int], RequestRouter]


class SiteRouter:
    """`share`, where it is set: of its usual limits that a director allows itself after a start
    (core/backoff.py)."""

    def __init__(
        self,
        settings: RouterSettings,
        seed: int,
        now: int,
        top: Topology,
        plan: SitePlan,
        decide: Decide = Router,
        most_open: int = 2000,
    ) -> None:
        home = top.of_zone(settings.zone)
        assert home is not None, "the configuration's check sees to it that the own zone is a site"
        self.set, self.top, self.home, self.now = settings, top, home, now
        self.decide, self.most_open = decide, most_open
        self.share: Callable[[int], float] | None = None
        self.random = random.Random(seed ^ stable_hash("sites"))
        self.classes = {c.name: c for c in settings.classes}
        works = {n: float(k.sending_us) for n, k in top.kinds.items()}
        self.priority = by_worth(self.classes, {n: works.get(n, float(S)) for n in self.classes})
        self.watch = SiteMonitor(settings, top, plan, home, now)
        self.units: dict[str, ActiveSite] = {}
        self.requests: dict[str, SiteRequestOwner] = {}
        self.purges: deque[tuple[int, ObjectsPurged]] = deque(maxlen=PURGES_MOST)
        self.counts: dict[str, int] = {}
        self.shed_now: dict[str, str] = {}  # refused by the last `handle` before any router saw it, and why
        self.out: list[Action] = []
        self.ticks = 0
        self.arbiter = ShareArbiter({home: 1.0}, 0, KEPT_STORES)
        self._unit(home, seed)
        self.out.append(SetTimer(now + TICK_US, TOKEN))

    # ---- events -----------------------------------------------------------------------------------------

    def ejected_count(self) -> int:
        return sum(unit.decider.ejected_count() for unit in self.units.values())

    def handle(self, now: int, events: list[Event]) -> list[Action]:
        self.now = now
        self.shed_now.clear()
        for event in events:
            match event:
                case RequestArrived():
                    self._arrived(event)
                case AttemptEnded():
                    self._ended(event)
                case ClientDisconnected(request) | StreamStarted(request_id=request):
                    if home := self.requests.get(request):
                        self._pass(self.units[home.unit], [event])
                        if isinstance(event, ClientDisconnected):
                            self._over(request, home)
                case EndpointsChanged():
                    self._listed(event)
                case ObjectsPurged():
                    self.purges.append((now, event))
                    for unit in self.units.values():
                        self._pass(unit, [event])
                case EndpointFeedReceived():
                    self.watch.evidence.fed(now)
                case TimerFired(token):
                    self._timer(token)
                case _:
                    for unit in self.units.values():
                        self._pass(unit, [event])
        out, self.out = self.out, []
        return out

    def _timer(self, token: str) -> None:
        if token == TOKEN:
            return self._tick()
        name, mark, inner = token.partition(MARK)
        if mark and (unit := self.units.get(name)):
            self._pass(unit, [TimerFired(inner)])
        return None

    def _pass(self, unit: ActiveSite, events: list[Event]) -> None:
        """Events to one site's decider; its actions are taken note of and passed on."""
        for action in unit.decider.handle(self.now, events):
            match action:
                case SetTimer(at, token):
                    self.out.append(SetTimer(at, f"{unit.site}{MARK}{token}"))
                case ForwardRequest(request_id=request, member=member):
                    self._sent(unit, request, member, None)
                    self.out.append(action)
                case ForwardWithFill(request_id=request, member=member, fill_source=source):
                    self._sent(unit, request, member, source if source != member else None)
                    self.out.append(action)
                case CancelAttempt(request_id=request, attempt_index=attempt):
                    home = self.requests.get(request)
                    number = home.number_of(unit.site, attempt) if home is not None else None
                    if number is not None:
                        self.out.append(CancelAttempt(request, number))
                case RejectRequest(request_id=request) | FailRequest(request_id=request):
                    self._given_up(unit, request, action)
                case _:
                    self.out.append(action)

    def _sent(self, unit: ActiveSite, request: str, member: str, source: str | None) -> None:
        home = self.requests[request]
        home.tries.append(RoutedAttempt(unit.site, home.local(unit.site), member, source))
        home.out += 1
        self.watch.evidence.sent(self.now, member)
        told = unit.told.get(source) if source is not None else None
        if told is not None and told.kind == self.set.parent_kind:
            self.arbiter.asked(unit.site)

    # ---- requests ---------------------------------------------------------------------------------------

    def _arrived(self, ask: RequestArrived) -> None:
        kind = self.classes.get(ask.class_name)
        site = (
            ask.client_site
            if ask.client_site is not None and ask.client_site in self.top.sites
            else self.home
        )
        if kind is None:
            self._count("unknown_class")
            self.out.append(RejectRequest(ask.request_id))
            return None
        self.watch.asked(self.now, site, ask.object_id)
        calm = self.watch.calm
        if (calm and site == self.home) or (kind.is_write and self.set.cache_bypass):
            # A write runs at the archive, whatever boxes there are.
            return self._enter(ask, kind, site, self.units[self.home], SiteRoute(self.home))
        if self.watch.strangers(self.now, site):
            self._took(self.watch.step(self.now, site, self._pressure))
        way = self.watch.way(self.now, ask, kind, site, self._squeeze)
        if way.site is None:
            return self._shed(ask, self.units[self.home], way.why)
        unit = self._unit(way.site)
        why = None
        if not way.trial:
            why = unit.ladder.refusal(kind, ask.tenant or "", ask.is_retry, self.priority[kind.name])
        if why is not None:
            return self._shed(ask, unit, why)
        return self._enter(ask, kind, site, unit, way)

    def _enter(
        self, ask: RequestArrived, kind: RequestClass, site: str, unit: ActiveSite, way: SiteRoute
    ) -> None:
        home = SiteRequestOwner(ask, kind, site, unit.site, self.now, self.now + ask.expires_in_us, way.trial)
        self.requests[ask.request_id] = home
        if way.trial:
            self.watch.trial(self.now, site)
        self._join(unit, home)
        self._pass(unit, [ask])

    def _join(self, unit: ActiveSite, home: SiteRequestOwner) -> None:
        unit.open += 1
        unit.used_us = self.now
        home.gated = not self.watch.calm and not home.kind.is_write
        if home.gated:
            unit.ladder.gate.enter(home.tenant, 1.0)

    def _leave(self, unit: ActiveSite, home: SiteRequestOwner) -> None:
        unit.open -= 1
        if home.gated:
            unit.ladder.gate.leave(home.tenant)
            home.gated = False

    def _shed(self, ask: RequestArrived, unit: ActiveSite, why: str) -> None:
        """Refused before any router saw it: at once, with a time to return where the settings allow one."""
        self._count(f"refused.{why}.{ask.class_name}")
        self.shed_now[ask.request_id] = why
        limits = self.set.limits
        after = unit.ladder.wait_us(limits.max_retry_after_us) if limits.retry_after else 0
        self.out.append(RejectRequest(ask.request_id, after))

    def _ended(self, event: AttemptEnded) -> None:
        home = self.requests.get(event.request_id)
        if home is None or not 0 <= event.attempt_index < len(home.tries):
            return
        one = home.tries[event.attempt_index]
        home.out -= 1
        kind = self.watch.evidence.ended(self.now, event)
        self._source(one, event)
        if home.trial and one.unit == home.site:
            self.watch.tried(self.now, home.site, kind)
        unit = self.units.get(one.unit)
        if unit is not None:
            self._learn(unit, home, event)
            local = event if one.number == event.attempt_index else replace(event, attempt_index=one.number)
            self._pass(unit, [local])
        home.over |= event.is_final
        self._close(event.request_id, home)

    def _source(self, one: RoutedAttempt, event: AttemptEnded) -> None:
        """What a box of the own site tells of where it filled from."""
        evidence = self.watch.evidence
        if one.source is None or evidence.place_of.get(one.member) != self.home:
            return
        if event.detail in SOURCE_SPOKE:
            evidence.source(self.now, one.source, True, event.latency_us)
        elif event.detail is AnswerDetail.SOURCE_UNREACHABLE:
            evidence.source(self.now, one.source, False, event.latency_us)

    def _learn(self, unit: ActiveSite, home: SiteRequestOwner, event: AttemptEnded) -> None:
        if not event.is_final or event.status is not AttemptStatus.OK or home.over:
            return
        took = self.now - home.arrived
        late = took > home.kind.latency_objective_us * (1 + home.kind.latency_objective_stretch)
        unit.ladder.answered(self.now, late, took)
        if home.gated:
            unit.ladder.learn(self.now, late, home.kind.latency_objective_us)

    def _given_up(self, unit: ActiveSite, request: str, action: RejectRequest | FailRequest) -> None:
        """A router gives a request up. One that only tried a site goes on to where it belongs."""
        home = self.requests.get(request)
        if home is None or home.unit != unit.site or home.over:
            return
        if isinstance(action, RejectRequest) and home.trial and self._second(request, home):
            return
        unit.ladder.answered(self.now, True)
        self.out.append(action)
        self._over(request, home)

    def _second(self, request: str, home: SiteRequestOwner) -> bool:
        """Move a request to its object's new home; False where it may not, or there is none."""
        left = home.deadline - self.now
        spent = len(home.tries) >= self.set.limits.max_attempts or left <= self.set.tick_us
        if (
            home.moved
            or home.over
            or home.kind.idempotency is not Idempotency.IDEMPOTENT
            or spent
            or self.watch.cut_off
        ):
            return False
        target = self.watch.homes.new_home(home.site, home.kind.name, home.ask.object_id)
        if target is None or target == home.unit:
            return False
        old, unit = self.units[home.unit], self._unit(target)
        if unit.ladder.level >= 2:
            return False  # a second try is the first thing that is refused
        self._leave(old, home)
        self._done_trying(home)
        home.unit, home.moved = target, True
        self._join(unit, home)
        self._pass(old, [ClientDisconnected(request)])
        self._count("moved_on")
        self._pass(unit, [replace(home.ask, expires_in_us=left, is_retry=True)])
        return True

    def _done_trying(self, home: SiteRequestOwner) -> None:
        if home.trial:
            home.trial = False
            self.watch.trial_over(home.site)

    def _over(self, request: str, home: SiteRequestOwner) -> None:
        home.over = True
        self._close(request, home)

    def _close(self, request: str, home: SiteRequestOwner) -> None:
        """Forget a request once it is answered and nothing of it runs."""
        if home.over:
            self._done_trying(home)
        if not home.over or home.out > 0 or self.requests.pop(request, None) is None:
            return
        if (unit := self.units.get(home.unit)) is not None:
            self._leave(unit, home)

    # ---- the list and the units -------------------------------------------------------------------------

    def _listed(self, event: EndpointsChanged) -> None:
        if event.kind is EndpointListKind.UNAVAILABLE:
            for unit in self.units.values():
                self._pass(unit, [event])
            return
        for changed in self.watch.listed(self.now, event):
            self._took(changed)
        self._tell_lists()

    def _tell_lists(self) -> None:
        left = self.watch.left()
        for unit in list(self.units.values()):
            view = self.watch.roster.view(unit.site, left)
            changed = [m for a, m in view.items() if unit.told.get(a) != m]
            gone = [replace(m, state=MemberState.REMOVED) for a, m in unit.told.items() if a not in view]
            unit.told = view
            if changed or gone:
                self._pass(unit, [EndpointsChanged(EndpointListKind.CHANGE, (*changed, *gone))])

    def _unit(self, site: str, seed: int | None = None) -> ActiveSite:
        """What this director uses a site's boxes with; made when it is first wanted."""
        unit = self.units.get(site)
        if unit is not None:
            return unit
        own = site == self.home
        told = self.set if own else guest_settings(self.set, self.top, site)
        number = self.random.getrandbits(64) if seed is None else seed
        ladder = SheddingLevels(self.most_open, self.top.reserves, number ^ stable_hash(site))
        unit = self.units[site] = ActiveSite(site, self.decide(told, number, self.now), ladder, self.now)
        if not own:
            self._pass(unit, [replace(p, age_us=p.age_us + self.now - at) for at, p in self.purges])
            self._share_stores()
            self._tell_lists()
        else:
            self._pass(unit, [])
        return unit

    def _share_stores(self) -> None:
        """The stores are shared by the deciders that there are now, by what each asks of them."""
        weights = {}
        for site, unit in self.units.items():
            used = unit.open or self.now - unit.used_us < USED_US
            weights[site] = 1.0 if site == self.home else GUEST_WEIGHT if used else IDLE_WEIGHT
        self.arbiter.cells(self.now, weights)
        # What was taken in the first step is free in the second.
        self._pass_parts(self.arbiter.step(self.now))

    def _pass_parts(self, changed: Mapping[str, float]) -> None:
        """Each decider's part of stores and boxes, where it is another one than it was told."""
        pace = self.share(self.now) if self.share is not None else 1.0
        for unit in self.units.values():
            stores = changed.get(unit.site, self.arbiter.parts.get(unit.site, 0.0)) * pace
            homes = self.watch.homes
            silent = self.watch.silent(self.now)
            wanted = parts(self.top, homes.row, homes.lost, unit.site, self.home, stores, silent)
            if wanted != unit.parts:
                unit.parts = wanted
                self._pass(unit, [wanted])

    # ---- the clock --------------------------------------------------------------------------------------

    def _pressure(self, site: str) -> float:
        unit = self.units.get(site)
        return unit.ladder.pressure if unit is not None else 0.0

    def _squeeze(self, site: str) -> float:
        unit = self.units.get(site)
        return unit.ladder.squeeze if unit is not None else 0.0

    def _tick(self) -> None:
        self.out.append(SetTimer(self.now + TICK_US, TOKEN))
        self.ticks += 1
        for changed in self.watch.tick(self.now, self._pressure):
            self._took(changed)
        for site in self.watch.drills(self.now, max(map(self._pressure, self.units))):
            self.out.append(LogMessage(f"drill of site {site} has ended"))
        for unit in self.units.values():
            unit.ladder.step(self.now)
            if unit.ladder.reserve != unit.reserve:
                unit.reserve = unit.ladder.reserve
                self._pass(unit, [RetryReserveChanged(unit.reserve)])
        if self.ticks % ARBITER_EVERY == 0:
            self._share_stores()
            self._let_go()

    def _took(self, changed: SiteTransition | None) -> None:
        """A site is held to be in another state: what follows from it, and the word of it."""
        if changed is None:
            return
        life = changed.life
        self._count(f"{life.phase.value}.{life.name}")
        self.out.append(
            SiteStateChanged(life.name, changed.before.value, life.phase.value, life.share, life.why)
        )
        self._pass_parts({})
        self._tell_lists()
        if life.phase in AWAY and changed.before not in AWAY and life.seen_dark:
            self._move_off(life.name)

    def _move_off(self, site: str) -> None:
        """What waits at the boxes of a site that is lost goes on elsewhere, where it may be sent twice."""
        if site in self.top.sites and site in self.units:
            waiting = [r for r, h in self.requests.items() if h.unit == site and not h.over and h.out]
            for request in waiting[:MOVED_AT_ONCE]:
                self._second(request, self.requests[request])

    def _let_go(self) -> None:
        for site in [s for s in self.units if s != self.home]:
            unit = self.units[site]
            if self.watch.calm and not unit.open and self.now - unit.used_us > IDLE_US:
                del self.units[site]
                self._share_stores()

    # ---- operators --------------------------------------------------------------------------------------

    def order(self, now: int, order: SiteCommand) -> None:
        """An operator's order from this instant on; what it leads to comes from the next `handle`."""
        self.now = now
        self.watch.orders.take(order)
        self._took(self.watch.step(now, order.site, self._pressure))

    def replan(self, now: int, plan: SitePlan) -> None:
        """Another plan for the same topology, as a worker thread has made it."""
        self.now = now
        self.watch.replan(plan)
        self._pass_parts({})

    def _count(self, name: str) -> None:
        if name in self.counts or len(self.counts) < COUNTS_MOST:
            self.counts[name] = self.counts.get(name, 0) + 1

    # ---- for who looks on -------------------------------------------------------------------------------

    def router_of(self, request: str) -> Router | None:
        """The router that decides for a request now, for a trace."""
        home = self.requests.get(request)
        unit = self.units.get(home.unit) if home is not None else None
        if unit is None or isinstance(unit.decider, Router):
            return unit.decider if unit is not None else None  # type: ignore[return-value]
        return unit.decider.router_of(request)  # type: ignore[attr-defined, no-any-return]

    def cell_of(self, request: str) -> str:
        """Where a request lives, as `site` or `site/cell`."""
        home = self.requests.get(request)
        if home is None:
            return ""
        inner = self.units[home.unit].decider
        cell = "" if isinstance(inner, Router) else inner.cell_of(request)  # type: ignore[attr-defined]
        return f"{home.unit}/{cell}" if cell else home.unit
