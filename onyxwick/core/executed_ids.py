"""The ids of ended requests that must not run twice and may have run, so that none runs again under its id.

A client gives each request a new id. One whose id comes again, after its client has left, may be the same
request. Times are in steady microseconds.
"""

from __future__ import annotations

MAX_REMEMBERED_IDS = 16_384
"""The maximum number of remembered ids; the oldest are forgotten first."""
REMEMBERED_US = 60_000_000
"""How long an id is remembered, which is longer than a client repeats a request."""


class ExecutedIds:
    """Remembers ids for a limited time, and a limited number of them."""

    def __init__(self) -> None:
        self._ended_at_us: dict[str, int] = {}  # oldest first

    def __len__(self) -> int:
        return len(self._ended_at_us)

    def add(self, request_id: str, now_us: int) -> None:
        """Remember the id of a request that has ended and may have run."""
        self._ended_at_us.pop(request_id, None)  # so that it is added at the end
        self._ended_at_us[request_id] = now_us
        self._forget_expired(now_us)
        if len(self._ended_at_us) > MAX_REMEMBERED_IDS:
            del self._ended_at_us[next(iter(self._ended_at_us))]

    def contains(self, request_id: str, now_us: int) -> bool:
        """Return whether a request with this id may have run lately."""
        ended_at_us = self._ended_at_us.get(request_id)
        return ended_at_us is not None and now_us - ended_at_us < REMEMBERED_US

    def _forget_expired(self, now_us: int) -> None:
        while self._ended_at_us:
            oldest = next(iter(self._ended_at_us))
            if now_us - self._ended_at_us[oldest] < REMEMBERED_US:
                return
            del self._ended_at_us[oldest]
