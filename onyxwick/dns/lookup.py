"""Answers from a zone's static data: exact names, wildcards, aliases, referrals and negative answers."""

from __future__ import annotations

import dns.flags
import dns.message
import dns.name
import dns.rcode
import dns.rdataclass
import dns.rdatatype
import dns.rrset

from onyxwick.errors import OnyxwickError
from onyxwick.packed_nodes import EMPTY_NODE, Labels, PackedNode
from onyxwick.zones import TenantZone

MAX_ALIASES = 8
"""Limit on the steps of a CNAME chain within a zone."""
MAX_ANSWER_RECORDS = 4096
"""Limit on the records of one set in an answer; more do not fit into a message."""
IN = dns.rdataclass.IN


class TooManyRecordsError(OnyxwickError):
    """A set of records is too large for any answer."""


def _make_rrset(
    name: dns.name.Name, node: PackedNode, kind: dns.rdatatype.RdataType
) -> dns.rrset.RRset | None:
    """Return the records of one type. Raises TooManyRecordsError if they do not fit into any answer."""
    rrset = node.rrset(name, kind)
    if rrset is not None and len(rrset) > MAX_ANSWER_RECORDS:
        raise TooManyRecordsError(f"{len(rrset)} records of one type at '{name}'")
    return rrset


def negative_answer_soa(zone: TenantZone) -> dns.rrset.RRset:
    """Return the SOA for the authority section; its TTL limits how long a negative answer is cached."""
    node = zone.nodes.find(zone.name)
    assert node is not None
    soa = _make_rrset(zone.name, node, dns.rdatatype.SOA)
    assert soa is not None
    soa.ttl = min(soa.ttl, soa[0].minimum)
    return soa


def _find_node(zone: TenantZone, name: dns.name.Name, labels: Labels) -> PackedNode | None:
    """Return the node that answers for a name, or None if the name does not exist.

    This is the name's own node, an empty node if only names below it have records, or the wildcard of its
    closest encloser.
    """
    nodes = zone.nodes
    if nodes.exists(labels):
        return zone.nodes.find(name) or EMPTY_NODE
    encloser_at = next(start for start in range(1, len(labels) + 1) if nodes.exists(labels[start:]))
    if not nodes.exists((b"*", *labels[encloser_at:])):
        return None
    return zone.nodes.find(dns.name.Name((b"*", *name.labels[encloser_at:])))


def _find_delegation(zone: TenantZone, name: dns.name.Name, labels: Labels) -> dns.rrset.RRset | None:
    """Return the NS records of the highest delegation at or above a name; None if there is no delegation."""
    for start in reversed(range(len(labels))):
        if not zone.nodes.exists(labels[start:]):
            return None  # no name below it exists either
        owner = dns.name.Name(name.labels[start:])
        node = zone.nodes.find(owner)
        if node is not None and (ns := _make_rrset(owner, node, dns.rdatatype.NS)):
            return ns
    return None


def _add_glue(zone: TenantZone, ns: dns.rrset.RRset, response: dns.message.Message) -> None:
    """Add the addresses of those name servers whose names are in the zone."""
    for record in ns:
        if record.target.is_subdomain(zone.name) and (node := zone.nodes.find(record.target)):
            for kind in (dns.rdatatype.A, dns.rdatatype.AAAA):
                if glue := _make_rrset(record.target, node, kind):
                    response.additional.append(glue)


def answer_static_name(
    zone: TenantZone,
    name: dns.name.Name,
    record_type: dns.rdatatype.RdataType,
    response: dns.message.Message,
) -> None:
    """Fill in the answer for a static name of this zone and follow its aliases within the zone.

    Raises TooManyRecordsError if a set of records is too large for any answer.
    """
    for _ in range(MAX_ALIASES):
        labels = zone.nodes.labels_of(name)
        if delegation := _find_delegation(zone, name, labels):
            response.flags &= ~dns.flags.AA
            response.authority.append(delegation)
            _add_glue(zone, delegation, response)
            return
        node = _find_node(zone, name, labels)
        if node is None:
            response.set_rcode(dns.rcode.NXDOMAIN)
            response.authority.append(negative_answer_soa(zone))
            return
        alias = _answer_from_node(zone, name, node, record_type, response)
        if alias is None:
            return
        response.answer.append(alias)
        name = alias[0].target
        if not name.is_subdomain(zone.name):
            return


def _answer_from_node(
    zone: TenantZone,
    name: dns.name.Name,
    node: PackedNode,
    record_type: dns.rdatatype.RdataType,
    response: dns.message.Message,
) -> dns.rrset.RRset | None:
    """Add the records of one type, or the SOA if there are none. Return an alias to follow, if any."""
    is_any = record_type == dns.rdatatype.ANY
    types = node.types() if is_any else [record_type]
    found = [rrset for kind in types if (rrset := _make_rrset(name, node, kind))]
    response.answer.extend(found)
    if found:
        return None
    alias = _make_rrset(name, node, dns.rdatatype.CNAME)
    if alias is None:
        response.authority.append(negative_answer_soa(zone))
    return alias
