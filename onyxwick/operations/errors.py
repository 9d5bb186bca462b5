"""Errors of the operations endpoint."""

from __future__ import annotations

from onyxwick.errors import OnyxwickError


class OperationsError(OnyxwickError):
    """Base of the errors of this package."""


class OperatorCommandError(OperationsError):
    """A command that cannot be carried out, as a limit is reached. `limit`: how many are allowed."""

    def __init__(self, cache: str, limit: int) -> None:
        # The text is part of the answer to the caller.
        super().__init__(f"{limit} caches are disabled already")
        self.cache = cache
        self.limit = limit


class OperatorCallRejectedError(OperationsError):
    """A request that is none of the endpoint's calls.

    `status`: the 4xx to answer with. `reason`: its short text. `allowed_method`: for a 405.
    """

    def __init__(self, status: int, reason: str, allowed_method: str = "") -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason
        self.allowed_method = allowed_method


class CommandFileError(OperationsError, ValueError):
    """The command file was read, and its content is no set of operator commands."""

    def __init__(self, problem: str) -> None:
        super().__init__(problem)
        self.problem = problem
