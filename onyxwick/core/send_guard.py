"""The last check before an attempt's first byte, however long the attempt has waited. No I/O of its own.

Input: the request, its earlier attempts, and what the attempt was decided on. Output: whether it may be sent.
Times in steady microseconds.
"""

from __future__ import annotations

import time
from collections.abc import Callable

from onyxwick.core.endpoints import DecisionSnapshot, EndpointTable
from onyxwick.core.request_lifecycle import RequestLifecycle
from onyxwick.core.stall_detector import StallDetector
from onyxwick.interface import Idempotency, RouterSettings

KEY_WINDOW_MARGIN_TICKS = 2
"""A retry with an idempotency key is sent so many ticks before its window ends, to arrive within it."""


class SendGuard:
    """Asked by the transport right before an attempt's first byte.

    `now`: steady microseconds. `on_client_departed`: called for a request whose client has disconnected
    unnoticed. `read_pending_feed`: applies what the feed has sent and nobody has read yet; set by the feed.
    """

    def __init__(
        self,
        settings: RouterSettings,
        endpoints: EndpointTable,
        stalls: StallDetector,
        now: Callable[[], int],
        on_client_departed: Callable[[RequestLifecycle], None],
    ) -> None:
        self.endpoints = endpoints
        self.stalls = stalls
        self.now = now
        self.on_client_departed = on_client_departed
        self.classes = {request_class.name: request_class for request_class in settings.classes}
        self.key_window_margin_us = KEY_WINDOW_MARGIN_TICKS * settings.tick_us
        self.read_pending_feed: Callable[[], None] | None = None
        self._handled_stalls = 0

    def may_send(
        self,
        lifecycle: RequestLifecycle,
        attempt_index: int,
        member: str,
        fill_source: str | None,
        snapshot: DecisionSnapshot,
    ) -> bool:
        """Whether the client still waits, a retry is safe, and the member and its source still take it."""
        self._read_feed_after_stall()
        if (
            lifecycle.client_departed
            or lifecycle.answered
            or not self.is_retry_permitted(lifecycle, attempt_index)
        ):
            return False
        if not lifecycle.request.is_wanted():
            self.on_client_departed(lifecycle)
            return False
        return self.endpoints.is_still_valid(member, fill_source, lifecycle.request, snapshot)

    def _read_feed_after_stall(self) -> None:
        """After a stall, drains and purges may be waiting in the feed's socket: apply them before sending."""
        self.stalls.observe(time.monotonic())
        if self._handled_stalls != self.stalls.stall_count:
            self._handled_stalls = self.stalls.stall_count
            if self.read_pending_feed is not None:
                self.read_pending_feed()

    def is_retry_safe(self, lifecycle: RequestLifecycle) -> bool:
        """Whether the client may retry: its class is idempotent, or no attempt can have been executed."""
        request_class = self.classes.get(lifecycle.request.class_name)
        if request_class is not None and request_class.idempotency is Idempotency.IDEMPOTENT:
            return True
        return not any(lifecycle.started_at_us)

    def is_retry_permitted(self, lifecycle: RequestLifecycle, attempt_index: int) -> bool:
        """Whether an attempt may be sent beside or after earlier ones that may have been executed."""
        request_class = self.classes.get(lifecycle.request.class_name)
        if request_class is None or request_class.idempotency is Idempotency.IDEMPOTENT:
            return True
        possibly_executed = [at_us for at_us in lifecycle.started_at_us[:attempt_index] if at_us]
        if not possibly_executed:
            return True
        if request_class.idempotency is not Idempotency.WITH_KEY:
            return False
        elapsed_us = self.now() - min(possibly_executed)
        return elapsed_us < request_class.key_window_us - self.key_window_margin_us
