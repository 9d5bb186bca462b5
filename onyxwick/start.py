"""One director in the foreground: its configuration is read, it is made and run; its end is an exit code."""

from __future__ import annotations

import asyncio
import os
import socket
import sys
import time
from collections.abc import Sequence
from typing import TYPE_CHECKING, NoReturn

import uvloop

from onyxwick import logs
from onyxwick.config import ConfigError
from onyxwick.config import director as relay
from onyxwick.config.director import DirectorConfig
from onyxwick.config.errors import ConfigUnreadableError
from onyxwick.lifecycle import Director, StartupError, read_service
from onyxwick.net import listening

if TYPE_CHECKING:
    from onyxwick.config.service import ServiceConfig

log = logs.get()
START_RETRY_S, START_TRIES = 0.1, 50  # a file that cannot be read for a moment is read again


def main(early: Sequence[int] = ()) -> int:
    """One director in the foreground, told by RELAY_CONFIG, RELAY_LISTEN, RELAY_NAME and RELAY_LISTEN_FD;
    its exit code. `early` grows by each signal to reload until the director hears them itself."""
    logs.set_up()
    try:
        told, service = _load_patiently()
        handed = None if told.listen_fd is None else listening.inherited_listener(told.listen_fd)
    except ConfigError as error:
        print(f"onyxwick: {error}", file=sys.stderr)
        return 2
    try:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(_run(told, service, handed, early))
            _leave()
    except StartupError as error:
        print(f"onyxwick: {error}", file=sys.stderr)
        return 2
    return 0


def _load_patiently() -> tuple[DirectorConfig, ServiceConfig | None]:
    """The configuration of a start; ConfigError where it cannot be used, or not be read for too long."""
    for _ in range(START_TRIES):
        try:
            return relay.load(), read_service()
        except ConfigUnreadableError as error:
            log.warning("configuration not read yet", error=str(error))
            time.sleep(START_RETRY_S)
    return relay.load(), read_service()


def _leave() -> NoReturn:
    """End the process at once: all is closed, lines of the log go past the streams' buffers, and what a loop
    and the interpreter do at their end has no bound of ours (a loop's close was seen to wait for good)."""
    os._exit(0)


async def _run(
    told: DirectorConfig, service: ServiceConfig | None, handed: socket.socket | None, early: Sequence[int]
) -> None:
    if service is None or service.store is None:
        director = Director(told, service)
    else:
        from onyxwick.store.errors import StoreError

        try:
            director = Director(told, service)
        except StoreError as error:
            raise StartupError(f"the store in {service.store.folder.name} is not opened: {error}") from None
    director.early = early
    return await director.run(handed)
