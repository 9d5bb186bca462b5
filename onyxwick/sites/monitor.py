"""What one director holds every site to be: evidence, list and orders in, states and ways out. No I/O."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from onyxwick.interface import EndpointsChanged, Idempotency, RequestArrived, RequestClass, RouterSettings
from onyxwick.sites.evidence import SEEN_US, AttemptEvidence, Evidence
from onyxwick.sites.lifecycle import AWAY, SiteHealthSignals, SiteLifecycle, SitePhase
from onyxwick.sites.local_demand import LocalDemand
from onyxwick.sites.membership import SiteMembership
from onyxwick.sites.model import Topology
from onyxwick.sites.operator_commands import SiteCommand, SiteCommands
from onyxwick.sites.plan import SitePlan
from onyxwick.sites.serving_sites import READY, ServingSites, SiteRoute, is_left

S = 1_000_000
TRIAL_US = 150_000  # between two trials of a site that is left
ASKED_US = 5 * S
UNASKED_US = 10 * S  # without its clients, a left site is returned to on the list's word alone
PAUSED_US = 2 * S  # between two ticks: the process was stopped
TRIED = (SitePhase.SUSPECT, SitePhase.LOST, SitePhase.EVACUATED)


@dataclass(frozen=True, slots=True)
class SiteTransition:
    """A site entered another state."""

    name: str
    before: SitePhase
    life: SiteLifecycle


class SiteMonitor:
    """All places of one director's topology, as it sees them from its own site."""

    def __init__(self, settings: RouterSettings, top: Topology, plan: SitePlan, home: str, now: int) -> None:
        self.top, self.home = top, home
        self.roster, self.evidence = (
            SiteMembership(settings, top),
            Evidence(settings.limits.connect_timeout_us),
        )
        self.homes, self.orders = ServingSites(plan, home), SiteCommands()
        self.lives = {name: SiteLifecycle(name, now, top.policy) for name in (*top.sites, *top.hubs)}
        self.asked_us: dict[str, int] = {home: now}  # when a site's clients last came here
        self.trial_us: dict[str, int] = {}
        self.trials: dict[str, int] = {}  # out now
        self.well_us: dict[str, int] = {}  # since when trials are answered
        self.listed_us: dict[str, int] = {}  # since when enough of its boxes are listed
        self.wanted = LocalDemand()
        self.calm, self.cut_off, self.begun = True, False, False
        self.ticked_us = now

    # ---- what comes in ----------------------------------------------------------------------------------

    def listed(self, now: int, event: EndpointsChanged) -> list[SiteTransition]:
        anew = self.roster.changed(event)
        self.evidence.listed(self.roster.ready())
        for member in anew:
            self.evidence.restarted(member)
        if self.begun or not self.roster.loaded:
            return []
        self.begun = True
        return self._begin(now)

    def _begin(self, now: int) -> list[SiteTransition]:
        """The first list after a start: a site found cold has just come back, and others left it before."""
        out = []
        for name in self.top.sites:
            standing, life = self.roster.standing(name, now), self.lives[name]
            life.began(
                now, SiteHealthSignals(listed=standing.listed, room=standing.room, warmth=standing.warmth)
            )
            if life.phase is not SitePhase.STEADY:
                out.append(SiteTransition(name, SitePhase.STEADY, life))
        self.arrange()
        return out

    def asked(self, now: int, site: str, name: str) -> None:
        self.asked_us[site] = now
        if site == self.home:
            self.wanted.asked(now, name)

    def trial(self, now: int, site: str) -> None:
        self.trials[site] = self.trials.get(site, 0) + 1
        self.trial_us[site] = now

    def trial_over(self, site: str) -> None:
        self.trials[site] = max(0, self.trials.get(site, 0) - 1)

    def tried(self, now: int, site: str, kind: AttemptEvidence | None) -> None:
        """An attempt of a trial has ended."""
        if kind is AttemptEvidence.ANSWERED:
            self.well_us[site] = self.well_us.get(site) or now
        elif kind is not None:
            self.well_us[site] = 0

    # ---- where a request goes ---------------------------------------------------------------------------

    def way(
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
        if way.site is not None and not way.trial:
            tight = squeeze(way.site)
            if not self.homes.kept(site, kind.name, ask.tenant or "", ask.object_id, tight):
                return SiteRoute(None, why="plan")
        return way

    def _way(self, now: int, ask: RequestArrived, kind: RequestClass, site: str) -> SiteRoute:
        doubted = site != self.home and self.lives[site].phase in (SitePhase.SUSPECT, *AWAY)
        if (
            doubted
            and self.lives[self.home].phase is SitePhase.STEADY
            and self.wanted.here(now, ask.object_id)
        ):
            return SiteRoute(self.home)  # it is here already, whatever its new home is
        may_try = self._may_try(now, site, kind)
        way = self.homes.way(self.lives[site], kind.name, ask.object_id, site == self.home, may_try)
        if way.site is not None and way.site != self.home and self.cut_off:
            return SiteRoute(None, why="cut_off")
        return way

    def strangers(self, now: int, site: str) -> bool:
        """Do clients come whose site is held to be steady though nothing was heard of it lately?"""
        return site != self.home and self.lives[site].phase is SitePhase.STEADY and not self._heard(now, site)

    def _heard(self, now: int, site: str) -> bool:
        place = self.evidence.places.get(site)
        return place is not None and place.answered_us > 0 and now - place.answered_us <= SEEN_US

    def _may_try(self, now: int, site: str, kind: RequestClass) -> bool:
        """May one more request find out whether a site answers? Only what may be sent twice."""
        life = self.lives[site]
        if kind.idempotency is not Idempotency.IDEMPOTENT or life.phase not in TRIED:
            return False
        if life.phase is SitePhase.SUSPECT:
            return self.trials.get(site, 0) < self.top.policy.trials
        if self.roster.standing(site, now).listed < READY or self.trials.get(site, 0) >= 1:
            return False
        return now - self.trial_us.get(site, 0) >= TRIAL_US

    # ---- the clock --------------------------------------------------------------------------------------

    def tick(self, now: int, pressure: Callable[[str], float]) -> list[SiteTransition]:
        """Some times a second. `pressure`: late and refused answers at a site's boxes, as used from here."""
        if now - self.ticked_us > PAUSED_US:
            self.evidence.woke(now)
        self.ticked_us = now
        cut_off = self.evidence.cut_off(now, self.home)
        if self.cut_off and not cut_off:
            self.evidence.woke(now)
        self.cut_off = cut_off
        out = []
        for name, life in self.lives.items():
            if life.phase is SitePhase.STEADY and self._quiet(now, name, life):
                life.at = now
            elif (changed := self.step(now, name, pressure)) is not None:
                out.append(changed)
        return out

    def silent(self, now: int) -> int:
        """Directors that serve nobody now: of sites that were left, whose clients come here instead."""
        there = [s for s in self.top.sites if s != self.home and self.lives[s].phase in AWAY]
        asked = [s for s in there if now - self.asked_us.get(s, -ASKED_US) < ASKED_US]
        return sum(self.top.sites[s].directors for s in asked)

    def _quiet(self, now: int, name: str, life: SiteLifecycle) -> bool:
        """Is there nothing that a steady site's state could change by? Most are so, most of the time."""
        ordered = name in self.orders.held
        listed = not self.roster.loaded or self.roster.standing(name, now).listed > 0
        return listed and not ordered and not life.flaps and self.evidence.quiet(now, name)

    def step(self, now: int, name: str, pressure: Callable[[str], float]) -> SiteTransition | None:
        life = self.lives[name]
        before = life.phase
        life.step(now, self._signs(now, name, life, pressure), self.orders.word(name))
        if life.phase is before:
            return None
        if life.phase is not SitePhase.RETURNING:
            self.well_us[name] = 0
        self.arrange()
        return SiteTransition(name, before, life)

    def arrange(self) -> None:
        """What follows from the sites' states: the plan's row, and who is calm."""
        sites = frozenset(n for n in self.top.sites if is_left(self.lives[n]))
        hubs = frozenset(n for n in self.top.hubs if self.lives[n].phase in AWAY)
        self.homes.change(sites, hubs)
        self.calm = all(life.phase is SitePhase.STEADY for life in self.lives.values())

    def _signs(
        self, now: int, name: str, life: SiteLifecycle, pressure: Callable[[str], float]
    ) -> SiteHealthSignals:
        seen, standing = self.evidence.seen(now, name), self.roster.standing(name, now)
        own, hub = name == self.home, name in self.top.hubs
        came = now - self.asked_us.get(name, -UNASKED_US)
        asked = own or hub or came < ASKED_US
        enough = standing.listed >= READY
        self.listed_us[name] = (self.listed_us.get(name) or now) if enough else 0
        unasked = hub or came >= UNASKED_US
        return SiteHealthSignals(
            dark=seen.mostly_dark,
            dark_since=seen.dark_since,
            only_silent=seen.only_silent,
            answered_us=seen.answered_us,
            outside_us=self.evidence.outside_us([name, self.home]),
            cut_off=self.cut_off,
            asked=asked,
            unknown=asked and not own and not hub and not self._heard(now, name),
            listed=standing.listed,
            loaded=self.roster.loaded,
            room=standing.room,
            warmth=standing.warmth,
            well_since=self.listed_us[name] if unasked else self.well_us.get(name, 0),
            pressure=self._pressure(name, life, pressure),
            cause=seen.cause(),
        )

    def _pressure(self, name: str, life: SiteLifecycle, pressure: Callable[[str], float]) -> float:
        """Late and refused where a site's objects go: its new homes while it is left, itself as it
        returns."""
        if name in self.top.hubs or life.phase is SitePhase.RETURNING:
            return pressure(name)
        homes = self.homes.row.homes
        targets = {s for (origin, _), shares in homes.items() if origin == name for s in shares}
        return max(map(pressure, targets), default=0.0)

    # ---- operators --------------------------------------------------------------------------------------

    def recalled(self, orders: list[SiteCommand]) -> None:
        """Orders that were given before a restart."""
        for order in orders:
            if order.site in self.lives:
                self.orders.take(order)

    def drills(self, now: int, worst: float) -> list[str]:
        """The sites whose drill has ended by now."""
        return self.orders.step(now, self.lives, worst)

    def replan(self, plan: SitePlan) -> None:
        """Another plan for the same topology."""
        self.homes = ServingSites(plan, self.home)
        self.arrange()

    def left(self) -> set[str]:
        """Places whose members are no source of a fill now."""
        return {name for name, life in self.lives.items() if life.phase in AWAY}
