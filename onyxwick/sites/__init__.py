"""Loss of a whole site: where its load goes, what is refused first, how it is returned to. No I/O here."""

from onyxwick.sites.model import Topology, TopologyError
from onyxwick.sites.operator_commands import SiteCommand, SiteCommandError, command_to_row, parse_command
from onyxwick.sites.plan import PlanMismatchError, SitePlan
from onyxwick.sites.router import SiteRouter

__all__ = [
    "PlanMismatchError",
    "SiteCommand",
    "SiteCommandError",
    "SitePlan",
    "SiteRouter",
    "Topology",
    "TopologyError",
    "command_to_row",
    "parse_command",
]
