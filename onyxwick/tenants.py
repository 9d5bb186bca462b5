"""Tenants of the hosted service with their zones, keys and quotas. This module does no I/O."""

from __future__ import annotations

import base64
import binascii
import hmac
import re

import dns.name
import ujson

from onyxwick.quota import TokenBucket
from onyxwick.tenant_errors import AlreadyExistsError, TenantError
from onyxwick.work_quota import WorkQuota
from onyxwick.zones import TenantZone, UnreadZone, read_name

DEFAULT_QUOTA_PER_S = 500.0
"""Queries per second allowed to a tenant without its own quota."""
MAX_QUOTA_PER_S = 1e6
ADMIN_REQUESTS_PER_S = 20.0
"""Administration requests per second allowed to each tenant."""
WORK_MS_PER_S = 500.0
"""Processor time in ms that each tenant's zones may take of each second, and its updates as well."""
WORK_BURST_S = 10.0
"""Work of this many seconds ahead may be done at once, as a tenant puts some large zones in a row."""
MAX_TENANTS = 16_384
MAX_ZONES = 32
"""Maximum number of zones of one tenant."""
MAX_KEYS = 16
"""Maximum number of keys of one tenant."""
MIN_SECRET_BYTES = 16


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
        self.zone_quota = WorkQuota(WORK_MS_PER_S, WORK_BURST_S)
        """Processor time of reading the zones that calls bring; other calls and queries are apart."""
        self.update_quota = WorkQuota(WORK_MS_PER_S, WORK_BURST_S)
        """Processor time of applying updates."""
        self.keys: dict[dns.name.Name, bytes] = {}
        self.zones: dict[dns.name.Name, TenantZone] = {}
        self.unread: dict[dns.name.Name, UnreadZone] = {}
        """Stored zones that are not parsed yet."""

    def zone_names(self) -> list[dns.name.Name]:
        """Return the names of all zones, parsed or not."""
        return [*self.zones, *self.unread]


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


def read_key(name: object, secret: object) -> tuple[dns.name.Name, bytes]:
    """Parse a TSIG key's name and its base64 secret. Raises TenantError if either is invalid."""
    try:
        raw = base64.b64decode(str(secret), validate=True)
    except binascii.Error:
        raise TenantError("field 'secret' is no base64") from None
    if len(raw) < MIN_SECRET_BYTES:
        raise TenantError(f"field 'secret' has fewer than {MIN_SECRET_BYTES} bytes")
    return read_name(name), raw


