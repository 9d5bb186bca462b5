"""Tenants of the hosted service: their zones, keys and quotas, free of I/O but for `read_zone_file`."""

from __future__ import annotations

import base64
import binascii
import hmac
import re
from dataclasses import dataclass
from pathlib import Path

import dns.exception
import dns.name
import dns.versioned
import dns.zone
import ujson

from onyxwick.errors import OnyxwickError
from onyxwick.quota import TokenBucket

DEFAULT_QUOTA_PER_S = 500.0
"""Queries a second of a tenant without a quota of its own."""
MAX_QUOTA_PER_S = 1e6
ADMIN_REQUESTS_PER_S = 20.0
"""Administration requests a second of one tenant."""
MAX_TENANTS = 16_384
MAX_ZONES = 32
"""Zones of one tenant."""
MAX_KEYS = 16
"""Keys of one tenant."""
MAX_ZONE_CHARACTERS = 262_144
"""Characters of a zone's text."""
MIN_SECRET_BYTES = 16


class TenantError(OnyxwickError, ValueError):
    """A tenant, zone, key or quota cannot be used; the message names the field."""


class AlreadyExistsError(TenantError):
    """What was to be created exists already."""


@dataclass(slots=True, eq=False)
class TenantZone:
    """One zone with its static names; names below `routed` are answered by the request core."""

    name: dns.name.Name
    tenant: str
    data: dns.versioned.Zone
    routed: dns.name.Name | None = None


_NAME = re.compile(r"[a-z0-9][a-z0-9-]{0,62}").fullmatch


class Tenant:
    """One tenant with its zones and keys. Its token authorizes it at its part of the administration API.

    `per_s`: its quota of queries a second. TenantError for a name that is none.
    """

    def __init__(self, name: str, per_s: float = DEFAULT_QUOTA_PER_S, token: str = "") -> None:
        if not _NAME(name):
            raise TenantError("field 'name' is no name of small letters, digits and hyphens")
        self.name = name
        self.token = token
        self.quota = TokenBucket(per_s)
        self.admin_quota = TokenBucket(ADMIN_REQUESTS_PER_S)
        self.keys: dict[dns.name.Name, bytes] = {}
        self.zones: dict[dns.name.Name, TenantZone] = {}

    def add_key(self, name: dns.name.Name, secret: bytes) -> None:
        """Add or replace a TSIG key; TenantError over the bound."""
        if name not in self.keys and len(self.keys) >= MAX_KEYS:
            raise TenantError(f"a tenant holds {MAX_KEYS} keys at most")
        self.keys[name] = secret


def read_quota(value: object) -> float:
    """A quota in queries a second; TenantError where the value is none."""
    if isinstance(value, bool) or not isinstance(value, int | float) or not 0 < value <= MAX_QUOTA_PER_S:
        raise TenantError("field 'quota_per_s' is no number over 0")
    return float(value)


def read_quotas(text: str) -> dict[str, float]:
    """Quotas by tenant from a document; TenantError names the entry that cannot be used."""
    try:
        value = ujson.loads(text)
    except ValueError as error:
        raise TenantError(f"no JSON: {error}") from None
    rows = value.get("quotas") if isinstance(value, dict) else None
    if not isinstance(rows, dict) or len(value) != 1:
        raise TenantError("expected an object with the one field 'quotas'")
    quotas = {}
    for name, per_s in rows.items():
        try:
            quotas[name] = read_quota(per_s)
        except TenantError as error:
            raise TenantError(f"quota of '{name}': {error}") from None
    return quotas


def read_name(text: object) -> dns.name.Name:
    """A domain name in canonical form; TenantError where the text is none."""
    try:
        return dns.name.from_text(str(text)).canonicalize()
    except (dns.exception.DNSException, UnicodeError):
        raise TenantError(f"'{text}' is no domain name") from None


def read_key(name: object, secret: object) -> tuple[dns.name.Name, bytes]:
    """A TSIG key's name, and its secret from base64; TenantError where one cannot be used."""
    try:
        raw = base64.b64decode(str(secret), validate=True)
    except binascii.Error:
        raise TenantError("field 'secret' is no base64") from None
    if len(raw) < MIN_SECRET_BYTES:
        raise TenantError(f"field 'secret' has under {MIN_SECRET_BYTES} bytes")
    return read_name(name), raw


