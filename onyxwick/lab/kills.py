"""The real program killed in the middle of API calls, again and again: nothing half done, nothing
acknowledged lost."""

from __future__ import annotations

import http.client
import json
import os
import random
import shutil
import subprocess
import sys
import tempfile
import threading
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from onyxwick.lab.model import Scenario
from onyxwick.store.encryption import generate_key

TOKEN = "operator-token-of-the-lab"
READY_S, WITHIN_S = 20.0, 0.5  # for the API to answer; in which the kill comes
ZONE = "@ 60 IN SOA ns. a. {} 1 1 1 60\n@ 60 IN NS ns.\n"


@dataclass(slots=True)
class KillCall:
    """One change, with its key: asked again with the same key it must tell the first outcome."""

    method: str
    path: str
    body: dict[str, Any]
    key: str


@dataclass(slots=True)
class KillTally:
    kills: int = 0
    acknowledged: int = 0
    repeated: int = 0
    wrong: list[str] = field(default_factory=list)


class Victim:
    """One director with a store, on loopback."""

    def __init__(self, scenario: Scenario, slot: int) -> None:
        from onyxwick.lab.platform import settings

        base = f"127.{150 + slot}"
        self.api, self.folder = f"{base}.8.1", Path(tempfile.mkdtemp(prefix="onyxwick-kill-"))
        rows = [
            {
                "id": f"box-{n}",
                "addr": f"{base}.2.{n + 1}:5050",
                "zone": "depot-1",
                "kind": "box",
                "state": "SERVING",
                "weight": 1.0,
                "started_ms": 0,
            }
            for n in range(4)
        ]
        known = {
            "index": 1,
            "updates": [{"index": 1, "endpoints": {"version": 1, "full": True, "servers": rows}}],
        }
        told = {
            "name": "n0",
            "listen": f"{base}.1.1:5050",
            "seed": "1",
            "limits": {"sockets": 256, "memory_mb": 192},
            "coordinator": f"{base}.9.1:7070",
            "known": known,
            "settings": settings(scenario),
        }
        (self.folder / "director.json").write_text(json.dumps(told))
        (self.folder / "operator.token").write_text(TOKEN)
        (self.folder / "store.keys").write_text(generate_key())
        (self.folder / "service.hcl").write_text(
            f'admin {{\n  listen = "{self.api}:8053"\n  token_file = "operator.token"\n}}\n'
            'store {\n  folder = "store"\n  key_file = "store.keys"\n  installation = "lab"\n}\n'
        )
        self.program: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        names = {"RELAY_CONFIG": "director.json", "ONYXWICK_SERVICE": "service.hcl"}
        environment = os.environ | {name: str(self.folder / file) for name, file in names.items()}
        log = (self.folder / "log").open("ab")
        self.program = subprocess.Popen(
            [sys.executable, "-m", "onyxwick"], env=environment, stdout=log, stderr=log
        )
        end = time.monotonic() + READY_S
        while time.monotonic() < end:
            if self.program.poll() is not None:
                raise RuntimeError((self.folder / "log").read_text()[-1500:])
            try:
                if self.call(KillCall("GET", "/health", {}, ""))[0] == 200:
                    return
            except (OSError, http.client.HTTPException):
                time.sleep(0.02)
        raise RuntimeError("the administration API never answered")

    def call(self, call: KillCall) -> tuple[int, Any]:
        connection = http.client.HTTPConnection(self.api, 8053, timeout=10)
        head = {"Authorization": f"Bearer {TOKEN}"} | ({"Idempotency-Key": call.key} if call.key else {})
        try:
            connection.request(call.method, call.path, json.dumps(call.body) if call.body else None, head)
            answer = connection.getresponse()
            return answer.status, json.loads(answer.read() or b"null")
        finally:
            connection.close()

    def kill(self) -> None:
        assert self.program is not None
        self.program.kill()
        self.program.wait()

    def close(self) -> None:
        if self.program is not None and self.program.poll() is None:
            self.kill()
        shutil.rmtree(self.folder, ignore_errors=True)


def _calls(round_: int) -> list[KillCall]:
    """Tenants with zones whose serial rises, a change of quota, a drain set and lifted."""
    out = []
    for n in range(12):
        name, at = f"t{round_}-{n}", f"{round_}-{n}"
        out.append(
            KillCall("POST", "/tenants", {"name": name, "token": f"token-of-tenant-{at:>8}"}, f"make-{at}")
        )
        zone = {"text": ZONE.format(round_ * 100 + n + 1)}
        out.append(KillCall("PUT", f"/tenants/{name}/zones/{name}.test.", zone, f"zone-{at}"))
        out.append(KillCall("PATCH", f"/tenants/{name}", {"quota_per_s": 100 + n}, f"quota-{at}"))
        out.append(KillCall("PUT", f"/drains/box-{n % 4}", {"reason": at}, f"drain-{at}"))
    return out


def _expect(victim: Victim, done: list[KillCall], tally: KillTally) -> None:
    """Everything that was acknowledged is there, whole."""
    listed = set(victim.call(KillCall("GET", "/tenants", {}, ""))[1]["tenants"])
    drains = set(victim.call(KillCall("GET", "/drains", {}, ""))[1]["drains"])
    for call in done:
        name = call.path.split("/")[2] if call.path.count("/") > 1 else str(call.body.get("name"))
        if call.path.startswith("/drains/"):
            good = name in drains
        elif call.path == "/tenants":
            good = name in listed
        else:
            status, shown = victim.call(KillCall("GET", call.path, {}, ""))
            wanted = call.body.get("quota_per_s")
            good = status == 200 and (wanted is None or shown["quota_per_s"] == wanted)
            if "text" in call.body and good:
                good = shown["serial"] == int(call.body["text"].split()[6])
        if not good:
            tally.wrong.append(f"{call.method} {call.path} was acknowledged and is not there")


def _round(victim: Victim, number: int, rng: random.Random, tally: KillTally) -> None:
    done, under_way = list[KillCall](), list[KillCall]()

    def work() -> None:
        for call in _calls(number):
            under_way[:] = [call]
            try:
                status, _ = victim.call(call)
            except (OSError, http.client.HTTPException):
                return
            if status < 300:
                done.append(call)
            under_way.clear()

    worker = threading.Thread(target=work)
    worker.start()
    time.sleep(rng.uniform(0.0, WITHIN_S))
    victim.kill()
    worker.join()
    victim.start()
    tally.kills += 1
    tally.acknowledged += len(done)
    _expect(victim, done, tally)
    for call in under_way:  # what got no answer is asked again with its key: done once, whatever happened
        status, data = victim.call(call)
        again = victim.call(call)
        tally.repeated += 1
        if status >= 300 or again != (status, data):
            tally.wrong.append(f"{call.method} {call.path} asked again: {status}, then {again[0]}")
        _expect(victim, [call], tally)


def kills(scenario: Scenario, count: int, seed: int, slot: int) -> dict[str, Any]:
    """So many kills of one director on one store."""
    victim, tally, rng = Victim(scenario, slot), KillTally(), random.Random(seed)
    try:
        victim.start()
        for number in range(count):
            _round(victim, number, rng, tally)
    finally:
        victim.close()
    return {
        "kills": tally.kills,
        "acknowledged": tally.acknowledged,
        "asked_again": tally.repeated,
        "wrong": tally.wrong,
    }
