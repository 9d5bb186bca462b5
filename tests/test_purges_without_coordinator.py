"""Real directors whose coordinator ends with purges that it has not told: they accept no purged copy.

See the table of coordinators that end in docs/design/freshness.md.
"""

from __future__ import annotations

import threading
import time
from collections.abc import Callable
from pathlib import Path

from tests.freshness_director import (
    Coordinator,
    FreshnessDirector,
    freshness_director,
    last_index_line,
)

PURGED = (0, 1)  # of the 4 groups of the clients' objects
NOTIFIED_AFTER_BREAK_S, NOTIFIED_AFTER_STOP_S = 2.0, 4.0
PURGE_GRACE_S = 1.05
RETENTION_S = 6.0
OUTAGE_S = 7.0
WRITTEN_S = 0.1
"""Between the last bytes of a coordinator and its end, so that they reach the director before it."""
CONFIRM_TIMEOUT_S, CHECK_INTERVAL_S = 10.0, 0.02
MIN_JUDGED = 10
"""Requests of purged groups that must have come while the rule binds, so that a run shows something."""
MIN_SERVED_SHARE = 0.8
REQUEST_INTERVAL_S = 0.03

End = Callable[[Coordinator], None]
"""Ends a coordinator with purges that it has not told."""


def _purge_untold(coordinator: Coordinator) -> None:
    coordinator.is_silent = True
    coordinator.purge(*PURGED)


def _in_event(coordinator: Coordinator) -> None:
    _purge_untold(coordinator)
    line = coordinator.events[-len(PURGED)]
    for connection in coordinator.connections:
        connection.sendall(line[: len(line) // 2])
    time.sleep(WRITTEN_S)
    coordinator.stop_listening()


def _before_event(coordinator: Coordinator) -> None:
    _purge_untold(coordinator)
    coordinator.stop_listening()


def _after_index(coordinator: Coordinator) -> None:
    _purge_untold(coordinator)
    for connection in coordinator.connections:
        connection.sendall(last_index_line(1 + len(coordinator.events)))
    time.sleep(WRITTEN_S)
    coordinator.stop_listening()


def _gone_at_a_start(coordinator: Coordinator) -> None:
    _purge_untold(coordinator)


ENDS: dict[End, float] = {
    _in_event: NOTIFIED_AFTER_BREAK_S,
    _before_event: NOTIFIED_AFTER_BREAK_S,
    _after_index: NOTIFIED_AFTER_BREAK_S,
    _purge_untold: NOTIFIED_AFTER_STOP_S,  # open and silent
    _gone_at_a_start: NOTIFIED_AFTER_BREAK_S,
}


def _play(director: FreshnessDirector, end: End, faults: list[str]) -> None:
    coordinator = director.coordinator
    director.client.interval_s = REQUEST_INTERVAL_S
    if end is _gone_at_a_start:
        end(coordinator)
        director.start()
        director.wait_ready()
    else:
        coordinator.listen()
        director.start()
        director.wait_ready()
        director.client.send_for(1.0)
        end(coordinator)
    director.client.send_for(OUTAGE_S)
    purged_at_s = min(coordinator.purged_at_s.values())
    binds_s = purged_at_s + ENDS[end] + PURGE_GRACE_S
    until_s = purged_at_s + RETENTION_S
    judged = [each for each in director.received if binds_s < each.at_s < until_s and each.group in PURGED]
    accepted = director.purged_copies_accepted(binds_s, until_s)
    name = getattr(end, "__name__", "")
    faults += [f"{name}: {text}" for text in accepted[:3]]
    if len(judged) < MIN_JUDGED:
        faults.append(f"{name}: only {len(judged)} requests came while the rule binds")
    if director.client.served < MIN_SERVED_SHARE * director.client.sent:
        faults.append(f"{name}: {director.client.served} of {director.client.sent} served")
    _return(coordinator, director, faults, name)


def _confirmations(director: FreshnessDirector) -> int:
    """Return how often the feed has confirmed the list so far."""
    return sum(each["now"] == "current" for each in director.events("feed state changed"))


def _return(coordinator: Coordinator, director: FreshnessDirector, faults: list[str], name: str) -> None:
    """Have the coordinator return, and check that copies of any age will do for what is not purged."""
    confirmed = _confirmations(director)
    coordinator.is_silent = False
    if coordinator.listener is None:
        coordinator.listen()
    deadline_s = time.monotonic() + CONFIRM_TIMEOUT_S
    while _confirmations(director) == confirmed and time.monotonic() < deadline_s:
        time.sleep(CHECK_INTERVAL_S)
    returned_s = time.monotonic()
    director.client.send_for(0.5)
    kept = [each for each in director.received if each.at_s > returned_s and each.group not in PURGED]
    if not kept or any(each.max_age_s < RETENTION_S for each in kept):
        faults.append(f"{name}: copies are limited after the coordinator's return")


# Guards against: purged copies are served while the coordinator is down that had the purge and did not tell
# it: it broke off in the event or before it, told its number alone, fell silent, or was gone at a start.
def test_no_purged_copy_is_accepted_while_the_coordinator_that_has_the_purge_is_gone(tmp_path: Path) -> None:
    faults: list[str] = []

    def play(number: int, end: End) -> None:
        with freshness_director(tmp_path / str(number), Coordinator(), seed=number + 1) as director:
            try:
                _play(director, end, faults)
            except Exception as error:  # of a thread: reported by the test
                faults.append(f"{getattr(end, '__name__', '')}: {error!r}")

    threads = [threading.Thread(target=play, args=each) for each in enumerate(ENDS)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert faults == []
