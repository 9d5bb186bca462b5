"""The table of open requests, and the admission of new requests to it.

A request is admitted unless a request with its id is open, too many requests are open, or the request may
have been executed under its id before: by this process, whatever became of its client, or before a restart.
Times are in steady microseconds.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from onyxwick.core.context import EngineContext
from onyxwick.core.executed_ids import ExecutedIds
from onyxwick.core.model import AnswerStatus, CacheTransport, ClientRequest, FinalAnswer
from onyxwick.core.reasons import UnservedReason
from onyxwick.core.request_lifecycle import RequestLifecycle

REQUEST_BYTES = 16_384
"""Memory accounted for an open request with its tasks and attempts, beside its body and its answer."""


class RequestTable:
    """Open requests by id. `idle` is set while no request is open."""

    def __init__(self, context: EngineContext) -> None:
        self.context = context
        self.lifecycles: dict[str, RequestLifecycle] = {}
        self.executed = ExecutedIds()
        self.body_bytes = 0  # of all open requests
        self.idle = asyncio.Event()
        self.idle.set()

    def admit(
        self, request: ClientRequest, reply: Callable[[FinalAnswer], None], transport: CacheTransport | None
    ) -> RequestLifecycle | None:
        """Admit a request, or call `reply` with a final answer and return None if it is not admitted."""
        if request.request_id in self.lifecycles:
            self._reject(request, UnservedReason.DUPLICATE_ID, "answer.duplicate")
            reply(FinalAnswer(AnswerStatus.FAILED))
            return None
        if len(self.lifecycles) >= self.context.max_open_requests:
            self._reject(request, UnservedReason.TOO_MANY_REQUESTS, "answer.overloaded")
            reply(FinalAnswer(AnswerStatus.REJECTED))
            return None
        if self._possibly_executed(request):
            self._reject(request, UnservedReason.POSSIBLY_EXECUTED, "answer.may_have_run")
            reply(FinalAnswer(AnswerStatus.FAILED))
            return None
        lifecycle = RequestLifecycle(request, transport=transport)
        self.body_bytes += len(request.body)
        self.lifecycles[request.request_id] = lifecycle
        self.context.invariants.request_started(
            request.request_id,
            request.class_name,
            request.object_group,
            request.object_id,
            request.arrived_us + request.timeout_us,
            self.context.now(),
        )
        self.idle.clear()
        return lifecycle

    def held_bytes(self) -> int:
        """Return the memory accounted for all open requests."""
        return len(self.lifecycles) * REQUEST_BYTES + self.body_bytes

    def remove(self, lifecycle: RequestLifecycle) -> None:
        """Remove a request that has its final answer and whose attempts have all ended."""
        request_id = lifecycle.request.request_id
        if not self.context.guard.is_retry_safe(lifecycle):
            self.executed.add(request_id, self.context.now())
        self.context.invariants.request_ended(request_id)
        del self.lifecycles[request_id]
        self.body_bytes -= len(lifecycle.request.body)
        if not self.lifecycles:
            self.idle.set()

    def needs_intent(self, lifecycle: RequestLifecycle) -> bool:
        """Return whether the store must record a request's intent before its first attempt is sent."""
        durable = self.context.durable
        if durable is None or not durable.records_intents:
            return False
        return lifecycle.request.class_name in self.context.non_idempotent_classes

    def _possibly_executed(self, request: ClientRequest) -> bool:
        """Return whether an attempt under the request's id may have been executed.

        It is one of this process, or one that was in flight when the director restarted.
        """
        if self.executed.contains(request.request_id, self.context.now()):
            return True
        durable = self.context.durable
        if durable is None or request.class_name not in self.context.non_idempotent_classes:
            return False
        return not durable.recovery.may_send(request.request_id)

    def _reject(self, request: ClientRequest, reason: UnservedReason, counter: str) -> None:
        self.context.counters.add(counter)
        self.context.record_unserved(reason, request.request_id, request.connection_id)
