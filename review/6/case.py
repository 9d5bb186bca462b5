"""Case 6: clients that read 1 MB a second lose requests that were taken, when they are owed many answers."""

from __future__ import annotations

import asyncio
import secrets
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
from peers_2 import (
    CacheCall,
    Client,
    Deployment,
    Record,
    Reply,
    call_params,
    data_fields,
    has_trouble,
    run_case,
)

BODY = bytes(range(256)) * 930  # 238,080 bytes: an object holds 240,000 at most
SLOW_BYTES_PER_S = 1_000_000
CLIENTS = 16
REQUESTS = 32  # open on one connection
TIMEOUT_MS = 5000
CLIENT_INTERVAL_S = 0.1
RECEIVE_BUFFER = 65_536
LIMITS = {"cores": 1.0, "memory_mb": 192, "sockets": 1024}


async def answer(call: CacheCall) -> Reply:
    """Answer as a box that has the copy."""
    await asyncio.sleep(0.03)
    return "data", data_fields(), BODY


async def case(record: Record) -> bool:
    """Return whether a request was lost."""
    deployment = Deployment(record, answer)
    try:
        await deployment.start_peers(limits=LIMITS)
        platform = deployment.platform
        platform.start_director(deployment.config)
        await platform.wait_ready()
        rate = SLOW_BYTES_PER_S if has_trouble() else 0
        clients = []
        for _ in range(CLIENTS):
            client = await Client.connect(platform.client_port, rate, RECEIVE_BUFFER)
            clients.append(client)
            for _ in range(REQUESTS):
                client.send(call_params("site-video", secrets.token_hex(8), TIMEOUT_MS))
            record.add(
                f"client {len(clients)} sent {REQUESTS} requests and reads {rate or 'all'} bytes a second"
            )
            await asyncio.sleep(CLIENT_INTERVAL_S)
        until_s = time.monotonic() + 2 + REQUESTS * len(BODY) / SLOW_BYTES_PER_S
        while any(client.open_count() for client in clients) and time.monotonic() < until_s:
            await asyncio.sleep(0.05)
        return judge(record, clients, platform.log_text())
    finally:
        deployment.end()


def judge(record: Record, clients: list[Client], log: str) -> bool:
    """Record what each client got. A request is lost if its connection was ended before its answer began.

    One whose answer had begun may have failed instead, so it isn't counted.
    """
    lost = 0
    for number, client in enumerate(clients, 1):
        calls = client.all_calls
        whole = sum(call.status == 200 and call.body == BODY for call in calls)
        other = sum(call.status not in (0, 200) for call in calls)
        begun = sum(call.lost and bool(call.received) for call in calls)
        lost_calls = [
            call for call in calls if call.lost and not call.received and not call.crossed_end(client.ended_s)
        ]
        untouched = len(lost_calls)
        lost += untouched
        text = f"client {number}: {whole} whole, {other} refused or failed, {begun} cut"
        text += f", {untouched} without a byte"
        if client.ended_s:
            after_s = client.ended_s - calls[0].sent_s
            text += f"; the director ended the connection, seen {after_s:.3f} s after the requests"
        record.add(text)
        for call in calls:
            took = f"{call.done_s - call.sent_s:.3f} s" if call.done_s else "never"
            request_id = call.params["HTTP_X_REQUEST_ID"]
            verdict = ", LOST" if call in lost_calls else ""
            record.add(f"client {number}, {request_id}: status {call.status}, answered {took}{verdict}")
    for line in log.splitlines():
        if '"memory released"' in line:
            record.add(f"director: {line}")
    record.add(f"requests lost: {lost} of {sum(len(client.all_calls) for client in clients)}")
    return lost > 0


run_case(case, Path(__file__).resolve().parent)
