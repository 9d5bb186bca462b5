"""The largest requests of a class get their share: a long transfer is neither silence nor a lost answer."""

from __future__ import annotations

from dataclasses import replace

import pytest

from onyxwick.interface import Action, AnswerDetail, AttemptStatus, CancelAttempt, TimerFired
from tests.world import SETTINGS, RouterHarness, S, final_answers, forwards

QUICK_S, LONG_S, TURN_US = 0.25, 4.2, 20_000  # transfers; one request in ten is a long one


def _shares(gap_s: float, routers: int, asked: int = 150) -> tuple[float, float]:
    """Answered share of the long ones and of the others, asked for every `gap_s` seconds."""
    limits = replace(SETTINGS.limits, hedging=True)
    harness = RouterHarness(replace(SETTINGS, router_count=routers, zone_router_count=routers, limits=limits))
    under_way: dict[tuple[str, int], tuple[int, int, str]] = {}  # attempt: due, sent at, member
    long: dict[str, bool] = {}
    tries: dict[str, int] = {}
    answered: dict[str, bool] = {}

    def act(actions: list[Action]) -> None:
        for action in forwards(actions):
            number = tries[action.request_id] = tries.get(action.request_id, -1) + 1
            took = LONG_S if long[action.request_id] else QUICK_S
            under_way[action.request_id, number] = (harness.now + int(took * S), harness.now, action.member)
        for final in final_answers(actions):
            answered.setdefault(final.request_id, False)
        for cancel in [action for action in actions if isinstance(action, CancelAttempt)]:
            _, _, member = under_way.pop((cancel.request_id, cancel.attempt_index), (0, 0, ""))
            if member:
                act(
                    harness.end_attempt(
                        AttemptStatus.CANCELLED, cancel.request_id, cancel.attempt_index, member
                    )
                )

    following = harness.now
    while len(long) < asked or under_way:
        harness.now += TURN_US
        act(harness.handle(TimerFired("due")))
        for (request, number), (due, begun, member) in list(under_way.items()):
            if due <= harness.now and (request, number) in under_way:
                del under_way[request, number]
                answered.setdefault(request, True)
                detail, took = AnswerDetail.HIT, harness.now - begun
                act(
                    harness.end_attempt(
                        AttemptStatus.OK, request, number, member, latency_us=took, detail=detail
                    )
                )
        if harness.now >= following and len(long) < asked:
            following += int(gap_s * S)
            long[f"r{harness.request_count + 1}"] = len(long) % 10 == 9
            act(
                harness.request(
                    object_id=f"o{harness.request_count % 7}",
                    part=harness.request_count % 3,
                    expires_in_us=6 * S,
                )
            )
    both = [[answered[r] for r, is_long in long.items() if is_long is kind] for kind in (True, False)]
    return sum(both[0]) / len(both[0]), sum(both[1]) / len(both[1])


@pytest.mark.parametrize(
    ("gap_s", "routers", "least"),
    [
        (0.3, 3, 2 / 3),
        (1.0, 3, 2 / 3),
        (1.0, 40, 2 / 3),
        (2.0, 200, 2 / 3),
        (0.1, 3, 1 / 2),
        (0.1, 40, 1 / 2),
    ],
)
def test_the_largest_requests_get_their_share(gap_s: float, routers: int, least: float) -> None:
    """Two thirds of the others' on quiet days, half where room is short (the last rows)."""
    long, others = _shares(gap_s, routers)
    assert others > 0.3 and long >= least * others, (long, others)
