"""Dynamic updates (RFC 2136): prerequisites, then all changes or none, and a higher serial."""

from __future__ import annotations

import dns.name
import dns.rcode
import dns.rdataclass
import dns.rdataset
import dns.rdatatype
import dns.rrset
import dns.serial
import dns.transaction
import dns.update

from onyxwick.tenants import TenantZone

NONE, ANY = dns.rdataclass.NONE, dns.rdataclass.ANY
APEX_KEPT = (dns.rdatatype.SOA, dns.rdatatype.NS)


class UpdateError(Exception):
    """The update is not carried out; `rcode` says why."""

    def __init__(self, rcode: dns.rcode.Rcode) -> None:
        super().__init__(dns.rcode.to_text(rcode))
        self.rcode = rcode


def _require(fulfilled: bool, rcode: dns.rcode.Rcode) -> None:
    if not fulfilled:
        raise UpdateError(rcode)


def _check(txn: dns.transaction.Transaction, asked: dns.rrset.RRset) -> None:
    """One prerequisite, section 3.2 of the RFC."""
    _require(asked.ttl == 0, dns.rcode.FORMERR)
    name, kind = asked.name, asked.rdtype
    if kind == dns.rdatatype.ANY:
        if asked.deleting == ANY:
            _require(txn.name_exists(name), dns.rcode.NXDOMAIN)
        else:
            _require(not txn.name_exists(name), dns.rcode.YXDOMAIN)
        return
    held = txn.get(name, kind)
    if asked.deleting == ANY:
        _require(held is not None, dns.rcode.NXRRSET)
    elif asked.deleting == NONE:
        _require(held is None, dns.rcode.YXRRSET)
    else:
        _require(held is not None and set(held) == set(asked), dns.rcode.NXRRSET)


def _delete(txn: dns.transaction.Transaction, zone: TenantZone, change: dns.rrset.RRset) -> None:
    name, kind, apex = change.name, change.rdtype, change.name == zone.name
    if change.deleting == NONE:
        if apex and kind == dns.rdatatype.SOA:
            return
        held = txn.get(name, kind)
        if apex and kind == dns.rdatatype.NS and held is not None and set(held) <= set(change):
            return  # the last NS of a zone stays
        txn.delete(name, change)
    elif kind != dns.rdatatype.ANY:
        if not (apex and kind in APEX_KEPT):
            txn.delete(name, kind)
    elif not apex:
        txn.delete(name)
    else:
        for rdataset in list(txn.get_node(name) or ()):
            if rdataset.rdtype not in APEX_KEPT:
                txn.delete(name, rdataset.rdtype)


def _add(txn: dns.transaction.Transaction, zone: TenantZone, change: dns.rrset.RRset) -> None:
    name, kind = change.name, change.rdtype
    if kind == dns.rdatatype.SOA:
        held = txn.get(name, kind)
        newer = held is not None and dns.serial.Serial(held[0].serial) < dns.serial.Serial(change[0].serial)
        if name == zone.name and newer:
            txn.replace(name, change)
        return
    alias = kind == dns.rdatatype.CNAME
    held_kinds = {rdataset.rdtype for rdataset in (txn.get_node(name) or ())}
    if (alias and held_kinds - {dns.rdatatype.CNAME}) or (not alias and dns.rdatatype.CNAME in held_kinds):
        return  # an alias stands alone: such a change is passed over, as the RFC says
    if alias:
        txn.replace(name, change)
    else:
        txn.add(name, change)


def _inside(zone: TenantZone, name: dns.name.Name) -> None:
    _require(name.is_subdomain(zone.name), dns.rcode.NOTZONE)
    if zone.routed is not None and name.is_subdomain(zone.routed):
        raise UpdateError(dns.rcode.REFUSED)  # what is there is the module's to say


def apply(zone: TenantZone, message: dns.update.UpdateMessage) -> None:
    """Carry out an update, or raise UpdateError with the zone as it was."""
    for rrset in (*message.prerequisite, *message.update):
        _inside(zone, rrset.name)
    with zone.data.writer() as txn:
        for asked in message.prerequisite:
            _check(txn, asked)
        before = txn.get(zone.name, dns.rdatatype.SOA)
        for change in message.update:
            if change.deleting is not None:
                _require(change.ttl == 0, dns.rcode.FORMERR)
                _delete(txn, zone, change)
            else:
                _add(txn, zone, change)
        if txn.changed() and txn.get(zone.name, dns.rdatatype.SOA) == before:
            txn.update_serial(name=zone.name)  # names are absolute here
