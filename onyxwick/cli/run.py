"""`onyxwick run`: does the same as `python -m onyxwick` without arguments."""

from __future__ import annotations

import click


@click.command()
def run() -> None:
    """Run one director in the foreground, configured by RELAY_CONFIG, RELAY_LISTEN and RELAY_NAME."""
    from onyxwick.start import main

    raise click.exceptions.Exit(main())
