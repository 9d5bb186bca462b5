"""Sweeps over complete processes: a real director, and a real node of the distribution tree."""

from __future__ import annotations

import asyncio
import json
import os
import random
import subprocess
import sys
import tempfile
import time
from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager, contextmanager
from pathlib import Path
from typing import cast

import ujson

from onyxwick.config.address import Address, format_address
from onyxwick.lab.clients import Connection
from onyxwick.lab.machines import CoordinatorEmulator
from onyxwick.lab.scale.sweeps import CONFIG, Sweep, rows
from onyxwick.net import resp

READY_TIMEOUT_S, EXIT_TIMEOUT_S = 20.0, 30.0
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
LISTEN_HOST = "127.67.0.1"
CACHE_HOST = "127.67.1.1"
PARALLEL_CONNECTIONS = 16
MIN_EVENT_LINE_BYTES = 60
BODIES_KB = (1, 30, 60, 120, 180, 240)
LINKED_CACHES = (4, 24, 48, 95, 190)
FOLLOWERS = (25, 50, 100, 200, 400)


def cpu_s(pid: int) -> float:
    """Return the processor seconds that a process has used so far."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def resident_kb(pid: int) -> float:
    """Return the resident memory of a process in units of 1024 bytes."""
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE_BYTES / 1024


@contextmanager
def process(*words: str, **environment: str) -> Iterator[subprocess.Popen[bytes]]:
    """Run `python -m onyxwick WORDS` and terminate it at the end of the block.

    The process is killed if it has not exited after 30 s.
    """
    running = subprocess.Popen(
        [sys.executable, "-m", "onyxwick", *words],
        env={**os.environ, **environment},
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
    )
    try:
        yield running
    finally:
        running.terminate()
        try:
            running.wait(EXIT_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            running.kill()
            running.wait()


async def wait_until_reachable(address: Address) -> None:
    """Return as soon as a connection to an address succeeds. Raises TimeoutError after 20 s."""
    async with asyncio.timeout(READY_TIMEOUT_S):
        while True:
            try:
                _, writer = await asyncio.open_connection(*address)
            except OSError:
                await asyncio.sleep(0.02)
                continue
            writer.close()
            return


# ---- a director -----------------------------------------------------------------------------------------


class FixedBodyCache(asyncio.Protocol):
    """A cache that answers each request at once with the same body."""

    def __init__(self, body: bytes) -> None:
        self.body, self.parser = body, resp.RespParser()
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport, to which the answers are written."""
        # uvloop's transport class does not inherit from asyncio.Transport.
        self.transport = cast("asyncio.Transport", transport)

    def data_received(self, data: bytes) -> None:
        """Answer each complete request."""
        assert self.transport is not None
        self.parser.buffer.append(data)
        for words in self.parser.messages():
            if words[0] == b"REQ":
                fields = f"digest={'0' * 16},dated={time.time_ns() // 1_000_000},note=HIT"
                self.transport.write(resp.encode_command(words[1], b"data", fields.encode(), self.body))


def _configuration(caches: int, listen: Address, feed: Address, folder: Path) -> Path:
    configuration = ujson.loads(CONFIG.read_text())
    listed = [row | {"addr": f"{CACHE_HOST}:5050"} for row in rows(caches)]
    event = {"index": 1, "endpoints": {"version": 1, "full": True, "servers": listed}}
    configuration |= {
        "listen": format_address(listen),
        "coordinator": format_address(feed),
        "known": {"index": 1, "updates": [event]},
        "limits": {"cores": 1, "memory_mb": 512, "sockets": 4096},
    }
    path = folder / "config.json"
    path.write_text(json.dumps(configuration))
    return path


