"""The request engine of one director: passes events to its router and carries out the router's actions.

The engine takes requests from the fronts, endpoint lists and purges from the feed, and timers. It runs
attempts on the transport, and gives each admitted request one final answer. Its parts are `request_table`
(admission), `request_runner` (the coroutine of a request), `attempt_runner`, `feed_intake` and `timers`.
Times are in steady microseconds.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from functools import partial

from onyxwick import logs
from onyxwick.core.attempt_runner import AttemptRunner, fill_source
from onyxwick.core.clock import steady_us
from onyxwick.core.context import EngineContext, MonotonicTime, report_violation
from onyxwick.core.endpoints import EndpointTable
from onyxwick.core.feed_freshness import FeedFreshness, FeedGauges, FeedStateChange
from onyxwick.core.feed_gate import FeedGate
from onyxwick.core.feed_intake import MEMBER_BYTES, FeedIntake
from onyxwick.core.invariants import Invariants
from onyxwick.core.memory_account import HeldKind, MemoryAccount
from onyxwick.core.model import CacheTransport, ClientRequest, FinalAnswer
from onyxwick.core.purge_lease import PurgeLease
from onyxwick.core.request_lifecycle import (
    AttemptDecided,
    ClientDeparted,
    LifecycleMessage,
    RequestLifecycle,
    RequestReleased,
)
from onyxwick.core.request_runner import RequestRunner
from onyxwick.core.request_table import RequestTable
from onyxwick.core.send_guard import SendGuard
from onyxwick.core.stall_detector import StallDetector
from onyxwick.core.timers import RouterTimers
from onyxwick.counters import Counters
from onyxwick.interface import (
    Action,
    Event,
    ForwardRequest,
    ForwardWithFill,
    Idempotency,
    LogMessage,
    PollEndpoints,
    RequestRouter,
    RouterSettings,
    SetTimer,
    SiteStateChanged,
    SubscribeToEndpoints,
)
from onyxwick.routing import Router

log = logs.get()
DEFAULT_MAX_OPEN_REQUESTS = 2048
"""Default limit of requests that are open at the same time."""


class RequestEngine:
    """Owns the router of one director. Only the engine passes events to it and carries out its actions.

    `make_router` makes the router from the settings, a seed and the current time: either a single router, or
    one that distributes requests among the routers of cells or sites.
    """

    def __init__(
        self,
        settings: RouterSettings,
        seed: int,
        transport: CacheTransport,
        endpoints: EndpointTable,
        counters: Counters,
        clock: Callable[[], int] = steady_us,
        max_open_requests: int = DEFAULT_MAX_OPEN_REQUESTS,
        make_router: Callable[[RouterSettings, int, int], RequestRouter] = Router,
        memory: MemoryAccount | None = None,
    ) -> None:
        self.settings = settings
        self.endpoints = endpoints
        self.counters = counters
        self.now = MonotonicTime(clock)
        self.stalls = StallDetector(time.monotonic())
        rules = settings.rules
        self.freshness = FeedFreshness(PurgeLease(rules.purge_grace_us, rules.purge_retention_us))
        self.freshness.on_change = self._record_feed_state
        self.guard = SendGuard(
            settings, endpoints, self.stalls, self.now, self.client_departed, self.freshness
        )
        self.invariants = Invariants(settings, partial(report_violation, counters), self._mean_transfer_us)
        self.context = EngineContext(
            settings,
            transport,
            endpoints,
            counters,
            self.now,
            self.handle,
            self.guard,
            FeedGate(self.freshness, self.now, counters, self.guard.read_feed_after_stall),
            self.invariants,
            max_open_requests,
            _non_idempotent_classes(settings),
        )
        self.record_unserved = self.context.record_unserved
        self.feed = FeedIntake(self.context)
        self.timers = RouterTimers(self.now, self.handle, counters)
        self.table = RequestTable(self.context)
        self.lifecycles = self.table.lifecycles
        self.memory = memory or MemoryAccount(counters=counters)
        self.memory.measures[HeldKind.REQUESTS] = self.table.held_bytes
        self.feed.max_members = self.memory.limit_bytes // MEMBER_BYTES
        self.runner = RequestRunner(self.context, self.table, AttemptRunner(self.context))
        self.router = make_router(settings, seed, self.now())
        self.handle()

    def _mean_transfer_us(self) -> dict[str, float]:
        """Return the mean transfer time by class, as learned by the router; empty with several routers."""
        return self.router.mean_transfer_us() if isinstance(self.router, Router) else {}

    # ---- events in, actions out -------------------------------------------------------------------------

    def handle(self, *events: Event) -> None:
        """Pass the events of one instant to the router, and carry out or forward its actions."""
        now_us = self.now()
        actions = self.router.handle(now_us, list(events))
        if self.context.tracer is not None:
            self.context.tracer.on_decisions(now_us, self.router, events, actions)
        for action in actions:
            self._carry_out(action)

    def _carry_out(self, action: Action) -> None:
        if isinstance(action, SetTimer):
            self.timers.set(action.at_us, action.token)
        elif isinstance(action, LogMessage):
            log.info("router message", text=action.text)
        elif isinstance(action, SiteStateChanged):
            self._record_site_state(action)
        elif isinstance(action, SubscribeToEndpoints | PollEndpoints):
            pass  # the coordinator's feed sends its events without a request
        elif lifecycle := self.lifecycles.get(action.request_id):
            lifecycle.mailbox.put(self._with_snapshot(action))

    def _record_site_state(self, change: SiteStateChanged) -> None:
        self.counters.add(f"sites.{change.state}.{change.site}")
        log.warning(
            "site state changed",
            site=change.site,
            was=change.previous_state,
            now=change.state,
            share=round(change.share_served_elsewhere, 3),
            why=change.reason,
        )

    def _record_feed_state(self, change: FeedStateChange) -> None:
        """Count and log a transition of the feed's state, with what is known of the feed then."""
        self.counters.add(f"feed.state.{change.state.value}")
        log.info(
            "feed state changed",
            was=change.previous.value,
            now=change.state.value,
            reason=change.reason,
            index=self.feed.last_index,
            announced=self.freshness.announced_index,
            age_ms=None if change.age_us is None else change.age_us // 1000,
            ready=sum(self.endpoints.is_ready(member) for member in self.endpoints.listed),
        )

    def feed_gauges(self) -> FeedGauges:
        """Return what is known of the feed now."""
        age_us = self.freshness.age_us(self.now())
        return FeedGauges(
            self.feed.last_index,
            self.freshness.announced_index,
            -1 if age_us is None else age_us // 1000,
        )

    def _with_snapshot(self, action: Action) -> LifecycleMessage:
        """Add the endpoint list's present state to an attempt, as the list may change before it is sent."""
        if isinstance(action, ForwardRequest | ForwardWithFill):
            return AttemptDecided(action, self.endpoints.snapshot(action.member, fill_source(action)))
        return action

    # ---- requests ---------------------------------------------------------------------------------------

    async def serve(
        self,
        request: ClientRequest,
        reply: Callable[[FinalAnswer], None],
        transport: CacheTransport | None = None,
    ) -> None:
        """Run a request to its end. `reply` is called once, or never if the client disconnects first."""
        lifecycle = self.table.admit(request, reply, transport)
        if lifecycle is not None:
            await self.runner.run(lifecycle, reply)

    def start(self, request: ClientRequest, reply: Callable[[FinalAnswer], None]) -> RequestLifecycle | None:
        """Run a request in its own task. Return None if it was not admitted and was answered already.

        The lifecycle is returned at once, so that a client can cancel its request in the same turn of the
        event loop.
        """
        lifecycle = self.table.admit(request, reply, None)
        if lifecycle is not None:
            # No set of tasks is needed: the lifecycle's mailbox is referenced until the request ends, and
            # through it the task.
            asyncio.get_running_loop().create_task(self.runner.run(lifecycle, reply))
        return lifecycle

    def client_departed(self, lifecycle: RequestLifecycle) -> None:
        """Record that the client of a request has disconnected, so that the request needs no answer."""
        if not lifecycle.client_departed:
            lifecycle.client_departed = True
            self.invariants.client_departed(lifecycle.request.request_id, self.now())
            lifecycle.mailbox.put(ClientDeparted())

    def release(self, lifecycle: RequestLifecycle, must_end: bool) -> None:
        """Reject a request if a retry is safe, because the director is shutting down.

        Otherwise fail it if `must_end`, or let it run on. An answer that has already arrived remains the
        final answer.
        """
        is_retry_safe = self.guard.is_retry_safe(lifecycle)
        if (is_retry_safe or must_end) and not (lifecycle.answered or lifecycle.client_departed):
            lifecycle.mailbox.put(RequestReleased(is_retry_safe))


def _non_idempotent_classes(settings: RouterSettings) -> frozenset[str]:
    return frozenset(
        request_class.name
        for request_class in settings.classes
        if request_class.idempotency is Idempotency.NON_IDEMPOTENT
    )
