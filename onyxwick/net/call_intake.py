"""Admission of calls: answers, rejects or starts each complete FastCGI call of a connection.

The connection writes the answers and starts the requests. Nothing in this module waits.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from functools import partial
from typing import TYPE_CHECKING, Protocol

from onyxwick.core import AnswerStatus, ClientRequest, FinalAnswer, RequestEngine
from onyxwick.core.memory_account import HeldBytes, MemoryAccount
from onyxwick.core.reasons import ConnectionCloseReason, UnservedReason
from onyxwick.core.shutdown import ShutdownStage
from onyxwick.counters import Counters
from onyxwick.interface import RequestClass
from onyxwick.net import fastcgi
from onyxwick.net.errors import BadCallError
from onyxwick.net.fastcgi_calls import (
    CALL_PATH_PREFIX,
    PATH,
    REQUEST_ID,
    OwnerFields,
    encode_answer,
    read_request,
)

if TYPE_CHECKING:
    from onyxwick.cells.reservation import ConnectionReservation

PING_PATH = b"/ping"
READY_STATUS = "200 OK"
NOT_READY_STATUS = "503 Not Ready"
LOGGED_PATH_BYTES = 64
LOGGED_ID_BYTES = 16


class IntakePolicy(Protocol):
    """The state and the limits of the front by which a call is admitted or rejected."""

    core: RequestEngine
    counters: Counters
    is_ready: Callable[[], bool]
    classes: dict[str, RequestClass]
    owner_fields: OwnerFields
    budget: HeldBytes
    memory: MemoryAccount
    max_held_bytes: int
    reservation: ConnectionReservation | None
    closing_retry_us: int
    overload_retry_us: int

    def stage_at(self, now_s: float) -> ShutdownStage:
        """Return the shutdown stage at a monotonic time in seconds."""
        ...


class CallConnection(Protocol):
    """The connection on which a call arrived."""

    number: int
    cell: str | None
    is_closing: bool
    ignores_new_calls: bool
    half_closed_at_s: float
    arrived_us: int

    def begin_closing(self, reason: ConnectionCloseReason) -> None:
        """Close once all open calls are answered."""
        ...

    def send(self, number: int, data: bytes) -> None:
        """Queue the answer to a call for writing."""
        ...

    def start(self, number: int, request: ClientRequest) -> None:
        """Start a request; its call is open until the answer is queued."""
        ...

    def protocol_error(self, text: str) -> None:
        """Count and log invalid input of the client."""
        ...

    def has_unread_answers(self) -> bool:
        """Return whether the client has not read all of its answers so far."""
        ...

    def is_awaited(self, number: int) -> bool:
        """Return whether the client still waits for the answer to a call."""
        ...


class CallIntake:
    """Admits the calls of one connection."""

    def __init__(self, connection: CallConnection, policy: IntakePolicy) -> None:
        self.connection = connection
        self.policy = policy

    def handle(self, call: fastcgi.FastCgiCall) -> None:
        """Answer, reject or start one complete call."""
        connection = self.connection
        if connection.half_closed_at_s or connection.ignores_new_calls:
            # The client sent the call before it saw the connection close; it sends the call again.
            self.policy.counters.add("client.crossed")
            return
        if connection.is_closing:  # received before the end of stream is written: needs a final answer
            self._reject_overloaded(call, UnservedReason.CONNECTION_CLOSING, "answer.ending")
            return
        if not call.keep_connection:
            connection.begin_closing(ConnectionCloseReason.NO_KEEP_ALIVE)
        path = call.params.get(PATH, b"")
        if path == PING_PATH:
            self._answer_ping(call)
        elif path.startswith(CALL_PATH_PREFIX):
            self._start_call(call)
        else:
            self._reject_bad(call, f"unknown path {path[:LOGGED_PATH_BYTES]!r}", "404 Not Found")

    def _answer_ping(self, call: fastcgi.FastCgiCall) -> None:
        status = READY_STATUS if self.policy.is_ready() else NOT_READY_STATUS
        response = fastcgi.encode_response(call.request_number, status, {}, b"")
        self.connection.send(call.request_number, response)

    def _start_call(self, call: fastcgi.FastCgiCall) -> None:
        policy = self.policy
        arrived_us = self.connection.arrived_us
        try:
            request = read_request(call.params, call.body, arrived_us, policy.classes, policy.owner_fields)
        except BadCallError as error:
            self._reject_bad(call, str(error), "400 Bad Request")
            return
        request.is_client_waiting = partial(self.connection.is_awaited, call.request_number)
        request.connection_id = self.connection.number
        self._admit(call, request)

    def _admit(self, call: fastcgi.FastCgiCall, request: ClientRequest) -> None:
        """Start a request, or reject it if a limit is reached."""
        policy = self.policy
        if policy.stage_at(time.monotonic()) >= ShutdownStage.REJECT_NEW:
            # The connection is about to close, and new calls would keep it busy: the client retries on
            # another connection.
            self._reject(
                call, UnservedReason.REJECTED_IN_SHUTDOWN, "answer.passed_on", policy.closing_retry_us
            )
        elif not policy.memory.has_room(time.monotonic()):
            self._reject_overloaded(call, UnservedReason.MEMORY_LIMIT, "answer.overloaded")
        elif policy.budget.held_bytes > policy.max_held_bytes and self.connection.has_unread_answers():
            self._reject_overloaded(call, UnservedReason.UNREAD_ANSWER_LIMIT, "answer.overloaded")
        elif policy.reservation is not None and not self._reserve_in_cell(policy.reservation, request.tenant):
            self._reject(call, UnservedReason.CELL_FULL, "answer.cell_full", policy.overload_retry_us)
        else:
            self.connection.start(call.request_number, request)

    def _reserve_in_cell(self, reservation: ConnectionReservation, tenant: str | None) -> bool:
        """Return whether the quota of the tenant's cell admits this connection and one more unread answer.

        A connection counts towards the cell of its first call's tenant, as long as the plan has that cell.
        """
        connection = self.connection
        cell = reservation.cell_of(tenant)
        if cell is None:
            return True
        if connection.cell is None:
            if not reservation.connect(cell):
                connection.begin_closing(ConnectionCloseReason.SLOT_NEEDED)
                return False
            connection.cell = cell
        else:
            connection.cell = reservation.current_cell(connection.cell, cell)
        return not reservation.bytes_exhausted(connection.cell)

    # ---- rejections --------------------------------------------------------------------------------------

    def _reject(
        self, call: fastcgi.FastCgiCall, reason: UnservedReason, counter: str, retry_after_us: int
    ) -> None:
        """Answer with a rejection and the time in microseconds after which the client may retry."""
        self.policy.counters.add(counter)
        self._report_rejection(call, reason)
        answer = FinalAnswer(AnswerStatus.REJECTED, retry_after_us=retry_after_us)
        self.connection.send(call.request_number, encode_answer(call.request_number, answer))

    def _reject_overloaded(self, call: fastcgi.FastCgiCall, reason: UnservedReason, counter: str) -> None:
        """Answer with the FastCGI status OVERLOADED, which needs no memory for a response."""
        self.policy.counters.add(counter)
        self._report_rejection(call, reason)
        end = fastcgi.encode_end_request(call.request_number, fastcgi.ProtocolStatus.OVERLOADED)
        self.connection.send(call.request_number, end)

    def _reject_bad(self, call: fastcgi.FastCgiCall, text: str, status: str) -> None:
        """Answer an invalid call with an HTTP error status, and report it as invalid input."""
        self._report_rejection(call, UnservedReason.BAD_INPUT)
        self.connection.protocol_error(text)
        response = fastcgi.encode_response(call.request_number, status, {}, b"")
        self.connection.send(call.request_number, response)

    def _report_rejection(self, call: fastcgi.FastCgiCall, reason: UnservedReason) -> None:
        request_id = call.params.get(REQUEST_ID, b"")[:LOGGED_ID_BYTES].decode("latin-1")
        self.policy.core.record_unserved(reason, request_id, self.connection.number)
