"""Lifecycles of requests: the module decides, this carries out its actions and reports what came of them."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from functools import partial
from typing import TYPE_CHECKING

from onyxwick import logs
from onyxwick.core.clock import steady_us
from onyxwick.core.endpoints import EndpointTable
from onyxwick.core.invariants import AttemptStarted, Invariants, Violation
from onyxwick.core.model import (
    AnswerStatus,
    AttemptOutcome,
    AttemptSpec,
    CacheTransport,
    ClientRequest,
    FinalAnswer,
)
from onyxwick.core.reasons import RejectionReason
from onyxwick.core.request_lifecycle import (
    AttemptDecided,
    AttemptFinished,
    ClientDeparted,
    Mail,
    RequestLifecycle,
    RequestReleased,
)
from onyxwick.core.send_guard import SendGuard
from onyxwick.core.stall import StallWatch
from onyxwick.counters import Counters
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
    ForwardRequest,
    ForwardWithFill,
    Idempotency,
    LogMessage,
    Member,
    ObjectsPurged,
    PollEndpoints,
    RejectRequest,
    RequestArrived,
    RequestRouter,
    RouterSettings,
    SetTimer,
    SiteStateChanged,
    SubscribeToEndpoints,
    TimerFired,
)
from onyxwick.routing import Router

if TYPE_CHECKING:
    from onyxwick.store.durable import DurableState
    from onyxwick.trace.decision_tracer import DecisionTracer

log = logs.get()
OVERDUE_US = 20_000  # past its deadline a request is answered even if the module forgot it
RETRY_TIMER_S = 0.1  # after an error on a timer the module is woken again
STALLED_TIMER_US = 100_000  # a timer so late: the process stood still, and answers may stand unread
READ_FIRST_S = 0.01  # then it waits so long for what can be read
MAX_OPEN_REQUESTS = 2048  # requests at once, where nothing else is said


class RequestEngine:
    """Owns the module of one director: the only place that hands it events and takes its actions.

    `decide` makes what decides, from the settings, a seed and the time: one router, or the cells' many.
    """

    def __init__(
        self,
        settings: RouterSettings,
        seed: int,
        transport: CacheTransport,
        members: EndpointTable,
        counters: Counters,
        clock: Callable[[], int] = steady_us,
        most_open: int = MAX_OPEN_REQUESTS,
        decide: Callable[[RouterSettings, int, int], RequestRouter] = Router,
    ) -> None:
        self.settings, self.transport, self.members, self.counters = settings, transport, members, counters
        self.clock, self.most_open = clock, most_open
        self.latest = clock()
        self.watch: DecisionTracer | None = None  # writes a trace, where one is wanted
        self.durable: DurableState | None = (
            None  # what lasts over restarts, where the installation has a disk
        )
        # How the list is to be shown to the module, over what `durable` holds back: the operators' orders.
        self.adjust_list: Callable[[EndpointsChanged, int], EndpointsChanged] | None = None
        self.stalls = StallWatch(time.monotonic())
        self.guard = SendGuard(settings, members, self.stalls, self.now, self.leave)
        # The list as received, before recovery and the operators' orders hold rows back.
        self.received_rows: dict[str, tuple[Member, tuple[str, int]]] = {}
        self.lifecycles: dict[str, RequestLifecycle] = {}
        self.idle = asyncio.Event()
        self.idle.set()
        self.writes = {c.name for c in settings.classes if c.is_write}
        self.once = {c.name for c in settings.classes if c.idempotency is Idempotency.NON_IDEMPOTENT}
        self.invariants = Invariants(settings, self._violated, self._work_us)
        self.router = decide(settings, seed, self.now())
        self.handle()

    def now(self) -> int:
        """Steady microseconds on the Unix scale (core/clock.py); never goes back."""
        self.latest = max(self.latest, self.clock())
        return self.latest

    def _violated(self, violation: Violation) -> None:
        self.counters.add(f"violation.{violation.rule.value}")
        log.error(
            "invariant violated",
            rule=violation.rule.value,
            cause=violation.cause,
            request=violation.request,
            attempt=violation.attempt,
            connection=violation.connection,
            member=violation.member,
        )

    def _work_us(self) -> dict[str, float]:
        """Mean sending times by class, as the module has learned them; none where many routers decide."""
        return self.router.mean_transfer_us() if isinstance(self.router, Router) else {}

    def refused(self, reason: RejectionReason, request: str, connection: int = -1) -> None:
        """A request ends with no answer of a cache's, for this reason."""
        self.counters.add(f"refused.{reason.value}")
        log.info("request refused", reason=reason.value, request=request, connection=connection)

    # ---- events in, actions out -------------------------------------------------------------------------

    def handle(self, *events: Event) -> None:
        """Hand the module the events of one instant, and carry out or pass on its actions."""
        now = self.now()
        actions = self.router.handle(now, list(events))
        if self.watch is not None:
            self.watch.after(now, self.router, events, actions)
        for action in actions:
            if isinstance(action, SetTimer):
                delay = max(0, action.at_us - self.now()) / 1e6
                asyncio.get_running_loop().call_later(delay, self._timer, action.at_us, action.token)
            elif isinstance(action, LogMessage):
                log.info("module", text=action.text)
            elif isinstance(action, SiteStateChanged):
                self.counters.add(f"sites.{action.state}.{action.site}")
                log.warning(
                    "site",
                    site=action.site,
                    was=action.previous_state,
                    now=action.state,
                    share=round(action.share_away, 3),
                    why=action.reason,
                )
            elif isinstance(action, SubscribeToEndpoints | PollEndpoints):
                pass  # the coordinator's events come unasked
            elif lifecycle := self.lifecycles.get(action.request_id):
                lifecycle.mailbox.put(self._as_decided(action))

    def _as_decided(self, action: Action) -> Mail:
        """An attempt is decided now, however late it is carried out: news may be received in between."""
        if isinstance(action, ForwardRequest):
            return AttemptDecided(action, self.members.standing(action.member, None))
        if isinstance(action, ForwardWithFill):
            source = None if action.fill_source == action.member else action.fill_source
            return AttemptDecided(action, self.members.standing(action.member, source))
        return action

    def _timer(self, at: int, token: str, read: bool = False) -> None:
        """A timer of the module is due. `read`: what came in a stop of the process has been read."""
        # A timer never reaches the module early: it would find nothing due and not ask again.
        if self.now() < at:
            asyncio.get_running_loop().call_later((at - self.now()) / 1e6 + 0.0005, self._timer, at, token)
            return
        if not read and self.now() - at > STALLED_TIMER_US:
            asyncio.get_running_loop().call_later(READ_FIRST_S, self._timer, at, token, True)
            return
        try:
            self.handle(TimerFired(token))
        except Exception:
            self.counters.add("error.timer")
            log.exception("error on a timer", token=token)
            asyncio.get_running_loop().call_later(RETRY_TIMER_S, self._timer, at, token)

    def list_changed(self, event: EndpointsChanged, addresses: dict[str, tuple[str, int]]) -> None:
        """The list was received, whole or in part; `addresses` of all rows that are not gone."""
        if event.kind is not EndpointListKind.CHANGE:
            self.received_rows.clear()
        for m in event.members:
            if m.address in addresses:
                self.received_rows[m.address] = (m, addresses[m.address])
            else:
                self.received_rows.pop(m.address, None)  # gone: nothing to tell of it again
        if self.durable is not None:
            self.durable.list_told(event, self.now())
            event = self.durable.recovery.seen(event)
        if self.adjust_list is not None:
            event = self.adjust_list(event, self.now())
        self.invariants.list_changed(event, self.now())
        self.members.apply(event, addresses)
        self.handle(event)

    def resend_rows(self, *names: str) -> None:
        """The list's rows of some members once more: what holds them back has changed."""
        rows = [
            self.received_rows[name]
            for name in names
            if name in self.received_rows and name in self.members.listed
        ]
        if rows:
            addresses = {m.address: address for m, address in rows}
            self.list_changed(EndpointsChanged(EndpointListKind.CHANGE, tuple(m for m, _ in rows)), addresses)

    def restore(self, durable: DurableState) -> None:
        """Take in what lasted: purges that a cache may not have done bind the first request already."""
        self.durable = durable
        for purge in durable.recovery.purges_to_tell(self.now()):
            self.invariants.purged(purge.object_group, purge.object_id, self.now() - purge.age_us, self.now())
            self.members.purged(purge.object_group, purge.object_id, self.now())
            self.handle(purge)

    def feed_observed(self, index: int) -> None:
        """The coordinator's feed has been heard up to a number."""
        if self.durable is not None:
            held = list(self.durable.recovery.drains)
            if self.durable.index_told(index, self.now()):
                self.resend_rows(*held)

    def purged(self, group: int, name: str | None, at_us: int) -> None:
        """A purge of the object `name`, or without one of the group, was received; made at `at_us`."""
        if self.durable is not None:
            self.durable.purge_told(group, name, at_us, self.now())
        self.invariants.purged(group, name, at_us, self.now())
        self.members.purged(group, name, self.now())
        self.handle(ObjectsPurged(group, name, max(0, self.now() - at_us)))

    # ---- one request ------------------------------------------------------------------------------------

    async def serve(
        self,
        request: ClientRequest,
        reply: Callable[[FinalAnswer], None],
        transport: CacheTransport | None = None,
    ) -> None:
        """A request's whole lifecycle. `reply` is called once, or never if the client has left."""
        if lifecycle := self._take(request, reply, transport):
            await self._live(lifecycle, reply)

    def start(self, request: ClientRequest, reply: Callable[[FinalAnswer], None]) -> RequestLifecycle | None:
        """The same beside the caller; None if it has been answered already.

        The lifecycle is there at once: a client that takes its request back in the same breath is heard.
        """
        lifecycle = self._take(request, reply, None)
        if lifecycle is not None:
            # No set of tasks: the lifecycle's mailbox, and through it the task, is held until its end.
            asyncio.get_running_loop().create_task(self._live(lifecycle, reply))
        return lifecycle

    def _take(
        self, request: ClientRequest, reply: Callable[[FinalAnswer], None], transport: CacheTransport | None
    ) -> RequestLifecycle | None:
        if request.request_id in self.lifecycles or len(self.lifecycles) >= self.most_open:
            known = request.request_id in self.lifecycles
            self.counters.add("answer.duplicate" if known else "answer.overloaded")
            reason = RejectionReason.DUPLICATE_ID if known else RejectionReason.TOO_MANY_OPEN
            self.refused(reason, request.request_id, request.connection_id)
            reply(FinalAnswer(AnswerStatus.FAILED if known else AnswerStatus.REJECTED))
            return None
        once = self.durable is not None and request.class_name in self.once
        if once and self.durable is not None and not self.durable.recovery.may_send(request.request_id):
            # An attempt of it was under way when this director ended: it may have run.
            self.counters.add("answer.may_have_run")
            self.refused(RejectionReason.MAY_HAVE_RUN, request.request_id, request.connection_id)
            reply(FinalAnswer(AnswerStatus.FAILED))
            return None
        lifecycle = RequestLifecycle(request, transport=transport)
        self.lifecycles[request.request_id] = lifecycle
        self.invariants.request_started(
            request.request_id,
            request.class_name,
            request.object_group,
            request.object_id,
            request.arrived_us + request.timeout_us,
            self.now(),
        )
        self.idle.clear()
        return lifecycle

    async def _live(self, lifecycle: RequestLifecycle, reply: Callable[[FinalAnswer], None]) -> None:
        request = lifecycle.request
        try:
            try:
                # What was taken back before it began is no news to the module: it would count as popular.
                answer = None if lifecycle.client_departed else await self._decide(lifecycle)
            except Exception:
                # One request's error is that request's failure, never the process's end.
                self.counters.add("error.request")
                log.exception("error in a request", request=request.request_id)
                self.refused(RejectionReason.ERROR, request.request_id, request.connection_id)
                answer = FinalAnswer(AnswerStatus.FAILED)
                self._forget(request.request_id)
            lifecycle.answered = True
            if answer is not None and not lifecycle.client_departed:
                self.counters.add(f"answer.{answer.status.value}.{request.class_name}")
                self.invariants.answered(request.request_id, self.now())
                reply(answer)
            if self.watch is not None:
                self.watch.answered(
                    self.now(), request.request_id, None if lifecycle.client_departed else answer
                )
            await self._wind_up(lifecycle)
            if lifecycle.intended and self.durable is not None:
                await self.durable.ended(request.request_id)
        finally:
            self.invariants.request_ended(request.request_id)
            del self.lifecycles[request.request_id]
            if not self.lifecycles:
                self.idle.set()

    def _forget(self, request: str) -> None:
        """The module has seen the request arrive and would wait for its end."""
        try:
            self.handle(ClientDisconnected(request))
        except Exception:
            self.counters.add("error.request")
            log.exception("error in forgetting a request", request=request)

    def leave(self, lifecycle: RequestLifecycle) -> None:
        """The client of a request has left: it is owed no answer."""
        if not lifecycle.client_departed:
            lifecycle.client_departed = True
            self.invariants.client_departed(lifecycle.request.request_id, self.now())
            lifecycle.mailbox.put(ClientDeparted())

    def give_back(self, lifecycle: RequestLifecycle, must_end: bool) -> None:
        """The director ends: refuse the request where trying again is harmless; else fail it if `must_end`,
        or leave it to its end. An answer that has come already is the answer."""
        refusable = self.guard.is_harmless_again(lifecycle)
        if (refusable or must_end) and not (lifecycle.answered or lifecycle.client_departed):
            lifecycle.mailbox.put(RequestReleased(refusable))

    def _without_server(
        self, request: ClientRequest, end: RejectRequest | FailRequest | ClientDeparted | RequestReleased
    ) -> FinalAnswer | None:
        """The final answer of a request that no server gave; None if its client has left."""
        match end:
            case RejectRequest(_, after):
                self.refused(RejectionReason.NO_SERVER, request.request_id, request.connection_id)
                return FinalAnswer(AnswerStatus.REJECTED, retry_after_us=after)
            case FailRequest():
                self.refused(RejectionReason.FAILED, request.request_id, request.connection_id)
                return FinalAnswer(AnswerStatus.FAILED)
            case ClientDeparted(overdue=False):
                self.counters.add("request.left")
                self.handle(ClientDisconnected(request.request_id))
                return None
            case RequestReleased(refusable):
                self.handle(ClientDisconnected(request.request_id))
                self.refused(RejectionReason.DIRECTOR_ENDING, request.request_id, request.connection_id)
                return FinalAnswer(AnswerStatus.REJECTED if refusable else AnswerStatus.FAILED)
        self.counters.add("request.overdue")
        self.handle(ClientDisconnected(request.request_id))
        self.refused(RejectionReason.OVERDUE, request.request_id, request.connection_id)
        return FinalAnswer(AnswerStatus.FAILED)

    async def _decide(self, lifecycle: RequestLifecycle) -> FinalAnswer | None:
        """From arrival to the one final answer; None if the client left before it."""
        request = lifecycle.request
        deadline = request.arrived_us + request.timeout_us
        self.counters.add(f"request.{request.class_name}")
        overdue = asyncio.get_running_loop().call_later(
            (deadline + OVERDUE_US - self.now()) / 1e6, lifecycle.mailbox.put, ClientDeparted(overdue=True)
        )
        try:
            self.handle(self._arrival(request, deadline))
            while True:
                match mail := await lifecycle.mailbox.get():
                    case AttemptDecided():
                        if self._must_last(lifecycle):
                            await self._intend(lifecycle)
                        self._start(lifecycle, mail)
                    case CancelAttempt(_, number):
                        self._cancel(lifecycle, number)
                    case AttemptFinished(outcome=outcome):
                        self._report(lifecycle, mail)
                        if outcome.status is AttemptStatus.OK:
                            return FinalAnswer(
                                AnswerStatus.SERVED,
                                outcome.body,
                                outcome.etag,
                                outcome.not_modified,
                                member=mail.member,
                            )
                    case RejectRequest() | FailRequest() | ClientDeparted() | RequestReleased():
                        return self._without_server(request, mail)
        finally:
            overdue.cancel()

    def _must_last(self, lifecycle: RequestLifecycle) -> bool:
        durable = self.durable
        return durable is not None and durable.bookings and lifecycle.request.class_name in self.once

    async def _intend(self, lifecycle: RequestLifecycle) -> None:
        """The intent of a request that must not run twice is durable before its first byte goes out. An error
        of the store is the request's failure: it was not sent."""
        if lifecycle.intended or self.durable is None:
            return
        await self.durable.intend(lifecycle.request.request_id, self.now())
        lifecycle.intended = True

    async def _wind_up(self, lifecycle: RequestLifecycle) -> None:
        """After the final answer: every attempt still out ends, and the module is told how."""
        while any(lifecycle.attempts) or lifecycle.mailbox.mail:
            match mail := await lifecycle.mailbox.get():
                case AttemptDecided(action):
                    lifecycle.attempts.append(None)
                    lifecycle.ends.append(AttemptStatus.NOT_SENT)
                    lifecycle.ordered_at.append(0)
                    number = len(lifecycle.attempts) - 1
                    self._report(
                        lifecycle,
                        AttemptFinished(action.member, number, AttemptOutcome(AttemptStatus.NOT_SENT), 0),
                    )
                case CancelAttempt(_, number):
                    self._cancel(lifecycle, number)
                case AttemptFinished():
                    self._report(lifecycle, mail)
                case _:
                    pass  # the client's leaving, or a second thought: the answer has gone out

    def _arrival(self, request: ClientRequest, deadline: int) -> RequestArrived:
        return RequestArrived(
            request_id=request.request_id,
            class_name=request.class_name,
            object_id=request.object_id,
            expires_in_us=max(0, deadline - self.now()),
            object_group=request.object_group,
            part=request.part,
            is_retry=request.is_retry,
            is_write=request.class_name in self.writes,
            tenant=request.tenant,
            client_site=request.client_site,
        )

    # ---- attempts ---------------------------------------------------------------------------------------

    def _start(self, lifecycle: RequestLifecycle, decided: AttemptDecided) -> None:
        number, begun = len(lifecycle.attempts), self.now()
        order = self._order(lifecycle, decided, number)
        order.on_first_byte_sent = partial(self._begun, number)
        if number:
            self._count_again(lifecycle, number)
        lifecycle.ordered_at.append(begun)
        task = asyncio.get_running_loop().create_task((lifecycle.transport or self.transport).run(order))
        lifecycle.attempts.append(task)
        lifecycle.ends.append(None)
        self.counters.add("attempt.sent")
        # Not an await around `run`: a task cancelled before its first step would leave no outcome.
        task.add_done_callback(partial(self._ended, lifecycle, order, number, begun))

    def _begun(self, number: int, order: AttemptSpec) -> None:
        begun = AttemptStarted(
            order.request.request_id,
            number,
            order.member,
            order.fill_source,
            order.max_age_us,
            order.left_us(),
        )
        self.invariants.attempt_begun(begun, self.now())

    def _count_again(self, lifecycle: RequestLifecycle, number: int) -> None:
        """Why there is one more attempt: how the one before ended, or that it is overdue."""
        before = lifecycle.ends[number - 1] if number <= len(lifecycle.ends) else None
        reason = "overdue" if before is None else before.value
        self.counters.add(f"again.{reason}")
        request = lifecycle.request
        log.info(
            "attempt again",
            request=request.request_id,
            connection=request.connection_id,
            attempt=number,
            after=reason,
        )

    def _order(self, lifecycle: RequestLifecycle, mail: AttemptDecided, number: int) -> AttemptSpec:
        request, action, decided = lifecycle.request, mail.action, mail.standing
        left = request.arrived_us + request.timeout_us - self.now()
        timeout = min(left, action.timeout_us) if action.timeout_us else left
        alone = request.class_name in self.once
        if isinstance(action, ForwardRequest):
            good = partial(self.guard.may_send, lifecycle, number, action.member, None, decided)
            return AttemptSpec(
                request, action.member, timeout, needs_own_connection=alone, is_still_valid=good
            )
        source = None if action.fill_source == action.member else action.fill_source
        return AttemptSpec(
            request,
            action.member,
            timeout,
            source,
            action.retention_rank,
            action.max_age_us,
            action.fill_options,
            alone,
            partial(self.guard.may_send, lifecycle, number, action.member, source, decided),
        )

    def _cancel(self, lifecycle: RequestLifecycle, number: int) -> None:
        if 0 <= number < len(lifecycle.attempts) and (task := lifecycle.attempts[number]):
            task.cancel()

    def _ended(
        self,
        lifecycle: RequestLifecycle,
        order: AttemptSpec,
        number: int,
        begun: int,
        task: asyncio.Task[AttemptOutcome],
    ) -> None:
        lifecycle.attempts[number] = None
        if task.cancelled():
            outcome = AttemptOutcome(AttemptStatus.CANCELLED)
        elif error := task.exception():
            self.counters.add("error.attempt")
            log.error("error in an attempt", request=lifecycle.request.request_id, exc_info=error)
            outcome = AttemptOutcome(AttemptStatus.ERROR)
        else:
            outcome = task.result()
        lifecycle.ends[number] = outcome.status
        self.invariants.attempt_ended(
            lifecycle.request.request_id, number, outcome.status.proves_not_executed
        )
        if outcome.status.proves_not_executed:
            lifecycle.ordered_at[number] = 0
        lifecycle.mailbox.put(
            AttemptFinished(order.member, number, outcome, self.now() - begun, order.sent_us)
        )

    def _report(self, lifecycle: RequestLifecycle, ended: AttemptFinished) -> None:
        outcome = ended.outcome
        # What nobody saw the end of is told as a cancelled attempt: it may have run, and teaches nothing.
        status = AttemptStatus.CANCELLED if outcome.unobserved else outcome.status
        self.counters.add(f"outcome.{status.value}")
        event = AttemptEnded(
            request_id=lifecycle.request.request_id,
            attempt_index=ended.number,
            member=ended.member,
            status=status,
            latency_us=ended.latency_us,
            is_final=outcome.status is AttemptStatus.OK,
            detail=outcome.detail,
            upstream_wait_us=outcome.upstream_wait_us,
            load_report=outcome.load_report,
        )
        if self.watch is not None:
            self.watch.ended(self.now(), event, ended.sent_us, outcome)
        self.handle(event)
