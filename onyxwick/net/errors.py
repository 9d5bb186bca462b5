"""Errors of the network layer, and the classification of failed system calls.

A system call fails either because this machine lacks a resource (descriptors, memory, local ports) or because
of the peer. Only a failure of the second kind says something about the health of a cache or a client.
"""

from __future__ import annotations

import errno

from onyxwick.errors import OnyxwickError


class NetError(OnyxwickError):
    """Base class of all errors that this package defines."""


class FastCgiFramingError(NetError):
    """The boundaries of a client's FastCGI records are lost, so that the connection has to be closed."""


class FastCgiPairError(NetError, ValueError):
    """The lengths in FastCGI name-value pairs do not fit the data, or CONTENT_LENGTH is not a number."""


class BadCallError(NetError, ValueError):
    """A complete call cannot be converted into a request; the message names the invalid field."""


class RespProtocolError(NetError):
    """A cache's reply violates RESP or the caches' protocol, so that the connection has to be closed."""


class ConnectionLimitError(NetError, OSError):
    """The limit on connections to caches is reached and none of them can be closed; nothing was sent."""

    def __init__(self, limit: int) -> None:
        super().__init__(f"connection limit reached: all {limit} connections to caches are in use")
        self.limit = limit


class FeedConnectionError(NetError, OSError):
    """The connection to the coordinator's feed is no longer usable; the caller reconnects."""


class EventApplyError(FeedConnectionError):
    """A feed event was read but could not be applied; it is requested again on a new connection."""

    def __init__(self, index: int) -> None:
        super().__init__(f"feed event {index} could not be applied; it is requested again")
        self.index = index


class UnknownEventError(NetError, ValueError):
    """An event of the distribution feed has a type that this version does not know."""


OUT_OF_RESOURCES_ERRNOS = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})
"""Errors by which this machine lacks descriptors or memory for now: an immediate retry would fail again."""

_LOCAL_ERRNOS = OUT_OF_RESOURCES_ERRNOS | {
    errno.EADDRINUSE,
    errno.EADDRNOTAVAIL,
    errno.EAGAIN,
    errno.EINTR,
    errno.ENETDOWN,
    errno.ENETUNREACH,
    errno.EPERM,
}


def is_local_error(error: OSError) -> bool:
    """Return whether a connect or bind failed because of this machine and not because of the peer."""
    return error.errno in _LOCAL_ERRNOS


def is_resource_exhausted(error: OSError) -> bool:
    """Return whether a system call failed because descriptors or memory were exhausted.

    Any other error of accept(2) concerns a single connection that ended before it was accepted; the next
    connection can be accepted at once (accept(2), "Error handling").
    """
    return error.errno in OUT_OF_RESOURCES_ERRNOS
