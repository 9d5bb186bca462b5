"""Starts one director in the foreground: reads its configuration, runs the director, returns an exit code."""

from __future__ import annotations

import asyncio
import os
import socket
import sys
import time
from collections.abc import Sequence
from typing import NoReturn

import uvloop

from onyxwick import logs
from onyxwick.config import ConfigError
from onyxwick.config.errors import ConfigUnreadableError
from onyxwick.configuration_reload import Configuration, read_configuration
from onyxwick.core.errors import StartupError
from onyxwick.lifecycle import Director
from onyxwick.net import listening

log = logs.get()
READ_RETRY_DELAY_S = 0.1
READ_ATTEMPTS = 50
"""Number of attempts to read a configuration file that is temporarily unreadable, before the last one."""
EXIT_STARTUP_FAILED = 2
EXIT_FAILED = 1


def main(early_signals: Sequence[int] = ()) -> int:
    """Run one director, configured by RELAY_CONFIG, RELAY_LISTEN, RELAY_NAME and RELAY_LISTEN_FD.

    Returns the exit code. The caller appends each reload signal to `early_signals` until the director handles
    signals itself.
    """
    logs.set_up()
    try:
        configuration = _read_with_retries()
        listen_fd = configuration.director.listen_fd
        inherited_socket = None if listen_fd is None else listening.inherited_listener(listen_fd)
    except ConfigError as error:
        print(f"onyxwick: {error}", file=sys.stderr)
        return EXIT_STARTUP_FAILED
    try:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(_run(configuration, inherited_socket, early_signals))
            _exit()
    except StartupError as error:
        print(f"onyxwick: {error}", file=sys.stderr)
        return EXIT_STARTUP_FAILED
    except Exception:  # logged like all else, so that the log tells an end by an error from a kill
        log.critical("director ended by an error", exc_info=True)
        return EXIT_FAILED
    return 0


def _read_with_retries() -> Configuration:
    """Return the configuration. Raises ConfigError if it is invalid, or unreadable in all attempts."""
    for _ in range(READ_ATTEMPTS):
        try:
            return read_configuration()
        except ConfigUnreadableError as error:
            log.warning("configuration not read yet", error=str(error))
            time.sleep(READ_RETRY_DELAY_S)
    return read_configuration()


def _exit() -> NoReturn:
    """Exit the process immediately, without the cleanup of the event loop and the interpreter.

    That cleanup may take any length of time. Skipping it loses nothing: all resources are closed, and log
    lines bypass the streams' buffers.
    """
    os._exit(0)


async def _run(
    configuration: Configuration, inherited_socket: socket.socket | None, early_signals: Sequence[int]
) -> None:
    director = _make_director(configuration)
    await director.run(inherited_socket, early_signals)


def _make_director(configuration: Configuration) -> Director:
    config, service = configuration
    if service is None or service.store is None:
        return Director(config, service)
    from onyxwick.store.errors import StoreError

    try:
        return Director(config, service)
    except StoreError as error:
        folder = service.store.folder.name
        raise StartupError(f"cannot open the store in {folder}: {error}") from None
