"""One real director: `python -m onyxwick`, told by RELAY_CONFIG, RELAY_LISTEN and RELAY_NAME."""

from __future__ import annotations

import logging
import sys

import uvloop

from onyxwick import config
from onyxwick.lifecycle import Director


async def _run(told: config.Config) -> None:
    await Director(told).run()


def main() -> int:
    logging.basicConfig(level=logging.INFO, format="%(asctime)s %(levelname)s %(message)s", stream=sys.stderr)
    try:
        told = config.load()
    except config.ConfigError as error:
        print(f"onyxwick: {error}", file=sys.stderr)
        return 2
    uvloop.run(_run(told))
    return 0


if __name__ == "__main__":
    sys.exit(main())
