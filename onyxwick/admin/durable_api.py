"""The administration API on top of a store: changes are answered once durable, and keyed calls run once.

A repeated call with the same `Idempotency-Key` gets the answer of the first call. A change is applied in
memory, committed, then answered. If the store rejects it, it is undone in memory and status 503 is returned.
"""

from __future__ import annotations

import asyncio
import hashlib
import time
from dataclasses import dataclass

import dns.name

from onyxwick.admin.api import AdminApi, Answer, Caller
from onyxwick.admin.cells import CellsApi
from onyxwick.admin.http_messages import HttpError, HttpRequest
from onyxwick.admin.sites import SitesApi
from onyxwick.cells.plan_control import CellPlanControl
from onyxwick.config.cells import json_of_plan
from onyxwick.core import RequestEngine
from onyxwick.sites import command_to_row
from onyxwick.store import StoreError, WriteOperation
from onyxwick.store.durable_state import DurableState
from onyxwick.store.recovery import DrainSource, MemberDrain
from onyxwick.store.row_schema import IdempotentCall, StoredPlan
from onyxwick.tenants import Tenant, Tenants
from onyxwick.zones import TenantZone, UnreadZone

MAX_IDEMPOTENCY_KEY_CHARACTERS = 64
MAX_REASON_CHARACTERS = 256
"""A drain's reason is truncated to this many characters."""
FINGERPRINT_DIGITS = 32
AUTHOR = "administration API"


@dataclass(frozen=True, slots=True)
class CallIdentity:
    """Identifies repetitions of a call; `key` is empty for a call without an `Idempotency-Key`."""

    key: str
    fingerprint: str


@dataclass(frozen=True, slots=True)
class TenantBackup:
    """A tenant's state in memory before a change; `tenant` is None if it did not exist."""

    name: str
    tenant: Tenant | None
    quota_per_s: float = 0.0
    token: str = ""
    zones: tuple[TenantZone, ...] = ()
    unread: tuple[UnreadZone, ...] = ()
    keys: tuple[tuple[dns.name.Name, bytes], ...] = ()

    @staticmethod
    def of(name: str, tenant: Tenant | None) -> TenantBackup:
        """Return the backup of a tenant, whose zones are replaced by a change and never changed in place."""
        if tenant is None:
            return TenantBackup(name, None)
        zones = tuple(tenant.zones.values())
        unread = tuple(tenant.unread.values())
        keys = tuple(tenant.keys.items())
        return TenantBackup(name, tenant, tenant.quota.tokens_per_s, tenant.token, zones, unread, keys)

    def restore(self, tenants: Tenants) -> None:
        """Restore the tenant in memory to its state before the change."""
        if self.name in tenants.tenants:
            tenants.remove(self.name)
        if self.tenant is None:
            return
        self.tenant.quota.tokens_per_s = self.quota_per_s
        self.tenant.token = self.token
        self.tenant.zones.clear()
        self.tenant.unread.clear()
        self.tenant.keys.clear()
        tenants.add(self.tenant)
        for zone in self.zones:
            tenants.add_accepted_zone(zone)
        for unread in self.unread:
            tenants.add_unread_zone(unread)
        for name, secret in self.keys:
            tenants.add_key(self.tenant, name, secret)


