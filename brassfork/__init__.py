"""brassfork: the decisions of a request router, as a library without clock or I/O."""

from brassfork.logic import Router

__all__ = ["Router"]
