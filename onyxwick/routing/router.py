"""The router: takes the events of one instant and returns the actions that they require.

Input: events (`onyxwick.interface.events`) and the time, in microseconds of the caller's clock. Output:
actions (`onyxwick.interface.actions`). The router owns the table of open requests and the order in which
the rules are applied. Each rule, with its constants, is in its own module:

    endpoints, capacity              the listed members and their capacities
    popularity                       the rank at which a cache keeps a copy
    cache_selection, fill_source     the member a request is sent to, and the one a miss is filled from
    slow_start, concurrency_limit    whether a member may take one more request
    outlier_detection, outcomes      the effect of an ended attempt on the state of members
    retry, hedging                   whether there is another attempt, and the final answer if not
    purge, forwarding                the maximum age of a copy, and the action that is sent

The router has no clock, does no I/O, and draws random numbers only from its seed: the same events give the
same actions.
"""

from __future__ import annotations

import random

from onyxwick.interface import (
    Action,
    AttemptEnded,
    AttemptStatus,
    CancelAttempt,
    ClientDisconnected,
    EndpointListKind,
    EndpointsChanged,
    Event,
    FailRequest,
    FleetShareChanged,
    ObjectsPurged,
    RejectRequest,
    RequestArrived,
    RetryReserveChanged,
    RouterSettings,
    SetTimer,
    SubscribeToEndpoints,
)
from onyxwick.routing.cache_selection import CacheSelector
from onyxwick.routing.capacity import CapacityModel
from onyxwick.routing.concurrency_limit import ConcurrencyLimit
from onyxwick.routing.endpoints import MemberRoles
from onyxwick.routing.fill_source import FillSourceSelector
from onyxwick.routing.forwarding import ForwardActionBuilder
from onyxwick.routing.hedging import HedgingPolicy
from onyxwick.routing.latency import LatencyTracker
from onyxwick.routing.outcomes import OutcomeRecorder
from onyxwick.routing.outlier_detection import OutlierDetector, is_usable
from onyxwick.routing.popularity import RECOMPUTE_INTERVAL_US, Popularity
from onyxwick.routing.purge import PurgeTimes
from onyxwick.routing.rendezvous import RendezvousHash
from onyxwick.routing.retry import RetryBudget, RetryPolicy
from onyxwick.routing.slow_start import SlowStart
from onyxwick.routing.state import Attempt, MemberRecord, RequestState
from onyxwick.routing.timers import TimerQueue

TIMER_TOKEN = "due"


