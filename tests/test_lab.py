"""The laboratory itself: its emulators keep the published rules, its audit finds every planted breach."""

from __future__ import annotations

import json
import subprocess
import sys
from collections.abc import Callable
from pathlib import Path

import pytest

from onyxwick.config import ConfigError
from onyxwick.lab import arrivals, scenario
from onyxwick.lab.audit import Given, RecordedSend, Records, Taken, audit, strays
from onyxwick.lab.compare import summary
from onyxwick.lab.copies import Copy, CopyStore, Truth
from onyxwick.lab.link import EmulatedLink
from onyxwick.lab.model import Tier
from tests.exchange import ROOT
from tests.router_harness import US_PER_S

EXAMPLES = ROOT / "examples" / "lab"
BOX = Tier(1, 2.0, 0.18, 17 * US_PER_S, 4.0)


def test_transfers_share_a_link_and_keep_its_pace() -> None:
    link = EmulatedLink(BOX, 0)
    for _ in range(4):  # four on a link for two: each at half pace
        link.begin(0, 100_000)
    assert link.next_end(0) == pytest.approx(200_000, abs=2)
    assert link.advance(190_000) == [] and len(link.advance(200_001)) == 4
    first = link.begin(300_000, 100_000)
    link.advance(350_000)
    link.cancel(first)
    assert link.next_end(350_000) is None and link.advance(900_000) == []


def test_a_cold_machine_warms_up_and_falls_over_when_pushed() -> None:
    link = EmulatedLink(BOX, US_PER_S, started=US_PER_S)
    assert link.warmth(US_PER_S) == pytest.approx(0.18) and link.warmth(US_PER_S + 17 * US_PER_S) == 1.0
    pushed = [link.asked(US_PER_S + n * 10_000, 100_000) for n in range(400)]
    assert any(pushed), "ten transfers' work a second and more, where it can do a fifth of two"
    calm = EmulatedLink(BOX, US_PER_S, started=US_PER_S)
    assert not any(calm.asked(US_PER_S + n * 200_000, 100_000) for n in range(80))
    assert not any(EmulatedLink(BOX, US_PER_S).asked(n, 10**9) for n in range(5)), (
        "a warm one only slows down"
    )


def test_copies_age_are_ranked_and_purged() -> None:
    truth, store = Truth(), CopyStore(2)
    old = truth.copy("a", 0, 1, 100)
    truth.purge(1, 200)
    assert truth.copy("a", 0, 1, 300).tag != old.tag == truth.copy("a", 0, 1, 150).tag
    store.keep("a", 0, old, 3)
    store.keep("b", 0, Copy("t", 100), 0)
    store.keep("c", 0, Copy("t", 100), 1)
    assert store.get("b", 0, 100, 0) is None and store.get("a", 0, 100, 0) == old
    assert store.get("a", 0, 400, 250) is None and store.get("a", 0, 300, 250) == old
    store.purge({"a", "c"}, 200)
    assert store.get("a", 0, 300, 0) is None and not store.rank_of


def _sound() -> Records:
    """Two requests, one purge and one drain, all kept."""
    records = Records()
    for n in range(2):
        taken = Taken(f"r{n}", "t", 7, False, 5 * US_PER_S, answers=1, verdict="served", tag="x")
        records.taken[taken.id] = taken
        records.sends.append(RecordedSend(5 * US_PER_S, "b1", taken.id, "p1"))
        records.given.append(Given(taken.id, "x", 3 * US_PER_S, 5 * US_PER_S))
    records.ran.append("w")
    records.purged.append((7, 2 * US_PER_S, 2 * US_PER_S))
    records.drained.append(("b2", US_PER_S, 0))
    return records


BREACHES: list[tuple[str, Callable[[Records], object]]] = [
    ("one answer", lambda r: setattr(r.taken["r0"], "answers", 2)),
    ("no answer", lambda r: setattr(r.taken["r0"], "answers", 0)),
    ("made by no cache", lambda r: setattr(r.taken["r0"], "tag", "y")),
    ("ran twice", lambda r: r.ran.append("w")),
    ("drain", lambda r: r.sends.append(RecordedSend(US_PER_S + 550_001, "b2", "r0", None))),
    ("drain", lambda r: r.sends.append(RecordedSend(9 * US_PER_S, "b1", "r0", "b2"))),
    ("purge", lambda r: r.given.append(Given("r0", "x", 2 * US_PER_S - 1, 3 * US_PER_S + 50_001))),
    ("pushed over", lambda r: r.fallen.append(("b1", US_PER_S))),
    ("director ended", lambda r: r.crashed.append("n0")),
]


@pytest.mark.parametrize(("rule", "plant"), BREACHES)
def test_every_planted_breach_is_found_and_no_other(rule: str, plant: Callable[[Records], object]) -> None:
    records = _sound()
    assert not audit(records).counts and audit(records).audited == 2
    plant(records)
    assert audit(records).counts == {rule: 1}


