"""`python -m onyxwick`: one real director; with words behind it, a command. Bare, it loads no other."""

from __future__ import annotations

import sys


def main() -> int:
    if len(sys.argv) == 1 or sys.argv[1:] == ["run"]:
        from onyxwick.lifecycle import main as run

        return run()
    from onyxwick.cli import main as command

    return command()


if __name__ == "__main__":
    sys.exit(main())
