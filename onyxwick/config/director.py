"""The director's configuration: the platform's JSON file and variables, and the bounds that they imply.

The one place where the platform's names of this file and of its variables become terms of the code.
"""

from __future__ import annotations

import os
from collections.abc import Mapping
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

import ujson

from onyxwick.config.address import Address, AddressError, read_address
from onyxwick.config.errors import ConfigError, unreadable_error
from onyxwick.interface import RouterSettings
from onyxwick.settings import SettingError, SettingValues, read_settings

CONFIG_VARIABLE = "RELAY_CONFIG"
NAME_VARIABLE = "RELAY_NAME"
LISTEN_VARIABLE = "RELAY_LISTEN"
LISTEN_FD_VARIABLE = "RELAY_LISTEN_FD"
OPERATIONS_VARIABLE = "RELAY_ADMIN"

MIN_SOCKETS = 64
DEFAULT_SOCKETS = 1024
MIN_MEMORY_MB = 32
DEFAULT_MEMORY_MB = 192
MAX_DESCRIPTOR = 65_535
SUGGESTED_SOCKETS = 128
"""For each process under one limit."""

PROCESS_BASE_MB = 32
"""Memory that a process uses as it starts."""
MIN_REQUEST_MEMORY_MB = 8
BYTES_PER_MB = 1_000_000
BYTES_PER_REQUEST = 65_536
"""The memory that a request counts for: its answer as it is received and as it is sent."""
RESERVED_SOCKETS = 24
"""Standard streams, the event loop's own, the feed, a file read anew and some in reserve."""
OPERATIONS_SOCKETS = 40
"""Of the operations endpoint, its event loop included; an eighth of all at most."""
MIN_CLIENTS = 8
CLIENTS_PER_HALF_CLOSED = 16
"""For so many client connections one more may linger after its end is written."""
MIN_HALF_CLOSED = 4


