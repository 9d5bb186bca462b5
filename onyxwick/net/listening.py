"""The listening socket: bound by the program, or handed down by the platform."""

from __future__ import annotations

import socket
import time

from onyxwick.config import ConfigError
from onyxwick.net import errors

ACCEPT_BACKLOG = 1024
"""Connections that wait to be accepted."""


BIND_RETRY_LIMIT_S, BIND_RETRY_DELAY_S = 3.0, 0.05
"""How long a start waits for an address that cannot be listened on yet, and between two tries."""


def listen(address: tuple[str, int]) -> socket.socket:
    """A listening socket on an address; OSError where it cannot be listened on. Blocks for `PATIENCE_S` at
    most: nothing is served yet, and errors of this machine pass (net/errors.py)."""
    end = time.monotonic() + BIND_RETRY_LIMIT_S
    while True:
        try:
            return _bind_and_listen(address)
        except OSError as error:
            if not errors.is_local(error) or time.monotonic() > end:
                raise
            time.sleep(BIND_RETRY_DELAY_S)


def _bind_and_listen(address: tuple[str, int]) -> socket.socket:
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(address)
        sock.listen(ACCEPT_BACKLOG)
        sock.setblocking(False)
    except OSError:
        sock.close()
        raise
    return sock


def inherited_listener(fd: int) -> socket.socket:
    """The listening socket that the platform holds and hands down; it is served on, never bound or closed.

    ConfigError where the descriptor is no listening TCP socket over IPv4.
    """
    intent = "likely intent: the descriptor of the clients' listening socket that the platform holds, as 7"
    try:
        sock = socket.socket(fileno=fd)
    except OSError as error:
        told = f"variable 'RELAY_LISTEN_FD': descriptor {fd}: {error.strerror}"
        raise ConfigError(f"{told}; {intent}") from None
    kind = sock.family is socket.AF_INET and sock.type is socket.SOCK_STREAM
    if not kind or not sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
        sock.detach()  # not ours to close
        raise ConfigError(f"variable 'RELAY_LISTEN_FD': descriptor {fd} is no listening TCP socket; {intent}")
    sock.setblocking(False)
    return sock
