"""Runs one request from its arrival to its final answer, and its attempts until they end.

One coroutine for each open request reads the request's mailbox, which receives the router's decisions, ends
of attempts and events of the client. The first message that ends the request determines its one final answer.
Times are in steady microseconds.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from functools import partial

from onyxwick import logs
from onyxwick.core.attempt_runner import AttemptRunner
from onyxwick.core.context import EngineContext
from onyxwick.core.model import AnswerStatus, ClientRequest, FinalAnswer
from onyxwick.core.reasons import UnservedReason
from onyxwick.core.request_lifecycle import (
    AttemptDecided,
    AttemptFinished,
    ClientDeparted,
    FeedUsable,
    FeedWaitExpired,
    RequestLifecycle,
    RequestReleased,
)
from onyxwick.core.request_table import RequestTable
from onyxwick.interface import (
    AttemptStatus,
    CancelAttempt,
    ClientDisconnected,
    FailRequest,
    RejectRequest,
    RequestArrived,
)

log = logs.get()
DEADLINE_GRACE_US = 20_000
"""A request is failed this long after its deadline if the router has not ended it."""
FEED_REPLY_MARGIN_US = 50_000
"""A request that waits for the feed is rejected this long before its deadline, to answer in time."""


class RequestRunner:
    """Runs the requests of one director."""

    def __init__(self, context: EngineContext, table: RequestTable, attempts: AttemptRunner) -> None:
        self.context = context
        self.table = table
        self.attempts = attempts
        self.write_classes = {
            request_class.name for request_class in context.settings.classes if request_class.is_write
        }

    async def run(self, lifecycle: RequestLifecycle, reply: Callable[[FinalAnswer], None]) -> None:
        """Run an admitted request. `reply` is called once, or never if the client disconnects first."""
        try:
            answer = await self._final_answer(lifecycle)
            lifecycle.answered = True
            self._answer(lifecycle, answer, reply)
            await self._finish_attempts(lifecycle)
            if lifecycle.intent_recorded and self.context.durable is not None:
                await self.context.durable.resolve_intent(lifecycle.request.request_id)
        finally:
            self.table.remove(lifecycle)

    def _answer(
        self,
        lifecycle: RequestLifecycle,
        answer: FinalAnswer | None,
        reply: Callable[[FinalAnswer], None],
    ) -> None:
        context = self.context
        request = lifecycle.request
        if lifecycle.client_departed:
            answer = None
        if answer is not None:
            context.counters.add(f"answer.{answer.status.value}.{request.class_name}")
            context.invariants.answered(request.request_id, context.now())
            reply(answer)
        if context.tracer is not None:
            context.tracer.on_final_answer(context.now(), request.request_id, answer)

    async def _final_answer(self, lifecycle: RequestLifecycle) -> FinalAnswer | None:
        """Return the final answer to a request, or None if its client has disconnected."""
        if lifecycle.client_departed:
            # The router is not notified of a request that was cancelled at once, because the request
            # would count towards the popularity of its object.
            return None
        try:
            return await self._decide(lifecycle)
        except Exception:  # an error fails only this request, never the process
            request = lifecycle.request
            self.context.counters.add("error.request")
            log.exception("error in a request", request=request.request_id)
            self._reject(request, UnservedReason.INTERNAL_ERROR)
            self._forget(request.request_id)
            return FinalAnswer(AnswerStatus.FAILED)

    async def _decide(self, lifecycle: RequestLifecycle) -> FinalAnswer | None:
        """Run a request from its arrival to its one final answer.

        Returns None if the client disconnects first.
        """
        context = self.context
        request = lifecycle.request
        deadline_us = request.arrived_us + request.timeout_us
        context.counters.add(f"request.{request.class_name}")
        deadline_timer = asyncio.get_running_loop().call_later(
            (deadline_us + DEADLINE_GRACE_US - context.now()) / 1e6,
            lifecycle.mailbox.put,
            ClientDeparted(deadline_exceeded=True),
        )
        try:
            self._arrive(lifecycle)
            while True:
                match message := await lifecycle.mailbox.get():
                    case AttemptDecided():
                        await self._start_attempt(lifecycle, message)
                    case FeedUsable():
                        await self._resume(lifecycle)
                    case FeedWaitExpired():
                        if lifecycle.arrival_is_held:
                            self._reject(request, UnservedReason.FEED_UNCONFIRMED)
                            return FinalAnswer(AnswerStatus.REJECTED)
                    case CancelAttempt(_, attempt_index):
                        self._cancel_attempt(lifecycle, attempt_index)
                    case AttemptFinished(outcome=outcome):
                        self.attempts.report(lifecycle, message)
                        if outcome.status is AttemptStatus.OK:
                            return _served(message)
                    case RejectRequest() | FailRequest() | ClientDeparted() | RequestReleased():
                        return self._unserved(request, message)
        finally:
            deadline_timer.cancel()

    # ---- waiting for the feed ----------------------------------------------------------------------------

    def _arrive(self, lifecycle: RequestLifecycle) -> None:
        """Notify the router of the request, now or as soon as the list may be decided on."""
        request = lifecycle.request
        if self.context.feed_gate.is_open():
            self.context.handle(self._arrival(request))
            return
        lifecycle.arrival_is_held = True
        self._wait_for_feed(lifecycle)
        left_us = request.arrived_us + request.timeout_us - self.context.now()
        asyncio.get_running_loop().call_later(
            max(0, left_us - FEED_REPLY_MARGIN_US) / 1e6, lifecycle.mailbox.put, FeedWaitExpired()
        )

    async def _start_attempt(self, lifecycle: RequestLifecycle, decided: AttemptDecided) -> None:
        """Start an attempt, or hold it while the list may not be sent on."""
        if lifecycle.held_attempts or not self.context.feed_gate.is_open():
            lifecycle.held_attempts.append(decided)
            self._wait_for_feed(lifecycle)
            return
        if self.table.needs_intent(lifecycle):
            await self._record_intent(lifecycle)
        self.attempts.start(lifecycle, decided)

    def _wait_for_feed(self, lifecycle: RequestLifecycle) -> None:
        if not lifecycle.is_waiting_for_feed:
            lifecycle.is_waiting_for_feed = True
            self.context.feed_gate.call_when_open(partial(lifecycle.mailbox.put, FeedUsable()))

    async def _resume(self, lifecycle: RequestLifecycle) -> None:
        """Go on with what waited for the feed. The list may have expired again in the meantime."""
        lifecycle.is_waiting_for_feed = False
        if not self.context.feed_gate.is_open():
            self._wait_for_feed(lifecycle)
            return
        if lifecycle.arrival_is_held:
            lifecycle.arrival_is_held = False
            self.context.handle(self._arrival(lifecycle.request))
        held, lifecycle.held_attempts = lifecycle.held_attempts, []
        for decided in held:
            await self._start_attempt(lifecycle, decided)

    def _cancel_attempt(self, lifecycle: RequestLifecycle, attempt_index: int) -> None:
        """Cancel an attempt. A held one is withdrawn with those before it, as their indices are in order."""
        while lifecycle.held_attempts and attempt_index >= len(lifecycle.attempts):
            self.attempts.withdraw(lifecycle, lifecycle.held_attempts.pop(0))
        self.attempts.cancel(lifecycle, attempt_index)

    def _arrival(self, request: ClientRequest) -> RequestArrived:
        deadline_us = request.arrived_us + request.timeout_us
        return RequestArrived(
            request_id=request.request_id,
            class_name=request.class_name,
            object_id=request.object_id,
            expires_in_us=max(0, deadline_us - self.context.now()),
            object_group=request.object_group,
            part=request.part,
            is_retry=request.is_retry,
            is_write=request.class_name in self.write_classes,
            tenant=request.tenant,
            client_site=request.client_site,
        )

    def _unserved(
        self, request: ClientRequest, end: RejectRequest | FailRequest | ClientDeparted | RequestReleased
    ) -> FinalAnswer | None:
        """Return the answer to a request that no cache answered, or None if its client has disconnected."""
        context = self.context
        match end:
            case RejectRequest(_, retry_after_us):
                self._reject(request, UnservedReason.REJECTED_BY_ROUTER)
                return FinalAnswer(AnswerStatus.REJECTED, retry_after_us=retry_after_us)
            case FailRequest():
                self._reject(request, UnservedReason.FAILED_BY_ROUTER)
                return FinalAnswer(AnswerStatus.FAILED)
            case ClientDeparted(deadline_exceeded=False):
                context.counters.add("request.left")
                context.handle(ClientDisconnected(request.request_id))
                return None
            case RequestReleased(is_retry_safe):
                context.handle(ClientDisconnected(request.request_id))
                self._reject(request, UnservedReason.RELEASED_IN_SHUTDOWN)
                return FinalAnswer(AnswerStatus.REJECTED if is_retry_safe else AnswerStatus.FAILED)
        context.counters.add("request.overdue")
        context.handle(ClientDisconnected(request.request_id))
        self._reject(request, UnservedReason.DEADLINE_EXCEEDED)
        return FinalAnswer(AnswerStatus.FAILED)

    def _reject(self, request: ClientRequest, reason: UnservedReason) -> None:
        self.context.record_unserved(reason, request.request_id, request.connection_id)

    def _forget(self, request_id: str) -> None:
        """End a request at the router after an error: the router knows of the request and awaits its end."""
        try:
            self.context.handle(ClientDisconnected(request_id))
        except Exception:  # the request has already failed
            self.context.counters.add("error.request")
            log.exception("error in forgetting a request", request=request_id)

    async def _record_intent(self, lifecycle: RequestLifecycle) -> None:
        """Store durably, before the first byte of a non-idempotent request, that it will be sent.

        An error of the store fails the request, which has not been sent.
        """
        durable = self.context.durable
        if lifecycle.intent_recorded or durable is None:
            return
        await durable.record_intent(lifecycle.request.request_id, self.context.now())
        lifecycle.intent_recorded = True

    async def _finish_attempts(self, lifecycle: RequestLifecycle) -> None:
        """Wait, after the final answer, for the attempts in flight, and report the end of each."""
        for decided in lifecycle.held_attempts:
            self.attempts.withdraw(lifecycle, decided)
        while any(lifecycle.attempts) or lifecycle.mailbox.messages:
            match message := await lifecycle.mailbox.get():
                case AttemptDecided():
                    self.attempts.withdraw(lifecycle, message)
                case CancelAttempt(_, attempt_index):
                    self.attempts.cancel(lifecycle, attempt_index)
                case AttemptFinished():
                    self.attempts.report(lifecycle, message)
                case _:
                    pass  # the client disconnected, or another final action came: the answer has been sent


def _served(finished: AttemptFinished) -> FinalAnswer:
    outcome = finished.outcome
    return FinalAnswer(
        AnswerStatus.SERVED, outcome.body, outcome.etag, outcome.not_modified, member=finished.member
    )
