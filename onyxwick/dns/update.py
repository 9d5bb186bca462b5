"""Dynamic updates (RFC 2136): checks prerequisites, applies all changes or none, and raises the serial."""

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

from onyxwick.errors import OnyxwickError
from onyxwick.zones import MAX_RRSET_RECORDS, TenantZone

NONE = dns.rdataclass.NONE
ANY = dns.rdataclass.ANY
APEX_TYPES = (dns.rdatatype.SOA, dns.rdatatype.NS)
"""Record types that cannot be deleted completely from a zone's apex."""


class UpdateError(OnyxwickError):
    """The update was rejected; `rcode` states why."""

    def __init__(self, rcode: dns.rcode.Rcode) -> None:
        super().__init__(dns.rcode.to_text(rcode))
        self.rcode = rcode


def _require(fulfilled: bool, rcode: dns.rcode.Rcode) -> None:
    if not fulfilled:
        raise UpdateError(rcode)


def _check_prerequisite(txn: dns.transaction.Transaction, prerequisite: dns.rrset.RRset) -> None:
    """Check one prerequisite (RFC 2136, section 3.2). Raises UpdateError if it does not hold."""
    _require(prerequisite.ttl == 0, dns.rcode.FORMERR)
    name = prerequisite.name
    record_type = prerequisite.rdtype
    if record_type == dns.rdatatype.ANY:
        if prerequisite.deleting == ANY:
            _require(txn.name_exists(name), dns.rcode.NXDOMAIN)
        else:
            _require(not txn.name_exists(name), dns.rcode.YXDOMAIN)
        return
    existing = txn.get(name, record_type)
    if prerequisite.deleting == ANY:
        _require(existing is not None, dns.rcode.NXRRSET)
    elif prerequisite.deleting == NONE:
        _require(existing is None, dns.rcode.YXRRSET)
    else:
        is_equal = existing is not None and set(existing) == set(prerequisite)
        _require(is_equal, dns.rcode.NXRRSET)


def _delete(txn: dns.transaction.Transaction, zone: TenantZone, change: dns.rrset.RRset) -> None:
    """Apply one deletion (RFC 2136, section 3.4.2)."""
    name = change.name
    record_type = change.rdtype
    is_apex = name == zone.name
    if change.deleting == NONE:
        _delete_records(txn, change, is_apex)
    elif record_type != dns.rdatatype.ANY:
        if not (is_apex and record_type in APEX_TYPES):
            txn.delete(name, record_type)
    elif not is_apex:
        txn.delete(name)
    else:
        for rdataset in list(txn.get_node(name) or ()):
            if rdataset.rdtype not in APEX_TYPES:
                txn.delete(name, rdataset.rdtype)


def _delete_records(txn: dns.transaction.Transaction, change: dns.rrset.RRset, is_apex: bool) -> None:
    """Delete individual records, except for the SOA and the last NS record of a zone's apex."""
    if is_apex and change.rdtype == dns.rdatatype.SOA:
        return
    existing = txn.get(change.name, change.rdtype)
    is_last_ns = change.rdtype == dns.rdatatype.NS and existing is not None and set(existing) <= set(change)
    if is_apex and is_last_ns:
        return
    txn.delete(change.name, change)


def _add(txn: dns.transaction.Transaction, zone: TenantZone, change: dns.rrset.RRset) -> None:
    """Apply one addition (RFC 2136, section 3.4.2)."""
    name = change.name
    if change.rdtype == dns.rdatatype.SOA:
        if name == zone.name and _has_newer_serial(change, txn.get(name, change.rdtype)):
            txn.replace(name, change)
        return
    is_alias = change.rdtype == dns.rdatatype.CNAME
    existing_types = {rdataset.rdtype for rdataset in (txn.get_node(name) or ())}
    has_alias = dns.rdatatype.CNAME in existing_types
    has_others = bool(existing_types - {dns.rdatatype.CNAME})
    if (is_alias and has_others) or (not is_alias and has_alias):
        # A CNAME cannot coexist with other records: the RFC requires such a change to be ignored.
        return
    if is_alias:
        txn.replace(name, change)
    else:
        txn.add(name, change)


def _has_newer_serial(change: dns.rrset.RRset, existing: dns.rdataset.Rdataset | None) -> bool:
    if existing is None:
        return False
    return bool(dns.serial.Serial(existing[0].serial) < dns.serial.Serial(change[0].serial))


def _is_data_type(record_type: dns.rdatatype.RdataType) -> bool:
    """Return whether records of a type can be data of a zone (RFC 2136, section 3.4.1.3)."""
    return record_type != dns.rdatatype.NONE and not dns.rdatatype.is_metatype(record_type)


def _check_in_zone(zone: TenantZone, name: dns.name.Name) -> None:
    _require(name.is_subdomain(zone.name), dns.rcode.NOTZONE)
    if zone.routed is not None and name.is_subdomain(zone.routed):
        # The core answers routed names, so they cannot be updated.
        raise UpdateError(dns.rcode.REFUSED)


def _check_size(_: dns.transaction.Transaction, name: dns.name.Name, rdataset: dns.rdataset.Rdataset) -> None:
    _require(len(rdataset) <= MAX_RRSET_RECORDS, dns.rcode.REFUSED)


def apply_update(zone: TenantZone, message: dns.update.UpdateMessage) -> None:
    """Apply an update. Raises UpdateError and leaves the zone unchanged if the update is rejected.

    Only the names that the update is about are unpacked, and the apex, which has the serial.
    """
    for rrset in (*message.prerequisite, *message.update):
        _check_in_zone(zone, rrset.name)
    for change in message.update:
        if change.deleting is None:
            _require(_is_data_type(change.rdtype), dns.rcode.FORMERR)
    owners = {rrset.name for rrset in message.update} | {zone.name}
    part = zone.part(owners | {rrset.name for rrset in message.prerequisite})
    with part.writer() as txn:
        txn.check_put_rdataset(_check_size)
        for prerequisite in message.prerequisite:
            _check_prerequisite(txn, prerequisite)
        soa_before = txn.get(zone.name, dns.rdatatype.SOA)
        for change in message.update:
            if change.deleting is not None:
                _require(change.ttl == 0, dns.rcode.FORMERR)
                _delete(txn, zone, change)
            else:
                _add(txn, zone, change)
        if txn.changed() and txn.get(zone.name, dns.rdatatype.SOA) == soa_before:
            # The zone's names are absolute. The default for `name` is a relative name, which would not match.
            txn.update_serial(name=zone.name)
        has_changed = txn.changed()
    if has_changed:
        zone.replace_part(owners, part)
