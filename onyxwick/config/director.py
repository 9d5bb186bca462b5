"""The director's configuration, from the file and the variables that the platform gives."""

from __future__ import annotations

import os
from collections.abc import Mapping
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

import ujson

from onyxwick.config.address import read_address
from onyxwick.config.errors import ConfigError, unreadable
from onyxwick.interface import RouterSettings
from onyxwick.settings import Pairs, SettingError, read_settings

BASE_MB = 32  # of memory, used by the program as it starts
SPARE_SOCKETS = 24  # standard streams, the event loop's own, the feed, a file read anew and some in reserve
DOOR_SOCKETS = 40  # of the operators' door: its places, its own event loop's; an eighth of all at most
LEAST_CLIENTS = 8
SHUT_SHARE = 16  # for so many client places one more is for a connection whose end is written already
SHUT_LEAST = 4
OPEN_BYTES = 65_536  # memory that a request is reckoned at: its answer as it comes and as it goes


@dataclass(frozen=True, slots=True)
class DirectorConfig:
    name: str
    listen: tuple[str, int]
    coordinator: tuple[str, int]
    seed: int
    sockets: int
    memory_mb: int
    known: dict[str, Any]
    settings: RouterSettings
    listen_fd: int | None = None  # a listening socket that the platform holds and hands down
    admin: tuple[str, int] | None = None  # the operators' door; None: no door

    # What the limits leave: each bound is a share of them, so that all together stay under. Where the
    # platform holds the listening socket, an upgrade runs two processes under one director's limits.

    @property
    def shares(self) -> int:
        """Processes that may run at once under these limits: 2 where an upgrade can overlap them."""
        return 1 if self.listen_fd is None else 2

    @property
    def most_links(self) -> int:
        """Connections to caches, parents and the origin."""
        return self.sockets // self.shares // 4

    @property
    def most_clients(self) -> int:
        """Client places, beside those for connections whose end is written (`most_shut`)."""
        all_sockets = self.sockets // self.shares
        door = min(DOOR_SOCKETS, all_sockets // 8) if self.admin is not None else 0
        left = all_sockets - self.most_links - SPARE_SOCKETS - door
        return min(left - SHUT_LEAST, left * SHUT_SHARE // (SHUT_SHARE + 1))

    @property
    def room_bytes(self) -> int:
        """Memory for requests and answers under way."""
        return max(8, (self.memory_mb - self.shares * BASE_MB) // self.shares) * 1_000_000

    @property
    def most_held(self) -> int:
        """Bytes of answers that wait for slow readers."""
        return self.room_bytes // 3

    @property
    def most_open(self) -> int:
        """Requests at once."""
        return self.room_bytes // OPEN_BYTES


def _field(data: Mapping[str, Any], name: str, kind: type) -> Any:
    value = data.get(name)
    if not isinstance(value, kind):
        raise ConfigError(f"field '{name}' is missing or no {kind.__name__}")
    return value


def _limit(data: Mapping[str, Any], name: str, least: int, default: int) -> int:
    limits = data.get("limits") or {}
    value = limits.get(name, default) if isinstance(limits, dict) else None
    if isinstance(value, bool) or not isinstance(value, int | float) or value < least:
        raise ConfigError(f"field 'limits.{name}' is no number from {least}")
    return int(value)


def read(data: Mapping[str, Any]) -> DirectorConfig:
    try:
        listen = read_address(_field(data, "listen", str))
    except ValueError as error:
        raise ConfigError(f"field 'listen': {error}") from None
    try:
        coordinator = read_address(_field(data, "coordinator", str))
    except ValueError as error:
        raise ConfigError(f"field 'coordinator': {error}") from None
    try:
        seed = int(str(data.get("seed") or "0"), 16)
    except ValueError:
        raise ConfigError("field 'seed' is no hexadecimal number") from None
    sockets, memory_mb = _limit(data, "sockets", 64, 1024), _limit(data, "memory_mb", 32, 192)
    try:
        settings = read_settings(Pairs.of_json(_field(data, "settings", dict)))
    except SettingError as error:
        raise ConfigError(f"field 'settings': {error}") from None
    known = data.get("known", {})
    if not isinstance(known, dict) or not isinstance(known.get("updates", []), list):
        raise ConfigError("field 'known' is no list of events")
    return DirectorConfig(
        str(data.get("name", "")), listen, coordinator, seed, sockets, memory_mb, known, settings
    )


def load(environment: Mapping[str, str] = os.environ) -> DirectorConfig:
    path = environment.get("RELAY_CONFIG")
    if not path:
        raise ConfigError("variable 'RELAY_CONFIG' is not set")
    try:
        data = ujson.loads(Path(path).read_text())
    except OSError as error:
        raise unreadable(error, "variable 'RELAY_CONFIG'") from None
    except ValueError as error:
        raise ConfigError(f"file of 'RELAY_CONFIG' is no JSON: {error}") from None
    if not isinstance(data, dict):
        raise ConfigError("file of 'RELAY_CONFIG' holds no object")
    told = {"name": environment.get("RELAY_NAME"), "listen": environment.get("RELAY_LISTEN")}
    config = read({**data, **{name: value for name, value in told.items() if value}})
    door = environment.get("RELAY_ADMIN")
    admin = _door(door, "variable 'RELAY_ADMIN'", config.listen) if door else None
    if admin is None and data.get("admin") not in (None, ""):
        admin = _door(data["admin"], "field 'admin'", config.listen)
    config = replace(config, listen_fd=_descriptor(environment.get("RELAY_LISTEN_FD")), admin=admin)
    if config.most_clients < LEAST_CLIENTS:
        raise ConfigError(
            f"field 'limits.sockets' of {path}: {config.sockets} leaves {max(0, config.most_clients)} places"
            f" for clients beside the fixed parts; likely intent: {128 * config.shares} or more"
        )
    return config


def _door(told: object, where: str, listen: tuple[str, int]) -> tuple[str, int]:
    """The operators' door as `HOST:PORT`, or a port alone on the host of `listen`."""
    if (isinstance(told, int) and not isinstance(told, bool)) or (isinstance(told, str) and told.isdigit()):
        told = f"{listen[0]}:{told}"
    try:
        return read_address(told)
    except ValueError as error:
        raise ConfigError(
            f"{where}: {error}; likely intent: HOST:PORT of the operators' door, as 127.0.0.1:9600"
        ) from None


def _descriptor(text: str | None) -> int | None:
    """The number of an inherited listening socket; absent or empty: the program binds `listen` itself."""
    if not text:
        return None
    if not (text.isascii() and text.isdigit()) or int(text) > 65_535:
        raise ConfigError(
            f"variable 'RELAY_LISTEN_FD' is {text[:32]!r}, no descriptor number;"
            " likely intent: the number of the listening socket handed down, as 7"
        )
    return int(text)
