"""Where the DNS front listens and for whom: a file of its own under deploy/. Without it the front is off."""

from __future__ import annotations

import base64
import binascii
import tomllib
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import dns.exception
import dns.name

from onyxwick.config import ConfigError
from onyxwick.net.coordinator import read_address
from onyxwick.tenants import Quota, Tenant, TenantError, Tenants, read_zone_file

DEADLINE_MS, QUOTA_PER_S = 1000, 500.0


@dataclass(slots=True)
class DnsConfig:
    listen: tuple[str, int]
    deadline_us: int
    tenants: Tenants


def _key(row: dict[str, Any]) -> tuple[dns.name.Name, bytes]:
    try:
        return dns.name.from_text(row["name"]), base64.b64decode(row["secret"], validate=True)
    except (KeyError, TypeError, binascii.Error, dns.exception.DNSException):
        raise ConfigError("dns.toml: field 'tenant.key' needs a name and a secret in base64") from None


def _tenant(row: dict[str, Any], folder: Path, tenants: Tenants) -> None:
    name, quota = row.get("name"), row.get("quota_per_s", QUOTA_PER_S)
    if not isinstance(name, str) or not name:
        raise ConfigError("dns.toml: field 'tenant.name' is missing")
    if not isinstance(quota, int | float) or quota <= 0:
        raise ConfigError(f"dns.toml: field 'tenant.quota_per_s' of {name} is no number over 0")
    tenants.add(Tenant(name, Quota(quota), dict(_key(key) for key in row.get("key", []))))
    for zone in row.get("zone", []):
        if not isinstance(zone.get("name"), str) or not isinstance(zone.get("file"), str):
            raise ConfigError(f"dns.toml: field 'tenant.zone' of {name} needs a name and a file")
        tenants.add_zone(read_zone_file(name, zone["name"], folder / zone["file"], zone.get("routed")))


def load(path: Path) -> DnsConfig | None:
    """The front's configuration; None where the file gives no address to listen on."""
    try:
        data = tomllib.loads(path.read_text())
        if "listen" not in data:
            return None
        tenants = Tenants()
        for row in data.get("tenant", []):
            _tenant(row, path.parent, tenants)
        return DnsConfig(
            read_address(data["listen"]), int(data.get("deadline_ms", DEADLINE_MS)) * 1000, tenants
        )
    except TenantError as error:
        raise ConfigError(f"dns.toml: {error}") from None
    except (OSError, ValueError) as error:
        raise ConfigError(f"dns.toml: {error}") from None
