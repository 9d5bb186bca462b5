"""Tests of the HCL reader and the typed fields: errors name file, line, field and the likely intent."""

from __future__ import annotations

import json
from dataclasses import replace
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from onyxwick.cells import Cell, CellPlan, CellPolicy, KeyRange, MigrationSpec, TenantSpec
from onyxwick.config import ConfigError, director, hcl, service
from onyxwick.config.cells import json_of_plan, plan_of_json, read_plan
from onyxwick.config.fields import Fields
from onyxwick.net.cache_pool import MAX_EXCESS_CONNECTIONS
from tests.exchange import FOLDER

GOOD = """
# a comment
top = 1.5
object = { "a b" = [1, 2, # inside
  3], c: null }
text "one" two {
  said = "a \\"b\\" \\u00e9 $${x}"
  long = <<-END
    first
      second
  END
  inner { flag = true }
}
"""


def test_values_blocks_and_lines() -> None:
    top = hcl.parse(GOOD, "x.hcl")
    assert top.attributes["top"].data == 1.5
    assert top.attributes["object"].plain() == {"a b": [1, 2, 3], "c": None}
    (block,) = top.blocks
    assert (block.type, block.labels, block.line) == ("text", ["one", "two"], 6)
    assert block.attributes["said"].data == 'a "b" \u00e9 ${x}'
    assert block.attributes["long"].data == "first\n  second\n"
    assert block.attributes["long"].line == 8
    assert block.blocks[0].attributes["flag"].data is True


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("a = 1\na = 2", "x.hcl:2: field 'a' is set twice, first on line 1"),
        ("a {\n b = 1", "x.hcl:2: the file ends inside a block"),
        ('a = "open\n', "x.hcl:1: a text is not terminated"),
        ("a = wide", "x.hcl:1: 'wide' is not a value: there are no variables here; did you mean the text"),
        ("\na : 1", "x.hcl:2: unexpected ':' in 'a : 1'; did you mean '='?"),
        ('a = file("b")', "x.hcl:1: unexpected '('"),
        ('a = "${b}"', "x.hcl:1: templates are not supported here"),
        ("a = 1 b = 2", "x.hcl:1: two settings on one line"),
        ('a = "\\q"', "x.hcl:1: unknown escape"),
        ("a = " + "[" * 40 + "]" * 40, "x.hcl:1: values are nested over 32 deep"),
        ("a = " + "[" * 33 + "1" + "]" * 33, "x.hcl:1: values are nested over 32 deep"),
        ("a = { b = 1, b = 2 }", "x.hcl:1: key 'b' is repeated"),
    ],
)
def test_syntax_errors_name_line_and_intent(text: str, expected: str) -> None:
    with pytest.raises(ConfigError) as error:
        hcl.parse(text, "x.hcl")
    assert str(error.value).startswith(expected)


