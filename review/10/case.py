"""Case 10: after two tenants' zones were accepted, one below the other, the director does not start again."""

from __future__ import annotations

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
from peers_2 import (
    ZONE_HEAD,
    CacheCall,
    CaseError,
    Deployment,
    Record,
    Reply,
    api_call,
    data_fields,
    has_trouble,
    run_case,
    tenant_token,
    write_service,
)

ZONES = (("yards", "north.depot.example."), ("depots", "depot.example."))  # tenant and zone, in this order


async def answer(call: CacheCall) -> Reply:
    """Answer at once."""
    return "data", data_fields(), bytes(1000)


async def case(record: Record) -> bool:
    """Return whether the director ended, or was not ready again, after accepted calls."""
    deployment = Deployment(record, answer)
    try:
        await deployment.start_peers()
        platform = deployment.platform
        service, port = write_service(platform, "yards", "depots")
        platform.start_director(deployment.config, service)
        await platform.wait_ready()
        for tenant, zone in ZONES:
            path = f"/tenants/{tenant}/zones/{zone}"
            accepted = await api_call(record, port, "PUT", path, {"text": ZONE_HEAD}, tenant_token(tenant))
            if accepted.status == 409 and zone == ZONES[-1][1]:
                record.add("the second zone is refused: nothing was accepted that a restart could lose")
                return False
            if accepted.status != 201:
                raise CaseError("a zone was not accepted")
        is_up = await deployment.restart(service) if has_trouble() else platform.is_running()
        if not is_up:
            return True
        kept = [
            await api_call(record, port, "GET", f"/tenants/{tenant}/zones/{zone}", None, tenant_token(tenant))
            for tenant, zone in ZONES
        ]
        return any(each.status != 200 for each in kept)
    finally:
        deployment.end()


run_case(case, Path(__file__).resolve().parent)
