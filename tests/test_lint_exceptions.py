"""The per-file exceptions to lint rules only become fewer: none more than there are, and none out of use."""

from __future__ import annotations

import json
import subprocess
import sys
import tomllib

from tests.exchange import ROOT

MOST = 41  # file and rule; lower it with each one that is mended, never raise it
RULES = "N,D100,D101,D102,D103,D104,C901"
NEVER = ("onyxwick/core/", "onyxwick/distribution/", "onyxwick/lab/scale/")


def _exceptions() -> set[tuple[str, str]]:
    told = tomllib.loads((ROOT / "pyproject.toml").read_text())
    rows = told["tool"]["ruff"]["lint"]["per-file-ignores"]
    return {(file, rule) for file, rules in rows.items() if file != "tests/*" for rule in rules}


def _found() -> set[tuple[str, str]]:
    command = [sys.executable, "-m", "ruff", "check", "onyxwick", "tests", "examples", "--isolated"]
    done = subprocess.run(
        [*command, "--select", RULES, "--output-format", "json"], cwd=ROOT, capture_output=True, text=True
    )
    rows = json.loads(done.stdout)
    return {(row["filename"].removeprefix(f"{ROOT}/"), row["code"]) for row in rows}


def test_exceptions_only_become_fewer() -> None:
    exceptions = _exceptions()
    assert len(exceptions) == MOST
    assert not {pair for pair in exceptions if pair[0].startswith(NEVER)}
    unused = exceptions - _found()
    assert not unused, "mended: take it off the list in pyproject.toml"
