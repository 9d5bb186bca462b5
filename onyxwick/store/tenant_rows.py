"""Tenants as rows of the store: quota, token, zones and keys, with the secrets encrypted."""

from __future__ import annotations

import base64
from collections.abc import Iterable

from onyxwick.store.encryption import SecretCipher
from onyxwick.store.row_schema import StoredRow, StoredRows, row_kind
from onyxwick.tenants import Tenant, Tenants, read_key, read_zone

_ENCRYPTED_FIELDS = {"tenant": "token", "key": "secret"}  # by kind of row


def tenant_key(name: str) -> str:
    """The key of a tenant's own row."""
    return f"tenant/{name}"


def deleted_tenant_key(name: str) -> str:
    """The key of the row that keeps a deleted tenant deleted."""
    return f"gone/{name}"


def tenant_prefixes(name: str) -> tuple[str, ...]:
    """Prefixes of all keys of a tenant; those of tenants with longer names may begin with them too."""
    return (tenant_key(name), f"zone/{name}/", f"key/{name}/", deleted_tenant_key(name))


def is_of_tenant(key: str, name: str) -> bool:
    """Is this a key of the tenant, not of one with a longer name?"""
    return key.split("/")[1] == name


def tenant_rows(tenant: Tenant, cipher: SecretCipher) -> StoredRows:
    """All rows of a tenant."""
    token = cipher.encrypt(tenant.token.encode()) if tenant.token else b""
    rows: StoredRows = {tenant_key(tenant.name): {"quota_per_s": tenant.quota.per_s, "token": token}}
    for name, zone in tenant.zones.items():
        routed = str(zone.routed) if zone.routed is not None else None
        text = zone.data.to_text(relativize=False)
        rows[f"zone/{tenant.name}/{name}"] = {"text": text, "routed": routed}
    for name, secret in tenant.keys.items():
        rows[f"key/{tenant.name}/{name}"] = {"secret": cipher.encrypt(secret)}
    return rows


def add_tenant(
    tenants: Tenants, name: str, row: StoredRow, parts: Iterable[tuple[str, StoredRow]], cipher: SecretCipher
) -> None:
    """Add a tenant from its own row and those of its zones and keys.

    StoreUnusableError where a secret cannot be decrypted, TenantError where a row cannot be used.
    """
    token = cipher.decrypt(row["token"], tenant_key(name)).decode() if row["token"] else ""
    tenant = Tenant(name, float(row["quota_per_s"]), token)
    tenants.add(tenant)
    for key, part in parts:
        kind, _, rest = key.partition("/")
        part_name = rest.partition("/")[2]
        if kind == "zone":
            tenants.add_zone(read_zone(name, part_name, part["text"], part["routed"]))
        elif kind == "key":
            secret = cipher.decrypt(part["secret"], key)
            tenant.add_key(*read_key(part_name, base64.b64encode(secret).decode()))


def with_plain_secret(key: str, row: StoredRow, cipher: SecretCipher) -> StoredRow:
    """A row with its secret decrypted: encrypting the same secret twice gives other bytes."""
    field = _ENCRYPTED_FIELDS.get(row_kind(key))
    if field is None or not row[field]:
        return row
    return {**row, field: cipher.decrypt(row[field], key)}
