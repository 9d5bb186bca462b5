"""The bench of processes: relays that fail as links do, checkers that refuse wrong histories, real
directors."""

from __future__ import annotations

import asyncio
import json
import random
import subprocess
import sys
from collections.abc import Callable
from pathlib import Path

import pytest
import uvloop

from onyxwick.config import ConfigError
from onyxwick.lab.faults import checkers as c
from onyxwick.lab.faults.history import History, Row, read, write
from onyxwick.lab.faults.relay import LinkDirection, LinkRelay
from onyxwick.lab.faults.script import drawn
from onyxwick.lab.faults.script import read as read_fleet
from onyxwick.lab.faults.sweep import paired
from tests.exchange import ROOT
from tests.router_harness import US_PER_S

EXAMPLES = ROOT / "examples" / "lab" / "faults"
LOSS = EXAMPLES / "site-loss.hcl"
NEAR, FAR = ("127.151.1.1", 5050), ("127.151.2.1", 5050)

# ---- relays ---------------------------------------------------------------------------------------------


async def _ground() -> tuple[LinkDirection, LinkRelay, asyncio.Server]:
    async def echo(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while data := await reader.read(1000):
            writer.write(data)
        writer.close()

    server = await asyncio.start_server(echo, *FAR)
    way = LinkDirection("a", "b")
    relay = LinkRelay(way, NEAR, FAR, random.Random(1))
    await relay.start()
    return way, relay, server


def _played(play: Callable[[LinkDirection, LinkRelay], object]) -> None:
    async def run() -> None:
        way, relay, server = await _ground()
        try:
            async with asyncio.timeout(20):
                await play(way, relay)  # type: ignore[misc]
        finally:
            relay.close()
            server.close()

    uvloop.run(run())


async def _silent(reader: asyncio.StreamReader, wait_s: float = 0.2) -> bool:
    try:
        return not await asyncio.wait_for(reader.read(100), wait_s) and False
    except TimeoutError:
        return True


@pytest.mark.parametrize("direction", ["there", "back"])
def test_a_cut_way_says_nothing_and_gives_up_nothing(direction: str) -> None:
    """What is sent over it waits and comes through when it heals; new connections never come up meanwhile."""

    async def play(way: LinkDirection, relay: LinkRelay) -> None:
        reader, writer = await asyncio.open_connection(*NEAR)
        writer.write(b"one")
        assert await reader.readexactly(3) == b"one"
        setattr(way, f"cut_{direction}", True)
        way.changed()
        writer.write(b"two")
        assert await _silent(reader)
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(asyncio.open_connection(*NEAR), 0.3)
        setattr(way, f"cut_{direction}", False)
        way.changed()
        assert await reader.readexactly(3) == b"two"
        again, other = await asyncio.open_connection(*NEAR)
        other.write(b"three")
        assert await again.readexactly(5) == b"three"
        assert way.was_dark(0, asyncio.get_running_loop().time())

    _played(play)


def _elapsed_ms(loop: asyncio.AbstractEventLoop, start_s: float) -> int:
    """Return the milliseconds since `start_s`. uvloop's clock counts whole milliseconds, and the difference
    of two of its readings as floats can be one rounding step below the exact value."""
    return round((loop.time() - start_s) * 1000)


def test_delay_and_rate_hold_back_and_resets_break_in_mid_message() -> None:
    async def play(way: LinkDirection, relay: LinkRelay) -> None:
        reader, writer = await asyncio.open_connection(*NEAR)
        way.delay_s = 0.1
        loop = asyncio.get_running_loop()
        begun = loop.time()
        writer.write(b"x")
        await reader.readexactly(1)
        assert _elapsed_ms(loop, begun) >= 200
        way.delay_s = 0.003
        for n in range(200):  # a piece whose timer comes early is passed on all the same
            writer.write(b"%03d" % n)
            assert await reader.readexactly(3) == b"%03d" % n
        way.delay_s, way.bytes_per_s = 0.0, 10_000
        begun = loop.time()
        writer.write(b"y" * 1000)
        await reader.readexactly(1000)
        assert _elapsed_ms(loop, begun) >= 190
        way.resets = 1.0
        writer.write(b"z")
        with pytest.raises(ConnectionResetError):
            await reader.readexactly(1)

    _played(play)


def test_a_closed_end_comes_behind_what_it_sent_and_a_refused_target_is_told() -> None:
    async def play(way: LinkDirection, relay: LinkRelay) -> None:
        reader, writer = await asyncio.open_connection(*NEAR)
        writer.write(b"last")
        writer.write_eof()
        assert await reader.read() == b"last"
        relay.target = ("127.151.2.2", 9)
        with pytest.raises((ConnectionError, asyncio.IncompleteReadError)):
            reader, writer = await asyncio.open_connection(*NEAR)
            await reader.readexactly(1)
        with pytest.raises(ConnectionRefusedError):  # the system's own word, from the second one on
            await asyncio.open_connection(*NEAR)
        way.cut_there = True
        way.changed()
        with pytest.raises(TimeoutError):  # a cut way does not tell that nobody is there
            await asyncio.wait_for(asyncio.open_connection(*NEAR), 0.3)
        relay.target, way.cut_there = FAR, False
        way.changed()
        reader, writer = await asyncio.open_connection(*NEAR)
        writer.write(b"back")
        assert await reader.readexactly(4) == b"back"

    _played(play)


# ---- histories ------------------------------------------------------------------------------------------


def _call(n: int, at: int, **changes: object) -> Row:
    data = {
        "tenant": "t",
        "group": 7,
        "write": False,
        "answers": 1,
        "left": False,
        "verdict": "served",
        "tag": f"x{n}",
        "class": "sheet",
        "site": "north",
        "ended_us": at + 1000,
        "again": False,
    }
    return Row("call", at, "n0", f"r{n}", {**data, **changes})


def _earned(at: int, earned: float = 1.0) -> Row:
    return Row(
        "earned",
        at,
        "north",
        "",
        {"tenant": "t", "class": "sheet", "site": "north", "worth": 1.0, "earned": earned},
    )


def _sound() -> History:
    """A minute of a fleet with one loss, all rules kept, and service back 4 s after it."""
    rows = [_call(n, n * US_PER_S) for n in range(60)]
    rows += [
        Row("gave", n * US_PER_S + 10, "", f"r{n}", {"tag": f"x{n}", "dated_us": n * US_PER_S})
        for n in range(60)
    ]
    rows += [Row("sent", n * US_PER_S + 5, "box", f"r{n}", {"source": None}) for n in range(60)]
    rows += [
        _earned(n * US_PER_S // 2, 0.5 if 20 * US_PER_S <= n * US_PER_S // 2 < 34 * US_PER_S else 1.0)
        for n in range(120)
    ]
    rows += [Row("ran", 0, "", "w1"), Row("late", 60 * US_PER_S, "lab", "", {"p99_ms": 2.0, "most_ms": 9.0})]
    for on, at in ((True, 20 * US_PER_S), (False, 30 * US_PER_S)):
        rows.append(
            Row("fault", at, "loss", "lose", {"on": on, "sites": ["north"], "name": "north", "how": ""})
        )
    state = {"was": "suspect", "now": "evacuating", "share": 0.0, "why": "dark"}
    rows.append(Row("state", 22 * US_PER_S, "n2", "north", state))
    rows += [
        Row("used", n * US_PER_S, "west", "", {"work_us": 3 * US_PER_S if n < 20 else 6 * US_PER_S})
        for n in range(60)
    ]
    return History("x.hcl", 1, "sites", 0, 60 * US_PER_S, rows)


def test_a_sound_history_is_judged_sound_and_told_in_figures() -> None:
    told = c.report(_sound())
    assert not told["broken"] and not told["false_alarms"] and not told["late"]
    assert told["before"] == 1.0 and told["during"] == 0.5 and told["recovered_s"] == 4.0
    assert told["worst_10s"] == pytest.approx(0.5) and told["peak"]["west"] == pytest.approx(6.0)
    assert c.reached(_sound(), "north", "evacuating", 20 * US_PER_S) == [2.0]


WRONG: list[tuple[str, Row]] = [
    ("one answer", _call(1, US_PER_S, answers=2)),
    ("no answer", _call(70, 9 * US_PER_S, answers=0, verdict="")),
    ("made by no cache", _call(71, 9 * US_PER_S, tag="nobody's")),
    ("ran twice", Row("ran", 0, "", "w1")),
    ("drain", Row("drained", 0, "box", "", {"lifted": 0})),
    ("purge", Row("purged", 5 * US_PER_S, "", "", {"group": 7, "told": 5 * US_PER_S})),
    ("pushed over", Row("fell", 9 * US_PER_S, "box")),
    ("director ended", Row("ended", 0, "n0")),
]


@pytest.mark.parametrize(("rule", "row"), WRONG, ids=[rule for rule, _ in WRONG])
def test_every_planted_wrong_history_is_refused(rule: str, row: Row) -> None:
    history = _sound()
    if rule == "purge":
        history.rows.append(Row("gave", 9 * US_PER_S, "", "r9", {"tag": "x9", "dated_us": 4 * US_PER_S}))
    history.rows.append(row)
    assert rule in c.report(history)["broken"]


def test_what_must_not_be_said_of_a_history_is_not_said() -> None:
    early = _sound()
    early.rows.append(
        Row("state", 5 * US_PER_S, "n2", "north", {"was": "suspect", "now": "lost", "share": 0, "why": "?"})
    )
    assert len(c.report(early)["false_alarms"]) == 1, "before the loss"
    other = _sound()
    other.rows.append(
        Row("state", 25 * US_PER_S, "n2", "west", {"was": "suspect", "now": "lost", "share": 0, "why": "?"})
    )
    assert len(c.report(other)["false_alarms"]) == 1, "another site"
    down = _sound()
    down.rows += [_earned(55 * US_PER_S + n, 0.0) for n in range(50)]
    assert c.report(down)["recovered_s"] is None, "service that does not stay is no recovery"
    busy = _sound()
    busy.rows.append(Row("late", 60 * US_PER_S, "lab", "", {"p99_ms": 400.0, "most_ms": 900.0}))
    assert "no verdict" in c.report(busy)["late"]
    twice = _sound()
    twice.rows.append(Row("ran", 0, "", "w1"))
    assert c.ran_twice(twice) == ["w1"]


def test_a_history_is_kept_and_read_back_with_the_line_that_plays_it_again(tmp_path: Path) -> None:
    history, path = _sound(), tmp_path / "history.jsonl"
    write(history, path)
    again = read(path)
    key = lambda row: (row.at_us, row.kind, row.who, row.what)  # noqa: E731
    assert sorted(again.rows, key=key) == sorted(history.rows, key=key)
    assert again.line() == "onyxwick lab faults run x.hcl --seed 1 --variant sites"
    path.write_text("nothing\n")
    with pytest.raises(ValueError, match="is no history"):
        read(path)


def test_pairs_are_told_with_their_spread() -> None:
    rows = []
    for seed, (a, b) in enumerate([(0.9, 0.8), (0.95, 0.9), (0.7, 0.75)]):
        for variant, value in (("sites", a), ("plain", b)):
            rows.append({"seed": seed, "variant": variant, "late": "", "before": value, "during": value})
            rows[-1] |= dict.fromkeys(
                ("worst_10s", "worst_class", "worst_tenant", "worst_site", "after", "whole"), value
            )
    told = paired(rows, "sites", "plain")["during"]
    assert told["gain"] == 0.05 and told["better"] == "2 of 3" and told["least"] == -0.05
    rows[-1]["late"] = "its timers were late"
    assert paired(rows, "sites", "plain")["during"]["better"] == "2 of 2"


# ---- scripts --------------------------------------------------------------------------------------------


@pytest.mark.parametrize("name", sorted(path.name for path in EXAMPLES.glob("*.hcl")))
def test_the_example_scenarios_can_be_read_and_seeds_move_their_faults(name: str) -> None:
    fleet = read_fleet(EXAMPLES / name)
    assert drawn(fleet, 1) == drawn(fleet, 1) != drawn(fleet, 2) or not fleet.faults
    assert len(fleet.directors) == sum(site.directors for site in fleet.sites.values())


@pytest.mark.parametrize(
    ("good", "bad", "wanted"),
    [
        ('what = "lose"', 'what = "loose"', "did you mean 'lose'"),
        ('what = "lose"', 'what = "cut"', "is between two places, as north"),
        ('path "north" "hub-a"', 'path "north" "hub-c"', "there is no place 'hub-c'"),
        ('"west" = 0.5, "south"', '"west" = 5, "south"', "no share between 0 and 1"),
        ("fleet {", "fleets {", "did you mean 'fleet'|are wanted|not known"),
        ("local    = 0.2", "locale = 0.2", "did you mean 'local'"),
    ],
)
def test_slips_in_a_script_are_told(good: str, bad: str, wanted: str, tmp_path: Path) -> None:
    text = LOSS.read_text()
    assert good in text
    path = tmp_path / "x.hcl"
    path.write_text(text.replace(good, bad, 1))
    with pytest.raises(ConfigError, match=wanted):
        read_fleet(path)


# ---- real directors -------------------------------------------------------------------------------------


def _short(tmp_path: Path, text: str = "") -> Path:
    """Three depots with a director each, 9 s, a loss of 3 s in the middle."""
    told = LOSS.read_text().replace('"60s"', '"9s"').replace('"15s"', '"2s"').replace('"16s"', '"3s"')
    told = told.replace("directors = 2", "directors = 1").replace('failover = "3s"', 'failover = "500ms"')
    told = told.replace("rate_per_s = 130", "rate_per_s = 50").replace("rate_per_s = 60", "rate_per_s = 20")
    told = told.replace('told_after   = "2s"', 'told_after   = "300ms"')
    path = tmp_path / "short.hcl"
    path.write_text(told + text)
    return path


def test_real_directors_leave_a_lost_site_and_break_no_rule(tmp_path: Path) -> None:
    """Processes, relays, a site silent and gone: its clients are served elsewhere, and the history says
    so."""
    path = _short(tmp_path)
    words = ["lab", "faults", "run", str(path), "--slot", "49", "--keep", str(tmp_path / "kept"), "--json"]
    done = subprocess.run(
        [sys.executable, "-m", "onyxwick", *words],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=False,
        timeout=100,
    )
    assert done.returncode == 0, done.stdout + done.stderr
    told = json.loads(done.stdout)
    assert told["audited"] > 300 and not told["broken"] and not told["false_alarms"]
    history = read(tmp_path / "kept" / "history.jsonl")
    left = {row.who for row in c.states(history, "north") if row.data["now"] == "evacuating"}
    assert {"n1", "n2"} <= left
    strangers = [r for r in history.of("call") if r.data["site"] == "north" and r.who in ("n1", "n2")]
    assert any(r.data["verdict"] == "served" for r in strangers)
    judged = [
        sys.executable,
        "-m",
        "onyxwick",
        "lab",
        "faults",
        "judge",
        str(tmp_path / "kept" / "history.jsonl"),
    ]
    again = subprocess.run(judged, cwd=ROOT, capture_output=True, text=True, check=False)
    assert again.returncode == 0 and "play it again: onyxwick lab faults run" in again.stderr
