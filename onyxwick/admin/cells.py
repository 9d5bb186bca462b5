"""The administration API's part for cells: the plan as one document or row by row, moves, explanations."""

from __future__ import annotations

from typing import Any

from onyxwick.admin.http import HttpError, HttpRequest
from onyxwick.cells import CellPlanControl, CellPlanError, PlanVersionConflictError
from onyxwick.cells.status import explain, router_status
from onyxwick.config import ConfigError
from onyxwick.config.cells import json_of_plan, plan_of_json

Answer = tuple[int, object]
ROWS = ("cells", "tenants", "moves")


class CellsApi:
    """Calls under /cells. A change names the version that it was made for in `If-Match`, or in the field
    `version` beside the plan; without either it is made for whatever runs."""

    def __init__(self, control: CellPlanControl) -> None:
        self.control = control

    def __call__(self, request: HttpRequest, path: list[str]) -> Answer:
        try:
            return self._route(request, path)
        except PlanVersionConflictError as error:
            raise HttpError(409, str(error), {"ETag": f'"{error.running_version}"'}) from None
        except (ConfigError, CellPlanError) as error:
            raise HttpError(400, str(error)) from None

    def _route(self, request: HttpRequest, path: list[str]) -> Answer:
        match request.method, path:
            case "GET", []:
                return 200, router_status(self.control.cells)
            case "GET", ["plan"]:
                return 200, {"version": self.control.plan.version, "plan": json_of_plan(self.control.plan)}
            case "PUT", ["plan"]:
                data = request.json()
                plan = data.get("plan")
                if not isinstance(plan, dict):
                    raise HttpError(400, "field 'plan' is no object")
                return self._change(plan, self._made_for(request, data.get("version")))
            case (("PUT" | "DELETE"), ["plan", kind, name]) if kind in ROWS:
                return self._row(request, kind, name)
            case "POST", ["moves", name, "abort"]:
                return self._abort(name)
            case "GET", ["explain", tenant, name]:
                return self._explain(tenant, name)
        raise HttpError(404, "nothing here")

    def _made_for(self, request: HttpRequest, told: object = None) -> int | None:
        text = request.headers.get("if-match", "").strip('" ') or told
        if text is None or text == "*":
            return None
        if isinstance(text, bool) or not str(text).isdigit():
            raise HttpError(400, "If-Match (or 'version') is no version")
        return int(str(text))

    def _change(self, data: dict[str, Any], made_for: int | None) -> Answer:
        plan = plan_of_json(data, self.control.plan.version)
        changed = self.control.replace_plan(plan, made_for)
        return 200, {"version": self.control.plan.version, "changed": changed}

    def _row(self, request: HttpRequest, kind: str, name: str) -> Answer:
        data = json_of_plan(self.control.plan)
        rows = data[kind]
        if request.method == "DELETE":
            if name not in rows:  # it was deleted before, maybe by this very call
                return 200, {"version": self.control.plan.version, "changed": False}
            del rows[name]
            if kind == "tenants":  # its moves have nothing left to move
                data["moves"] = {n: row for n, row in data["moves"].items() if row["tenant"] != name}
        else:
            rows[name] = request.json()
        return self._change(data, self._made_for(request))

    def _abort(self, name: str) -> Answer:
        try:
            done = self.control.abort_migration(name)
        except KeyError:
            raise HttpError(404, f"no move '{name}'") from None
        return 200, {"changed": done, "move": self.control.cells.migrations.by_name[name].status()}

    def _explain(self, tenant: str, name: str) -> Answer:
        try:
            return 200, {
                "tenant": tenant,
                "object": name,
                "because": explain(self.control.cells, tenant, name),
            }
        except KeyError:
            raise HttpError(404, f"no tenant '{tenant}'") from None
