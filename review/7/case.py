"""Case 7: a new plan of cells, read on SIGHUP, loses requests on connections that clients hold open."""

from __future__ import annotations

import asyncio
import secrets
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
from peers_2 import (
    CacheCall,
    Call,
    CaseError,
    Client,
    Deployment,
    Record,
    Reply,
    call_params,
    data_fields,
    has_trouble,
    run_case,
    signal_process,
)

TENANT = "yards"
CONNECTIONS = 4
WARM_UP = 5  # requests on each connection before the new plan
VIDEOS = 3
BOOKING_S = 0.8
AFTER_RELOAD_S = 1.5
TIMEOUT_MS = 3000
LATEST_S = TIMEOUT_MS / 1000 + 0.5 + 0.05


def plan(cells: dict[str, list[str]], cell_of_tenant: dict[str, str]) -> str:
    """Return a service file with these members of each cell, and the cell of each tenant."""
    blocks = ['cells {\n  tenant_field   = "X-Tenant"\n  default_tenant = "depot"\n}']
    for cell, members in cells.items():
        names = ", ".join(f'"{name}"' for name in members)
        blocks.append(f'cell "{cell}" {{\n  members = [{names}]\n}}')
    blocks += [f'tenant "{name}" {{\n  cells = ["{cell}"]\n}}' for name, cell in cell_of_tenant.items()]
    return "\n".join(blocks) + "\n"


OLD_PLAN = plan({"north": ["c0"], "south": ["c1", "c2"]}, {"depot": "south", TENANT: "north"})
NEW_PLAN = plan({"south": ["c0", "c1", "c2"]}, {"depot": "south", TENANT: "south"})


async def answer(call: CacheCall) -> Reply:
    """Answer soon; a booking takes longer."""
    await asyncio.sleep(BOOKING_S if call.fields["c"] == "booking" else 0.02)
    return "data", data_fields(), bytes(1000)


def send(client: Client, class_name: str) -> Call:
    """Send one request of the tenant."""
    return client.send(call_params(class_name, secrets.token_hex(8), TIMEOUT_MS, HTTP_X_TENANT=TENANT))


async def case(record: Record) -> bool:
    """Return whether a request that was taken got no final answer."""
    deployment = Deployment(record, answer)
    try:
        await deployment.start_peers()
        platform = deployment.platform
        service = platform.folder / "service.hcl"
        service.write_text(OLD_PLAN)
        process = platform.start_director(deployment.config, service)
        await platform.wait_ready()
        clients = [await Client.connect(platform.client_port) for _ in range(CONNECTIONS)]
        before = [send(client, "site-video") for client in clients for _ in range(WARM_UP)]
        await asyncio.sleep(1.0)
        if any(call.status != 200 for call in before):
            raise CaseError("the requests before the new plan were not served")
        for client in clients:
            send(client, "booking")
        await asyncio.sleep(0.1)
        if has_trouble():
            service.write_text(NEW_PLAN)
            signal_process(process, signal.SIGHUP)
            record.add("the service file has a plan without cell north; SIGHUP sent")
        await asyncio.sleep(0.3)
        for client in clients:
            for _ in range(VIDEOS):
                send(client, "site-video")
        await asyncio.sleep(AFTER_RELOAD_S)
        for client in clients:
            send(client, "booking")
        until_s = time.monotonic() + LATEST_S
        while any(client.open_count() for client in clients) and time.monotonic() < until_s:
            await asyncio.sleep(0.05)
        return judge(record, deployment, clients, WARM_UP)
    finally:
        deployment.end()


def judge(record: Record, deployment: Deployment, clients: list[Client], skipped: int) -> bool:
    """Record what came of each request but the first `skipped`, and whether a taken one got no answer.

    Not counted: what a client would have sent after its connection's end, or sent 50 ms or less before it.
    """
    executed = {call.request_id for call in deployment.origin.calls}
    lost = 0
    for client in clients:
        for call in client.all_calls[skipped:]:
            request_id = call.params["HTTP_X_REQUEST_ID"]
            text = f"{call.params['SCRIPT_NAME']} {request_id}: "
            if call.done_s:
                text += f"status {call.status} after {call.done_s - call.sent_s:.3f} s"
            elif not call.was_sent:
                text += "not sent: the connection had ended"
            elif call.crossed_end(client.ended_s):
                text += f"no answer, sent {client.ended_s - call.sent_s:.3f} s before the end: not counted"
            else:
                lost += 1
                text += "no answer, LOST"
                text += (
                    f", sent {client.ended_s - call.sent_s:.3f} s before the end" if client.ended_s else ""
                )
            text += ", executed at the origin" if request_id in executed else ""
            record.add(text)
    for line in deployment.platform.log_text().splitlines():
        if "KeyError" in line or "plan of cells" in line:
            record.add(f"director: {line.strip()[:200]}")
    record.add(f"requests lost: {lost} of {sum(len(client.all_calls) - skipped for client in clients)}")
    return lost > 0


run_case(case, Path(__file__).resolve().parent)
