"""Reads the configuration again on SIGHUP; an invalid configuration changes nothing.

A service file names zone files, which take time to read, so it is read in the background. Times are in
seconds.
"""

from __future__ import annotations

import asyncio
import os
from collections.abc import Callable
from functools import partial
from pathlib import Path
from typing import TYPE_CHECKING, NamedTuple

from onyxwick import logs
from onyxwick.config import ConfigError
from onyxwick.config import director as director_config
from onyxwick.config.address import format_address
from onyxwick.config.director import DirectorConfig
from onyxwick.config.errors import ConfigUnreadableError
from onyxwick.counters import Counters

if TYPE_CHECKING:
    from onyxwick.background_work import BackgroundWork
    from onyxwick.config.service import ServiceConfig

log = logs.get()
RETRY_DELAY_S = 0.2
MAX_RETRIES = 50
"""Number of retries of a reload whose file is temporarily unreadable."""
SERVICE_FILE = Path(__file__).parents[1] / "deploy" / "service.hcl"
WORK_OWNER = "configuration reload"


class Configuration(NamedTuple):
    """What a director is started with; `service` is None without a service file."""

    director: DirectorConfig
    service: ServiceConfig | None


def read_configuration() -> Configuration:
    """Read the configuration.

    Raises ConfigError if it is invalid, and its subclass ConfigUnreadableError if it cannot be read now.
    """
    return Configuration(director_config.load(), read_service())


def read_service() -> ServiceConfig | None:
    """Return the service file's configuration, or None if the file does not exist.

    The environment variable `ONYXWICK_SERVICE` overrides the default path. Raises ConfigError if the file is
    invalid.
    """
    path = Path(os.environ.get("ONYXWICK_SERVICE") or SERVICE_FILE)
    if not path.exists():
        return None
    from onyxwick.config.service import load

    return load(path)


class ConfigurationReload:
    """Reads the configuration at each request and passes it to `apply`, which may raise ConfigError.

    `work` reads the service file; without it, only the director's own file is read, at once.
    """

    def __init__(
        self, counters: Counters, apply: Callable[[Configuration], None], work: BackgroundWork | None
    ) -> None:
        self.counters = counters
        self.apply = apply
        self.work = work
        self._retry_timer: asyncio.TimerHandle | None = None
        self._task: asyncio.Task[None] | None = None
        self._is_requested_again = False

    def request(self, retries_left: int = MAX_RETRIES) -> None:
        """Read the configuration; if a file is temporarily unreadable, try again after `RETRY_DELAY_S`."""
        if self._retry_timer is not None:
            self._retry_timer.cancel()
        if self.work is None:
            self._conclude(_result_of(_read_director), retries_left)
        elif self._task is None:
            self._task = asyncio.get_running_loop().create_task(self._read_all(self.work, retries_left))
        else:
            self._is_requested_again = True  # the files may have changed since they were read

    async def _read_all(self, work: BackgroundWork, retries_left: int) -> None:
        try:
            result = await work.do(WORK_OWNER, partial(_result_of, read_configuration))
        finally:
            self._task = None
        self._conclude(result, retries_left)
        if self._is_requested_again:
            self._is_requested_again = False
            self.request()

    def _conclude(self, result: Configuration | ConfigError, retries_left: int) -> None:
        """Apply a configuration, or log why it could not be read or applied."""
        try:
            if isinstance(result, ConfigError):
                raise result
            self.apply(result)
        except ConfigUnreadableError as error:
            self.counters.add("reload.unreadable")
            log.warning("configuration not read yet", error=str(error), tries_left=retries_left)
            if retries_left:
                loop = asyncio.get_running_loop()
                self._retry_timer = loop.call_later(RETRY_DELAY_S, self.request, retries_left - 1)
        except ConfigError as error:
            self.counters.add("reload.bad")
            log.error("configuration kept as it was", error=str(error))
        else:
            self.counters.add("reload.read")
            coordinator = format_address(result.director.coordinator)
            log.info("configuration read again", coordinator=coordinator)


def _read_director() -> Configuration:
    return Configuration(director_config.load(), None)


def _result_of(read: Callable[[], Configuration]) -> Configuration | ConfigError:
    """Return what `read` returns, or the ConfigError that it raises."""
    try:
        return read()
    except ConfigError as error:
        return error
