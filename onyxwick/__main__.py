"""`python -m onyxwick` runs one director; with arguments, a command, whose modules alone are loaded."""

from __future__ import annotations

import signal
import sys


def main() -> int:
    """Run the director or a command; the exit code."""
    if len(sys.argv) == 1 or sys.argv[1:] == ["run"]:
        # The imports take a while, and a SIGHUP that is not handled ends a process.
        early_signals: list[int] = []
        signal.signal(signal.SIGHUP, lambda number, _: early_signals.append(number))
        from onyxwick.start import main as run

        return run(early_signals)
    from onyxwick.cli import main as command

    return command()


if __name__ == "__main__":
    sys.exit(main())
