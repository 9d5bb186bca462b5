"""Calls to the administration API of one director, for the commands that ask a running one."""

from __future__ import annotations

import http.client
import json
from pathlib import Path
from typing import Any

import click

from onyxwick.cli import UnusableInputError
from onyxwick.config.address import AddressError, format_address, read_address

TIMEOUT_S = 10.0
FIRST_ERROR_STATUS = 400
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
            self.address = read_address(address)
            self.token = token_file.read_text().strip()
        except (AddressError, ValueError, OSError) as error:
            raise UnusableInputError(str(error)) from None

    def call(
        self, method: str, path: str, body: object = None, expected_version: int | None = None
    ) -> dict[str, Any]:
        """The API's JSON answer; UnusableInputError where it cannot be reached or answers with an error.

        `expected_version`: the call changes something only if this version of the plan is active.
        """
        headers = {"Authorization": f"Bearer {self.token}"}
        if expected_version is not None:
            headers["If-Match"] = str(expected_version)
        connection = http.client.HTTPConnection(*self.address, timeout=TIMEOUT_S)
        try:
            connection.request(method, path, json.dumps(body) if body is not None else None, headers)
            response = connection.getresponse()
            answer = json.loads(response.read() or b"{}")
        except (OSError, http.client.HTTPException, ValueError) as error:
            where = f"administration API at {format_address(self.address)}"
            raise UnusableInputError(f"{where}: {error}") from None
        finally:
            connection.close()
        if response.status >= FIRST_ERROR_STATUS:
            raise UnusableInputError(f"{response.status}: {answer.get('error', '')}")
        assert isinstance(answer, dict)
        return answer


def remote_of(ctx: click.Context, command: str) -> RemoteDirector:
    """The director that a group's options name; the group has put them into the context."""
    admin, token_file = ctx.obj
    if token_file is None:
        raise UnusableInputError(
            f"--token-file is wanted before the command, as: onyxwick {command} --token-file FILE show"
        )
    return RemoteDirector(admin, token_file)
