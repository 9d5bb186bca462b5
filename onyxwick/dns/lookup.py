"""Answers from a zone's static data: exact names, wildcards, aliases, referrals and negative answers."""

from __future__ import annotations

import dns.flags
import dns.message
import dns.name
import dns.node
import dns.rcode
import dns.rdataclass
import dns.rdatatype
import dns.rrset

from onyxwick.tenants import TenantZone

MAX_ALIASES = 8
"""Limit on the steps of a CNAME chain within a zone."""
IN = dns.rdataclass.IN


def _make_rrset(
    name: dns.name.Name, node: dns.node.Node, kind: dns.rdatatype.RdataType
) -> dns.rrset.RRset | None:
    rdataset = node.get_rdataset(IN, kind)
    return dns.rrset.from_rdata_list(name, rdataset.ttl, list(rdataset)) if rdataset else None


def negative_answer_soa(zone: TenantZone) -> dns.rrset.RRset:
    """Return the SOA for the authority section; its TTL limits how long a negative answer is cached."""
    node = zone.data.get_node(zone.name)
    assert node is not None
    soa = _make_rrset(zone.name, node, dns.rdatatype.SOA)
    assert soa is not None
    soa.ttl = min(soa.ttl, soa[0].minimum)
    return soa


def _exists(zone: TenantZone, name: dns.name.Name) -> bool:
    """Return whether a name exists. A name also exists if only names below it have records."""
    return any(other.is_subdomain(name) for other in zone.data.nodes)


def _find_node(zone: TenantZone, name: dns.name.Name) -> dns.node.Node | None:
    """Return the node that answers for a name, or None if the name does not exist.

    This is the name's own node, an empty node if only names below it have records, or the wildcard of its
    closest encloser.
    """
    if (node := zone.data.get_node(name)) is not None:
        return node
    if _exists(zone, name):
        return dns.node.Node()  # type: ignore[no-untyped-call]
    parent = name.parent()
    while not _exists(zone, parent):
        parent = parent.parent()
    return zone.data.get_node(dns.name.Name((b"*", *parent.labels)))


def _find_delegation(zone: TenantZone, name: dns.name.Name) -> dns.rrset.RRset | None:
    """Return the NS records of the highest delegation at or above a name; None if there is no delegation."""
    found = None
    while name != zone.name:
        node = zone.data.get_node(name)
        if node is not None and (ns := _make_rrset(name, node, dns.rdatatype.NS)):
            found = ns
        name = name.parent()
    return found


def _add_glue(zone: TenantZone, ns: dns.rrset.RRset, response: dns.message.Message) -> None:
    """Add the addresses of those name servers whose names are in the zone."""
    for record in ns:
        if record.target.is_subdomain(zone.name) and (node := zone.data.get_node(record.target)):
            for kind in (dns.rdatatype.A, dns.rdatatype.AAAA):
                if glue := _make_rrset(record.target, node, kind):
                    response.additional.append(glue)


def answer_static_name(
    zone: TenantZone,
    name: dns.name.Name,
    record_type: dns.rdatatype.RdataType,
    response: dns.message.Message,
) -> None:
    """Fill in the answer for a static name of this zone and follow its aliases within the zone."""
    for _ in range(MAX_ALIASES):
        if delegation := _find_delegation(zone, name):
            response.flags &= ~dns.flags.AA
            response.authority.append(delegation)
            _add_glue(zone, delegation, response)
            return
        node = _find_node(zone, name)
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
    node: dns.node.Node,
    record_type: dns.rdatatype.RdataType,
    response: dns.message.Message,
) -> dns.rrset.RRset | None:
    """Add the records of one type, or the SOA if there are none. Return an alias to follow, if any."""
    is_any = record_type == dns.rdatatype.ANY
    types = [rdataset.rdtype for rdataset in node] if is_any else [record_type]
    found = [rrset for kind in types if (rrset := _make_rrset(name, node, kind))]
    response.answer.extend(found)
    if found:
        return None
    alias = _make_rrset(name, node, dns.rdatatype.CNAME)
    if alias is None:
        response.authority.append(negative_answer_soa(zone))
    return alias
