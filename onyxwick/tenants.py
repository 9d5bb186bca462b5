"""Tenants of the hosted service with their zones, keys and quotas. Only `read_zone_file` performs I/O."""

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
"""Queries per second allowed to a tenant without its own quota."""
MAX_QUOTA_PER_S = 1e6
ADMIN_REQUESTS_PER_S = 20.0
"""Administration requests per second allowed to each tenant."""
MAX_TENANTS = 16_384
MAX_ZONES = 32
"""Maximum number of zones of one tenant."""
MAX_KEYS = 16
"""Maximum number of keys of one tenant."""
MAX_ZONE_CHARACTERS = 262_144
"""Maximum length of a zone file's text, in characters."""
MIN_SECRET_BYTES = 16


class TenantError(OnyxwickError, ValueError):
    """A tenant, zone, key or quota is invalid; the message names the field."""


class AlreadyExistsError(TenantError):
    """The tenant or zone to be created already exists, or lies in another tenant's zone."""


@dataclass(slots=True, eq=False)
class TenantZone:
    """One zone with its static names. The request core answers names below `routed`."""

    name: dns.name.Name
    tenant: str
    data: dns.versioned.Zone
    routed: dns.name.Name | None = None


_match_name = re.compile(r"[a-z0-9][a-z0-9-]{0,62}").fullmatch


class Tenant:
    """One tenant with its zones and keys. Its token authorizes administration calls for this tenant only.

    `per_s` is its quota in queries per second. Raises TenantError if `name` is invalid.
    """

    def __init__(self, name: str, per_s: float = DEFAULT_QUOTA_PER_S, token: str = "") -> None:
        if not _match_name(name):
            raise TenantError("field 'name' is no name of small letters, digits and hyphens")
        self.name = name
        self.token = token
        self.quota = TokenBucket(per_s)
        self.admin_quota = TokenBucket(ADMIN_REQUESTS_PER_S)
        self.keys: dict[dns.name.Name, bytes] = {}
        self.zones: dict[dns.name.Name, TenantZone] = {}

    def add_key(self, name: dns.name.Name, secret: bytes) -> None:
        """Add or replace a TSIG key. Raises TenantError if the tenant already has MAX_KEYS other keys."""
        if name not in self.keys and len(self.keys) >= MAX_KEYS:
            raise TenantError(f"a tenant can have at most {MAX_KEYS} keys")
        self.keys[name] = secret


def read_quota(value: object) -> float:
    """Parse a quota in queries per second. Raises TenantError if it is not a number within its bounds."""
    if isinstance(value, bool) or not isinstance(value, int | float) or not 0 < value <= MAX_QUOTA_PER_S:
        raise TenantError("field 'quota_per_s' is no number over 0")
    return float(value)


def read_quotas(text: str) -> dict[str, float]:
    """Parse a document of quotas by tenant. Raises TenantError, which names the first invalid entry."""
    try:
        value = ujson.loads(text)
    except ValueError as error:
        raise TenantError(f"the quota document is not JSON: {error}") from None
    rows = value.get("quotas") if isinstance(value, dict) else None
    if not isinstance(rows, dict) or len(value) != 1:
        raise TenantError("expected an object with 'quotas' as its only field, which holds an object")
    quotas = {}
    for name, per_s in rows.items():
        try:
            quotas[name] = read_quota(per_s)
        except TenantError as error:
            raise TenantError(f"quota of '{name}': {error}") from None
    return quotas


def read_name(text: object) -> dns.name.Name:
    """Parse a domain name into canonical form. Raises TenantError if the text is not a domain name."""
    try:
        return dns.name.from_text(str(text)).canonicalize()
    except (dns.exception.DNSException, UnicodeError):
        raise TenantError(f"'{text}' is not a domain name") from None


def read_key(name: object, secret: object) -> tuple[dns.name.Name, bytes]:
    """Parse a TSIG key's name and its base64 secret. Raises TenantError if either is invalid."""
    try:
        raw = base64.b64decode(str(secret), validate=True)
    except binascii.Error:
        raise TenantError("field 'secret' is no base64") from None
    if len(raw) < MIN_SECRET_BYTES:
        raise TenantError(f"field 'secret' has fewer than {MIN_SECRET_BYTES} bytes")
    return read_name(name), raw


def read_zone(tenant: str, name: str, text: str, routed: str | None = None) -> TenantZone:
    """Parse a zone from the text of a zone file. Raises TenantError if the text or `routed` is invalid.

    `routed` is relative to the zone's name. `$INCLUDE` is rejected, because the text may come from a tenant.
    """
    if len(text) > MAX_ZONE_CHARACTERS:
        raise TenantError(f"zone '{name}': longer than {MAX_ZONE_CHARACTERS} characters")
    return read_accepted_zone(tenant, name, text, routed)


def read_accepted_zone(tenant: str, name: str, text: str, routed: str | None = None) -> TenantZone:
    """Parse a zone that was accepted before, of any length: its text may have been written out since.

    Raises TenantError if the text or `routed` is invalid.
    """
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
        raise TenantError(f"zone '{name}': 'routed' is not a name below the zone")
    return TenantZone(origin, tenant, data, routed_name)


def read_zone_file(tenant: str, name: str, path: Path, routed: str | None = None) -> TenantZone:
    """Read a zone file. Raises TenantError if the file cannot be read or is invalid."""
    try:
        return read_zone(tenant, name, path.read_text(), routed)
    except OSError as error:
        raise TenantError(f"zone '{name}': {error}") from None


