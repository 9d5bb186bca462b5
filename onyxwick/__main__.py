"""One real director: `python -m onyxwick`, told by RELAY_CONFIG, RELAY_LISTEN and RELAY_NAME."""

from __future__ import annotations

import logging
import os
import sys
from pathlib import Path
from typing import TYPE_CHECKING

import uvloop

from onyxwick import config
from onyxwick.lifecycle import Director
from onyxwick.throttle import Throttle

if TYPE_CHECKING:
    from onyxwick.service import ServiceConfig

SERVICE_FILE = Path(__file__).parents[1] / "deploy" / "service.toml"


def _service() -> ServiceConfig | None:
    """The hosted service, if a file of ours asks for it. ONYXWICK_SERVICE names another file."""
    path = Path(os.environ.get("ONYXWICK_SERVICE") or SERVICE_FILE)
    if not path.exists():
        return None
    from onyxwick.service import load

    return load(path)


async def _run(told: config.Config, service: ServiceConfig | None) -> None:
    await Director(told, service).run()


def main() -> int:
    handler = logging.StreamHandler(sys.stderr)
    handler.addFilter(Throttle())
    logging.basicConfig(
        level=logging.INFO, format="%(asctime)s %(levelname)s %(message)s", handlers=[handler]
    )
    try:
        told = config.load()
        service = _service()
    except config.ConfigError as error:
        print(f"onyxwick: {error}", file=sys.stderr)
        return 2
    uvloop.run(_run(told, service))
    return 0


if __name__ == "__main__":
    sys.exit(main())
