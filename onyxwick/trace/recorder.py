"""Records requests while they are open, and collects ended requests in blocks.

The module takes a director's decisions and events, with times in microseconds of the director's clock. It
returns blocks of columns that are ready to be written. It does no I/O and has no clock. A request is recorded
completely, once it is answered and its last attempt has ended, or not at all. Omitted requests are counted.
"""

from __future__ import annotations

from array import array
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from onyxwick.interface import AttemptEnded, AttemptStatus, ForwardRequest, ForwardWithFill, RequestArrived
from onyxwick.routing.state import RequestState
from onyxwick.trace import format as f
from onyxwick.trace.model import (
    ATTEMPT_COLUMNS,
    CLIENT_RETRY_FLAG,
    NEVER,
    NON_IDEMPOTENT_FLAG,
    NOT_ENDED_STATUS,
    REQUEST_COLUMNS,
    STATUS_WORDS,
    WRITE_FLAG,
    DecisionReason,
    NotificationKind,
    RecordedVerdict,
)

MAX_BLOCK_REQUESTS = 4096
MAX_BLOCK_AGE_US = 1_000_000
"""A block is closed after this time to limit the loss in a crash."""
MAX_OPEN_REQUESTS = 8192
MAX_ATTEMPTS = 64
"""Maximum number of attempts of a request. A request with more attempts is omitted."""
MAX_NOTIFICATIONS = 4096
"""Maximum number of notifications in one block."""
MAX_BLOCK_STRINGS = 60_000
STATUS_NUMBER = {status: STATUS_WORDS.index(status.value) for status in AttemptStatus}
MAX_U16 = 0xFFFF
MAX_U32 = 0xFFFFFFFF
MAX_I16 = 0x7FFF
MAX_U64 = 0xFFFFFFFFFFFFFFFF
MAX_BYTE = 255
LIMIT_FACTOR_STEPS = 50
"""The factor on a member's concurrency limit is recorded as an integer, in fiftieths."""
MS_US = 1000
FNV_OFFSET = 0xCBF29CE484222325
FNV_PRIME = 0x100000001B3


@dataclass(slots=True)
class MemberEstimate:
    """The router's estimates of a member when it chose the member, and the reason for the choice."""

    reason: int = DecisionReason.UNKNOWN
    in_flight: int = 0
    limit_factor: float = 0.0
    failure_score: float = 0.0
    warm_share: float = 1.0


@dataclass(slots=True)
class RecordedAttempt:
    """One attempt. Times count from the arrival of its request; NEVER means that the event did not happen."""

    member: str
    fill_source: str
    retention_rank: int
    fill_options: int
    max_age_ms: int
    decided_us: int
    estimate: MemberEstimate
    sent_us: int = NEVER
    ended_us: int = NEVER
    cancelled_us: int = NEVER
    status: int = NOT_ENDED_STATUS
    detail: int = 0
    origin_date_us: int = 0


@dataclass(slots=True)
class RecordedRequest:
    """One open request."""

    arrival: RequestArrived
    arrived_us: int
    cell: str
    non_idempotent: bool
    attempts: list[RecordedAttempt] = field(default_factory=list)
    verdict: int = RecordedVerdict.OPEN
    reason: int = DecisionReason.UNKNOWN
    answered_after_us: int = 0
    retry_after_us: int = 0
    answer_bytes: int = 0
    state: RequestState | None = None
    """The router's state of the request, from which the reason of a final answer is derived."""

    def elapsed_us(self, now_us: int) -> int:
        """Return the time since the arrival, limited to the largest value that a column can store."""
        return min(now_us - self.arrived_us, NEVER - 1)


def id_number(name: str) -> int:
    """Return 16 hex digits as a number, and any other name as its hash."""
    try:
        return int(name, 16) & MAX_U64
    except ValueError:
        return f.mix64(fnv1a(name))