@asynccontextmanager
async def _director(caches: int, body: bytes) -> AsyncIterator[tuple[int, Address]]:
    """Run a real director with caches that answer at once, and yield its process id and address."""
    loop, listen, feed = asyncio.get_running_loop(), (LISTEN_HOST, 5050), (LISTEN_HOST, 7070)
    coordinator = CoordinatorEmulator(feed, lambda: time.time_ns() // 1000)
    # This line brings the feed's last event number to the one in the configuration.
    coordinator.tell(b"{}\n")
    await coordinator.listen()
    server = await loop.create_server(lambda: FixedBodyCache(body), CACHE_HOST, 5050)
    with tempfile.TemporaryDirectory() as folder:
        path = _configuration(caches, listen, feed, Path(folder))
        with process(RELAY_CONFIG=str(path), ONYXWICK_SERVICE=str(Path(folder) / "none")) as running:
            await wait_until_reachable(listen)
            try:
                yield running.pid, listen
            finally:
                server.close()
                await coordinator.mute()


async def _load(listen: Address, requests: int, rng: random.Random) -> None:
    """Send requests over parallel connections, on each of them one after another."""
    loop = asyncio.get_running_loop()

    async def one(count: int) -> None:
        transport, connection = await loop.create_connection(lambda: Connection(True), *listen)
        for _ in range(count):
            _, future = connection.send(
                {
                    "SCRIPT_NAME": "/call/site-video",
                    "HTTP_X_REQUEST_ID": f"{rng.getrandbits(64):016x}",
                    "HTTP_X_TIMEOUT_MS": "4000",
                    "HTTP_X_OBJECT": f"{rng.randrange(2000):016x}",
                    "HTTP_X_NTH": "0",
                    "HTTP_X_BATCH": "1",
                }
            )
            await future
        transport.close()

    await asyncio.gather(*(one(requests // PARALLEL_CONNECTIONS) for _ in range(PARALLEL_CONNECTIONS)))


def director_request_us(body_kb: int) -> float:
    """Return a complete director's processor time per request with an answer of `body_kb` kB."""

    async def measured() -> float:
        rng = random.Random(body_kb)
        async with _director(4, bytes(body_kb * 1000)) as (pid, listen):
            await _load(listen, 400, rng)
            begin = cpu_s(pid)
            await _load(listen, 3_200, rng)
            return (cpu_s(pid) - begin) / 3_200 * 1e6

    return asyncio.run(measured())


def _measure_idle_director(caches: int) -> tuple[float, float]:
    async def measured() -> tuple[float, float]:
        async with _director(caches, b"x" * 100) as (pid, listen):
            await _load(listen, 32 * caches + 320, random.Random(caches))
            memory, begin, at = resident_kb(pid), cpu_s(pid), time.monotonic()
            await asyncio.sleep(4)
            return memory, (cpu_s(pid) - begin) / (time.monotonic() - at) * 1e3

    return asyncio.run(measured())


def director_memory_kb(caches: int) -> float:
    """Return the resident memory of a director that is connected to `caches` caches."""
    return _measure_idle_director(caches)[0]


def director_idle_ms_per_s(caches: int) -> float:
    """Return the processor time per second of an idle director that is connected to `caches` caches."""
    return _measure_idle_director(caches)[1]


# ---- a node of the distribution tree --------------------------------------------------------------------


class _CountingFollower(asyncio.Protocol):
    """A follower that only counts the received bytes."""

    def __init__(self) -> None:
        self.size = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        cast("asyncio.Transport", transport).write(b"follow 0\n")

    def data_received(self, data: bytes) -> None:
        self.size += len(data)


def node_ms_per_event(followers: int) -> float:
    """Return a node's processor time to send one purge to all followers.

    Purges are published at 100/s; the time includes heartbeats.
    """
    node, feed = (LISTEN_HOST, 7500), (LISTEN_HOST, 7570)

    async def measured() -> float:
        loop = asyncio.get_running_loop()
        coordinator = CoordinatorEmulator(feed, lambda: time.time_ns() // 1000)
        await coordinator.listen()
        text = (
            f'distribution {{\n name = "n"\n role = "publisher"\n listen = "{format_address(node)}"\n'
            f" width = 4096\n"
            f' admitted_per_s = 10000\n coordinator = "{format_address(feed)}"\n}}\n'
        )
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "node.hcl"
            path.write_text(text)
            with process("distribution", "run", str(path)) as running:
                await wait_until_reachable(node)
                pairs = [await loop.create_connection(_CountingFollower, *node) for _ in range(followers)]
                await asyncio.sleep(1.0)
                begin = cpu_s(running.pid)
                for n in range(300):
                    purge = {"ref": f"{n:016x}", "unix_ms": time.time_ns() // 1_000_000}
                    coordinator.tell(json.dumps({"index": n + 1, "evict": purge}).encode() + b"\n")
                    await asyncio.sleep(0.01)
                await asyncio.sleep(0.3)
                spent = cpu_s(running.pid) - begin
                least = min(reader.size for _, reader in pairs)
                for transport, _ in pairs:
                    transport.abort()
        await coordinator.mute()
        if least < 300 * MIN_EVENT_LINE_BYTES:
            raise RuntimeError(f"a follower received only {least} bytes for 300 events")
        return spent / 300 * 1e3

    return asyncio.run(measured())


SWEEPS = (
    Sweep("director_request_us", "kB of an answer", "us a request", BODIES_KB, director_request_us, 3),
    Sweep("director_memory_kb", "caches linked", "kB", LINKED_CACHES, director_memory_kb, 2),
    Sweep("director_idle_ms_per_s", "caches linked", "ms a second", LINKED_CACHES, director_idle_ms_per_s, 2),
    Sweep("node_ms_per_event", "followers", "ms an event", FOLLOWERS, node_ms_per_event, 3),
)
