"""Opens the clients' listening socket, either bound by this process or inherited from the platform."""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import Callable

from onyxwick import logs
from onyxwick.config import ConfigError
from onyxwick.config.address import format_address
from onyxwick.core.errors import StartupError
from onyxwick.net import errors

log = logs.get()

ACCEPT_BACKLOG = 1024
"""The maximum number of connections that wait to be accepted."""
BIND_RETRY_LIMIT_S = 3.0
"""How long binding an address is retried at the start after a local error (`errors.is_local_error`)."""
BIND_RETRY_DELAY_S = 0.05
START_LIMIT_S = 30.0
"""How long the start waits for an address that is in use: the platform takes a later start as failed."""
WAIT_LOG_INTERVAL_S = 1.0


def listen(address: tuple[str, int]) -> socket.socket:
    """Return a non-blocking listening socket on an address. Raises OSError if the address cannot be bound.

    Local errors (net/errors.py) are retried, as they are temporary. This blocks the process for about
    `BIND_RETRY_LIMIT_S` at most, which is acceptable because nothing is served yet.
    """
    deadline_s = time.monotonic() + BIND_RETRY_LIMIT_S
    while True:
        try:
            return _bind_and_listen(address)
        except OSError as error:
            if not errors.is_local_error(error) or time.monotonic() > deadline_s:
                raise
            time.sleep(BIND_RETRY_DELAY_S)


def listen_now(address: tuple[str, int]) -> socket.socket | None:
    """Return a non-blocking listening socket, or None if the address cannot be bound at the moment."""
    try:
        return _bind_and_listen(address)
    except OSError:
        return None


async def listen_when_free(
    address: tuple[str, int], is_stopped: Callable[[], bool], limit_s: float = START_LIMIT_S
) -> socket.socket | None:
    """Return a non-blocking listening socket, and wait while another process still holds the address.

    Returns None if `is_stopped` says so meanwhile. Raises StartupError for an error that does not pass, or at
    `limit_s`.
    """
    started_at_s = time.monotonic()
    logged_at_s = 0.0
    while not is_stopped():
        try:
            return _bind_and_listen(address)
        except OSError as error:
            now_s = time.monotonic()
            waited_s = now_s - started_at_s
            if not errors.is_local_error(error) or waited_s > limit_s:
                text = f"cannot listen on {format_address(address)}: {error.strerror}"
                raise StartupError(f"{text}, tried for {waited_s:.1f} s") from None
            if now_s - logged_at_s >= WAIT_LOG_INTERVAL_S:
                logged_at_s = now_s
                log.warning(
                    "address in use, waiting",
                    address=format_address(address),
                    error=error.strerror,
                    waited_s=round(waited_s, 3),
                )
        await asyncio.sleep(BIND_RETRY_DELAY_S)
    return None


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
    """Return the listening socket that the platform owns and passes as a descriptor.

    This process never binds or closes it. Raises ConfigError if the descriptor is not a listening TCP socket
    over IPv4.
    """
    intent = "likely intent: the descriptor of the platform's listening socket for clients, for example 7"
    try:
        sock = socket.socket(fileno=fd)
    except OSError as error:
        found = f"variable 'RELAY_LISTEN_FD': descriptor {fd}: {error.strerror}"
        raise ConfigError(f"{found}; {intent}") from None
    is_tcp = sock.family is socket.AF_INET and sock.type is socket.SOCK_STREAM
    if not is_tcp or not sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
        sock.detach()  # the platform owns the socket: it must not be closed here
        raise ConfigError(
            f"variable 'RELAY_LISTEN_FD': descriptor {fd} is not a listening TCP socket over IPv4; {intent}"
        )
    sock.setblocking(False)
    return sock
