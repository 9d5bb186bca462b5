"""Why a request is rejected before any inner router receives it.

The values appear in the counters `shed.REASON.TENANT` (cells) and `refused.REASON.CLASS` (sites), in
`explain` and in traces, so they are never changed. docs/operate/cells.md and docs/operate/sites.md say what
to do about each.
"""

from __future__ import annotations

from enum import StrEnum


class AdmissionRejection(StrEnum):
    """The rule that rejected a request."""

    # Cells and sites: the admission gate.
    LIMIT_REACHED = "full"  # of concurrency, for this class's priority
    FAIR_SHARE_EXCEEDED = "fair"  # the owner has more than its fair share of a busy limit

    # Cells.
    TENANT_RATE = "rate"  # the tenant's own requests a second
    TENANT_LIMIT = "tenant_open"  # the tenant's own requests in flight
    CELL_LIMIT = "cell_open"  # the cell's part of the director's requests in flight
    WRITE_LIMIT_REACHED = "writes_full"  # at the origin, for all cells together
    WRITE_FAIR_SHARE_EXCEEDED = "writes_fair"  # the cell has more than its fair share of the writes
    NO_READY_CACHE = "no_boxes"  # in the tenant's cells, and no fallback
    FALLBACK_LIMIT = "no_spare"  # the fallback cell has no spare capacity

    # Sites.
    CLIENT_RETRY = "retry"  # clients' retries are shed from the second shedding level on
    SITE_IN_DOUBT = "in_doubt"  # the client's site may be lost, and enough requests are trying it
    SITE_MOVING = "moving"  # the object has not moved yet from a site that does not answer
    NO_PLANNED_SITE = "no_room"  # the plan has no capacity for the object anywhere
    SHED_BY_PLAN = "plan"  # the plan serves a part of these objects, and this one is not in it
    DIRECTOR_ISOLATED = "cut_off"  # another site would serve it, and this director reaches none
