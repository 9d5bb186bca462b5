"""Run-time checks of each attempt when its first byte is sent.

The checks cover the client, the member, purges, retries, the timeout and slow start. They take changes of the
endpoint list, purges, and attempts as they start, and pass violations to `report`. The module does no I/O;
times are in steady microseconds. The checks keep their own tables, independent of the tables of the code that
enforces the rules. The size of the tables is bounded by the members listed, and by the purges whose retention
has not ended.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from onyxwick.core.endpoints import PurgeScope
from onyxwick.core.invariant_model import AttemptStarted, InvariantRule, PurgeRecord, RequestRecord, Violation
from onyxwick.interface import (
    EndpointListKind,
    EndpointsChanged,
    Idempotency,
    Member,
    MemberState,
    RouterSettings,
    WeightSource,
)

MAX_SEND_AFTER_DEPARTURE_US = 100_000
"""An attempt that starts more than this long after its client disconnected is a violation."""
TIMEOUT_SLACK_US = 150_000
"""The timeout sent to a member may exceed the time that the client still waits by at most this much."""
SOCKET_SLACK_US = 50_000
"""The checks extend each limit of a drain or a purge by this time, because attempts are sent over sockets."""
SMALL_LIMIT_REQUESTS = 30
SMALL_LIMIT_DEVIATIONS = 3
LIMIT_DEVIATIONS = 2
"""A slow-start limit of N requests is checked with slack: N + 2 sqrt(N) + 2 requests are tolerated, or N + 3
sqrt(N) + 3 if N is under 30."""
MAX_PURGES = 8192
"""Purges that are checked; an older one goes unchecked."""
MAX_REMEMBERED_ENTRIES = 4096
"""At most this many sends to each recovering member, and this many removed members, are remembered."""


def slow_start_limit(allowed: float) -> float:
    """Return how many requests a recovering member may get if the settings allow `allowed` on average."""
    deviations = SMALL_LIMIT_DEVIATIONS if allowed < SMALL_LIMIT_REQUESTS else LIMIT_DEVIATIONS
    return allowed + deviations * math.sqrt(max(0.0, allowed)) + deviations


@dataclass(slots=True)
class _Send:
    sent_at_us: int
    cost: float
    """Mean transfer time of the request's class, as a multiple of the mean over all classes."""


@dataclass(slots=True)
class _MemberRecord:
    member: Member
    unavailable_since_us: int = 0
    sends: deque[_Send] | None = None
    """Recent sends while the member is recovering; None otherwise."""