def read_zone(tenant: str, name: str, text: str, routed: str | None = None) -> TenantZone:
    """A zone from the text of a zone file, `routed` relative to it; TenantError where it cannot be used.

    `$INCLUDE` is off: the text may come from a tenant.
    """
    if len(text) > MAX_ZONE_CHARACTERS:
        raise TenantError(f"zone '{name}': over {MAX_ZONE_CHARACTERS} bytes")
    origin = read_name(name)
    try:
        data = dns.zone.from_text(
            text, origin, relativize=False, zone_factory=dns.versioned.Zone, allow_include=False
        )
        routed_name = dns.name.from_text(routed, origin) if routed else None
    except (dns.exception.DNSException, ValueError) as error:
        raise TenantError(f"zone '{name}': {error}") from None
    assert isinstance(data, dns.versioned.Zone)
    if routed_name is not None and (routed_name == origin or not routed_name.is_subdomain(origin)):
        raise TenantError(f"zone '{name}': 'routed' is no name below it")
    return TenantZone(origin, tenant, data, routed_name)


def read_zone_file(tenant: str, name: str, path: Path, routed: str | None = None) -> TenantZone:
    """A zone from a zone file; TenantError where it cannot be read or used."""
    try:
        return read_zone(tenant, name, path.read_text(), routed)
    except OSError as error:
        raise TenantError(f"zone '{name}': {error}") from None


class Tenants:
    """All tenants, and which zone a name belongs to."""

    def __init__(self) -> None:
        self.tenants: dict[str, Tenant] = {}
        self.zones: dict[dns.name.Name, TenantZone] = {}
        """Of all tenants; a lookup takes one step for each label."""

    def add(self, tenant: Tenant) -> None:
        """Add a tenant; AlreadyExistsError for a known name, TenantError over the bound."""
        if tenant.name in self.tenants:
            raise AlreadyExistsError(f"tenant '{tenant.name}' exists")
        if len(self.tenants) >= MAX_TENANTS:
            raise TenantError(f"{MAX_TENANTS} tenants at most")
        self.tenants[tenant.name] = tenant

    def remove(self, name: str) -> None:
        """Remove a tenant with its zones; KeyError where there is none."""
        for zone in self.tenants.pop(name).zones:
            del self.zones[zone]

    def add_zone(self, zone: TenantZone) -> None:
        """Add a zone, or replace one of the same tenant. AlreadyExistsError where the name belongs to another
        tenant or lies in another's zone, TenantError over the bound."""
        tenant = self.tenants[zone.tenant]
        existing = self.zones.get(zone.name)
        if existing is not None and existing.tenant != zone.tenant:
            raise AlreadyExistsError(f"zone '{zone.name}' exists")
        enclosing = self.nearest_zone(zone.name)
        if enclosing is not None and enclosing.tenant != zone.tenant:
            raise AlreadyExistsError(f"zone '{zone.name}' lies in another tenant's")
        if existing is None and len(tenant.zones) >= MAX_ZONES:
            raise TenantError(f"a tenant holds {MAX_ZONES} zones at most")
        self.zones[zone.name] = zone
        tenant.zones[zone.name] = zone

    def remove_zone(self, zone: TenantZone) -> None:
        """Remove a zone; KeyError where there is none."""
        del self.zones[zone.name]
        del self.tenants[zone.tenant].zones[zone.name]

    def nearest_zone(self, name: dns.name.Name) -> TenantZone | None:
        """The nearest zone at or above a name."""
        while True:
            if zone := self.zones.get(name):
                return zone
            if name == dns.name.root or not len(name):
                return None
            name = name.parent()

    def apply_quotas(self, text: str) -> None:
        """Set tenants' quotas from a document `{"quotas": {NAME: QUERIES_A_SECOND}}`, all or none.

        TenantError where any entry cannot be used. Tenants that this director does not have are ignored.
        """
        quotas = read_quotas(text)
        for name, per_s in quotas.items():
            tenant = self.tenants.get(name)
            if tenant is not None and tenant.quota.tokens_per_s != per_s:
                tenant.quota.tokens_per_s = per_s

    def keyring(self) -> dict[dns.name.Name, bytes]:
        """The TSIG keys of all tenants."""
        return {name: key for tenant in self.tenants.values() for name, key in tenant.keys.items()}

    def tenant_of_token(self, token: str) -> Tenant | None:
        """The tenant that a token belongs to; each is compared in constant time."""
        found = None
        for tenant in self.tenants.values():
            if tenant.token and hmac.compare_digest(tenant.token.encode(), token.encode()):
                found = tenant
        return found
