"""Attribution: the members to which an attempt's outcome is attributed, and with what weight.

Input: an ended attempt with its status, detail and latency (microseconds). Output: successes, failures and
late answers, recorded for the members that caused them (`outlier_detection`, `concurrency_limit`);
latencies and hits, recorded in `latency` and `popularity`.

Rule: a fill involves a cache, a parent and sometimes the origin. If the answer names the side that failed,
the failure is attributed to that side; if not, half of it is attributed to the cache and half to the
source: the cache's score recovers with its hits, the source's only with completed fills. A timeout at a
member that answers other requests means overload, not unresponsiveness.
"""

from __future__ import annotations

from onyxwick.interface import (
    AnswerDetail,
    AnswerDetailLevel,
    AttemptEnded,
    AttemptStatus,
    RouterSettings,
)
from onyxwick.routing.concurrency_limit import ConcurrencyLimit, is_overloaded
from onyxwick.routing.endpoints import MemberRoles
from onyxwick.routing.latency import LatencyTracker
from onyxwick.routing.outlier_detection import OutlierDetector
from onyxwick.routing.popularity import Popularity
from onyxwick.routing.state import Attempt, RequestState

UNATTRIBUTED_FAILURE_SHARE = 0.5
"""Share of a failure that is attributed to each of the two members that may have caused it."""
HITS = (AnswerDetail.HIT, AnswerDetail.STALE)
UNRELATED_TO_MEMBER = (AttemptStatus.CANCELLED, AttemptStatus.NOT_SENT)
NOT_FILLED = (AnswerDetail.SOURCE_MISS, AnswerDetail.NO_FILL_SLOT)
SOURCE_FAILED = (
    AnswerDetail.SOURCE_REJECTED,
    AnswerDetail.SOURCE_UNREACHABLE,
    AnswerDetail.ORIGIN_FAILED,
)
CONNECTION_LOST = (AttemptStatus.CONNECT_FAILED, AttemptStatus.RESET, AttemptStatus.TIMEOUT)


