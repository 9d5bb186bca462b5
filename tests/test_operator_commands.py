"""What the operators were told yes to is kept, though the folder fails for a while."""

from __future__ import annotations

import json
import socket
import time
from pathlib import Path

from tests.exchange import DOOR, PATIENCE_S, Exchange


def _post(path: str) -> str:
    with socket.create_connection(DOOR, PATIENCE_S) as door:
        door.sendall(f"POST {path} HTTP/1.1\r\nHost: door\r\n\r\n".encode())
        got = b""
        while more := door.recv(4096):
            got += more
    return got.decode()


def _held(file: Path) -> list[str]:
    try:
        return list(json.loads(file.read_text())["held"])
    except OSError:
        return []


def test_a_cache_left_out_while_the_folder_takes_no_write_is_written_once_it_does(tmp_path: Path) -> None:
    exchange = Exchange(tmp_path, door=True)
    file = tmp_path / f"onyxwick-orders-{exchange.config['name']}.json"
    try:
        file.mkdir()  # in the way: a write fails, and so does a read
        (file / "x").touch()
        assert " 200 " in _post("/caches/disable/c0")
        time.sleep(0.3)
        (file / "x").unlink()
        file.rmdir()
        end = time.monotonic() + PATIENCE_S / 4
        while _held(file) != ["c0"]:
            assert time.monotonic() < end, "never written"
            time.sleep(0.02)
    finally:
        exchange.stop()
