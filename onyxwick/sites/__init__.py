"""Handling of site loss: which sites serve the objects of a lost site, which load is shed first, and how
traffic returns to the site. This package does no I/O.
"""

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
