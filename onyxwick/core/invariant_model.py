"""The types of the run-time checks: the rules, and the records that the checks use.

Times are in steady microseconds.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple


class InvariantRule(Enum):
    """Rules that must never be violated. Counted as `violation.VALUE`, so the values must not change."""

    SENT_AFTER_CLIENT_DEPARTED = "sent_for_departed"
    SENT_AFTER_ANSWER = "sent_after_answer"
    SENT_TO_UNAVAILABLE_MEMBER = "sent_to_unready"
    PURGED_COPY_ACCEPTED = "sent_over_purge"
    UNSAFE_RETRY = "repeated_unsafely"
    TIMEOUT_EXCEEDS_DEADLINE = "time_told"
    SLOW_START_LIMIT_EXCEEDED = "slow_start"
    DUPLICATE_ANSWER = "second_answer"
    NO_ANSWER = "no_answer"
    LATE_ANSWER = "late_answer"
    CLOSED_WITH_UNANSWERED_REQUESTS = "closed_owing"
    OPERATOR_COMMAND_NOT_PERSISTED = "command_unwritten"
    OPEN_AFTER_DRAIN = "held_in_drain"
    ANSWER_TRUNCATED = "answer_cut"
    EXITED_AFTER_KILL_TIME = "outlived_kill"
    CHECK_FAILED = "check_failed"
    """A check itself raised an exception."""


@dataclass(frozen=True, slots=True)
class Violation:
    """One violation of a rule, and what it concerns. `cause` gives the facts that prove it."""

    rule: InvariantRule
    cause: str
    request: str = ""
    attempt: int = -1
    connection: int = -1
    member: str = ""


@dataclass(frozen=True, slots=True)
class AttemptStarted:
    """An attempt whose first bytes have been sent."""

    request: str
    attempt_index: int
    member: str
    fill_source: str | None
    max_age_us: int
    """Maximum age of a copy that may be the answer; 0 means the freshness lifetime of the class."""
    remaining_us: int
    """The timeout that was sent to the member."""


@dataclass(slots=True)
class RequestRecord:
    """The data that the checks hold of an open request. A time of 0 means that it has not happened."""

    class_name: str
    object_group: int | None
    object_id: str
    deadline_us: int
    admitted_at_us: int
    departed_at_us: int = 0
    answered_at_us: int = 0
    attempts_started_at_us: dict[int, int] = field(default_factory=dict)
    """Start times of the attempts that may have been executed, by attempt index."""


class PurgeRecord(NamedTuple):
    """The times at which a purge was made and received."""

    purged_at_us: int
    received_at_us: int
