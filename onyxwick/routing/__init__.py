"""Routing decisions: which cache, which fill source, whether again, what is rejected. No clock and no I/O.

`Router` (router.py) takes events and returns actions; each rule is a module of its own, listed there.
"""

from onyxwick.routing.router import Router

__all__ = ["Router"]
