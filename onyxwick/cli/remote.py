"""Calls to the administration API of one director, for the commands that ask a running one."""

from __future__ import annotations

import http.client
import json
from pathlib import Path
from typing import Any

import click

from onyxwick.cli import UnusableInputError
from onyxwick.config.address import read_address

TIMEOUT_S = 10.0
json_option = click.option("--json", "as_json", is_flag=True, help="JSON on standard output.")
admin_option = click.option(
    "--admin", default="127.0.0.1:8053", show_default=True, help="The administration API."
)
token_option = click.option(
    "--token-file", type=click.Path(path_type=Path), help="A file with the operator's token."
)


class RemoteDirector:
    """The administration API of one director."""

    def __init__(self, address: str, token_file: Path) -> None:
        try:
            self.address, self.token = read_address(address), token_file.read_text().strip()
        except (ValueError, OSError) as error:
            raise UnusableInputError(str(error)) from None

    def call(
        self, method: str, path: str, data: object = None, made_for: int | None = None
    ) -> dict[str, Any]:
        head = {"Authorization": f"Bearer {self.token}"}
        if made_for is not None:
            head["If-Match"] = str(made_for)
        connection = http.client.HTTPConnection(*self.address, timeout=TIMEOUT_S)
        try:
            connection.request(method, path, json.dumps(data) if data is not None else None, head)
            answer = connection.getresponse()
            told = json.loads(answer.read() or b"{}")
        except (OSError, http.client.HTTPException, ValueError) as error:
            raise UnusableInputError(
                f"administration API at {self.address[0]}:{self.address[1]}: {error}"
            ) from None
        finally:
            connection.close()
        if answer.status >= 400:
            raise UnusableInputError(f"{answer.status}: {told.get('error', '')}")
        assert isinstance(told, dict)
        return told


def remote_of(ctx: click.Context, command: str) -> RemoteDirector:
    """What a group's options name; the group has put them into the context."""
    admin, token_file = ctx.obj
    if token_file is None:
        raise UnusableInputError(
            f"--token-file is wanted before the command, as: onyxwick {command} --token-file FILE show"
        )
    return RemoteDirector(admin, token_file)