class Tenants:
    """All tenants, and an index of their zones by name."""

    def __init__(self) -> None:
        self.tenants: dict[str, Tenant] = {}
        self.zones: dict[dns.name.Name, TenantZone] = {}
        """The zones of all tenants by name; `nearest_zone` takes one step per label of the name."""
        self._zones_below: dict[dns.name.Name, dict[str, int]] = {}
        """For each name above zones, the number of zones below it by tenant."""

    def add(self, tenant: Tenant) -> None:
        """Add a tenant. Raises AlreadyExistsError for a known name, TenantError above MAX_TENANTS."""
        if tenant.name in self.tenants:
            raise AlreadyExistsError(f"tenant '{tenant.name}' exists")
        if len(self.tenants) >= MAX_TENANTS:
            raise TenantError(f"there can be at most {MAX_TENANTS} tenants")
        self.tenants[tenant.name] = tenant

    def remove(self, name: str) -> None:
        """Remove a tenant and its zones. Raises KeyError if there is no such tenant."""
        for zone in self.tenants.pop(name).zones.values():
            self._remove_from_index(zone)

    def add_zone(self, zone: TenantZone) -> None:
        """Add a zone, or replace a zone of the same tenant.

        Raises AlreadyExistsError if the name is another tenant's zone or lies in one, and TenantError if the
        tenant already has MAX_ZONES zones.
        """
        enclosing = self.nearest_zone(zone.name)
        if enclosing is not None and enclosing.name != zone.name and enclosing.tenant != zone.tenant:
            raise AlreadyExistsError(f"zone '{zone.name}' lies in another tenant's")
        self.add_accepted_zone(zone)

    def add_outermost_zone(self, zone: TenantZone) -> None:
        """Add a zone like `add_zone`, but not around another tenant's zones, whatever the order of the calls.

        Raises AlreadyExistsError if it encloses another tenant's zone, too.
        """
        if self._zones_below.get(zone.name, {}).keys() - {zone.tenant}:
            raise AlreadyExistsError(f"zone '{zone.name}' encloses another tenant's")
        self.add_zone(zone)

    def add_accepted_zone(self, zone: TenantZone) -> None:
        """Add a zone that was accepted before, whatever zones of other tenants lie around or below it.

        Raises AlreadyExistsError if the name is another tenant's zone, and TenantError if the tenant already
        has MAX_ZONES zones.
        """
        tenant = self.tenants[zone.tenant]
        existing = self.zones.get(zone.name)
        if existing is not None and existing.tenant != zone.tenant:
            raise AlreadyExistsError(f"zone '{zone.name}' exists")
        if existing is None:
            if len(tenant.zones) >= MAX_ZONES:
                raise TenantError(f"a tenant can have at most {MAX_ZONES} zones")
            self._count_above(zone, 1)
        self.zones[zone.name] = zone
        tenant.zones[zone.name] = zone

    def remove_zone(self, zone: TenantZone) -> None:
        """Remove a zone. Raises KeyError if there is no such zone."""
        del self.tenants[zone.tenant].zones[zone.name]
        self._remove_from_index(zone)

    def _remove_from_index(self, zone: TenantZone) -> None:
        del self.zones[zone.name]
        self._count_above(zone, -1)

    def _count_above(self, zone: TenantZone, change: int) -> None:
        """Count a zone that is added (1) or removed (-1) at each name above it."""
        name = zone.name
        while name != dns.name.root and len(name):
            name = name.parent()
            counts = self._zones_below.setdefault(name, {})
            counts[zone.tenant] = counts.get(zone.tenant, 0) + change
            if not counts[zone.tenant]:
                del counts[zone.tenant]
            if not counts:
                del self._zones_below[name]

    def zone_of_text(self, text: str) -> TenantZone | None:
        """Return the zone whose name is given as text; None if there is none."""
        try:
            return self.zones.get(read_name(text))
        except TenantError:
            return None

    def nearest_zone(self, name: dns.name.Name) -> TenantZone | None:
        """Return the nearest zone at or above a name; None if there is no such zone."""
        while True:
            if zone := self.zones.get(name):
                return zone
            if name == dns.name.root or not len(name):
                return None
            name = name.parent()

    def apply_quotas(self, text: str) -> None:
        """Set tenants' quotas from a document `{"quotas": {NAME: QUERIES_PER_SECOND}}`, all or none.

        Raises TenantError if any entry is invalid. Tenants that this director does not have are ignored.
        """
        quotas = read_quotas(text)
        for name, per_s in quotas.items():
            tenant = self.tenants.get(name)
            if tenant is not None and tenant.quota.tokens_per_s != per_s:
                tenant.quota.tokens_per_s = per_s

    def keyring(self) -> dict[dns.name.Name, bytes]:
        """Return the TSIG keys of all tenants by key name."""
        return {name: key for tenant in self.tenants.values() for name, key in tenant.keys.items()}

    def tenant_of_token(self, token: str) -> Tenant | None:
        """Return the tenant that a token belongs to, or None; each comparison takes constant time."""
        found = None
        for tenant in self.tenants.values():
            if tenant.token and hmac.compare_digest(tenant.token.encode(), token.encode()):
                found = tenant
        return found
