"""The base of all errors that this project raises itself."""

from __future__ import annotations


class OnyxwickError(Exception):
    """Something is wrong that the program can name. Each package has its own errors below this one."""
