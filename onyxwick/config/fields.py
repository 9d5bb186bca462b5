"""Typed reading of one HCL block; errors state value, location, expectation and the likely intended value.

A reader requests each field by name and type; `reject_unknown` then reports fields that were not requested.
"""

from __future__ import annotations

import re
from collections.abc import Iterable
from typing import Any

from onyxwick.config.address import Address, AddressError, read_address
from onyxwick.config.errors import ConfigError, suggestion
from onyxwick.config.hcl import Block, Value

US_PER_UNIT = {"us": 1, "ms": 1_000, "s": 1_000_000, "min": 60_000_000, "h": 3_600_000_000}
"""Microseconds per unit of a duration."""
LOOPBACK_PREFIX = "127."
REQUIRED = object()
"""Passed as the default, marks a field that must be set."""
_UNSET = object()

_match_duration = re.compile(r"([0-9]+(?:\.[0-9]+)?) ?([a-z]+)").fullmatch
is_name = re.compile(r"[a-z0-9][a-z0-9-]{0,62}").fullmatch
"""Match a name of lowercase letters, digits and hyphens; None if the text is not one."""


class Fields:
    """Reads the attributes and nested blocks of one block.

    Each reading method takes a field's name and its default, and raises ConfigError if a field without a
    default is missing or if the value has another type. `path` locates the block in error messages.
    """

    def __init__(self, block: Block, file: str, path: str = "") -> None:
        self.block = block
        self.file = file
        self.path = path or block.type
        self.requested_fields: dict[str, None] = {}
        self.requested_blocks: dict[str, None] = {}

    @property
    def label(self) -> str:
        """Return the block's first label."""
        return self.block.labels[0]

    @property
    def line(self) -> int:
        """Return the line on which the block begins."""
        return self.block.line

    def error(self, field: str, text: str, line: int | None = None) -> ConfigError:
        """Create the error for a field, by default at its line, or the block's if the field is unset."""
        value = self.block.attributes.get(field)
        at_line = line or (value.line if value else self.line)
        path = f"{self.path}.{field}" if self.path else field
        return ConfigError.at(self.file, at_line, text, path)

    def block_error(self, text: str) -> ConfigError:
        """Create the error for the block itself."""
        return ConfigError.at(self.file, self.line, f"{self.path}: {text}")

    # ---- single values -----------------------------------------------------------------------------------

    def _get(self, name: str, default: Any) -> Any:
        """Return the plain value, or `_UNSET` if the default applies."""
        self.requested_fields[name] = None
        value = self.block.attributes.get(name)
        if value is not None and value.data is not None:
            return value.plain()
        if default is REQUIRED:
            raise self.error(name, "is missing")
        return _UNSET

    def string(self, name: str, default: Any = REQUIRED) -> str:
        """Return a text field."""
        value = self._get(name, default)
        if value is _UNSET:
            return str(default)
        if not isinstance(value, str):
            raise self.error(name, f'expected a text, found {value!r}; did you mean "{value}"?')
        return value

    def name(self, name: str, default: Any = REQUIRED) -> str:
        """Return a text field that must be a name of lowercase letters, digits and hyphens."""
        value = self.string(name, default)
        if value and not is_name(value):
            raise self.error(name, f"{value!r} is not a name of lowercase letters, digits and hyphens")
        return value

    def own_name(self) -> str:
        """Return the block's label, which must be a name of lowercase letters, digits and hyphens."""
        if not is_name(self.label):
            raise self.block_error(f"'{self.label}' is not a name of lowercase letters, digits and hyphens")
        return self.label

    def number(self, name: str, lowest: float, highest: float, default: Any = REQUIRED) -> float:
        """Return a number between two bounds, both included."""
        value = self._get(name, default)
        if value is _UNSET:
            return float(default)
        if isinstance(value, bool) or not isinstance(value, int | float):
            raise self.error(name, f"expected a number, found {value!r}")
        if not lowest <= value <= highest:
            raise self.error(name, f"{value:g} is not between {lowest:g} and {highest:g}")
        return float(value)

    def integer(self, name: str, lowest: int, highest: int, default: Any = REQUIRED) -> int:
        """Return an integer between two bounds, both included."""
        value = self.number(name, lowest, highest, default)
        if value != int(value):
            raise self.error(name, f"{value:g} is not an integer")
        return int(value)

    def fraction(self, name: str, default: Any = REQUIRED) -> float:
        """Return a number from 0 to 1. For a percentage, the error suggests the fraction."""
        value = self._get(name, default)
        if isinstance(value, int | float) and 1 < value <= 100:
            raise self.error(name, f"a share lies between 0 and 1; did you mean {value / 100:g}?")
        return self.number(name, 0, 1, default)

    def duration(self, name: str, lowest_us: int, highest_us: int, default: Any = REQUIRED) -> int:
        """Return in microseconds a duration written with a unit, for example "500ms".

        The default is in microseconds.
        """
        value = self._get(name, default)
        if value is _UNSET:
            return int(default)
        if isinstance(value, int | float) and not isinstance(value, bool):
            raise self.error(name, f'{value:g} has no unit; did you mean "{value:g}ms" (or "{value:g}s")?')
        match = _match_duration(value) if isinstance(value, str) else None
        if match is None or match[2] not in US_PER_UNIT:
            units = ", ".join(US_PER_UNIT)
            raise self.error(name, f"expected a number with one of the units {units}, found {value!r}")
        number = match[1]
        duration_us = int(float(number) * US_PER_UNIT[match[2]])
        if not lowest_us <= duration_us <= highest_us:
            bounds = f"{format_duration(lowest_us)} and {format_duration(highest_us)}"
            hint = _unit_suggestion(number, match[2], lowest_us, highest_us)
            raise self.error(name, f"{value} is not between {bounds}{hint}")
        return duration_us

    def flag(self, name: str, default: Any = REQUIRED) -> bool:
        """Return a boolean field."""
        value = self._get(name, default)
        if value is _UNSET:
            return bool(default)
        if not isinstance(value, bool):
            raise self.error(name, f"expected true or false, found {value!r}")
        return value

    def choice(self, name: str, known: Iterable[str], default: Any = REQUIRED) -> str:
        """Return a text field that must be one of the known words."""
        value = self.string(name, default)
        words = list(known)
        if value not in words:
            raise self.error(name, f"{value!r} is none of {', '.join(words)}{suggestion(value, words)}")
        return value

    def address(self, name: str, loopback: bool = False) -> Address:
        """Return a field of the form `HOST:PORT`, which `loopback` restricts to 127.0.0.0/8."""
        text = self.string(name)
        try:
            address = read_address(text)
        except AddressError as error:
            raise self.error(name, str(error)) from None
        if loopback and not address[0].startswith(LOOPBACK_PREFIX):
            raise self.error(name, f"{text} is not a loopback address (127.x.x.x)")
        return address

    # ---- lists, objects and blocks -----------------------------------------------------------------------

    def strings(self, name: str, default: Any = REQUIRED) -> list[str]:
        """Return a list of texts without duplicates."""
        value = self._get(name, default)
        if value is _UNSET:
            return list(default)
        if isinstance(value, str):
            raise self.error(name, f'expected a list; did you mean ["{value}"]?')
        if not isinstance(value, list) or not all(isinstance(each, str) for each in value):
            raise self.error(name, f"expected a list of texts, found {value!r}")
        repeated = next((each for n, each in enumerate(value) if each in value[:n]), None)
        if repeated is not None:
            raise self.error(name, f"{repeated!r} appears twice in the list")
        return value

    def items(self, name: str) -> dict[str, Value]:
        """Return an object's pairs, whose values keep their lines; empty if the field is not set."""
        self.requested_fields[name] = None
        value = self.block.attributes.get(name)
        if value is None:
            return {}
        if not isinstance(value.data, dict):
            raise self.error(name, f"expected an object, found {value.plain()!r}")
        return value.data

    def blocks(self, type_name: str, labels: int = 0) -> list[Fields]:
        """Return the blocks of a type, each with exactly `labels` labels and no two with the same labels."""
        self.requested_blocks[type_name] = None
        rows = []
        first_lines = dict[tuple[str, ...], int]()
        for block in self.block.blocks_of(type_name):
            self._check_labels(block, labels)
            key = tuple(block.labels)
            if labels and key in first_lines:
                text = f"block '{type_name}' \"{key[0]}\" is repeated, first on line {first_lines[key]}"
                raise ConfigError.at(self.file, block.line, text)
            first_lines[key] = block.line
            prefix = f"{self.path}." if self.path else ""
            rows.append(Fields(block, self.file, prefix + " ".join((type_name, *block.labels))))
        return rows

    def _check_labels(self, block: Block, labels: int) -> None:
        found = len(block.labels)
        if found != labels:
            example = " ".join((block.type, *['"NAME"'] * labels))
            expected = f"{labels} label{'s' * (labels != 1)}, as in {example}"
            text = f"a block '{block.type}' has {expected}, found {found}"
            raise ConfigError.at(self.file, block.line, text)

    def single_block(self, type_name: str) -> Fields | None:
        """Return the only block of a type without labels; None if there is no such block."""
        rows = self.blocks(type_name)
        if len(rows) > 1:
            text = f"block '{type_name}' is repeated; only one is allowed"
            raise ConfigError.at(self.file, rows[1].line, text)
        return rows[0] if rows else None

    # ---- completeness ------------------------------------------------------------------------------------

    def accept(self, names: Iterable[str]) -> None:
        """Treat the fields as known, because another reader uses them."""
        self.requested_fields.update(dict.fromkeys(names))

    def reject_unknown(self) -> None:
        """Raise ConfigError for a field or block not requested, as a misspelled one would have no effect."""
        for name, value in self.block.attributes.items():
            if name not in self.requested_fields:
                hint = suggestion(name, self.requested_fields)
                raise self.error(name, f"is not known here{hint}", value.line)
        for block in self.block.blocks:
            if block.type not in self.requested_blocks:
                hint = suggestion(block.type, self.requested_blocks)
                raise ConfigError.at(self.file, block.line, f"block '{block.type}' is not known here{hint}")


def _unit_suggestion(number: str, unit: str, lowest_us: int, highest_us: int) -> str:
    """Suggest, as the end of a sentence, a unit with which the duration would be within its bounds."""
    for other, us_per_unit in US_PER_UNIT.items():
        if other != unit and lowest_us <= float(number) * us_per_unit <= highest_us:
            return f'; did you mean "{number}{other}"?'
    return ""


def format_duration(duration_us: int) -> str:
    """Return a duration in the largest unit that divides it without a remainder."""
    if not duration_us:
        return "0ms"
    exact = [unit for unit, us_per_unit in US_PER_UNIT.items() if duration_us % us_per_unit == 0]
    unit = max(exact, key=US_PER_UNIT.__getitem__)
    return f"{duration_us // US_PER_UNIT[unit]}{unit}"
