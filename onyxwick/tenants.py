"""Tenants of the hosted service: their zones, keys and quotas. Nothing here knows a wire."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from pathlib import Path

import dns.exception
import dns.name
import dns.versioned
import dns.zone

BURST_S = 1.0  # of its quota that a tenant can save up


class TenantError(ValueError):
    """What was asked of the tenants cannot be; the text names the field."""


class Quota:
    """So many queries a second, counted for one tenant alone: none can starve another."""

    def __init__(self, per_s: float, clock: Callable[[], float] = time.monotonic) -> None:
        self.per_s, self.clock = per_s, clock
        self.saved, self.at = per_s * BURST_S, clock()

    def take(self) -> bool:
        now = self.clock()
        self.saved = min(max(1.0, self.per_s * BURST_S), self.saved + (now - self.at) * self.per_s)
        self.at = now
        if self.saved < 1:
            return False
        self.saved -= 1
        return True


@dataclass(slots=True, eq=False)
class Zone:
    """One zone with its static names; what lies under `routed` is answered by the core."""

    name: dns.name.Name
    tenant: str
    data: dns.versioned.Zone
    routed: dns.name.Name | None = None


@dataclass(slots=True, eq=False)
class Tenant:
    name: str
    quota: Quota
    keys: dict[dns.name.Name, bytes] = field(default_factory=dict)
    zones: dict[dns.name.Name, Zone] = field(default_factory=dict)


def read_zone(tenant: str, name: str, text: str, routed: str | None = None) -> Zone:
    """A zone from the text of a zone file."""
    try:
        origin = dns.name.from_text(name)
        data = dns.zone.from_text(text, origin, relativize=False, zone_factory=dns.versioned.Zone)
        below = dns.name.from_text(routed, origin) if routed else None
    except (dns.exception.DNSException, ValueError) as error:
        raise TenantError(f"zone '{name}': {error}") from None
    assert isinstance(data, dns.versioned.Zone)
    if below is not None and (below == origin or not below.is_subdomain(origin)):
        raise TenantError(f"zone '{name}': 'routed' is no name below it")
    return Zone(origin, tenant, data, below)


def read_zone_file(tenant: str, name: str, path: Path, routed: str | None = None) -> Zone:
    try:
        return read_zone(tenant, name, path.read_text(), routed)
    except OSError as error:
        raise TenantError(f"zone '{name}': {error}") from None


class Tenants:
    """All tenants, and which zone a name belongs to."""

    def __init__(self, tenants: Iterable[Tenant] = ()) -> None:
        self.tenants: dict[str, Tenant] = {}
        for tenant in tenants:
            self.add(tenant)

    def add(self, tenant: Tenant) -> None:
        if tenant.name in self.tenants:
            raise TenantError(f"tenant '{tenant.name}' exists")
        self.tenants[tenant.name] = tenant

    def remove(self, name: str) -> None:
        del self.tenants[name]

    def add_zone(self, zone: Zone) -> None:
        if any(zone.name in tenant.zones for tenant in self.tenants.values()):
            raise TenantError(f"zone '{zone.name}' exists")
        self.tenants[zone.tenant].zones[zone.name] = zone

    def zone_of(self, name: dns.name.Name) -> Zone | None:
        """The nearest zone above a name."""
        while True:
            for tenant in self.tenants.values():
                if zone := tenant.zones.get(name):
                    return zone
            if name == dns.name.root or not len(name):
                return None
            name = name.parent()

    def keyring(self) -> dict[dns.name.Name, bytes]:
        return {name: key for tenant in self.tenants.values() for name, key in tenant.keys.items()}
