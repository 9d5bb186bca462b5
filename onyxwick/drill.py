"""Former name of `onyxwick.simulator_adapter`, available as an alias for one release."""

from __future__ import annotations

import sys

from onyxwick.simulator_adapter import main

if __name__ == "__main__":
    print(
        "onyxwick.drill is now onyxwick.simulator_adapter; the next release removes the old name",
        file=sys.stderr,
    )
    sys.exit(main())
