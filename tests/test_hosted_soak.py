"""Accepted changes, restarts and other clients of one real director: a short soak, and large zones."""

from __future__ import annotations

from pathlib import Path

import pytest

from tests.hosted_soak import HostedSoak, play

SHORT_SOAK_S = 25.0
ZONES = 4
NAMES = 10_500
MAX_MEDIAN_S = 0.1
"""Beside PUTs of 10,500 names the median was 0.6 s when a thread kept the interpreter's lock for 5 ms."""


# Guards against: 429 after an accepted call, starts that take as long as all zones, zones lost by an end.
@pytest.mark.parametrize("seed", [1, 2])
def test_a_short_soak_of_the_hosted_fronts_breaks_no_rule(seed: int, tmp_path: Path) -> None:
    assert not play(seed, SHORT_SOAK_S, tmp_path).findings.broken


# Guards against: large zones that slow down the platform's front as they are put, and as a start reads them.
def test_large_zones_neither_hold_up_a_start_nor_other_clients(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("tests.hosted_soak.SIZES", (NAMES,))

    def act(soak: HostedSoak) -> None:
        if len(soak.serials) < ZONES:
            soak._put("yards", f"z{len(soak.serials)}.example.", 201)
        else:
            soak._ask()

    monkeypatch.setattr(HostedSoak, "_act", act)
    soak = play(1, SHORT_SOAK_S, tmp_path)
    latencies = sorted(soak.client.latencies_s)
    assert not soak.findings.broken and len(soak.serials) == ZONES
    assert latencies[len(latencies) // 2] < MAX_MEDIAN_S
