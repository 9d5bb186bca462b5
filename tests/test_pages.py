"""The pages name only files that exist, and the page of log lines only events that the code logs."""

from __future__ import annotations

import ast
import re

from tests.exchange import ROOT

PAGES = [
    ROOT / "README.md",
    ROOT / "DEVELOPERS.md",
    *sorted(page for page in (ROOT / "docs").glob("*.md") if page.name != "ROADMAP.md"),
    *sorted((ROOT / "docs" / "design").glob("*.md")),
    *sorted((ROOT / "docs" / "operate").glob("*.md")),
]
# Files of other projects that DEVELOPERS.md names as models
FOREIGN_PATHS = {"util/retry.py"}
PATH = re.compile(r"(?<![\w/.*-])(?:[\w-]+/)+[\w-]+\.py\b|(?<![\w/.*-])docs/(?:[\w-]+/)*[\w-]+\.md\b")
LOGS = (ROOT / "docs" / "operate" / "logs.md").read_text()


def _missing_paths(text: str) -> set[str]:
    """Return the paths named in `text` that exist neither in the repository nor in the package."""
    paths = set(PATH.findall(text)) - FOREIGN_PATHS
    return {
        path for path in paths if not (ROOT / path).is_file() and not (ROOT / "onyxwick" / path).is_file()
    }


def _strings_and_patterns() -> tuple[set[str], list[str]]:
    """Return the package's string constants, and a regular expression for each f-string in a log call."""
    strings = set[str]()
    patterns = list[str]()
    for file in (ROOT / "onyxwick").rglob("*.py"):
        for node in ast.walk(ast.parse(file.read_text())):
            if isinstance(node, ast.Constant) and isinstance(node.value, str):
                strings.add(node.value)
            if isinstance(node, ast.Call) and ast.unparse(node.func).startswith("log.") and node.args:
                event = node.args[0]
                if isinstance(event, ast.JoinedStr):
                    parts = (
                        re.escape(str(p.value)) if isinstance(p, ast.Constant) else ".+" for p in event.values
                    )
                    patterns.append("".join(parts))
    return strings, patterns


STRINGS, PATTERNS = _strings_and_patterns()


def _is_in_code(text: str) -> bool:
    """Return whether the code holds `text`; words in capitals, such as CAUSE, stand for values."""
    fragments = [part.strip(" :") for part in re.split(r"\b(?:[A-Z]|[A-Z]{4,})\b", text)]
    if len(fragments) > 1:
        return all(any(fragment in string for string in STRINGS) for fragment in fragments)
    return text in STRINGS or any(re.fullmatch(pattern, text) for pattern in PATTERNS)


def _cells(page: str) -> set[str]:
    """Return the cells of the first column of the tables whose first column is headed `event`."""
    cells = set[str]()
    in_table = False
    for line in page.splitlines():
        cell = line.removeprefix("|").split("|")[0].strip() if line.startswith("|") else ""
        in_table = bool(cell) and (in_table or cell == "event")
        if in_table and cell != "event" and not cell.startswith("---"):
            cells.add(cell)
    return cells


def _stale_events(page: str) -> set[str]:
    """Return the events in the first column of the page's tables that the code does not hold.

    A cell holds texts in backticks, or one event, or several events with commas between them.
    """
    stale = set[str]()
    for cell in _cells(page):
        quoted = [text.strip() for text in re.findall(r"`([^`]+)`", cell)]
        events = quoted or ([cell] if _is_in_code(cell) else cell.split(", "))
        stale |= {event for event in events if not _is_in_code(event)}
    return stale


def test_every_path_that_a_page_names_exists() -> None:
    missing = {page.name: paths for page in PAGES if (paths := _missing_paths(page.read_text()))}
    assert not missing


def test_a_planted_stale_path_is_found() -> None:
    planted = "`core/reasons.py`, `core/gone.py`, `tests/test_gone.py` and docs/operate/gone.md"
    assert _missing_paths(planted) == {"core/gone.py", "tests/test_gone.py", "docs/operate/gone.md"}


def test_every_event_on_the_page_of_log_lines_is_in_the_code() -> None:
    assert len(_cells(LOGS)) > 50
    assert not _stale_events(LOGS)


def test_a_planted_stale_event_is_found() -> None:
    rows = ("event", "---", "request not served, a planted event", "why `planted nowhere: CAUSE`")
    planted = "".join(f"| {cell} | - |\n" for cell in rows)
    assert _stale_events(planted) == {"a planted event", "planted nowhere: CAUSE"}
