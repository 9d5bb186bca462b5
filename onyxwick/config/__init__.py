"""Readers and checks of every form of configuration: the platform's JSON, the hosted service's HCL."""

from onyxwick.config.errors import ConfigError

__all__ = ["ConfigError"]
