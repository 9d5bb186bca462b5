"""The list of tests that are known to be red passes over these alone, and over nothing that is sound."""

from __future__ import annotations

import shutil
import subprocess
import sys
from pathlib import Path

import pytest

from tests.conftest import FILE, known_red, unnamed

HERE = Path(__file__).parent


def test_the_list_that_stands_can_be_used() -> None:
    known_red(FILE.read_text() if FILE.exists() else "")


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
def test_an_entry_that_is_malformed_or_one_too_many_is_refused(text: str) -> None:
    with pytest.raises(ValueError):
        known_red(text)


def test_an_entry_that_names_no_test_is_told() -> None:
    entries = known_red("# what is red\ntests/a.py::t | why | 3\n")
    assert unnamed(entries, {"tests/a.py::u"}, {"tests/a.py"}) == ["tests/a.py::t"]
    assert not unnamed(entries, {"tests/a.py::t"}, {"tests/a.py"})


@pytest.mark.parametrize(
    ("body", "listed", "good"),
    [
        ("assert False", "tests/test_it.py::test_it | a fault | 3", True),
        ("assert False", "", False),
        ("assert True", "tests/test_it.py::test_it | a fault | 3", False),  # mended, and still listed
        ("assert True", "tests/test_it.py::test_other | a fault | 3", False),
        ("assert True", "tests/test_it.py::test_it", False),
        ("assert True", "", True),
    ],
)
def test_a_run_passes_over_what_is_listed_and_fails_on_what_is_wrong(
    body: str, listed: str, good: bool, tmp_path: Path
) -> None:
    folder = tmp_path / "tests"
    folder.mkdir()
    shutil.copy(HERE / "conftest.py", folder)
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
    if good and listed:
        assert "known red: tests/test_it.py::test_it" in done.stdout
