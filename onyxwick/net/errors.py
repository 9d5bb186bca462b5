"""Errors of the network layer, and the classification of failed system calls.

A system call fails either for want of something on this machine (descriptors, memory, local ports) or because
of the other side. Only the latter says something about a cache or a client.
"""

from __future__ import annotations

import errno

from onyxwick.errors import OnyxwickError


class NetError(OnyxwickError):
    """Base of all errors that this package raises itself."""


class FastCgiFramingError(NetError):
    """A client's FastCGI records cannot be delimited any more: the connection has to be closed."""


class FastCgiPairError(NetError, ValueError):
    """FastCGI name-value pairs whose lengths do not fit the data, or whose CONTENT_LENGTH is no number."""


class BadCallError(NetError, ValueError):
    """A complete call that cannot be read as a request; the message names the field."""


class RespProtocolError(NetError):
    """A cache's reply violates RESP or the caches' protocol: the connection has to be closed."""


class ConnectionLimitError(NetError, OSError):
    """The bound on connections to caches is reached and none can be closed; nothing was sent."""

    def __init__(self, limit: int) -> None:
        super().__init__(f"all {limit} connections to caches are in use")
        self.limit = limit


class FeedConnectionError(NetError, OSError):
    """The connection to the coordinator's feed is of no further use; the caller reconnects."""


class EventApplyError(FeedConnectionError):
    """An event of the feed was read but could not be applied; it is requested again on a new connection."""

    def __init__(self, index: int) -> None:
        super().__init__(f"event {index} could not be applied; it is requested again")
        self.index = index


class UnknownEventError(NetError, ValueError):
    """An event of the distribution feed of a type that this version does not know."""


OUT_OF_RESOURCES = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})
"""This machine lacks descriptors or memory for the moment: an immediate retry would fail again."""

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
    """Whether a connect or bind failed for want of something on this machine."""
    return error.errno in _LOCAL


def is_exhausted(error: OSError) -> bool:
    """Whether a call failed for want of descriptors or memory.

    Any other error of accept(2) concerns one connection that ended before it was accepted; the next one can
    be accepted at once (accept(2), "Error handling").
    """
    return error.errno in OUT_OF_RESOURCES
