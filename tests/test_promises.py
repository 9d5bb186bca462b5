"""The table of promises names only existing guards and tests, and uses each of them."""

from __future__ import annotations

import ast
import re

from tests.exchange import ROOT

PAGE = (ROOT / "docs" / "design" / "promises.md").read_text()


def _legend(letter: str) -> dict[str, tuple[str, str]]:
    """Return the file and the name for each code of the legend that starts with `letter`."""
    rows = re.findall(rf"^\| ({letter}\d+) \| (\S+\.py) (\S+)", PAGE, re.MULTILINE)
    return {code: (file, name) for code, file, name in rows}


def _names(file: str) -> set[str]:
    """Return the functions and classes of a file, and the methods of its classes as `Class.name`."""
    names = set[str]()
    for node in ast.parse((ROOT / file).read_text()).body:
        if isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef | ast.ClassDef):
            names.add(node.name)
        if isinstance(node, ast.ClassDef):
            names |= {
                f"{node.name}.{inner.name}"
                for inner in node.body
                if isinstance(inner, ast.FunctionDef | ast.AsyncFunctionDef)
            }
    return names


def test_every_guard_and_test_that_the_table_names_exists() -> None:
    for code, (file, name) in (_legend("G") | _legend("T")).items():
        assert name in _names(file), f"{code}: {name} is not in {file}"


def test_every_code_in_a_cell_is_in_the_legend_and_every_legend_entry_is_used() -> None:
    cells = [line for line in PAGE.splitlines() if re.match(r"\| P\d+ \| [.Gn]", line)]
    used = set(re.findall(r"\b[GT]\d+\b", " ".join(cells)))
    assert used == set(_legend("G") | _legend("T"))
    assert len(cells) > 25


def test_each_promise_has_a_row() -> None:
    promises = set(re.findall(r"^\| (P\d+) \| [a-z]", PAGE, re.MULTILINE))
    rows = set(re.findall(r"^\| (P\d+) \| [.Gn]", PAGE, re.MULTILINE))
    assert promises and promises <= rows
