"""The one guard at the moment of an attempt's send, however long it waited before. No I/O of its own."""

from __future__ import annotations

import time
from collections.abc import Callable

from onyxwick.core.endpoints import DecisionSnapshot, EndpointTable
from onyxwick.core.request_lifecycle import RequestLifecycle
from onyxwick.core.stall import StallWatch
from onyxwick.interface import Idempotency, RouterSettings


class SendGuard:
    """Asked by the transport right before an attempt's first byte.

    `now`: steady microseconds; `leave`: called for a request whose client turns out to have left;
    `catch_up`: takes in what the feed has brought and nobody has read yet.
    """

    def __init__(
        self,
        settings: RouterSettings,
        members: EndpointTable,
        stalls: StallWatch,
        now: Callable[[], int],
        leave: Callable[[RequestLifecycle], None],
    ) -> None:
        self.members, self.stalls, self.now, self.leave = members, stalls, now, leave
        self.kinds = {c.name: c for c in settings.classes}
        self.margin_us = 2 * settings.tick_us
        self.catch_up: Callable[[], None] | None = None
        self._stalls_seen = 0

    def may_send(
        self,
        lifecycle: RequestLifecycle,
        number: int,
        member: str,
        source: str | None,
        decided: DecisionSnapshot,
    ) -> bool:
        """Is it still wanted, may it be a repeat, is its way still open?"""
        self._catch_up_after_stall()
        if lifecycle.client_departed or lifecycle.answered or not self.may_repeat(lifecycle, number):
            return False
        if not lifecycle.request.is_wanted():
            self.leave(lifecycle)
            return False
        return self.members.is_still_valid(member, source, lifecycle.request, decided)

    def _catch_up_after_stall(self) -> None:
        """After a stop of the process or a long turn of its loop, what was told meanwhile stands in the
        feed's socket: it is taken in before anything is sent."""
        self.stalls.turn(time.monotonic())
        if self._stalls_seen != self.stalls.stalls:
            self._stalls_seen = self.stalls.stalls
            if self.catch_up is not None:
                self.catch_up()

    def is_harmless_again(self, lifecycle: RequestLifecycle) -> bool:
        """May its client be told to try it again: is its class safe to repeat, or has nothing of it run?"""
        kind = self.kinds.get(lifecycle.request.class_name)
        return (kind is not None and kind.idempotency is Idempotency.IDEMPOTENT) or not any(
            lifecycle.ordered_at
        )

    def may_repeat(self, lifecycle: RequestLifecycle, number: int) -> bool:
        """May an attempt go out beside or after the earlier ones of its request that may have run?"""
        kind = self.kinds.get(lifecycle.request.class_name)
        if kind is None or kind.idempotency is Idempotency.IDEMPOTENT:
            return True
        ran = [at for at in lifecycle.ordered_at[:number] if at]
        if not ran:
            return True
        # A repeat by key is safe for a while after the first send; it must have arrived whole by then.
        return (
            kind.idempotency is Idempotency.WITH_KEY
            and self.now() - min(ran) < kind.key_window_us - self.margin_us
        )