def fnv1a(text: str) -> int:
    """Return the 64-bit FNV-1a hash of a text. It is the same on every machine."""
    value = FNV_OFFSET
    for byte in text.encode():
        value = ((value ^ byte) * FNV_PRIME) & MAX_U64
    return value


class RecordedBlock:
    """The columns of a block that requests are being added to."""

    def __init__(self, now_us: int) -> None:
        self.started_us = now_us
        self.requests = f.empty_columns(REQUEST_COLUMNS)
        self.attempts = f.empty_columns(ATTEMPT_COLUMNS)
        self.strings: dict[str, int] = {"": 0}
        self.notifications: list[f.Notification] = []
        self.head = f.BlockHead()
        self.classes: set[str] = set()
        self.tenants: set[str] = set()
        self.cells: set[str] = set()
        self.members: set[str] = set()

    @property
    def is_full(self) -> bool:
        """Return whether the block has reached a limit and no further request should be added."""
        return len(self.requests["id"]) >= MAX_BLOCK_REQUESTS or len(self.strings) >= MAX_BLOCK_STRINGS

    @property
    def is_empty(self) -> bool:
        """Return whether the block contains neither requests nor notifications."""
        return not self.requests["id"] and not self.notifications

    def string_number(self, value: str) -> int:
        """Return the number of a string in this block, adding the string if it is new."""
        number = self.strings.get(value)
        if number is None:
            number = self.strings[value] = len(self.strings)
        return number

    def add(self, request: RecordedRequest) -> None:
        """Add an ended request with its attempts."""
        arrival = request.arrival
        head = self.head
        head.first = min(head.first or request.arrived_us, request.arrived_us)
        head.last = max(head.last, request.arrived_us + request.answered_after_us)
        head.verdicts |= 1 << request.verdict
        self.classes.add(arrival.class_name)
        self.tenants.add(arrival.tenant or "")
        self.cells.add(request.cell)
        for column, value in zip(self.requests.values(), self._request_row(request), strict=True):
            column.append(value)
        for attempt in request.attempts:
            self.members.add(attempt.member)
            for column, value in zip(self.attempts.values(), self._attempt_row(attempt), strict=True):
                column.append(value)

    def _request_row(self, request: RecordedRequest) -> tuple[int, ...]:
        """Return the values of a request in the order of REQUEST_COLUMNS."""
        arrival = request.arrival
        flags = CLIENT_RETRY_FLAG * arrival.is_retry
        flags |= WRITE_FLAG * arrival.is_write
        flags |= NON_IDEMPOTENT_FLAG * request.non_idempotent
        return (
            id_number(arrival.request_id),
            request.arrived_us,
            min(MAX_U32, arrival.expires_in_us),
            self.string_number(arrival.class_name),
            self.string_number(arrival.tenant or ""),
            self.string_number(request.cell),
            id_number(arrival.object_id),
            min(MAX_U16, arrival.part),
            -1 if arrival.object_group is None else min(MAX_I16, arrival.object_group),
            flags,
            request.verdict,
            request.reason,
            min(MAX_U32, request.answered_after_us),
            min(MAX_U32, request.retry_after_us),
            min(MAX_U32, request.answer_bytes),
            0,
            len(request.attempts),
        )

    def _attempt_row(self, attempt: RecordedAttempt) -> tuple[int, ...]:
        """Return the values of an attempt in the order of ATTEMPT_COLUMNS."""
        estimate = attempt.estimate
        return (
            attempt.decided_us,
            attempt.sent_us,
            attempt.ended_us,
            attempt.cancelled_us,
            self.string_number(attempt.member),
            self.string_number(attempt.fill_source),
            attempt.retention_rank,
            attempt.fill_options,
            min(MAX_U32, attempt.max_age_ms),
            attempt.status,
            attempt.detail,
            estimate.reason,
            min(MAX_U16, estimate.in_flight),
            min(MAX_BYTE, int(estimate.limit_factor * LIMIT_FACTOR_STEPS)),
            min(MAX_BYTE, int(estimate.failure_score * MAX_BYTE)),
            min(MAX_BYTE, int(estimate.warm_share * MAX_BYTE)),
            attempt.origin_date_us,
        )

    def encode(self) -> tuple[f.BlockHead, bytes]:
        """Return the head and the encoded frame. Runs in the writer thread to avoid delaying requests."""
        head = self.head
        head.lives = len(self.requests["id"])
        head.attempts = len(self.attempts["sent"])
        head.classes = sorted(self.classes)
        head.tenants = sorted(self.tenants)
        head.cells = sorted(self.cells)
        head.members = sorted(self.members)
        if head.lives:
            head.bloom = f.bloom_of([*self.requests["id"], *self.requests["object"]])
        head.told = len(self.notifications)
        times = [notification.at_us for notification in self.notifications]
        if times:
            head.first = min([head.first or times[0], *times])
            head.last = max([head.last, *times])
        columns = (_bytes(self.requests), _bytes(self.attempts))
        body = f.BlockBody(list(self.strings), *columns, self.notifications)
        return head, f.encode_frame(f.BLOCK, f.encode(head), f.encode(body))


