"""What one director holds every site to be: evidence, list and orders in, states and ways out. No I/O."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from onyxwick.interface import EndpointsChanged, Idempotency, RequestArrived, RequestClass, RouterSettings
from onyxwick.sites.evidence import OBSERVATION_WINDOW_US, AttemptEvidence, Evidence
from onyxwick.sites.lifecycle import AWAY_PHASES, SiteHealthSignals, SiteLifecycle, SitePhase
from onyxwick.sites.local_demand import LocalDemand
from onyxwick.sites.membership import SiteMembership
from onyxwick.sites.model import Topology
from onyxwick.sites.operator_commands import SiteCommand, SiteCommands
from onyxwick.sites.plan import SitePlan
from onyxwick.sites.serving_sites import READY, ServingSites, SiteRoute, is_evacuated

S = 1_000_000
TRIAL_INTERVAL_US = 150_000  # between two trials of a site that is left
DEMAND_WINDOW_US = 5 * S
NO_DEMAND_US = 10 * S  # without its clients, a left site is returned to on the list's word alone
MAX_TICK_INTERVAL_US = 2 * S  # between two ticks: the process was stopped
TRIAL_PHASES = (SitePhase.SUSPECT, SitePhase.LOST, SitePhase.EVACUATED)


@dataclass(frozen=True, slots=True)
class SiteTransition:
    """A site entered another state."""

    name: str
    previous_phase: SitePhase
    lifecycle: SiteLifecycle


class SiteMonitor:
    """All places of one director's topology, as it sees them from its own site."""

    def __init__(self, settings: RouterSettings, top: Topology, plan: SitePlan, home: str, now: int) -> None:
        self.topology, self.local_site = top, home
        self.membership, self.evidence = (
            SiteMembership(settings, top),
            Evidence(settings.limits.connect_timeout_us),
        )
        self.serving_sites, self.commands = ServingSites(plan, home), SiteCommands()
        self.lifecycles = {name: SiteLifecycle(name, now, top.policy) for name in (*top.sites, *top.hubs)}
        self.last_request_us: dict[str, int] = {home: now}  # when a site's clients last came here
        self.last_trial_us: dict[str, int] = {}
        self.trials_in_flight: dict[str, int] = {}  # out now
        self.healthy_since_us: dict[str, int] = {}  # since when trials are answered
        self.listed_since_us: dict[str, int] = {}  # since when enough of its boxes are listed
        self.local_demand = LocalDemand()
        self.all_steady, self.is_cut_off, self.started = True, False, False
        self.last_tick_us = now

    # ---- what comes in ----------------------------------------------------------------------------------

    def on_endpoints_changed(self, now: int, event: EndpointsChanged) -> list[SiteTransition]:
        anew = self.membership.on_endpoints_changed(event)
        self.evidence.set_members(self.membership.ready_members())
        for member in anew:
            self.evidence.forget_member(member)
        if self.started or not self.membership.loaded:
            return []
        self.started = True
        return self._begin(now)

    def _begin(self, now: int) -> list[SiteTransition]:
        """The first list after a start: a site found cold has just come back, and others left it before."""
        out = []
        for name in self.topology.sites:
            standing, life = self.membership.availability(name, now), self.lifecycles[name]
            life.start(
                now,
                SiteHealthSignals(
                    listed_share=standing.listed_share,
                    capacity_share=standing.capacity_share,
                    warm_share=standing.warm_share,
                ),
            )
            if life.phase is not SitePhase.STEADY:
                out.append(SiteTransition(name, SitePhase.STEADY, life))
        self.refresh_plan_row()
        return out

    def record_request(self, now: int, site: str, name: str) -> None:
        self.last_request_us[site] = now
        if site == self.local_site:
            self.local_demand.record_request(now, name)

    def start_trial(self, now: int, site: str) -> None:
        self.trials_in_flight[site] = self.trials_in_flight.get(site, 0) + 1
        self.last_trial_us[site] = now

    def end_trial(self, site: str) -> None:
        self.trials_in_flight[site] = max(0, self.trials_in_flight.get(site, 0) - 1)

    def record_trial_result(self, now: int, site: str, kind: AttemptEvidence | None) -> None:
        """An attempt of a trial has ended."""
        if kind is AttemptEvidence.ANSWERED:
            self.healthy_since_us[site] = self.healthy_since_us.get(site) or now
        elif kind is not None:
            self.healthy_since_us[site] = 0

    # ---- where a request goes ---------------------------------------------------------------------------

    def route(
        self,
        now: int,
        ask: RequestArrived,
        kind: RequestClass,
        site: str,
        squeeze: Callable[[str], float],
    ) -> SiteRoute:
        """Where a request of one site's clients goes. Steady strangers must be stepped first (`strangers`).
        `squeeze`: of what the plan refuses, the share that is too much for a site's boxes now."""
        way = self._way(now, ask, kind, site)
        if way.site is not None and not way.is_trial:
            tight = squeeze(way.site)
            if not self.serving_sites.is_served(site, kind.name, ask.tenant or "", ask.object_id, tight):
                return SiteRoute(None, reason="plan")
        return way

    def _way(self, now: int, ask: RequestArrived, kind: RequestClass, site: str) -> SiteRoute:
        doubted = site != self.local_site and self.lifecycles[site].phase in (SitePhase.SUSPECT, *AWAY_PHASES)
        if (
            doubted
            and self.lifecycles[self.local_site].phase is SitePhase.STEADY
            and self.local_demand.is_local(now, ask.object_id)
        ):
            return SiteRoute(self.local_site)  # it is here already, whatever its new home is
        may_try = self._may_try(now, site, kind)
        way = self.serving_sites.route(
            self.lifecycles[site], kind.name, ask.object_id, site == self.local_site, may_try
        )
        if way.site is not None and way.site != self.local_site and self.is_cut_off:
            return SiteRoute(None, reason="cut_off")
        return way

    def lacks_observation(self, now: int, site: str) -> bool:
        """Do clients come whose site is held to be steady though nothing was heard of it lately?"""
        return (
            site != self.local_site
            and self.lifecycles[site].phase is SitePhase.STEADY
            and not self._heard(now, site)
        )

    def _heard(self, now: int, site: str) -> bool:
        place = self.evidence.places.get(site)
        return (
            place is not None and place.answered_us > 0 and now - place.answered_us <= OBSERVATION_WINDOW_US
        )

    def _may_try(self, now: int, site: str, kind: RequestClass) -> bool:
        """May one more request find out whether a site answers? Only what may be sent twice."""
        life = self.lifecycles[site]
        if kind.idempotency is not Idempotency.IDEMPOTENT or life.phase not in TRIAL_PHASES:
            return False
        if life.phase is SitePhase.SUSPECT:
            return self.trials_in_flight.get(site, 0) < self.topology.policy.max_trials
        if (
            self.membership.availability(site, now).listed_share < READY
            or self.trials_in_flight.get(site, 0) >= 1
        ):
            return False
        return now - self.last_trial_us.get(site, 0) >= TRIAL_INTERVAL_US

    # ---- the clock --------------------------------------------------------------------------------------

    def tick(self, now: int, pressure: Callable[[str], float]) -> list[SiteTransition]:
        """Some times a second. `pressure`: late and refused answers at a site's boxes, as used from here."""
        if now - self.last_tick_us > MAX_TICK_INTERVAL_US:
            self.evidence.discard_failures(now)
        self.last_tick_us = now
        cut_off = self.evidence.is_cut_off(now, self.local_site)
        if self.is_cut_off and not cut_off:
            self.evidence.discard_failures(now)
        self.is_cut_off = cut_off
        out = []
        for name, life in self.lifecycles.items():
            if life.phase is SitePhase.STEADY and self._quiet(now, name, life):
                life.stepped_us = now
            elif (changed := self.step_site(now, name, pressure)) is not None:
                out.append(changed)
        return out

    def silent_directors(self, now: int) -> int:
        """Directors that serve nobody now: of sites that were left, whose clients come here instead."""
        there = [
            s for s in self.topology.sites if s != self.local_site and self.lifecycles[s].phase in AWAY_PHASES
        ]
        asked = [s for s in there if now - self.last_request_us.get(s, -DEMAND_WINDOW_US) < DEMAND_WINDOW_US]
        return sum(self.topology.sites[s].directors for s in asked)

    def _quiet(self, now: int, name: str, life: SiteLifecycle) -> bool:
        """Is there nothing that a steady site's state could change by? Most are so, most of the time."""
        ordered = name in self.commands.active
        listed = not self.membership.loaded or self.membership.availability(name, now).listed_share > 0
        return listed and not ordered and not life.flaps and self.evidence.rules_out_loss(now, name)

    def step_site(self, now: int, name: str, pressure: Callable[[str], float]) -> SiteTransition | None:
        life = self.lifecycles[name]
        before = life.phase
        life.step(now, self._signs(now, name, life, pressure), self.commands.directive_for(name))
        if life.phase is before:
            return None
        if life.phase is not SitePhase.RETURNING:
            self.healthy_since_us[name] = 0
        self.refresh_plan_row()
        return SiteTransition(name, before, life)

    def refresh_plan_row(self) -> None:
        """What follows from the sites' states: the plan's row, and who is calm."""
        sites = frozenset(n for n in self.topology.sites if is_evacuated(self.lifecycles[n]))
        hubs = frozenset(n for n in self.topology.hubs if self.lifecycles[n].phase in AWAY_PHASES)
        self.serving_sites.set_losses(sites, hubs)
        self.all_steady = all(life.phase is SitePhase.STEADY for life in self.lifecycles.values())

    def _signs(
        self, now: int, name: str, life: SiteLifecycle, pressure: Callable[[str], float]
    ) -> SiteHealthSignals:
        seen, standing = self.evidence.observe(now, name), self.membership.availability(name, now)
        own, hub = name == self.local_site, name in self.topology.hubs
        came = now - self.last_request_us.get(name, -NO_DEMAND_US)
        asked = own or hub or came < DEMAND_WINDOW_US
        enough = standing.listed_share >= READY
        self.listed_since_us[name] = (self.listed_since_us.get(name) or now) if enough else 0
        unasked = hub or came >= NO_DEMAND_US
        return SiteHealthSignals(
            unreachable=seen.is_mostly_unreachable,
            unreachable_since_us=seen.unreachable_since_us,
            is_only_silent=seen.is_only_silent,
            answered_us=seen.answered_us,
            outside_heard_us=self.evidence.last_heard_outside_us([name, self.local_site]),
            cut_off=self.is_cut_off,
            has_demand=asked,
            is_unobserved=asked and not own and not hub and not self._heard(now, name),
            listed_share=standing.listed_share,
            list_loaded=self.membership.loaded,
            capacity_share=standing.capacity_share,
            warm_share=standing.warm_share,
            healthy_since_us=self.listed_since_us[name] if unasked else self.healthy_since_us.get(name, 0),
            pressure=self._pressure(name, life, pressure),
            cause=seen.cause(),
        )

    def _pressure(self, name: str, life: SiteLifecycle, pressure: Callable[[str], float]) -> float:
        """Late and refused where a site's objects go: its new homes while it is left, itself as it
        returns."""
        if name in self.topology.hubs or life.phase is SitePhase.RETURNING:
            return pressure(name)
        homes = self.serving_sites.row.serving_shares
        targets = {s for (origin, _), shares in homes.items() if origin == name for s in shares}
        return max(map(pressure, targets), default=0.0)

    # ---- operators --------------------------------------------------------------------------------------

    def restore_commands(self, orders: list[SiteCommand]) -> None:
        """Orders that were given before a restart."""
        for order in orders:
            if order.site in self.lifecycles:
                self.commands.apply(order)

    def step_exercises(self, now: int, worst: float) -> list[str]:
        """The sites whose drill has ended by now."""
        return self.commands.step_exercises(now, self.lifecycles, worst)

    def replace_plan(self, plan: SitePlan) -> None:
        """Another plan for the same topology."""
        self.serving_sites = ServingSites(plan, self.local_site)
        self.refresh_plan_row()

    def abandoned_places(self) -> set[str]:
        """Places whose members are no source of a fill now."""
        return {name for name, life in self.lifecycles.items() if life.phase in AWAY_PHASES}
