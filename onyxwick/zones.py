"""Zones of tenants: parsed from text within bounds, with what look-ups and the store need of them.

Parsing takes time for each record, which `dns/` and `admin/` spend outside the event loop. Only
`read_zone_file` performs I/O.
"""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

import dns.exception
import dns.name
import dns.rdataclass
import dns.rdataset
import dns.transaction
import dns.versioned
import dns.zone

from onyxwick.tenant_errors import TenantError
from onyxwick.zone_names import ZoneNames

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
    data: dns.versioned.Zone
    names: ZoneNames
    text: str
    """The zone file with all names written out."""
    routed: dns.name.Name | None = None

    def copy(self) -> TenantZone:
        """Return a copy that can be changed without changing this zone; its text is that of this zone."""
        data = dns.versioned.Zone(self.name, dns.rdataclass.IN, relativize=False)
        data.nodes = self.data.nodes  # immutable; a writer replaces it
        return TenantZone(self.name, self.tenant, data, self.names.copy(), self.text, self.routed)

    def replace_content(self, changed: TenantZone) -> None:
        """Take over the content of a changed copy."""
        self.data = changed.data
        self.names = changed.names
        self.text = changed.text


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
    zone = _parse(tenant, name, text, routed, _RecordLimit())
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
    return _parse(tenant, name, text, routed, None)


def _parse(tenant: str, name: str, text: str, routed: str | None, limit: _RecordLimit | None) -> TenantZone:
    origin = read_name(name)
    try:
        data = dns.zone.from_text(
            text,
            origin,
            relativize=False,
            zone_factory=dns.versioned.Zone,
            allow_include=False,
            transaction_setup=limit.watch if limit is not None else None,
        )
        routed_name = dns.name.from_text(routed, origin) if routed else None
    except (dns.exception.DNSException, ValueError) as error:
        raise TenantError(f"zone '{name}': {error}") from None
    assert isinstance(data, dns.versioned.Zone)
    if routed_name is not None and (routed_name == origin or not routed_name.is_subdomain(origin)):
        raise TenantError(f"zone '{name}': 'routed' is not a name below the zone")
    names = ZoneNames(origin, data.nodes)
    return TenantZone(origin, tenant, data, names, data.to_text(relativize=False), routed_name)


class _RecordLimit:
    """Rejects a zone with too many records while it is parsed."""

    def __init__(self) -> None:
        self.records = 0

    def watch(self, txn: dns.transaction.Transaction) -> None:
        """Check each record that a transaction adds."""
        txn.check_put_rdataset(self._check)

    def _check(
        self, _: dns.transaction.Transaction, name: dns.name.Name, rdataset: dns.rdataset.Rdataset
    ) -> None:
        self.records += 1
        if self.records > MAX_ZONE_RECORDS:
            raise TenantError(f"more than {MAX_ZONE_RECORDS} records")
        if len(rdataset) > MAX_RRSET_RECORDS:
            raise TenantError(f"more than {MAX_RRSET_RECORDS} records of one type at '{name}'")


def read_zone_file(tenant: str, name: str, path: Path, routed: str | None = None) -> TenantZone:
    """Read a zone file of the service file. Raises TenantError if it cannot be read or is invalid."""
    try:
        text = path.read_text()
    except OSError as error:
        raise TenantError(f"zone '{name}': {error}") from None
    _check_length(name, text)
    return read_accepted_zone(tenant, name, text, routed)
