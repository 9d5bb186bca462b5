"""The listening socket: bound by the program, or handed down by the platform."""

from __future__ import annotations

import socket

from onyxwick.config import ConfigError

BACKLOG = 1024
"""Connections that wait to be accepted."""


def listen(address: tuple[str, int]) -> socket.socket:
    """A listening socket on an address; OSError where it cannot be listened on."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(address)
    sock.listen(BACKLOG)
    sock.setblocking(False)
    return sock


def held(fd: int) -> socket.socket:
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
