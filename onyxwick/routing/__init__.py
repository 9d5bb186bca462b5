"""Routing decisions: the cache and the fill source of a request, retries and rejections. No clock, no I/O.

`Router` (router.py) takes events and returns actions. Each rule has its own module; router.py lists them.
"""

from onyxwick.routing.router import Router

__all__ = ["Router"]
