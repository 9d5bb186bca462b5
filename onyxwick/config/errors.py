"""Errors of all configuration readers: they state value, location, expectation and likely intent."""

from __future__ import annotations

import errno
from collections.abc import Iterable
from typing import Self

from onyxwick.errors import OnyxwickError

MIN_SIMILARITY = 0.6
"""The lowest similarity, from 0 to 1, at which a known word is suggested."""


class ConfigError(OnyxwickError):
    """The configuration is invalid.

    The message names file, line, field and the likely intent, as far as they are known. The attributes
    `file`, `line` and `field` give programs the same location; they are empty or 0 if unknown.
    """

    def __init__(self, message: str, *, file: str = "", line: int = 0, field: str = "") -> None:
        super().__init__(message)
        self.file = file
        self.line = line
        self.field = field

    @classmethod
    def at(cls, file: str, line: int, text: str, field: str = "") -> Self:
        """Create the error for a line of a file and, if `field` is given, a field."""
        description = f"field '{field}': {text}" if field else text
        return cls(f"{file}:{line}: {description}", file=file, line=line, field=field)


class ConfigUnreadableError(ConfigError):
    """A file could not be read for a transient reason; the caller should retry the read."""


_TRANSIENT_ERRNOS = frozenset(
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
    """Return the error to raise if a configuration file cannot be read: transient or permanent."""
    kind = ConfigUnreadableError if error.errno in _TRANSIENT_ERRNOS else ConfigError
    return kind(f"{where}: {error}")


def suggestion(word: str, known: Iterable[str]) -> str:
    """Return the most similar known word as the end of a sentence; empty if no known word is similar."""
    import difflib  # Imported on use: a director with a valid configuration never needs it.

    similar = difflib.get_close_matches(word, list(known), 1, MIN_SIMILARITY)
    return f"; did you mean '{similar[0]}'?" if similar else ""
