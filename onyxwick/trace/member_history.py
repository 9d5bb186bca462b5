"""Reconstructs the member states that each director knew over time.

The sources are the endpoint lists and the starts of members in a trace.

The module takes notifications and returns, by director and member, the times at which the member's state
changed for that director, on the director's clock in Unix microseconds.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from onyxwick.trace import format as f
from onyxwick.trace.model import NotificationKind


@dataclass(slots=True)
class MemberHistory:
    """The states of one member as known to one director, with one entry per change."""

    changed_us: list[int] = field(default_factory=list)
    ready: list[bool] = field(default_factory=list)
    listed: list[bool] = field(default_factory=list)

    def add(self, at_us: int, ready: bool, listed: bool) -> None:
        """Add a change."""
        self.changed_us.append(at_us)
        self.ready.append(ready)
        self.listed.append(listed)


Histories = dict[tuple[str, str], MemberHistory]
"""Histories by (director, member)."""


def member_histories(notifications: Iterable[f.Notification], file_director: str) -> Histories:
    """Return the histories of all members.

    `file_director` is the director of the notifications that do not name one.
    """
    histories: Histories = {}
    known: dict[str, set[str]] = {}
    kinds = (NotificationKind.LIST, NotificationKind.START)
    relevant = [notification for notification in notifications if notification.kind in kinds]
    for kind, at_us, data in sorted(relevant, key=lambda notification: notification.at_us):
        director = str(data.get("director", file_director))
        if kind == NotificationKind.START:
            _remove(histories, director, known.pop(director, set()), at_us)
            continue
        states = {str(row[0]): str(row[3]) for row in data.get("members", ())}
        if data.get("full"):
            _remove(histories, director, known.get(director, set()) - set(states), at_us)
        for member, state in states.items():
            history = histories.setdefault((director, member), MemberHistory())
            history.add(at_us, ready=state == "ready", listed=state != "gone")
            known.setdefault(director, set()).add(member)
    return histories


def _remove(histories: Histories, director: str, members: set[str], at_us: int) -> None:
    for member in members:
        history = histories.setdefault((director, member), MemberHistory())
        history.add(at_us, ready=False, listed=False)
