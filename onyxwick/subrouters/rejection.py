"""The reasons to reject a request before any subrouter receives it.

The values appear in the counters `shed.REASON.TENANT` (cells) and `refused.REASON.CLASS` (sites), in
`explain` and in traces, so they must not change. docs/operate/cells.md and docs/operate/sites.md tell
operators what to do about each.
"""

from __future__ import annotations

from enum import StrEnum


class AdmissionRejection(StrEnum):
    """The rule that rejected a request."""

    # Cells and sites: the admission gate.
    LIMIT_REACHED = "full"  # the concurrency limit for the priority of the request's class is reached
    FAIR_SHARE_EXCEEDED = "fair"  # the tenant has more than its fair share of a busy limit

    # Cells.
    TENANT_RATE = "rate"  # the tenant exceeds its limit of requests per second
    TENANT_LIMIT = "tenant_open"  # the tenant has reached its limit of requests in flight
    CELL_LIMIT = "cell_open"  # the cell has used up its share of the director's limit of requests in flight
    WRITE_LIMIT_REACHED = "writes_full"  # the limit of writes at the origin, common to all cells, is reached
    WRITE_FAIR_SHARE_EXCEEDED = "writes_fair"  # the cell has more than its fair share of the writes in flight
    NO_READY_CACHE = "no_boxes"  # no cache is ready in the tenant's cells, nor in a fallback cell
    FALLBACK_LIMIT = "no_spare"  # the fallback cell has no spare capacity

    # Sites.
    CLIENT_RETRY = "retry"  # from the second shedding level on, retries by clients are shed
    SITE_IN_DOUBT = "in_doubt"  # the client's site may be lost, and enough requests are already trying it
    SITE_MOVING = "moving"  # the object's site does not answer, and the object has not moved to another yet
    NO_PLANNED_SITE = "no_room"  # the plan has no capacity for the object at any site
    SHED_BY_PLAN = "plan"  # the plan serves only some of these objects, and not this one
    DIRECTOR_ISOLATED = "cut_off"  # another site should serve it, but this director reaches no other site
