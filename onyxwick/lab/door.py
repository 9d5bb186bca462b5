"""How long the operators' door takes while the director's own loop is flooded: a measurement, on loopback.

The real program runs with a door; this process times `GET /ready` at the door and `/ping` at the front,
first calm, then while many clients connect, ping and leave as fast as they can. The front's pings tell what
a door on the director's loop would wait: the way that was rejected.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

import uvloop

from onyxwick.net import fastcgi

ROOT = Path(__file__).parents[2]
FRONT, DOOR = ("127.78.0.1", 15050), ("127.78.0.1", 19600)
START_S = 10.0
CALL_S = 3.0  # a call that takes longer counts as unanswered
PING = b"".join(
    fastcgi.encode_record(kind, 1, content)
    for kind, content in (
        (fastcgi.RecordType.BEGIN, fastcgi.BEGIN_BODY.pack(1, 0)),
        (fastcgi.RecordType.PARAMS, fastcgi.encode_pairs({b"SCRIPT_NAME": b"/ping"})),
        (fastcgi.RecordType.PARAMS, b""),
        (fastcgi.RecordType.STDIN, b""),
    )
)
READY = b"GET /ready HTTP/1.1\r\nHost: door\r\n\r\n"


async def _call(address: tuple[str, int], data: bytes) -> float:
    """Milliseconds from connecting to the end of the answer; CALL_S * 1000 where it took longer or failed."""
    loop, begun = asyncio.get_running_loop(), time.perf_counter()
    try:
        async with asyncio.timeout(CALL_S):
            with socket.socket() as sock:
                sock.setblocking(False)
                await loop.sock_connect(sock, address)
                await loop.sock_sendall(sock, data)
                while await loop.sock_recv(sock, 65_536):
                    pass
    except (OSError, TimeoutError):
        return CALL_S * 1000
    return (time.perf_counter() - begun) * 1000


def _spread(times: list[float]) -> dict[str, float]:
    ordered = sorted(times)
    return {
        "p50_ms": round(ordered[len(ordered) // 2], 2),
        "p99_ms": round(ordered[min(len(ordered) - 1, int(len(ordered) * 0.99))], 2),
        "most_ms": round(ordered[-1], 2),
        "over_1s": sum(t > 1000 for t in ordered),
    }


async def _timed(calls: int, gap_s: float) -> dict[str, dict[str, float]]:
    door, front = [], []
    for _ in range(calls):
        door.append(await _call(DOOR, READY))
        front.append(await _call(FRONT, PING))
        await asyncio.sleep(gap_s)
    return {"door": _spread(door), "front": _spread(front)}


async def _flood(stop: asyncio.Event, counted: list[int]) -> None:
    while not stop.is_set():
        await _call(FRONT, PING)
        counted[0] += 1


async def _measure(calls: int, flooders: int) -> dict[str, Any]:
    calm = await _timed(calls, 0.02)
    stop, counted = asyncio.Event(), [0]
    tasks = [asyncio.get_running_loop().create_task(_flood(stop, counted)) for _ in range(flooders)]
    await asyncio.sleep(0.5)
    begun, counted[0] = time.perf_counter(), 0
    flooded = await _timed(calls, 0.02)
    rate = counted[0] / (time.perf_counter() - begun)
    stop.set()
    await asyncio.gather(*tasks)
    return {"calm": calm, "flooded": flooded, "flood_per_s": round(rate)}


def measure(calls: int = 100, flooders: int = 64) -> dict[str, Any]:
    """Start the program with its door, measure, end it; the figures as a document."""
    told = json.loads((ROOT / "examples" / "config.json").read_text())
    told["listen"] = f"{FRONT[0]}:{FRONT[1]}"
    with tempfile.TemporaryDirectory() as folder:
        config = Path(folder) / "config.json"
        config.write_text(json.dumps(told))
        environment = {**os.environ, "RELAY_CONFIG": str(config), "RELAY_ADMIN": f"{DOOR[0]}:{DOOR[1]}"}
        environment |= {"TMPDIR": folder, "ONYXWICK_SERVICE": str(Path(folder) / "none")}
        logged = Path(folder) / "log"
        with logged.open("w") as log:
            program = subprocess.Popen(
                [sys.executable, "-m", "onyxwick"], cwd=ROOT, env=environment, stderr=log
            )
            try:
                _wait_for(logged)
                return uvloop.run(_measure(calls, flooders))
            finally:
                program.send_signal(signal.SIGTERM)
                program.wait(timeout=START_S)


def _wait_for(logged: Path) -> None:
    end = time.monotonic() + START_S
    while time.monotonic() < end:
        if '"serving"' in logged.read_text():
            return
        time.sleep(0.02)
    raise RuntimeError("the program did not start")