class OutcomeRecorder:
    """Passes the outcomes of attempts to the rules that learn from them."""

    def __init__(
        self,
        settings: RouterSettings,
        endpoints: MemberRoles,
        latency: LatencyTracker,
        popularity: Popularity,
        outliers: OutlierDetector,
        concurrency_limit: ConcurrencyLimit,
    ) -> None:
        self.full_detail = settings.answer_detail is AnswerDetailLevel.FULL
        self.endpoints = endpoints
        self.latency = latency
        self.popularity = popularity
        self.outliers = outliers
        self.concurrency_limit = concurrency_limit

    def record(self, request: RequestState, attempt: Attempt, event: AttemptEnded, now_us: int) -> None:
        """Record the outcome of an attempt that has ended."""
        if event.status is AttemptStatus.OK:
            self._record_answer(request, attempt, event, now_us)
        elif event.status is AttemptStatus.MISS:
            self.outliers.record_success(attempt.member, now_us)
            if attempt.fill_source and attempt.cached_only and event.detail is AnswerDetail.SOURCE_MISS:
                self.outliers.record_success(attempt.fill_source, now_us)
        elif event.status not in UNRELATED_TO_MEMBER:
            if self._is_delay(request, attempt, event):
                self._record_delay(attempt, event, now_us)
            else:
                self._record_failure(attempt, event, now_us)

    def _record_answer(
        self, request: RequestState, attempt: Attempt, event: AttemptEnded, now_us: int
    ) -> None:
        cache = attempt.member
        request_class = request.request_class
        late = self.latency.is_late(request, event.latency_us)
        hit = event.detail in HITS
        self.latency.answer[request_class.name].add(event.latency_us)
        self.outliers.record_success(cache, now_us)
        if attempt.fill_source and not hit and event.detail is not AnswerDetail.COALESCED:
            self._record_fill(attempt, event, late, now_us)
        elif attempt.fill_source and attempt.fill_source_send:
            attempt.fill_source_send.transfer_us = 0.0  # The cache answered without using the source.
        if hit or request_class.is_write:
            self.latency.observe_local_answer(request, event.latency_us)
            self.concurrency_limit.record_outcome(cache, late)
        if not request_class.is_write and cache in self.endpoints.caches:
            self.popularity.record_answer(cache.info.address, request.arrival.object_id, hit, now_us)

    def _record_fill(self, attempt: Attempt, event: AttemptEnded, late: bool, now_us: int) -> None:
        source = attempt.fill_source
        origin = attempt.origin
        assert source is not None
        self.outliers.record_success(source, now_us)
        self.latency.fill.add(event.latency_us)
        from_origin = not self.full_detail or event.detail is AnswerDetail.FILLED_FROM_ORIGIN
        if origin and from_origin:
            self.outliers.record_success(origin, now_us)
            self.concurrency_limit.record_outcome(origin, late)
            if late and self.full_detail:
                return  # The origin was slow, not the parent that filled from it.
        self.concurrency_limit.record_outcome(source, late)

    def _is_delay(self, request: RequestState, attempt: Attempt, event: AttemptEnded) -> bool:
        """Return whether an attempt ran out of time in its fill or at a cache that answers other attempts."""
        source = attempt.fill_source
        late = event.latency_us > request.request_class.latency_objective_us
        if source and late and not self.outliers.is_unresponsive(source, attempt.started_us):
            return True
        timeout = event.status is AttemptStatus.TIMEOUT
        return timeout and attempt.member.last_answer_us > attempt.started_us

    def _record_delay(self, attempt: Attempt, event: AttemptEnded, now_us: int) -> None:
        """Record a delay as overload of the attempt's member that is furthest from the client.

        A timeout is recorded only if that member has given no expected answer since the attempt's start, or
        is overloaded already. Otherwise the answer was probably lost.
        """
        delayed_member = attempt.origin or attempt.fill_source or attempt.member
        started_us = attempt.started_us
        answered_since = delayed_member.last_answer_us > started_us
        silent = not answered_since and self.outliers.expected_answers(delayed_member, started_us, now_us) > 1
        if event.status is not AttemptStatus.TIMEOUT or silent or is_overloaded(delayed_member):
            self.concurrency_limit.record_outcome(delayed_member, True, attempt.fill_source is not None)

    def _record_failure(self, attempt: Attempt, event: AttemptEnded, now_us: int) -> None:
        cache = attempt.member
        source = attempt.fill_source
        if event.detail in NOT_FILLED:
            return
        if event.detail is AnswerDetail.ORIGIN_FAILED and attempt.origin:
            self.concurrency_limit.record_outcome(attempt.origin, True, failed=True)
        elif event.detail in SOURCE_FAILED:
            unreachable = event.detail is AnswerDetail.SOURCE_UNREACHABLE
            self.concurrency_limit.record_outcome(source or cache, True)
            self.outliers.record_failure(source, 1.0, unreachable, now_us)
        elif event.status in CONNECTION_LOST or source is None:
            self._record_cache_failure(attempt, event, now_us)
        else:
            self._record_unattributed_failure(attempt, event, now_us)

    def _record_cache_failure(self, attempt: Attempt, event: AttemptEnded, now_us: int) -> None:
        if event.status is AttemptStatus.OVERLOADED:
            self.concurrency_limit.record_outcome(attempt.member, True)
        if event.status is AttemptStatus.RESET:
            self.outliers.record_reset(attempt.member, now_us)
        else:
            lost = event.status in CONNECTION_LOST
            self.outliers.record_failure(attempt.member, 1.0, lost, now_us)

    def _record_unattributed_failure(self, attempt: Attempt, event: AttemptEnded, now_us: int) -> None:
        """Record a failure that may have been caused by the cache or by its fill source.

        If answers give full detail, an error that names no side was caused by the cache itself.
        """
        source = attempt.fill_source
        assert source is not None
        self.outliers.record_failure(attempt.member, UNATTRIBUTED_FAILURE_SHARE, False, now_us)
        if event.status is not AttemptStatus.ERROR or not self.full_detail:
            overloaded = event.status is AttemptStatus.OVERLOADED
            self.concurrency_limit.record_outcome(attempt.origin or source, True, overloaded)
            self.outliers.record_failure(source, UNATTRIBUTED_FAILURE_SHARE, False, now_us)
