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

if TYPE_CHECKING:
    from onyxwick.dns.config import DnsConfig

DNS_FILE = Path(__file__).parents[1] / "deploy" / "dns.toml"


def _names() -> DnsConfig | None:
    """The DNS front's configuration, if a file of ours asks for that front. ONYXWICK_DNS names another."""
    path = Path(os.environ.get("ONYXWICK_DNS") or DNS_FILE)
    if not path.exists():
        return None
    from onyxwick.dns.config import load

    return load(path)


async def _run(told: config.Config, names: DnsConfig | None) -> None:
    await Director(told, names).run()


def main() -> int:
    logging.basicConfig(level=logging.INFO, format="%(asctime)s %(levelname)s %(message)s", stream=sys.stderr)
    try:
        told = config.load()
        names = _names()
    except config.ConfigError as error:
        print(f"onyxwick: {error}", file=sys.stderr)
        return 2
    uvloop.run(_run(told, names))
    return 0


if __name__ == "__main__":
    sys.exit(main())
