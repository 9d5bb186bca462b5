"""Real directors as processes of the lab's: started, watched, killed, stopped and woken, ended."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import sys
from collections.abc import Callable, Mapping
from pathlib import Path

from onyxwick.config.address import Address

READY_S, END_S = 20.0, 12.0  # for a director to be ready, to end
TAIL = 2000  # characters of a log that an error shows


class Program:
    """One director under one name, over all its starts. Its log goes to NAME.log in `folder`, line by line,
    and to whoever is in `heard`. `tree`: of another revision whose program is run."""

    def __init__(
        self,
        name: str,
        folder: Path,
        listen: Address,
        environment: Mapping[str, str],
        tree: Path | None = None,
    ) -> None:
        self.name, self.folder, self.listen, self.tree = name, folder, listen, tree
        self.environment = {**os.environ, **environment}
        self.process: asyncio.subprocess.Process | None = None
        self.heard: list[Callable[[str], None]] = []
        self.log = folder / f"{name}.log"
        self.reading: asyncio.Task[None] | None = None

    @property
    def ended(self) -> int | None:
        """Its exit code; None while it runs."""
        return self.process.returncode if self.process is not None else None

    async def start(self) -> None:
        """Returns once it takes connections; RuntimeError with the end of its log where it does not."""
        process = self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "onyxwick",
            env=self.environment,
            cwd=self.tree,
            stderr=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
        )
        assert process.stderr is not None
        self.reading = asyncio.get_running_loop().create_task(self._read(process.stderr))
        async with asyncio.timeout(READY_S):
            while True:
                if process.returncode is not None:
                    await self.reading
                    raise RuntimeError(self.log.read_text()[-TAIL:])
                with contextlib.suppress(OSError):
                    _, writer = await asyncio.open_connection(*self.listen)
                    writer.close()
                    return
                await asyncio.sleep(0.05)

    async def _read(self, stream: asyncio.StreamReader) -> None:
        with self.log.open("ab") as log:
            while line := await stream.readline():
                log.write(line)
                log.flush()
                text = line.decode(errors="replace")
                for listener in list(self.heard):
                    listener(text)

    def signal(self, number: signal.Signals) -> None:
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def kill(self) -> None:
        """SIGKILL; returns when it is gone."""
        self.signal(signal.SIGKILL)
        if self.process is not None:
            await self._drained()

    async def _drained(self) -> None:
        assert self.process is not None and self.process.stdout is not None
        await self.process.stdout.read()
        await self.process.wait()
        if self.reading is not None:
            await self.reading

    async def end(self) -> str:
        """SIGTERM, and SIGKILL where that does not end it; what was wrong, or an empty text."""
        if self.process is None:
            return ""
        if self.process.returncode is not None:
            return self.name
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(self._drained(), END_S)
        except TimeoutError:
            await self.kill()
            return f"{self.name} (does not end)"
        return f"{self.name} ({self.process.returncode})" if self.process.returncode else ""
