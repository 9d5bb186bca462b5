"""The system-call shim of one process: built with the C compiler, controlled through a mapped file."""

from __future__ import annotations

import errno
import mmap
import struct
import subprocess
from enum import IntEnum
from pathlib import Path

SOURCE = Path(__file__).with_name("shim.c")
CONTROL_BYTES = 4096
BUILD_TIMEOUT_S = 60.0


class Field(IntEnum):
    """Positions of the control fields, as in `struct control` of shim.c."""

    CLOCK_OFFSET_NS = 0
    ACCEPT_ERRNO = 1
    SOCKET_ERRNO = 2
    CONNECT_ERRNO = 3
    DISK_ERRNO = 4
    TRANSFER_BYTES = 5
    INTERRUPTED = 6
    BROKEN_ERRNO = 7


COUNTS = ("accept", "socket", "connect", "transfer", "disk", "wait", "broken")
FIRST_COUNT_INDEX = len(Field)
KILL_IN_WRITE = -1
ACCEPT_ERRORS = (errno.ECONNABORTED, errno.ENFILE, errno.EMFILE, errno.ENOBUFS, errno.ENOMEM, errno.EPROTO)
SOCKET_ERRORS = (errno.ENFILE, errno.EMFILE, errno.ENOBUFS, errno.ENOMEM)
CONNECT_ERRORS = (errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.ENOBUFS)
BROKEN_ERRORS = (errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ECONNRESET)
DISK_ERRORS = (errno.ENOSPC, errno.EIO)


class ShimError(Exception):
    """The shim cannot be built; the message has the compiler's output."""


def build(folder: Path) -> Path:
    """Build the library into a folder and return its path.

    Raises ShimError if there is no compiler or it fails.
    """
    library = folder / "shim.so"
    command = ["cc", "-O2", "-shared", "-fPIC", "-o", str(library), str(SOURCE), "-ldl"]
    try:
        done = subprocess.run(command, capture_output=True, text=True, timeout=BUILD_TIMEOUT_S, check=False)
    except (OSError, subprocess.TimeoutExpired) as error:
        raise ShimError(f"the shim cannot be built: {error}") from None
    if done.returncode:
        raise ShimError(f"the shim cannot be built: {done.stderr}")
    return library


class Control:
    """The control file of one process: its system call faults and how often it met them."""

    def __init__(self, path: Path) -> None:
        path.write_bytes(bytes(CONTROL_BYTES))
        self.path = path
        with path.open("r+b") as file:
            self._map = mmap.mmap(file.fileno(), CONTROL_BYTES)

    def set(self, name: Field, value: int) -> None:
        """Set a fault from now on; 0 ends it."""
        struct.pack_into("q", self._map, 8 * name, value)

    def clear(self) -> None:
        """End all faults, that of the clock included."""
        for name in Field:
            self.set(name, 0)

    def counts(self) -> dict[str, int]:
        """Return how often the process met each fault, by name."""
        found = struct.unpack_from(f"{len(COUNTS)}q", self._map, 8 * FIRST_COUNT_INDEX)
        return dict(zip(COUNTS, found, strict=True))

    def close(self) -> None:
        """Close the mapping."""
        self._map.close()

    def environment(self, library: Path, folder: Path) -> dict[str, str]:
        """Return the variables that load the shim into a process; file calls fail only within `folder`."""
        return {
            "LD_PRELOAD": str(library),
            "ONYXWICK_SHIM_CONTROL": str(self.path),
            "ONYXWICK_SHIM_FOLDER": str(folder),
        }
