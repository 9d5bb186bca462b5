"""Handles one DNS message: checks it, enforces quotas and selects what answers it.

Static names are answered from the zone's data and routed names by the core; updates change the zone.
"""

from __future__ import annotations

import struct
from collections.abc import Callable
from functools import partial
from typing import TYPE_CHECKING

import dns.exception
import dns.flags
import dns.message
import dns.opcode
import dns.rcode
import dns.rdataclass
import dns.rdatatype
import dns.tsig
import dns.update

from onyxwick import logs
from onyxwick.background_work import BackgroundWork
from onyxwick.counters import Counters
from onyxwick.dns import lookup, messages
from onyxwick.dns.open_queries import OpenQueries
from onyxwick.dns.routed_names import RoutedNames
from onyxwick.dns.turn_budget import TurnBudget
from onyxwick.dns.zone_updates import ZoneUpdates
from onyxwick.tenant_errors import TooManyCallsError
from onyxwick.tenants import Tenants
from onyxwick.zones import TenantZone, UnreadZone

if TYPE_CHECKING:
    from onyxwick.store.durable_state import DurableState

log = logs.get()
SendBytes = Callable[[bytes], None]
"""Sends an answer's bytes to the client."""
MAX_INLINE_BYTES = 4096
"""Longer messages, which are updates, are parsed outside the event loop."""
FREE_LABELS = 16
"""A name outside all zones with more labels, which nobody is charged for, is not parsed."""
SQUARED_LABELS_PER_TOKEN = 400
"""The time of a query grows with the square of its labels: one of 120 takes as long as 40 short ones."""
RECORDS_PER_TOKEN = 32
NO_TENANT = ""
LONG_MESSAGES = "long messages"
"""The owner of the work of parsing, as the sender is known only after it."""
ZONE_TRANSFER_TYPES = (dns.rdatatype.AXFR, dns.rdatatype.IXFR)


