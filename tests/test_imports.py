"""The import graph of the package has no cycles other than those listed, and the layers' order holds."""

from __future__ import annotations

import ast
from collections.abc import Iterator
from pathlib import Path

from tests.exchange import ROOT

PACKAGE = ROOT / "onyxwick"
REMAINING_CYCLES: list[set[str]] = []
"""Cycles that still exist; this list may only become shorter."""
LAB_IMPORTERS = ("onyxwick.lab", "onyxwick.cli")
"""The only packages that may import `lab/`, so that a serving process never loads it."""


def _name(path: Path) -> str:
    parts = path.relative_to(ROOT).with_suffix("").parts
    return ".".join(parts[:-1] if parts[-1] == "__init__" else parts)


SOURCES = {_name(path): path for path in sorted(PACKAGE.rglob("*.py"))}


def _targets(node: ast.AST) -> Iterator[str]:
    """Yield the project's modules that an import statement names."""
    if isinstance(node, ast.Import):
        yield from (alias.name for alias in node.names if alias.name in SOURCES)
    if isinstance(node, ast.ImportFrom) and node.module in SOURCES:
        for alias in node.names:
            submodule = f"{node.module}.{alias.name}"
            yield submodule if submodule in SOURCES else node.module


def _imports() -> dict[str, set[str]]:
    """Return the imported modules of each module.

    Imports inside functions and for type checking are included, because they can form cycles as well.
    """
    graph: dict[str, set[str]] = {}
    for name, path in SOURCES.items():
        nodes = ast.walk(ast.parse(path.read_text()))
        graph[name] = {target for node in nodes for target in _targets(node)} - {name}
    return graph


def _cycles(graph: dict[str, set[str]]) -> list[set[str]]:
    """Return the strongly connected components of more than one module (Tarjan 1972)."""
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


def test_a_cycle_is_found() -> None:
    graph = {"a": {"b"}, "b": {"c"}, "c": {"a", "d"}, "d": set[str]()}
    assert _cycles(graph) == [{"a", "b", "c"}]


def test_there_are_no_cycles_other_than_those_listed() -> None:
    cycles = _cycles(_imports())
    assert sorted(map(sorted, cycles)) == sorted(map(sorted, REMAINING_CYCLES))


def test_only_the_lab_and_the_commands_import_the_lab() -> None:
    graph = _imports()
    importers = {name for name, targets in graph.items() if any(_is_in(t, "onyxwick.lab") for t in targets)}
    assert {name for name in importers if not _is_in(name, *LAB_IMPORTERS)} == set()


def test_the_core_imports_no_network() -> None:
    graph = _imports()
    core = {name: targets for name, targets in graph.items() if _is_in(name, "onyxwick.core")}
    importers = {name for name, targets in core.items() if any(_is_in(t, "onyxwick.net") for t in targets)}
    assert core
    assert importers == set()
