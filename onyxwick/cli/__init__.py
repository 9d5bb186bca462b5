"""The command line: a group of commands whose modules are imported only when the command is called.

Exit codes: 0 success, 1 a finding, 2 unusable input.
"""

from __future__ import annotations

import importlib
from typing import NamedTuple

import click

from onyxwick.config.errors import ConfigError

FINDING_EXIT_CODE = 1
UNUSABLE_EXIT_CODE = 2


class CommandEntry(NamedTuple):
    """A command of the help list: the module that defines the click command of that name, and its purpose."""

    module: str
    purpose: str


COMMANDS = {
    "run": CommandEntry("onyxwick.cli.run", "Run one director in the foreground."),
    "cells": CommandEntry("onyxwick.cli.cells", "Show the cells, preview a plan, and move tenants."),
    "sites": CommandEntry("onyxwick.cli.sites", "Plan for, observe and rehearse the loss of a whole site."),
    "lab": CommandEntry(
        "onyxwick.cli.lab", "Run scenarios against the real program and judge them by its socket traffic."
    ),
    "store": CommandEntry(
        "onyxwick.cli.store", "Inspect and back up a store, and repair one that does not open."
    ),
    "trace": CommandEntry("onyxwick.cli.trace", "Cut, merge, summarise, explain and audit traces, and more."),
    "distribution": CommandEntry(
        "onyxwick.cli.distribution", "Run and plan the tree that distributes lists, purges and documents."
    ),
    "config": CommandEntry("onyxwick.cli.config", "Check configuration files."),
}


class UnusableInputError(click.ClickException):
    """Raised for unusable input; the message names the input and the reason."""

    exit_code = UNUSABLE_EXIT_CODE


class LazyGroup(click.Group):
    """A group that lists its commands by name and imports a command only when it is called."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Return the command names in the order of the help."""
        return list(COMMANDS)

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """Import and return a command; None for an unknown name."""
        entry = COMMANDS.get(cmd_name)
        if entry is None:
            return None
        command = getattr(importlib.import_module(entry.module), cmd_name)
        assert isinstance(command, click.Command)
        return command

    def format_commands(self, ctx: click.Context, formatter: click.HelpFormatter) -> None:
        """Write the list of commands from `COMMANDS`, without importing their modules."""
        with formatter.section("Commands"):
            formatter.write_dl([(name, entry.purpose) for name, entry in COMMANDS.items()])


@click.command(cls=LazyGroup, context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(package_name="onyxwick")
def onyxwick() -> None:
    """A request router for edge caches. Exit codes: 0 success, 1 a finding, 2 unusable input."""


def main() -> int:
    """Run the command line of this process and return its exit code."""
    try:
        code = onyxwick(prog_name="onyxwick", standalone_mode=False)
    except click.ClickException as error:
        error.show()
        return error.exit_code
    except click.Abort:
        return FINDING_EXIT_CODE
    except ConfigError as error:
        click.echo(f"onyxwick: {error}", err=True)
        return UNUSABLE_EXIT_CODE
    return code if isinstance(code, int) else 0
