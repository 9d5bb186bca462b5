"""Handles one DNS message: checks it, enforces quotas and selects what answers it.

Static names are answered from the zone's data and routed names by the core; updates change the zone.
"""

from __future__ import annotations

import struct
from collections.abc import Callable
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
from onyxwick.counters import Counters
from onyxwick.dns import lookup, messages, update
from onyxwick.dns.routed_names import RoutedNames
from onyxwick.store.errors import StoreError
from onyxwick.tenants import Tenants, TenantZone, read_accepted_zone

if TYPE_CHECKING:
    from onyxwick.store.durable_state import DurableState

log = logs.get()
SendBytes = Callable[[bytes], None]
"""Sends an answer's bytes to the client."""
ZONE_TRANSFER_TYPES = (dns.rdatatype.AXFR, dns.rdatatype.IXFR)


class QueryHandler:
    """Answers for the tenants' zones. If `durable` is set, updates are durable before they are answered."""

    def __init__(
        self, tenants: Tenants, routed_names: RoutedNames, counters: Counters, durable: DurableState | None
    ) -> None:
        self.tenants = tenants
        self.routed_names = routed_names
        self.counters = counters
        self.durable = durable

    async def handle(self, wire: bytes, over_udp: bool, send: SendBytes) -> None:
        """Answer one message, for which `is_query` must hold.

        Calls `send` once, or never if the core drops the request.
        """
        try:
            query = self._read(wire, send)
            if query is not None:
                await self._answer(query, over_udp, send)
        except Exception:
            # An internal error in one query must not stop the front; the client gets SERVFAIL.
            self.counters.add("error.dns")
            log.exception("internal error in a DNS query")
            send(messages.error_response(wire, dns.rcode.SERVFAIL))

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
            return dns.message.from_wire(wire, keyring=self.tenants.keyring())
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
            await self._update(zone, query, response)
        elif zone.routed is not None and name.is_subdomain(zone.routed):
            response.flags |= dns.flags.AA
            if await self.routed_names.answer(zone, query, response, send_response):
                return
        else:
            response.flags |= dns.flags.AA
            _answer_static(zone, query, response)
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
        if not self.tenants.tenants[zone.tenant].quota.take():
            self.counters.add(f"dns.quota.{zone.tenant}")
            response.set_rcode(dns.rcode.SERVFAIL)
            return None
        return zone

    # ---- updates ----------------------------------------------------------------------------------------

    async def _update(
        self, zone: TenantZone, query: dns.update.UpdateMessage, response: dns.message.Message
    ) -> None:
        keys = self.tenants.tenants[zone.tenant].keys
        if query.question[0].name != zone.name:
            response.set_rcode(dns.rcode.NOTAUTH)
            return
        if not query.had_tsig or query.keyname not in keys:
            self.counters.add("dns.update.refused")
            response.set_rcode(dns.rcode.REFUSED)
            return
        before = zone.data
        if self.durable is not None:
            # The update changes a copy of the zone, so that `before` can be restored if the commit fails.
            # Queries read the copy while the commit is pending, although a change should become visible only
            # when it is durable.
            text = before.to_text(relativize=False)
            zone.data = read_accepted_zone(zone.tenant, str(zone.name), text).data
        try:
            update.apply_update(zone, query)
            await self._make_durable(zone)
            self.counters.add("dns.update.done")
        except StoreError as error:
            zone.data = before
            self.counters.add("dns.update.failed")
            log.error("DNS update not durable, rolled back", error=str(error))
            response.set_rcode(dns.rcode.SERVFAIL)
        except update.UpdateError as error:
            self.counters.add("dns.update.failed")
            response.set_rcode(error.rcode)

    async def _make_durable(self, zone: TenantZone) -> None:
        """Commit the zone before the update is answered, so that a restart never lowers the serial."""
        if self.durable is not None:
            tenant = self.tenants.tenants[zone.tenant]
            await self.durable.commit(self.durable.tenant_operations(zone.tenant, tenant), "update")


def _answer_static(zone: TenantZone, query: dns.message.Message, response: dns.message.Message) -> None:
    question = query.question[0]
    if question.rdtype in ZONE_TRANSFER_TYPES:
        response.set_rcode(dns.rcode.REFUSED)
    else:
        lookup.answer_static_name(zone, question.name, question.rdtype, response)
