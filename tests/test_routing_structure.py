"""Checks of the routing package's size, documentation and imports, and of the README's example."""

from __future__ import annotations

import ast
import re
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).parent.parent
FILES = sorted((ROOT / "onyxwick" / "routing").rglob("*.py"))
MAX_FILE_LINES = 400
MAX_STATEMENT_LINES = 1300
MAX_FUNCTION_LINES = 40


def _statement_lines(text: str) -> int:
    """Count the lines of code, without blank lines, comments, docstrings and imports."""
    skipped: set[int] = set()
    for node in ast.walk(ast.parse(text)):
        if not isinstance(node, ast.Expr | ast.Import | ast.ImportFrom):
            continue
        if not isinstance(node, ast.Expr) or isinstance(node.value, ast.Constant):
            skipped.update(range(node.lineno, (node.end_lineno or node.lineno) + 1))
    lines = enumerate(text.splitlines(), 1)
    return sum(bool(line.strip()) and line.strip()[0] != "#" and n not in skipped for n, line in lines)


def test_line_limits() -> None:
    assert FILES
    for path in FILES:
        lines = path.read_text().splitlines()
        assert len(lines) <= MAX_FILE_LINES, path.name
        assert max(map(len, lines)) <= 110, path.name
    assert sum(_statement_lines(path.read_text()) for path in FILES) <= MAX_STATEMENT_LINES


def test_functions_fit_a_screen() -> None:
    for path in FILES:
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.FunctionDef):
                length = (node.end_lineno or node.lineno) - node.lineno + 1
                assert length <= MAX_FUNCTION_LINES, f"{path.name}: {node.name}"


def test_each_module_opens_with_its_rule() -> None:
    """Module docstrings state inputs and outputs, except in `__init__`, `state` and `units`."""
    for path in FILES:
        text = ast.get_docstring(ast.parse(path.read_text())) or ""
        assert text, path.name
        if path.stem not in ("__init__", "state", "units"):
            assert "Input:" in text and "Output:" in text, path.name


def test_is_pure() -> None:
    for path in FILES:
        found = re.search(
            r"\bimport (time|os|sys|datetime)\b|\bhash\(|\bopen\(|\bprint\(|\bset\(", path.read_text()
        )
        assert not found, path.name


def test_imports_the_interface_alone() -> None:
    """The rules import only the shared types and each other; only the package imports the router."""
    for path in FILES:
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.ImportFrom) and (node.module or "").startswith("onyxwick"):
                assert (node.module or "").startswith(("onyxwick.interface", "onyxwick.routing")), path.name
                assert path.stem == "__init__" or node.module != "onyxwick.routing.router", path.name


def test_readme_example_runs() -> None:
    blocks = re.findall(r"```python\n(.*?)```", (ROOT / "README.md").read_text(), re.S)
    assert blocks
    for block in blocks:
        done = subprocess.run(
            [sys.executable, "-c", block], cwd=ROOT, capture_output=True, text=True, check=False
        )
        assert done.returncode == 0, done.stderr
        assert "ForwardWithFill(" in done.stdout
