"""Typed reading of one HCL block: what was found, where, what was expected, what was probably meant."""

from __future__ import annotations

import re
from collections.abc import Iterable
from typing import Any

from onyxwick.config.address import Address, read_address
from onyxwick.config.errors import ConfigError, guess
from onyxwick.config.hcl import Block, Value

UNITS = {"us": 1, "ms": 1_000, "s": 1_000_000, "min": 60_000_000, "h": 3_600_000_000}
_DURATION = re.compile(r"([0-9]+(?:\.[0-9]+)?) ?([a-z]+)").fullmatch
NAME = re.compile(r"[a-z0-9][a-z0-9-]{0,62}").fullmatch
MISSING = object()


class Fields:
    """The attributes and blocks of one block. `done` refuses what nobody has asked for."""

    def __init__(self, block: Block, file: str, where: str = "") -> None:
        self.block, self.file = block, file
        self.where = where or block.type
        self.asked: dict[str, None] = {}
        self.asked_blocks: dict[str, None] = {}

    def error(self, field: str, text: str, line: int | None = None) -> ConfigError:
        value = self.block.attributes.get(field)
        at = line or (value.line if value else self.block.line)
        path = f"{self.where}.{field}" if self.where else field
        return ConfigError(f"{self.file}:{at}: field '{path}': {text}")

    def _get(self, name: str, default: Any) -> Any:
        self.asked[name] = None
        value = self.block.attributes.get(name)
        if value is not None and value.data is not None:
            return value.plain()
        if default is MISSING:
            raise self.error(name, "is missing")
        return MISSING

    def text(self, name: str, default: Any = MISSING) -> str:
        value = self._get(name, default)
        if value is MISSING:
            return str(default)
        if not isinstance(value, str):
            raise self.error(name, f'expected a text, found {value!r}; did you mean "{value}"?')
        return value

    def name(self, name: str, default: Any = MISSING) -> str:
        """A name of small letters, digits and hyphens."""
        value = self.text(name, default)
        if value and not NAME(value):
            raise self.error(name, f"{value!r} is no name of small letters, digits and hyphens")
        return value

    def number(self, name: str, least: float, most: float, default: Any = MISSING) -> float:
        value = self._get(name, default)
        if value is MISSING:
            return float(default)
        if isinstance(value, bool) or not isinstance(value, int | float):
            raise self.error(name, f"expected a number, found {value!r}")
        if not least <= value <= most:
            raise self.error(name, f"{value:g} is not between {least:g} and {most:g}")
        return float(value)

    def whole(self, name: str, least: int, most: int, default: Any = MISSING) -> int:
        value = self.number(name, least, most, default)
        if value != int(value):
            raise self.error(name, f"{value:g} is no whole number")
        return int(value)

    def share(self, name: str, default: Any = MISSING) -> float:
        """A part of one: 0 to 1."""
        value = self._get(name, default)
        if isinstance(value, int | float) and 1 < value <= 100:
            raise self.error(name, f"a share lies between 0 and 1; did you mean {value / 100:g}?")
        return self.number(name, 0, 1, default)

    def duration(self, name: str, least_us: int, most_us: int, default: Any = MISSING) -> int:
        """A text with a unit, as "500ms", in microseconds."""
        value = self._get(name, default)
        if value is MISSING:
            return int(default)
        if isinstance(value, int | float) and not isinstance(value, bool):
            raise self.error(name, f'{value:g} has no unit; did you mean "{value:g}ms" (or "{value:g}s")?')
        found = _DURATION(value) if isinstance(value, str) else None
        if found is None or found[2] not in UNITS:
            units = ", ".join(UNITS)
            raise self.error(name, f"expected a number with one of the units {units}, found {value!r}")
        out = int(float(found[1]) * UNITS[found[2]])
        if not least_us <= out <= most_us:
            near = next(
                (u for u in UNITS if least_us <= float(found[1]) * UNITS[u] <= most_us and u != found[2]), ""
            )
            hint = f'; did you mean "{found[1]}{near}"?' if near else ""
            raise self.error(name, f"{value} is not between {spoken(least_us)} and {spoken(most_us)}{hint}")
        return out

    def flag(self, name: str, default: Any = MISSING) -> bool:
        value = self._get(name, default)
        if value is MISSING:
            return bool(default)
        if not isinstance(value, bool):
            raise self.error(name, f"expected true or false, found {value!r}")
        return value

    def choice(self, name: str, known: Iterable[str], default: Any = MISSING) -> str:
        value, words = self.text(name, default), list(known)
        if value not in words:
            raise self.error(name, f"{value!r} is none of {', '.join(words)}{guess(value, words)}")
        return value

    def texts(self, name: str, default: Any = MISSING) -> list[str]:
        value = self._get(name, default)
        if value is MISSING:
            return list(default)
        if isinstance(value, str):
            raise self.error(name, f'expected a list; did you mean ["{value}"]?')
        if not isinstance(value, list) or not all(isinstance(inner, str) for inner in value):
            raise self.error(name, f"expected a list of texts, found {value!r}")
        twice = next((inner for n, inner in enumerate(value) if inner in value[:n]), None)
        if twice is not None:
            raise self.error(name, f"{twice!r} stands twice in the list")
        return value

    def items(self, name: str) -> dict[str, Value]:
        """An object's pairs with their lines; empty where it is not set."""
        self.asked[name] = None
        value = self.block.attributes.get(name)
        if value is None:
            return {}
        if not isinstance(value.data, dict):
            raise self.error(name, f"expected an object, found {value.plain()!r}")
        return value.data

    def address(self, name: str, loopback: bool = False) -> Address:
        text = self.text(name)
        try:
            address = read_address(text)
        except ValueError as error:
            raise self.error(name, str(error)) from None
        if loopback and not address[0].startswith("127."):
            raise self.error(name, f"{text} is no loopback address")
        return address

    def blocks(self, type_name: str, labels: int = 0) -> list[Fields]:
        """The blocks of a type, each with so many labels, which none of them shares with another."""
        self.asked_blocks[type_name] = None
        out, seen = [], dict[tuple[str, ...], int]()
        for block in self.block.of(type_name):
            if len(block.labels) != labels:
                shown = " ".join((type_name, *['"NAME"'] * labels))
                wanted = f"{labels} label{'s' * (labels != 1)}, as {shown}"
                found = len(block.labels)
                raise ConfigError(
                    f"{self.file}:{block.line}: a block '{type_name}' has {wanted}, found {found}"
                )
            key = tuple(block.labels)
            if labels and key in seen:
                twice = f"block '{type_name}' \"{key[0]}\" stands twice, first on line {seen[key]}"
                raise ConfigError(f"{self.file}:{block.line}: {twice}")
            seen[key] = block.line
            above = f"{self.where}." if self.where else ""
            out.append(Fields(block, self.file, above + " ".join((type_name, *block.labels))))
        return out

    def block_of(self, type_name: str) -> Fields | None:
        """The one block of a type without labels, or None."""
        found = self.blocks(type_name)
        if len(found) > 1:
            again = found[1].block.line
            raise ConfigError(f"{self.file}:{again}: block '{type_name}' stands twice; one is allowed")
        return found[0] if found else None

    @property
    def label(self) -> str:
        return self.block.labels[0]

    def done(self) -> None:
        """All that is known has been asked for: what is left is a slip, and would be lost in silence."""
        for name, value in self.block.attributes.items():
            if name not in self.asked:
                raise self.error(name, f"is not known here{guess(name, self.asked)}", value.line)
        for block in self.block.blocks:
            if block.type not in self.asked_blocks:
                hint = guess(block.type, self.asked_blocks)
                raise ConfigError(f"{self.file}:{block.line}: block '{block.type}' is not known here{hint}")


def spoken(us: int) -> str:
    """A duration in its largest whole unit."""
    unit = max((u for u in UNITS if us % UNITS[u] == 0), key=lambda u: UNITS[u]) if us else "ms"
    return f"{us // UNITS[unit]}{unit}"