class Router:
    """Makes the decisions of one director.

    A trace or a metric may read the rules and `requests` between two calls of `handle`, as of `now_us`.
    """

    def __init__(self, settings: RouterSettings, seed: int, now: int) -> None:
        """Start the router at `now` (microseconds); `seed` determines all random draws."""
        self.settings = settings
        self.now_us = now
        self.requests: dict[str, RequestState] = {}
        """Open requests by id: those not yet answered, or with attempts in flight."""
        self._random = random.Random(seed)
        self._actions: list[Action] = []
        self._subscription_failed = False
        self._request_classes = {c.name: c for c in settings.classes}
        self._build_rules(settings, now)
        self.timers = TimerQueue()
        # The first recomputation is at a random time, so that not all routers of a fleet recompute at once.
        self.timers.schedule(now + int(RECOMPUTE_INTERVAL_US * self._random.random()), now)
        if settings.subscribe:
            self._actions.append(SubscribeToEndpoints())

    def _build_rules(self, settings: RouterSettings, now: int) -> None:
        self.endpoints = MemberRoles(settings)
        self.latency = LatencyTracker(settings)
        self.purges = PurgeTimes(settings)
        self.popularity = Popularity(settings, now)
        self.capacity = CapacityModel(settings, self.endpoints, now)
        self.rendezvous = RendezvousHash(settings, self.capacity)
        self.slow_start = SlowStart(settings, self.endpoints, self.capacity, self.latency)
        self.concurrency_limit = ConcurrencyLimit(
            settings, self.endpoints, self.capacity, self.slow_start, self.latency
        )
        self.outliers = OutlierDetector(self.endpoints, self.slow_start)
        self.retry_budget = RetryBudget(settings.router_count)
        self.retry_policy = RetryPolicy(settings, self.retry_budget)
        self.hedging = HedgingPolicy(settings, self.endpoints, self.latency, self.retry_budget)
        self.cache_selector = CacheSelector(
            settings,
            self.endpoints,
            self.capacity,
            self.latency,
            self.popularity,
            self.rendezvous,
            self.slow_start,
            self.concurrency_limit,
        )
        self.fill_source_selector = FillSourceSelector(
            settings,
            self.endpoints,
            self.latency,
            self.rendezvous,
            self.slow_start,
            self.concurrency_limit,
        )
        self.forwarding = ForwardActionBuilder(
            settings, self.endpoints, self.purges, self.slow_start, self.retry_budget
        )
        self.outcomes = OutcomeRecorder(
            settings, self.endpoints, self.latency, self.popularity, self.outliers, self.concurrency_limit
        )

    # ---- for metrics and the core --------------------------------------------------------------------------

    def ejected_count(self) -> int:
        """Return the number of members that are ejected at present."""
        return sum(member.ejected for member in self.endpoints.members.values())

    def mean_transfer_us(self) -> dict[str, float]:
        """Return the mean transfer times (microseconds) by name of the request class."""
        return {name: estimate.mean_us for name, estimate in self.latency.transfer.items()}

    # ---- events -----------------------------------------------------------------------------------------

    def handle(self, now: int, events: list[Event]) -> list[Action]:
        """Process the events of the instant `now` (microseconds) and return the resulting actions."""
        self.now_us = now
        for event in events:
            self._dispatch(event)
        while (deadline := self.timers.pop_due(now)) is not None:
            if not deadline.request_id:
                self._recompute_ranks()
            elif request := self.requests.get(deadline.request_id):
                self._on_overdue(request, deadline.attempt_index)
        wake_up_us = self.timers.next_wake_up_us(now)
        if wake_up_us is not None:
            self._actions.append(SetTimer(wake_up_us, TIMER_TOKEN))
        actions = self._actions
        self._actions = []
        return actions

    def _dispatch(self, event: Event) -> None:
        """Process one event. A kind not named here needs no action; `handle` processes the timers due."""
        match event:
            case RequestArrived():
                self._on_request_arrived(event)
            case AttemptEnded():
                self._on_attempt_ended(event)
            case ClientDisconnected(request_id):
                self._on_client_disconnected(request_id)
            case EndpointsChanged():
                self._on_endpoints_changed(event)
            case FleetShareChanged():
                self.capacity.fleet_share = event
            case RetryReserveChanged(retry_reserve):
                self.retry_budget.reserve = retry_reserve
            case ObjectsPurged():
                self.purges.record(event, self.now_us)

    def _on_endpoints_changed(self, event: EndpointsChanged) -> None:
        if event.kind is EndpointListKind.UNAVAILABLE:
            # The next rank recomputation subscribes again; a failing list is not requested in a tight loop.
            self._subscription_failed = self.settings.subscribe
            return
        for address in self.endpoints.apply(event, self.now_us):
            self.popularity.forget_cache(address)
        self.capacity.on_endpoints_changed()

    def _recompute_ranks(self) -> None:
        self.timers.schedule(self.now_us + RECOMPUTE_INTERVAL_US, self.now_us)
        if self._subscription_failed:
            self._subscription_failed = False
            self._actions.append(SubscribeToEndpoints())
        self.purges.drop_expired(self.now_us)
        self.popularity.recompute_ranks(self.now_us, self.latency.fill.mean_us)

    def _on_client_disconnected(self, request_id: str) -> None:
        request = self.requests.get(request_id)
        if request is None:
            return
        # No client waits for the answer, but an attempt that is almost complete may finish and leave a copy.
        mean_us = self.latency.answer[request.request_class.name].mean_us
        self._cancel_attempts(request, int(self.now_us - mean_us))
        self._close(request)

    # ---- requests and attempts --------------------------------------------------------------------------

    def _on_request_arrived(self, arrival: RequestArrived) -> None:
        request_class = self._request_classes.get(arrival.class_name)
        if request_class is None:
            self._actions.append(RejectRequest(arrival.request_id))
            return
        self.latency.observe_size(arrival)
        if not request_class.is_write:
            transfer_us = self.latency.transfer[request_class.name].mean_us
            self.capacity.observe_request(transfer_us, self.now_us)
        rank = self.popularity.retention_rank(arrival, request_class, self.now_us)
        request = RequestState(arrival, request_class, self.now_us + arrival.expires_in_us, rank)
        self.requests[arrival.request_id] = request
        self.retry_budget.add_request()
        self._forward(request)

    def _forward(self, request: RequestState) -> None:
        """Start one more attempt, or give the final answer if no attempt is possible."""
        now_us = self.now_us
        if not self.retry_policy.has_attempts_left(request):
            return self._give_final_answer(request)
        if not self.retry_policy.has_time(request, now_us):
            return self._give_final_answer(request)
        cache = self.cache_selector.choose(request, now_us)
        source = self.fill_source_selector.choose(request, now_us)
        is_write = request.request_class.is_write
        if source is not None and self._may_bypass_caches(request, source):
            return self._start_attempt(request, source, None if source is self.endpoints.origin else source)
        looked_up = any(attempt.missed for attempt in request.attempts)
        parent_missed = any(attempt.missed and attempt.cached_only for attempt in request.attempts)
        if parent_missed and self.fill_source_selector.origin_is_full(request, source, now_us):
            # Neither the cache nor its parent has a copy of the object, and the origin has no capacity left.
            source = self.fill_source_selector.choose_remote_cache(request, now_us)
        if cache is None or (source is None and (is_write or looked_up)):
            return self._give_final_answer(request)
        self._start_attempt(request, cache, source)

    def _may_bypass_caches(self, request: RequestState, source: MemberRecord) -> bool:
        """Return whether a request is sent directly to its source: a write, or any if no cache is healthy."""
        if not self.settings.cache_bypass or self.fill_source_selector.is_remote_cache(source):
            return False
        if request.request_class.is_write:
            return True
        return not any(is_usable(cache, self.now_us) for cache in self.endpoints.caches)

    def _start_attempt(
        self, request: RequestState, member: MemberRecord, source: MemberRecord | None
    ) -> None:
        """Send a request to a member.

        `source` is the member that a miss is filled from. None means that only a cached copy may answer;
        `member` itself means that the request is sent directly to a parent.
        """
        now_us = self.now_us
        cached_only = source is not member and (
            self.fill_source_selector.is_remote_cache(source)
            or self.fill_source_selector.origin_is_full(request, source, now_us)
        )
        attempt = Attempt(member, None if source is member else source, now_us, cached_only)
        if source in self.endpoints.parents and not cached_only:
            attempt.origin = self.endpoints.origin
        index = len(request.attempts)
        request.attempts.append(attempt)
        self._reserve_members(request, attempt, source, index)
        self._actions.append(self.forwarding.build(request, attempt, source, now_us))
        overdue_us = self.latency.overdue_after_us(request.request_class.name)
        self.timers.schedule(now_us + overdue_us, now_us, request.arrival.request_id, index)

    def _reserve_members(
        self, request: RequestState, attempt: Attempt, source: MemberRecord | None, index: int
    ) -> None:
        """Record an attempt as in flight at every member that it may use."""
        key = (request.arrival.request_id, index)
        transfer_us = self.latency.transfer[request.request_class.name].mean_us
        for member in (attempt.member, source, attempt.origin):
            if member is None or key in member.in_flight:
                continue
            member.in_flight[key] = None
            send = self.slow_start.charge(member, transfer_us, self.now_us)
            if send is not None and member is attempt.fill_source:
                attempt.fill_source_send = send

    def _give_final_answer(self, request: RequestState) -> None:
        """Reject the request if its class and attempts allow it; otherwise fail it."""
        self._cancel_attempts(request)
        request_id = request.arrival.request_id
        if self.retry_policy.may_reject(request):
            retry_after_us = self.retry_policy.retry_after_us(request.request_class, self._random)
            self._actions.append(RejectRequest(request_id, retry_after_us))
        else:
            self._actions.append(FailRequest(request_id))
        self._close(request)

    def _cancel_attempts(self, request: RequestState, started_after_us: int = -1) -> None:
        if not self.settings.limits.cancellation:
            return
        for index, attempt in enumerate(request.attempts):
            if attempt.in_flight and not attempt.cancelled and attempt.started_us > started_after_us:
                attempt.cancelled = True
                self._actions.append(CancelAttempt(request.arrival.request_id, index))

    def _close(self, request: RequestState) -> None:
        """Close a request; it stays in the table until its last attempt has ended."""
        request.closed = True
        if not request.any_in_flight:
            self.requests.pop(request.arrival.request_id, None)

    # ---- the end of an attempt --------------------------------------------------------------------------

    def _on_attempt_ended(self, event: AttemptEnded) -> None:
        request = self.requests.get(event.request_id)
        if request is None or not 0 <= event.attempt_index < len(request.attempts):
            return
        attempt = request.attempts[event.attempt_index]
        if not attempt.in_flight:
            return
        attempt.in_flight = False
        self._release_members(attempt, event)
        if request.possibly_executed is None and not event.status.proves_not_executed:
            request.possibly_executed = attempt
        self.outcomes.record(request, attempt, event, self.now_us)
        if request.closed:
            self._close(request)
        elif event.is_final:
            self._cancel_attempts(request)
            self._close(request)
        elif not request.any_in_flight:
            self._retry_or_finish(request, attempt, event.status)

    def _release_members(self, attempt: Attempt, event: AttemptEnded) -> None:
        key = (event.request_id, event.attempt_index)
        for member in (attempt.member, attempt.fill_source, attempt.origin):
            if member is not None:
                member.in_flight.pop(key, None)
                member.last_attempt_ended_us = self.now_us
                member.last_attempt_latency_us = event.latency_us

    def _retry_or_finish(self, request: RequestState, attempt: Attempt, status: AttemptStatus) -> None:
        """Retry a request, or give its final answer, after an attempt that gave no answer."""
        is_lookup = attempt.fill_source is None or attempt.cached_only
        if status is AttemptStatus.MISS and is_lookup and not request.request_class.is_write:
            attempt.missed = True
            self._forward(request)
        elif self.retry_policy.may_retry(request, self.now_us):
            self.retry_budget.take_token()
            self._forward(request)
        else:
            self._give_final_answer(request)

    # ---- overdue attempts -------------------------------------------------------------------------------

    def _on_overdue(self, request: RequestState, index: int) -> None:
        """Hedge an overdue attempt, unless it waits for an unresponsive member other than the origin.

        The silence of such a member is recorded. If it is then ejected, the attempts at it are cancelled, if
        the limits allow this.
        """
        if index >= len(request.attempts):
            return  # The timer belongs to an earlier request with the same id.
        attempt = request.attempts[index]
        if not attempt.in_flight or request.closed:
            return
        now_us = self.now_us
        check_again_us = now_us + self.latency.overdue_after_us(request.request_class.name)
        member = self.outliers.unresponsive_member(attempt)
        if member is None or member is self.endpoints.origin:
            self._hedge(request, attempt)
            if check_again_us < request.deadline_us:
                self.timers.schedule(check_again_us, now_us, request.arrival.request_id, index)
            return
        self.outliers.record_silence(member, attempt.started_us, now_us)
        if member.ejected and self.settings.limits.cancellation:
            self._cancel_attempts_at(member)
        else:
            self.timers.schedule(check_again_us, now_us, request.arrival.request_id, index)

    def _hedge(self, request: RequestState, attempt: Attempt) -> None:
        """Send a hedged request to another cache, if the rules allow it."""
        if not self.hedging.may_hedge(request, attempt):
            return
        cache = self.cache_selector.choose(request, self.now_us)
        source = self.fill_source_selector.choose(request, self.now_us)
        if cache is not None and source is not None and cache is not attempt.member:
            attempt.hedged = True
            self.retry_budget.take_token()
            self._start_attempt(request, cache, source)

    def _cancel_attempts_at(self, member: MemberRecord) -> None:
        """Cancel the attempts in flight at an ejected member; requests continue when their attempts end."""
        for request_id, index in list(member.in_flight):
            request = self.requests.get(request_id)
            if request is None:
                continue
            attempt = request.attempts[index]
            if self.hedging.should_cancel(request, attempt, self.now_us):
                attempt.cancelled = True
                self._actions.append(CancelAttempt(request_id, index))