class AttemptInvariants:
    """Checks the attempts of one director.

    `mean_transfer_us` returns the mean transfer time of each class for which it is known.
    """

    def __init__(
        self,
        settings: RouterSettings,
        report: Callable[[Violation], None],
        mean_transfer_us: Callable[[], Mapping[str, float]],
    ) -> None:
        self.settings = settings
        self.rules = settings.rules
        self.report = report
        self.mean_transfer_us = mean_transfer_us
        self.classes = {request_class.name: request_class for request_class in settings.classes}
        self.members: dict[str, _MemberRecord] = {}
        self.removed_at_us: dict[str, int] = {}  # members that have left the list, oldest first
        self.purges: dict[PurgeScope, PurgeRecord] = {}  # in order of receipt, oldest first

    def endpoints_changed(self, event: EndpointsChanged, now_us: int) -> None:
        """Apply a complete endpoint list or a change of it, in the form that the router receives."""
        if event.kind is EndpointListKind.UNAVAILABLE:
            return
        if event.kind is not EndpointListKind.CHANGE:
            received_names = {member.address for member in event.members}
            for name in [name for name in self.members if name not in received_names]:
                self._remove(name, now_us)
        for member in event.members:
            if member.state is MemberState.REMOVED:
                self._remove(member.address, now_us)
            else:
                self._update(member, now_us)

    def _update(self, member: Member, now_us: int) -> None:
        record = self.members.get(member.address)
        if record is None:
            record = self.members[member.address] = _MemberRecord(member)
            self.removed_at_us.pop(member.address, None)
        elif member.started_at_us != record.member.started_at_us:
            record.sends = None
        record.member = member
        if member.state is MemberState.READY:
            record.unavailable_since_us = 0
        else:
            record.unavailable_since_us = record.unavailable_since_us or now_us

    def _remove(self, name: str, now_us: int) -> None:
        if self.members.pop(name, None) is not None:
            self.removed_at_us[name] = now_us
            while len(self.removed_at_us) > MAX_REMEMBERED_ENTRIES:
                del self.removed_at_us[next(iter(self.removed_at_us))]

    def object_purged(self, object_group: int, object_id: str | None, purged_at_us: int, now_us: int) -> None:
        """Record a received purge of an object, or of a group if `object_id` is None."""
        scope = PurgeScope(object_group, None) if object_id is None else PurgeScope(None, object_id)
        previous = self.purges.pop(scope, PurgeRecord(0, 0))
        self.purges[scope] = PurgeRecord(max(purged_at_us, previous.purged_at_us), now_us)
        oldest = next(iter(self.purges))
        while self.purges[oldest].received_at_us < now_us - 2 * self.rules.purge_retention_us:
            del self.purges[oldest]
            oldest = next(iter(self.purges))
        if len(self.purges) > MAX_PURGES:
            del self.purges[oldest]

    def check(self, record: RequestRecord, attempt: AttemptStarted, now_us: int) -> None:
        """Check an attempt whose first bytes have been sent, and report each violated rule."""
        self._check_client_waits(record, attempt, now_us)
        self._check_members_available(attempt, now_us)
        self._check_purges(record, attempt, now_us)
        self._check_retry(record, attempt, now_us)
        self._check_timeout(record, attempt, now_us)
        self._check_slow_start(record, attempt, now_us)

    def _report(self, rule: InvariantRule, cause: str, attempt: AttemptStarted) -> None:
        self.report(Violation(rule, cause, attempt.request, attempt.attempt_index, member=attempt.member))

    def _check_client_waits(self, record: RequestRecord, attempt: AttemptStarted, now_us: int) -> None:
        if record.departed_at_us and now_us - record.departed_at_us > MAX_SEND_AFTER_DEPARTURE_US:
            cause = f"{now_us - record.departed_at_us} us after its client disconnected"
            self._report(InvariantRule.SENT_AFTER_CLIENT_DEPARTED, cause, attempt)
        if record.answered_at_us:
            cause = f"{now_us - record.answered_at_us} us after its final answer"
            self._report(InvariantRule.SENT_AFTER_ANSWER, cause, attempt)

    def _check_members_available(self, attempt: AttemptStarted, now_us: int) -> None:
        for name in (attempt.member, attempt.fill_source):
            if name is None:
                continue
            record = self.members.get(name)
            removed_at_us = self.removed_at_us.get(name, 0)
            since_us = removed_at_us if record is None else record.unavailable_since_us
            late_us = now_us - since_us
            if since_us and late_us > self.rules.drain_grace_us + SOCKET_SLACK_US:
                cause = f"{name} has been draining or removed for {late_us} us"
                self._report(InvariantRule.SENT_TO_UNAVAILABLE_MEMBER, cause, attempt)

    def _check_purges(self, record: RequestRecord, attempt: AttemptStarted, now_us: int) -> None:
        request_class = self.classes.get(record.class_name)
        if request_class is None or request_class.is_write or attempt.member not in self.members:
            return
        if self.members[attempt.member].member.kind == self.settings.origin_kind:
            return
        max_age_us = attempt.max_age_us or request_class.freshness_lifetime_us or now_us
        for scope in (PurgeScope(record.object_group, None), PurgeScope(None, record.object_id)):
            purge = self.purges.get(scope)
            if purge is None or not purge.purged_at_us:
                continue
            binding_from_us = purge.received_at_us + self.rules.purge_grace_us + SOCKET_SLACK_US
            # After the retention time the caches have applied the purge themselves.
            binding_until_us = purge.purged_at_us + self.rules.purge_retention_us
            oldest_accepted_us = now_us - max_age_us
            if (
                binding_from_us < now_us < binding_until_us
                and oldest_accepted_us < purge.purged_at_us - SOCKET_SLACK_US
            ):
                purged_ago_us = now_us - purge.purged_at_us
                cause = f"accepts copies up to {max_age_us} us old of an object purged {purged_ago_us} us ago"
                self._report(InvariantRule.PURGED_COPY_ACCEPTED, cause, attempt)

    def _check_retry(self, record: RequestRecord, attempt: AttemptStarted, now_us: int) -> None:
        request_class = self.classes.get(record.class_name)
        if request_class is None or request_class.idempotency is Idempotency.IDEMPOTENT:
            return
        others_us = [
            started_at_us
            for index, started_at_us in record.attempts_started_at_us.items()
            if index != attempt.attempt_index
        ]
        if not others_us:
            return
        elapsed_us = now_us - min(others_us)
        if (
            request_class.idempotency is Idempotency.NON_IDEMPOTENT
            or elapsed_us > request_class.key_window_us
        ):
            cause = f"an attempt that may have been executed started {elapsed_us} us ago"
            self._report(InvariantRule.UNSAFE_RETRY, cause, attempt)

    def _check_timeout(self, record: RequestRecord, attempt: AttemptStarted, now_us: int) -> None:
        left_us = record.deadline_us - now_us
        if attempt.remaining_us > left_us + TIMEOUT_SLACK_US:
            cause = f"sent a timeout of {attempt.remaining_us} us, but the client waits for only {left_us} us"
            self._report(InvariantRule.TIMEOUT_EXCEEDS_DEADLINE, cause, attempt)

    def _check_slow_start(self, record: RequestRecord, attempt: AttemptStarted, now_us: int) -> None:
        if self.settings.weight_source is WeightSource.NONE:
            return
        for name in {attempt.member, attempt.fill_source}:
            member = self.members.get(name) if name is not None else None
            if member is not None and member.member.started_at_us:
                self._count_send(member, record.class_name, attempt, now_us)

    def _count_send(
        self, record: _MemberRecord, class_name: str, attempt: AttemptStarted, now_us: int
    ) -> None:
        member = record.member
        ramp_us = self._ramp_us(member)
        age_us = now_us - member.started_at_us
        mean_transfer_us = self.mean_transfer_us()
        if (
            age_us >= ramp_us
            or not mean_transfer_us
            or member.weight <= 0
            or member.kind == self.settings.origin_kind
        ):
            record.sends = None
            return
        mean_us = sum(mean_transfer_us.values()) / len(mean_transfer_us)
        window_us = self.rules.overload_window_us
        if record.sends is None:
            record.sends = deque(maxlen=MAX_REMEMBERED_ENTRIES)
        sends = record.sends
        while sends and sends[0].sent_at_us <= now_us - window_us:
            sends.popleft()
        sends.append(_Send(now_us, mean_transfer_us.get(class_name, mean_us) / mean_us))
        allowed = self._warm_capacity_share(member, age_us) * member.weight * window_us / mean_us
        sent = sum(send.cost for send in sends)
        if sent > slow_start_limit(allowed):
            cause = f"{sent:.1f} requests of mean work sent in the window, {allowed:.1f} allowed on average"
            self._report(InvariantRule.SLOW_START_LIMIT_EXCEEDED, cause, attempt)

    def _ramp_us(self, member: Member) -> int:
        is_parent = member.kind == self.settings.parent_kind
        return self.rules.parent_warm_up_us if is_parent else self.rules.warm_up_us

    def _warm_capacity_share(self, member: Member, age_us: int) -> float:
        """Return the load that a member may be sent at this age, as a multiple of its weight.

        It is the member's warm-up share at this age times the overload multiple: a member that gets this many
        times the load of its warm-up is overloaded.
        """
        rules = self.rules
        if member.kind == self.settings.parent_kind:
            start_share = rules.parent_warm_up_start_share
            multiple = rules.parent_overload_multiple
        else:
            start_share = rules.warm_up_start_share
            multiple = rules.overload_multiple
        share = start_share + (1 - start_share) * max(0, age_us) / self._ramp_us(member)
        return multiple * share
