"""Structured logs on standard error.

They are rate-limited, so that bad input cannot fill a disk or exhaust the processor. Lines are plain text on
a terminal and JSON otherwise. A line that cannot be written immediately is dropped and counted.
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
"""Maximum number of lines per second of one kind. A kind is a log level and an event."""
MAX_TRACEBACK_CHARS = 2500
MAX_LINE_KINDS = 1024
"""Maximum number of kinds of lines that are counted at the same time."""


@dataclass(slots=True)
class _KindCount:
    second: int
    line_count: int = 0
    """Number of lines in this second, including those that were left out."""
    left_out: int = 0
    """Number of lines left out since the last line that passed."""


class LineRateLimit:
    """Passes up to `MAX_LINES_PER_S` lines of each kind per second.

    The next line that passes contains the number of lines that were left out before it.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self.clock = clock
        self.kinds: dict[tuple[str, str], _KindCount] = {}

    def __call__(self, logger: Any, method: str, event: MutableMapping[str, Any]) -> MutableMapping[str, Any]:
        """Return the event of a line that passes. Raises structlog.DropEvent for a line above the limit."""
        second = int(self.clock())
        key = (method, str(event.get("event")))
        if key not in self.kinds and len(self.kinds) >= MAX_LINE_KINDS:
            self.kinds.clear()
        kind = self.kinds.setdefault(key, _KindCount(second))
        if kind.second != second:
            kind.second = second
            kind.line_count = 0
        kind.line_count += 1
        if kind.line_count > MAX_LINES_PER_S:
            kind.left_out += 1
            raise structlog.DropEvent
        if kind.left_out:
            event["left_out"] = kind.left_out
            kind.left_out = 0
        return event


def _shorten(logger: Any, method: str, event: MutableMapping[str, Any]) -> MutableMapping[str, Any]:
    """Shorten a long traceback to its end, which names the cause, because a line must fit into one write."""
    traceback = event.get("exception")
    if isinstance(traceback, str) and len(traceback) > MAX_TRACEBACK_CHARS:
        event["exception"] = f"... {traceback[-MAX_TRACEBACK_CHARS:]}"
    return event


def _serialise(event: Any, **_: Any) -> str:
    return ujson.dumps(event, escape_forward_slashes=False, default=repr)


class _Line(threading.local):
    """The parts of a thread's current line that are not written yet."""

    def __init__(self) -> None:
        self.parts: list[str] = []


class LineStream:
    """An output for lines that never blocks the program.

    A line that cannot be written immediately, because the disk is full or the pipe is closed or not read, is
    dropped and counted. Lines bypass the stream's own buffer: the buffer's content would be written again at
    exit, and that write would fail.
    """

    def __init__(self, stream: TextIO) -> None:
        self.stream = stream
        self.dropped_lines = 0
        self._line = _Line()  # separate for each thread, so that a line never mixes parts of several threads
        self._lock = threading.Lock()  # held from the check for free space until after the write
        self._poll: select.poll | None = None
        with contextlib.suppress(OSError, ValueError):  # a stream without a descriptor never blocks
            self._descriptor = stream.fileno()
            poll = select.poll()
            poll.register(self._descriptor, select.POLLOUT)
            self._poll = poll

    def isatty(self) -> bool:
        """Return whether the output is a terminal."""
        return self.stream.isatty()

    def write(self, text: str) -> int:
        """Append a part to the current line, which `flush` writes; return the number of characters."""
        self._line.parts.append(text)
        return len(text)

    def flush(self) -> None:
        """Write the current line, or drop and count it if it cannot be written."""
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
        # A write of up to PIPE_BUF bytes to a writable pipe does not block (pipe(7)).
        if len(line) > select.PIPE_BUF:
            line = line[: select.PIPE_BUF - 2] + b"\n"
        with self._lock:
            if not poll.poll(0):
                raise BlockingIOError
            os.write(self._descriptor, line)


def print_lines(text: str) -> None:
    """Print lines on standard output. A line that cannot be written immediately is dropped."""
    if sys.stdout is None:  # standard output was closed before the program started
        return
    out = LineStream(sys.stdout)
    for line in text.splitlines():
        out.write(f"{line}\n")
        out.flush()


def set_up(stream: TextIO | None = None) -> None:
    """Configure logging: text on a terminal, JSON lines otherwise. Called once, by the running command."""
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
    """Return a logger, which adopts the configuration of `set_up` when it writes its first line."""
    return structlog.get_logger()
