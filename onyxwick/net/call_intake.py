"""Calls of one connection as they come whole: answered at once, refused, or started as requests."""

from __future__ import annotations

import time
from functools import partial
from typing import TYPE_CHECKING

from onyxwick.core import AnswerStatus, ClientRequest, FinalAnswer
from onyxwick.core.reasons import ConnectionCloseReason, RejectionReason
from onyxwick.core.shutdown import ShutdownStage
from onyxwick.net import fastcgi
from onyxwick.net.fastcgi_calls import encode_answer, read_request

if TYPE_CHECKING:
    from onyxwick.cells.reservation import ConnectionReservation
    from onyxwick.net.front_connection import FrontConnection


class CallIntake:
    """Decides, call by call, what becomes of it; the connection carries it out."""

    def __init__(self, client: FrontConnection) -> None:
        self.connection, self.front = client, client.front

    def handle(self, call: fastcgi.FastCgiCall) -> None:
        """One whole call."""
        client, counters = self.connection, self.front.counters
        if client.half_closed_at_s or client.ignores_new_calls:
            counters.add("client.crossed")  # sent as the close came: the client sends it again
            return
        if client.is_closing:  # it has come before the end was written: it is owed an answer, and no more
            counters.add("answer.ending")
            self._report_rejection(call, RejectionReason.CONNECTION_ENDING)
            return client.send(
                call.request_number,
                fastcgi.encode_end_request(call.request_number, fastcgi.ProtocolStatus.OVERLOADED),
            )
        if not call.keep_connection:
            client.begin_closing(ConnectionCloseReason.NOT_KEPT)
        name = call.params.get(b"SCRIPT_NAME", b"")
        if name == b"/ping":
            status = "200 OK" if self.front.is_ready() else "503 Not Ready"
            return client.send(
                call.request_number, fastcgi.encode_response(call.request_number, status, {}, b"")
            )
        if not name.startswith(b"/call/"):
            return self._bad_call(call, f"path {name[:64]!r}", "404 Not Found")
        try:
            request = self._read(call)
        except ValueError as error:
            return self._bad_call(call, str(error), "400 Bad Request")
        return self._admit(call, request)

    def _read(self, call: fastcgi.FastCgiCall) -> ClientRequest:
        front, client = self.front, self.connection
        params, arrived_us = call.params, client.arrived_us
        request = read_request(params, call.body, arrived_us, front.classes, front.owner_fields)
        request.is_wanted = partial(client.is_awaited, call.request_number)
        request.connection_id = client.number
        return request

    def _admit(self, call: fastcgi.FastCgiCall, request: ClientRequest) -> None:
        """Start a request, or refuse it where it can't be let in."""
        front = self.front
        if front.stage_at(time.monotonic()) >= ShutdownStage.REFUSES:
            # The connection is to end and would never come free: the client tries again, on a new one.
            return self._reject(call, RejectionReason.PASSED_ON, "answer.passed_on", front.closing_retry_us)
        if front.budget.held_bytes > front.max_held_bytes:
            front.counters.add("answer.overloaded")
            self._report_rejection(call, RejectionReason.UNREAD_ANSWERS)
            end = fastcgi.encode_end_request(call.request_number, fastcgi.ProtocolStatus.OVERLOADED)
            return self.connection.send(call.request_number, end)
        if front.reservation is not None and not self._reserve_in_cell(front.reservation, request.tenant):
            return self._reject(call, RejectionReason.CELL_FULL, "answer.cell_full", front.overload_retry_us)
        return self.connection.start(call.request_number, request)

    def _reject(
        self, call: fastcgi.FastCgiCall, reason: RejectionReason, counted: str, retry_after_us: int
    ) -> None:
        self.front.counters.add(counted)
        self._report_rejection(call, reason)
        answer = FinalAnswer(AnswerStatus.REJECTED, retry_after_us=retry_after_us)
        self.connection.send(call.request_number, encode_answer(call.request_number, answer))

    def _report_rejection(self, call: fastcgi.FastCgiCall, reason: RejectionReason) -> None:
        name = call.params.get(b"HTTP_X_REQUEST_ID", b"")[:16].decode("latin-1")
        self.front.core.refused(reason, name, self.connection.number)

    def _bad_call(self, call: fastcgi.FastCgiCall, text: str, status: str) -> None:
        self._report_rejection(call, RejectionReason.BAD_INPUT)
        self.connection.protocol_error(text)
        self.connection.send(
            call.request_number, fastcgi.encode_response(call.request_number, status, {}, b"")
        )

    def _reserve_in_cell(self, holding: ConnectionReservation, tenant: str | None) -> bool:
        """Is there room in its cell's part for this connection and for one more unread answer?

        A connection counts for the tenant that asked on it first.
        """
        client, cell = self.connection, holding.cell_of(tenant)
        if cell is None:
            return True
        if client.cell is None:
            if not holding.connect(cell):
                client.begin_closing(ConnectionCloseReason.PLACE_NEEDED)
                return False
            client.cell = cell
        return not holding.full(client.cell)
