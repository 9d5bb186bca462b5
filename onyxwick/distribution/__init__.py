"""Distribution of cache lists, purges and configuration documents to every director, without I/O.

The package consists of state machines. A publisher numbers events, fan-out nodes replicate and forward them,
and followers resume from a cursor or install a snapshot. The design is described in
docs/design/distribution.md. Sockets and processes are in `onyxwick.net`.
"""

from onyxwick.distribution.fanout import FanOut
from onyxwick.distribution.follower import Follower
from onyxwick.distribution.model import Cursor, DistributionError, FeedEvent
from onyxwick.distribution.publisher import Publisher
from onyxwick.distribution.replica import Replica

__all__ = ["Cursor", "DistributionError", "FanOut", "FeedEvent", "Follower", "Publisher", "Replica"]
