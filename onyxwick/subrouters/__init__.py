"""Routers that distribute requests among other routers: what cells and sites have in common. No I/O here."""

from onyxwick.subrouters.dispatcher import RequestOwner, Subrouter, SubrouterDispatcher

__all__ = ["RequestOwner", "Subrouter", "SubrouterDispatcher"]
