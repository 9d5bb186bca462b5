"""A relay of the distribution tree, which follows its parents and forwards all events to its subscribers."""

from __future__ import annotations

import asyncio
from typing import Any

from onyxwick import logs
from onyxwick.config.distribution import NodeConfig
from onyxwick.core.clock import steady_us
from onyxwick.counters import Counters
from onyxwick.distribution.fanout import FanOut, FanOutLimits
from onyxwick.distribution.follower import Follower
from onyxwick.distribution.follower_actions import FollowerLimits
from onyxwick.distribution.model import FeedEvent, Freshness
from onyxwick.distribution.replica import FeedSnapshot, Replica
from onyxwick.net.fanout_server import FanOutServer
from onyxwick.net.node_status import node_status
from onyxwick.net.subscription import ReconnectDelays, Subscription

log = logs.get()
US_PER_MS = 1000


class RelayNode:
    """One relay, which is also the sink of its subscription."""

    def __init__(self, config: NodeConfig) -> None:
        self.config = config
        self.counters = Counters()
        self.replica = Replica(retention_ms=config.retention_ms)
        self.fanout = FanOut(
            self.replica, FanOutLimits(max_subscribers=config.width, admission=config.admission)
        )
        self.server = FanOutServer(self.fanout, config.listen, self.counters)
        delays = ReconnectDelays(config.seed, steady_us())
        follower = Follower(len(config.parents), delays, limits=FollowerLimits())
        self.subscription = Subscription(follower, config.parents, self, self.counters)

    def deliver(self, event: FeedEvent, from_snapshot: bool) -> None:
        """Apply one event and forward it. Purges of a snapshot are forwarded once it is complete."""
        if from_snapshot:
            return
        self.replica.apply(event, steady_us() // US_PER_MS)
        self.server.on_published()

    def install(self, snapshot: FeedSnapshot) -> None:
        """Install a complete state. Subscribers with earlier cursors also receive it as a snapshot."""
        self.replica.install(snapshot)
        self.server.on_published()

    def refresh(self, freshness: Freshness) -> None:
        """Forward the notice that the publisher was reached."""
        self.fanout.on_freshness(freshness)

    async def run(self) -> None:
        """Serve until cancelled. Raises OSError if the server cannot listen on the address."""
        await asyncio.gather(self.server.run(), self.subscription.run())

    def reload(self) -> None:
        """Handle SIGHUP. A relay has nothing to reload."""
        log.info("reload ignored, a relay reads no documents")

    def close(self) -> None:
        """Do nothing: a relay has nothing to close besides its sockets."""

    def status(self) -> dict[str, Any]:
        """Return the status as a JSON object."""
        follower = self.subscription.follower
        age_us = follower.staleness_us(steady_us())
        return {
            **node_status(self.config, self.replica, self.fanout, self.server, self.counters),
            "parent": follower.parent,
            "state": follower.state.value,
            "age_ms": None if age_us is None else age_us // US_PER_MS,
            "follower": dict(follower.counts),
        }
