"""The digest that ties a loss plan to the topology that it was made for.

The hashed keys are those of earlier versions, so that plans made by these versions stay valid. They differ
from the names in the code.
"""

from __future__ import annotations

import json
from hashlib import blake2b
from typing import Any

from onyxwick.sites.model import Hub, PlannedClass, Site, Topology

DIGEST_BYTES = 8


def topology_digest(topology: Topology) -> str:
    """Return a hash of everything that a plan depends on. How sites are observed is not part of it."""
    document = {
        "sites": {name: _site_document(site) for name, site in sorted(topology.sites.items())},
        "hubs": {name: _hub_document(hub) for name, hub in sorted(topology.hubs.items())},
        "archive": _hub_document(topology.origin),
        "kinds": {name: _class_document(planned) for name, planned in sorted(topology.classes.items())},
        "loads": sorted(
            [load.class_name, load.site, load.tenant, load.rate_per_s] for load in topology.loads
        ),
        "paths": sorted(
            [*sorted(link.ends), link.capacity, link.delay_us] for link in topology.links.values()
        ),
        "reserves": dict(sorted(topology.tenant_reserves.items())),
        "policy": {"headroom": topology.policy.headroom},
    }
    encoded = json.dumps(document, sort_keys=True).encode()
    return blake2b(encoded, digest_size=DIGEST_BYTES).hexdigest()


def _site_document(site: Site) -> dict[str, Any]:
    return {
        "name": site.name,
        "zone": site.zone,
        "capacity": site.capacity,
        "directors": site.directors,
        "boxes": site.caches,
        "failover": dict(site.failover),
    }


def _hub_document(hub: Hub) -> dict[str, Any]:
    return {"name": hub.name, "zone": hub.zone, "capacity": hub.capacity}


def _class_document(planned: PlannedClass) -> dict[str, Any]:
    return {
        "name": planned.name,
        "sending_us": planned.transfer_us,
        "fill_us": planned.fill_us,
        "fill_share": planned.fill_share,
        "relay_share": planned.parent_miss_share,
        "worth": planned.priority_weight,
        "write": planned.is_write,
        "shared": planned.shared_object_share,
    }
