"""Loss plans: the outcome of each loss, the assignment of objects to sites, and errors in service files."""

from __future__ import annotations

import json
import subprocess
import sys
from collections import Counter
from dataclasses import replace
from pathlib import Path

import pytest

from onyxwick.config import ConfigError, hcl
from onyxwick.config.fields import Fields
from onyxwick.config.sites import check_against, read_plan, read_sites
from onyxwick.sites.loss_outcome import SiteLoss
from onyxwick.sites.loss_solver import solve_loss
from onyxwick.sites.loss_study import study_losses
from onyxwick.sites.model import (
    ORIGIN_PLACE,
    Hub,
    NetworkLink,
    OfferedLoad,
    PlannedClass,
    Site,
    SitePolicy,
    Topology,
)
from onyxwick.sites.plan import SitePlan, loss_key
from onyxwick.sites.plan_document import PlanMismatchError, plan_from_json, plan_to_json
from onyxwick.sites.topology_check import check_topology
from onyxwick.sites.topology_digest import topology_digest
from onyxwick.sites.traffic_slices import (
    SLICE_COUNT,
    move_position,
    serving_site_of_slice,
    serving_site_table,
    slice_of,
)
from tests.exchange import ROOT
from tests.router_harness import SETTINGS

VIDEO = PlannedClass("video", 100_000, 40_000, 0.3, 0.5, priority_weight=2.0)
SHEET = PlannedClass("sheet", 50_000, 20_000, 0.3, 0.5, priority_weight=1.0)
SAVE = PlannedClass("save", 20_000, 20_000, 0.0, 0.0, priority_weight=3.0, is_write=True)


def make_topology(sites: int = 3, capacity: float = 10.0, rate: float = 50.0, **changes: object) -> Topology:
    names = [f"s{n}" for n in range(sites)]
    loads = [OfferedLoad(k, s, rate, t) for s in names for k in ("video", "sheet") for t in ("a", "b")]
    loads += [OfferedLoad("save", s, 5.0, "a") for s in names]
    topology = Topology(
        {n: Site(n, n, capacity, 2, 4) for n in names},
        {h: Hub(h, h, 8.0) for h in ("h0", "h1")},
        Hub(ORIGIN_PLACE, "h0", 12.0),
        {k.name: k for k in (VIDEO, SHEET, SAVE)},
        tuple(loads),
        {frozenset((a, b)): NetworkLink((a, b), 0.0, 1000) for a in names for b in names if a < b},
    )
    return check_topology(replace(topology, **changes))  # type: ignore[arg-type]


def test_a_feasible_loss_is_served_by_the_others_within_their_headroom() -> None:
    """Computed by hand: 100 requests per second of 0.1 s and 100 of 0.05 s are 15 transfers for each site."""
    topology = make_topology(capacity=30.0)
    steady, lost = solve_loss(topology, SiteLoss()), solve_loss(topology, SiteLoss(frozenset(["s0"])))
    assert (
        steady.resource_use[("boxes", "s0")].used == pytest.approx(15.0)
        and steady.is_feasible
        and not steady.serving_shares
    )
    assert lost.is_feasible and not lost.served_shares
    used = [lost.resource_use[("boxes", s)].used for s in ("s1", "s2")]
    assert sum(used) == pytest.approx(45.0) and max(used) < 24, "load must be balanced between the two sites"
    fills = 3 * 100 * 0.3 * (0.04 + 0.02)
    assert sum(lost.resource_use[("stores", h)].used for h in ("h0", "h1")) == pytest.approx(fills)
    assert lost.resource_use[(ORIGIN_PLACE,)].used == pytest.approx(fills * 0.5 + 3 * 5 * 0.02)
    assert sum(lost.serving_shares[("s0", "video")].values()) == pytest.approx(1.0)


