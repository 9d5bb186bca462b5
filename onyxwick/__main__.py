"""Entry point of `python -m onyxwick`: runs one director or, with arguments, a command.

Only the modules that the command needs are loaded.
"""

from __future__ import annotations

import signal
import sys


def main() -> int:
    """Run the director or a command, and return the exit code."""
    if len(sys.argv) == 1 or sys.argv[1:] == ["run"]:
        # Installed before the imports, which take a while: these signals, unhandled, terminate the process.
        early_signals: list[int] = []
        signal.signal(signal.SIGHUP, lambda number, _: early_signals.append(number))
        for number in (signal.SIGUSR1, signal.SIGUSR2):
            signal.signal(number, signal.SIG_IGN)
        from onyxwick.start import main as run

        return run(early_signals)
    from onyxwick.cli import main as command

    return command()


if __name__ == "__main__":
    sys.exit(main())
