"""The errors of all configuration readers: what was found, where, and what was expected or likely meant."""

from __future__ import annotations

import errno
from collections.abc import Iterable
from typing import Self

from onyxwick.errors import OnyxwickError

MIN_SIMILARITY = 0.6
"""How similar a known word must be to be suggested, between 0 and 1."""


class ConfigError(OnyxwickError):
    """The configuration cannot be used.

    The message names file, line, field and the likely intent, as far as they are known; `file`, `line` and
    `field` hold the same for programs, empty or 0 where unknown.
    """

    def __init__(self, message: str, *, file: str = "", line: int = 0, field: str = "") -> None:
        super().__init__(message)
        self.file = file
        self.line = line
        self.field = field

    @classmethod
    def at(cls, file: str, line: int, text: str, field: str = "") -> Self:
        """The error at a line of a file, and in a field if one is named."""
        what = f"field '{field}': {text}" if field else text
        return cls(f"{file}:{line}: {what}", file=file, line=line, field=field)


class ConfigUnreadableError(ConfigError):
    """A file could not be read for a reason that passes: the read is to be retried."""


_TRANSIENT = frozenset(
    {
        errno.EAGAIN,
        errno.EBUSY,
        errno.EINTR,
        errno.EIO,
        errno.EMFILE,
        errno.ENFILE,
        errno.ENOBUFS,
        errno.ENOMEM,
        errno.ESTALE,
    }
)


def unreadable_error(error: OSError, where: str) -> ConfigError:
    """The error to raise where a file of the configuration cannot be read."""
    kind = ConfigUnreadableError if error.errno in _TRANSIENT else ConfigError
    return kind(f"{where}: {error}")


def suggestion(word: str, known: Iterable[str]) -> str:
    """The known word that was likely meant, as the end of a sentence; empty where none is similar."""
    import difflib  # here: a director with a valid configuration never needs it

    similar = difflib.get_close_matches(word, list(known), 1, MIN_SIMILARITY)
    return f"; did you mean '{similar[0]}'?" if similar else ""
