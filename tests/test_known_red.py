"""The list of known failing tests excuses exactly the listed tests, and only while they fail."""

from __future__ import annotations

import shutil
import subprocess
import sys
from pathlib import Path

import pytest

from tests.conftest import KNOWN_RED_FILE, parse_known_red, unknown_tests

TESTS_FOLDER = Path(__file__).parent


def test_the_current_list_is_valid() -> None:
    parse_known_red(KNOWN_RED_FILE.read_text() if KNOWN_RED_FILE.exists() else "")


@pytest.mark.parametrize(
    "text",
    [
        "tests/a.py::t",
        "tests/a.py::t | why",
        "tests/a.py::t | | 3",
        "a | b | 3",
        "x::y | a | 1 | more",
        "\n".join(f"tests/a.py::t{n} | why | 3" for n in range(4)),
    ],
)
def test_a_malformed_entry_or_one_entry_too_many_is_rejected(text: str) -> None:
    with pytest.raises(ValueError):
        parse_known_red(text)


def test_an_entry_that_names_no_test_is_reported() -> None:
    entries = parse_known_red("# known failures\ntests/a.py::t | why | 3\n")
    assert unknown_tests(entries, {"tests/a.py::u"}, {"tests/a.py"}) == ["tests/a.py::t"]
    assert not unknown_tests(entries, {"tests/a.py::t"}, {"tests/a.py"})


@pytest.mark.parametrize(
    ("body", "listed", "good"),
    [
        ("assert False", "tests/test_it.py::test_it | a fault | 3", True),
        ("assert False", "", False),
        ("assert True", "tests/test_it.py::test_it | a fault | 3", False),  # fixed, but still listed
        ("assert True", "tests/test_it.py::test_other | a fault | 3", False),
        ("assert True", "tests/test_it.py::test_it", False),
        ("assert True", "", True),
        ("assert True", "tests/test_it.py::test_it | sometimes: a fault | 3", True),
        ("assert False", "tests/test_it.py::test_it | sometimes: a fault | 3", True),
        ("assert False", "tests/test_it.py::test_other | sometimes: a fault | 3", False),
    ],
)
def test_a_run_excuses_listed_failures_and_fails_on_all_others(
    body: str, listed: str, good: bool, tmp_path: Path
) -> None:
    folder = tmp_path / "tests"
    folder.mkdir()
    shutil.copy(TESTS_FOLDER / "conftest.py", folder)
    (folder / "__init__.py").touch()
    (folder / "test_it.py").write_text(f"def test_it():\n    {body}\n")
    (tmp_path / "pyproject.toml").write_text('[tool.pytest.ini_options]\ntestpaths = ["tests"]\n')
    (tmp_path / "KNOWN-RED.txt").write_text(listed + "\n")
    done = subprocess.run(
        [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider"],
        cwd=tmp_path,
        capture_output=True,
        text=True,
        check=False,
        timeout=60,
    )
    assert (done.returncode == 0) is good, done.stdout + done.stderr
    if good and listed and "False" in body:
        assert "known red: tests/test_it.py::test_it" in done.stdout
