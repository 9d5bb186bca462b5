"""The state of all places of a topology as observed by one director from its site. No I/O.

Takes observations of attempts, the endpoint list, operators' commands and the time (microseconds). Returns
the phases that sites enter, and the site that a client's request is sent to.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from onyxwick.interface import EndpointsChanged, Idempotency, RequestArrived, RequestClass, RouterSettings
from onyxwick.sites.evidence import Evidence
from onyxwick.sites.lifecycle import (
    AWAY_PHASES,
    MAX_STEP_INTERVAL_US,
    MIN_LISTED_SHARE,
    SiteHealthSignals,
    SiteLifecycle,
    SitePhase,
)
from onyxwick.sites.local_demand import LocalDemand
from onyxwick.sites.member_evidence import OBSERVATION_WINDOW_US, AttemptEvidence
from onyxwick.sites.membership import SiteMembership
from onyxwick.sites.model import MICROSECONDS_PER_SECOND, Topology
from onyxwick.sites.operator_commands import SiteCommand, SiteCommands
from onyxwick.sites.plan import SitePlan
from onyxwick.sites.serving_sites import ServingSites, SiteRoute, is_evacuated
from onyxwick.subrouters.rejection import AdmissionRejection

TRIAL_INTERVAL_US = 150_000  # shortest time between two trials of an evacuated site
DEMAND_WINDOW_US = 5 * MICROSECONDS_PER_SECOND  # how long a client's request counts as demand
# After this time without requests from a site's clients there are no trials of the site, and the endpoint
# list alone decides whether traffic returns to it.
NO_DEMAND_US = 10 * MICROSECONDS_PER_SECOND
TRIAL_PHASES = (SitePhase.SUSPECT, SitePhase.LOST, SitePhase.EVACUATED)
# Takes the name of a site and returns a share, 0 to 1, that this director determines from its own use of the
# site's caches.
SiteMeasure = Callable[[str], float]


@dataclass(frozen=True, slots=True)
class SiteTransition:
    """The transition of a site or hub to another phase."""

    name: str
    previous_phase: SitePhase
    lifecycle: SiteLifecycle


class SiteMonitor:
    """All sites and hubs of one director's topology."""

    def __init__(
        self, settings: RouterSettings, topology: Topology, plan: SitePlan, local_site: str, now: int
    ) -> None:
        self.topology = topology
        self.local_site = local_site
        self.membership = SiteMembership(settings, topology)
        self.evidence = Evidence(settings.limits.connect_timeout_us)
        self.serving_sites = ServingSites(plan, local_site)
        self.commands = SiteCommands()
        self.local_demand = LocalDemand()
        self.lifecycles = {
            name: SiteLifecycle(name, now, topology.policy) for name in (*topology.sites, *topology.hubs)
        }
        # By site, when its clients last sent a request to this director.
        self.last_request_us: dict[str, int] = {local_site: now}
        self.last_trial_us: dict[str, int] = {}
        self.trials_in_flight: dict[str, int] = {}
        self.healthy_since_us: dict[str, int] = {}  # by site, since when trials are answered; 0: they are not
        # By site, since when enough of its caches are listed; 0: they are not.
        self.listed_since_us: dict[str, int] = {}
        self.all_steady = True
        self.is_cut_off = False  # this director is isolated (see `Evidence.is_cut_off`)
        self.started = False  # the first endpoint list has been received
        self.last_tick_us = now

    # ---- input ---------------------------------------------------------------------------------------

    def on_endpoints_changed(self, now: int, event: EndpointsChanged) -> list[SiteTransition]:
        """Apply a change of the endpoint list.

        Returns the transitions caused by the first endpoint list after a start, otherwise an empty list."""
        restarted = self.membership.on_endpoints_changed(event)
        self.evidence.set_members(self.membership.ready_members())
        for member in restarted:
            self.evidence.forget_member(member)
        if self.started or not self.membership.loaded:
            return []
        self.started = True
        return self._start(now)

    def _start(self, now: int) -> list[SiteTransition]:
        """Set the initial phases from the first endpoint list.

        A site that is cold at a director's start is taken to be returning after an evacuation by other
        directors."""
        transitions = []
        for name in self.topology.sites:
            availability = self.membership.availability(name, now)
            lifecycle = self.lifecycles[name]
            signals = SiteHealthSignals(
                listed_share=availability.listed_share,
                capacity_share=availability.capacity_share,
                warm_share=availability.warm_share,
            )
            lifecycle.start(now, signals)
            if lifecycle.phase is not SitePhase.STEADY:
                transitions.append(SiteTransition(name, SitePhase.STEADY, lifecycle))
        self.refresh_plan_row()
        return transitions

    def record_request(self, now: int, site: str, object_name: str) -> None:
        """Record that a client of a site has requested an object."""
        self.last_request_us[site] = now
        if site == self.local_site:
            self.local_demand.record_request(now, object_name)

    def start_trial(self, now: int, site: str) -> None:
        """Record that a request is sent to a site that is not known to be reachable."""
        self.trials_in_flight[site] = self.trials_in_flight.get(site, 0) + 1
        self.last_trial_us[site] = now

    def end_trial(self, site: str) -> None:
        """Record that a trial request has been answered or relocated."""
        self.trials_in_flight[site] = max(0, self.trials_in_flight.get(site, 0) - 1)

    def record_trial_result(self, now: int, site: str, evidence: AttemptEvidence | None) -> None:
        """Record what an ended attempt of a trial request shows about the site."""
        if evidence is AttemptEvidence.ANSWERED:
            self.healthy_since_us[site] = self.healthy_since_us.get(site) or now
        elif evidence is not None:
            self.healthy_since_us[site] = 0

    # ---- routing of requests -------------------------------------------------------------------------

    def route(
        self,
        now: int,
        request: RequestArrived,
        request_class: RequestClass,
        client_site: str,
        plan_strictness: SiteMeasure,
    ) -> SiteRoute | AdmissionRejection:
        """Return the site that a client's request is sent to, or why the request is rejected.

        If the site `lacks_observation`, the caller has to call `step_site` for it first. `plan_strictness`:
        by site, of the load that the plan may reject, the share that is rejected now."""
        route = self._route(now, request, request_class, client_site)
        if isinstance(route, AdmissionRejection) or route.is_trial:
            return route
        is_served = self.serving_sites.is_served(
            client_site,
            request_class.name,
            request.tenant or "",
            request.object_id,
            plan_strictness(route.site),
        )
        return route if is_served else AdmissionRejection.SHED_BY_PLAN

    def _route(
        self, now: int, request: RequestArrived, request_class: RequestClass, client_site: str
    ) -> SiteRoute | AdmissionRejection:
        lifecycle = self.lifecycles[client_site]
        is_local = client_site == self.local_site
        may_be_unreachable = not is_local and lifecycle.phase in (SitePhase.SUSPECT, *AWAY_PHASES)
        local_is_steady = self.lifecycles[self.local_site].phase is SitePhase.STEADY
        if may_be_unreachable and local_is_steady and self.local_demand.is_local(now, request.object_id):
            # The object is already cached here, whichever site the plan assigns it to.
            return SiteRoute(self.local_site)
        may_try = self._may_try(now, client_site, request_class)
        route = self.serving_sites.route(lifecycle, request_class.name, request.object_id, is_local, may_try)
        if self.is_cut_off and isinstance(route, SiteRoute) and route.site != self.local_site:
            return AdmissionRejection.DIRECTOR_ISOLATED
        return route

    def lacks_observation(self, now: int, site: str) -> bool:
        """Return whether `site` is a remote site that is steady although it has not answered recently."""
        is_remote = site != self.local_site
        is_steady = self.lifecycles[site].phase is SitePhase.STEADY
        return is_remote and is_steady and not self._has_answered_recently(now, site)

    def _has_answered_recently(self, now: int, site: str) -> bool:
        place = self.evidence.places.get(site)
        if place is None or not place.answered_us:
            return False
        return now - place.answered_us <= OBSERVATION_WINDOW_US

    def _may_try(self, now: int, site: str, request_class: RequestClass) -> bool:
        """Return whether one more request may be sent as a trial of a site; only idempotent requests may."""
        phase = self.lifecycles[site].phase
        if request_class.idempotency is not Idempotency.IDEMPOTENT or phase not in TRIAL_PHASES:
            return False
        trials = self.trials_in_flight.get(site, 0)
        if phase is SitePhase.SUSPECT:
            return trials < self.topology.policy.max_trials
        if trials or self.membership.availability(site, now).listed_share < MIN_LISTED_SHARE:
            return False
        return now - self.last_trial_us.get(site, 0) >= TRIAL_INTERVAL_US

    # ---- the tick ------------------------------------------------------------------------------------

    def tick(self, now: int, pressure: SiteMeasure) -> list[SiteTransition]:
        """Advance the state machines of all sites and hubs and return their transitions. Called periodically.

        `pressure`: by site, the share of late and rejected answers."""
        if now - self.last_tick_us > MAX_STEP_INTERVAL_US:
            self.evidence.discard_failures(now)
        self.last_tick_us = now
        was_cut_off = self.is_cut_off
        self.is_cut_off = self.evidence.is_cut_off(now, self.local_site)
        if was_cut_off and not self.is_cut_off:
            self.evidence.discard_failures(now)
        transitions = []
        for name, lifecycle in self.lifecycles.items():
            if lifecycle.phase is SitePhase.STEADY and self._may_skip_step(now, name, lifecycle):
                lifecycle.stepped_us = now
            elif (transition := self.step_site(now, name, pressure)) is not None:
                transitions.append(transition)
        return transitions

    def silent_directors(self, now: int) -> int:
        """Return the number of directors that serve no clients now.

        These are the directors of lost or evacuated sites whose clients connect to this director."""
        return sum(
            site.directors
            for name, site in self.topology.sites.items()
            if name != self.local_site
            and self.lifecycles[name].phase in AWAY_PHASES
            and now - self.last_request_us.get(name, -DEMAND_WINDOW_US) < DEMAND_WINDOW_US
        )

    def _may_skip_step(self, now: int, name: str, lifecycle: SiteLifecycle) -> bool:
        """Return whether the phase of a steady site cannot change now, so that its step can be skipped."""
        has_command = name in self.commands.active
        is_listed = not self.membership.loaded or self.membership.availability(name, now).listed_share > 0
        return (
            is_listed and not has_command and not lifecycle.flaps and self.evidence.rules_out_loss(now, name)
        )

    def step_site(self, now: int, name: str, pressure: SiteMeasure) -> SiteTransition | None:
        """Advance the state machine of one site or hub by its present signals. Returns its transition, or
        None if its phase is unchanged."""
        lifecycle = self.lifecycles[name]
        previous_phase = lifecycle.phase
        signals = self._health_signals(now, name, lifecycle, pressure)
        lifecycle.step(now, signals, self.commands.directive_for(name))
        if lifecycle.phase is previous_phase:
            return None
        if lifecycle.phase is not SitePhase.RETURNING:
            self.healthy_since_us[name] = 0
        self.refresh_plan_row()
        return SiteTransition(name, previous_phase, lifecycle)

    def refresh_plan_row(self) -> None:
        """Select the plan's row for the present phases, and record whether all sites and hubs are steady."""
        sites = frozenset(name for name in self.topology.sites if is_evacuated(self.lifecycles[name]))
        hubs = frozenset(name for name in self.topology.hubs if self.lifecycles[name].phase in AWAY_PHASES)
        self.serving_sites.set_losses(sites, hubs)
        self.all_steady = all(lifecycle.phase is SitePhase.STEADY for lifecycle in self.lifecycles.values())

    def _health_signals(
        self, now: int, name: str, lifecycle: SiteLifecycle, pressure: SiteMeasure
    ) -> SiteHealthSignals:
        observation = self.evidence.observe(now, name)
        availability = self.membership.availability(name, now)
        is_local = name == self.local_site
        is_hub = name in self.topology.hubs
        since_request_us = now - self.last_request_us.get(name, -NO_DEMAND_US)
        has_demand = is_local or is_hub or since_request_us < DEMAND_WINDOW_US
        is_listed = availability.listed_share >= MIN_LISTED_SHARE
        self.listed_since_us[name] = (self.listed_since_us.get(name) or now) if is_listed else 0
        # Without requests of its clients there are no trials, so the endpoint list alone decides.
        is_untried = is_hub or since_request_us >= NO_DEMAND_US
        healthy_since_us = self.listed_since_us[name] if is_untried else self.healthy_since_us.get(name, 0)
        return SiteHealthSignals(
            unreachable=observation.is_mostly_unreachable,
            unreachable_since_us=observation.unreachable_since_us,
            is_only_silent=observation.is_only_silent,
            answered_us=observation.answered_us,
            outside_received_us=self.evidence.last_received_outside_us([name, self.local_site]),
            cut_off=self.is_cut_off,
            has_demand=has_demand,
            is_unobserved=has_demand
            and not is_local
            and not is_hub
            and not self._has_answered_recently(now, name),
            listed_share=availability.listed_share,
            list_loaded=self.membership.loaded,
            capacity_share=availability.capacity_share,
            warm_share=availability.warm_share,
            healthy_since_us=healthy_since_us,
            pressure=self._pressure_of(name, lifecycle, pressure),
            cause=observation.cause(),
        )

    def _pressure_of(self, name: str, lifecycle: SiteLifecycle, pressure: SiteMeasure) -> float:
        """Return the share of late and rejected answers at the sites that serve the objects of a site.

        This is the site itself while it returns, otherwise the serving site with the highest share."""
        if name in self.topology.hubs or lifecycle.phase is SitePhase.RETURNING:
            return pressure(name)
        targets = {
            serving_site
            for (origin_site, _), shares in self.serving_sites.row.serving_shares.items()
            if origin_site == name
            for serving_site in shares
        }
        return max(map(pressure, targets), default=0.0)

    # ---- operators -----------------------------------------------------------------------------------

    def restore_commands(self, commands: list[SiteCommand]) -> None:
        """Apply the commands that were stored before a restart; commands for unknown sites are ignored."""
        for command in commands:
            if command.site in self.lifecycles:
                self.commands.apply(command)

    def step_exercises(self, now: int, highest_pressure: float) -> list[str]:
        """Advance the failover exercises. Returns the sites whose exercise has ended."""
        return self.commands.step_exercises(now, self.lifecycles, highest_pressure)

    def replace_plan(self, plan: SitePlan) -> None:
        """Use another plan for the same topology."""
        self.serving_sites = ServingSites(plan, self.local_site)
        self.refresh_plan_row()

    def abandoned_places(self) -> set[str]:
        """Return the places whose members must not be the source of a fill now."""
        return {name for name, lifecycle in self.lifecycles.items() if lifecycle.phase in AWAY_PHASES}