class DurableApi:
    """Makes the API's changes durable, one change at a time."""

    def __init__(self, api: AdminApi, durable: DurableState, core: RequestEngine) -> None:
        self.api = api
        self.durable = durable
        self.core = core
        self._changes: set[asyncio.Task[Answer]] = set()

    async def __call__(self, request: HttpRequest) -> Answer:
        """Answer one call. Raises HttpError if it is rejected, with status 503 if it could not be made
        durable."""
        path = request.path_parts()
        if path == ["health"]:
            return self.api.answer_health(request)
        caller = self.api.authorize(request)
        if path[:1] == ["drains"] or (path[:1] == ["sites"] and "sites" in self.api.sections):
            caller.require_operator()
        await self.api.wait_until_read(request, caller)
        if request.method == "GET" and path[:1] != ["drains"]:
            return self.api.answer(request, caller, None)
        zone = await self.api.read_zone(request, caller)
        # What the store commits must also apply, though the connection may end meanwhile.
        change = asyncio.get_running_loop().create_task(self._change(request, path, caller, zone))
        self._changes.add(change)
        change.add_done_callback(self._changes.discard)
        return await asyncio.shield(change)

    async def _change(
        self, request: HttpRequest, path: list[str], caller: Caller, zone: TenantZone | None
    ) -> Answer:
        async with self.durable.change_lock:
            return await self._answer_once(request, path, caller, zone)

    async def _answer_once(
        self, request: HttpRequest, path: list[str], caller: Caller, zone: TenantZone | None
    ) -> Answer:
        identity = _identity_of(request, caller)
        if identity.key:
            done = self.durable.idempotent_call(identity.key)
            if done is not None:
                if done.fingerprint != identity.fingerprint:
                    raise HttpError(409, "Idempotency-Key was used for another call")
                return Answer(done.status, done.data)
        if path[:1] == ["drains"]:
            return await self._drains(request, path[1:], identity)
        sites = self.api.sections.get("sites")
        if path[:2] == ["sites", "orders"] and len(path) == 3 and isinstance(sites, SitesApi):
            return await self._site_command(request, sites, path[2], identity)
        return await self._apply_change(request, path, identity, caller, zone)

    async def _commit(self, operations: list[WriteOperation], identity: CallIdentity, answer: Answer) -> None:
        now = time.time_ns() // 1000
        if identity.key and operations:
            call = IdempotentCall(identity.fingerprint, answer.status, answer.data, now)
            operations = operations + self.durable.idempotent_call_operations(identity.key, call, now)
        try:
            await self.durable.commit(operations, AUTHOR)
        except StoreError as error:
            raise HttpError(503, f"not durable, and not done: {error}") from None

    # ---- tenants and the cell plan ----------------------------------------------------------------------

    async def _apply_change(
        self,
        request: HttpRequest,
        path: list[str],
        identity: CallIdentity,
        caller: Caller,
        zone: TenantZone | None,
    ) -> Answer:
        """Apply a change in memory and make it durable; undo it if that fails, whatever the reason."""
        tenants = self.api.tenants
        name = _tenant_name(request, path)
        backup = TenantBackup.of(name, tenants.tenants.get(name))
        control = self._plan_control()
        plan = control.plan if control is not None else None
        answer = self.api.answer(request, caller, zone)
        try:
            operations = self.durable.tenant_operations(name, tenants.tenants.get(name)) if name else []
            if control is not None and control.plan is not plan:
                stored = StoredPlan(control.plan.version, json_of_plan(control.plan))
                operations.append(self.durable.cell_plan_operation(stored))
            await self._commit(operations, identity, answer)
        except BaseException:
            if name:
                backup.restore(tenants)
            if control is not None and plan is not None and control.plan is not plan:
                control.replace_plan(plan)
            raise
        return answer

    def _plan_control(self) -> CellPlanControl | None:
        cells = self.api.sections.get("cells")
        return cells.control if isinstance(cells, CellsApi) else None

    # ---- site commands ----------------------------------------------------------------------------------

    async def _site_command(
        self, request: HttpRequest, sites: SitesApi, site: str, identity: CallIdentity
    ) -> Answer:
        """Make an operator's command for a site durable, then apply it."""
        if request.method != "PUT":
            raise HttpError(405, "method not allowed", {"Allow": "PUT"})
        command = sites.read_command(request, site)
        answer = Answer(200, {"site": site, "word": command.directive.value, "drill": command.is_exercise})
        await self._commit(
            [self.durable.site_command_operation(site, command_to_row(command))], identity, answer
        )
        sites.apply_command(command)
        return answer

    # ---- drains -----------------------------------------------------------------------------------------

    async def _drains(self, request: HttpRequest, path: list[str], identity: CallIdentity) -> Answer:
        """Answer calls about an operator's drains.

        A drained member gets no new requests until the drain is lifted, also after restarts. A drain takes
        effect once it is durable.
        """
        match request.method, path:
            case "GET", []:
                answer = self._drain_list()
                await self._commit([], identity, answer)
                return answer
            case "PUT", [member]:
                return await self._add_drain(request, member, identity)
            case "DELETE", [member]:
                return await self._lift_drain(member, identity)
        raise HttpError(404, "nothing here")

    def _drain_list(self) -> Answer:
        recovery = self.durable.recovery
        drains = {
            drain.member: {"by": drain.source.value, "reason": drain.reason, "at_us": drain.recorded_at_us}
            for drain in recovery.drains.values()
        }
        return Answer(200, {"recovery": recovery.status(), "drains": drains})

    async def _add_drain(self, request: HttpRequest, member: str, identity: CallIdentity) -> Answer:
        listed = self.core.endpoints.listed
        if member not in listed:
            raise HttpError(404, f"member '{member}' is not in the endpoint list")
        reason = str(request.json().get("reason", ""))[:MAX_REASON_CHARACTERS]
        started_at_us = listed[member].started_at_us
        drain = MemberDrain(member, DrainSource.OPERATOR, started_at_us, reason, self.core.now())
        answer = Answer(200, {"member": member, "draining": True})
        await self._commit([self.durable.drain_operation(drain)], identity, answer)
        self.durable.recovery.add_drain(drain)
        self.core.feed.reapply_members(member)
        return answer

    async def _lift_drain(self, member: str, identity: CallIdentity) -> Answer:
        operations = self.durable.lift_operations(member)
        answer = Answer(200, {"member": member, "lifted": bool(operations)})
        await self._commit(operations, identity, answer)
        self.durable.recovery.lift_drain(member)
        self.core.feed.reapply_members(member)
        return answer


def _identity_of(request: HttpRequest, caller: Caller) -> CallIdentity:
    """Return the identity of a call; tenants have keys of their own. Raises HttpError for an invalid key."""
    key = request.headers.get("idempotency-key", "")
    if len(key) > MAX_IDEMPOTENCY_KEY_CHARACTERS or not key.isascii():
        raise HttpError(
            400, f"Idempotency-Key is not ASCII text of at most {MAX_IDEMPOTENCY_KEY_CHARACTERS} characters"
        )
    digest = hashlib.blake2b(f"{request.method} {request.path}\n".encode() + request.body)
    if key and caller.tenant is not None:
        key = f"{caller.name}/{key}"
    return CallIdentity(key, digest.hexdigest()[:FINGERPRINT_DIGITS])


def _tenant_name(request: HttpRequest, path: list[str]) -> str:
    """Return the name of the tenant that a call changes; empty if it changes no tenant."""
    if path == ["tenants"] and request.method == "POST":
        return str(request.json().get("name", ""))
    return path[1] if path[:1] == ["tenants"] and len(path) > 1 else ""


__all__ = ["DurableApi"]
