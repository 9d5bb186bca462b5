"""The rules of service as run-time checks, fed by the code that sends, retries, answers and closes. No I/O.

Each check goes by its own inputs, not by the tables of the code that enforces the rule, and never changes
what is served. A violation names the rule, the request, the attempt or connection and the cause; `report`
counts and logs it. Times in steady microseconds. The table of requests is bounded by the open ones; the
checks of attempts are in `attempt_invariants`.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from functools import wraps
from typing import Concatenate, ParamSpec

from onyxwick.core.attempt_invariants import AttemptInvariants
from onyxwick.core.invariant_model import AttemptStarted, InvariantRule, RequestRecord, Violation
from onyxwick.interface import EndpointsChanged, RouterSettings

MAX_ANSWER_DELAY_US = 500_000
"""An answer later than this after the request's deadline is a violation."""
RECENT_REQUEST_US = 2_000_000
"""4 s after a drain call no connection may be open idle, or with a request younger than this."""

Arguments = ParamSpec("Arguments")


def _contained(
    check: Callable[Concatenate[Invariants, Arguments], None],
) -> Callable[Concatenate[Invariants, Arguments], None]:
    """Report an error of a check itself as a violation, so that it changes nothing of what is served."""

    @wraps(check)
    def contained(self: Invariants, /, *args: Arguments.args, **kwargs: Arguments.kwargs) -> None:
        try:
            check(self, *args, **kwargs)
        except Exception as error:  # a check observes; its failure must not fail a request
            self.report(Violation(InvariantRule.CHECK_FAILED, f"{check.__name__}: {error!r}"))

    return contained


class Invariants:
    """All checks of one director. `mean_transfer_us`: mean transfer time by class, as far as known."""

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

    @_contained
    def endpoints_changed(self, event: EndpointsChanged, now_us: int) -> None:
        """The endpoint list or a change of it was received, as the router gets it."""
        self.attempts.endpoints_changed(event, now_us)

    @_contained
    def object_purged(self, object_group: int, object_id: str | None, purged_at_us: int, now_us: int) -> None:
        """A purge of an object, or of a group (`object_id` None), was received."""
        self.attempts.object_purged(object_group, object_id, purged_at_us, now_us)

    # ---- requests ----------------------------------------------------------------------------------------

    @_contained
    def request_started(
        self,
        request: str,
        class_name: str,
        object_group: int | None,
        object_id: str,
        deadline_us: int,
        now_us: int,
    ) -> None:
        """A request was admitted: it must get one final answer."""
        self.requests[request] = RequestRecord(class_name, object_group, object_id, deadline_us, now_us)

    @_contained
    def client_departed(self, request: str, now_us: int) -> None:
        """The client has disconnected or cancelled; no answer is due any more."""
        record = self.requests.get(request)
        if record is not None and not record.departed_at_us:
            record.departed_at_us = now_us

    @_contained
    def answered(self, request: str, now_us: int) -> None:
        """The final answer was passed to the client's connection."""
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

    @_contained
    def request_ended(self, request: str) -> None:
        """The request is closed: nothing more will be done for it."""
        record = self.requests.pop(request, None)
        if record is not None and not record.answered_at_us and not record.departed_at_us:
            cause = "closed with neither an answer nor a disconnected client"
            self.report(Violation(InvariantRule.NO_ANSWER, cause, request))

    # ---- attempts ----------------------------------------------------------------------------------------

    @_contained
    def attempt_started(self, attempt: AttemptStarted, now_us: int) -> None:
        """The first bytes of an attempt have been sent."""
        record = self.requests.get(attempt.request)
        if record is None:
            return
        self.attempts.check(record, attempt, now_us)
        record.attempts_started_at_us.setdefault(attempt.attempt_index, now_us)

    @_contained
    def attempt_ended(self, request: str, attempt_index: int, proves_not_executed: bool) -> None:
        """An attempt has ended. `proves_not_executed`: it certainly was not executed."""
        record = self.requests.get(request)
        if record is not None and proves_not_executed:
            record.attempts_started_at_us.pop(attempt_index, None)

    # ---- connections, shutdown and operators -------------------------------------------------------------

    @_contained
    def connection_closed(self, connection: int, unanswered: int, by_client: bool) -> None:
        """A client's connection is closed while so many requests on it are unanswered."""
        if unanswered and not by_client:
            cause = f"{unanswered} requests were unanswered"
            self.report(
                Violation(InvariantRule.CLOSED_WITH_UNANSWERED_REQUESTS, cause, connection=connection)
            )

    @_contained
    def connection_open_after_drain(self, connection: int, youngest_us: int | None) -> None:
        """A connection is open when a drain's time is over.

        `youngest_us`: the age of its youngest unanswered request; None: it is idle.
        """
        if youngest_us is None or youngest_us < RECENT_REQUEST_US:
            cause = "idle" if youngest_us is None else f"its youngest request arrived {youngest_us} us ago"
            self.report(Violation(InvariantRule.OPEN_AFTER_DRAIN, cause, connection=connection))

    @_contained
    def answer_truncated(self, connection: int, in_flight_bytes: int) -> None:
        """The director closes a connection with bytes of answers in flight, before its last stage."""
        cause = f"{in_flight_bytes} bytes were in flight"
        self.report(Violation(InvariantRule.ANSWER_TRUNCATED, cause, connection=connection))

    @_contained
    def process_ended(self, after_us: int, kill_after_us: int) -> None:
        """The process exits `after_us` after SIGTERM; SIGKILL may come after `kill_after_us`."""
        if after_us > kill_after_us:
            cause = f"{after_us} us after SIGTERM, {kill_after_us} us are allowed"
            self.report(Violation(InvariantRule.EXITED_AFTER_KILL_TIME, cause))

    @_contained
    def commands_written(self, issued_version: int, written_version: int) -> None:
        """The operator command file was written: the version issued, and the version read back from it."""
        if written_version < issued_version:
            cause = f"version {written_version} is written, {issued_version} was issued"
            self.report(Violation(InvariantRule.OPERATOR_COMMAND_NOT_PERSISTED, cause))
