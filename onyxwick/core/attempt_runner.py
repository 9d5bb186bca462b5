"""Starts attempts on the transport, cancels them, and reports their ends to the router.

Each attempt is one task. Its end passes through the request's mailbox, so that it is handled in order with
the other events of its request. Times are in steady microseconds.
"""

from __future__ import annotations

import asyncio
from functools import partial

from onyxwick import logs
from onyxwick.core.context import EngineContext
from onyxwick.core.feed_freshness import FeedFreshness
from onyxwick.core.invariant_model import AttemptStarted
from onyxwick.core.model import AttemptOutcome, AttemptSpec
from onyxwick.core.request_lifecycle import AttemptDecided, AttemptFinished, RequestLifecycle
from onyxwick.interface import AttemptEnded, AttemptStatus, FillOption, ForwardRequest, ForwardWithFill

log = logs.get()


def fill_source(action: ForwardRequest | ForwardWithFill) -> str | None:
    """Return the source from which the member fills a miss; None if it does not fill."""
    if isinstance(action, ForwardRequest) or action.fill_source == action.member:
        return None
    return action.fill_source


class AttemptRunner:
    """Runs the attempts of all requests of one director."""

    def __init__(self, context: EngineContext) -> None:
        self.context = context
        self.classes = {each.name: each for each in context.settings.classes}

    def start(self, lifecycle: RequestLifecycle, decided: AttemptDecided) -> None:
        """Start an attempt that the router has decided."""
        attempt_index = len(lifecycle.attempts)
        started_at_us = self.context.now()
        spec = self._spec(lifecycle, decided, attempt_index)
        if attempt_index:
            self._record_retry(lifecycle, attempt_index)
        transport = lifecycle.transport or self.context.transport
        task = asyncio.get_running_loop().create_task(transport.run(spec))
        lifecycle.started_at_us.append(started_at_us)
        lifecycle.attempts.append(task)
        lifecycle.statuses.append(None)
        self.context.counters.add("attempt.sent")
        # A callback, not a coroutine that awaits `run`: a task cancelled before its first step would leave
        # no outcome.
        task.add_done_callback(partial(self._on_ended, lifecycle, spec, attempt_index, started_at_us))

    def withdraw(self, lifecycle: RequestLifecycle, decided: AttemptDecided) -> None:
        """Report as not sent an attempt that was decided after its request had its final answer."""
        attempt_index = len(lifecycle.attempts)
        lifecycle.attempts.append(None)
        lifecycle.statuses.append(AttemptStatus.NOT_SENT)
        lifecycle.started_at_us.append(0)
        outcome = AttemptOutcome(AttemptStatus.NOT_SENT)
        self.report(lifecycle, AttemptFinished(decided.action.member, attempt_index, outcome, 0))

    def cancel(self, lifecycle: RequestLifecycle, attempt_index: int) -> None:
        """Cancel an attempt if it is in flight. Do nothing if it has ended or never existed."""
        if not 0 <= attempt_index < len(lifecycle.attempts):
            return
        task = lifecycle.attempts[attempt_index]
        if task is not None:
            task.cancel()

    def report(self, lifecycle: RequestLifecycle, finished: AttemptFinished) -> None:
        """Report the end of an attempt to the router, the counters and the trace."""
        context = self.context
        outcome = finished.outcome
        # An end that was not observed is reported as cancelled: the attempt may have been executed, and the
        # router must learn nothing from it.
        status = AttemptStatus.CANCELLED if outcome.unobserved else outcome.status
        context.counters.add(f"outcome.{status.value}")
        event = AttemptEnded(
            request_id=lifecycle.request.request_id,
            attempt_index=finished.attempt_index,
            member=finished.member,
            status=status,
            latency_us=finished.latency_us,
            is_final=outcome.status is AttemptStatus.OK,
            detail=outcome.detail,
            upstream_wait_us=outcome.upstream_wait_us,
            load_report=outcome.load_report,
        )
        if context.tracer is not None:
            context.tracer.on_attempt_ended(context.now(), event, finished.sent_us, outcome)
        context.handle(event)

    def _spec(self, lifecycle: RequestLifecycle, decided: AttemptDecided, attempt_index: int) -> AttemptSpec:
        request = lifecycle.request
        action = decided.action
        source = fill_source(action)
        timeout_us = request.arrived_us + request.timeout_us - self.context.now()
        if action.timeout_us:
            timeout_us = min(timeout_us, action.timeout_us)
        spec = AttemptSpec(
            request,
            action.member,
            timeout_us,
            source,
            needs_own_connection=request.class_name in self.context.non_idempotent_classes,
            is_still_valid=partial(self._may_send, lifecycle, attempt_index, decided),
            on_first_byte_sent=partial(self._on_first_byte_sent, attempt_index),
        )
        if isinstance(action, ForwardWithFill):
            spec.retention_rank = action.retention_rank
            spec.max_age_us = action.max_age_us
            spec.fill_options = action.fill_options
        return spec

    def _may_send(
        self, lifecycle: RequestLifecycle, attempt_index: int, decided: AttemptDecided, spec: AttemptSpec
    ) -> bool:
        """Return whether an attempt may be sent now, and limit the age of the copy that may answer it."""
        guard = self.context.guard
        if not guard.may_send(lifecycle, attempt_index, spec.member, spec.fill_source, decided.snapshot):
            return False
        if isinstance(decided.action, ForwardWithFill):
            self._limit_copy_age(decided.action, spec)
        return True

    def _limit_copy_age(self, action: ForwardWithFill, spec: AttemptSpec) -> None:
        """Accept no copy that a purge may cover which has not arrived, and join no fill from before it.

        Called again if the attempt waits, so the limit replaces that of an earlier call.
        """
        spec.max_age_us = action.max_age_us
        spec.fill_options = action.fill_options
        now_us = self.context.now()
        oldest_copy_us = self.context.feed_gate.freshness.purge_lease.oldest_copy_us(now_us)
        request_class = self.classes.get(spec.request.class_name)
        if oldest_copy_us is None or request_class is None or request_class.is_write:
            return
        limit_us = max(1, now_us - oldest_copy_us)
        usual_us = action.max_age_us or request_class.freshness_lifetime_us
        spec.max_age_us = min(usual_us, limit_us) if usual_us else limit_us
        spec.fill_options = action.fill_options & ~FillOption.COALESCE
        self.context.counters.add("feed.copy_age_limited")

    def _on_first_byte_sent(self, attempt_index: int, spec: AttemptSpec) -> None:
        started = AttemptStarted(
            spec.request.request_id,
            attempt_index,
            spec.member,
            spec.fill_source,
            spec.max_age_us,
            spec.remaining_us(),
        )
        now_us = self.context.now()
        self.context.invariants.attempt_started(started, now_us)
        freshness = self.context.feed_gate.freshness
        if not freshness.is_confirmed():
            self._log_unconfirmed_send(started, freshness, now_us)

    def _log_unconfirmed_send(self, started: AttemptStarted, freshness: FeedFreshness, now_us: int) -> None:
        """Count and log an attempt that was sent while the feed did not confirm the list."""
        age_us = freshness.age_us(now_us)
        self.context.counters.add("feed.unconfirmed_send")
        log.info(
            "attempt sent on an unconfirmed list",
            request=started.request,
            attempt=started.attempt_index,
            member=started.member,
            source=started.fill_source,
            state=freshness.state.value,
            age_ms=None if age_us is None else age_us // 1000,
            max_copy_age_ms=started.max_age_us // 1000,
        )

    def _record_retry(self, lifecycle: RequestLifecycle, attempt_index: int) -> None:
        """Count and log the reason of a retry: the last attempt's status, or "overdue" if it is in flight."""
        previous = lifecycle.statuses[attempt_index - 1]
        reason = "overdue" if previous is None else previous.value
        self.context.counters.add(f"again.{reason}")
        request = lifecycle.request
        log.info(
            "attempt retried",
            request=request.request_id,
            connection=request.connection_id,
            attempt=attempt_index,
            after=reason,
        )

    def _on_ended(
        self,
        lifecycle: RequestLifecycle,
        spec: AttemptSpec,
        attempt_index: int,
        started_at_us: int,
        task: asyncio.Task[AttemptOutcome],
    ) -> None:
        context = self.context
        lifecycle.attempts[attempt_index] = None
        outcome = self._outcome_of(lifecycle, task)
        lifecycle.statuses[attempt_index] = outcome.status
        not_executed = outcome.status.proves_not_executed
        context.invariants.attempt_ended(lifecycle.request.request_id, attempt_index, not_executed)
        if not_executed:
            lifecycle.started_at_us[attempt_index] = 0
        latency_us = context.now() - started_at_us
        lifecycle.mailbox.put(AttemptFinished(spec.member, attempt_index, outcome, latency_us, spec.sent_us))

    def _outcome_of(self, lifecycle: RequestLifecycle, task: asyncio.Task[AttemptOutcome]) -> AttemptOutcome:
        if task.cancelled():
            return AttemptOutcome(AttemptStatus.CANCELLED)
        error = task.exception()
        if error is None:
            return task.result()
        self.context.counters.add("error.attempt")
        log.error("error in an attempt", request=lifecycle.request.request_id, exc_info=error)
        return AttemptOutcome(AttemptStatus.ERROR)
