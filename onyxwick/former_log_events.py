"""Former texts of renamed log events, which are logged as `former_event` with each such line for one release.

This gives time to move dashboards and alerts that search for a former text. `docs/operate/logs.md` describes
the meaning of each line.
"""

from __future__ import annotations

from collections.abc import MutableMapping
from typing import Any

FORMER_EVENTS = {
    "DNS update not durable, rolled back": "update not durable, and not done",
    "attempt retried": "attempt again",
    "background commit failed": "not recorded",
    "bad input to the operations endpoint": "bad input to the door",
    "cache confirmed another etag": "'unchanged' under another tag",
    "cache connection closed with attempts": "connection with calls ended",
    "connect failed locally, retrying": "connect failed on this machine",
    "disabled caches changed": "caches left out",
    "distribution event failed": "error in an event of the distribution feed",
    "document applied": "document in force",
    "document queued": "document",
    "error in a background task": "error in a task of the director",
    "error in operator command file check": "error in the door's look at its file",
    "feed connection closed": "the feed's connection is given up",
    "feed event failed": "error in an event of the coordinator",
    "feed handling failed": "error in the coordinator's events",
    "feed parent disconnected": "parent of the feed given up",
    "feed parent lost": "parent of the feed lost",
    "front closed": "ended",
    "internal error in a DNS query": "error in a DNS query",
    "internal error in a call": "error in a call",
    "internal error in a commit": "error in a commit",
    "invalid cache reply, connection closed": "connection closed",
    "invalid client input": "bad input of a client",
    "invalid coordinator input": "bad input of the coordinator",
    "invalid document part": "bad part of a document",
    "invalid feed event": "bad event of the feed",
    "invalid feed row": "bad row of the feed",
    "invalid snapshot part": "bad part of a snapshot",
    "invalid subscriber request": "bad request of a subscriber",
    "listening socket closed with connections waiting": (
        "the listening socket closes before all who wait are taken in"
    ),
    "missing feed events skipped": "events never came whole and are given up",
    "no connection slot for attempt": "no place for a connection",
    "no feasible plan for site loss": "a loss that cannot be borne",
    "no plan for site losses": "no plan for the loss of sites",
    "operations endpoint on": "door on",
    "operator call answered": "operators' call answered",
    "operator call for unknown cache": "a call for a cache never listed",
    "operator call rejected": "a call that the door does not take",
    "operator command file invalid": "the door's file cannot be used",
    "operator command file of predecessor unreadable": "the door's file of a predecessor cannot be read",
    "operator command file read failed, retrying": "the door's file fails, and is tried again",
    "operator command file write failed, retrying": "the door's file fails, and is tried again",
    "operator commands of predecessor restored": "orders of a predecessor",
    "operator commands taken over": "orders taken from the other process",
    "operator commands were not written": "the operators' commands were never written",
    "plan for site losses installed": "plan for the loss of sites",
    "plan of cells restored from store": "plan of cells from the store",
    "reload failed, documents unchanged": "documents kept as they were",
    "reload ignored, a relay reads no documents": "a relay has nothing to read again",
    "request not served": "request refused",
    "router message": "module",
    "shutdown cancelled": "ending taken back",
    "shutdown stage": "ending",
    "site state changed": "site",
    "store not closed in time": "the store was not closed in time",
    "trace started": "trace begun",
    "trace stopped after an internal error": "the trace ends for an error of its own",
}
"""Maps the present text of each renamed log event to its former text."""


def add_former_event(logger: Any, method: str, event: MutableMapping[str, Any]) -> MutableMapping[str, Any]:
    """Add `former_event` to a line whose text was renamed; a processor of structlog."""
    former = FORMER_EVENTS.get(event["event"])
    if former is not None:
        event["former_event"] = former
    return event
