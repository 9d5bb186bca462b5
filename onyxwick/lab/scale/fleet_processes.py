"""Processes of a fleet run: nodes of the distribution tree, and lab processes commanded through a pipe."""

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

ANSWER_TIMEOUT_S = 60.0


@dataclass
class NodeProcess:
    """A process that runs one node of the distribution tree."""

    name: str
    listen: Address
    file: Path
    out: Path
    process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start or restart the process; output is appended to `out`."""
        with self.out.open("ab") as out:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "onyxwick", "distribution", "run", str(self.file)],
                stdout=out,
                stderr=subprocess.DEVNULL,
            )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal if the process is running."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def end(self) -> None:
        """Terminate the process, resumed first if it was paused; kill it if it has not exited after 15 s."""
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
        """Return the last status that the process printed, an empty dict if there is none."""
        lines = [line for line in self.out.read_text().splitlines() if line.startswith('{"name"')]
        return dict(ujson.loads(lines[-1])) if lines else {}


@dataclass
class PipeProcess:
    """A lab process that is commanded through a pipe."""

    process: multiprocessing.process.BaseProcess
    pipe: Pipe

    async def ask(self, word: str, argument: Any = None) -> Any:
        """Send a command and return its answer. Raises TimeoutError if none arrives within 60 s."""
        self.pipe.send((word, argument))
        if not await asyncio.to_thread(self.pipe.poll, ANSWER_TIMEOUT_S):
            raise TimeoutError(f"the lab process did not answer command '{word}'")
        return await asyncio.to_thread(self.pipe.recv)

    def end(self) -> None:
        """Send the stop command; terminate the process if it has not exited after 15 s."""
        with suppress(OSError):
            self.pipe.send(("stop", None))
        self.process.join(15)
        if self.process.is_alive():
            self.process.terminate()
            self.process.join(5)
