"""The director's configuration: the platform's JSON file, its environment variables and derived limits.

Only this module maps the platform's field and variable names to the names used in the code.
"""

from __future__ import annotations

import math
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
"""The value of `limits.sockets` that an error suggests, for each process that shares the limit."""

PROCESS_BASE_MB = 32
"""Memory that a process uses right after its start."""
MIN_REQUEST_MEMORY_MB = 8
BYTES_PER_MB = 1_000_000
BYTES_PER_REQUEST = 65_536
"""Memory accounted for each request: its answer is buffered once as received and once as sent."""
ACCOUNTED_DIVISOR = 4
"""One part in this many is the limit of the memory account. The rest is for the program, the routing tables,
what the allocator takes and short-lived copies."""
RESERVED_SOCKETS = 24
"""Standard streams, the event loop's own descriptors, the feed, a file being reloaded, and a few spare."""
OPERATIONS_SOCKETS = 40
"""Sockets of the operations endpoint including its event loop; limited to an eighth of all sockets."""
MIN_CLIENTS = 8
CLIENTS_PER_HALF_CLOSED = 16
"""One half-closed connection (end of stream sent, not yet closed) is allowed per this many clients."""
MIN_HALF_CLOSED = 4


@dataclass(frozen=True, slots=True)
class DirectorConfig:
    """The configuration of one director.

    The properties divide the limits on sockets and memory, so that all uses together stay within them.
    If the platform holds the listening socket, an upgrade runs two processes within one director's limits.
    """

    name: str
    listen: Address
    coordinator: Address
    seed: int
    sockets: int
    memory_mb: int
    known_events: dict[str, Any]
    """Feed events from before the start and the index of the last one, in the feed's wire format."""
    settings: RouterSettings
    listen_fd: int | None = None
    """Descriptor of a listening socket that the platform holds and passes on; None means bind `listen`."""
    operations_address: Address | None = None
    """Address of the operations endpoint; None if it is disabled."""

    @property
    def process_count(self) -> int:
        """Return how many processes may share these limits: 2 if an upgrade can make them overlap."""
        return 1 if self.listen_fd is None else 2

    @property
    def max_cache_connections(self) -> int:
        """Return the limit on connections to caches, parent caches and the origin."""
        return self.sockets // self.process_count // 4

    @property
    def max_clients(self) -> int:
        """Return the limit on client connections, not counting half-closed ones (end of stream sent)."""
        sockets = self.sockets // self.process_count
        operations = 0
        if self.operations_address is not None:
            operations = min(OPERATIONS_SOCKETS, sockets // 8)
        left = sockets - self.max_cache_connections - RESERVED_SOCKETS - operations
        return min(left - MIN_HALF_CLOSED, left * CLIENTS_PER_HALF_CLOSED // (CLIENTS_PER_HALF_CLOSED + 1))

    @property
    def request_memory_bytes(self) -> int:
        """Return the memory available for requests and answers in flight."""
        spare_mb = self.memory_mb - self.process_count * PROCESS_BASE_MB
        return max(MIN_REQUEST_MEMORY_MB, spare_mb // self.process_count) * BYTES_PER_MB

    @property
    def max_accounted_bytes(self) -> int:
        """Return the limit on all memory held for clients and caches (`core/memory_account.py`)."""
        return self.memory_mb * BYTES_PER_MB // self.process_count // ACCOUNTED_DIVISOR

    @property
    def max_held_bytes(self) -> int:
        """Return the limit on answer bytes buffered for slow readers."""
        return self.request_memory_bytes // 3

    @property
    def max_open_requests(self) -> int:
        """Return the limit on concurrent requests."""
        return self.request_memory_bytes // BYTES_PER_REQUEST


# ---- fields ----------------------------------------------------------------------------------------------


def _field(data: Mapping[str, Any], name: str, kind: type) -> Any:
    value = data.get(name)
    if not isinstance(value, kind):
        raise ConfigError(f"field '{name}' is missing or not of type {kind.__name__}", field=name)
    return value


def _address_field(data: Mapping[str, Any], name: str) -> Address:
    try:
        return read_address(_field(data, name, str))
    except AddressError as error:
        raise ConfigError(f"field '{name}': {error}", field=name) from None


def _limit(data: Mapping[str, Any], name: str, lowest: int, default: int) -> int:
    limits = data.get("limits") or {}
    value = limits.get(name, default) if isinstance(limits, dict) else None
    if isinstance(value, bool) or not isinstance(value, int | float) or not lowest <= value < math.inf:
        raise ConfigError(f"field 'limits.{name}' is not a number >= {lowest}", field=f"limits.{name}")
    return int(value)


def _seed(data: Mapping[str, Any]) -> int:
    try:
        return int(str(data.get("seed") or "0"), 16)
    except ValueError:
        raise ConfigError("field 'seed' is not a hexadecimal number", field="seed") from None


def _settings(data: Mapping[str, Any]) -> RouterSettings:
    try:
        return read_settings(SettingValues.from_json(_field(data, "settings", dict)))
    except (SettingError, OverflowError) as error:
        raise ConfigError(f"field 'settings': {error}", field="settings") from None


def _known_events(data: Mapping[str, Any]) -> dict[str, Any]:
    known = data.get("known", {})
    if not isinstance(known, dict) or not isinstance(known.get("updates", []), list):
        raise ConfigError("field 'known' is not an object with a list of events in 'updates'", field="known")
    return known


def read(data: Mapping[str, Any]) -> DirectorConfig:
    """Read the configuration from parsed JSON. Raises ConfigError, which names the first invalid field."""
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
    """Load the configuration file that the environment names; variables override fields of the file.

    Raises ConfigUnreadableError if the file cannot be read for a transient reason, ConfigError if it is
    invalid or cannot be read at all.
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
        raise ConfigError(f"file of '{CONFIG_VARIABLE}' is not JSON: {error}", file=path) from None
    if not isinstance(data, dict):
        raise ConfigError(f"file of '{CONFIG_VARIABLE}' is not a JSON object", file=path)
    return data


def _check_clients(config: DirectorConfig, path: str) -> None:
    """Raise ConfigError if the limit on sockets leaves fewer than MIN_CLIENTS client connections."""
    if config.max_clients >= MIN_CLIENTS:
        return
    raise ConfigError(
        f"field 'limits.sockets' of {path}: {config.sockets} leaves {max(0, config.max_clients)} connections"
        " for clients after the other uses; likely intent:"
        f" {SUGGESTED_SOCKETS * config.process_count} or more",
        file=path,
        field="limits.sockets",
    )


def _operations_address(
    environment: Mapping[str, str], data: Mapping[str, Any], listen: Address
) -> Address | None:
    """Return where the operations endpoint listens, from variable or field; None if it is disabled."""
    variable = environment.get(OPERATIONS_VARIABLE)
    if variable:
        return _read_operations_address(variable, f"variable '{OPERATIONS_VARIABLE}'", listen)
    if data.get("admin") not in (None, ""):
        return _read_operations_address(data["admin"], "field 'admin'", listen)
    return None


def _read_operations_address(value: object, where: str, listen: Address) -> Address:
    """Parse `HOST:PORT`; a port alone is combined with the host of `listen`."""
    is_port = isinstance(value, int) and not isinstance(value, bool)
    if is_port or (isinstance(value, str) and value.isdigit()):
        value = f"{listen[0]}:{value}"
    try:
        return read_address(value)
    except AddressError as error:
        intent = "likely intent: HOST:PORT of the operations endpoint, for example 127.0.0.1:9600"
        raise ConfigError(f"{where}: {error}; {intent}") from None


def _descriptor(text: str | None) -> int | None:
    """Return the descriptor of the inherited listening socket; None (bind `listen`) if absent or empty."""
    if not text:
        return None
    if not (text.isascii() and text.isdigit()) or int(text) > MAX_DESCRIPTOR:
        raise ConfigError(
            f"variable '{LISTEN_FD_VARIABLE}' is {text[:32]!r}, not a descriptor number;"
            " likely intent: the descriptor of the inherited listening socket, for example 7",
            field=LISTEN_FD_VARIABLE,
        )
    return int(text)
