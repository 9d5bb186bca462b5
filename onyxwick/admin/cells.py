"""The administration API's section for cells: the plan as a document or row by row, and explanations."""

from __future__ import annotations

from typing import Any

from onyxwick.admin.http_messages import Answer, HttpError, HttpRequest
from onyxwick.cells import CellPlanControl, CellPlanError, PlanVersionConflictError
from onyxwick.cells.status import explain, router_status
from onyxwick.config import ConfigError
from onyxwick.config.cells import json_of_plan, plan_of_json

PLAN_SECTIONS = ("cells", "tenants", "moves")
"""Tables of the plan whose rows can be changed individually."""


class CellsApi:
    """Answers the calls below /cells.

    A change names the plan version that it is based on in `If-Match`, or in the field `version` beside the
    plan. Without either it applies to any version.
    """

    def __init__(self, control: CellPlanControl) -> None:
        self.control = control

    def __call__(self, request: HttpRequest, path: list[str]) -> Answer:
        """Answer one call. Raises HttpError if it is rejected, with 409 if another plan version is active."""
        try:
            return self._route(request, path)
        except PlanVersionConflictError as error:
            raise HttpError(409, str(error), {"ETag": f'"{error.running_version}"'}) from None
        except (ConfigError, CellPlanError) as error:
            raise HttpError(400, str(error)) from None

    def _route(self, request: HttpRequest, path: list[str]) -> Answer:
        match request.method, path:
            case "GET", []:
                return Answer(200, router_status(self.control.cells))
            case "GET", ["plan"]:
                return Answer(
                    200, {"version": self.control.plan.version, "plan": json_of_plan(self.control.plan)}
                )
            case "PUT", ["plan"]:
                return self._put_plan(request)
            case (("PUT" | "DELETE"), ["plan", section, name]) if section in PLAN_SECTIONS:
                return self._change_row(request, section, name)
            case "POST", ["moves", name, "abort"]:
                return self._abort(name)
            case "GET", ["explain", tenant, name]:
                return self._explain(tenant, name)
        raise HttpError(404, "nothing here")

    def _put_plan(self, request: HttpRequest) -> Answer:
        data = request.json()
        plan = data.get("plan")
        if not isinstance(plan, dict):
            raise HttpError(400, "field 'plan' is not an object")
        return self._replace_plan(plan, _expected_version(request, data.get("version")))

    def _replace_plan(self, data: dict[str, Any], expected_version: int | None) -> Answer:
        plan = plan_of_json(data, self.control.plan.version)
        changed = self.control.replace_plan(plan, expected_version)
        return Answer(200, {"version": self.control.plan.version, "changed": changed})

    def _change_row(self, request: HttpRequest, section: str, name: str) -> Answer:
        data = json_of_plan(self.control.plan)
        rows = data[section]
        if request.method == "DELETE":
            if name not in rows:  # Already deleted, perhaps by an earlier attempt of this call.
                return Answer(200, {"version": self.control.plan.version, "changed": False})
            del rows[name]
            if section == "tenants":  # Migrations of a deleted tenant have nothing left to move.
                data["moves"] = {move: row for move, row in data["moves"].items() if row["tenant"] != name}
        else:
            rows[name] = request.json()
        return self._replace_plan(data, _expected_version(request))

    def _abort(self, name: str) -> Answer:
        try:
            done = self.control.abort_migration(name)
        except KeyError:
            raise HttpError(404, f"no move '{name}'") from None
        return Answer(200, {"changed": done, "move": self.control.cells.migrations.by_name[name].status()})

    def _explain(self, tenant: str, name: str) -> Answer:
        try:
            return Answer(
                200,
                {
                    "tenant": tenant,
                    "object": name,
                    "because": explain(self.control.cells, tenant, name),
                },
            )
        except KeyError:
            raise HttpError(404, f"no tenant '{tenant}'") from None


def _expected_version(request: HttpRequest, version: object = None) -> int | None:
    text = request.headers.get("if-match", "").strip('" ') or version
    if text is None or text == "*":
        return None
    if isinstance(text, bool) or not str(text).isdigit():
        raise HttpError(400, "If-Match (or 'version') is not a version number")
    return int(str(text))
