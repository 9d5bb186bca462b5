"""Traces the decisions of a director: passes the core's events and actions to the recorder.

The core calls this module around its router and around its attempts, with times in microseconds of the
core's clock. The module produces records. Every call does a bounded amount of work and none raises: an error
in the trace ends the trace, never a request.
"""

from __future__ import annotations

import secrets
import time
from collections.abc import Callable, Iterable
from dataclasses import replace
from pathlib import Path
from typing import Any, Protocol, cast

from onyxwick import logs
from onyxwick.core.model import AnswerStatus, AttemptOutcome, FinalAnswer
from onyxwick.interface import (
    Action,
    AttemptEnded,
    CancelAttempt,
    EndpointListKind,
    EndpointsChanged,
    Event,
    FailRequest,
    ForwardRequest,
    ForwardWithFill,
    Idempotency,
    Member,
    ObjectsPurged,
    RejectRequest,
    RequestArrived,
    RequestClass,
    RequestRouter,
    RouterSettings,
    ServiceRules,
    SiteStateChanged,
)
from onyxwick.routing import Router
from onyxwick.trace import decision_reason
from onyxwick.trace import format as f
from onyxwick.trace.model import (
    FORMAT_MAJOR,
    FORMAT_MINOR,
    DecisionReason,
    NotificationKind,
    RecordedVerdict,
)
from onyxwick.trace.recorder import Recorder, id_number
from onyxwick.trace.sink import SinkLimits, TraceWriterThread

log = logs.get()
CLOCK_INTERVAL_US = 1_000_000
"""Interval between two records of the Unix and monotonic clocks."""
MIN_ATTEMPT_TIME_US = 1000
"""A request that expires within this time after its arrival has no time for an attempt."""
NS_PER_US = 1000
RUN_ID_BYTES = 8
VERDICTS = {
    AnswerStatus.SERVED: RecordedVerdict.SERVED,
    AnswerStatus.REJECTED: RecordedVerdict.REJECTED,
    AnswerStatus.FAILED: RecordedVerdict.FAILED,
}


def file_header(settings: RouterSettings, director: str, unix_us: int, mono_us: int) -> f.FileHeader:
    """Return the header with the data that an audit needs in addition to the records.

    These are the request classes and the limits of the service rules. The keys are stored in the file.
    """
    return f.FileHeader(
        version=(FORMAT_MAJOR, FORMAT_MINOR),
        director=director,
        run=secrets.token_hex(RUN_ID_BYTES),
        unix_us=unix_us,
        mono_us=mono_us,
        classes=[_class_fields(request_class) for request_class in settings.classes],
        rules=_rule_fields(settings.rules),
    )


def _class_fields(request_class: RequestClass) -> dict[str, Any]:
    return {
        "name": request_class.name,
        "worth": request_class.priority_weight,
        "late_worth": request_class.late_priority_weight,
        "aim_us": request_class.latency_objective_us,
        "stretch": request_class.latency_objective_stretch,
        "deadline_us": request_class.deadline_us,
        "once": request_class.idempotency is Idempotency.NON_IDEMPOTENT,
        "write": request_class.is_write,
        "fresh_us": request_class.freshness_lifetime_us,
    }


def _rule_fields(rules: ServiceRules) -> dict[str, float]:
    return {
        "drain_grace_us": float(rules.drain_grace_us),
        "purge_grace_us": float(rules.purge_grace_us),
        "cold_start": float(rules.warm_up_start_share),
        "cold_us": float(rules.warm_up_us),
        "overload_multiple": float(rules.overload_multiple),
        "overload_window_us": float(rules.overload_window_us),
        "parent_cold_start": float(rules.parent_warm_up_start_share),
        "parent_cold_us": float(rules.parent_warm_up_us),
        "parent_overload_multiple": float(rules.parent_overload_multiple),
    }


def monotonic_us() -> int:
    """Return the time of the machine's monotonic clock in microseconds."""
    return time.monotonic_ns() // NS_PER_US


class DelegatingRouter(Protocol):
    """A router that distributes requests among others: `CellRouter`, `SiteRouter`."""

    rejection_reason_by_request: dict[str, str]
    """By request id, why the last `handle` rejected a request before any router decided on it."""

    def router_of(self, request_id: str) -> RequestRouter | None:
        """Return the innermost router that currently decides on a request; None if there is none."""
        ...

    def cell_of(self, request_id: str) -> str:
        """Return the name of the cell that a request belongs to; empty if there is none."""
        ...


