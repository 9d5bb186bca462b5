"""Zones of tenants: parsed from text within bounds, with what look-ups and the store need of them.

Parsing takes time for each record, which `dns/`, `admin/` and `hosting/` spend outside the event loop, giving
way to it at each record. Only `read_zone_file` performs I/O.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path
from typing import cast

import dns.exception
import dns.name
import dns.node
import dns.rdataclass
import dns.rdataset
import dns.rdatatype
import dns.transaction
import dns.zone
from dns.rdtypes.ANY.SOA import SOA

from onyxwick.giving_way import give_way
from onyxwick.packed_nodes import PackedNodes, take_nodes
from onyxwick.tenant_errors import TenantError
from onyxwick.zone_text import replace_lines, write_out
from onyxwick.zone_text_reader import OtherFormError, read_written_out

MAX_ZONE_CHARACTERS = 262_144
"""Maximum length of a zone file's text, in characters."""
MAX_ZONE_RECORDS = 32_768
"""Maximum number of records that a text may generate, which `$GENERATE` could make any number."""
MAX_RRSET_RECORDS = 1024
"""Maximum number of records of one name and type; adding to a set takes time for each one it has."""
MAX_STORED_CHARACTERS = 8_388_608
"""Maximum length of a zone with all names written out, in characters; it fits into one commit."""


@dataclass(slots=True, eq=False)
class TenantZone:
    """One zone with its static names. The request core answers names below `routed`."""

    name: dns.name.Name
    tenant: str
    nodes: PackedNodes
    text: str
    """The zone file with all names written out."""
    routed: dns.name.Name | None = None

    @property
    def data(self) -> dns.zone.Zone:
        """The zone's records as the library's type, which may be read."""
        data = dns.zone.Zone(self.name, dns.rdataclass.IN, relativize=False)
        data.nodes = self.nodes  # type: ignore[assignment]
        return data

    @property
    def serial(self) -> int:
        """The serial number of the zone's SOA."""
        apex = self.nodes.find(self.name)
        soa = apex.rrset(self.name, dns.rdatatype.SOA) if apex is not None else None
        assert soa is not None, "each zone has an SOA"
        return cast(SOA, soa[0]).serial

    def copy(self) -> TenantZone:
        """Return a copy that can be changed without changing this zone."""
        return TenantZone(self.name, self.tenant, self.nodes.copy(), self.text, self.routed)

    def replace_content(self, changed: TenantZone) -> None:
        """Take over the content of a changed copy."""
        self.nodes = changed.nodes
        self.text = changed.text

    def part(self, names: Iterable[dns.name.Name]) -> dns.zone.Zone:
        """Return the records of some names as a zone of their own, which can be changed."""
        part = dns.zone.Zone(self.name, dns.rdataclass.IN, relativize=False)
        for name in names:
            if name in self.nodes:
                part.nodes[name] = self.nodes[name]
        return part

    def replace_part(self, names: Iterable[dns.name.Name], part: dns.zone.Zone) -> None:
        """Take over all records of some names from a changed `part`."""
        lines = dict[dns.name.Name, str]()
        for name in names:
            node = part.nodes.get(name) or dns.node.Node()  # type: ignore[no-untyped-call]
            self.nodes.put(name, node)
            lines[name] = node.to_text(name, origin=None, relativize=False) if node.rdatasets else ""
        self.text = replace_lines(self.text, lines)


@dataclass(slots=True, eq=False)
class UnreadZone:
    """A stored zone that is not parsed yet: its name is taken, and nothing is answered from it."""

    name: dns.name.Name
    tenant: str
    row_key: str
    """Key of the zone's row in the store."""


def read_name(text: object) -> dns.name.Name:
    """Parse a domain name into canonical form. Raises TenantError if the text is not a domain name."""
    try:
        return dns.name.from_text(str(text)).canonicalize()
    except (dns.exception.DNSException, UnicodeError):
        raise TenantError(f"'{text}' is not a domain name") from None


