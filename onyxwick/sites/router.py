"""The router of a director with sites: selects the site for each request and delegates to the router of that
site.

Takes events, the loss plan and operators' commands and returns actions. Rejections carry a Retry-After in
microseconds. Each site whose caches this director uses has a separate router (one router, or one for each
cell), so that the health, limits and retries of one site do not affect another. While all sites are
steady, a director uses only its local site and all events pass through unchanged. A request is served by
one site. It is relocated to another site at most once, only if its class is idempotent, and only if the
first site is lost or the request was a trial.
"""

from __future__ import annotations

from dataclasses import replace

from onyxwick.interface import (
    Action,
    AnswerDetail,
    AttemptEnded,
    AttemptStatus,
    CancelAttempt,
    ClientDisconnected,
    EndpointFeedReceived,
    EndpointsChanged,
    Event,
    FailRequest,
    ForwardRequest,
    ForwardWithFill,
    Idempotency,
    LogMessage,
    RejectRequest,
    RequestArrived,
    RequestClass,
    RouterSettings,
    SiteStateChanged,
)
from onyxwick.routing import Router
from onyxwick.sites.active_site import ActiveSite, RoutedAttempt, SiteRequestOwner
from onyxwick.sites.lifecycle import AWAY_PHASES
from onyxwick.sites.load_shedding import RETRY_SHEDDING_LEVEL
from onyxwick.sites.model import Topology
from onyxwick.sites.monitor import SiteTransition
from onyxwick.sites.operator_commands import SiteCommand
from onyxwick.sites.plan import SitePlan
from onyxwick.sites.serving_sites import SiteRoute
from onyxwick.sites.site_pool import DEFAULT_MAX_IN_FLIGHT, DEFAULT_TRANSFER_US, MakeRouter, SitePool
from onyxwick.subrouters.admission_gate import class_priorities
from onyxwick.subrouters.dispatcher import REBALANCE_TICKS
from onyxwick.subrouters.rejection import AdmissionRejection

MAX_RELOCATED_AT_ONCE = 32  # requests relocated from a site when it is detected as lost
SOURCE_ANSWERED = (
    AnswerDetail.FILLED,
    AnswerDetail.FILLED_FROM_ORIGIN,
    AnswerDetail.SOURCE_REJECTED,
    AnswerDetail.SOURCE_MISS,
    AnswerDetail.ORIGIN_FAILED,
)


