"""The loss of a site: which sites serve its objects, what is shed first, and how it is returned to. No I/O
here."""

from onyxwick.sites.model import SitesError, Topology, TopologyError
from onyxwick.sites.operator_commands import SiteCommand, SiteCommandError, command_to_row, parse_command
from onyxwick.sites.plan import SitePlan
from onyxwick.sites.plan_document import PlanMismatchError
from onyxwick.sites.router import SiteRouter

__all__ = [
    "PlanMismatchError",
    "SiteCommand",
    "SiteCommandError",
    "SitePlan",
    "SiteRouter",
    "SitesError",
    "Topology",
    "TopologyError",
    "command_to_row",
    "parse_command",
]
