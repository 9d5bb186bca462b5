"""Estimates how long a client's bytes may have waited in the socket before they were read.

A call's time limit runs from its arrival. After a pause in reading, a stall of the process or a late accept
the call may have arrived long before it is read; the estimate is never shorter than the real wait. Times are
monotonic seconds.
"""

from __future__ import annotations

import math
import socket
import time

from onyxwick.net.fastcgi_parser import FastCgiParser
from onyxwick.net.socket_state import seconds_since_received, unread_bytes


class ArrivalClock:
    """The arrival times of one connection."""

    def __init__(self, sock: socket.socket, parser: FastCgiParser) -> None:
        self.sock = sock
        self.parser = parser
        self.unread_since_s = 0.0  # since when bytes in the socket may be unread, or 0
        self._noted_at_s = 0.0
        self._noted_until_bytes: float = math.inf  # all bytes received or unread at that time

    def note_unread(self, is_paused: bool) -> None:
        """Note after a read that bytes are still unread, or that reading pauses.

        They wait from now on. Once as many bytes are read as were unread then, what is unread arrived later.
        """
        now_s = time.monotonic()
        unread = unread_bytes(self.sock)
        received = self.parser.buffer.received_bytes
        if not unread and not is_paused:
            self.unread_since_s = 0.0
            return
        if not self.unread_since_s:
            self.unread_since_s = now_s
        elif received >= self._noted_until_bytes:
            self.unread_since_s = self._noted_at_s
        else:
            return
        self._noted_at_s = now_s
        self._noted_until_bytes = received + unread

    def waited_s(self, now_s: float, stalled_since_s: float) -> float:
        """How long what was just read may have waited.

        `stalled_since_s`: since when the event loop may not have read anything; `now_s` without a stall.
        """
        since_s = stalled_since_s
        if self.unread_since_s:
            since_s = min(since_s, self.unread_since_s)
        if since_s >= now_s:
            return 0.0
        # The system knows when the last bytes were received, which is not enough with several calls in a
        # read.
        is_one_call = self.parser.has_at_most_one_call() and not unread_bytes(self.sock)
        received_s = seconds_since_received(self.sock) if is_one_call else None
        return now_s - since_s if received_s is None else min(now_s - since_s, received_s)
