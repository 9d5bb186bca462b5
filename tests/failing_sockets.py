"""Sockets whose system calls fail for a while, and what tests read from a cache's connection."""

from __future__ import annotations

import os
import re
import socket
import time
from typing import Any

from onyxwick.net.buffer import ReceiveBuffer


def os_error(number: int) -> OSError:
    return OSError(number, os.strerror(number))


class FailingListener:
    """A listening socket whose accept fails with some errors first."""

    def __init__(self, sock: socket.socket, *errors: int) -> None:
        self.sock, self.errors = sock, list(errors)

    def accept(self) -> tuple[Any, Any]:
        if self.errors:
            raise os_error(self.errors.pop(0))
        return self.sock.accept()

    def fileno(self) -> int:
        return self.sock.fileno()


class FailingSocket(socket.socket):
    """A socket whose connect to one address fails for a while."""

    address: tuple[str, int] = ("", 0)
    number = 0
    until = 0.0

    def connect(self, address: Any) -> None:
        if address == self.address and time.monotonic() < FailingSocket.until:
            raise os_error(self.number)
        super().connect(address)


def sent_timeout_ms(data: bytes) -> int:
    found = re.search(rb"w=(\d+)", data)
    assert found is not None, data
    return int(found[1])


def receive_piece(buffer: ReceiveBuffer, sock: socket.socket, piece_bytes: int) -> bool:
    data = sock.recv(piece_bytes)
    buffer.append(data)
    return bool(data)
