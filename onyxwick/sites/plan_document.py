"""Loss plans as JSON documents, with the keys that earlier versions wrote."""

from __future__ import annotations

from typing import Any

from onyxwick.sites.model import SitesError, Topology
from onyxwick.sites.plan import LossPlanRow, SitePlan
from onyxwick.sites.topology_digest import topology_digest

PLAN_FORMAT = 1


class PlanMismatchError(SitesError, ValueError):
    """A document is not a plan, or is a plan for another topology. The message states which."""


def plan_to_json(plan: SitePlan) -> dict[str, Any]:
    """Encode a plan as the JSON document that directors read."""
    rows = sorted(plan.rows.items(), key=lambda pair: sorted(pair[0]))
    return {
        "format": PLAN_FORMAT,
        "topology": plan.digest,
        "rows": [{"lost": sorted(key), **_row_document(row)} for key, row in rows],
    }


def _row_document(row: LossPlanRow) -> dict[str, Any]:
    return {
        "homes": [[*group, dict(shares)] for group, shares in sorted(row.serving_shares.items())],
        "kept": [[*group, share] for group, share in sorted(row.served_shares.items())],
        "guests": dict(row.guest_shares),
    }


def plan_from_json(topology: Topology, document: Any) -> SitePlan:
    """Decode a plan from a document that `plan_to_json` wrote.

    Raises PlanMismatchError if the document is not a plan, or is a plan for another topology."""
    rows = document.get("rows") if isinstance(document, dict) else None
    if not isinstance(rows, list) or document.get("format") != PLAN_FORMAT:
        raise PlanMismatchError(f"not a loss plan of format {PLAN_FORMAT}")
    expected = topology_digest(topology)
    if document.get("topology") != expected:
        raise PlanMismatchError(
            f"made for topology {document.get('topology')}, but the service file states {expected}:"
            " create the plan again with `onyxwick sites plan`"
        )
    try:
        return SitePlan(topology, {frozenset(row["lost"]): _row_from_document(row) for row in rows})
    except (KeyError, TypeError, ValueError) as error:
        raise PlanMismatchError(f"a row of the plan is invalid: {error!r}") from None


def _row_from_document(document: dict[str, Any]) -> LossPlanRow:
    serving_shares = {
        (str(site), str(class_name)): dict(shares) for site, class_name, shares in document["homes"]
    }
    served_shares = {
        (str(site), str(class_name), str(tenant)): float(share)
        for site, class_name, tenant, share in document["kept"]
    }
    return LossPlanRow(serving_shares, served_shares, dict(document["guests"]))
