"""Estimates how long a client's bytes may have waited in the socket before they were read.

A call's time limit counts from its arrival. After a pause in reading, a stall of the process or a late accept
the call may have arrived long before it is read. The estimate is never shorter than the actual wait. Times
are monotonic seconds.
"""

from __future__ import annotations

import math
import socket
import time

from onyxwick.net.fastcgi_parser import FastCgiParser
from onyxwick.net.socket_state import seconds_since_received, unread_bytes


class ArrivalClock:
    """Estimates the arrival times of the calls on one connection."""

    def __init__(self, sock: socket.socket, parser: FastCgiParser) -> None:
        self.sock = sock
        self.parser = parser
        self.unread_since_s = 0.0  # since when bytes in the socket may have been unread, or 0
        self._read_since_s = 0.0  # since when the bytes of the last read may have waited
        self._noted_at_s = 0.0
        self._noted_until_bytes: float = math.inf  # bytes received plus bytes unread at `_noted_at_s`

    def note_unread(self, is_paused: bool) -> None:
        """Record after a read that bytes are still unread, or that reading pauses, so that bytes may wait.

        Their wait counts from the time of this call, or as long as that of the bytes just read: both may have
        come in the same stall. Once all bytes that were unread then have been read, any
        bytes still unread arrived after this call, and their wait also counts from this call.
        """
        now_s = time.monotonic()
        unread = unread_bytes(self.sock)
        received = self.parser.buffer.received_bytes
        if not unread and not is_paused:
            self.unread_since_s = 0.0
            return
        if not self.unread_since_s:
            self.unread_since_s = min(now_s, self._read_since_s or now_s)
        elif received >= self._noted_until_bytes:
            self.unread_since_s = self._noted_at_s
        else:
            return
        self._noted_at_s = now_s
        self._noted_until_bytes = received + unread

    def waited_s(self, now_s: float, stalled_since_s: float) -> float:
        """Return the longest time for which the bytes just read may have waited.

        `stalled_since_s` is the time since which the event loop may have read nothing; `now_s` if it did not
        stall.
        """
        since_s = stalled_since_s
        if self.unread_since_s:
            since_s = min(since_s, self.unread_since_s)
        self._read_since_s = since_s
        if since_s >= now_s:
            return 0.0
        # The operating system reports only when the last bytes were received. With several calls in one read
        # that does not give the arrival of the first call.
        is_one_call = self.parser.has_at_most_one_call() and not unread_bytes(self.sock)
        received_s = seconds_since_received(self.sock) if is_one_call else None
        return now_s - since_s if received_s is None else min(now_s - since_s, received_s)
