"""How long a director takes to be ready, by phase, beside an earlier revision: the toy depot."""

from __future__ import annotations

import os
import socket
import statistics
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

import ujson

from onyxwick.config.address import Address, read_address
from onyxwick.lab.cost import tree_of
from onyxwick.net import fastcgi

PATIENCE_S, LOOK_S = 30.0, 0.002
EXAMPLES = Path(__file__).parents[2] / "examples"
IMPORTS = "import onyxwick.start"
Row = dict[str, float]


def _call(path: str, **more: str) -> bytes:
    pairs = fastcgi.encode_pairs({k.encode(): v.encode() for k, v in {"SCRIPT_NAME": path, **more}.items()})
    kind = fastcgi.RecordType
    begin = fastcgi.BEGIN_BODY.pack(fastcgi.RESPONDER, 1)
    records = ((kind.BEGIN, begin), (kind.PARAMS, pairs), (kind.PARAMS, b""), (kind.STDIN, b""))
    return b"".join(fastcgi.encode_record(each, 1, content) for each, content in records)


def _answered(address: Address, call: bytes, mark: bytes, end: float) -> None:
    """Ask again and again on new connections until the answer holds `mark`."""
    while time.monotonic() < end:
        try:
            with socket.create_connection(address, 1.0) as sock:
                sock.settimeout(1.0)
                sock.sendall(call)
                if mark in sock.recv(65_536):
                    return
        except OSError:
            pass
        time.sleep(LOOK_S)
    raise RuntimeError("the director was not ready in time")


def _spent(pid: int) -> float:
    """Processor seconds of a process so far."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def _imports(tree: Path) -> float:
    begun = os.times().children_user + os.times().children_system
    subprocess.run([sys.executable, "-c", IMPORTS], cwd=tree, check=True)
    return os.times().children_user + os.times().children_system - begun


def _start(tree: Path, config: Path, listen: Address) -> Row:
    """One start: seconds until it answers a ping, until it answers a call, processor seconds until then."""
    environment = {**os.environ, "RELAY_CONFIG": str(config), "ONYXWICK_SERVICE": str(tree / "none")}
    begun = time.monotonic()
    program = subprocess.Popen(
        [sys.executable, "-m", "onyxwick"],
        cwd=tree,
        env=environment,
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
    )
    try:
        _answered(listen, _call("/ping"), b"200 OK", begun + PATIENCE_S)
        ready = time.monotonic() - begun
        fields = {
            "HTTP_X_REQUEST_ID": os.urandom(8).hex(),
            "HTTP_X_TIMEOUT_MS": "3000",
            "HTTP_X_OBJECT": os.urandom(8).hex(),
            "HTTP_X_NTH": "0",
        }
        _answered(listen, _call("/call/site-video", **fields), b"200 OK", begun + PATIENCE_S)
        return {"ready_s": ready, "answer_s": time.monotonic() - begun, "cpu_s": _spent(program.pid)}
    finally:
        program.terminate()
        program.wait(PATIENCE_S)


def measure(revision: str, runs: int) -> dict[str, Any]:
    """Starts of this tree and of the revision in turn; medians, least and most, ratios pair by pair."""
    told = ujson.loads((EXAMPLES / "config.json").read_text())
    listen, here = read_address(told["listen"]), EXAMPLES.parent
    toy = subprocess.Popen(
        [sys.executable, str(EXAMPLES / "toy.py"), "serve"],
        cwd=here,
        stdout=subprocess.DEVNULL,
        env={**os.environ, "PYTHONPATH": str(here)},
    )
    rows: dict[str, list[Row]] = {"now": [], "earlier": []}
    try:
        with tree_of(revision) as earlier:
            assert earlier is not None
            for _ in range(runs):
                for name, tree in (("now", here), ("earlier", earlier)):
                    row = _start(tree, EXAMPLES / "config.json", listen)
                    rows[name].append({"imports_cpu_s": _imports(tree), **row})
    finally:
        toy.terminate()
        toy.wait(PATIENCE_S)
    out: dict[str, Any] = {"revision": revision, "runs": runs}
    for name, each in rows.items():
        out[name] = {
            phase: [round(f(row[phase] for row in each), 3) for f in (min, statistics.median, max)]
            for phase in each[0]
        }
    ratios = [a["cpu_s"] / b["cpu_s"] for a, b in zip(rows["now"], rows["earlier"], strict=True)]
    out["cpu_ratio"] = [round(f(ratios), 3) for f in (min, statistics.median, max)]
    return out
