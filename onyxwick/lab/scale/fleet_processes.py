"""The processes of a fleet's run: nodes of the distribution tree, and the lab's own with a pipe."""

from __future__ import annotations

import asyncio
import multiprocessing
import signal
import subprocess
import sys
from contextlib import suppress
from dataclasses import dataclass
from multiprocessing.connection import Connection as Pipe
from pathlib import Path
from typing import Any

import ujson

from onyxwick.config.address import Address

ANSWER_S = 60.0


@dataclass
class NodeProcess:
    """A process of the distribution tree."""

    name: str
    listen: Address
    file: Path
    out: Path
    process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start it, for the first time or again."""
        with self.out.open("ab") as out:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "onyxwick", "distribution", "run", str(self.file)],
                stdout=out,
                stderr=subprocess.DEVNULL,
            )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal, if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def end(self) -> None:
        """End it, woken if it was paused; killed where it does not end."""
        if self.process is None:
            return
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGTERM)
        try:
            self.process.wait(15)
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait()

    def status(self) -> dict[str, Any]:
        """The last status that it printed."""
        lines = [line for line in self.out.read_text().splitlines() if line.startswith('{"name"')]
        return dict(ujson.loads(lines[-1])) if lines else {}


@dataclass
class Child:
    """A process of the lab with a pipe."""

    process: multiprocessing.process.BaseProcess
    pipe: Pipe

    async def ask(self, word: str, argument: Any = None) -> Any:
        """One command and its answer; TimeoutError where none comes."""
        self.pipe.send((word, argument))
        if not await asyncio.to_thread(self.pipe.poll, ANSWER_S):
            raise TimeoutError(f"no answer to '{word}'")
        return await asyncio.to_thread(self.pipe.recv)

    def end(self) -> None:
        """Tell it to stop, and end it where it does not."""
        with suppress(OSError):
            self.pipe.send(("stop", None))
        self.process.join(15)
        if self.process.is_alive():
            self.process.terminate()
            self.process.join(5)