def read_zone(tenant: str, name: str, text: str, routed: str | None = None) -> TenantZone:
    """Parse a zone from the text of a zone file. Raises TenantError if the text or `routed` is invalid.

    `routed` is relative to the zone's name. `$INCLUDE` is rejected, because the text may come from a tenant.
    """
    _check_length(name, text)
    zone = _parse(tenant, name, text, routed, _RecordLimit(MAX_ZONE_RECORDS, MAX_RRSET_RECORDS))
    if len(zone.text) > MAX_STORED_CHARACTERS:
        raise TenantError(f"zone '{name}': written out it is longer than {MAX_STORED_CHARACTERS} characters")
    return zone


def _check_length(name: str, text: str) -> None:
    if len(text) > MAX_ZONE_CHARACTERS:
        raise TenantError(f"zone '{name}': longer than {MAX_ZONE_CHARACTERS} characters")


def read_accepted_zone(tenant: str, name: str, text: str, routed: str | None = None) -> TenantZone:
    """Parse a zone that was accepted before, of any length: its text may have been written out since.

    Raises TenantError if the text or `routed` is invalid.
    """
    return _parse(tenant, name, text, routed, _RecordLimit(math.inf, math.inf))


def read_stored_zone(tenant: str, name: str, text: str, routed: str | None = None) -> TenantZone:
    """Parse a zone from its stored text, which has all names written out and is kept as it is.

    Raises TenantError if the text or `routed` is invalid.
    """
    origin = read_name(name)
    try:
        nodes = read_written_out(origin, text)
    except OtherFormError:
        return _parse(tenant, name, text, routed, _RecordLimit(math.inf, math.inf))
    return TenantZone(origin, tenant, nodes, text, _read_routed(name, routed, origin))


def _parse(tenant: str, name: str, text: str, routed: str | None, limit: _RecordLimit) -> TenantZone:
    origin = read_name(name)
    try:
        parsed = dns.zone.from_text(
            text,
            origin,
            relativize=False,
            allow_include=False,
            transaction_setup=limit.watch,
        )
    except (dns.exception.DNSException, ValueError) as error:
        raise TenantError(f"zone '{name}': {error}") from None
    routed_name = _read_routed(name, routed, origin)
    written_out = write_out(parsed)
    return TenantZone(origin, tenant, take_nodes(origin, parsed.nodes), written_out, routed_name)


def _read_routed(name: str, routed: str | None, origin: dns.name.Name) -> dns.name.Name | None:
    """Parse the name below which the core answers. Raises TenantError if it is not below the zone."""
    try:
        routed_name = dns.name.from_text(routed, origin) if routed else None
    except (dns.exception.DNSException, ValueError) as error:
        raise TenantError(f"zone '{name}': {error}") from None
    if routed_name is not None and (routed_name == origin or not routed_name.is_subdomain(origin)):
        raise TenantError(f"zone '{name}': 'routed' is not a name below the zone")
    return routed_name


class _RecordLimit:
    """Gives way to the event loop at each record that is parsed, and rejects a zone above the limits."""

    def __init__(self, max_records: float, max_rrset_records: float) -> None:
        self.max_records = max_records
        self.max_rrset_records = max_rrset_records
        self.records = 0

    def watch(self, txn: dns.transaction.Transaction) -> None:
        """Check each record that a transaction adds."""
        txn.check_put_rdataset(self._check)

    def _check(
        self, _: dns.transaction.Transaction, name: dns.name.Name, rdataset: dns.rdataset.Rdataset
    ) -> None:
        give_way()
        self.records += 1
        if self.records > self.max_records:
            raise TenantError(f"more than {self.max_records} records")
        if len(rdataset) > self.max_rrset_records:
            raise TenantError(f"more than {self.max_rrset_records} records of one type at '{name}'")


def read_zone_file(tenant: str, name: str, path: Path, routed: str | None = None) -> TenantZone:
    """Read a zone file of the service file. Raises TenantError if it cannot be read or is invalid."""
    try:
        text = path.read_text()
    except OSError as error:
        raise TenantError(f"zone '{name}': {error}") from None
    _check_length(name, text)
    return read_accepted_zone(tenant, name, text, routed)
