"""The command line: a lazy group of commands, each in a file that is loaded when it is called.

Exit codes: 0 success, 1 a finding, 2 input that cannot be used.
"""

from __future__ import annotations

import importlib
from typing import NamedTuple

import click

from onyxwick.config.errors import ConfigError

FINDING_EXIT_CODE = 1
UNUSABLE_EXIT_CODE = 2


class CommandEntry(NamedTuple):
    """A command as the help lists it: the module with a click command of its name, and its purpose."""

    module: str
    purpose: str


COMMANDS = {
    "run": CommandEntry("onyxwick.cli.run", "Run one director in the foreground."),
    "cells": CommandEntry("onyxwick.cli.cells", "What the cells do, what a plan would do, and moves."),
    "sites": CommandEntry("onyxwick.cli.sites", "The loss of a whole site: plans, states, drills."),
    "lab": CommandEntry("onyxwick.cli.lab", "Scenarios against the real program, judged from the sockets."),
    "store": CommandEntry("onyxwick.cli.store", "What a store holds, and what to do when it refuses."),
    "trace": CommandEntry(
        "onyxwick.cli.trace", "What a trace tells: cut, merge, summarise, explain, audit and more."
    ),
    "distribution": CommandEntry(
        "onyxwick.cli.distribution", "The tree that carries lists, purges and documents."
    ),
    "config": CommandEntry("onyxwick.cli.config", "Check configuration files."),
}


class UnusableInputError(click.ClickException):
    """Input that cannot be used; the message says which and why."""

    exit_code = UNUSABLE_EXIT_CODE


class LazyGroup(click.Group):
    """A group that knows its commands by name and imports one only when it is called."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        """The commands in the order of the help."""
        return list(COMMANDS)

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """Import a command; None for an unknown name."""
        entry = COMMANDS.get(cmd_name)
        if entry is None:
            return None
        command = getattr(importlib.import_module(entry.module), cmd_name)
        assert isinstance(command, click.Command)
        return command

    def format_commands(self, ctx: click.Context, formatter: click.HelpFormatter) -> None:
        """Write the help's list from the table, without importing the commands."""
        with formatter.section("Commands"):
            formatter.write_dl([(name, entry.purpose) for name, entry in COMMANDS.items()])


@click.command(cls=LazyGroup, context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(package_name="onyxwick")
def onyxwick() -> None:
    """A request router for edge caches. Exit codes: 0 well, 1 a finding, 2 unusable input."""


def main() -> int:
    """Run the command line of this process; the exit code."""
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
