"""Reads how much memory a process holds, and records the peak over a time. Sizes are bytes.

The anonymous memory of a process is what it has allocated itself, without the files that it maps and without
the socket buffers of the operating system. Source: `/proc/PID/smaps_rollup` (proc_pid_smaps(5)).
"""

from __future__ import annotations

import threading
from pathlib import Path

SAMPLE_INTERVAL_S = 0.02
BYTES_PER_KIB = 1024


def anonymous_bytes(pid: int) -> int:
    """Return the anonymous memory of a process; 0 if it has ended."""
    try:
        text = Path(f"/proc/{pid}/smaps_rollup").read_text()
    except OSError:  # ESRCH or ENOENT: the process has ended
        return 0
    lines = (line for line in text.splitlines() if line.startswith("Anonymous:"))
    return next((int(line.split()[1]) * BYTES_PER_KIB for line in lines), 0)


class MemoryRecorder:
    """Samples the anonymous memory of one process in a thread until `stop` is called."""

    def __init__(self, pid: int, interval_s: float = SAMPLE_INTERVAL_S) -> None:
        self.pid = pid
        self.interval_s = interval_s
        self.peak_bytes = 0
        self.samples = 0
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def stop(self) -> int:
        """Stop sampling and return the peak."""
        self._stopped.set()
        self._thread.join()
        return self.peak_bytes

    def _run(self) -> None:
        while not self._stopped.wait(self.interval_s):
            self.peak_bytes = max(self.peak_bytes, anonymous_bytes(self.pid))
            self.samples += 1
