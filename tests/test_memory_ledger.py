"""The ledger of bounds in docs/design/memory.md against the code: constants, tests, and nothing left out."""

from __future__ import annotations

import ast
import re
from collections.abc import Iterator
from pathlib import Path
from typing import NamedTuple

import pytest

from tests.exchange import ROOT

PAGE = (ROOT / "docs" / "design" / "memory.md").read_text()
PACKAGE = ROOT / "onyxwick"
COLUMNS = 8
SERVING = ("net", "core", "routing", "operations")
SERVING_FILES = ("admin/http_messages.py", "logs.py", "counters.py", "config/director.py")
IS_BOUND = re.compile(r"MAX_|REMEMBERED_|.*_(BYTES|CHARS|CHARACTERS)$").match
IS_TIME_OR_LOG_TEXT = re.compile(r".*(_S|_US|_MS)$|.*(QUOTED|LOGGED|_LOG_)").match


class _Constant(NamedTuple):
    file: str
    name: str
    value: int


def _constants(path: Path) -> dict[str, int]:
    """Return the whole-number constants of a module, as its source gives them."""
    values = dict[str, int]()
    for node in ast.parse(path.read_text()).body:
        if isinstance(node, ast.Assign) and isinstance(node.targets[0], ast.Name):
            name = node.targets[0].id
            expression = compile(ast.Expression(node.value), str(path), "eval")
            try:
                value = eval(expression, {"__builtins__": {}}, dict(values))
            except (NameError, TypeError):
                continue
            if isinstance(value, int) and not isinstance(value, bool):
                values[name] = value
    return values


def _rows() -> list[list[str]]:
    ledger = PAGE[PAGE.index("## The ledger") :]
    lines = [line for line in ledger.splitlines() if line.startswith("| ")][2:]
    return [[cell.strip() for cell in line.strip("|").split(" | ")] for line in lines]


def _named_constants() -> Iterator[_Constant]:
    for file, name, value in re.findall(r"`([a-z_/]+\.py) ([A-Z_]+)` \(([\d,]+)\)", PAGE):
        yield _Constant(file, name, int(value.replace(",", "")))


# Guards against: a bound that changes while the ledger goes on with the old one.
@pytest.mark.parametrize("constant", sorted(set(_named_constants())))
def test_each_constant_has_the_value_in_its_row(constant: _Constant) -> None:
    assert _constants(PACKAGE / constant.file).get(constant.name) == constant.value


def test_each_row_is_whole_and_names_a_test_that_exists() -> None:
    rows = _rows()
    assert len(rows) > 20
    for row in rows:
        assert len(row) == COLUMNS and all(row), row
        path, _, name = row[-1].strip("`").partition("::")
        assert re.search(rf"^(async )?def {name}\(", (ROOT / path).read_text(), re.MULTILINE), row[-1]


# Guards against: a new buffer or table whose bound nobody has set beside the others.
def test_each_bound_of_the_serving_code_is_in_the_ledger_or_named_as_keeping_nothing() -> None:
    files = [path for package in SERVING for path in sorted((PACKAGE / package).glob("*.py"))]
    files += [PACKAGE / name for name in SERVING_FILES]
    named = {(constant.file, constant.name) for constant in _named_constants()}
    keeping_nothing = set(re.findall(r"`([A-Z_]+)`", PAGE[PAGE.index("Bounds that keep nothing") :]))
    missing = [
        f"{path.relative_to(PACKAGE)} {name}"
        for path in files
        for name in _constants(path)
        if IS_BOUND(name)
        and not IS_TIME_OR_LOG_TEXT(name)
        and (str(path.relative_to(PACKAGE)), name) not in named
        and name not in keeping_nothing
    ]
    assert not missing
