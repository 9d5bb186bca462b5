"""Purges: the maximum age of a copy that may answer a request.

Input: purges of an object or a group of objects, with their age (microseconds). Output: a maximum age
(microseconds) for each attempt, limited so that no copy made before a purge may answer. A purge is
remembered until no copy older than it is left at any member.
"""

from __future__ import annotations

from onyxwick.interface import ObjectsPurged, RequestArrived, RouterSettings
from onyxwick.routing.state import RequestState
from onyxwick.routing.units import US_PER_S

RETENTION_MARGIN_US = 1 * US_PER_S
MAX_PURGED_OBJECTS = 8192
"""Above this number, the older half of the purged objects is remembered as one purge of all objects."""


class PurgeTimes:
    """Holds the times (microseconds) at which objects and groups were last purged."""

    def __init__(self, settings: RouterSettings) -> None:
        self.retention_us = settings.rules.purge_retention_us + RETENTION_MARGIN_US
        self.objects: dict[str, int] = {}
        self.groups: dict[int, int] = {}
        self.all_objects_us: int | None = None
        """Time of a purge that counts for all objects, in place of those that were too many to remember."""

    def __len__(self) -> int:
        return len(self.objects) + len(self.groups)

    def record(self, event: ObjectsPurged, now_us: int) -> None:
        """Record a purge; a purge older than the last one of the same object or group changes nothing."""
        purged_us = now_us - event.age_us
        if event.object_id is None:
            group = event.object_group
            self.groups[group] = max(purged_us, self.groups.get(group, 0))
        else:
            name = event.object_id
            self.objects[name] = max(purged_us, self.objects.get(name, 0))
            if len(self.objects) > MAX_PURGED_OBJECTS:
                self._merge_older_half()

    def _merge_older_half(self) -> None:
        """Replace the older half of the purged objects by one purge of all objects: fresher than needed."""
        oldest = sorted(self.objects, key=lambda name: self.objects[name])[: MAX_PURGED_OBJECTS // 2]
        newest_us = max(self.objects.pop(name) for name in oldest)
        self.all_objects_us = max(newest_us, self.all_objects_us or newest_us)

    def drop_expired(self, now_us: int) -> None:
        """Drop purges that are so old that no copy made before them is left."""
        oldest_us = now_us - self.retention_us
        self.objects = {name: at for name, at in self.objects.items() if at > oldest_us}
        self.groups = {group: at for group, at in self.groups.items() if at > oldest_us}
        if self.all_objects_us is not None and self.all_objects_us <= oldest_us:
            self.all_objects_us = None

    def purged_at_us(self, arrival: RequestArrived) -> int | None:
        """Return the time of the last purge that covered a request's object; None if none is remembered."""
        object_us = self.objects.get(arrival.object_id, self.all_objects_us)
        group_us = None if arrival.object_group is None else self.groups.get(arrival.object_group)
        if object_us is None or group_us is None:
            return group_us if object_us is None else object_us
        return max(object_us, group_us)

    def max_age_us(self, request: RequestState, allow_stale: bool, now_us: int) -> int:
        """Return the maximum age of a copy that may answer; 0 stands for the class's freshness lifetime.

        `allow_stale` means that a copy may be stale by up to the class's grace period.
        """
        request_class = request.request_class
        lifetime_us = request_class.freshness_lifetime_us
        age_us = lifetime_us + request_class.stale_grace_us if allow_stale and lifetime_us else 0
        purged_us = self.purged_at_us(request.arrival)
        if purged_us is None:
            return age_us
        since_purge_us = max(1, now_us - purged_us)
        limit_us = age_us or lifetime_us
        return min(since_purge_us, limit_us) if limit_us else since_purge_us
