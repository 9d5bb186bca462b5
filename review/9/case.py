"""Case 9: after a tenant's large zone was accepted, the director does not start again."""

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

NAMES = 6000
ZONE = "boxes.north.depot.example."


async def answer(call: CacheCall) -> Reply:
    """Answer at once."""
    return "data", data_fields(), bytes(1000)


async def case(record: Record) -> bool:
    """Return whether the director ended, or was not ready again, after an accepted call."""
    deployment = Deployment(record, answer)
    try:
        await deployment.start_peers()
        platform = deployment.platform
        service, port = write_service(platform, "yards")
        platform.start_director(deployment.config, service)
        await platform.wait_ready()
        rows = "".join(f"yard-{n:04d} A 127.1.{n // 250}.{n % 250}\n" for n in range(NAMES))
        text = ZONE_HEAD + rows
        record.add(f"a zone of {NAMES} names, {len(text)} characters; at most 262,144 are accepted")
        path = f"/tenants/yards/zones/{ZONE}"
        accepted = await api_call(record, port, "PUT", path, {"text": text}, tenant_token("yards"))
        if accepted.status != 201:
            raise CaseError("the zone was not accepted")
        is_up = await deployment.restart(service) if has_trouble() else platform.is_running()
        if is_up:
            kept = await api_call(record, port, "GET", path, None, tenant_token("yards"))
            return kept.status != 200
        return True
    finally:
        deployment.end()


run_case(case, Path(__file__).resolve().parent)
