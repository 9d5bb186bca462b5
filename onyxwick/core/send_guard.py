"""The last check before an attempt's first byte, however long the attempt has waited.

The guard takes the request, its earlier attempts and the state on which the attempt was decided, and returns
whether the attempt may be sent. It does no I/O itself. Times are in steady microseconds.
"""

from __future__ import annotations

import time
from collections.abc import Callable

from onyxwick.core.endpoints import DecisionSnapshot, EndpointTable
from onyxwick.core.feed_freshness import FeedFreshness
from onyxwick.core.request_lifecycle import RequestLifecycle
from onyxwick.core.stall_detector import StallDetector
from onyxwick.interface import Idempotency, RouterSettings

US_PER_S = 1e6
KEY_WINDOW_MARGIN_TICKS = 2
"""A retry with an idempotency key is sent at least this many ticks before the end of the key's window, so
that it arrives within the window."""


class SendGuard:
    """Decides whether an attempt may be sent. The transport calls it right before an attempt's first byte.

    `now` returns steady microseconds. `on_client_departed` is called for a request whose client disconnected
    without an event. `read_pending_feed` applies the feed's events that are not read yet; the feed sets it.
    """

    def __init__(
        self,
        settings: RouterSettings,
        endpoints: EndpointTable,
        stalls: StallDetector,
        now: Callable[[], int],
        on_client_departed: Callable[[RequestLifecycle], None],
        freshness: FeedFreshness,
    ) -> None:
        self.endpoints = endpoints
        self.stalls = stalls
        self.now = now
        self.on_client_departed = on_client_departed
        self.freshness = freshness
        self.classes = {request_class.name: request_class for request_class in settings.classes}
        self.key_window_margin_us = KEY_WINDOW_MARGIN_TICKS * settings.tick_us
        self.read_pending_feed: Callable[[], None] | None = None
        self._handled_stalls = 0
        self._handled_stalled_s = 0.0

    def may_send(
        self,
        lifecycle: RequestLifecycle,
        attempt_index: int,
        member: str,
        fill_source: str | None,
        snapshot: DecisionSnapshot,
    ) -> bool:
        """Return whether an attempt may be sent.

        The list must be recent enough to send on, the client must still wait, a retry must be safe, and the
        member and its source must still accept it.
        """
        self.read_feed_after_stall()
        if (
            not self.freshness.may_send(self.now())
            or lifecycle.client_departed
            or lifecycle.answered
            or not self.is_retry_permitted(lifecycle, attempt_index)
        ):
            return False
        if not lifecycle.request.is_client_waiting():
            self.on_client_departed(lifecycle)
            return False
        return self.endpoints.is_still_valid(member, fill_source, lifecycle.request, snapshot)

    def read_feed_after_stall(self) -> None:
        """After a stall, apply drains and purges that may be waiting in the feed's socket."""
        self.stalls.observe(time.monotonic())
        if self._handled_stalls != self.stalls.stall_count:
            self._handled_stalls = self.stalls.stall_count
            stalled_s = self.stalls.stalled_s - self._handled_stalled_s
            self._handled_stalled_s = self.stalls.stalled_s
            self.freshness.on_stall(int(stalled_s * US_PER_S), self.now())
            if self.read_pending_feed is not None:
                self.read_pending_feed()

    def is_retry_safe(self, lifecycle: RequestLifecycle) -> bool:
        """Return whether the client may retry.

        The request's class must be idempotent, or no attempt can have been executed.
        """
        request_class = self.classes.get(lifecycle.request.class_name)
        if request_class is not None and request_class.idempotency is Idempotency.IDEMPOTENT:
            return True
        return not any(lifecycle.started_at_us)

    def is_retry_permitted(self, lifecycle: RequestLifecycle, attempt_index: int) -> bool:
        """Return whether an attempt may be sent besides earlier ones that may have been executed."""
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
