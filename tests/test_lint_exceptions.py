"""The number of per-file exceptions to lint rules only decreases, and each exception is in use."""

from __future__ import annotations

import json
import subprocess
import sys
import tomllib

from tests.exchange import ROOT

EXCEPTION_COUNT = 31  # pairs of file and rule; lower it with each exception that is removed, never raise it
RULES = "N,D100,D101,D102,D103,D104,C901"
FOLDERS_WITHOUT_EXCEPTIONS = ("onyxwick/core/", "onyxwick/distribution/", "onyxwick/lab/scale/")


def _exceptions() -> set[tuple[str, str]]:
    project = tomllib.loads((ROOT / "pyproject.toml").read_text())
    rows = project["tool"]["ruff"]["lint"]["per-file-ignores"]
    return {(file, rule) for file, rules in rows.items() if file != "tests/*" for rule in rules}


def _violations() -> set[tuple[str, str]]:
    command = [sys.executable, "-m", "ruff", "check", "onyxwick", "tests", "examples", "--isolated"]
    done = subprocess.run(
        [*command, "--select", RULES, "--output-format", "json"], cwd=ROOT, capture_output=True, text=True
    )
    rows = json.loads(done.stdout)
    return {(row["filename"].removeprefix(f"{ROOT}/"), row["code"]) for row in rows}


def test_the_number_of_exceptions_only_decreases() -> None:
    exceptions = _exceptions()
    assert len(exceptions) == EXCEPTION_COUNT
    assert not {pair for pair in exceptions if pair[0].startswith(FOLDERS_WITHOUT_EXCEPTIONS)}
    unused = exceptions - _violations()
    assert not unused, "an exception has become unnecessary: remove it from the list in pyproject.toml"
