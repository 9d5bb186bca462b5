"""The simulator's adapter: reads events, writes actions, and reports bad input in a single line."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).parent.parent
ENLIST = (
    "ENLIST 3 42 az=edge-1 instances=2 kinds=box,parent,origin zones=hub,edge-1 unknown.key=7 grades.count=2 "
    "grades.0.name=chunk grades.0.repeat=free grades.0.slo_us=500000 grades.0.deadline_us=6000000 "
    "grades.1.name=save grades.1.repeat=single_shot grades.1.slo_us=800000 grades.1.deadline_us=3000000 "
    "family_info.class_write=false,true family_info.second_tier_kind=1 family_info.source_kind=2 "
    "family_info.zone_balancers=0,2 family_info.parent_floor=0.06 family_info.upper_cold_us=22000000 "
    "family_info.purge_settles_us=6000000 policy_limits.attempts_cap=4 rules.start_capacity=0.2 "
    "rules.cold_us=17000000 rules.tip_multiple=3 rules.fall_us=2000000"
)
ENDPOINT_LIST = """BACKENDS_CHANGED 3 1 restored 3
ROW c0:1 edge-1 box 0 up 6 -
ROW p0:1 hub parent 0 up 20 -
ROW o0:1 hub origin 0 up 20 -"""


def run_adapter(*lines: str, seed: str = "0") -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "onyxwick.simulator_adapter"],
        input="\n".join(lines) + "\n",
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=False,
        env={**os.environ, "PYTHONHASHSEED": seed},
    )


def test_an_instance_from_its_start_to_its_restart() -> None:
    input_lines = (
        "BATCH 100",
        "FLUSH",
        "BATCH 1000",
        ENLIST,
        ENDPOINT_LIST,
        "FLUSH",
        "BATCH 2000",
        "ACCEPT 3 r1 chunk - obj 6000000 - 4 0 -",
        "FUTURE 3 something",
        "FLUSH",
        "BATCH 3000",
        "ANSWER 3 r1 - 0 - c0:1 301 900 0 -",
        "LEFT 3 none",
        "REMINDER 3 x",
        "FLUSH",
        "BATCH 4000",
        "RECALLED 3 4 - 100",
        "ACCEPT 3 r2 save - obj 3000000 - 4 0 4",
        "FLUSH",
        "BATCH 5000",
        "KILL 3",
        ENLIST,
        ENDPOINT_LIST,
        "FLUSH",
    )
    runs = [run_adapter(*input_lines, seed=seed) for seed in ("0", "1")]
    assert runs[0].returncode == 0 and runs[0].stdout == runs[1].stdout
    replies = runs[0].stdout.split("READY\n")
    assert replies[0] == "" and len(replies) == 7
    assert "DELIVER_VIA 3 r1 c0:1 6000000 p0:1 1 0 0" in replies[2]
    assert "DELIVER_VIA 3 r1 c0:1" in replies[3] and "DELIVER_VIA 3 r2 c0:1 3000000 o0:1 0" in replies[4]


def test_bad_input_ends_the_adapter_with_a_single_error_line() -> None:
    for lines, words in (
        (("BATCH x", "FLUSH"), ("line 1", "clock")),
        (("BATCH 5", ENLIST.replace("rules.fall_us=2000000", ""), "FLUSH"), ("line 2", "rules.fall_us")),
        (("BATCH 5", "REMINDER 9 x", "FLUSH"), ("line 2", "instance")),
        (("BATCH 5", ENLIST, "ACCEPT 3 r1 chunk - obj soon - 4 0 -", "FLUSH"), ("line 3", "expires_in_us")),
        (("BATCH 5", ENLIST, "ANSWER 3 r1 0 0 - c0:1 999 5 0 -", "FLUSH"), ("line 3", "how")),
        (("REMINDER 3 x",), ("line 1", "outside a batch")),
    ):
        done = run_adapter(*lines)
        assert done.returncode != 0 and done.stderr.count("\n") == 1
        assert all(word in done.stderr for word in words), done.stderr


def test_end_of_input_exits_with_success() -> None:
    assert run_adapter("BATCH 5", "FLUSH").returncode == 0
