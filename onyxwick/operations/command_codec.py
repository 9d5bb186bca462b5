"""The JSON document of the operator command file, version 1. No I/O.

    {"v": 1, "version": N, "drained": BOOL, "held": [CACHE...], "back": [[CACHE, STEADY_US]...],
     "known": [CACHE...], "clock": {"boot": ID, "offset": US}}

`held` lists the disabled caches. `back` lists the caches that were enabled again, with the time. `clock`
identifies the clock of the times in `back`. Processes of different versions may read each other's file, so
the names of the fields must not change.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypeGuard

from onyxwick.operations.errors import CommandFileError
from onyxwick.operations.operator_commands import KnownCaches, OperatorCommands, ReEnabledCache

DOCUMENT_VERSION = 1


@dataclass(frozen=True, slots=True)
class WriterClock:
    """Identifies the steady clock of the process that wrote a file."""

    boot_id: str
    """Identifies the boot of the machine; within one boot, the monotonic clocks of two processes agree."""
    offset_us: int
    """Steady time minus monotonic time of the writer."""


@dataclass(frozen=True, slots=True)
class StoredCommands:
    """The content of a command file."""

    commands: OperatorCommands
    known_caches: list[str]
    clock: WriterClock | None
    """None if the file has no usable clock."""


def commands_to_document(
    commands: OperatorCommands, known: KnownCaches, clock: WriterClock
) -> dict[str, object]:
    """Encode commands, known caches and the writer's clock as the document of a command file."""
    return {
        "v": DOCUMENT_VERSION,
        "version": commands.version,
        "drained": commands.is_drained,
        "held": sorted(commands.disabled_caches),
        "back": [[row.cache, row.at_us] for row in commands.re_enabled],
        "known": list(known.ids),
        "clock": {"boot": clock.boot_id, "offset": clock.offset_us},
    }


def commands_from_document(document: object) -> StoredCommands:
    """Decode the document of a command file. Raises CommandFileError if it is not valid for version 1."""
    if not isinstance(document, dict) or document.get("v") != DOCUMENT_VERSION:
        raise CommandFileError(f"command file is invalid: expected an object with v={DOCUMENT_VERSION}")
    version = document.get("version")
    if not isinstance(version, int):
        raise CommandFileError(f"field 'version' is {version!r}, expected an integer")
    is_drained = document.get("drained")
    if not isinstance(is_drained, bool):
        raise CommandFileError(f"field 'drained' is {is_drained!r}, expected true or false")
    disabled = _names(document, "held")
    known = _names(document, "known")
    commands = OperatorCommands(version, is_drained, frozenset(disabled), _re_enabled(document))
    return StoredCommands(commands, known, _clock(document.get("clock")))


def _names(document: dict[str, object], key: str) -> list[str]:
    value = document.get(key)
    if not _is_name_list(value):
        raise CommandFileError(f"{key} is not a list of strings")
    return value


def _is_name_list(value: object) -> TypeGuard[list[str]]:
    return isinstance(value, list) and all(isinstance(name, str) for name in value)


def _re_enabled(document: dict[str, object]) -> tuple[ReEnabledCache, ...]:
    value = document.get("back")
    if not isinstance(value, list):
        raise CommandFileError("field 'back' is not a list")
    rows = [ReEnabledCache(row[0], row[1]) for row in value if isinstance(row, list) and len(row) == 2]
    if len(rows) != len(value):
        raise CommandFileError("field 'back' is not a list of pairs")
    if not all(isinstance(row.cache, str) and isinstance(row.at_us, int) for row in rows):
        raise CommandFileError("field 'back' is not a list of cache ids with integer times")
    return tuple(rows)


def _clock(value: object) -> WriterClock | None:
    if not isinstance(value, dict):
        return None
    boot_id = value.get("boot")
    offset_us = value.get("offset")
    if not isinstance(boot_id, str) or not isinstance(offset_us, int):
        return None
    return WriterClock(boot_id, offset_us)