class QueryHandler:
    """Answers for the tenants' zones. If `durable` is set, updates are durable before they are answered."""

    def __init__(
        self,
        tenants: Tenants,
        routed_names: RoutedNames,
        counters: Counters,
        durable: DurableState | None,
        work: BackgroundWork,
    ) -> None:
        self.tenants = tenants
        self.routed_names = routed_names
        self.counters = counters
        self.budget = TurnBudget()
        self.open_queries = OpenQueries()
        self.work = work
        self.updates = ZoneUpdates(tenants, counters, durable, work)

    async def handle(self, wire: bytes, over_udp: bool, send: SendBytes) -> None:
        """Answer one message, for which `is_query` must hold.

        Calls `send` once, or never if the core drops the request.
        """
        try:
            await self.budget.wait()
            with self.budget:
                owner = self._admit(wire, send)
            if owner is None:
                return
            with self.open_queries.counted(owner):
                query = await self._parse(wire, send)
                if query is not None:
                    await self._answer(query, over_udp, send)
        except TooManyCallsError:
            self.counters.add("dns.overloaded")
            send(messages.error_response(wire, dns.rcode.SERVFAIL))
        except Exception:
            # An internal error in one query must not stop the front; the client gets SERVFAIL.
            self.counters.add("error.dns")
            log.exception("internal error in a DNS query")
            send(messages.error_response(wire, dns.rcode.SERVFAIL))

    def _admit(self, wire: bytes, send: SendBytes) -> str | None:
        """Charge a message to the tenant whose zone it asks for, before it is parsed.

        Returns the tenant's name, empty for none. Returns None once the message is answered: over the
        tenant's quota or its share of open queries, for a zone that is not parsed yet, or with a long name
        outside all zones.
        """
        question = messages.read_question(wire)
        if question is None:
            return NO_TENANT  # the parser rejects it
        zone = self.tenants.nearest_zone_of_labels(question.labels)
        if zone is None:
            if len(question.labels) <= FREE_LABELS:
                return NO_TENANT
            self._reject(question, wire, dns.rcode.REFUSED, send)
            return None
        if isinstance(zone, UnreadZone):
            self.counters.add(f"dns.unread.{zone.tenant}")
            self._reject(question, wire, dns.rcode.SERVFAIL, send)
            return None
        quota = self.tenants.tenants[zone.tenant].quota
        if not self.open_queries.has_room(zone.tenant) or not quota.take():
            self.counters.add(f"dns.quota.{zone.tenant}")
            self._reject(question, wire, dns.rcode.SERVFAIL, send)
            return None
        quota.charge(len(question.labels) ** 2 // SQUARED_LABELS_PER_TOKEN)
        return zone.tenant

    def _reject(
        self, question: messages.RawQuestion, wire: bytes, rcode: dns.rcode.Rcode, send: SendBytes
    ) -> None:
        self.counters.add(f"dns.answer.{dns.rcode.to_text(rcode)}")
        send(question.error_response(wire, rcode))

    async def _parse(self, wire: bytes, send: SendBytes) -> dns.message.Message | None:
        """Parse a message, a long one in a thread. Returns None if it is rejected."""
        if len(wire) <= MAX_INLINE_BYTES:
            with self.budget:
                return self._read(wire, send)
        return await self.work.do(LONG_MESSAGES, partial(self._read, wire, send))

    def count_bad_input(self, detail: str) -> None:
        """Count and log input that is not a query or cannot be parsed."""
        self.counters.add("bad.dns")
        log.warning("bad input to the DNS front", detail=detail)

    def _read(self, wire: bytes, send: SendBytes) -> dns.message.Message | None:
        if messages.opcode_of(wire) not in (dns.opcode.QUERY, dns.opcode.UPDATE):
            self.counters.add("dns.notimp")
            send(messages.error_response(wire, dns.rcode.NOTIMP))
            return None
        try:
            return dns.message.from_wire(wire, keyring=self.tenants.keys)
        except (
            dns.tsig.BadTime,
            dns.tsig.PeerError,
            dns.tsig.BadSignature,
            dns.message.UnknownTSIGKey,
        ) as error:
            self.count_bad_input(f"TSIG: {error!r}")
            send(messages.error_response(wire, dns.rcode.NOTAUTH))
        except (dns.exception.DNSException, ValueError, struct.error) as error:
            self.count_bad_input(f"message: {error!r}")
            send(messages.error_response(wire, dns.rcode.FORMERR))
        return None

    async def _answer(self, query: dns.message.Message, over_udp: bool, send: SendBytes) -> None:
        response = dns.message.make_response(query, our_payload=messages.MAX_UDP_BYTES)

        def send_response() -> None:
            self.counters.add(f"dns.answer.{dns.rcode.to_text(response.rcode())}")
            send(messages.encode_response(query, response, over_udp))

        zone = self._zone_for(query, response)
        if zone is None:
            send_response()
            return
        self.counters.add(f"dns.query.{zone.tenant}")
        name = query.question[0].name
        if isinstance(query, dns.update.UpdateMessage):
            response.set_rcode(await self.updates.apply(zone, query))
        elif zone.routed is not None and name.is_subdomain(zone.routed):
            response.flags |= dns.flags.AA
            if await self.routed_names.answer(zone, query, response, send_response):
                return
        else:
            with self.budget:
                response.flags |= dns.flags.AA
                self._answer_static(zone, query, response)
                send_response()
            return
        send_response()

    def _zone_for(self, query: dns.message.Message, response: dns.message.Message) -> TenantZone | None:
        """Return the zone that answers a query. If the query is rejected, set the error code, return None."""
        if query.edns > 0:
            response.set_rcode(dns.rcode.BADVERS)
            return None
        if len(query.question) != 1:
            response.set_rcode(dns.rcode.FORMERR)
            return None
        question = query.question[0]
        zone = self.tenants.nearest_zone(question.name)
        if zone is None or question.rdclass != dns.rdataclass.IN:
            is_update = query.opcode() == dns.opcode.UPDATE
            response.set_rcode(dns.rcode.NOTAUTH if is_update else dns.rcode.REFUSED)
            return None
        if isinstance(zone, UnreadZone):
            response.set_rcode(dns.rcode.SERVFAIL)
            return None
        return zone

    def _answer_static(
        self, zone: TenantZone, query: dns.message.Message, response: dns.message.Message
    ) -> None:
        """Answer a static name, and charge the records of the answer to the zone's tenant."""
        question = query.question[0]
        if question.rdtype in ZONE_TRANSFER_TYPES:
            response.set_rcode(dns.rcode.REFUSED)
            return
        try:
            lookup.answer_static_name(zone, question.name, question.rdtype, response)
        except lookup.TooManyRecordsError as error:
            log.warning("DNS answer too large", tenant=zone.tenant, error=str(error))
            response.set_rcode(dns.rcode.SERVFAIL)
        sections = (response.answer, response.authority, response.additional)
        records = sum(len(rrset) for section in sections for rrset in section)
        self.tenants.tenants[zone.tenant].quota.charge(records // RECORDS_PER_TOKEN)