def test_what_fits_nowhere_is_rejected_by_value_for_its_work_and_evenly() -> None:
    """Two sites of capacity 18, of which 0.9 is usable, carry 32.4 of 45 transfers.

    The classes have the same value for their work, so they share the rejections."""
    topology = make_topology(capacity=18.0)
    lost = solve_loss(topology, SiteLoss(frozenset(["s0"])))
    assert (
        not lost.is_feasible
        and lost.bottleneck is not None
        and lost.resource_use[lost.bottleneck].share == pytest.approx(0.9)
    )
    used = sum(lost.resource_use[("boxes", s)].used for s in ("s1", "s2"))
    assert used == pytest.approx(32.4, rel=1e-3)
    assert {kind for _, kind, _ in lost.served_shares} <= {"video", "sheet"}, "writes must be rejected last"
    for kind in ("video", "sheet"):
        shares = [v for (s, k, _), v in lost.served_shares.items() if k == kind and s == "s0"]
        assert not shares or max(shares) - min(shares) < 0.02, (
            "the tenants of a site must share the rejections"
        )
    assert lost.missing_capacity, "the outcome must state the missing capacity"
    more = sum(amount for (kind, *_), amount in lost.missing_capacity.items() if kind == "boxes")
    assert more == pytest.approx((45 - 32.4) / 0.9, rel=0.02)
    wider = make_topology(capacity=18.0 + more / 2 + 0.1)
    assert solve_loss(wider, SiteLoss(frozenset(["s0"]))).is_feasible, (
        "the loss must be feasible with the missing capacity added"
    )


def test_a_tenants_reserve_is_served_before_value() -> None:
    base = make_topology(capacity=13.0)
    cheap = PlannedClass("video", 100_000, 40_000, 0.3, 0.5, priority_weight=0.1)
    topology = replace(base, classes={**base.classes, "video": cheap})
    without, reserved = solve_loss(topology, SiteLoss(frozenset(["s0", "s1"]))), None
    reserved = solve_loss(replace(topology, tenant_reserves={"a": 0.2}), SiteLoss(frozenset(["s0", "s1"])))
    assert without.served_shares[("s0", "video", "a")] < 0.05
    assert all(v >= 0.2 - 1e-3 for (_, k, t), v in reserved.served_shares.items() if (k, t) == ("video", "a"))


def test_parents_links_and_origin_limit_too() -> None:
    thin = make_topology(capacity=60.0, hubs={"h0": Hub("h0", "h0", 5.0)})
    out = solve_loss(thin, SiteLoss(frozenset(["s0"])))
    assert out.bottleneck == ("stores", "h0") and not out.is_feasible
    gone = solve_loss(make_topology(capacity=60.0), SiteLoss(hubs=frozenset(["h0", "h1"])))
    assert gone.resource_use[(ORIGIN_PLACE,)].used == pytest.approx(5.7, rel=0.01), (
        "without parents the origin serves all fills"
    )
    paths = {frozenset(("s1", "s2")): NetworkLink(("s1", "s2"), 2.0, 1000)}
    linked = solve_loss(make_topology(capacity=60.0, links=paths), SiteLoss(frozenset(["s0"])))
    assert linked.resource_use[("link", "s1", "s2")].used <= 1.8 + 1e-6


def test_shared_objects_are_served_where_their_clients_connect() -> None:
    kinds = {k.name: replace(k, shared_object_share=0.8) for k in (VIDEO, SHEET)} | {"save": SAVE}
    lost = solve_loss(make_topology(capacity=30.0, classes=kinds), SiteLoss(frozenset(["s0"])))
    used = [lost.resource_use[("boxes", s)].used for s in ("s1", "s2")]
    assert sum(used) == pytest.approx(45.0, rel=0.01) and max(used) - min(used) < 3.1


def test_all_losses_of_a_topology_and_findings_for_infeasible_ones() -> None:
    done = study_losses(make_topology(capacity=27.0))
    assert len(done.outcomes) == 1 + 3 + 2 + 3 + 3
    texts = done.findings()
    assert len(texts) == 3 and all("s0" in t or "s1" in t for t in texts)
    assert "of boxes of" in texts[0] and "more transfers of" in texts[0]
    plan = done.plan()
    assert plan_from_json(plan.topology, json.loads(json.dumps(plan_to_json(plan)))).rows == plan.rows
    with pytest.raises(PlanMismatchError, match="made for topology"):
        plan_from_json(make_topology(capacity=23.0), plan_to_json(plan))
    with pytest.raises(PlanMismatchError, match="not a loss plan of format 1"):
        plan_from_json(plan.topology, {"rows": []})


def test_many_sites_are_solved_in_parts_and_independent_pairs_have_no_rows() -> None:
    topology = make_topology(
        sites=30, capacity=30.0, hubs={"h0": Hub("h0", "h0", 90.0)}, origin=Hub(ORIGIN_PLACE, "h0", 90.0)
    )
    out = solve_loss(topology, SiteLoss(frozenset(["s0"])))
    assert out.is_feasible and len(out.serving_shares[("s0", "video")]) <= 12
    assert out.resource_use[("boxes", "s29")].used == pytest.approx(15.0), (
        "unaffected sites must keep their use"
    )


