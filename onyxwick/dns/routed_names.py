"""Answers for names below a zone's routed name.

Each query is a request of the core and is answered with the address of the cache that the router chose.
"""

from __future__ import annotations

from collections.abc import Callable

import dns.message
import dns.name
import dns.rcode
import dns.rdatatype
import dns.rrset

from onyxwick.core import AnswerStatus, FinalAnswer, RequestEngine
from onyxwick.counters import Counters
from onyxwick.dns import lookup, naming
from onyxwick.zones import TenantZone

CACHE_TTL_S = 0
"""TTL of the answers in seconds; 0, because a drained cache must get no requests after 500 ms, and a TTL is a
whole number of seconds."""


class RoutedNames:
    """Answers queries below a routed name; each waits up to `deadline_us` microseconds for the router."""

    def __init__(self, core: RequestEngine, counters: Counters, deadline_us: int) -> None:
        self.core = core
        self.counters = counters
        self.deadline_us = deadline_us
        self.transport = naming.CacheNamingTransport()
        self.classes = {request_class.name: request_class for request_class in core.settings.classes}

    async def answer(
        self,
        zone: TenantZone,
        query: dns.message.Message,
        response: dns.message.Message,
        send: Callable[[], None],
    ) -> bool:
        """Fill in the answer and return whether the core sends it.

        If True, the core calls `send` as soon as the cache is chosen, or never if it drops the request. If
        False, the caller must send the answer.
        """
        assert zone.routed is not None
        name = query.question[0].name
        record_type = query.question[0].rdtype
        labels = naming.labels_below(name, zone.routed)
        if len(labels) == 2 and labels[1] == naming.CACHES_LABEL:
            self._answer_cache(zone, name, labels[0], record_type, response)
            return False
        routed_name = naming.read_routed_name(labels, self.classes)
        if routed_name is None and not naming.has_names_below(labels, self.classes):
            response.set_rcode(dns.rcode.NXDOMAIN)
        if routed_name is None or record_type not in (dns.rdatatype.A, dns.rdatatype.SRV):
            response.authority.append(lookup.negative_answer_soa(zone))
            return False
        request = naming.client_request(routed_name, self.core.now(), self.deadline_us, zone.tenant)

        def reply(answer: FinalAnswer) -> None:
            self._answer_choice(zone, name, record_type, answer, response)
            send()

        await self.core.serve(request, reply, self.transport)
        return True

    def _answer_choice(
        self,
        zone: TenantZone,
        name: dns.name.Name,
        record_type: dns.rdatatype.RdataType,
        answer: FinalAnswer,
        response: dns.message.Message,
    ) -> None:
        """Answer with the chosen cache, or SERVFAIL.

        The endpoint list is checked again, because a drain may have been received since the choice.
        """
        members = self.core.endpoints
        address = members.addresses.get(answer.member)
        is_served = answer.status is AnswerStatus.SERVED
        if not is_served or address is None or not members.is_ready(answer.member):
            self.counters.add("dns.servfail")
            response.set_rcode(dns.rcode.SERVFAIL)
            return
        self.counters.add("dns.named")
        host, port = address
        if record_type == dns.rdatatype.A:
            response.answer.append(_address_record(name, host))
            return
        assert zone.routed is not None
        labels = (answer.member.encode(), naming.CACHES_LABEL.encode(), *zone.routed.labels)
        target = dns.name.Name(labels)
        service = dns.rrset.from_text(name, CACHE_TTL_S, "IN", "SRV", f"0 0 {port} {target}")
        response.answer.append(service)
        response.additional.append(_address_record(target, host))

    def _answer_cache(
        self,
        zone: TenantZone,
        name: dns.name.Name,
        member: str,
        record_type: dns.rdatatype.RdataType,
        response: dns.message.Message,
    ) -> None:
        """Answer for the target of an SRV record; a cache that is not ready, as in a drain, gets NXDOMAIN.

        The router already accounted for the attempt when it answered the SRV query.
        """
        if not self.core.endpoints.is_ready(member):
            response.set_rcode(dns.rcode.NXDOMAIN)
        elif record_type == dns.rdatatype.A:
            host = self.core.endpoints.addresses[member][0]
            response.answer.append(_address_record(name, host))
            return
        response.authority.append(lookup.negative_answer_soa(zone))


def _address_record(name: dns.name.Name, host: str) -> dns.rrset.RRset:
    return dns.rrset.from_text(name, CACHE_TTL_S, "IN", "A", host)
