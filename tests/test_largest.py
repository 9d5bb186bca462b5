"""Tests that long transfers get their share of answers.

The router must mistake a long transfer neither for a silent cache nor for a lost answer.
"""

from __future__ import annotations

from dataclasses import replace
from typing import NamedTuple

import pytest

from onyxwick.interface import Action, AnswerDetail, AttemptStatus, CancelAttempt, TimerFired
from tests.router_harness import SETTINGS, US_PER_S, RouterHarness, final_answers, forwards

SHORT_TRANSFER_S = 0.25
LONG_TRANSFER_S = 4.2
TICK_US = 20_000
REQUESTS_PER_LONG_TRANSFER = 10
"""One of this many requests is a long transfer."""


class _Transfer(NamedTuple):
    ends_at_us: int
    sent_at_us: int
    member: str


class _Load:
    """Requests of which some need long transfers. The caches answer every attempt that is not cancelled."""

    def __init__(self, routers: int) -> None:
        limits = replace(SETTINGS.limits, hedging=True)
        self.harness = RouterHarness(
            replace(SETTINGS, router_count=routers, zone_router_count=routers, limits=limits)
        )
        self.transfers: dict[tuple[str, int], _Transfer] = {}
        self.is_long: dict[str, bool] = {}
        self.last_attempt: dict[str, int] = {}
        self.answered: dict[str, bool] = {}

    def perform(self, actions: list[Action]) -> None:
        for action in forwards(actions):
            number = self.last_attempt.get(action.request_id, -1) + 1
            self.last_attempt[action.request_id] = number
            transfer_s = LONG_TRANSFER_S if self.is_long[action.request_id] else SHORT_TRANSFER_S
            ends_at_us = self.harness.now + int(transfer_s * US_PER_S)
            transfer = _Transfer(ends_at_us, self.harness.now, action.member)
            self.transfers[action.request_id, number] = transfer
        for final in final_answers(actions):
            self.answered.setdefault(final.request_id, False)
        for cancel in [action for action in actions if isinstance(action, CancelAttempt)]:
            self.cancel(cancel)

    def cancel(self, cancel: CancelAttempt) -> None:
        transfer = self.transfers.pop((cancel.request_id, cancel.attempt_index), None)
        if transfer is not None:
            status = AttemptStatus.CANCELLED
            self.perform(
                self.harness.end_attempt(status, cancel.request_id, cancel.attempt_index, transfer.member)
            )

    def finish_transfers(self) -> None:
        for key, transfer in list(self.transfers.items()):
            if transfer.ends_at_us > self.harness.now or key not in self.transfers:
                continue
            request, number = key
            del self.transfers[key]
            self.answered.setdefault(request, True)
            latency_us = self.harness.now - transfer.sent_at_us
            ended = self.harness.end_attempt(
                AttemptStatus.OK,
                request,
                number,
                transfer.member,
                latency_us=latency_us,
                detail=AnswerDetail.HIT,
            )
            self.perform(ended)

    def ask(self) -> None:
        asked = self.harness.request_count
        self.is_long[f"r{asked + 1}"] = (
            len(self.is_long) % REQUESTS_PER_LONG_TRANSFER == REQUESTS_PER_LONG_TRANSFER - 1
        )
        self.perform(
            self.harness.request(object_id=f"o{asked % 7}", part=asked % 3, expires_in_us=6 * US_PER_S)
        )

    def answered_share(self, is_long: bool) -> float:
        answers = [self.answered[request] for request, long in self.is_long.items() if long is is_long]
        return sum(answers) / len(answers)


def _answered_shares(interval_s: float, routers: int, requests: int = 150) -> tuple[float, float]:
    """Send requests at a fixed interval; return the answered shares of long requests and of the others."""
    load = _Load(routers)
    next_at_us = load.harness.now
    while len(load.is_long) < requests or load.transfers:
        load.harness.now += TICK_US
        load.perform(load.harness.handle(TimerFired("due")))
        load.finish_transfers()
        if load.harness.now >= next_at_us and len(load.is_long) < requests:
            next_at_us += int(interval_s * US_PER_S)
            load.ask()
    return load.answered_share(is_long=True), load.answered_share(is_long=False)


@pytest.mark.parametrize(
    ("interval_s", "routers", "lowest_ratio"),
    [
        (0.3, 3, 2 / 3),
        (1.0, 3, 2 / 3),
        (1.0, 40, 2 / 3),
        (2.0, 200, 2 / 3),
        (0.1, 3, 1 / 2),
        (0.1, 40, 1 / 2),
    ],
)
def test_the_largest_requests_get_their_share(interval_s: float, routers: int, lowest_ratio: float) -> None:
    """Their share must be two thirds of the others' at low load, half if capacity is short (last rows)."""
    long, others = _answered_shares(interval_s, routers)
    assert others > 0.3 and long >= lowest_ratio * others, (long, others)
