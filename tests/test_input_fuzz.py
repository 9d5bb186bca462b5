"""A real director under mutated input of clients, caches and the feed: it runs, serves and keeps its limit.

The mutations are drawn from a seed, so the same seed sends the same bytes; `FUZZ_SEED` chooses another one.
"""

from __future__ import annotations

import contextlib
import itertools
import json
import os
import random
import socket
import threading
import time
from collections.abc import Callable
from functools import partial
from pathlib import Path
from typing import Any

import pytest

from onyxwick.lab.soak.hoarding import CacheHoard, ClientHoard, hoarding_input, hoarding_reply
from onyxwick.net import fastcgi, resp
from tests.limited_director import (
    BYTES_PER_MB,
    SERVED_FIELDS,
    LimitedDirector,
    count_served,
    drain,
    encode_call,
    limited_director,
    served,
)

SEED = int(os.environ.get("FUZZ_SEED", "1"))
CALLS = 20
CLIENTS = 6
MAX_MUTATIONS = 6
MUTATED_OBJECT = "00000000000000cc"
SEND_TIMEOUT_S = 1.0
FEED_INTERVAL_S = 0.01
NUMBERS = (b"1e999", b"-1", b"9" * 400, b"NaN", b"null", b"[]", b"0.5", b"18446744073709551616")


def mutate(rng: random.Random, data: bytes) -> bytes:
    """Return the data with some bytes flipped, removed, repeated, cut off, or replaced by an odd number."""
    out = bytearray(data)
    for _ in range(rng.randint(1, MAX_MUTATIONS)):
        at = rng.randrange(len(out) + 1)
        size = rng.choice((1, 2, 8, 64, 1024))
        match rng.randrange(6):
            case 0 if at < len(out):
                out[at] ^= 1 << rng.randrange(8)
            case 1:
                del out[at : at + size]
            case 2:
                out[at:at] = out[at : at + size] * rng.choice((1, 3, 50))
            case 3:
                del out[at:]
            case 4:
                out[at : at + rng.choice((1, 4))] = rng.choice(NUMBERS)
            case _:
                out[at:at] = rng.randbytes(size)
    return bytes(out)


class _Background:
    """Threads that repeat their work until the end of the test; errors of sockets are the sender's loss."""

    def __init__(self) -> None:
        self.stopped = threading.Event()
        self.threads = list[threading.Thread]()
        self.failures = list[BaseException]()

    def repeat(self, work: Callable[[], None]) -> None:
        def run() -> None:
            while not self.stopped.is_set():
                try:
                    with contextlib.suppress(OSError):
                        work()
                except BaseException as error:  # a fault of the test itself must fail it
                    self.failures.append(error)
                    return

        self.threads.append(threading.Thread(target=run, daemon=True))
        self.threads[-1].start()

    def stop(self) -> None:
        self.stopped.set()
        for thread in self.threads:
            thread.join(10.0)
        assert not self.failures


def _client(director: LimitedDirector, rng: random.Random) -> None:
    call = encode_call(rng.randrange(1, 40), params={"HTTP_X_OBJECT": MUTATED_OBJECT})
    recorded = (
        call,
        call * 3,
        hoarding_input(ClientHoard.PINGS)[:2000],
        hoarding_input(ClientHoard.RECORD),
        hoarding_input(ClientHoard.PARAMETERS)[:100_000],
        fastcgi.encode_record(fastcgi.RecordType.GET_VALUES, 0, b"\x0e\x00FCGI_MAX_CONNS"),
    )
    with director.connect() as sock:
        sock.settimeout(SEND_TIMEOUT_S)
        for _ in range(rng.randint(1, 8)):
            sock.sendall(mutate(rng, rng.choice(recorded)))
            drain(sock)
        if rng.random() < 0.5:
            time.sleep(rng.uniform(0, 0.3))


def _reply(rng: random.Random) -> Callable[[socket.socket, list[bytes]], None]:
    def reply(connection: socket.socket, words: list[bytes]) -> None:
        if words[0] != b"REQ" or MUTATED_OBJECT.encode() not in words[2]:
            served(connection, words)
            return
        fields = SERVED_FIELDS + b",first=12,dated=1764576000123,load=load_share:0.5"
        whole = resp.encode_command(words[1], b"data", fields, rng.randbytes(rng.choice((0, 100, 20_000))))
        recorded = (whole, whole, hoarding_reply(rng.choice(list(CacheHoard)), words[1]))
        connection.sendall(mutate(rng, rng.choice(recorded)))

    return reply


def _line(rng: random.Random, index: int) -> bytes:
    row: dict[str, Any] = {
        "id": f"s-{rng.randrange(500):08x}",
        "addr": "127.9.0.1:5050",
        "zone": "edge-9",
        "kind": "box",
    }
    row |= {"cell": 0, "state": rng.choice(("SERVING", "DRAINING", "DELETED")), "weight": 4, "started_ms": 0}
    purge = {"ref": f"{rng.randrange(99):016x}", "unix_ms": 1764576000123}
    event: dict[str, Any] = {"endpoints": {"version": index, "servers": [row] * rng.choice((1, 50))}}
    if rng.random() < 0.3:
        event = {"evict": rng.choice((purge, {"shard": rng.randrange(256), "unix_ms": 1764576000480}))}
    line = json.dumps({"index": index, **event}).encode()
    return line if rng.random() < 0.3 else mutate(rng, line)


def _is_harmless(line: bytes) -> bool:
    """Return whether a line tells nothing of the caches that serve the client that behaves."""
    return not any(word in line for word in (b'"c0"', b'"p0"', b'"o0"', b"full"))


def _follower(feed: socket.socket, rng: random.Random) -> None:
    feed.settimeout(0.5)
    connection, _ = feed.accept()
    with connection:
        connection.settimeout(SEND_TIMEOUT_S)
        index = int(connection.recv(100).split()[1])
        for _ in range(200):
            line = _line(rng, index + 1)
            if _is_harmless(line):
                connection.sendall(line + b"\n")
                index += 1
            time.sleep(FEED_INTERVAL_S)


# Guards against: an end, a stop of service or memory past the limit by input that nobody means.
@pytest.mark.parametrize("seed", [SEED, SEED + 1])
def test_mutated_input_of_all_sides_ends_nothing_and_fills_nothing(seed: int, tmp_path: Path) -> None:
    numbers = itertools.count(seed * 1000)

    def next_random() -> random.Random:
        return random.Random(f"fuzz {next(numbers)}")

    background = _Background()
    with limited_director(tmp_path, reply=_reply(next_random()), answers_feed=False) as director:
        for _ in range(CLIENTS):
            background.repeat(partial(_client, director, next_random()))
        background.repeat(partial(_follower, director.feed, next_random()))
        count = count_served(director, CALLS, 0.2)
        background.stop()
        assert director.is_running(), director.log.read_text()[-2000:]
        assert director.peak_over_idle_bytes() < director.memory_mb * BYTES_PER_MB / 2
        assert count == CALLS
        log = director.log.read_text()
        assert "Traceback" not in log and '"event":"invariant violated"' not in log, log[-4000:]
    assert director.process.returncode == 0
