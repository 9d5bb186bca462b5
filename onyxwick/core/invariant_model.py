"""The rules that are checked at run time, and the records that the checks go by. Types only.

Times in steady microseconds.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple


class InvariantRule(Enum):
    """What must never happen. Counted as `violation.VALUE`; the values stay as they are."""

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
    """A check itself raised an error."""


@dataclass(frozen=True, slots=True)
class Violation:
    """One violated rule: what it concerns, and in `cause` the facts that prove it."""

    rule: InvariantRule
    cause: str
    request: str = ""
    attempt: int = -1
    connection: int = -1
    member: str = ""


@dataclass(frozen=True, slots=True)
class AttemptStarted:
    """The first bytes of an attempt have been sent."""

    request: str
    attempt_index: int
    member: str
    fill_source: str | None
    max_age_us: int
    """Age of the oldest copy that may answer; 0: the class's freshness lifetime."""
    remaining_us: int
    """The timeout that the member was sent."""


@dataclass(slots=True)
class RequestRecord:
    """What the checks know of an open request."""

    class_name: str
    object_group: int | None
    object_id: str
    deadline_us: int
    admitted_at_us: int
    departed_at_us: int = 0
    answered_at_us: int = 0
    attempts_started_at_us: dict[int, int] = field(default_factory=dict)
    """By attempt index; only attempts that may have been executed."""


class PurgeRecord(NamedTuple):
    """When a purge was made, and when it was received."""

    purged_at_us: int
    received_at_us: int
