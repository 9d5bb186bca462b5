"""The status of a distribution node, as `onyxwick distribution` prints it on SIGUSR1 and at the end."""

from __future__ import annotations

import time
from typing import Any

from onyxwick.config.distribution import NodeConfig
from onyxwick.counters import Counters
from onyxwick.distribution.fanout import FanOut
from onyxwick.distribution.replica import Replica
from onyxwick.net.fanout_server import FanOutServer


def node_status(
    config: NodeConfig, replica: Replica, fanout: FanOut, server: FanOutServer, counters: Counters
) -> dict[str, Any]:
    """Return the status that publisher and relay have in common, as a JSON object with documented keys."""
    return {
        "name": config.name,
        "role": config.role.value,
        "history": replica.cursor.history,
        "number": replica.cursor.number,
        "subscribers": len(fanout.subscribers),
        "behind": fanout.count_behind(),
        "log_bytes": replica.log.size_bytes,
        "caches": len(replica.state.rows),
        "purges": len(replica.state.purges),
        "documents": {name: row.version for name, row in replica.state.documents.items()},
        "bad_documents": replica.rejected_documents,
        "sent_bytes": server.sent_bytes,
        "cpu_s": round(time.process_time(), 3),
        "fanout": dict(fanout.counts),
        "counters": dict(counters.counts),
    }
