"""Converts tenants to rows of the store and back: quota, token, zones and keys, with encrypted secrets."""

from __future__ import annotations

import base64
from collections.abc import Iterable

from onyxwick.store.encryption import SecretCipher
from onyxwick.store.errors import SecretUnreadableError
from onyxwick.store.row_schema import StoredRow, StoredRows, row_kind
from onyxwick.tenant_errors import TenantError
from onyxwick.tenants import Tenant, Tenants, read_key
from onyxwick.zones import TenantZone, UnreadZone, read_name

_ENCRYPTED_FIELDS = {"tenant": "token", "key": "secret"}  # the encrypted field of a row, by kind of row
UnusedRowError = TenantError | SecretUnreadableError
"""Why a stored row of a tenant is not used."""


def tenant_key(name: str) -> str:
    """Return the key of a tenant's main row."""
    return f"tenant/{name}"


def deleted_tenant_key(name: str) -> str:
    """Return the key of the row that marks a tenant as deleted."""
    return f"gone/{name}"


def zone_prefix(name: str) -> str:
    """Return the prefix of the keys of a tenant's zones."""
    return f"zone/{name}/"


def key_prefix(name: str) -> str:
    """Return the prefix of the row keys of a tenant's TSIG keys."""
    return f"key/{name}/"


def tenant_prefixes(name: str) -> tuple[str, ...]:
    """Return the prefixes of all keys of a tenant. Keys of tenants with longer names may match them too."""
    return (tenant_key(name), zone_prefix(name), key_prefix(name), deleted_tenant_key(name))


def is_of_tenant(key: str, name: str) -> bool:
    """Return whether a key belongs to the tenant and not to a tenant with a longer name."""
    return key.split("/")[1] == name


def tenant_rows(tenant: Tenant, cipher: SecretCipher) -> StoredRows:
    """Convert a tenant to its rows, by key."""
    token = cipher.encrypt(tenant.token.encode()) if tenant.token else b""
    rows: StoredRows = {tenant_key(tenant.name): {"quota_per_s": tenant.quota.tokens_per_s, "token": token}}
    rows.update(map(zone_row, tenant.zones.values()))
    for name, secret in tenant.keys.items():
        rows[f"{key_prefix(tenant.name)}{name}"] = {"secret": cipher.encrypt(secret)}
    return rows


def zone_row(zone: TenantZone) -> tuple[str, StoredRow]:
    """Convert a zone to its row; returns the row's key and the row."""
    routed = str(zone.routed) if zone.routed is not None else None
    return f"{zone_prefix(zone.tenant)}{zone.name}", {"text": zone.text, "routed": routed}


def add_tenant(
    tenants: Tenants,
    name: str,
    row: StoredRow,
    zone_keys: Iterable[str],
    key_rows: Iterable[tuple[str, StoredRow]],
    cipher: SecretCipher,
) -> dict[str, UnusedRowError]:
    """Add a tenant from its main row, the keys of its zones' rows and the rows of its keys, if usable.

    The zones are added as unread. Returns why rows are not used, by their keys. Without its main row a tenant
    has none of its parts.
    """
    zone_keys, key_rows = list(zone_keys), list(key_rows)
    try:
        token = cipher.decrypt(row["token"], tenant_key(name)).decode() if row["token"] else ""
        tenant = Tenant(name, float(row["quota_per_s"]), token)
        tenants.add(tenant)
    except (TenantError, SecretUnreadableError) as error:
        return dict.fromkeys([tenant_key(name), *zone_keys, *(key for key, _ in key_rows)], error)
    unused = dict[str, UnusedRowError]()
    for key in zone_keys:
        try:
            tenants.add_unread_zone(UnreadZone(read_name(part_name(key)), name, key))
        except TenantError as error:
            unused[key] = error
    for key, part in key_rows:
        try:
            secret = cipher.decrypt(part["secret"], key)
            tenants.add_key(tenant, *read_key(part_name(key), base64.b64encode(secret).decode()))
        except (TenantError, SecretUnreadableError) as error:
            unused[key] = error
    return unused


def part_name(key: str) -> str:
    """Return the name of the zone or key whose row has a key."""
    return key.split("/", 2)[2]


def with_plain_secret(key: str, row: StoredRow, cipher: SecretCipher) -> StoredRow:
    """Return a row with its secret decrypted.

    Rows are compared in this form, because encrypting the same secret twice gives different bytes.
    """
    field = _ENCRYPTED_FIELDS.get(row_kind(key))
    if field is None or not row[field]:
        return row
    try:
        return {**row, field: cipher.decrypt(row[field], key)}
    except SecretUnreadableError:
        return row


def has_readable_secret(key: str, row: StoredRow, cipher: SecretCipher) -> bool:
    """Return whether a row has a secret that a key of the key file decrypts."""
    field = _ENCRYPTED_FIELDS.get(row_kind(key))
    if field is None or not row[field]:
        return False
    try:
        cipher.decrypt(row[field], key)
    except SecretUnreadableError:
        return False
    return True
