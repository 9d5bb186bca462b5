"""Errors of the operations endpoint."""

from __future__ import annotations

from onyxwick.errors import OnyxwickError


class OperationsError(OnyxwickError):
    """Base of the errors of this package."""


class OperatorCommandError(OperationsError):
    """A command cannot be executed because `limit`, the maximum number of disabled caches, is reached."""

    def __init__(self, cache: str, limit: int) -> None:
        # This text is part of the answer to the caller.
        super().__init__(f"{limit} caches are disabled already")
        self.cache = cache
        self.limit = limit


class OperatorCallRejectedError(OperationsError):
    """A request is not a call of the operations endpoint.

    `status` is the 4xx status of the answer, `reason` its short text, and `allowed_method` the method that a
    405 names.
    """

    def __init__(self, status: int, reason: str, allowed_method: str = "") -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason
        self.allowed_method = allowed_method


class CommandFileError(OperationsError, ValueError):
    """The command file was read, but its content is not a valid set of operator commands."""

    def __init__(self, problem: str) -> None:
        super().__init__(problem)
        self.problem = problem
