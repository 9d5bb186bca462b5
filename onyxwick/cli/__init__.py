"""The command line. Each command is a thin file that is loaded only when it is called."""

from __future__ import annotations

import importlib

import click

from onyxwick.config.errors import ConfigError

COMMANDS = {  # name: (module with a click command of that name, what it is for)
    "run": ("onyxwick.cli.run", "Run one director in the foreground."),
    "cells": ("onyxwick.cli.cells", "What the cells do, what a plan would do, and moves."),
    "sites": ("onyxwick.cli.sites", "The loss of a whole site: plans, states, drills."),
    "lab": ("onyxwick.cli.lab", "Scenarios against the real program, judged from the sockets."),
    "store": ("onyxwick.cli.store", "What a store holds, and what to do when it refuses."),
    "trace": ("onyxwick.cli.trace", "What a trace tells: cut, merge, summarise, explain, audit and more."),
    "distribution": ("onyxwick.cli.distribution", "The tree that carries lists, purges and documents."),
    "config": ("onyxwick.cli.config", "Check configuration files."),
}


class UnusableInputError(click.ClickException):
    """Input that cannot be used: exit code 2."""

    exit_code = 2


class LazyGroup(click.Group):
    """A group that knows its commands by name and loads one when it is asked for."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        return list(COMMANDS)

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        if cmd_name not in COMMANDS:
            return None
        command = getattr(importlib.import_module(COMMANDS[cmd_name][0]), cmd_name)
        assert isinstance(command, click.Command)
        return command

    def format_commands(self, ctx: click.Context, formatter: click.HelpFormatter) -> None:
        with formatter.section("Commands"):  # from the table: help is no reason to load them all
            formatter.write_dl([(name, text) for name, (_, text) in COMMANDS.items()])


@click.command(cls=LazyGroup, context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(package_name="onyxwick")
def onyxwick() -> None:
    """A request router for edge caches. Exit codes: 0 well, 1 a finding, 2 unusable input."""


def main() -> int:
    try:
        code = onyxwick(prog_name="onyxwick", standalone_mode=False)
    except click.ClickException as error:
        error.show()
        return error.exit_code
    except click.Abort:
        return 1
    except ConfigError as error:
        click.echo(f"onyxwick: {error}", err=True)
        return 2
    return code if isinstance(code, int) else 0