class SiteRouter(SitePool):
    """Distributes the requests of a director among the routers of its sites."""

    def __init__(
        self,
        settings: RouterSettings,
        seed: int,
        now: int,
        topology: Topology,
        plan: SitePlan,
        make_router: MakeRouter = Router,
        max_in_flight: int = DEFAULT_MAX_IN_FLIGHT,
    ) -> None:
        """`make_router`: creates a site's router from settings, a seed and the time (us). `max_in_flight`:
        the most concurrent requests of one site."""
        self.classes = {request_class.name: request_class for request_class in settings.classes}
        work_us = dict.fromkeys(self.classes, DEFAULT_TRANSFER_US)
        work_us |= {name: float(planned.transfer_us) for name, planned in topology.classes.items()}
        self.priority_of_class = class_priorities(settings.classes, work_us)
        super().__init__(settings, seed, now, topology, plan, make_router, max_in_flight)

    # ---- events --------------------------------------------------------------------------------------

    def _on_other_event(self, event: Event) -> None:
        if isinstance(event, EndpointFeedReceived):
            self.monitor.evidence.record_feed(self.now)
        else:
            self._dispatch_to_all(event)

    def _on_endpoints_changed(self, event: EndpointsChanged) -> None:
        for transition in self.monitor.on_endpoints_changed(self.now, event):
            self._on_transition(transition)

    def _on_action(self, subrouter: ActiveSite, action: Action) -> None:
        match action:
            case ForwardRequest(request_id=request_id, member=member):
                self._on_attempt_started(subrouter, request_id, member, None)
                self._pending_actions.append(action)
            case ForwardWithFill(request_id=request_id, member=member, fill_source=source):
                self._on_attempt_started(subrouter, request_id, member, source if source != member else None)
                self._pending_actions.append(action)
            case CancelAttempt(request_id=request_id, attempt_index=local_index):
                self._cancel_attempt(subrouter, request_id, local_index)
            case RejectRequest(request_id=request_id) | FailRequest(request_id=request_id):
                self._on_request_given_up(subrouter, request_id, action)
            case _:
                self._pending_actions.append(action)

    def _on_attempt_started(
        self, site: ActiveSite, request_id: str, member: str, fill_source: str | None
    ) -> None:
        owner = self.requests[request_id]
        owner.attempts.append(RoutedAttempt(site.name, owner.attempts_at(site.name), member, fill_source))
        owner.attempts_in_flight += 1
        self.monitor.evidence.record_sent(self.now, member)
        source = site.reported_members.get(fill_source) if fill_source is not None else None
        if source is not None and source.kind == self.settings.parent_kind:
            self.arbiter.record_demand(site.name)

    def _cancel_attempt(self, site: ActiveSite, request_id: str, local_index: int) -> None:
        owner = self.requests.get(request_id)
        index = owner.attempt_index_of(site.name, local_index) if owner is not None else None
        if index is not None:
            self._pending_actions.append(CancelAttempt(request_id, index))

    # ---- requests ------------------------------------------------------------------------------------

    def _on_request_arrived(self, request: RequestArrived) -> None:
        request_class = self.classes.get(request.class_name)
        if request_class is None:
            self._count("unknown_class")
            self._pending_actions.append(RejectRequest(request.request_id))
            return
        named_site = request.client_site
        client_site = (
            named_site if named_site is not None and named_site in self.topology.sites else self.local_site
        )
        self.monitor.record_request(self.now, client_site, request.object_id)
        is_steady_and_local = self.monitor.all_steady and client_site == self.local_site
        is_executed_at_origin = request_class.is_write and self.settings.cache_bypass
        if is_steady_and_local or is_executed_at_origin:
            self._admit(request, request_class, client_site, SiteRoute(self.local_site))
        else:
            self._route(request, request_class, client_site)

    def _route(self, request: RequestArrived, request_class: RequestClass, client_site: str) -> None:
        """Admit or reject a request while a site is not steady, or if its client belongs to another site."""
        if self.monitor.lacks_observation(self.now, client_site):
            self._on_transition(self.monitor.step_site(self.now, client_site, self._pressure))
        route = self.monitor.route(self.now, request, request_class, client_site, self._plan_strictness)
        if isinstance(route, AdmissionRejection):
            self._shed(request, self.sites[self.local_site], route)
            return
        site = self._site(route.site)
        if not route.is_trial:
            priority = self.priority_of_class[request_class.name]
            reason = site.shedding.rejection_reason(
                request_class, request.tenant or "", request.is_retry, priority
            )
            if reason is not None:
                self._shed(request, site, reason)
                return
        self._admit(request, request_class, client_site, route)

    def _admit(
        self, request: RequestArrived, request_class: RequestClass, client_site: str, route: SiteRoute
    ) -> None:
        site = self.sites[route.site]
        owner = SiteRequestOwner(
            site.name,
            request_class,
            self.now,
            request=request,
            client_site=client_site,
            deadline_us=self.now + request.expires_in_us,
            is_trial=route.is_trial,
        )
        self.requests[request.request_id] = owner
        if route.is_trial:
            self.monitor.start_trial(self.now, client_site)
        self._count_admission(site, owner)
        self._dispatch(site, [request])

    def _count_admission(self, site: ActiveSite, owner: SiteRequestOwner) -> None:
        site.in_flight += 1
        site.last_used_us = self.now
        owner.holds_admission = not self.monitor.all_steady and not owner.request_class.is_write
        if owner.holds_admission:
            site.shedding.gate.admit(owner.tenant, 1.0)

    def _release_admission(self, site: ActiveSite, owner: SiteRequestOwner) -> None:
        site.in_flight -= 1
        if owner.holds_admission:
            site.shedding.gate.release(owner.tenant)
            owner.holds_admission = False

    def _shed(self, request: RequestArrived, site: ActiveSite, reason: AdmissionRejection) -> None:
        """Reject a request immediately, before the router of any site receives it."""
        self._count(f"refused.{reason}.{request.class_name}")
        self.rejection_reason_by_request[request.request_id] = reason.value
        limits = self.settings.limits
        retry_after_us = site.shedding.retry_after_us(limits.max_retry_after_us) if limits.retry_after else 0
        self._pending_actions.append(RejectRequest(request.request_id, retry_after_us))

    def _on_attempt_ended(self, event: AttemptEnded) -> None:
        owner = self.requests.get(event.request_id)
        if owner is None or not 0 <= event.attempt_index < len(owner.attempts):
            return
        attempt = owner.attempts[event.attempt_index]
        owner.attempts_in_flight -= 1
        evidence = self.monitor.evidence.record_attempt_ended(self.now, event)
        self._record_fill_source(attempt, event)
        if owner.is_trial and attempt.site == owner.client_site:
            self.monitor.record_trial_result(self.now, owner.client_site, evidence)
        site = self.sites.get(attempt.site)
        if site is not None:
            self._record_answer(site, owner, event)
            is_translated = attempt.local_index != event.attempt_index
            local_event = replace(event, attempt_index=attempt.local_index) if is_translated else event
            self._dispatch(site, [local_event])
        owner.answered |= event.is_final
        self._forget_if_ended(event.request_id, owner)

    def _record_fill_source(self, attempt: RoutedAttempt, event: AttemptEnded) -> None:
        """Record what the answer of a cache of the local site shows about the source of its fill."""
        evidence = self.monitor.evidence
        if attempt.fill_source is None or evidence.place_of.get(attempt.member) != self.local_site:
            return
        if event.detail in SOURCE_ANSWERED:
            evidence.record_fill_source(self.now, attempt.fill_source, True, event.latency_us)
        elif event.detail is AnswerDetail.SOURCE_UNREACHABLE:
            evidence.record_fill_source(self.now, attempt.fill_source, False, event.latency_us)

    def _record_answer(self, site: ActiveSite, owner: SiteRequestOwner, event: AttemptEnded) -> None:
        if not event.is_final or event.status is not AttemptStatus.OK or owner.answered:
            return
        request_class = owner.request_class
        taken_us = self.now - owner.arrived_at_us
        stretch = 1 + request_class.latency_objective_stretch
        late = taken_us > request_class.latency_objective_us * stretch
        site.shedding.record_answer(self.now, late, taken_us)
        if owner.holds_admission:
            site.shedding.record_outcome(self.now, late, request_class.latency_objective_us)

    def _on_request_given_up(
        self, site: ActiveSite, request_id: str, action: RejectRequest | FailRequest
    ) -> None:
        """Handle the rejection or failure of a request by the router of its site.

        A rejected trial request is relocated to the site that serves its object, if possible."""
        owner = self.requests.get(request_id)
        if owner is None or owner.assigned_to != site.name or owner.answered:
            return
        if isinstance(action, RejectRequest) and owner.is_trial and self._relocate(request_id, owner):
            return
        site.shedding.record_answer(self.now, True)
        self._pending_actions.append(action)
        self._finish(request_id, owner)

    def _relocate(self, request_id: str, owner: SiteRequestOwner) -> bool:
        """Relocate a request to the site that now serves its object.

        Returns False if the request may not be relocated or no other site can take it."""
        remaining_us = owner.deadline_us - self.now
        if not self._may_relocate(owner, remaining_us):
            return False
        target_name = self.monitor.serving_sites.serving_site_for(
            owner.client_site, owner.request_class.name, owner.request.object_id
        )
        if target_name is None or target_name == owner.assigned_to:
            return False
        previous = self.sites[owner.assigned_to]
        target = self._site(target_name)
        if target.shedding.level >= RETRY_SHEDDING_LEVEL:
            return False
        self._release_admission(previous, owner)
        self._end_trial(owner)
        owner.assigned_to = target_name
        owner.relocated = True
        self._count_admission(target, owner)
        self._dispatch(previous, [ClientDisconnected(request_id)])
        self._count("moved_on")
        self._dispatch(target, [replace(owner.request, expires_in_us=remaining_us, is_retry=True)])
        return True

    def _may_relocate(self, owner: SiteRequestOwner, remaining_us: int) -> bool:
        return not (
            owner.relocated
            or owner.answered
            or owner.request_class.idempotency is not Idempotency.IDEMPOTENT
            or len(owner.attempts) >= self.settings.limits.max_attempts
            or remaining_us <= self.settings.tick_us
            or self.monitor.is_cut_off
        )

    def _end_trial(self, owner: SiteRequestOwner) -> None:
        if owner.is_trial:
            owner.is_trial = False
            self.monitor.end_trial(owner.client_site)

    def _on_answered(self, owner: SiteRequestOwner) -> None:
        self._end_trial(owner)

    def _release(self, owner: SiteRequestOwner) -> None:
        site = self.sites.get(owner.assigned_to)
        if site is not None:
            self._release_admission(site, owner)

    # ---- the tick ------------------------------------------------------------------------------------

    def _on_tick(self) -> None:
        for transition in self.monitor.tick(self.now, self._pressure):
            self._on_transition(transition)
        for name in self.monitor.step_exercises(self.now, max(map(self._pressure, self.sites))):
            self._pending_actions.append(LogMessage(f"failover exercise of site {name} ended"))
        self._step_load_shedding()
        if self.ticks % REBALANCE_TICKS == 0:
            self._rebalance_parents()
            self._drop_idle_sites()

    def _on_transition(self, transition: SiteTransition | None) -> None:
        """Report that a site or hub has entered another phase, and apply the consequences."""
        if transition is None:
            return
        lifecycle = transition.lifecycle
        state = lifecycle.phase.value
        self._count(f"{state}.{lifecycle.name}")
        self._pending_actions.append(
            SiteStateChanged(
                lifecycle.name,
                transition.previous_phase.value,
                state,
                lifecycle.moved_share,
                lifecycle.reason,
            )
        )
        self._dispatch_fleet_shares({})
        self._report_members()
        is_newly_away = lifecycle.phase in AWAY_PHASES and transition.previous_phase not in AWAY_PHASES
        if is_newly_away and lifecycle.was_unreachable:
            self._relocate_waiting(lifecycle.name)

    def _relocate_waiting(self, name: str) -> None:
        """Relocate idempotent requests that wait for the caches of a lost site."""
        if name not in self.topology.sites or name not in self.sites:
            return
        waiting = [
            request_id
            for request_id, owner in self.requests.items()
            if owner.assigned_to == name and not owner.answered and owner.attempts_in_flight
        ]
        for request_id in waiting[:MAX_RELOCATED_AT_ONCE]:
            self._relocate(request_id, self.requests[request_id])

    # ---- operators -----------------------------------------------------------------------------------

    def apply_command(self, now: int, command: SiteCommand) -> None:
        """Apply an operator's command from `now` on. The next `handle` returns the resulting actions."""
        self.now = now
        self.monitor.commands.apply(command)
        self._on_transition(self.monitor.step_site(now, command.site, self._pressure))

    def replace_plan(self, now: int, plan: SitePlan) -> None:
        """Use another loss plan for the same topology from `now` on."""
        self.now = now
        self.monitor.replace_plan(plan)
        self._dispatch_fleet_shares({})
