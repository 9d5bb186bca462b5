"""A flood of bad input fills no log."""

from __future__ import annotations

import logging

from onyxwick.throttle import MOST_PER_S, Throttle


def test_a_flood_of_lines_is_cut_and_counted() -> None:
    now = [0.0]
    throttle = Throttle(lambda: now[0])

    def line(place: int) -> logging.LogRecord:
        return logging.LogRecord("x", logging.WARNING, "x.py", place, "bad %s", ("input",), None)

    assert sum(throttle.filter(line(1)) for _ in range(500)) == MOST_PER_S
    assert throttle.filter(line(2)), "another place has lines of its own"
    now[0] = 1.0
    later = line(1)
    assert throttle.filter(later) and later.getMessage() == "bad input (490 such lines left out)"