@dataclass(frozen=True, slots=True)
class DirectorConfig:
    """The configuration of one director.

    The properties derive bounds from the limits on sockets and memory, so that all together stay under them.
    Where the platform holds the listening socket, an upgrade runs two processes under one director's limits.
    """

    name: str
    listen: Address
    coordinator: Address
    seed: int
    sockets: int
    memory_mb: int
    known_events: dict[str, Any]
    """Events of the feed from before the start, and the last one's index, as the feed's wire has them."""
    settings: RouterSettings
    listen_fd: int | None = None
    """A listening socket that the platform holds and passes as a descriptor; None: bind `listen`."""
    operations_address: Address | None = None
    """Of the operations endpoint; None: there is none."""

    @property
    def process_count(self) -> int:
        """Processes that may run at once under these limits: 2 where an upgrade can overlap them."""
        return 1 if self.listen_fd is None else 2

    @property
    def max_cache_connections(self) -> int:
        """Connections to caches, parent caches and the origin."""
        return self.sockets // self.process_count // 4

    @property
    def max_clients(self) -> int:
        """Client connections, beside those that linger after their end is written."""
        sockets = self.sockets // self.process_count
        operations = 0
        if self.operations_address is not None:
            operations = min(OPERATIONS_SOCKETS, sockets // 8)
        left = sockets - self.max_cache_connections - RESERVED_SOCKETS - operations
        return min(left - MIN_HALF_CLOSED, left * CLIENTS_PER_HALF_CLOSED // (CLIENTS_PER_HALF_CLOSED + 1))

    @property
    def request_memory_bytes(self) -> int:
        """Memory for requests and answers in flight."""
        spare_mb = self.memory_mb - self.process_count * PROCESS_BASE_MB
        return max(MIN_REQUEST_MEMORY_MB, spare_mb // self.process_count) * BYTES_PER_MB

    @property
    def max_held_bytes(self) -> int:
        """Bytes of answers that wait for slow readers."""
        return self.request_memory_bytes // 3

    @property
    def max_open_requests(self) -> int:
        """Requests at once."""
        return self.request_memory_bytes // BYTES_PER_REQUEST


# ---- fields ----------------------------------------------------------------------------------------------


def _field(data: Mapping[str, Any], name: str, kind: type) -> Any:
    value = data.get(name)
    if not isinstance(value, kind):
        raise ConfigError(f"field '{name}' is missing or no {kind.__name__}", field=name)
    return value


def _address_field(data: Mapping[str, Any], name: str) -> Address:
    try:
        return read_address(_field(data, name, str))
    except AddressError as error:
        raise ConfigError(f"field '{name}': {error}", field=name) from None


def _limit(data: Mapping[str, Any], name: str, lowest: int, default: int) -> int:
    limits = data.get("limits") or {}
    value = limits.get(name, default) if isinstance(limits, dict) else None
    if isinstance(value, bool) or not isinstance(value, int | float) or value < lowest:
        raise ConfigError(f"field 'limits.{name}' is no number from {lowest}", field=f"limits.{name}")
    return int(value)


def _seed(data: Mapping[str, Any]) -> int:
    try:
        return int(str(data.get("seed") or "0"), 16)
    except ValueError:
        raise ConfigError("field 'seed' is no hexadecimal number", field="seed") from None


def _settings(data: Mapping[str, Any]) -> RouterSettings:
    try:
        return read_settings(SettingValues.from_json(_field(data, "settings", dict)))
    except SettingError as error:
        raise ConfigError(f"field 'settings': {error}", field="settings") from None


def _known_events(data: Mapping[str, Any]) -> dict[str, Any]:
    known = data.get("known", {})
    if not isinstance(known, dict) or not isinstance(known.get("updates", []), list):
        raise ConfigError("field 'known' is no list of events", field="known")
    return known


def read(data: Mapping[str, Any]) -> DirectorConfig:
    """The configuration in parsed JSON; ConfigError names the first field that cannot be used."""
    return DirectorConfig(
        listen=_address_field(data, "listen"),
        coordinator=_address_field(data, "coordinator"),
        seed=_seed(data),
        sockets=_limit(data, "sockets", MIN_SOCKETS, DEFAULT_SOCKETS),
        memory_mb=_limit(data, "memory_mb", MIN_MEMORY_MB, DEFAULT_MEMORY_MB),
        settings=_settings(data),
        known_events=_known_events(data),
        name=str(data.get("name", "")),
    )


# ---- the file and the environment ------------------------------------------------------------------------


def load(environment: Mapping[str, str] = os.environ) -> DirectorConfig:
    """The configuration that the environment names; variables override fields of the file.

    ConfigUnreadableError where the file cannot be read at the moment, ConfigError where it cannot be used.
    """
    path = environment.get(CONFIG_VARIABLE)
    if not path:
        raise ConfigError(f"variable '{CONFIG_VARIABLE}' is not set", field=CONFIG_VARIABLE)
    data = _read_json(path)
    overrides = {"name": environment.get(NAME_VARIABLE), "listen": environment.get(LISTEN_VARIABLE)}
    config = read({**data, **{name: value for name, value in overrides.items() if value}})
    config = replace(
        config,
        operations_address=_operations_address(environment, data, config.listen),
        listen_fd=_descriptor(environment.get(LISTEN_FD_VARIABLE)),
    )
    _check_clients(config, path)
    return config


def _read_json(path: str) -> dict[str, Any]:
    try:
        data = ujson.loads(Path(path).read_text())
    except OSError as error:
        raise unreadable_error(error, f"variable '{CONFIG_VARIABLE}'") from None
    except ValueError as error:
        raise ConfigError(f"file of '{CONFIG_VARIABLE}' is no JSON: {error}", file=path) from None
    if not isinstance(data, dict):
        raise ConfigError(f"file of '{CONFIG_VARIABLE}' holds no object", file=path)
    return data


def _check_clients(config: DirectorConfig, path: str) -> None:
    """ConfigError where the limit on sockets leaves too few client connections."""
    if config.max_clients >= MIN_CLIENTS:
        return
    raise ConfigError(
        f"field 'limits.sockets' of {path}: {config.sockets} leaves {max(0, config.max_clients)} places for"
        " clients beside the fixed parts; likely intent:"
        f" {SUGGESTED_SOCKETS * config.process_count} or more",
        file=path,
        field="limits.sockets",
    )


def _operations_address(
    environment: Mapping[str, str], data: Mapping[str, Any], listen: Address
) -> Address | None:
    """Where the operations endpoint listens, by variable or field; None where it is off."""
    variable = environment.get(OPERATIONS_VARIABLE)
    if variable:
        return _read_operations_address(variable, f"variable '{OPERATIONS_VARIABLE}'", listen)
    if data.get("admin") not in (None, ""):
        return _read_operations_address(data["admin"], "field 'admin'", listen)
    return None


def _read_operations_address(value: object, where: str, listen: Address) -> Address:
    """`HOST:PORT`, or a port alone on the host of `listen`."""
    is_port = isinstance(value, int) and not isinstance(value, bool)
    if is_port or (isinstance(value, str) and value.isdigit()):
        value = f"{listen[0]}:{value}"
    try:
        return read_address(value)
    except AddressError as error:
        intent = "likely intent: HOST:PORT of the operations endpoint, as 127.0.0.1:9600"
        raise ConfigError(f"{where}: {error}; {intent}") from None


def _descriptor(text: str | None) -> int | None:
    """The number of an inherited listening socket; None if absent or empty: `listen` is bound instead."""
    if not text:
        return None
    if not (text.isascii() and text.isdigit()) or int(text) > MAX_DESCRIPTOR:
        raise ConfigError(
            f"variable '{LISTEN_FD_VARIABLE}' is {text[:32]!r}, no descriptor number;"
            " likely intent: the number of the listening socket handed down, as 7",
            field=LISTEN_FD_VARIABLE,
        )
    return int(text)
