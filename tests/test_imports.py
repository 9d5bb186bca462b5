"""The import graph of the package: no circles beside those listed, and the layers' direction."""

from __future__ import annotations

import ast
from collections.abc import Iterator
from pathlib import Path

from tests.exchange import ROOT

PACKAGE = ROOT / "onyxwick"
REMAINING_CIRCLES: list[set[str]] = []
"""Circles that still exist: this list may only become shorter."""
LAB_IMPORTERS = ("onyxwick.lab", "onyxwick.cli")
"""Nothing else imports `lab/`: what serves never loads it."""


def _name(path: Path) -> str:
    parts = path.relative_to(ROOT).with_suffix("").parts
    return ".".join(parts[:-1] if parts[-1] == "__init__" else parts)


SOURCES = {_name(path): path for path in sorted(PACKAGE.rglob("*.py"))}


def _targets(node: ast.AST) -> Iterator[str]:
    """The project's modules that one import statement names."""
    if isinstance(node, ast.Import):
        yield from (alias.name for alias in node.names if alias.name in SOURCES)
    if isinstance(node, ast.ImportFrom) and node.module in SOURCES:
        for alias in node.names:
            submodule = f"{node.module}.{alias.name}"
            yield submodule if submodule in SOURCES else node.module


def _imports() -> dict[str, set[str]]:
    """All imports, also those of functions and for type checking: a circle is one wherever it stands."""
    graph: dict[str, set[str]] = {}
    for name, path in SOURCES.items():
        nodes = ast.walk(ast.parse(path.read_text()))
        graph[name] = {target for node in nodes for target in _targets(node)} - {name}
    return graph


def _circles(graph: dict[str, set[str]]) -> list[set[str]]:
    """The strongly connected components of more than one module (Tarjan 1972)."""
    index: dict[str, int] = {}
    low: dict[str, int] = {}
    stack: list[str] = []
    found: list[set[str]] = []

    def visit(name: str) -> None:
        index[name] = low[name] = len(index)
        stack.append(name)
        for target in sorted(graph[name]):
            if target not in index:
                visit(target)
                low[name] = min(low[name], low[target])
            elif target in stack:
                low[name] = min(low[name], index[target])
        if low[name] == index[name]:
            component = set(stack[stack.index(name) :])
            del stack[stack.index(name) :]
            if len(component) > 1:
                found.append(component)

    for name in sorted(graph):
        if name not in index:
            visit(name)
    return found


def _is_in(name: str, *packages: str) -> bool:
    return any(name == package or name.startswith(f"{package}.") for package in packages)


def test_a_circle_is_found() -> None:
    graph = {"a": {"b"}, "b": {"c"}, "c": {"a", "d"}, "d": set[str]()}
    assert _circles(graph) == [{"a", "b", "c"}]


def test_there_are_no_circles_beside_those_that_remain() -> None:
    circles = _circles(_imports())
    assert sorted(map(sorted, circles)) == sorted(map(sorted, REMAINING_CIRCLES))


def test_nothing_that_serves_imports_the_lab() -> None:
    graph = _imports()
    importers = {name for name, targets in graph.items() if any(_is_in(t, "onyxwick.lab") for t in targets)}
    assert {name for name in importers if not _is_in(name, *LAB_IMPORTERS)} == set()


def test_the_core_imports_no_network() -> None:
    graph = _imports()
    core = {name: targets for name, targets in graph.items() if _is_in(name, "onyxwick.core")}
    importers = {name for name, targets in core.items() if any(_is_in(t, "onyxwick.net") for t in targets)}
    assert core
    assert importers == set()