@settings(max_examples=150, deadline=None, derandomize=True)
@given(st.text('ab1 ="{}[]\n#/*<-\\:,$.', max_size=40))
def test_any_text_is_parsed_or_rejected_with_its_line(text: str) -> None:
    try:
        hcl.parse(text, "x.hcl")
    except ConfigError as error:
        assert str(error).startswith("x.hcl:")


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("wait = 500", "x.hcl:1: field 'wait': 500 has no unit; did you mean \"500ms\""),
        ('wait = "500s"', "x.hcl:1: field 'wait': 500s is not between 1ms and 1min; did you mean \"500ms\"?"),
        ('wait = "5 parsecs"', "x.hcl:1: field 'wait': expected a number with one of the units us, ms, s"),
        ('wait = "1s"\nwiat = 3', "x.hcl:2: field 'wiat': is not known here; did you mean 'wait'?"),
        ('wait = "1s"\npart = 40', "x.hcl:2: field 'part': a share lies between 0 and 1; did you mean 0.4?"),
        ('wait = "1s"\nlist = "a"', "x.hcl:2: field 'list': expected a list; did you mean [\"a\"]?"),
        ('wait = "1s"\nlist = ["a", "a"]', "x.hcl:2: field 'list': 'a' appears twice"),
        ('wait = "1s"\nbox {}', "x.hcl:2: a block 'box' has 1 label, as in box \"NAME\", found 0"),
        ('wait = "1s"\nbox "a" {}\nbox "a" {}', "x.hcl:3: block 'box' \"a\" is repeated, first on line 2"),
        ('wait = "1s"\nbxo "a" {}', "x.hcl:2: block 'bxo' is not known here; did you mean 'box'?"),
        ("part = 1", "x.hcl:1: field 'wait': is missing"),
        ('wait = "1s"\nkind = "sloww"', "x.hcl:2: field 'kind': 'sloww' is none of slow, fast; did you mean"),
        ('wait = "1s"\ncount = 1.5', "x.hcl:2: field 'count': 1.5 is not an integer"),
    ],
)
def test_field_errors_name_the_likely_intent(text: str, expected: str) -> None:
    fields = Fields(hcl.parse(text, "x.hcl"), "x.hcl")
    with pytest.raises(ConfigError) as error:
        fields.duration("wait", 1_000, 60_000_000)
        fields.fraction("part", 0.5)
        fields.strings("list", [])
        fields.choice("kind", ["slow", "fast"], "slow")
        fields.integer("count", 0, 9, 1)
        fields.blocks("box", labels=1)
        fields.reject_unknown()
    assert str(error.value).startswith(expected)


def test_the_service_file_is_read_or_rejected(tmp_path: Path) -> None:
    config = service.load(FOLDER / "service.hcl")
    assert config.dns_address == ("127.77.0.1", 15353) and list(config.tenants.tenants) == ["depot"]
    text = (FOLDER / "service.hcl").read_text()
    for wrong, expected in (
        (
            text.replace("depot.zone", "depot.zoen"),
            "service.hcl:20: field 'tenant depot.zone depot.test..file'",
        ),
        (text.replace("127.77.0.1:18053", "10.0.0.1:18053"), "service.hcl:6: field 'admin.listen'"),
        (
            text.replace("quota_per_s", "quota"),
            "service.hcl:11: field 'tenant depot.quota': is not known here",
        ),
        (
            text.replace("b255eHdpY2stdGVzdC1rZXk=", "c2hvcnQ="),
            "service.hcl:10: tenant depot: field 'secret'",
        ),
    ):
        for name in ("depot.zone", "operator.token"):
            (tmp_path / name).write_text((FOLDER / name).read_text())
        (tmp_path / "service.hcl").write_text(wrong)
        with pytest.raises(ConfigError) as error:
            service.load(tmp_path / "service.hcl")
        assert str(error.value).startswith(expected)


def test_the_command_line(capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch) -> None:
    from onyxwick import cli

    def run(*words: str) -> int:
        monkeypatch.setattr("sys.argv", ["onyxwick", *words])
        return cli.main()

    assert run("config", "check", "--json", str(FOLDER / "service.hcl"), str(FOLDER / "config.json")) == 0
    kinds = [row["kind"] for row in json.loads(capsys.readouterr().out)["files"]]
    assert kinds == ["service", "director"]
    assert run("config", "check", str(FOLDER / "served.txt")) == 2
    assert "served.txt:" in capsys.readouterr().out
    assert run("no-such-command") == 2 and run("--help") == 0


NAMES = st.sampled_from(["a", "b", "c"])
CELLS = st.dictionaries(NAMES, st.builds(lambda w: w, st.floats(0.1, 9)), min_size=1)


