"""The hard cases of a lost site on real directors: processes, relays between all parties, faults at events.

Each case is one short run of the bench of processes; runs go beside each other. Rules are asserted always,
service only after the last fault has healed.
"""

from __future__ import annotations

import json
import subprocess
import sys
from collections.abc import Iterator
from concurrent.futures import Future, ThreadPoolExecutor
from pathlib import Path

import pytest

from onyxwick.lab.faults import checkers as c
from onyxwick.lab.faults.history import History, read
from tests.exchange import ROOT
from tests.router_harness import S

LOSS = ROOT / "examples" / "lab" / "faults" / "site-loss.hcl"
AT_ONCE, FIRST_SLOT = 3, 40

CASES = {
    "second loss in the return": """
fault "one" {
  at = "2s"
  what = "lose"
  name = "north"
  for = "2s"
}
fault "two" {
  says = "site.*north.*returning"
  what = "lose"
  name = "west"
  for = "2s"
}
""",
    "boxes gone and the list well": """
fault "list" {
  at = "1s"
  what = "unlisted"
  name = "all"
}
fault "boxes" {
  at = "3s"
  what = "lose"
  name = "north"
  how = "boxes"
  for = "5s"
}
""",
    "one link cut one way, then our own": """
fault "one way" {
  at = "2s"
  what = "cut-back"
  name = "west|north"
  for = "3s"
}
fault "ours" {
  at = "6s"
  what = "cut"
  name = "south|outside"
  for = "3s"
}
""",
    "two of three in a purge of all": """
fault "purge" {
  at = "2s"
  what = "purge"
  name = "all"
}
fault "one" {
  at = "2s"
  what = "lose"
  name = "north"
  for = "4s"
}
fault "two" {
  at = "2500ms"
  what = "lose"
  name = "west"
  for = "4s"
}
""",
    "stopped through it, killed as it leaves": """
fault "loss" {
  at = "2s"
  what = "lose"
  name = "north"
  for = "4s"
}
fault "stop" {
  at = "1800ms"
  what = "stop"
  name = "n1"
  for = "5s"
}
fault "kill" {
  says = "site.*north.*evacuating"
  director = "n2"
  what = "kill"
  name = "n2"
  for = "500ms"
}
""",
    "a real loss as a drill begins": """
fault "drill" {
  at = "2s"
  what = "drill"
  name = "west"
  amount = 20
}
fault "loss" {
  says = "site.*west.*evacuating"
  what = "lose"
  name = "north"
  for = "3s"
}
""",
}


def _scenario(name: str, folder: Path) -> Path:
    """Three depots with a director each, 14 s, a third of the load, no stated pace longer than it must be."""
    told = LOSS.read_text().replace('"60s"', '"14s"').replace('failover = "3s"', 'failover = "500ms"')
    told = told.replace("directors = 2", "directors = 1").replace(
        'told_after   = "2s"', 'told_after   = "500ms"'
    )
    told = told.replace("rate_per_s = 130", "rate_per_s = 40").replace("rate_per_s = 60", "rate_per_s = 20")
    told = told[: told.index('fault "loss"')] + 'policy {\n  hold = "1s"\n}\n' + CASES[name]
    path = folder / f"{name.replace(' ', '-').replace(',', '')}.hcl"
    path.write_text(told)
    return path


def _play(name: str, slot: int, folder: Path) -> History:
    path = _scenario(name, folder)
    kept = folder / path.stem
    words = ["lab", "faults", "run", str(path), "--slot", str(slot), "--keep", str(kept), "--json"]
    done = subprocess.run(
        [sys.executable, "-m", "onyxwick", *words],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=False,
        timeout=120,
    )
    assert done.returncode == 0, done.stdout + done.stderr
    assert json.loads(done.stdout)["audited"] > 100
    return read(kept / "history.jsonl")


@pytest.fixture(scope="module")
def plays(tmp_path_factory: pytest.TempPathFactory) -> Iterator[dict[str, Future[History]]]:
    folder = tmp_path_factory.mktemp("sites")
    with ThreadPoolExecutor(AT_ONCE) as pool:
        yield {name: pool.submit(_play, name, FIRST_SLOT + n, folder) for n, name in enumerate(CASES)}


def _sound(plays: dict[str, Future[History]], name: str) -> History:
    """No rule is broken, and no site is taken to be lost that is not; everything is served in the end."""
    history = plays[name].result()
    assert not c.rules(history).counts and not c.ran_twice(history) and not c.false_alarms(history)
    if not c.late(history):
        assert c.service(history.rows, history.ended_us - 2 * S, history.ended_us) > 0.7
    return history


def _left(history: History, site: str) -> set[str]:
    return {row.who for row in c.states(history, site) if row.data["now"] == "evacuating"}


def test_a_second_site_is_lost_in_the_return_of_the_first(plays: dict[str, Future[History]]) -> None:
    history = _sound(plays, "second loss in the return")
    assert _left(history, "north") >= {"n1", "n2"} and "n2" in _left(history, "west")


def test_a_sites_directors_leave_its_failed_caches_though_the_list_names_them_ready(
    plays: dict[str, Future[History]],
) -> None:
    history = _sound(plays, "boxes gone and the list well")
    assert "n0" in _left(history, "north")
    moved = [r for r in history.of("sent") if r.who.startswith(("west", "south"))]
    ours = {r.what for r in history.of("call") if r.who == "n0"}
    assert any(row.what in ours for row in moved), "its clients are served by the others' caches"


def test_a_one_way_cut_and_an_isolated_director_move_nothing(plays: dict[str, Future[History]]) -> None:
    history = _sound(plays, "one link cut one way, then our own")
    assert not [row for row in c.states(history) if row.data["now"] in ("lost", "evacuating")]


def test_with_two_of_three_lost_in_a_mass_purge_the_rest_is_prompt(plays: dict[str, Future[History]]) -> None:
    history = _sound(plays, "two of three in a purge of all")
    assert "n2" in _left(history, "north") and "n2" in _left(history, "west")
    assert any(r.data["verdict"] == "served" for r in history.of("call") if r.data["site"] == "west")


def test_a_director_paused_through_loss_and_return_and_one_killed_as_it_leaves(
    plays: dict[str, Future[History]],
) -> None:
    """The rules hold as the director resumes; the one that was killed leaves the lost site again."""
    history = _sound(plays, "stopped through it, killed as it leaves")
    kills = [row for row in history.of("fault") if row.what == "kill"]
    assert len(kills) == 2 and "n2" in _left(history, "north")


def test_an_exercise_yields_to_an_actual_loss(plays: dict[str, Future[History]]) -> None:
    history = _sound(plays, "a real loss as a drill begins")
    assert _left(history, "west") and _left(history, "north")
    back = [row for row in c.states(history, "west") if row.data["now"] in ("returning", "steady")]
    assert back, "the capacity of the exercised site is needed now"
