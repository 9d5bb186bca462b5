"""The hosted service's configuration: a file of its own under deploy/. Without it both its fronts are off."""

from __future__ import annotations

import tomllib
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from onyxwick.config import ConfigError
from onyxwick.net.coordinator import read_address
from onyxwick.tenants import QUOTA_PER_S, Tenant, TenantError, Tenants, read_key, read_quota, read_zone_file

DEADLINE_MS = 1000
Address = tuple[str, int]


@dataclass(slots=True)
class ServiceConfig:
    """Where the DNS front and the administration API listen (None: off), and for whom."""

    tenants: Tenants
    dns: Address | None = None
    deadline_us: int = DEADLINE_MS * 1000
    admin: Address | None = None
    token: str = ""


def _tenant(row: dict[str, Any], folder: Path, tenants: Tenants) -> None:
    tenant = Tenant(
        str(row.get("name", "")), read_quota(row.get("quota_per_s", QUOTA_PER_S)), str(row.get("token", ""))
    )
    tenants.add(tenant)
    for key in row.get("key", []):
        tenant.add_key(*read_key(key.get("name"), key.get("secret")))
    for zone in row.get("zone", []):
        if not isinstance(zone.get("name"), str) or not isinstance(zone.get("file"), str):
            raise TenantError(f"field 'tenant.zone' of {tenant.name} needs a name and a file")
        path = folder / zone["file"]
        tenants.add_zone(read_zone_file(tenant.name, zone["name"], path, zone.get("routed")))


def _token(path: Path) -> str:
    token = path.read_text().strip()
    if len(token) < 16:
        raise ConfigError(f"field 'admin.token_file': {path.name} holds no token of 16 characters or more")
    return token


def load(path: Path) -> ServiceConfig:
    try:
        data = tomllib.loads(path.read_text())
        out = ServiceConfig(Tenants())
        if "dns" in data:
            out.dns = read_address(data["dns"].get("listen"))
            out.deadline_us = int(data["dns"].get("deadline_ms", DEADLINE_MS)) * 1000
        if "admin" in data:
            out.admin = read_address(data["admin"].get("listen"))
            if not out.admin[0].startswith("127."):
                raise ConfigError("field 'admin.listen' is no loopback address")
            out.token = _token(path.parent / str(data["admin"].get("token_file", "")))
        for row in data.get("tenant", []):
            _tenant(row, path.parent, out.tenants)
    except (ConfigError, TenantError, ValueError, AttributeError, TypeError, OSError) as error:
        raise ConfigError(f"{path.name}: {error}") from None
    return out
