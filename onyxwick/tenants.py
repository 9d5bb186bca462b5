"""Tenants of the hosted service: their zones, keys and quotas. Nothing here knows a wire."""

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

from onyxwick.quota import TokenBucket

QUOTA_PER_S = 500.0  # queries, where a tenant is given no quota
ADMIN_PER_S = 20.0  # administration requests of one tenant
MOST_TENANTS, MOST_ZONES, MOST_KEYS, MOST_TEXT = (
    16_384,
    32,
    16,
    262_144,
)  # bounds on memory, the last in bytes


class TenantError(ValueError):
    """What was asked of the tenants cannot be; the text names the field."""


class AlreadyExistsError(TenantError):
    """What was to be made is there already."""


@dataclass(slots=True, eq=False)
class TenantZone:
    """One zone with its static names; what lies under `routed` is answered by the core."""

    name: dns.name.Name
    tenant: str
    data: dns.versioned.Zone
    routed: dns.name.Name | None = None


_NAME = re.compile(r"[a-z0-9][a-z0-9-]{0,62}").fullmatch


class Tenant:
    """One tenant and all that is its own. Its token opens its own part of the administration API."""

    def __init__(self, name: str, per_s: float = QUOTA_PER_S, token: str = "") -> None:
        if not _NAME(name):
            raise TenantError("field 'name' is no name of small letters, digits and hyphens")
        self.name, self.token = name, token
        self.quota, self.admin_quota = TokenBucket(per_s), TokenBucket(ADMIN_PER_S)
        self.keys: dict[dns.name.Name, bytes] = {}
        self.zones: dict[dns.name.Name, TenantZone] = {}

    def add_key(self, name: dns.name.Name, secret: bytes) -> None:
        if name not in self.keys and len(self.keys) >= MOST_KEYS:
            raise TenantError(f"a tenant holds {MOST_KEYS} keys at most")
        self.keys[name] = secret


def read_quota(value: object) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float) or not 0 < value <= 1e6:
        raise TenantError("field 'quota_per_s' is no number over 0")
    return float(value)


def read_quotas(text: str) -> dict[str, float]:
    """The quotas of a document; TenantError names what cannot be used."""
    try:
        value = ujson.loads(text)
    except ValueError as error:
        raise TenantError(f"no JSON: {error}") from None
    rows = value.get("quotas") if isinstance(value, dict) else None
    if not isinstance(rows, dict) or len(value) != 1:
        raise TenantError("expected an object with the one field 'quotas'")
    out = {}
    for name, per_s in rows.items():
        try:
            out[name] = read_quota(per_s)
        except TenantError as error:
            raise TenantError(f"quota of '{name}': {error}") from None
    return out


def read_name(text: object) -> dns.name.Name:
    try:
        return dns.name.from_text(str(text)).canonicalize()
    except (dns.exception.DNSException, UnicodeError):
        raise TenantError(f"'{text}' is no domain name") from None


def read_key(name: object, secret: object) -> tuple[dns.name.Name, bytes]:
    try:
        raw = base64.b64decode(str(secret), validate=True)
    except binascii.Error:
        raise TenantError("field 'secret' is no base64") from None
    if len(raw) < 16:
        raise TenantError("field 'secret' has under 16 bytes")
    return read_name(name), raw


def read_zone(tenant: str, name: str, text: str, routed: str | None = None) -> TenantZone:
    """A zone from the text of a zone file. Includes are off: the text may be a tenant's."""
    if len(text) > MOST_TEXT:
        raise TenantError(f"zone '{name}': over {MOST_TEXT} bytes")
    origin = read_name(name)
    try:
        data = dns.zone.from_text(
            text, origin, relativize=False, zone_factory=dns.versioned.Zone, allow_include=False
        )
        below = dns.name.from_text(routed, origin) if routed else None
    except (dns.exception.DNSException, ValueError) as error:
        raise TenantError(f"zone '{name}': {error}") from None
    assert isinstance(data, dns.versioned.Zone)
    if below is not None and (below == origin or not below.is_subdomain(origin)):
        raise TenantError(f"zone '{name}': 'routed' is no name below it")
    return TenantZone(origin, tenant, data, below)


def read_zone_file(tenant: str, name: str, path: Path, routed: str | None = None) -> TenantZone:
    try:
        return read_zone(tenant, name, path.read_text(), routed)
    except OSError as error:
        raise TenantError(f"zone '{name}': {error}") from None


class Tenants:
    """All tenants, and which zone a name belongs to."""

    def __init__(self) -> None:
        self.tenants: dict[str, Tenant] = {}
        self.zones: dict[
            dns.name.Name, TenantZone
        ] = {}  # of all tenants: a name is looked up in one step a label

    def add(self, tenant: Tenant) -> None:
        if tenant.name in self.tenants:
            raise AlreadyExistsError(f"tenant '{tenant.name}' exists")
        if len(self.tenants) >= MOST_TENANTS:
            raise TenantError(f"{MOST_TENANTS} tenants at most")
        self.tenants[tenant.name] = tenant

    def remove(self, name: str) -> None:
        for zone in self.tenants.pop(name).zones:
            del self.zones[zone]

    def add_zone(self, zone: TenantZone) -> None:
        """Take in a zone, or the new text of one that this tenant has. A name has one tenant for good."""
        held, tenant = self.zones.get(zone.name), self.tenants[zone.tenant]
        if held is not None and held.tenant != zone.tenant:
            raise AlreadyExistsError(f"zone '{zone.name}' exists")
        if (above := self.zone_of(zone.name)) is not None and above.tenant != zone.tenant:
            raise AlreadyExistsError(f"zone '{zone.name}' lies in another tenant's")
        if held is None and len(tenant.zones) >= MOST_ZONES:
            raise TenantError(f"a tenant holds {MOST_ZONES} zones at most")
        self.zones[zone.name] = tenant.zones[zone.name] = zone

    def remove_zone(self, zone: TenantZone) -> None:
        del self.zones[zone.name], self.tenants[zone.tenant].zones[zone.name]

    def zone_of(self, name: dns.name.Name) -> TenantZone | None:
        """The nearest zone at or above a name."""
        while True:
            if zone := self.zones.get(name):
                return zone
            if name == dns.name.root or not len(name):
                return None
            name = name.parent()

    def apply_quotas(self, text: str) -> None:
        """Set tenants' quotas from a document `{"quotas": {NAME: QUERIES_A_SECOND}}`, all or none.

        TenantError where any entry cannot be used. Tenants that this director does not have are passed over.
        """
        quotas = read_quotas(text)
        for name, per_s in quotas.items():
            tenant = self.tenants.get(name)
            if tenant is not None and tenant.quota.per_s != per_s:
                tenant.quota.per_s = per_s

    def keyring(self) -> dict[dns.name.Name, bytes]:
        return {name: key for tenant in self.tenants.values() for name, key in tenant.keys.items()}

    def by_token(self, token: str) -> Tenant | None:
        """The tenant that a token belongs to; each is compared in constant time."""
        found = None
        for tenant in self.tenants.values():
            if tenant.token and hmac.compare_digest(tenant.token.encode(), token.encode()):
                found = tenant
        return found
