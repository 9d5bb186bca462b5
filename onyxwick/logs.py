"""Structured logs on standard error, and a bound on them: bad input must not fill a disk or take the core."""

from __future__ import annotations

import contextlib
import os
import select
import sys
import threading
import time
from collections.abc import Callable, MutableMapping
from typing import Any, TextIO, cast

import structlog
import ujson

MAX_LINES_PER_S = 10  # lines of one kind
MAX_TRACEBACK_CHARS = 2500  # characters of an error's trace
MAX_LINE_KINDS = 1024  # of lines counted at once


class LineRateLimit:
    """Passes so many lines a second of each kind (level and event); the next one tells how many were not."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self.clock = clock
        self.kinds: dict[tuple[str, str], list[int]] = {}  # [second, passed in it, left out since]

    def __call__(self, logger: Any, method: str, event: MutableMapping[str, Any]) -> MutableMapping[str, Any]:
        second, key = int(self.clock()), (method, str(event.get("event")))
        if key not in self.kinds and len(self.kinds) >= MAX_LINE_KINDS:
            self.kinds.clear()
        kind = self.kinds.setdefault(key, [second, 0, 0])
        if kind[0] != second:
            kind[:2] = second, 0
        kind[1] += 1
        if kind[1] > MAX_LINES_PER_S:
            kind[2] += 1
            raise structlog.DropEvent
        if kind[2]:
            event["left_out"], kind[2] = kind[2], 0
        return event


def _shorten(logger: Any, method: str, event: MutableMapping[str, Any]) -> MutableMapping[str, Any]:
    """The end of a long trace tells the cause; a line has to fit into one write."""
    trace = event.get("exception")
    if isinstance(trace, str) and len(trace) > MAX_TRACEBACK_CHARS:
        event["exception"] = f"... {trace[-MAX_TRACEBACK_CHARS:]}"
    return event


def _serialise(event: Any, **_: Any) -> str:
    return ujson.dumps(event, escape_forward_slashes=False, default=repr)


class _Line(threading.local):
    """The parts of a thread's line that was not written yet."""

    def __init__(self) -> None:
        self.parts: list[str] = []


class LineStream:
    """An output for whole lines that never stop the program: a line that cannot be written at once, as the
    disk is full, the pipe is closed or nobody empties it, is dropped and counted.

    Lines go past the stream's own buffer: what stands there would be tried again, and fail, at the exit.
    """

    def __init__(self, stream: TextIO) -> None:
        self.stream, self.dropped_lines = stream, 0
        self._line = _Line()  # of each thread its own: parts of two never come into one line
        self._lock = threading.Lock()  # between a look for room and the write into it
        self._poll: select.poll | None = None
        with contextlib.suppress(OSError, ValueError):  # no descriptor behind it: it never blocks
            self._descriptor = stream.fileno()
            poll = select.poll()
            poll.register(self._descriptor, select.POLLOUT)
            self._poll = poll

    def isatty(self) -> bool:
        """Does a person look on?"""
        return self.stream.isatty()

    def write(self, text: str) -> int:
        """Part of a line; it goes out with `flush`."""
        self._line.parts.append(text)
        return len(text)

    def flush(self) -> None:
        """Write what was given, or drop it."""
        text, self._line.parts = "".join(self._line.parts), []
        try:
            if self._poll is None:
                self.stream.write(text)
                self.stream.flush()
            else:
                self._write_now(text.encode(errors="replace"), self._poll)
        except (OSError, ValueError):
            self.dropped_lines += 1

    def _write_now(self, line: bytes, poll: select.poll) -> None:
        # What is writable takes so many bytes without blocking (pipe(7), PIPE_BUF).
        if len(line) > select.PIPE_BUF:
            line = line[: select.PIPE_BUF - 2] + b"\n"
        with self._lock:
            if not poll.poll(0):
                raise BlockingIOError
            os.write(self._descriptor, line)


def print_lines(text: str) -> None:
    """Lines on standard output, each dropped where it cannot be written at once."""
    if sys.stdout is None:  # closed before the start
        return
    out = LineStream(sys.stdout)
    for line in text.splitlines():
        out.write(f"{line}\n")
        out.flush()


def set_up(stream: TextIO | None = None) -> None:
    """Text on a terminal, else JSON lines. Called once, by whichever command runs."""
    out = LineStream(stream or sys.stderr)
    terminal = out.isatty()
    last: Any = (
        structlog.dev.ConsoleRenderer(colors=False)
        if terminal
        else structlog.processors.JSONRenderer(serializer=_serialise)
    )
    traces = [] if terminal else [structlog.processors.format_exc_info]
    structlog.configure(
        processors=[
            LineRateLimit(),
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            *traces,
            _shorten,
            last,
        ],
        logger_factory=structlog.PrintLoggerFactory(cast("TextIO", out)),
        cache_logger_on_first_use=True,
    )


def get() -> Any:
    """A logger; what it says goes where `set_up` has said, at the time of the first line."""
    return structlog.get_logger()