def test_the_rules_own_slack_is_no_breach_and_strays_are_seen() -> None:
    records = _sound()
    records.sends.append(RecordedSend(US_PER_S + 550_000, "b2", "r0", None))
    records.given.append(Given("r0", "x", US_PER_S, 3 * US_PER_S + 50_000))
    records.taken["r1"].answers, records.taken["r1"].left = 0, True
    assert not audit(records).counts
    seats = {"b1": "a", "b2": "b"}
    assert strays(records, {"t": ("a",)}, seats) == {"t": 1} and not strays(records, {"t": "ab"}, seats)


def test_a_seed_gives_the_same_clients_whoever_misbehaves() -> None:
    told = scenario.read(EXAMPLES / "noisy-tenant.hcl")
    calm, bad = (arrivals.draw(told, 5, fault) for fault in (None, "unique"))
    assert calm == arrivals.draw(told, 5, None) != arrivals.draw(told, 6, None)
    assert [a for a in calm if a.tenant != "noisy"] == [a for a in bad if a.tenant != "noisy"]
    flood = [a for a in bad if a.tenant == "noisy" and 6 * US_PER_S <= a.at_us < 22 * US_PER_S]
    assert 4000 < len(flood) < 9000
    assert len({a.object for a in flood if a.class_name == "job-sheet"}) > 1000, "no key comes again"


@pytest.mark.parametrize("name", sorted(p.name for p in EXAMPLES.glob("*.hcl") if "cells" not in p.name))
def test_the_example_scenarios_can_be_read(name: str, tmp_path: Path) -> None:
    scenario.read(EXAMPLES / name)
    text = (EXAMPLES / name).read_text()
    if "extends" in text:
        crash, base = scenario.read(EXAMPLES / "move-crash.hcl"), scenario.read(EXAMPLES / "move.hcl")
        assert crash.loads == base.loads and len(crash.happenings) > len(base.happenings)
        return
    for wrong, wanted in (
        (text.replace('aim      = "600ms"', "aim      = 600"), "aim': 600 has no unit"),
        (text.replace("warm_objects", "warm_object"), "did you mean 'warm_objects'"),
        (text.replace('"job-sheet" = ', '"jobsheet" = '), "'jobsheet' is no class with a share"),
    ):
        (tmp_path / name).write_text(wrong)
        with pytest.raises(ConfigError, match=wanted):
            scenario.read(tmp_path / name)


def test_bounds_that_are_not_met_are_told() -> None:
    told = scenario.read(EXAMPLES / "noisy-tenant.hcl")

    def run(variant: str, service: float) -> dict[str, object]:
        rows = {load.name: {"worth_asked": 1.0, "service": service} for load in told.loads}
        base = {
            "variant": variant,
            "seed": 1,
            "tenants": rows,
            "audited": 1,
            "broken": {},
            "shifts": {},
            "full_after_s": None,
        }
        return {**base}

    service = {"cells-unique": 0.98, "whole-unique": 0.95}
    kinds = ("calm", "unique", "bookings", "deaf")
    runs = [run(f"{k}-{f}", service.get(f"{k}-{f}", 1.0)) for k in ("cells", "whole") for f in kinds]
    out = summary(told, runs)
    assert out["unmet"] == [
        "seed 1: loss_cells-unique is 0.02, over 0.01",
        "seed 1: loss_whole-unique is 0.05, under 0.1",
    ]
    assert "west-1" in out["beside"] and "north-1" in out["apart"]


def test_the_real_program_is_played_and_audited(tmp_path: Path) -> None:
    """A short run with cells, a purge and a drain: all is answered, no rule broken, nobody strays."""
    text = (EXAMPLES / "noisy-tenant.hcl").read_text()
    text = text.replace('"24s"', '"4s"').replace('counted_from = "4s"', 'counted_from = "1s"')
    text += '\nhappens {\n  at   = "1s"\n  what = "purge"\n  name = "5"\n}\n'
    text += '\nhappens {\n  at   = "2s"\n  what = "drain"\n  name = "box-3"\n}\n'
    (tmp_path / "short.hcl").write_text(text)
    (tmp_path / "noisy-cells.hcl").write_text((EXAMPLES / "noisy-cells.hcl").read_text())
    done = subprocess.run(
        [sys.executable, "-m", "onyxwick", "lab", "play", str(tmp_path / "short.hcl"), "--slot", "90"],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=False,
        timeout=60,
    )
    assert done.returncode == 0, done.stdout + done.stderr
    told = json.loads(done.stdout)
    assert told["audited"] > 100 and not told["broken"] and not told["strays"]
    assert sum(row["served"] for row in told["tenants"].values()) > 100
