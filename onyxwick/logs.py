"""Structured logs on standard error, limited in rate: bad input must not fill a disk or use up the processor.

Lines are text on a terminal, else JSON. A line that cannot be written at once is dropped and counted.
"""

from __future__ import annotations

import contextlib
import os
import select
import sys
import threading
import time
from collections.abc import Callable, MutableMapping
from dataclasses import dataclass
from typing import Any, TextIO, cast

import structlog
import ujson

from onyxwick.former_log_events import add_former_event

MAX_LINES_PER_S = 10
"""Of one kind: a level and an event."""
MAX_TRACEBACK_CHARS = 2500
MAX_LINE_KINDS = 1024
"""Counted at once."""


@dataclass(slots=True)
class _KindCount:
    second: int
    passed: int = 0
    """In this second."""
    left_out: int = 0
    """Since the last line that passed."""


class LineRateLimit:
    """Passes `MAX_LINES_PER_S` lines of each kind; the next line that passes says how many were left out."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self.clock = clock
        self.kinds: dict[tuple[str, str], _KindCount] = {}

    def __call__(self, logger: Any, method: str, event: MutableMapping[str, Any]) -> MutableMapping[str, Any]:
        """Pass a line, or raise structlog.DropEvent."""
        second = int(self.clock())
        key = (method, str(event.get("event")))
        if key not in self.kinds and len(self.kinds) >= MAX_LINE_KINDS:
            self.kinds.clear()
        kind = self.kinds.setdefault(key, _KindCount(second))
        if kind.second != second:
            kind.second = second
            kind.passed = 0
        kind.passed += 1
        if kind.passed > MAX_LINES_PER_S:
            kind.left_out += 1
            raise structlog.DropEvent
        if kind.left_out:
            event["left_out"] = kind.left_out
            kind.left_out = 0
        return event


def _shorten(logger: Any, method: str, event: MutableMapping[str, Any]) -> MutableMapping[str, Any]:
    """Keep the end of a long traceback, which names the cause: a line must fit into one write."""
    traceback = event.get("exception")
    if isinstance(traceback, str) and len(traceback) > MAX_TRACEBACK_CHARS:
        event["exception"] = f"... {traceback[-MAX_TRACEBACK_CHARS:]}"
    return event


def _serialise(event: Any, **_: Any) -> str:
    return ujson.dumps(event, escape_forward_slashes=False, default=repr)


class _Line(threading.local):
    """The parts of a thread's line that are not written yet."""

    def __init__(self) -> None:
        self.parts: list[str] = []


class LineStream:
    """An output for lines that never block the program.

    A line that cannot be written at once (the disk is full, the pipe is closed or nobody reads it) is dropped
    and counted. Lines bypass the stream's own buffer: its content would be written again, and fail, at exit.
    """

    def __init__(self, stream: TextIO) -> None:
        self.stream = stream
        self.dropped_lines = 0
        self._line = _Line()  # one for each thread: their parts never mix in a line
        self._lock = threading.Lock()  # held from the check for space to the write
        self._poll: select.poll | None = None
        with contextlib.suppress(OSError, ValueError):  # no descriptor: it never blocks
            self._descriptor = stream.fileno()
            poll = select.poll()
            poll.register(self._descriptor, select.POLLOUT)
            self._poll = poll

    def isatty(self) -> bool:
        """Whether the output is a terminal."""
        return self.stream.isatty()

    def write(self, text: str) -> int:
        """Add a part of a line, which `flush` writes."""
        self._line.parts.append(text)
        return len(text)

    def flush(self) -> None:
        """Write the parts as a line, or drop it."""
        text = "".join(self._line.parts)
        self._line.parts = []
        try:
            if self._poll is None:
                self.stream.write(text)
                self.stream.flush()
            else:
                self._write_now(text.encode(errors="replace"), self._poll)
        except (OSError, ValueError):
            self.dropped_lines += 1

    def _write_now(self, line: bytes, poll: select.poll) -> None:
        # A writable pipe takes PIPE_BUF bytes without blocking (pipe(7)).
        if len(line) > select.PIPE_BUF:
            line = line[: select.PIPE_BUF - 2] + b"\n"
        with self._lock:
            if not poll.poll(0):
                raise BlockingIOError
            os.write(self._descriptor, line)


def print_lines(text: str) -> None:
    """Print lines on standard output; one that cannot be written at once is dropped."""
    if sys.stdout is None:  # closed before the start
        return
    out = LineStream(sys.stdout)
    for line in text.splitlines():
        out.write(f"{line}\n")
        out.flush()


def set_up(stream: TextIO | None = None) -> None:
    """Configure logging: text on a terminal, else JSON lines. Called once, by the command that runs."""
    out = LineStream(stream or sys.stderr)
    is_terminal = out.isatty()
    renderer: Any = (
        structlog.dev.ConsoleRenderer(colors=False)
        if is_terminal
        else structlog.processors.JSONRenderer(serializer=_serialise)
    )
    tracebacks = [] if is_terminal else [structlog.processors.format_exc_info]
    structlog.configure(
        processors=[
            LineRateLimit(),
            add_former_event,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            *tracebacks,
            _shorten,
            renderer,
        ],
        logger_factory=structlog.PrintLoggerFactory(cast("TextIO", out)),
        cache_logger_on_first_use=True,
    )


def get() -> Any:
    """A logger. Its output is bound to the configuration of `set_up` with its first line."""
    return structlog.get_logger()