def test_a_loss_without_a_row_is_composed_of_planned_ones() -> None:
    topology = make_topology(sites=4, capacity=22.0)
    plan = study_losses(topology, pairs=False).plan()
    row = plan.row(["s0", "s1"])
    for origin in ("s0", "s1"):
        assert set(row.serving_shares[(origin, "video")]) <= {"s2", "s3"}
    assert SitePlan(topology).row(["s0"]).serving_shares[("s0", "sheet")] == pytest.approx(
        {"s1": 1 / 3, "s2": 1 / 3, "s3": 1 / 3}
    )
    assert plan.row(["s0"]) is plan.rows[loss_key(["s0"])]


def test_slices_meet_their_shares_and_only_those_of_a_second_loss_move() -> None:
    weights = {"west": 0.5, "south": 0.3, "east": 0.2}
    table = serving_site_table("north", weights)
    counts = Counter(table)
    for site, share in weights.items():
        assert abs(counts[site] / SLICE_COUNT - share) < 4 * (share * (1 - share) / SLICE_COUNT) ** 0.5
    again = serving_site_table("north", {s: w for s, w in weights.items() if s != "south"})
    moved = [n for n in range(SLICE_COUNT) if table[n] != again[n]]
    assert moved and all(table[n] == "south" for n in moved)
    assert serving_site_of_slice("north", 1, {}) is None
    positions = [move_position("north", f"{n:016x}") for n in range(4000)]
    for serving_site in weights:
        early = [t for n, t in enumerate(positions) if table[slice_of(f"{n:016x}")] == serving_site]
        assert 0.4 < sum(t < 0.5 for t in early) / len(early) < 0.6, (
            "each step must move a part of every serving site's slices"
        )


VALID_SERVICE_FILE = """
sites { reserves = { "yards" = 0.2 } }
site "north" {
  capacity = 15
  failover = { "west" = 1.0 }
}
site "west" { capacity = 15 }
hub "hub-a" { capacity = 5 }
archive {
  zone     = "hub-a"
  capacity = 8
}
path "north" "hub-a" { delay = "6ms" }
load "video" {
  sending     = "140ms"
  fill_share  = 0.3
  relay_share = 0.3
  rate_per_s  = { "north/yards" = 40, "west" = 20 }
}
"""
MISTAKES = [
    (
        "capacity = 15\n  failover",
        'capacity = "15"\n  failover',
        "field 'site north.capacity': expected a number",
    ),
    (
        '{ "west" = 1.0 }',
        '{ "wset" = 1.0 }',
        "site north: failover: 'wset' is not another site of the topology",
    ),
    ('{ "west" = 1.0 }', '{ "west" = 50 }', "'west' has no share between 0 and 1"),
    ('sending     = "140ms"', "sending     = 140", "140 has no unit"),
    ('"west" = 20', '"wets" = 20', "load video: rate_per_s: there is no site 'wets'"),
    ('"yards" = 0.2', '"yard" = 0.2', "sites: reserves: tenant 'yard' has no load"),
    ('path "north" "hub-a"', 'path "north" "hub-b"', "there is no place 'hub-b'"),
    ("archive {", "archives {", "without any block 'archive'"),
    ("fill_share  = 0.3", "fill_share  = 30", "did you mean 0.3"),
    ("sites {", 'sites { evacuate = "never"\n', "'never' is none of auto, ordered"),
    (
        'site "west" { capacity = 15 }',
        "",
        "expected at least two sites, as others must serve the load of a lost site",
    ),
    ("sites {", "sites { guests = 1\n", "both kinds of directors need a part"),
]


def _read(text: str) -> Topology | None:
    block = hcl.parse(text, "service.hcl")
    fields = Fields(block, "service.hcl")
    found = read_sites(fields, Path("."))
    fields.reject_unknown()
    return found[0] if found else None


def test_a_topology_is_read_completely_or_not_at_all() -> None:
    topology = _read(VALID_SERVICE_FILE)
    assert (
        topology is not None
        and topology.tenant_reserves == {"yards": 0.2}
        and topology.delay_us("hub-a", "north") == 6000
    )
    assert _read('admin_is_no_site "x" {}'.replace('admin_is_no_site "x" {}', "")) is None
    for block in ("sites", "archive", "load"):
        lines = [line for line in VALID_SERVICE_FILE.split("\n\n")]
        assert lines
        text = VALID_SERVICE_FILE.replace(f"\n{block} ", "\nunwanted_ ", 1)
        with pytest.raises(ConfigError, match=f"without any block '{block}'"):
            read_sites(Fields(hcl.parse(text, "service.hcl"), "service.hcl"), Path("."))


