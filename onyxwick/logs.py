"""Structured logs on standard error, and a bound on them: bad input must not fill a disk or take the core."""

from __future__ import annotations

import sys
import time
from collections.abc import Callable, MutableMapping
from typing import Any, TextIO

import structlog
import ujson

MOST_PER_S = 10  # lines of one kind
MOST_KINDS = 1024  # of lines counted at once


class Throttle:
    """Passes so many lines a second of each kind (level and event); the next one tells how many were not."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self.clock = clock
        self.kinds: dict[tuple[str, str], list[int]] = {}  # [second, passed in it, left out since]

    def __call__(self, logger: Any, method: str, event: MutableMapping[str, Any]) -> MutableMapping[str, Any]:
        second, key = int(self.clock()), (method, str(event.get("event")))
        if key not in self.kinds and len(self.kinds) >= MOST_KINDS:
            self.kinds.clear()
        kind = self.kinds.setdefault(key, [second, 0, 0])
        if kind[0] != second:
            kind[:2] = second, 0
        kind[1] += 1
        if kind[1] > MOST_PER_S:
            kind[2] += 1
            raise structlog.DropEvent
        if kind[2]:
            event["left_out"], kind[2] = kind[2], 0
        return event


def _serialise(event: Any, **_: Any) -> str:
    return ujson.dumps(event, escape_forward_slashes=False, default=repr)


def set_up(stream: TextIO | None = None) -> None:
    """Text on a terminal, else JSON lines. Called once, by whichever command runs."""
    out = stream or sys.stderr
    terminal = out.isatty()
    last: Any = (
        structlog.dev.ConsoleRenderer(colors=False)
        if terminal
        else structlog.processors.JSONRenderer(serializer=_serialise)
    )
    traces = [] if terminal else [structlog.processors.format_exc_info]
    structlog.configure(
        processors=[
            Throttle(),
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            *traces,
            last,
        ],
        logger_factory=structlog.PrintLoggerFactory(out),
        cache_logger_on_first_use=True,
    )


def get() -> Any:
    """A logger; what it says goes where `set_up` has said, at the time of the first line."""
    return structlog.get_logger()
