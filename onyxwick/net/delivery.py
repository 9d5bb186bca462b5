"""What is on its way on one connection: written to the socket, and not yet taken by the peer."""

from __future__ import annotations

import socket

from onyxwick.core.shutdown import IN_FLIGHT_BYTES
from onyxwick.net.buffer import in_flight

STALLED_S = 10.0  # a client that takes nothing for so long is cut off
STALLED_BYTES = 16_384  # with fewer than so many, and not all, it takes nothing


class Delivery:
    """Looked at now and then; all times are monotonic seconds."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self._bytes, self._moved_at = 0, 0.0  # as last noted, and since when so
        self._many_at = 0.0

    def in_flight(self, now: float) -> int:
        """Bytes that the peer takes, and has not yet taken; none where it has stopped taking any."""
        flight = in_flight(self.sock)
        if flight <= 1:  # a written end counts as one
            self._bytes = 0
            return 0
        taken = self._bytes - flight
        if not self._bytes or taken < 0 or taken >= STALLED_BYTES:
            self._bytes, self._moved_at = flight, now
        if flight > IN_FLIGHT_BYTES:
            self._many_at = now
        return flight if now - self._moved_at < STALLED_S else 0

    def since_many_s(self, now: float) -> float:
        """How long ago more than `IN_FLIGHT_BYTES` were last seen on their way."""
        return now - self._many_at
