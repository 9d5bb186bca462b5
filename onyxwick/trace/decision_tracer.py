"""Between a core and its recorder: what the core tells and is told, as records. A fault here ends the trace
and nothing else."""

from __future__ import annotations

import secrets
import time
from collections.abc import Callable, Iterable
from dataclasses import replace
from pathlib import Path
from typing import Any

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
    RequestRouter,
    RouterSettings,
    SiteStateChanged,
)
from onyxwick.routing import Router
from onyxwick.trace import decision_reason as why
from onyxwick.trace import format as f
from onyxwick.trace.model import MAJOR, MINOR, DecisionReason, NotificationKind
from onyxwick.trace.model import RecordedVerdict as Final
from onyxwick.trace.recorder import Recorder, number
from onyxwick.trace.sink import Sink, SinkLimits

log = logs.get()
CLOCK_US = 1_000_000  # between two records of both clocks
LEAST_LEFT_US = 1000  # under it a request had no time for an attempt
FINALS = {
    AnswerStatus.SERVED: Final.SERVED,
    AnswerStatus.REJECTED: Final.REFUSED,
    AnswerStatus.FAILED: Final.FAILED,
}


def header_of(settings: RouterSettings, director: str, unix_us: int, mono_us: int) -> f.FileHeader:
    """What a reader must know to judge: classes with worth and aims, the rules' figures."""
    r = settings.rules
    classes: list[dict[str, Any]] = [
        {
            "name": c.name,
            "worth": c.priority_weight,
            "late_worth": c.late_priority_weight,
            "aim_us": c.latency_objective_us,
            "stretch": c.latency_objective_stretch,
            "deadline_us": c.deadline_us,
            "once": c.idempotency is Idempotency.NON_IDEMPOTENT,
            "write": c.is_write,
            "fresh_us": c.freshness_lifetime_us,
        }
        for c in settings.classes
    ]
    rules = {
        "drain_grace_us": r.drain_grace_us,
        "purge_grace_us": r.purge_grace_us,
        "cold_start": r.warm_up_start_share,
        "cold_us": r.warm_up_us,
        "overload_multiple": r.overload_multiple,
        "overload_window_us": r.overload_window_us,
        "parent_cold_start": r.parent_warm_up_start_share,
        "parent_cold_us": r.parent_warm_up_us,
        "parent_overload_multiple": r.parent_overload_multiple,
    }
    figures = {name: float(value) for name, value in rules.items()}
    return f.FileHeader((MAJOR, MINOR), director, secrets.token_hex(8), unix_us, mono_us, classes, figures)


def _mono_us() -> int:
    return time.monotonic_ns() // 1000


