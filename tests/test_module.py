"""Limits on the module's text, and the library's own shape."""

from __future__ import annotations

import re
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).parent.parent
TEXT = (ROOT / "onyxwick" / "logic.py").read_text()


def test_line_limits() -> None:
    lines = [line for line in TEXT.splitlines() if line.strip()]
    assert len(lines) <= 740
    assert max(map(len, lines)) <= 110


def test_names_the_interface_first() -> None:
    assert "onyxwick/interface.py" in TEXT.split('"""')[1].split("\n\n")[0]


def test_is_pure() -> None:
    assert not re.search(r"\bimport (time|os|sys|datetime)\b|\bhash\(|\bopen\(|\bprint\(|\bset\(", TEXT)


def test_readme_example_runs() -> None:
    blocks = re.findall(r"```python\n(.*?)```", (ROOT / "README.md").read_text(), re.S)
    assert blocks
    for block in blocks:
        done = subprocess.run(
            [sys.executable, "-c", block], cwd=ROOT, capture_output=True, text=True, check=False
        )
        assert done.returncode == 0, done.stderr
        assert "Fetch(" in done.stdout
