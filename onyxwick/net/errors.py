"""Which errors of system calls pass, and whose they are: of this machine, or of the other side."""

from __future__ import annotations

import errno

OUT_OF_RESOURCES = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})
"""This machine has too little of something for a moment: trying again at once would fail again."""

_LOCAL = OUT_OF_RESOURCES | {
    errno.EADDRINUSE,
    errno.EADDRNOTAVAIL,
    errno.EAGAIN,
    errno.EINTR,
    errno.ENETDOWN,
    errno.ENETUNREACH,
    errno.EPERM,
}


def is_local(error: OSError) -> bool:
    """Did a connect fail for want of something on this machine? It says nothing of the other side then."""
    return error.errno in _LOCAL


def is_exhausted(error: OSError) -> bool:
    """Did a call fail for want of descriptors or memory? Else an accept has told of one connection that had
    ended before it was taken, and the next one waits (accept(2), "Error handling")."""
    return error.errno in OUT_OF_RESOURCES
