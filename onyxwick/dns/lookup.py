"""Answers from a zone's static data: exact names, wildcards, aliases, referrals, and what does not exist."""

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

ALIASES = 8  # CNAMEs followed within a zone
IN = dns.rdataclass.IN


def _rrset(name: dns.name.Name, node: dns.node.Node, kind: dns.rdatatype.RdataType) -> dns.rrset.RRset | None:
    rdataset = node.get_rdataset(IN, kind)
    return dns.rrset.from_rdata_list(name, rdataset.ttl, list(rdataset)) if rdataset else None


def soa(zone: TenantZone) -> dns.rrset.RRset:
    """The SOA for the authority section: its TTL is what bounds a negative answer's life."""
    node = zone.data.get_node(zone.name)
    assert node is not None
    found = _rrset(zone.name, node, dns.rdatatype.SOA)
    assert found is not None
    found.ttl = min(found.ttl, found[0].minimum)
    return found


def _exists(zone: TenantZone, name: dns.name.Name) -> bool:
    """Is there such a name, if only because something stands below it?"""
    return any(other.is_subdomain(name) for other in zone.data.nodes)


def _node(zone: TenantZone, name: dns.name.Name) -> dns.node.Node | None:
    """The node that answers for a name: its own, an empty one, or the closest encloser's wildcard."""
    if (node := zone.data.get_node(name)) is not None:
        return node
    if _exists(zone, name):
        return dns.node.Node()  # type: ignore[no-untyped-call]
    parent = name.parent()
    while not _exists(zone, parent):
        parent = parent.parent()
    return zone.data.get_node(dns.name.Name((b"*", *parent.labels)))


def _cut(zone: TenantZone, name: dns.name.Name) -> dns.rrset.RRset | None:
    """The NS records of a delegation at or above a name, if it lies beyond one."""
    found = None
    while name != zone.name:
        node = zone.data.get_node(name)
        if node is not None and (ns := _rrset(name, node, dns.rdatatype.NS)):
            found = ns
        name = name.parent()
    return found


def _glue(zone: TenantZone, ns: dns.rrset.RRset, response: dns.message.Message) -> None:
    for record in ns:
        if record.target.is_subdomain(zone.name) and (node := zone.data.get_node(record.target)):
            for kind in (dns.rdatatype.A, dns.rdatatype.AAAA):
                if glue := _rrset(record.target, node, kind):
                    response.additional.append(glue)


def answer(
    zone: TenantZone, name: dns.name.Name, kind: dns.rdatatype.RdataType, out: dns.message.Message
) -> None:
    """Fill in the answer to a static name of this zone."""
    for _ in range(ALIASES):
        if cut := _cut(zone, name):
            out.flags &= ~dns.flags.AA
            out.authority.append(cut)
            return _glue(zone, cut, out)
        node = _node(zone, name)
        if node is None:
            out.set_rcode(dns.rcode.NXDOMAIN)
            out.authority.append(soa(zone))
            return
        kinds = [r.rdtype for r in node] if kind == dns.rdatatype.ANY else [kind]
        found = [rrset for k in kinds if (rrset := _rrset(name, node, k))]
        out.answer.extend(found)
        alias = None if found else _rrset(name, node, dns.rdatatype.CNAME)
        if alias is None:
            if not found:
                out.authority.append(soa(zone))
            return
        out.answer.append(alias)
        name = alias[0].target
        if not name.is_subdomain(zone.name):
            return
