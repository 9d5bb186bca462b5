"""A client of one director's administration API, for the commands that query a running director."""

from __future__ import annotations

import http.client
import json
from pathlib import Path
from typing import Any

import click

from onyxwick.cli import UnusableInputError
from onyxwick.config.address import AddressError, format_address, read_address

REQUEST_TIMEOUT_S = 10.0
FIRST_ERROR_STATUS = 400
json_option = click.option("--json", "as_json", is_flag=True, help="Print JSON to standard output.")
admin_option = click.option(
    "--admin", default="127.0.0.1:8053", show_default=True, help="Address of the administration API."
)
token_option = click.option(
    "--token-file", type=click.Path(path_type=Path), help="File that contains the operator's token."
)


class RemoteDirector:
    """A client of the administration API of one director."""

    def __init__(self, address: str, token_file: Path) -> None:
        try:
            self.address = read_address(address)
            self.token = token_file.read_text().strip()
        except (AddressError, ValueError, OSError) as error:
            raise UnusableInputError(str(error)) from None

    def call(
        self, method: str, path: str, body: object = None, expected_version: int | None = None
    ) -> dict[str, Any]:
        """Call the API and return its JSON answer.

        With `expected_version`, the director makes the change only if this version of the plan is active.
        Raises UnusableInputError if the API cannot be reached or answers with an error.
        """
        headers = {"Authorization": f"Bearer {self.token}"}
        if expected_version is not None:
            headers["If-Match"] = str(expected_version)
        connection = http.client.HTTPConnection(*self.address, timeout=REQUEST_TIMEOUT_S)
        try:
            connection.request(method, path, json.dumps(body) if body is not None else None, headers)
            response = connection.getresponse()
            answer = json.loads(response.read() or b"{}")
        except (OSError, http.client.HTTPException, ValueError) as error:
            endpoint = f"administration API at {format_address(self.address)}"
            raise UnusableInputError(f"{endpoint}: {error}") from None
        finally:
            connection.close()
        if response.status >= FIRST_ERROR_STATUS:
            raise UnusableInputError(
                f"administration API answered status {response.status}: {answer.get('error', '')}"
            )
        assert isinstance(answer, dict)
        return answer


def remote_director(ctx: click.Context, command: str) -> RemoteDirector:
    """Return the director named by a command group's options, which the group has stored in the context."""
    admin, token_file = ctx.obj
    if token_file is None:
        raise UnusableInputError(
            f"--token-file is missing; give it before the command: onyxwick {command} --token-file FILE show"
        )
    return RemoteDirector(admin, token_file)
