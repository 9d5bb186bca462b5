"""Calls of one connection as they come whole: answered at once, refused, or started as requests."""

from __future__ import annotations

import time
from functools import partial
from typing import TYPE_CHECKING

from onyxwick.core import AnswerStatus, ClientRequest, FinalAnswer
from onyxwick.core.reasons import ConnectionCloseReason, RejectionReason
from onyxwick.core.shutdown import ShutdownStage
from onyxwick.net import fastcgi
from onyxwick.net.fastcgi_calls import answer_bytes, read_request

if TYPE_CHECKING:
    from onyxwick.cells.reservation import ConnectionReservation
    from onyxwick.net.front_connection import FrontConnection


class CallIntake:
    """Decides, call by call, what becomes of it; the connection carries it out."""

    def __init__(self, client: FrontConnection) -> None:
        self.client, self.front = client, client.front

    def take(self, call: fastcgi.FastCgiCall) -> None:
        """One whole call."""
        client, counters = self.client, self.front.counters
        if client.shut_at or client.hears_no_more:
            counters.add("client.crossed")  # sent as the close came: the client sends it again
            return
        if client.ending:  # it has come before the end was written: it is owed an answer, and no more
            counters.add("answer.ending")
            self._refused(call, RejectionReason.CONNECTION_CLOSING)
            return client.send(
                call.number, fastcgi.end_request(call.number, fastcgi.ProtocolStatus.OVERLOADED)
            )
        if not call.keep:
            client.end_with(ConnectionCloseReason.NO_KEEP_ALIVE)
        name = call.params.get(b"SCRIPT_NAME", b"")
        if name == b"/ping":
            status = "200 OK" if self.front.ready() else "503 Not Ready"
            return client.send(call.number, fastcgi.answer(call.number, status, {}, b""))
        if not name.startswith(b"/call/"):
            return self._bad_call(call, f"path {name[:64]!r}", "404 Not Found")
        try:
            request = self._read(call)
        except ValueError as error:
            return self._bad_call(call, str(error), "400 Bad Request")
        return self._let_in(call, request)

    def _read(self, call: fastcgi.FastCgiCall) -> ClientRequest:
        front, client = self.front, self.client
        params, arrived_us = call.params, client.arrived_us
        request = read_request(params, call.body, arrived_us, front.classes, front.owner_fields)
        request.is_wanted = partial(client.wants, call.number)
        request.connection_id = client.number
        return request

    def _let_in(self, call: fastcgi.FastCgiCall, request: ClientRequest) -> None:
        """Start a request, or refuse it where it can't be let in."""
        front = self.front
        if front.stage_at(time.monotonic()) >= ShutdownStage.REJECT_NEW:
            # The connection is to end and would never come free: the client tries again, on a new one.
            return self._refuse(
                call, RejectionReason.REJECTED_IN_SHUTDOWN, "answer.passed_on", front.refused_us
            )
        if front.budget.held > front.most_held:
            front.counters.add("answer.overloaded")
            self._refused(call, RejectionReason.UNREAD_ANSWER_LIMIT)
            end = fastcgi.end_request(call.number, fastcgi.ProtocolStatus.OVERLOADED)
            return self.client.send(call.number, end)
        if front.holding is not None and not self._placed(front.holding, request.tenant):
            return self._refuse(call, RejectionReason.CELL_FULL, "answer.cell_full", front.retry_us)
        return self.client.start(call.number, request)

    def _refuse(
        self, call: fastcgi.FastCgiCall, reason: RejectionReason, counted: str, retry_after_us: int
    ) -> None:
        self.front.counters.add(counted)
        self._refused(call, reason)
        answer = FinalAnswer(AnswerStatus.REJECTED, retry_after_us=retry_after_us)
        self.client.send(call.number, answer_bytes(call.number, answer))

    def _refused(self, call: fastcgi.FastCgiCall, reason: RejectionReason) -> None:
        name = call.params.get(b"HTTP_X_REQUEST_ID", b"")[:16].decode("latin-1")
        self.front.core.record_rejection(reason, name, self.client.number)

    def _bad_call(self, call: fastcgi.FastCgiCall, text: str, status: str) -> None:
        self._refused(call, RejectionReason.BAD_INPUT)
        self.client.fault(text)
        self.client.send(call.number, fastcgi.answer(call.number, status, {}, b""))

    def _placed(self, holding: ConnectionReservation, tenant: str | None) -> bool:
        """Is there room in its cell's part for this connection and for one more unread answer?

        A connection counts for the tenant that asked on it first.
        """
        client, cell = self.client, holding.cell_of(tenant)
        if cell is None:
            return True
        if client.cell is None:
            if not holding.connect(cell):
                client.end_with(ConnectionCloseReason.SLOT_NEEDED)
                return False
            client.cell = cell
        return not holding.full(client.cell)
