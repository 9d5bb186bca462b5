"""Loss of a whole site: where its load goes, what is refused first, how it is returned to. No I/O here."""

from onyxwick.sites.fleet import SiteRouter
from onyxwick.sites.model import TopologyError, Topology
from onyxwick.sites.orders import SiteCommand, SiteCommandError, read_order
from onyxwick.sites.orders import to_row as kept
from onyxwick.sites.plan import SitePlan, PlanMismatchError

__all__ = [
    "SiteCommand",
    "SiteCommandError",
    "SitePlan",
    "PlanMismatchError",
    "SiteRouter",
    "TopologyError",
    "Topology",
    "kept",
    "read_order",
]
