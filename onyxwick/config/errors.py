"""The one error of all configuration readers."""

from __future__ import annotations

from collections.abc import Iterable


class ConfigError(Exception):
    """The configuration cannot be used; the text names file, line, field and the likely intent."""


def guess(word: str, known: Iterable[str]) -> str:
    """What the writer of `word` probably meant, as the end of a sentence; empty where nothing is close."""
    import difflib  # here: a director that starts well never needs it

    close = difflib.get_close_matches(word, list(known), 1, 0.6)
    return f"; did you mean '{close[0]}'?" if close else ""
