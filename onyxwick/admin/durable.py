"""The administration API over a store: a change is answered when it is durable, and the same call is done
once."""

from __future__ import annotations

import asyncio
import hashlib
import time

from onyxwick.admin.api import Answer, Api
from onyxwick.admin.cells import CellsApi
from onyxwick.admin.http import HttpError, HttpRequest
from onyxwick.admin.sites import SitesApi
from onyxwick.config.cells import json_of_plan
from onyxwick.core import RequestEngine
from onyxwick.sites import command_to_row
from onyxwick.store import StoreError, WriteOperation
from onyxwick.store.durable import DurableState, fill_tenant, pack, tenant_rows
from onyxwick.store.recovery import MemberDrain
from onyxwick.tenants import Tenant


class DurableApi:
    """Wraps the API's calls: one change at a time; done in memory, made durable, answered; undone where the
    store refuses."""

    def __init__(self, api: Api, durable: DurableState, core: RequestEngine) -> None:
        self.api, self.durable, self.core = api, durable, core
        self.lock = asyncio.Lock()

    async def __call__(self, request: HttpRequest) -> Answer:
        path = [part for part in request.path.split("/") if part]
        if path[:1] == ["drains"]:
            self.api.operator_of(request)
        elif request.method == "GET":
            return self.api(request)
        async with self.lock:
            return await self._once(request, path)

    async def _once(self, request: HttpRequest, path: list[str]) -> Answer:
        """A call with an `Idempotency-Key` that has been done before tells its first outcome again."""
        key = request.headers.get("idempotency-key", "")
        if len(key) > 64 or not key.isascii():
            raise HttpError(400, "Idempotency-Key is no text of 64 characters")
        mark = hashlib.blake2b(f"{request.method} {request.path}\n".encode() + request.body).hexdigest()[:32]
        if key and (held := self.durable.call(key)) is not None:
            if held["mark"] != mark:
                raise HttpError(409, "Idempotency-Key was used for another call")
            return int(held["status"]), held["data"]
        if path[:1] == ["drains"]:
            status, data, ops = self._drains(request, path[1:])
            await self._commit(ops, key, mark, (status, data))
            self._drains_hold(path[1:], request.method)
            return status, data
        sites = self.api.parts.get("sites")
        if path[:2] == ["sites", "orders"] and len(path) == 3 and isinstance(sites, SitesApi):
            return await self._order(request, sites, path[2], key, mark)
        return await self._change(request, path, key, mark)

    async def _order(self, request: HttpRequest, sites: SitesApi, site: str, key: str, mark: str) -> Answer:
        """An operator's order for a site: kept over a restart before it binds."""
        self.api.operator_of(request)
        if request.method != "PUT":
            raise HttpError(405, "method not allowed", {"Allow": "PUT"})
        order = sites.order(request, site)
        answer = 200, {"site": site, "word": order.directive.value, "drill": order.is_exercise}
        await self._commit([self.durable.site_order_op(site, command_to_row(order))], key, mark, answer)
        sites.take(order)
        return answer

    async def _commit(self, ops: list[WriteOperation], key: str, mark: str, answer: Answer) -> None:
        now = time.time_ns() // 1000
        if key and ops:
            row = {"mark": mark, "status": answer[0], "data": answer[1], "at_us": now}
            ops = ops + self.durable.call_ops(key, row, now)
        try:
            await self.durable.commit(ops, "administration API")
        except StoreError as error:
            raise HttpError(503, f"not durable, and not done: {error}") from None

    async def _change(self, request: HttpRequest, path: list[str], key: str, mark: str) -> Answer:
        tenants = self.api.tenants
        name = path[1] if path[:1] == ["tenants"] and len(path) > 1 else ""
        if path == ["tenants"] and request.method == "POST":
            name = str(request.json().get("name", ""))
        before = tenants.tenants.get(name)
        rows = tenant_rows(before, self.durable.sealer) if before else {}
        cells = self.api.parts.get("cells")
        cells = cells if isinstance(cells, CellsApi) else None
        plan = cells.control.plan if cells is not None else None
        status, data = self.api(request)
        ops = self.durable.tenant_changes(name, tenants.tenants.get(name)) if name else []
        if cells is not None and cells.control.plan is not plan:
            row = {"version": cells.control.plan.version, "plan": json_of_plan(cells.control.plan)}
            ops.append(WriteOperation("plan/now", pack("plan/now", row)))
        try:
            await self._commit(ops, key, mark, (status, data))
        except HttpError:
            if name:
                self._restore(name, before, rows)
            if cells is not None and plan is not None and cells.control.plan is not plan:
                cells.control.replace_plan(plan)
            raise
        return status, data

    def _restore(self, name: str, before: Tenant | None, rows: dict[str, dict[str, object]]) -> None:
        """The tenant as it was before a call whose change could not be made durable."""
        tenants = self.api.tenants
        if name in tenants.tenants:
            tenants.remove(name)
        if before is None:
            return
        row = rows[f"tenant/{name}"]
        token = row["token"]
        assert isinstance(token, bytes)
        quota = row["quota_per_s"]
        assert isinstance(quota, float)
        old = Tenant(name, quota, self.durable.sealer.open(token, name).decode() if token else "")
        tenants.add(old)
        fill_tenant(
            old, tenants, [r for r in rows.items() if not r[0].startswith("tenant/")], self.durable.sealer
        )

    # ---- drains -----------------------------------------------------------------------------------------

    def _drains(self, request: HttpRequest, path: list[str]) -> tuple[int, object, list[WriteOperation]]:
        """An operator's drains: nothing new goes to the member until the drain is lifted, over restarts
        too."""
        drains = self.durable.recovery.drains
        match request.method, path:
            case "GET", []:
                rows = {d.member: {"by": d.by, "reason": d.reason, "at_us": d.at_us} for d in drains.values()}
                return 200, {"recovery": self.durable.recovery.shown(), "drains": rows}, []
            case "PUT", [member]:
                if member not in self.core.members.listed:
                    raise HttpError(404, f"no member '{member}' on the list")
                reason = str(request.json().get("reason", ""))[:256]
                since = self.core.members.listed[member].started_at_us
                drain = MemberDrain(member, "operator", since, reason, self.core.now())
                self.pending = drain
                return 200, {"member": member, "draining": True}, [self.durable.drain_op(drain)]
            case "DELETE", [member]:
                known = member in drains
                ops = [WriteOperation(f"drain/{member}", None)] if known else []
                return 200, {"member": member, "lifted": known}, ops
        raise HttpError(404, "nothing here")

    pending: MemberDrain | None = None

    def _drains_hold(self, path: list[str], method: str) -> None:
        """After the drain (or its lifting) is durable it binds the next decision."""
        if method == "PUT" and self.pending is not None:
            self.durable.recovery.drained(self.pending)
            self.pending = None
        elif method == "DELETE":
            self.durable.recovery.lifted(path[0])
        if method != "GET":
            self.core.resend_rows(path[0])


__all__ = ["DurableApi"]
