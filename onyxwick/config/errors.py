"""The one error of all configuration readers."""

from __future__ import annotations

import errno
from collections.abc import Iterable


class ConfigError(Exception):
    """The configuration cannot be used; the text names file, line, field and the likely intent."""


class ConfigUnreadableError(ConfigError):
    """A file of the configuration could not be read for a reason that passes: it is to be tried again."""


_PASSING = frozenset(
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


def unreadable(error: OSError, where: str) -> ConfigError:
    """The error to raise where a file of the configuration cannot be read."""
    kind = ConfigUnreadableError if error.errno in _PASSING else ConfigError
    return kind(f"{where}: {error}")


def guess(word: str, known: Iterable[str]) -> str:
    """What the writer of `word` probably meant, as the end of a sentence; empty where nothing is close."""
    import difflib  # here: a director that starts well never needs it

    close = difflib.get_close_matches(word, list(known), 1, 0.6)
    return f"; did you mean '{close[0]}'?" if close else ""
