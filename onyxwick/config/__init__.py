"""Reads and validates all configuration: the platform's JSON file and the hosted service's HCL files."""

from onyxwick.config.errors import ConfigError

__all__ = ["ConfigError"]
