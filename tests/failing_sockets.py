"""Sockets whose system calls fail a number of times or for a time, and helpers that read from sockets."""

from __future__ import annotations

import os
import re
import socket
import time
from typing import Any

from onyxwick.net.buffer import ReceiveBuffer


def make_os_error(number: int) -> OSError:
    return OSError(number, os.strerror(number))


class FailingListener:
    """A listening socket whose `accept` first fails once with each of the given errors."""

    def __init__(self, sock: socket.socket, *errors: int) -> None:
        self.sock, self.errors = sock, list(errors)

    def accept(self) -> tuple[Any, Any]:
        if self.errors:
            raise make_os_error(self.errors.pop(0))
        return self.sock.accept()

    def fileno(self) -> int:
        return self.sock.fileno()


class FailingSocket(socket.socket):
    """A socket whose `connect` to `address` fails with `error_number` until monotonic time `fail_until_s`."""

    address: tuple[str, int] = ("", 0)
    error_number = 0
    fail_until_s = 0.0

    def connect(self, address: Any) -> None:
        if address == self.address and time.monotonic() < FailingSocket.fail_until_s:
            raise make_os_error(self.error_number)
        super().connect(address)


def sent_timeout_ms(data: bytes) -> int:
    """Return the time limit in milliseconds that a request to a cache carries."""
    match = re.search(rb"w=(\d+)", data)
    assert match is not None, data
    return int(match[1])


def receive_piece(buffer: ReceiveBuffer, sock: socket.socket, piece_bytes: int) -> bool:
    """Receive like `ReceiveBuffer.receive_available`, but at most `piece_bytes`."""
    data = sock.recv(piece_bytes)
    buffer.append(data)
    return bool(data)
