"""The common base of the cell router and the site router, which distribute requests among subrouters.

A subrouter is a complete router for a part of the fleet (one cell or one site) to which the outer router
dispatches events. The term is used because "router" alone would not say which of the two levels is meant, and
because subrouters can be nested: the subrouter of a site may itself be a cell router with subrouters.
This package does no I/O.
"""

from onyxwick.subrouters.dispatcher import RequestOwner, Subrouter, SubrouterDispatcher

__all__ = ["RequestOwner", "Subrouter", "SubrouterDispatcher"]
