"""Tests of real faults that are not yet mended: `KNOWN-RED.txt`, a line each, `test | cause | issue`.

They are run and expected to fail, and printed at the end; whatever else fails, fails. An entry that passes,
that names no test or that is malformed fails the run, and so do more than three.
"""

from __future__ import annotations

from pathlib import Path

import pytest

FILE = Path(__file__).parent.parent / "KNOWN-RED.txt"
MOST = 3


def known_red(text: str) -> dict[str, str]:
    """Test id: why it is red; ValueError where the text cannot be used."""
    entries = dict[str, str]()
    lines = [line for line in text.splitlines() if line.strip() and not line.startswith("#")]
    for line in lines:
        parts = [part.strip() for part in line.split("|")]
        if len(parts) != 3 or not all(parts) or "::" not in parts[0]:
            raise ValueError(f"no entry of the form 'tests/FILE.py::TEST | cause | issue': {line!r}")
        entries[parts[0]] = f"{parts[1]} (issue {parts[2]})"
    if len(lines) > MOST:
        raise ValueError(f"{len(lines)} entries; {MOST} at most")
    return entries


def unnamed(entries: dict[str, str], ids: set[str], files: set[str]) -> list[str]:
    """Entries that name no test, among the files that were looked through."""
    return [test for test in entries if test not in ids and test.partition("::")[0] in files]


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    try:
        entries = known_red(FILE.read_text() if FILE.exists() else "")
    except ValueError as error:
        raise pytest.UsageError(f"KNOWN-RED.txt: {error}") from None
    ids = {item.nodeid for item in items}
    whole = list(config.args) == list(config.getini("testpaths")) and not config.getoption("keyword")
    files = {test.partition("::")[0] for test in entries} if whole else set[str]()
    if missing := unnamed(entries, ids, files):
        raise pytest.UsageError(f"KNOWN-RED.txt names no test: {', '.join(missing)}")
    for item in items:
        if item.nodeid in entries:
            item.add_marker(pytest.mark.xfail(reason=entries[item.nodeid], strict=True))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    for report in terminalreporter.stats.get("xfailed", []):
        terminalreporter.write_line(f"known red: {report.nodeid}: {report.wasxfail}")
