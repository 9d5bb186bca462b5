"""Tells a peer that reads slowly from one that has stopped, while writes to its connection wait.

A socket that accepts no more bytes says little about its peer: it becomes writable only when a good part of
its send buffer, which may hold several MB, is free. What the peer has acknowledged tells whether it reads.
Times are monotonic seconds, sizes are bytes.
"""

from __future__ import annotations

import socket

from onyxwick.net.delivery import MIN_PROGRESS_BYTES
from onyxwick.net.socket_state import in_flight_bytes


class PeerProgress:
    """When the peer last acknowledged bytes or the socket last accepted some, while a write waits."""

    __slots__ = ("_in_flight_bytes", "since_s", "sock")

    def __init__(self, sock: socket.socket | None) -> None:
        self.sock = sock
        self.since_s = 0.0  # time of the last progress while a write waits, or 0 if none waits
        self._in_flight_bytes = 0  # at `since_s`

    def mark(self, now_s: float) -> None:
        """Record that a write waits from now on, or has made progress now."""
        self.since_s = now_s
        self._in_flight_bytes = self._in_flight()

    def clear(self) -> None:
        """Record that no write waits."""
        self.since_s = 0.0

    def stopped_s(self, now_s: float) -> float:
        """Return for how long the peer has acknowledged less than `MIN_PROGRESS_BYTES`; 0 if no write waits.

        Progress since the last look counts as made now, so a peer that has stopped may look active once.
        """
        if not self.since_s:
            return 0.0
        in_flight = self._in_flight()
        acknowledged = self._in_flight_bytes - in_flight
        if acknowledged >= MIN_PROGRESS_BYTES or (acknowledged > 0 and not in_flight):
            self.since_s = now_s
            self._in_flight_bytes = in_flight
        return max(0.0, now_s - self.since_s)

    def _in_flight(self) -> int:
        return in_flight_bytes(self.sock) if self.sock is not None else 0
