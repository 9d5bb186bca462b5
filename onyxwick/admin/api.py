"""The calls of the administration API.

The operator's token authorizes all calls, a tenant's token only the calls for that tenant. Changes apply in
memory; `admin/durable_api.py` makes them durable. A call returns a status and JSON data or raises HttpError.
"""

from __future__ import annotations

import asyncio
import contextlib
import hmac
import math
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass
from functools import partial
from typing import Protocol

import dns.name

from onyxwick.admin.http_messages import Answer, HttpError, HttpRequest
from onyxwick.background_work import BackgroundWork, Price
from onyxwick.config.service import MIN_TOKEN_CHARACTERS
from onyxwick.counters import Counters
from onyxwick.tenant_errors import AlreadyExistsError, TenantError, TooManyCallsError
from onyxwick.tenants import Tenant, Tenants, read_key, read_quota
from onyxwick.zones import TenantZone, UnreadZone, read_name, read_zone

__all__ = ["AdminApi", "Answer", "ApiSection", "Caller"]

TENANT_FIELDS = {"name", "quota_per_s", "token"}
EXPECTED_MS_PER_CHARACTER = 0.01
"""Expected processor time of reading a zone, in ms for each character of its text."""
DEFAULT_UNREAD_RETRY_S = 1.0
MAX_UNREAD_WAIT_S = 2.0
"""How long a call waits for a stored zone that is not parsed yet, before it is rejected."""
UNREAD_POLL_S = 0.02


class ApiSection(Protocol):
    """Answers the calls whose paths share a first segment; only the operator may call it."""

    def __call__(self, request: HttpRequest, path: list[str]) -> Answer:
        """Answer one call. `path` holds the segments after the first. Raises HttpError if it is rejected."""
        ...


@dataclass(frozen=True, slots=True)
class Caller:
    """Who makes a call: a tenant, or the operator if `tenant` is None."""

    tenant: Tenant | None

    @property
    def name(self) -> str:
        """The tenant's name; empty for the operator."""
        return self.tenant.name if self.tenant is not None else ""

    def require_operator(self) -> None:
        """Raise HttpError 403 if a tenant calls."""
        if self.tenant is not None:
            raise HttpError(403, "for the operator alone")

    def may_change(self, tenant: str) -> bool:
        """Return whether the caller may make calls for a tenant."""
        return self.tenant is None or self.tenant.name == tenant

    def price(self, zone: dns.name.Name, text: str) -> Price | None:
        """Return what reading a zone's text costs the caller; None for the operator, whose work is free."""
        if self.tenant is None:
            return None
        return Price(self.tenant.zone_quota, str(zone), len(text) * EXPECTED_MS_PER_CHARACTER)


@contextlib.contextmanager
def _tenant_errors_as_http() -> Iterator[None]:
    """Raise HttpError for what a tenant has set wrongly or may not set now."""
    try:
        yield
    except AlreadyExistsError as error:
        raise HttpError(409, str(error)) from None
    except TooManyCallsError as error:
        raise _rejected_for_now(429, str(error), error.retry_after_s) from None
    except TenantError as error:
        raise HttpError(400, str(error)) from None


def _rejected_for_now(status: int, text: str, retry_after_s: float) -> HttpError:
    """Return the rejection of a call that may be repeated after a time in seconds."""
    return HttpError(status, text, {"Retry-After": str(max(1, math.ceil(retry_after_s)))})