def _bytes(columns: dict[str, array[int]]) -> dict[str, bytes]:
    return {name: column.tobytes() for name, column in columns.items()}


class Recorder:
    """Records requests. `write_block` takes a finished block and returns False if it cannot accept it now."""

    def __init__(
        self,
        now_us: int,
        write_block: Callable[[RecordedBlock], bool],
        non_idempotent_classes: frozenset[str] = frozenset(),
    ) -> None:
        self.write_block = write_block
        self.non_idempotent_classes = non_idempotent_classes
        self.open_requests: dict[str, RecordedRequest] = {}
        self.block = RecordedBlock(now_us)
        self.dropped = 0
        """Number of requests omitted since the last block was written."""

    # ---- events -----------------------------------------------------------------------------------------

    def on_request_arrived(self, now_us: int, arrival: RequestArrived, cell: str = "") -> None:
        """Start to record a request. It is omitted if too many are open or if its id is already open."""
        if len(self.open_requests) >= MAX_OPEN_REQUESTS or arrival.request_id in self.open_requests:
            self.dropped += 1
            return
        non_idempotent = arrival.class_name in self.non_idempotent_classes
        self.open_requests[arrival.request_id] = RecordedRequest(arrival, now_us, cell, non_idempotent)

    def on_attempt_started(
        self, now_us: int, action: ForwardRequest | ForwardWithFill, estimate: MemberEstimate
    ) -> None:
        """Record the decision to start an attempt."""
        request = self.open_requests.get(action.request_id)
        if request is None:
            return
        if len(request.attempts) >= MAX_ATTEMPTS:
            del self.open_requests[action.request_id]
            self.dropped += 1
            return
        decided_us = request.elapsed_us(now_us)
        if isinstance(action, ForwardRequest):
            request.attempts.append(RecordedAttempt(action.member, "", 0, 0, 0, decided_us, estimate))
            return
        attempt = RecordedAttempt(
            member=action.member,
            fill_source="" if action.fill_source == action.member else action.fill_source,
            retention_rank=action.retention_rank,
            fill_options=int(action.fill_options),
            max_age_ms=action.max_age_us // MS_US,
            decided_us=decided_us,
            estimate=estimate,
        )
        request.attempts.append(attempt)

    def on_attempt_sent(self, request_id: str, index: int, sent_us: int) -> None:
        """Record when the first byte of an attempt was sent."""
        request = self.open_requests.get(request_id)
        if request is not None and 0 <= index < len(request.attempts):
            request.attempts[index].sent_us = max(0, request.elapsed_us(sent_us))

    def record_non_idempotent_send(self, now_us: int, request_id: str, member: str) -> None:
        """Record that a non-idempotent write is about to be sent; written to disk with the next block."""
        request = self.open_requests.get(request_id)
        if request is None or not request.non_idempotent:
            return
        class_name = request.arrival.class_name
        data = {"id": id_number(request_id), "member": member, "class": class_name}
        self.record_notification(now_us, NotificationKind.SENT, data)

    def on_attempt_cancelled(self, now_us: int, request_id: str, index: int) -> None:
        """Record that an attempt is cancelled."""
        request = self.open_requests.get(request_id)
        if request is not None and 0 <= index < len(request.attempts):
            request.attempts[index].cancelled_us = request.elapsed_us(now_us)

    def on_attempt_ended(self, now_us: int, event: AttemptEnded, origin_date_us: int) -> None:
        """Record how an attempt ended. `origin_date_us` is the Unix time when the origin served the copy."""
        request = self.open_requests.get(event.request_id)
        if request is None or not 0 <= event.attempt_index < len(request.attempts):
            return
        attempt = request.attempts[event.attempt_index]
        attempt.ended_us = request.elapsed_us(now_us)
        attempt.status = STATUS_NUMBER[event.status]
        attempt.detail = event.detail.value
        attempt.origin_date_us = origin_date_us
        self._close_if_ended(now_us, event.request_id, request)

    def on_final_answer(
        self,
        now_us: int,
        request_id: str,
        verdict: RecordedVerdict,
        reason: DecisionReason,
        retry_after_us: int,
        answer_bytes: int,
    ) -> None:
        """Record the final answer, or that the client left. Only the first call for a request counts."""
        request = self.open_requests.get(request_id)
        if request is None or request.verdict:
            return
        request.verdict = verdict
        request.reason = reason
        request.answered_after_us = max(0, now_us - request.arrived_us)
        request.retry_after_us = retry_after_us
        request.answer_bytes = answer_bytes
        self._close_if_ended(now_us, request_id, request)

    def record_notification(self, now_us: int, kind: NotificationKind, data: dict[str, Any]) -> None:
        """Record a notification. It is omitted if the block is full and `write_block` does not accept it."""
        if len(self.block.notifications) >= MAX_NOTIFICATIONS:
            self.flush(now_us)
        if len(self.block.notifications) < MAX_NOTIFICATIONS:
            self.block.notifications.append(f.Notification(int(kind), now_us, data))

    # ---- blocks -----------------------------------------------------------------------------------------

    def _close_if_ended(self, now_us: int, request_id: str, request: RecordedRequest) -> None:
        """Move a request into the block if it is answered and all of its attempts have ended."""
        ended = all(attempt.status != NOT_ENDED_STATUS for attempt in request.attempts)
        if not request.verdict or not ended:
            return
        del self.open_requests[request_id]
        self.block.add(request)
        if self.block.is_full:
            self.flush(now_us)

    def tick(self, now_us: int) -> None:
        """Close the block if it has reached its maximum age. Must be called several times per second."""
        if now_us - self.block.started_us >= MAX_BLOCK_AGE_US:
            self.flush(now_us)

    def flush(self, now_us: int) -> None:
        """Pass the block to `write_block` and start a new block.

        If the block is not accepted, its requests are omitted and its notifications go into the new block.
        """
        block = self.block
        if block.is_empty and not self.dropped:
            block.started_us = now_us
            return
        block.head.open = len(self.open_requests)
        block.head.dropped = self.dropped
        self.block = RecordedBlock(now_us)
        if self.write_block(block):
            self.dropped = 0
        else:
            self.dropped += len(block.requests["id"])
            self.block.notifications = block.notifications[-MAX_NOTIFICATIONS:]

    def finish(self, now_us: int) -> None:
        """Record the requests that are still open with the verdict OPEN, and pass on the last block."""
        for request_id, request in list(self.open_requests.items()):
            if not request.answered_after_us:
                request.answered_after_us = max(0, now_us - request.arrived_us)
            del self.open_requests[request_id]
            self.block.add(request)
        self.record_notification(now_us, NotificationKind.STOP, {})
        self.flush(now_us)
