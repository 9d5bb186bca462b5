"""What is on its way on one connection: written to the socket, and not yet taken by the peer."""

from __future__ import annotations

import socket

from onyxwick.core.shutdown import IN_FLIGHT_BYTES
from onyxwick.net.buffer import in_flight_bytes

CLIENT_STALLED_S = 10.0  # a client that takes nothing for so long is cut off
MIN_PROGRESS_BYTES = 16_384  # with fewer than so many, and not all, it takes nothing


class DeliveryTracker:
    """Looked at now and then; all times are monotonic seconds."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self._last_in_flight_bytes, self._progress_at_s = 0, 0.0  # as last noted, and since when so
        self._backlog_seen_at_s = 0.0

    def in_flight_bytes(self, now_s: float) -> int:
        """Bytes that the peer takes, and has not yet taken; none where it has stopped taking any."""
        flight = in_flight_bytes(self.sock)
        if flight <= 1:  # a written end counts as one
            self._last_in_flight_bytes = 0
            return 0
        taken = self._last_in_flight_bytes - flight
        if not self._last_in_flight_bytes or taken < 0 or taken >= MIN_PROGRESS_BYTES:
            self._last_in_flight_bytes, self._progress_at_s = flight, now_s
        if flight > IN_FLIGHT_BYTES:
            self._backlog_seen_at_s = now_s
        return flight if now_s - self._progress_at_s < CLIENT_STALLED_S else 0

    def seconds_since_backlog(self, now_s: float) -> float:
        """How long ago more than `IN_FLIGHT_BYTES` were last seen on their way."""
        return now_s - self._backlog_seen_at_s