class AdminApi:
    """Answers calls about tenants and counters itself, and delegates others by the path's first segment.

    `sections` maps first segments to their handlers; None disables a section. `unread_retry_s` returns after
    how many seconds a zone is expected to be parsed.
    """

    def __init__(
        self,
        tenants: Tenants,
        counters: Counters,
        token: str,
        health: Callable[[], dict[str, object]],
        sections: Mapping[str, ApiSection | None] | None = None,
        work: BackgroundWork | None = None,
        unread_retry_s: Callable[[UnreadZone], float] = lambda _: DEFAULT_UNREAD_RETRY_S,
    ) -> None:
        self.tenants = tenants
        self.counters = counters
        self.token = token
        self.health = health
        self.work = work or BackgroundWork()
        self.unread_retry_s = unread_retry_s
        self.sections = {name: section for name, section in (sections or {}).items() if section is not None}

    async def __call__(self, request: HttpRequest) -> Answer:
        """Answer one call. Raises HttpError if it is rejected."""
        if request.path_parts() == ["health"]:  # for everybody
            return self.answer_health(request)
        caller = self.authorize(request)
        await self.wait_until_read(request, caller)
        zone = await self.read_zone(request, caller)
        return self.answer(request, caller, zone)

    def answer(self, request: HttpRequest, caller: Caller, zone: TenantZone | None) -> Answer:
        """Answer a call that `authorize` has returned the caller of, and `read_zone` the zone.

        Raises HttpError if it is rejected.
        """
        with _tenant_errors_as_http():
            return self._route(request, request.path_parts(), caller, zone)

    def answer_health(self, request: HttpRequest) -> Answer:
        """Answer a health call. Raises HttpError for another method than GET."""
        _require_method(request, "GET")
        return Answer(200, self.health())

    async def read_zone(self, request: HttpRequest, caller: Caller) -> TenantZone | None:
        """Parse the zone that a call brings, outside the event loop; None if it brings none.

        The work is charged to the calling tenant. Raises HttpError if the zone is invalid, with status 429 if
        the tenant's earlier work is not done or not paid.
        """
        match request.path_parts():
            case ["tenants", tenant, "zones", name] if request.method == "PUT":
                pass
            case _:
                return None
        if tenant not in self.tenants.tenants or not caller.may_change(tenant):
            return None  # `answer` rejects the call
        data = request.json()
        text = data.get("text")
        routed = data.get("routed")
        if not isinstance(text, str) or not isinstance(routed, str | None):
            raise HttpError(400, "field 'text' or 'routed' is not a text")
        work = partial(read_zone, tenant, name, text, routed)
        with _tenant_errors_as_http():
            origin = read_name(name)
            self._require_read(self.tenants.tenants[tenant], origin)
            return await self.work.do(tenant, work, caller.price(origin, text))

    async def wait_until_read(self, request: HttpRequest, caller: Caller) -> None:
        """Let a call for a stored zone that is not parsed yet wait for it, for up to `MAX_UNREAD_WAIT_S`."""
        match request.path_parts():
            case ["tenants", name, "zones", zone] if caller.may_change(name) and self.tenants.unread:
                with _tenant_errors_as_http():
                    origin = read_name(zone)
            case _:
                return
        loop = asyncio.get_running_loop()
        until_s = loop.time() + MAX_UNREAD_WAIT_S
        while loop.time() < until_s and self._is_unread(name, origin):
            await asyncio.sleep(UNREAD_POLL_S)

    def _is_unread(self, tenant: str, name: dns.name.Name) -> bool:
        zone = self.tenants.unread.get(name)
        return zone is not None and zone.tenant == tenant

    def _require_read(self, tenant: Tenant, name: dns.name.Name) -> None:
        """Raise HttpError 503 while a stored zone is not parsed yet."""
        unread = tenant.unread.get(name)
        if unread is not None:
            raise _rejected_for_now(503, "the zone is not read yet", self.unread_retry_s(unread))

    # ---- authorization ----------------------------------------------------------------------------------

    def authorize(self, request: HttpRequest) -> Caller:
        """Return the caller.

        Raises HttpError 401 without a valid token, 429 if the tenant exceeds its rate.
        """
        scheme, _, token = request.headers.get("authorization", "").partition(" ")
        if scheme.lower() == "bearer" and token:
            if hmac.compare_digest(token.encode(), self.token.encode()):
                return Caller(None)
            if tenant := self.tenants.tenant_of_token(token):
                if not tenant.admin_quota.take():
                    retry_after_s = tenant.admin_quota.retry_after_s()
                    raise _rejected_for_now(429, "too many requests", retry_after_s)
                return Caller(tenant)
        raise HttpError(401, "no valid token", {"WWW-Authenticate": "Bearer"})

    # ---- routing ----------------------------------------------------------------------------------------

    def _route(
        self, request: HttpRequest, path: list[str], caller: Caller, zone: TenantZone | None
    ) -> Answer:
        match path:
            case ["counters"]:
                caller.require_operator()
                _require_method(request, "GET")
                return Answer(200, dict(self.counters.counts))
            case ["tenants"]:
                caller.require_operator()
                return self._tenants(request)
            case [name, *rest] if name in self.sections:
                caller.require_operator()
                return self.sections[name](request, rest)
            case ["tenants", name, *rest]:
                tenant = self.tenants.tenants.get(name)
                if tenant is None or not caller.may_change(name):
                    # A tenant must not learn whether another tenant exists.
                    raise HttpError(404, "no such tenant")
                return self._route_tenant(request, rest, tenant, caller, zone)
        raise HttpError(404, "nothing here")

    def _route_tenant(
        self,
        request: HttpRequest,
        path: list[str],
        tenant: Tenant,
        caller: Caller,
        zone: TenantZone | None,
    ) -> Answer:
        match path:
            case []:
                return self._tenant(request, tenant, caller)
            case ["counters"]:
                _require_method(request, "GET")
                return Answer(200, self._tenant_counters(tenant))
            case ["zones"]:
                _require_method(request, "GET")
                return Answer(200, {"zones": [str(name) for name in tenant.zone_names()]})
            case ["zones", name]:
                return self._zone(request, tenant, name, zone)
            case ["keys"]:
                _require_method(request, "GET")
                return Answer(200, {"keys": [str(name) for name in tenant.keys]})
            case ["keys", name]:
                return self._key(request, tenant, name)
        raise HttpError(404, "nothing here")

    # ---- tenants ----------------------------------------------------------------------------------------

    def _tenants(self, request: HttpRequest) -> Answer:
        _require_method(request, "GET", "POST")
        if request.method == "GET":
            return Answer(200, {"tenants": list(self.tenants.tenants)})
        data = request.json()
        tenant = Tenant(str(data.get("name", "")))
        self._change_tenant(tenant, data)
        self.tenants.add(tenant)
        return Answer(201, _tenant_data(tenant))

    def _tenant(self, request: HttpRequest, tenant: Tenant, caller: Caller) -> Answer:
        _require_method(request, "GET", "PATCH", "DELETE")
        if request.method == "GET":
            return Answer(200, _tenant_data(tenant))
        caller.require_operator()
        if request.method == "DELETE":
            self.tenants.remove(tenant.name)
            return Answer(204, None)
        data = request.json()
        if data.get("name", tenant.name) != tenant.name:
            raise HttpError(400, "field 'name' cannot be changed")
        self._change_tenant(tenant, data)
        return Answer(200, _tenant_data(tenant))

    def _change_tenant(self, tenant: Tenant, data: dict[str, object]) -> None:
        """Apply all fields of a change, or none of them if HttpError or TenantError is raised."""
        if unknown := set(data) - TENANT_FIELDS:
            raise HttpError(400, f"unknown field '{min(unknown)}'")
        quota_per_s = read_quota(data.get("quota_per_s", tenant.quota.tokens_per_s))
        token = data.get("token", tenant.token)
        if not isinstance(token, str) or (token and len(token) < MIN_TOKEN_CHARACTERS):
            raise HttpError(400, f"field 'token' is not a text of {MIN_TOKEN_CHARACTERS} characters or more")
        if not _is_encodable(token):
            raise HttpError(400, "field 'token' is not Unicode text")
        holder = self.tenants.tenant_of_token(token) if token else None
        if (holder is not None and holder is not tenant) or token == self.token:
            raise HttpError(400, "field 'token' cannot be used")
        tenant.quota.tokens_per_s = quota_per_s
        tenant.token = token

    def _tenant_counters(self, tenant: Tenant) -> dict[str, int]:
        suffix = f".{tenant.name}"
        return {
            name.removesuffix(suffix): count
            for name, count in self.counters.counts.items()
            if name.endswith(suffix)
        }

    # ---- zones and keys ---------------------------------------------------------------------------------

    def _zone(self, request: HttpRequest, tenant: Tenant, name: str, zone: TenantZone | None) -> Answer:
        _require_method(request, "GET", "PUT", "DELETE")
        origin = read_name(name)
        self._require_read(tenant, origin)
        existing = tenant.zones.get(origin)
        if request.method == "PUT":
            assert zone is not None, "`read_zone` returns the zone of each call that puts one"
            self.tenants.add_outermost_zone(zone)
            return Answer(201 if existing is None else 200, _zone_data(zone))
        if existing is None:
            raise HttpError(404, "no such zone")
        if request.method == "DELETE":
            self.tenants.remove_zone(existing)
            return Answer(204, None)
        return Answer(200, {**_zone_data(existing), "text": existing.text})

    def _key(self, request: HttpRequest, tenant: Tenant, name: str) -> Answer:
        """Add, replace or delete a key. Secrets are accepted but never returned."""
        _require_method(request, "PUT", "DELETE")
        if request.method == "PUT":
            key, secret = read_key(name, request.json().get("secret"))
            exists = key in tenant.keys
            if not exists and key in self.tenants.keys:
                raise HttpError(409, "key exists")
            self.tenants.add_key(tenant, key, secret)
            return Answer(200 if exists else 201, {"name": str(key)})
        if not self.tenants.remove_key(tenant, read_name(name)):
            raise HttpError(404, "no such key")
        return Answer(204, None)


def _is_encodable(text: str) -> bool:
    """Return whether a text has an encoding; JSON may contain half of a surrogate pair."""
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True


def _require_method(request: HttpRequest, *methods: str) -> None:
    if request.method not in methods:
        raise HttpError(405, "method not allowed", {"Allow": ", ".join(methods)})


def _tenant_data(tenant: Tenant) -> dict[str, object]:
    return {
        "name": tenant.name,
        "quota_per_s": tenant.quota.tokens_per_s,
        "zones": [str(name) for name in tenant.zone_names()],
        "keys": [str(name) for name in tenant.keys],
    }


def _zone_data(zone: TenantZone) -> dict[str, object]:
    return {
        "name": str(zone.name),
        "serial": zone.serial,
        "routed": str(zone.routed) if zone.routed is not None else None,
    }