class DecisionTracer:
    """The interface that a core calls while a trace is written."""

    def __init__(
        self,
        settings: RouterSettings,
        director: str,
        folder: Path,
        limits: SinkLimits,
        now_us: int,
        monotonic_clock: Callable[[], int] = monotonic_us,
    ) -> None:
        self.monotonic_clock = monotonic_clock
        header = file_header(settings, director, now_us, monotonic_clock())
        self.writer = TraceWriterThread(folder, header, limits)
        non_idempotent = frozenset(
            c.name for c in settings.classes if c.idempotency is Idempotency.NON_IDEMPOTENT
        )
        self.recorder = Recorder(now_us, self.writer.enqueue, non_idempotent)
        self.failed = False
        self.clock_recorded_us = now_us
        self.writer.start()
        self.recorder.record_notification(now_us, NotificationKind.START, {})
        self._record_clock(now_us)

    def _record_clock(self, now_us: int) -> None:
        self.clock_recorded_us = now_us
        data = {"mono_us": self.monotonic_clock()}
        self.recorder.record_notification(now_us, NotificationKind.CLOCK, data)

    def _fail(self) -> None:
        """End the trace after an internal error."""
        self.failed = True
        log.exception("trace stopped after an internal error")

    def on_endpoints_known(self, now_us: int, members: Iterable[Member]) -> None:
        """Record the endpoint list at the start of the trace."""
        self._record_event(now_us, None, EndpointsChanged(EndpointListKind.RESTORED, tuple(members)))

    # ---- around the router ------------------------------------------------------------------------------

    def on_decisions(
        self, now_us: int, router: RequestRouter, events: tuple[Event, ...], actions: list[Action]
    ) -> None:
        """Record the events passed to a router and the actions that it returned."""
        if self.failed:
            return
        try:
            for event in events:
                self._record_event(now_us, router, event)
            for action in actions:
                self._record_action(now_us, router, action)
        except Exception:  # An error in the trace must not affect the traced request.
            self._fail()

    def _record_event(self, now_us: int, router: RequestRouter | None, event: Event) -> None:
        match event:
            case RequestArrived():
                cell = _cell_of(router, event.request_id)
                self.recorder.on_request_arrived(now_us, event, cell)
            case EndpointsChanged() if event.kind is not EndpointListKind.UNAVAILABLE:
                self.recorder.record_notification(now_us, NotificationKind.LIST, _list_fields(event))
            case ObjectsPurged(group, object_id, age_us):
                data = {
                    "group": group,
                    "object": None if object_id is None else id_number(object_id),
                    "unix_us": now_us - age_us,
                }
                self.recorder.record_notification(now_us, NotificationKind.PURGE, data)

    def _record_action(self, now_us: int, router: RequestRouter, action: Action) -> None:
        match action:
            case ForwardRequest() | ForwardWithFill():
                self._record_attempt(now_us, router, action)
            case CancelAttempt(request_id, index):
                self.recorder.on_attempt_cancelled(now_us, request_id, index)
            case RejectRequest(request_id=request_id) | FailRequest(request_id=request_id):
                self._note_reason(now_us, router, request_id)
            case SiteStateChanged():
                data = {
                    "site": action.site,
                    "was": action.previous_state,
                    "now": action.state,
                    "why": action.reason,
                    "share": action.share_served_elsewhere,
                }
                self.recorder.record_notification(now_us, NotificationKind.SITE, data)

    def _record_attempt(
        self, now_us: int, router: RequestRouter, action: ForwardRequest | ForwardWithFill
    ) -> None:
        deciding = _deciding_router(router, action.request_id)
        recorded = self.recorder.open_requests.get(action.request_id)
        if deciding is None or recorded is None:
            return
        # The router drops a request's state at the final answer, whose reason is derived from that state.
        recorded.state = deciding.requests.get(action.request_id)
        estimate = decision_reason.member_estimate(deciding, action)
        self.recorder.on_attempt_started(now_us, action, estimate)
        if recorded.non_idempotent:
            self.recorder.record_non_idempotent_send(now_us, action.request_id, action.member)

    def _note_reason(self, now_us: int, router: RequestRouter, request_id: str) -> None:
        """Note why a request is rejected or failed; the answer itself follows in `on_final_answer`."""
        recorded = self.recorder.open_requests.get(request_id)
        if recorded is None:
            return
        deciding = _deciding_router(router, request_id)
        if _is_shed(router, request_id):
            recorded.reason = DecisionReason.LOAD_SHED
        elif deciding is not None and recorded.state is not None:
            recorded.reason = decision_reason.final_answer_reason(deciding, recorded.state, now_us)
        elif recorded.arrival.expires_in_us <= MIN_ATTEMPT_TIME_US:
            recorded.reason = DecisionReason.NO_TIME
        else:
            recorded.reason = DecisionReason.NO_CACHE

    # ---- around attempts and answers --------------------------------------------------------------------

    def on_attempt_ended(
        self, now_us: int, event: AttemptEnded, sent_us: int, outcome: AttemptOutcome
    ) -> None:
        """Record the end of an attempt. `sent_us` is when its first byte was sent; 0 means never."""
        if self.failed:
            return
        try:
            if sent_us:
                self.recorder.on_attempt_sent(event.request_id, event.attempt_index, sent_us)
            if event.status is not outcome.status:
                event = replace(event, status=outcome.status)
            self.recorder.on_attempt_ended(now_us, event, outcome.origin_date_us)
        except Exception:  # See `on_decisions`.
            self._fail()

    def on_final_answer(self, now_us: int, request_id: str, answer: FinalAnswer | None) -> None:
        """Record the final answer; None means that the client left before it."""
        if self.failed:
            return
        try:
            self._record_final_answer(now_us, request_id, answer)
        except Exception:  # See `on_decisions`.
            self._fail()

    def _record_final_answer(self, now_us: int, request_id: str, answer: FinalAnswer | None) -> None:
        if answer is None:
            left = RecordedVerdict.CLIENT_LEFT
            self.recorder.on_final_answer(now_us, request_id, left, DecisionReason.CLIENT_LEFT, 0, 0)
            return
        recorded = self.recorder.open_requests.get(request_id)
        reason = DecisionReason.UNKNOWN
        if answer.status is AnswerStatus.SERVED:
            reason = DecisionReason.ANSWERED
        elif recorded is not None:
            reason = DecisionReason(recorded.reason)
        verdict = VERDICTS[answer.status]
        size = len(answer.body)
        self.recorder.on_final_answer(now_us, request_id, verdict, reason, answer.retry_after_us, size)

    # ---- time -------------------------------------------------------------------------------------------

    def tick(self, now_us: int) -> None:
        """Record the clocks and close old blocks. Must be called several times per second."""
        if self.failed:
            return
        try:
            if now_us - self.clock_recorded_us >= CLOCK_INTERVAL_US:
                self._record_clock(now_us)
            self.recorder.tick(now_us)
        except Exception:  # See `on_decisions`.
            self._fail()

    def stop(self, now_us: int) -> None:
        """Write all recorded data and close the file."""
        if not self.failed:
            self.recorder.finish(now_us)
        self.writer.stop()
        counts = self.writer.counts
        log.info(
            "trace ended",
            blocks=counts.blocks,
            bytes=counts.bytes,
            lost_requests=counts.lost_requests,
            dropped=self.recorder.dropped,
            errors=counts.errors[-1:],
        )


def _list_fields(event: EndpointsChanged) -> dict[str, Any]:
    rows = [[m.address, m.zone, m.kind, m.state.value, m.weight, m.started_at_us] for m in event.members]
    is_complete = event.kind is not EndpointListKind.CHANGE
    return {"members": rows, "full": is_complete, "version": event.version}


def _deciding_router(router: RequestRouter, request_id: str) -> Router | None:
    if isinstance(router, Router):
        return router
    innermost = cast(DelegatingRouter, router).router_of(request_id)
    return innermost if isinstance(innermost, Router) else None


def _cell_of(router: RequestRouter | None, request_id: str) -> str:
    if router is None or isinstance(router, Router):
        return ""
    return cast(DelegatingRouter, router).cell_of(request_id)


def _is_shed(router: RequestRouter, request_id: str) -> bool:
    if isinstance(router, Router):
        return False
    return request_id in cast(DelegatingRouter, router).rejection_reason_by_request
