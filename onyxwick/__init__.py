"""onyxwick: the decision logic of a request router, as a library without clock or I/O."""

from onyxwick.routing import Router

__all__ = ["Router"]
