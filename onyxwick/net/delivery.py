"""Tracks how many bytes of one connection are written to the socket and not yet acknowledged by the peer.

The state of the socket is sampled whenever a caller asks for it. Times are monotonic seconds.
"""

from __future__ import annotations

import socket

from onyxwick.core.shutdown import MAX_IN_FLIGHT_BYTES
from onyxwick.net.socket_state import in_flight_bytes

CLIENT_STALLED_S = 10.0
"""A client that acknowledges nothing for this time is disconnected."""
MIN_PROGRESS_BYTES = 16_384
"""Acknowledging fewer bytes than this counts as no progress, unless all bytes are acknowledged."""
END_OF_STREAM_BYTES = 1
"""A written end of stream (half-close) counts as this many unacknowledged bytes in the operating system."""


class DeliveryTracker:
    """Tracks the bytes in flight on one socket."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self._last_in_flight_bytes = 0
        self._progress_at_s = 0.0
        self._backlog_seen_at_s = 0.0

    def in_flight_bytes(self, now_s: float) -> int:
        """Return the bytes that the peer has not acknowledged yet, or 0 if it has stopped acknowledging."""
        in_flight = in_flight_bytes(self.sock)
        if in_flight <= END_OF_STREAM_BYTES:
            self._last_in_flight_bytes = 0
            return 0
        acknowledged = self._last_in_flight_bytes - in_flight
        if not self._last_in_flight_bytes or acknowledged < 0 or acknowledged >= MIN_PROGRESS_BYTES:
            self._last_in_flight_bytes = in_flight
            self._progress_at_s = now_s
        if in_flight > MAX_IN_FLIGHT_BYTES:
            self._backlog_seen_at_s = now_s
        return in_flight if now_s - self._progress_at_s < CLIENT_STALLED_S else 0

    def seconds_since_backlog(self, now_s: float) -> float:
        """Return how long ago more than `MAX_IN_FLIGHT_BYTES` were last observed in flight."""
        return now_s - self._backlog_seen_at_s