@settings(max_examples=60, deadline=None, derandomize=True)
@given(CELLS, st.data())
def test_a_plan_is_the_same_after_its_json(cells: dict[str, float], data: st.DataObject) -> None:
    """The API must read the JSON that it returns: an operator edits one row and sends the complete plan."""
    some = st.lists(st.sampled_from(sorted(cells)), min_size=1, max_size=3, unique=True).map(tuple)
    tenants = {
        name: TenantSpec(
            name,
            data.draw(st.floats(0.1, 5)),
            1,
            data.draw(some) if data.draw(st.booleans()) else (),
            (KeyRange(0, data.draw(st.integers(0, 255)), data.draw(some)),),
            float(data.draw(st.integers(0, 50))),
            data.draw(st.integers(0, 50)),
        )
        for name in data.draw(st.sets(NAMES))
    }
    moves = {
        name: MigrationSpec(
            f"m{name}", name, data.draw(some), 0, 9, data.draw(st.integers(0, 99)) * 1_000_000
        )
        for name in tenants
    }
    policy = CellPolicy(
        "X-Who", None, data.draw(st.integers(0, 9)) * 1_000, data.draw(st.sampled_from([0.0, 0.5]))
    )
    rows = {name: Cell(name, (), weight) for name, weight in cells.items()}
    plan = CellPlan(rows, tenants, {m.name: m for m in moves.values()}, policy, 4)
    again = plan_of_json(json.loads(json.dumps(json_of_plan(plan))), 4)
    assert again.equals_except_version(plan) and again.version == 4


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        (
            'cell "a" {}\ncell "b" { fallback = "c" }',
            "x.hcl:2: field 'cell b.fallback': there is no cell 'c'",
        ),
        ('cell "A" {}', "x.hcl:1: cell A: 'A' is not a name of lowercase letters"),
        (
            'cell "a" { wieght = 2 }',
            "x.hcl:1: field 'cell a.wieght': is not known here; did you mean 'weight'?",
        ),
        ("cells {}\n", "x.hcl:1: block 'cells' without any block 'cell'"),
        (
            'cell "a" {}\ntenant "t" {\n  ranges = { "80-7f" = "a" }\n}',
            "x.hcl:3: field 'tenant t.ranges': '80-7f' ends before it begins; did you mean 7f-80?",
        ),
        (
            'cell "a" {}\ntenant "t" {}\nmove "m" {\n  tenant = "t"\n  to = ["a"]\n  warm = 20\n}',
            "x.hcl:6: field 'move m.warm': 20 has no unit",
        ),
        (
            'cell "a" {}\ncells { reserved = 70 }',
            "x.hcl:2: field 'cells.reserved': a share lies between 0 and 1",
        ),
        ('cell "a" {}\ncells { default_tenant = "x" }', "x.hcl:2: field 'cells.default_tenant': there is no"),
    ],
)
def test_an_error_in_a_plan_names_its_line(text: str, expected: str) -> None:
    with pytest.raises(ConfigError) as error:
        read_plan(Fields(hcl.parse(text, "x.hcl"), "x.hcl"))
    assert str(error.value).startswith(expected)


@pytest.mark.parametrize("sockets", [96, 256, 512, 672, 1024, 4096])
@pytest.mark.parametrize("admin", [None, ("127.0.0.1", 9600)])
@pytest.mark.parametrize("inherited_fd", [None, 7])
def test_all_descriptors_fit_under_the_limit(
    sockets: int, admin: tuple[str, int] | None, inherited_fd: int | None
) -> None:
    """All descriptors in use at once must stay within the limit on sockets.

    These are connections to caches (also those about to close), client and half-closed connections, the
    operations endpoint, and the fixed uses.
    """
    data = json.loads((FOLDER / "config.json").read_text())
    config = replace(
        director.read({**data, "limits": {"sockets": sockets}}),
        operations_address=admin,
        listen_fd=inherited_fd,
    )
    operations = min(director.OPERATIONS_SOCKETS, sockets // config.process_count // 8) if admin else 0
    half_closed = max(director.MIN_HALF_CLOSED, config.max_clients // director.CLIENTS_PER_HALF_CLOSED)
    # Standard streams, the event loop, the listening socket, the feed, a file being reloaded and a
    # connection that was just accepted.
    fixed = 14
    held = (
        config.max_cache_connections
        + MAX_EXCESS_CONNECTIONS
        + config.max_clients
        + half_closed
        + operations
        + fixed
    )
    assert held <= sockets // config.process_count
