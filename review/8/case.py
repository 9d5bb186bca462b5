"""Case 8: a tenant's queries, within its quota, stop the director for seconds; others' requests are lost."""

from __future__ import annotations

import asyncio
import secrets
import struct
import sys
import time
from pathlib import Path
from typing import cast

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
from peers_2 import (
    ZONE_HEAD,
    CacheCall,
    Call,
    Client,
    Deployment,
    Record,
    Reply,
    call_params,
    data_fields,
    free_port,
    has_trouble,
    run_case,
)

QUOTA_PER_S = 500  # the default quota of a tenant
NOISY_PER_S = 400
NAMES = 10_000
MAX_ZONE_CHARACTERS = 262_144
TROUBLE_S = 8.0
TIMEOUT_MS = 1500  # half of the give-up time of both classes
LATEST_S = TIMEOUT_MS / 1000 + 0.5 + 0.05
CALL_INTERVAL_S = 0.05


def query(name: str, number: int) -> bytes:
    """Return a DNS query for the address of a name."""
    labels = b"".join(bytes([len(label)]) + label.encode() for label in name.strip(".").split("."))
    return struct.pack(">HHHHHH", number, 0x0100, 1, 0, 0, 0) + labels + b"\0" + struct.pack(">HH", 1, 1)


class Resolver(asyncio.DatagramProtocol):
    """A resolver: sends queries and notes which were answered."""

    def __init__(self) -> None:
        self.answered: dict[int, int] = {}  # response code by query number
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self.transport = cast("asyncio.DatagramTransport", transport)

    def datagram_received(self, data: bytes, address: object) -> None:
        """Note an answer."""
        self.answered[struct.unpack(">H", data[:2])[0]] = data[3] & 15

    def send(self, name: str, number: int) -> None:
        """Send one query."""
        assert self.transport is not None
        self.transport.sendto(query(name, number))


async def answer(call: CacheCall) -> Reply:
    """Answer at once."""
    await asyncio.sleep(0.02)
    return "data", data_fields(), bytes(1000)


def write_service(folder: Path, port: int) -> Path:
    """Write a service file with the DNS front and two tenants, and their zones."""
    rows = "".join(f"yard-{n:05d} A 127.1.{n // 250}.{n % 250}\n" for n in range(NAMES))
    large = ZONE_HEAD + rows
    assert len(large) <= MAX_ZONE_CHARACTERS
    (folder / "boxes.zone").write_text(large)
    (folder / "depot.zone").write_text(ZONE_HEAD + "www A 127.0.0.2\n")
    blocks = [f'dns {{\n  listen = "127.0.0.1:{port}"\n}}']
    for tenant, zone in (("noisy", "boxes"), ("quiet", "depot")):
        blocks.append(
            f'tenant "{tenant}" {{\n  quota_per_s = {QUOTA_PER_S}\n'
            f'  zone "{zone}.example." {{\n    file = "{zone}.zone"\n  }}\n}}'
        )
    path = folder / "service.hcl"
    path.write_text("\n".join(blocks) + "\n")
    return path


async def case(record: Record) -> bool:
    """Return whether a request of the platform's clients was lost."""
    deployment = Deployment(record, answer)
    try:
        await deployment.start_peers()
        platform = deployment.platform
        port = free_port()
        platform.start_director(deployment.config, write_service(platform.folder, port))
        await platform.wait_ready()
        loop = asyncio.get_running_loop()
        _, noisy = await loop.create_datagram_endpoint(Resolver, remote_addr=("127.0.0.1", port))
        _, quiet = await loop.create_datagram_endpoint(Resolver, remote_addr=("127.0.0.1", port))
        client = await Client.connect(platform.client_port)
        noisy_sent, quiet_sent = await play(client, noisy, quiet)
        until_s = time.monotonic() + LATEST_S + 0.2
        while client.open_count() and time.monotonic() < until_s:
            await asyncio.sleep(0.05)
        lost = [call for call in client.all_calls if is_lost(call, client.ended_s)]
        record.add(f"tenant noisy: {noisy_sent} queries sent, {len(noisy.answered)} answered")
        record.add(f"tenant quiet: {quiet_sent} queries sent, {len(quiet.answered)} answered")
        for call in client.all_calls:
            took = f"{call.done_s - call.sent_s:.3f} s" if call.done_s else "no answer"
            record.add(
                f"{call.params['SCRIPT_NAME']} {call.params['HTTP_X_REQUEST_ID']}: {call.status}, {took}"
            )
        record.add(f"requests lost: {len(lost)} of {len(client.all_calls)}")
        return bool(lost)
    finally:
        deployment.end()


async def play(client: Client, noisy: Resolver, quiet: Resolver) -> tuple[int, int]:
    """Send the tenants' queries and the platform's requests; return how many queries were sent."""
    started_s = time.monotonic()
    noisy_sent = quiet_sent = 0
    while (passed_s := time.monotonic() - started_s) < TROUBLE_S:
        while has_trouble() and noisy_sent < passed_s * NOISY_PER_S:
            noisy_sent += 1
            noisy.send(f"{secrets.token_hex(4)}.boxes.example.", noisy_sent)
        if quiet_sent * CALL_INTERVAL_S <= passed_s:
            quiet_sent += 1
            quiet.send("www.depot.example.", quiet_sent)
            if client.open_count() < 32:
                class_name = "booking" if quiet_sent % 10 == 0 else "job-sheet"
                client.send(call_params(class_name, secrets.token_hex(8), TIMEOUT_MS))
        await asyncio.sleep(0.002)
    return noisy_sent, quiet_sent


def is_lost(call: Call, ended_s: float) -> bool:
    """Return whether a request got no final answer by half a second, and 50 ms, after its time."""
    if not call.was_sent or (call.lost and call.crossed_end(ended_s)):
        return False
    return call.lost or not call.done_s or call.done_s - call.sent_s > LATEST_S


run_case(case, Path(__file__).resolve().parent)
