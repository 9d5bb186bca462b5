"""The base class of all errors that this project raises itself."""

from __future__ import annotations


class OnyxwickError(Exception):
    """Base class of errors that the program can identify. Each package derives its own errors from it."""
