"""Handles tests that fail because of known faults: one line `test | cause | issue` each in `KNOWN-RED.txt`.

The listed tests are run, are expected to fail, and are printed at the end; any other failure fails the run.
A test of real processes that fails in some runs alone has a cause that begins with `sometimes:`, and may
pass. Any other entry whose test passes, that names no test or that is malformed fails the run, and so do more
than three entries.
"""

from __future__ import annotations

from pathlib import Path

import pytest

KNOWN_RED_FILE = Path(__file__).parent.parent / "KNOWN-RED.txt"
MAX_ENTRIES = 3
SOMETIMES = "sometimes:"


def parse_known_red(text: str) -> dict[str, str]:
    """Return the cause of the failure for each listed test id. Raises ValueError if an entry is malformed, or
    if there are more than `MAX_ENTRIES`."""
    entries = dict[str, str]()
    lines = [line for line in text.splitlines() if line.strip() and not line.startswith("#")]
    for line in lines:
        parts = [part.strip() for part in line.split("|")]
        if len(parts) != 3 or not all(parts) or "::" not in parts[0]:
            raise ValueError(f"expected an entry 'tests/FILE.py::TEST | cause | issue', found {line!r}")
        entries[parts[0]] = f"{parts[1]} (issue {parts[2]})"
    if len(lines) > MAX_ENTRIES:
        raise ValueError(f"{len(lines)} entries found, but at most {MAX_ENTRIES} are allowed")
    return entries


def unknown_tests(entries: dict[str, str], ids: set[str], files: set[str]) -> list[str]:
    """Return the entries whose file is among the collected `files` and whose test is not among `ids`."""
    return [test for test in entries if test not in ids and test.partition("::")[0] in files]


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    try:
        entries = parse_known_red(KNOWN_RED_FILE.read_text() if KNOWN_RED_FILE.exists() else "")
    except ValueError as error:
        raise pytest.UsageError(f"KNOWN-RED.txt: {error}") from None
    ids = {item.nodeid for item in items}
    is_full_run = list(config.args) == list(config.getini("testpaths")) and not config.getoption("keyword")
    files = {test.partition("::")[0] for test in entries} if is_full_run else set[str]()
    if missing := unknown_tests(entries, ids, files):
        raise pytest.UsageError(f"KNOWN-RED.txt lists tests that do not exist: {', '.join(missing)}")
    for item in items:
        if item.nodeid in entries:
            reason = entries[item.nodeid]
            always_fails = not reason.startswith(SOMETIMES)
            item.add_marker(pytest.mark.xfail(reason=reason, strict=always_fails))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    for report in terminalreporter.stats.get("xfailed", []):
        terminalreporter.write_line(f"known red: {report.nodeid}: {report.wasxfail}")
