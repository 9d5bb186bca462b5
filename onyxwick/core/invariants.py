"""The rules of service as run-time checks, called by the code that sends, retries, answers and closes.

Each check uses its own inputs, not the tables of the code that enforces the rule, and never changes the
service. A violation names the rule, the request, the attempt or connection, and the cause; `report` counts
and logs it. The checks do no I/O; times are in steady microseconds. The size of the request table is bounded
by the number of open requests. The checks of attempts are in `attempt_invariants`.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from functools import wraps
from typing import Concatenate, ParamSpec

from onyxwick.core.attempt_invariants import AttemptInvariants
from onyxwick.core.invariant_model import AttemptStarted, InvariantRule, RequestRecord, Violation
from onyxwick.interface import EndpointsChanged, RouterSettings

MAX_ANSWER_DELAY_US = 500_000
"""An answer more than this long after the request's deadline is a violation."""
RECENT_REQUEST_US = 2_000_000
"""From 4 s after a drain call, no connection may be idle, or have a request that is younger than this."""

Arguments = ParamSpec("Arguments")


def _report_check_errors(
    check: Callable[Concatenate[Invariants, Arguments], None],
) -> Callable[Concatenate[Invariants, Arguments], None]:
    """Wrap a check so that an exception in it is reported as a violation, and does not affect the service."""

    @wraps(check)
    def call_check(self: Invariants, /, *args: Arguments.args, **kwargs: Arguments.kwargs) -> None:
        try:
            check(self, *args, **kwargs)
        except Exception as error:  # a check only observes, so its error must not fail a request
            self.report(Violation(InvariantRule.CHECK_FAILED, f"{check.__name__}: {error!r}"))

    return call_check


class Invariants:
    """All checks of one director.

    `mean_transfer_us` returns the mean transfer time of each class for which it is known.
    """

    def __init__(
        self,
        settings: RouterSettings,
        report: Callable[[Violation], None],
        mean_transfer_us: Callable[[], Mapping[str, float]] = dict,
    ) -> None:
        self.report = report
        self.attempts = AttemptInvariants(settings, report, mean_transfer_us)
        self.requests: dict[str, RequestRecord] = {}

    # ---- endpoints and purges ----------------------------------------------------------------------------

    @_report_check_errors
    def endpoints_changed(self, event: EndpointsChanged, now_us: int) -> None:
        """Apply a complete endpoint list or a change of it, in the form that the router receives."""
        self.attempts.endpoints_changed(event, now_us)

    @_report_check_errors
    def object_purged(self, object_group: int, object_id: str | None, purged_at_us: int, now_us: int) -> None:
        """Record a received purge of an object, or of a group if `object_id` is None."""
        self.attempts.object_purged(object_group, object_id, purged_at_us, now_us)

    # ---- requests ----------------------------------------------------------------------------------------

    @_report_check_errors
    def request_started(
        self,
        request: str,
        class_name: str,
        object_group: int | None,
        object_id: str,
        deadline_us: int,
        now_us: int,
    ) -> None:
        """Record an admitted request, which must get exactly one final answer."""
        self.requests[request] = RequestRecord(class_name, object_group, object_id, deadline_us, now_us)

    @_report_check_errors
    def client_departed(self, request: str, now_us: int) -> None:
        """Record that the client disconnected or cancelled, so that its request needs no answer."""
        record = self.requests.get(request)
        if record is not None and not record.departed_at_us:
            record.departed_at_us = now_us

    @_report_check_errors
    def answered(self, request: str, now_us: int) -> None:
        """Check a final answer that was passed to the client's connection."""
        record = self.requests.get(request)
        if record is None:
            return
        if record.answered_at_us:
            cause = f"{now_us - record.answered_at_us} us after the first"
            self.report(Violation(InvariantRule.DUPLICATE_ANSWER, cause, request))
        record.answered_at_us = now_us
        # A request that arrives after its deadline is answered at once.
        due_us = max(record.deadline_us, record.admitted_at_us)
        if now_us > due_us + MAX_ANSWER_DELAY_US:
            cause = f"{now_us - due_us} us after its deadline"
            self.report(Violation(InvariantRule.LATE_ANSWER, cause, request))

    @_report_check_errors
    def request_ended(self, request: str) -> None:
        """Check that a request that is closed was answered, unless its client disconnected."""
        record = self.requests.pop(request, None)
        if record is not None and not record.answered_at_us and not record.departed_at_us:
            cause = "closed without an answer while its client was connected"
            self.report(Violation(InvariantRule.NO_ANSWER, cause, request))

    # ---- attempts ----------------------------------------------------------------------------------------

    @_report_check_errors
    def attempt_started(self, attempt: AttemptStarted, now_us: int) -> None:
        """Check and record an attempt whose first bytes have been sent."""
        record = self.requests.get(attempt.request)
        if record is None:
            return
        self.attempts.check(record, attempt, now_us)
        record.attempts_started_at_us.setdefault(attempt.attempt_index, now_us)

    @_report_check_errors
    def attempt_ended(self, request: str, attempt_index: int, proves_not_executed: bool) -> None:
        """Record the end of an attempt. `proves_not_executed` means that it was certainly not executed."""
        record = self.requests.get(request)
        if record is not None and proves_not_executed:
            record.attempts_started_at_us.pop(attempt_index, None)

    # ---- connections, shutdown and operators -------------------------------------------------------------

    @_report_check_errors
    def connection_closed(self, connection: int, unanswered: int, by_client: bool) -> None:
        """Check that a closed client connection has no unanswered requests, unless the client closed it."""
        if unanswered and not by_client:
            cause = f"{unanswered} requests were unanswered"
            self.report(
                Violation(InvariantRule.CLOSED_WITH_UNANSWERED_REQUESTS, cause, connection=connection)
            )

    @_report_check_errors
    def connection_open_after_drain(self, connection: int, youngest_us: int | None) -> None:
        """Check a connection that is still open at the time limit of a drain.

        `youngest_us` is the age of its youngest unanswered request, or None if the connection is idle.
        """
        if youngest_us is None or youngest_us < RECENT_REQUEST_US:
            cause = "idle" if youngest_us is None else f"its youngest request arrived {youngest_us} us ago"
            self.report(Violation(InvariantRule.OPEN_AFTER_DRAIN, cause, connection=connection))

    @_report_check_errors
    def answer_truncated(self, connection: int, in_flight_bytes: int) -> None:
        """Report a connection that the director closes before its last stage with answer bytes in flight."""
        cause = f"{in_flight_bytes} bytes were in flight"
        self.report(Violation(InvariantRule.ANSWER_TRUNCATED, cause, connection=connection))

    @_report_check_errors
    def process_ended(self, after_us: int, kill_after_us: int) -> None:
        """Check that the process exits before SIGKILL may come. Both times are counted from SIGTERM."""
        if after_us > kill_after_us:
            cause = f"{after_us} us after SIGTERM, but {kill_after_us} us are allowed"
            self.report(Violation(InvariantRule.EXITED_AFTER_KILL_TIME, cause))

    @_report_check_errors
    def commands_written(self, issued_version: int, written_version: int) -> None:
        """Check that the version read back from the operator command file is at least the issued one."""
        if written_version < issued_version:
            cause = f"version {written_version} is in the file, but version {issued_version} was issued"
            self.report(Violation(InvariantRule.OPERATOR_COMMAND_NOT_PERSISTED, cause))