@pytest.mark.parametrize(("good", "bad", "wanted"), MISTAKES, ids=[w[2][:30] for w in MISTAKES])
def test_every_mistake_is_reported_with_file_line_and_what_was_meant(
    good: str, bad: str, wanted: str
) -> None:
    assert good in VALID_SERVICE_FILE
    with pytest.raises(ConfigError, match=r"service\.hcl:[0-9]+: ") as caught:
        _read(VALID_SERVICE_FILE.replace(good, bad, 1))
    assert wanted in str(caught.value)


def test_a_topology_must_fit_the_director(tmp_path: Path) -> None:
    topology = _read(VALID_SERVICE_FILE)
    assert topology is not None
    with pytest.raises(ConfigError, match="no block 'site' has this director's zone 'edge-1'"):
        check_against(topology, SETTINGS, "service.hcl")
    with pytest.raises(ConfigError, match="load 'video' is no class of the settings"):
        check_against(topology, replace(SETTINGS, zone="north"), "service.hcl")
    wrong = replace(topology, classes={"save": replace(SAVE, is_write=False)})
    with pytest.raises(ConfigError, match="is a write by the settings"):
        check_against(wrong, replace(SETTINGS, zone="north"), "service.hcl")
    with pytest.raises(ConfigError, match="`onyxwick sites plan` writes it"):
        read_plan(topology, tmp_path / "none.json")


def test_the_command_reports_the_bottleneck_and_writes_what_directors_read(tmp_path: Path) -> None:
    file, out = tmp_path / "service.hcl", tmp_path / "plan.json"
    file.write_text(VALID_SERVICE_FILE)
    words = [sys.executable, "-m", "onyxwick", "sites", "plan", str(file), "--out", str(out)]
    done = subprocess.run(
        [*words, "--plots", str(tmp_path)], cwd=ROOT, capture_output=True, text=True, check=False
    )
    assert done.returncode == 0, done.stderr
    assert "north" in done.stdout and "breaks first" in done.stdout
    topology = _read(VALID_SERVICE_FILE)
    assert topology is not None and read_plan(topology, out).row(["north"]).serving_shares[
        ("north", "video")
    ] == {"west": 1.0}
    assert (tmp_path / "losses.png").stat().st_size > 5000
    file.write_text(VALID_SERVICE_FILE.replace('"west" { capacity = 15 }', '"west" { capacity = 6 }'))
    checked = [sys.executable, "-m", "onyxwick", "sites", "check", str(file), "--json"]
    done = subprocess.run(checked, cwd=ROOT, capture_output=True, text=True, check=False)
    assert done.returncode == 1 and "boxes of west" in json.loads(done.stdout)["findings"][0]


def test_the_policy_allows_for_both_kinds_of_directors() -> None:
    assert 0 < SitePolicy().remote_share < 1


def test_the_digest_of_a_topology_is_the_one_that_earlier_versions_wrote() -> None:
    """The digests were computed by version 24ddf6c, whose plans must still be accepted."""
    topology = make_topology()
    assert topology_digest(topology) == "c451da89685ac79f"
    first = replace(topology.sites["s0"], failover={"s1": 0.25, "s2": 0.75})
    other = replace(topology, sites={**topology.sites, "s0": first}, tenant_reserves={"a": 0.2})
    assert topology_digest(other) == "02325db0f2d2a508"


def test_a_plan_that_earlier_versions_wrote_is_read_and_written_the_same() -> None:
    """The document was written by version 24ddf6c for these rows."""
    document = {
        "format": 1,
        "topology": "c451da89685ac79f",
        "rows": [
            {"lost": ["boxes of s1", "hub h0"], "homes": [], "kept": [], "guests": {}},
            {
                "lost": ["s0"],
                "homes": [["s0", "video", {"s1": 0.25, "s2": 0.75}]],
                "kept": [["s0", "sheet", "a", 0.5]],
                "guests": {"s1": 0.125},
            },
        ],
    }
    plan = plan_from_json(make_topology(), document)
    row = plan.row(["s0"])
    assert row.serving_shares == {("s0", "video"): {"s1": 0.25, "s2": 0.75}}
    assert row.served_shares == {("s0", "sheet", "a"): 0.5} and row.guest_shares == {"s1": 0.125}
    assert json.dumps(plan_to_json(plan)) == json.dumps(document)
