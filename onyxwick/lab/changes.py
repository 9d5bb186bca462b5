"""Durable changes at a steady rate: the administration API and RFC 2136 updates, with the store on and off.

Open loop: each change has its intended moment, and its time is counted from that moment, so that a slow one
does not hide the wait of those behind it. Half go through the API (a tenant's quota, a tenant's zone anew),
half as signed updates of a zone's static names. The variants alternate, each on a director of its own.
"""

from __future__ import annotations

import base64
import concurrent.futures
import http.client
import json
import os
import shutil
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

import dns.exception
import dns.query
import dns.rcode
import dns.tsigkeyring
import dns.update
from hdrh.histogram import HdrHistogram

from onyxwick.lab.kills import TOKEN, ZONE
from onyxwick.lab.model import Scenario
from onyxwick.lab.platform import settings
from onyxwick.store.encryption import generate_key

KEY_NAME, SECRET = "update.depot.lab.", base64.b64encode(b"onyxwick-lab-update-key").decode()
ZONE_NAME = "depot.lab."
READY_S, CALL_S = 20.0, 5.0
WORKERS = 32


class ChangesHost:
    """One director with the administration API and the DNS front, with or without a store, on loopback."""

    def __init__(self, scenario: Scenario, store: bool, slot: int) -> None:
        base = f"127.{170 + slot}"
        self.api, self.dns = (f"{base}.8.1", 8053), (f"{base}.8.1", 5353)
        self.folder = Path(tempfile.mkdtemp(prefix="onyxwick-changes-"))
        told = {
            "name": "n0",
            "listen": f"{base}.1.1:5050",
            "seed": "1",
            "limits": {"sockets": 256, "memory_mb": 192},
            "coordinator": f"{base}.9.1:7070",
            "known": {"index": 0, "updates": []},
            "settings": settings(scenario),
        }
        (self.folder / "director.json").write_text(json.dumps(told))
        (self.folder / "operator.token").write_text(TOKEN)
        (self.folder / "store.keys").write_text(generate_key())
        (self.folder / "depot.zone").write_text(ZONE.format(1))
        kept = 'store {\n  folder = "store"\n  key_file = "store.keys"\n  installation = "lab"\n}\n'
        (self.folder / "service.hcl").write_text(
            f'admin {{\n  listen = "{self.api[0]}:{self.api[1]}"\n  token_file = "operator.token"\n}}\n'
            f'dns {{\n  listen = "{self.dns[0]}:{self.dns[1]}"\n}}\n'
            + (kept if store else "")
            + f'tenant "depot" {{\n  quota_per_s = 100000\n'
            f'  key "{KEY_NAME}" {{\n    secret = "{SECRET}"\n  }}\n'
            f'  zone "{ZONE_NAME}" {{\n    file = "depot.zone"\n  }}\n}}\n'
        )
        self.program: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        names = {"RELAY_CONFIG": "director.json", "ONYXWICK_SERVICE": "service.hcl"}
        environment = os.environ | {name: str(self.folder / file) for name, file in names.items()}
        with (self.folder / "log").open("ab") as log:
            self.program = subprocess.Popen(
                [sys.executable, "-m", "onyxwick"], env=environment, stdout=log, stderr=log
            )
        end = time.monotonic() + READY_S
        while time.monotonic() < end:
            try:
                if self.call("GET", "/health", None) == 200:
                    return
            except (OSError, http.client.HTTPException):
                time.sleep(0.02)
        raise RuntimeError("the administration API never answered")

    def call(self, method: str, path: str, body: dict[str, Any] | None) -> int:
        connection = http.client.HTTPConnection(*self.api, timeout=CALL_S)
        try:
            head = {"Authorization": f"Bearer {TOKEN}"}
            connection.request(method, path, json.dumps(body) if body else None, head)
            answer = connection.getresponse()
            answer.read()
            return answer.status
        finally:
            connection.close()

    def update(self, n: int) -> int:
        update = dns.update.UpdateMessage(ZONE_NAME, keyring=dns.tsigkeyring.from_text({KEY_NAME: SECRET}))
        update.replace(f"name-{n % 50}", 60, "A", f"127.1.{n % 200}.{n % 250 + 1}")
        answer = dns.query.tcp(update, self.dns[0], port=self.dns[1], timeout=CALL_S)
        return 200 if answer.rcode() == dns.rcode.NOERROR else 500

    def close(self) -> None:
        if self.program is not None:
            self.program.terminate()
            self.program.wait(READY_S)
        shutil.rmtree(self.folder, ignore_errors=True)


def _change(host: ChangesHost, n: int) -> tuple[str, int]:
    if n % 2:
        return "dns", host.update(n)
    if n % 4:
        return "api", host.call("PATCH", "/tenants/depot", {"quota_per_s": 100000 + n})
    # Above the serials that the updates between two of these raise it to: a serial never goes back.
    return "api", host.call("PUT", f"/tenants/depot/zones/{ZONE_NAME}", {"text": ZONE.format(1000 + 10 * n)})


def _play(host: ChangesHost, rate: float, seconds: float) -> dict[str, Any]:
    counts = {"api": HdrHistogram(1, 60_000_000, 3), "dns": HdrHistogram(1, 60_000_000, 3)}
    failed, total = {"api": 0, "dns": 0}, int(rate * seconds)
    begun = time.monotonic()

    def one(n: int) -> None:
        intended = begun + n / rate
        time.sleep(max(0.0, intended - time.monotonic()))
        try:
            kind, status = _change(host, n)
        except (OSError, http.client.HTTPException, dns.exception.DNSException):
            kind, status = ("dns" if n % 2 else "api"), 0
        counts[kind].record_value(max(1, int((time.monotonic() - intended) * 1e6)))
        failed[kind] += status >= 300 or status == 0

    with concurrent.futures.ThreadPoolExecutor(WORKERS) as pool:
        list(pool.map(one, range(total)))
    return {
        kind: {
            "changes": histogram.get_total_count(),
            "p50_ms": histogram.get_value_at_percentile(50) / 1000,
            "p99_ms": histogram.get_value_at_percentile(99) / 1000,
            "most_ms": histogram.get_max_value() / 1000,
            "failed": failed[kind],
        }
        for kind, histogram in counts.items()
    }


def measure(scenario: Scenario, rate: float, seconds: float, rounds: int) -> list[dict[str, Any]]:
    """Each variant `rounds` times, in turn; one row a play."""
    rows = []
    for number in range(rounds):
        for store in (False, True):
            host = ChangesHost(scenario, store, number % 8)
            try:
                host.start()
                rows.append({"store": store, "round": number, **_play(host, rate, seconds)})
            finally:
                host.close()
    return rows
