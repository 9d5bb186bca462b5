"""What the administration API answers. The operator's token opens all; a tenant's, what is its own."""

from __future__ import annotations

import hmac
from collections.abc import Callable, Mapping
from typing import Protocol

import dns.rdatatype

from onyxwick.admin.http import HttpError, HttpRequest
from onyxwick.config.service import MIN_TOKEN_CHARACTERS
from onyxwick.counters import Counters
from onyxwick.tenants import (
    AlreadyExistsError,
    Tenant,
    TenantError,
    Tenants,
    TenantZone,
    read_key,
    read_name,
    read_quota,
    read_zone,
)

Answer = tuple[int, object]


class Part(Protocol):
    """What answers the calls under one word, for the operator alone."""

    def __call__(self, request: HttpRequest, path: list[str]) -> Answer: ...


class Api:
    def __init__(
        self,
        tenants: Tenants,
        counters: Counters,
        token: str,
        health: Callable[[], dict[str, object]],
        parts: Mapping[str, Part | None] | None = None,
    ) -> None:
        self.tenants, self.counters, self.token, self.health = tenants, counters, token, health
        self.parts = {word: part for word, part in (parts or {}).items() if part is not None}

    def __call__(self, request: HttpRequest) -> Answer:
        path = [part for part in request.path.split("/") if part]
        if path == ["health"]:
            self._only(request, "GET")
            state = self.health()
            return 200, state
        caller = self._caller(request)
        try:
            return self._route(request, path, caller)
        except AlreadyExistsError as error:
            raise HttpError(409, str(error)) from None
        except TenantError as error:
            raise HttpError(400, str(error)) from None

    # ---- who asks ---------------------------------------------------------------------------------------

    def _caller(self, request: HttpRequest) -> Tenant | None:
        """The tenant that asks, or None for the operator."""
        scheme, _, token = request.headers.get("authorization", "").partition(" ")
        if scheme.lower() == "bearer" and token:
            if hmac.compare_digest(token.encode(), self.token.encode()):
                return None
            if tenant := self.tenants.by_token(token):
                if not tenant.admin_quota.take():
                    raise HttpError(429, "too many requests", {"Retry-After": "1"})
                return tenant
        raise HttpError(401, "no valid token", {"WWW-Authenticate": "Bearer"})

    def _only(self, request: HttpRequest, *methods: str) -> None:
        if request.method not in methods:
            raise HttpError(405, "method not allowed", {"Allow": ", ".join(methods)})

    def operator_of(self, request: HttpRequest) -> None:
        """Only the operator goes on."""
        self._operator(self._caller(request))

    def _operator(self, caller: Tenant | None) -> None:
        if caller is not None:
            raise HttpError(403, "for the operator alone")

    # ---- what is asked ----------------------------------------------------------------------------------

    def _route(self, request: HttpRequest, path: list[str], caller: Tenant | None) -> Answer:
        if path == ["counters"]:
            self._operator(caller)
            self._only(request, "GET")
            return 200, dict(self.counters.counts)
        if path == ["tenants"]:
            self._operator(caller)
            return self._tenants(request)
        if path and (part := self.parts.get(path[0])) is not None:
            self._operator(caller)
            return part(request, path[1:])
        if len(path) < 2 or path[0] != "tenants":
            raise HttpError(404, "nothing here")
        tenant = self.tenants.tenants.get(path[1])
        if tenant is None or (caller is not None and caller is not tenant):
            raise HttpError(404, "no such tenant")  # another's looks like none
        match path[2:]:
            case []:
                return self._tenant(request, tenant, caller)
            case ["counters"]:
                self._only(request, "GET")
                end = f".{tenant.name}"
                return 200, {
                    n.removesuffix(end): c for n, c in self.counters.counts.items() if n.endswith(end)
                }
            case ["zones"]:
                self._only(request, "GET")
                return 200, {"zones": [str(name) for name in tenant.zones]}
            case ["zones", name]:
                return self._zone(request, tenant, name)
            case ["keys"]:
                self._only(request, "GET")
                return 200, {"keys": [str(name) for name in tenant.keys]}
            case ["keys", name]:
                return self._key(request, tenant, name)
        raise HttpError(404, "nothing here")

    def _tenants(self, request: HttpRequest) -> Answer:
        self._only(request, "GET", "POST")
        if request.method == "GET":
            return 200, {"tenants": list(self.tenants.tenants)}
        data = request.json()
        tenant = Tenant(str(data.get("name", "")))
        self._change(tenant, data)
        self.tenants.add(tenant)
        return 201, self._shown(tenant)

    def _change(self, tenant: Tenant, data: dict[str, object]) -> None:
        """All of a change or none of it."""
        if unknown := set(data) - {"name", "quota_per_s", "token"}:
            raise HttpError(400, f"unknown field '{min(unknown)}'")
        quota = read_quota(data.get("quota_per_s", tenant.quota.per_s))
        token = data.get("token", tenant.token)
        if not isinstance(token, str) or (token and len(token) < MIN_TOKEN_CHARACTERS):
            raise HttpError(400, f"field 'token' has under {MIN_TOKEN_CHARACTERS} characters")
        holder = self.tenants.by_token(token) if token else None
        if (holder is not None and holder is not tenant) or token == self.token:
            raise HttpError(400, "field 'token' cannot be used")
        tenant.quota.per_s, tenant.token = quota, token

    def _tenant(self, request: HttpRequest, tenant: Tenant, caller: Tenant | None) -> Answer:
        self._only(request, "GET", "PATCH", "DELETE")
        if request.method == "GET":
            return 200, self._shown(tenant)
        self._operator(caller)
        if request.method == "DELETE":
            self.tenants.remove(tenant.name)
            return 204, None
        data = request.json()
        if data.get("name", tenant.name) != tenant.name:
            raise HttpError(400, "field 'name' cannot be changed")
        self._change(tenant, data)
        return 200, self._shown(tenant)

    def _shown(self, tenant: Tenant) -> dict[str, object]:
        return {
            "name": tenant.name,
            "quota_per_s": tenant.quota.per_s,
            "zones": [str(name) for name in tenant.zones],
            "keys": [str(name) for name in tenant.keys],
        }

    def _zone(self, request: HttpRequest, tenant: Tenant, name: str) -> Answer:
        self._only(request, "GET", "PUT", "DELETE")
        held = tenant.zones.get(read_name(name))
        if request.method == "PUT":
            data = request.json()
            text, routed = data.get("text"), data.get("routed")
            if not isinstance(text, str) or not isinstance(routed, str | None):
                raise HttpError(400, "fields 'text' and 'routed' are no texts")
            zone = read_zone(tenant.name, name, text, routed)
            self.tenants.add_zone(zone)
            return (200 if held else 201), self._zone_shown(zone)
        if held is None:
            raise HttpError(404, "no such zone")
        if request.method == "DELETE":
            self.tenants.remove_zone(held)
            return 204, None
        return 200, {**self._zone_shown(held), "text": held.data.to_text(relativize=False)}

    def _zone_shown(self, zone: TenantZone) -> dict[str, object]:
        soa = zone.data.find_rdataset(zone.name, dns.rdatatype.SOA)
        return {
            "name": str(zone.name),
            "serial": soa[0].serial,
            "routed": str(zone.routed) if zone.routed is not None else None,
        }

    def _key(self, request: HttpRequest, tenant: Tenant, name: str) -> Answer:
        """Secrets go in and never out."""
        self._only(request, "PUT", "DELETE")
        if request.method == "PUT":
            key, secret = read_key(name, request.json().get("secret"))
            known = key in tenant.keys
            if not known and key in self.tenants.keyring():
                raise HttpError(409, "key exists")
            tenant.add_key(key, secret)
            return (200 if known else 201), {"name": str(key)}
        if tenant.keys.pop(read_name(name), None) is None:
            raise HttpError(404, "no such key")
        return 204, None
