"""How lists, purges and configuration documents reach every director: state machines free of I/O.

A publisher numbers events, fan-out nodes replicate and pass them on, followers resume from a cursor or
install a snapshot. Design: docs/design/distribution.md. Sockets and processes are in `onyxwick.net`.
"""

from onyxwick.distribution.fanout import FanOut
from onyxwick.distribution.follower import Follower
from onyxwick.distribution.model import Cursor, DistributionError, FeedEvent
from onyxwick.distribution.publisher import Publisher
from onyxwick.distribution.replica import Replica

__all__ = ["Cursor", "DistributionError", "FanOut", "FeedEvent", "Follower", "Publisher", "Replica"]
