"""Errors of what tenants set: tenants, zones, keys and quotas."""

from __future__ import annotations

from onyxwick.errors import OnyxwickError


class TenantError(OnyxwickError, ValueError):
    """A tenant, zone, key or quota is invalid; the message names the field."""


class AlreadyExistsError(TenantError):
    """The tenant or zone to be created already exists, or lies in or around another tenant's zone."""


class TooManyCallsError(TenantError):
    """The tenant has too much work waiting or unpaid; the call may be repeated in `retry_after_s` seconds."""

    def __init__(self, message: str, retry_after_s: float) -> None:
        super().__init__(message)
        self.retry_after_s = retry_after_s