class Tenants:
    """All tenants, and an index of their zones by name."""

    def __init__(self) -> None:
        self.tenants: dict[str, Tenant] = {}
        self.zones: dict[dns.name.Name, TenantZone] = {}
        """The parsed zones of all tenants by name."""
        self.unread: dict[dns.name.Name, UnreadZone] = {}
        """The stored zones of all tenants that are not parsed yet, by name."""
        self._zones_by_labels: dict[tuple[bytes, ...], TenantZone | UnreadZone] = {}
        self._most_labels = 0
        """The most labels that a zone's name has had; longer names are cut before they are looked up."""
        self.keys: dict[dns.name.Name, bytes] = {}
        """The TSIG keys of all tenants by key name."""
        self._zones_below: dict[dns.name.Name, dict[str, int]] = {}
        """For each name above zones, the number of zones below it by tenant."""

    def add(self, tenant: Tenant) -> None:
        """Add a tenant. Raises AlreadyExistsError for a known name, TenantError above MAX_TENANTS."""
        if tenant.name in self.tenants:
            raise AlreadyExistsError(f"tenant '{tenant.name}' exists")
        if len(self.tenants) >= MAX_TENANTS:
            raise TenantError(f"there can be at most {MAX_TENANTS} tenants")
        self.tenants[tenant.name] = tenant
        for key, secret in tenant.keys.items():
            self.keys[key] = secret

    def remove(self, name: str) -> None:
        """Remove a tenant and its zones. Raises KeyError if there is no such tenant."""
        tenant = self.tenants.pop(name)
        for zone in tenant.zones.values():
            self._remove_from_index(zone)
        for unread in tenant.unread.values():
            self._remove_from_index(unread)
        for key in tenant.keys:
            self._drop_key(key)

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
        tenant = self._put_into_index(zone)
        if tenant.unread.pop(zone.name, None) is not None:
            del self.unread[zone.name]
        self.zones[zone.name] = zone
        tenant.zones[zone.name] = zone

    def add_unread_zone(self, zone: UnreadZone) -> None:
        """Take the name of a stored zone, which `add_accepted_zone` replaces once it is parsed.

        Raises the same errors.
        """
        tenant = self._put_into_index(zone)
        self.unread[zone.name] = zone
        tenant.unread[zone.name] = zone

    def _put_into_index(self, zone: TenantZone | UnreadZone) -> Tenant:
        """Take a name for a zone, or replace the same tenant's zone of that name; returns the tenant."""
        tenant = self.tenants[zone.tenant]
        labels = _labels_of(zone.name)
        existing = self._zones_by_labels.get(labels)
        if existing is not None and existing.tenant != zone.tenant:
            raise AlreadyExistsError(f"zone '{zone.name}' exists")
        if existing is None:
            if len(tenant.zones) + len(tenant.unread) >= MAX_ZONES:
                raise TenantError(f"a tenant can have at most {MAX_ZONES} zones")
            self._count_above(zone, 1)
        self._zones_by_labels[labels] = zone
        self._most_labels = max(self._most_labels, len(labels))
        return tenant

    def remove_zone(self, zone: TenantZone | UnreadZone) -> None:
        """Remove a zone. Raises KeyError if there is no such zone."""
        tenant = self.tenants[zone.tenant]
        if tenant.unread.pop(zone.name, None) is None:
            del tenant.zones[zone.name]
        self._remove_from_index(zone)

    def _remove_from_index(self, zone: TenantZone | UnreadZone) -> None:
        if self.unread.pop(zone.name, None) is None:
            del self.zones[zone.name]
        del self._zones_by_labels[_labels_of(zone.name)]
        self._count_above(zone, -1)

    def _count_above(self, zone: TenantZone | UnreadZone, change: int) -> None:
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
        """Return the parsed zone whose name is given as text; None if there is none."""
        try:
            return self.zones.get(read_name(text))
        except TenantError:
            return None

    def nearest_zone(self, name: dns.name.Name) -> TenantZone | UnreadZone | None:
        """Return the nearest zone at or above a name; None if there is no such zone."""
        return self.nearest_zone_of_labels(tuple([label.lower() for label in name.labels]))

    def nearest_zone_of_labels(self, labels: tuple[bytes, ...]) -> TenantZone | UnreadZone | None:
        """Return the nearest zone at or above a name, given its labels in lower case; None if none is."""
        labels = labels[-self._most_labels :]
        for start in range(len(labels)):
            if zone := self._zones_by_labels.get(labels[start:]):
                return zone
        return None

    def apply_quotas(self, text: str) -> None:
        """Set tenants' quotas from a document `{"quotas": {NAME: QUERIES_PER_SECOND}}`, all or none.

        Raises TenantError if any entry is invalid. Tenants that this director does not have are ignored.
        """
        quotas = read_quotas(text)
        for name, per_s in quotas.items():
            tenant = self.tenants.get(name)
            if tenant is not None and tenant.quota.tokens_per_s != per_s:
                tenant.quota.tokens_per_s = per_s

    def add_key(self, tenant: Tenant, name: dns.name.Name, secret: bytes) -> None:
        """Add or replace a tenant's TSIG key. Raises TenantError if the tenant has MAX_KEYS other keys."""
        if name not in tenant.keys and len(tenant.keys) >= MAX_KEYS:
            raise TenantError(f"a tenant can have at most {MAX_KEYS} keys")
        tenant.keys[name] = secret
        self.keys[name] = secret

    def remove_key(self, tenant: Tenant, name: dns.name.Name) -> bool:
        """Remove a tenant's TSIG key. Returns whether it had such a key."""
        if tenant.keys.pop(name, None) is None:
            return False
        self._drop_key(name)
        return True

    def _drop_key(self, name: dns.name.Name) -> None:
        """Remove a key from the index, unless another tenant of the service file has one of that name."""
        others = [tenant.keys[name] for tenant in self.tenants.values() if name in tenant.keys]
        if others:
            self.keys[name] = others[-1]
        else:
            self.keys.pop(name, None)

    def tenant_of_token(self, token: str) -> Tenant | None:
        """Return the tenant that a token belongs to, or None; each comparison takes constant time."""
        found = None
        for tenant in self.tenants.values():
            if tenant.token and hmac.compare_digest(tenant.token.encode(), token.encode()):
                found = tenant
        return found


def _labels_of(name: dns.name.Name) -> tuple[bytes, ...]:
    return tuple([label.lower() for label in name.labels])