class DecisionTracer:
    """What a core calls while a trace is written. Every call is bounded and none raises."""

    def __init__(
        self,
        settings: RouterSettings,
        director: str,
        folder: Path,
        bounds: SinkLimits,
        now: int,
        mono: Callable[[], int] = _mono_us,
    ) -> None:
        self.mono = mono
        self.sink = Sink(folder, header_of(settings, director, now, mono()), bounds)
        once = frozenset(c.name for c in settings.classes if c.idempotency is Idempotency.NON_IDEMPOTENT)
        self.recorder = Recorder(now, self.sink.take, once)
        self.broken = False
        self.clock_at = now
        self.sink.start()
        self.recorder.told(now, NotificationKind.START, {})
        self._clock(now)

    def _clock(self, now: int) -> None:
        self.clock_at = now
        self.recorder.told(now, NotificationKind.CLOCK, {"mono_us": self.mono()})

    def listed(self, now: int, members: Iterable[Member]) -> None:
        """The list as it is known when the trace begins."""
        self._event(now, None, EndpointsChanged(EndpointListKind.RESTORED, tuple(members)))

    def _fault(self) -> None:
        """An error of the trace is the trace's alone: it ends, the director goes on."""
        self.broken = True
        log.exception("the trace ends for an error of its own")

    # ---- around the module ------------------------------------------------------------------------------

    def after(
        self, now: int, decider: RequestRouter, events: tuple[Event, ...], actions: list[Action]
    ) -> None:
        if self.broken:
            return
        try:
            for event in events:
                self._event(now, decider, event)
            for action in actions:
                self._action(now, decider, action)
        except Exception:
            self._fault()

    def _event(self, now: int, decider: RequestRouter | None, event: Event) -> None:
        match event:
            case RequestArrived():
                self.recorder.arrived(now, event, _cell_of(decider, event.request_id))
            case EndpointsChanged() if event.kind is not EndpointListKind.UNAVAILABLE:
                rows = [
                    [m.address, m.zone, m.kind, m.state.value, m.weight, m.started_at_us]
                    for m in event.members
                ]
                full = event.kind is not EndpointListKind.CHANGE
                self.recorder.told(
                    now, NotificationKind.LIST, {"members": rows, "full": full, "version": event.version}
                )
            case ObjectsPurged(group, name, age):
                told = {
                    "group": group,
                    "object": None if name is None else number(name),
                    "unix_us": now - age,
                }
                self.recorder.told(now, NotificationKind.PURGE, told)

    def _action(self, now: int, decider: RequestRouter, action: Action) -> None:
        match action:
            case ForwardRequest() | ForwardWithFill():
                router = _router_of(decider, action.request_id)
                story = self.recorder.stories.get(action.request_id)
                if router is not None and story is not None:
                    # Kept, as the module forgets it with its last word, which is when it is wanted.
                    story.job = router.requests.get(action.request_id)
                    self.recorder.decided(now, action, why.member_belief(router, action))
                    if story.once:
                        self.recorder.note_once(now, action.request_id, action.member)
            case CancelAttempt(request, attempt):
                self.recorder.cancelled(now, request, attempt)
            case RejectRequest(request_id=request) | FailRequest(request_id=request):
                self._ending(now, decider, request)
            case SiteStateChanged():
                told = {
                    "site": action.site,
                    "was": action.previous_state,
                    "now": action.state,
                    "why": action.reason,
                }
                self.recorder.told(now, NotificationKind.SITE, told | {"share": action.share_away})

    def _ending(self, now: int, decider: RequestRouter, request: str) -> None:
        """The cause of a refusal is noted where it was decided; the answer itself comes by `answered`."""
        story = self.recorder.stories.get(request)
        if story is None:
            return
        router = _router_of(decider, request)
        if request in getattr(decider, "shed_now", ()):
            story.why = DecisionReason.SHED
        elif router is None or story.job is None:
            story.why = (
                DecisionReason.NO_TIME if story.ask.expires_in_us <= LEAST_LEFT_US else DecisionReason.NO_BOX
            )
        else:
            story.why = why.final_answer_reason(router, story.job, now)

    # ---- around attempts and answers --------------------------------------------------------------------

    def ended(self, now: int, event: AttemptEnded, sent_us: int, outcome: AttemptOutcome) -> None:
        if self.broken:
            return
        try:
            if sent_us:
                self.recorder.sent(event.request_id, event.attempt_index, sent_us)
            status = outcome.status
            told = event if event.status is status else replace(event, status=status)
            self.recorder.ended(now, told, outcome.origin_date_us)
        except Exception:
            self._fault()

    def answered(self, now: int, request: str, answer: FinalAnswer | None) -> None:
        """The one final answer, or None where the client left before it."""
        if self.broken:
            return
        try:
            if answer is None:
                return self.recorder.finished(now, request, Final.LEFT, DecisionReason.CLIENT_LEFT, 0, 0)
            served = answer.status is AnswerStatus.SERVED
            story = self.recorder.stories.get(request)
            cause = (
                DecisionReason.ANSWERED
                if served
                else DecisionReason(story.why)
                if story is not None
                else DecisionReason.UNKNOWN
            )
            final, size = FINALS[answer.status], len(answer.body)
            self.recorder.finished(now, request, final, cause, answer.retry_after_us, size)
        except Exception:
            self._fault()

    def tick(self, now: int) -> None:
        """Some times a second."""
        if self.broken:
            return
        try:
            if now - self.clock_at >= CLOCK_US:
                self._clock(now)
            self.recorder.tick(now)
        except Exception:
            self._fault()

    def stop(self, now: int) -> None:
        if not self.broken:
            self.recorder.finish(now)
        self.sink.stop()
        counts = self.sink.counts
        log.info(
            "trace ended",
            blocks=counts.blocks,
            bytes=counts.bytes,
            lost_requests=counts.lost_requests,
            dropped=self.recorder.dropped,
            errors=counts.errors[-1:],
        )


def _router_of(decider: RequestRouter, request: str) -> Router | None:
    if isinstance(decider, Router):
        return decider
    found = decider.router_of(request)  # type: ignore[attr-defined]
    assert found is None or isinstance(found, Router)
    return found


def _cell_of(decider: RequestRouter | None, request: str) -> str:
    if decider is None or isinstance(decider, Router):
        return ""
    return str(decider.cell_of(request))  # type: ignore[attr-defined]
