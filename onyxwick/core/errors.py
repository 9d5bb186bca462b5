"""Errors of the core."""

from __future__ import annotations

from onyxwick.errors import OnyxwickError


class CoreError(OnyxwickError):
    """Base of the errors of this package."""


class StartupError(CoreError):
    """The program cannot start as configured. The text says why and is shown to the operator."""
