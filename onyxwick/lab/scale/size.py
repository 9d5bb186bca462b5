"""The installation size that capacity is computed for: its drivers, and quantities derived from them."""

from __future__ import annotations

import math
from dataclasses import dataclass, fields, replace
from itertools import pairwise
from pathlib import Path
from typing import Any

from onyxwick.config import hcl
from onyxwick.config.errors import ConfigError
from onyxwick.config.fields import Fields

DAY_S = 86_400
COUNT_MEMORY_S = 33.2
"""How long a single read stays counted, in seconds: counts halve every 10 s and are dropped below 0.1."""
P99_NORMAL = 2.326


@dataclass(frozen=True, slots=True)
class Size:
    """The drivers of capacity. The operators gave their values, except for the names in `ASSUMED`."""

    directors: int = 1000
    sites: int = 83
    caches: int = 190
    requests_per_s: float = 920_000.0
    bits_per_s: float = 1.7e12
    objects: float = 320e6
    purges_per_s: float = 21.0
    group_purge_share: float = 0.05
    changes_per_day: float = 650.0
    change_bytes: float = 2_000.0
    changes_in_a_burst: float = 20.0
    regions: int = 27
    zones: int = 95
    restarts_per_day: float = 110.0
    machine_failures_per_day: float = 4.0
    release_hours: float = 4.0
    control_machines: int = 14
    directors_spread: float = 0.6
    site_exponent: float = 0.5
    popularity_exponent: float = 0.9
    counted_share: float = 1.0
    links_per_cache: int = 2
    document_bytes: float = 50_000.0

    def times(self, factor: float) -> Size:
        """Return this size with every driver that grows with the business multiplied by a factor."""
        grown: dict[str, Any] = {
            name: type(getattr(self, name))(getattr(self, name) * factor) for name in GROWING
        }
        return replace(self, **grown)

    @property
    def directors_at_largest_site(self) -> int:
        """Directors at the largest site (at least one); site sizes follow the power law `site_exponent`."""
        return math.ceil(self.directors * self._largest_share)

    @property
    def caches_at_largest_site(self) -> int:
        """Caches at the largest site, rounded up; site sizes follow the power law `site_exponent`."""
        return math.ceil(self.caches * self._largest_share)

    @property
    def _largest_share(self) -> float:
        weights = [float(math.pow(rank, -self.site_exponent)) for rank in range(1, self.sites + 1)]
        return weights[0] / sum(weights)

    @property
    def requests_per_director(self) -> float:
        """Mean requests per second of a director."""
        return self.requests_per_s / self.directors

    @property
    def p99_over_mean(self) -> float:
        """Ratio of the 99th percentile of directors' traffic to its mean.

        Traffic is distributed log-normally with the sigma `directors_spread`.
        """
        return math.exp(P99_NORMAL * self.directors_spread - self.directors_spread**2 / 2)

    @property
    def request_bytes(self) -> float:
        """Mean size of an answer in bytes."""
        return self.bits_per_s / 8 / self.requests_per_s

    def objects_counted(self, requests_per_s: float) -> float:
        """Return the number of distinct objects that a director counts at the same time.

        This is the expected number of distinct draws from a Zipf distribution over all objects, computed over
        ranges of its ranks.
        """
        draws = requests_per_s * self.counted_share * COUNT_MEMORY_S
        edges = [1.1**k for k in range(int(math.log(self.objects, 1.1)) + 1)] + [self.objects]
        pieces = [(low, high) for low, high in pairwise(edges) if high > low]
        weights = [(high - low) * ((low + high) / 2) ** -self.popularity_exponent for low, high in pieces]
        total = sum(weights)
        out = 0.0
        for (low, high), weight in zip(pieces, weights, strict=True):
            each = weight / total / (high - low)
            out += (high - low) * -math.expm1(-draws * each)
        return out

    @property
    def list_changes_per_hour(self) -> float:
        """Rows of the endpoint list that change per hour.

        A restart or a failure changes two rows (removed and added again); a rolling release changes
        three per cache.
        """
        daily = 2 * (self.restarts_per_day + self.machine_failures_per_day) / 24
        return daily + 3 * self.caches / self.release_hours

    @property
    def changes_per_s_in_burst(self) -> float:
        """Configuration changes per second in a burst, spread over the 5 s in which they must take effect."""
        return self.changes_in_a_burst / 5


ASSUMED = {
    "group_purge_share": "share of purges that name a group",
    "change_bytes": "bytes of a configuration change, as a document's text",
    "changes_in_a_burst": "changes at once",
    "release_hours": "a rolling release of all caches",
    "directors_spread": "sigma of directors' log-normal traffic (as `lab ramp` has it)",
    "site_exponent": "power law of sites' sizes",
    "popularity_exponent": "Zipf exponent of objects",
    "counted_share": "requests that count an object (1: none is a later part of one)",
    "links_per_cache": "connections of a director to one cache it uses",
    "document_bytes": "all documents of an installation that a director holds",
}
GROWING = (
    "directors",
    "caches",
    "requests_per_s",
    "bits_per_s",
    "objects",
    "purges_per_s",
    "changes_per_day",
    "changes_in_a_burst",
    "restarts_per_day",
    "machine_failures_per_day",
    "document_bytes",
)


def read(path: Path) -> Size:
    """Read a size from an HCL file with a block `size` that sets any of the drivers.

    Drivers that are left out keep their defaults. Raises ConfigError, which names file and line, if the block
    is missing or a field is unknown or out of range.
    """
    top = Fields(hcl.read(path), path.name)
    row = top.single_block("size")
    if row is None:
        raise ConfigError(f"{path.name}: block 'size' is missing")
    size = Size()
    drivers: dict[str, Any] = {}
    for each in fields(Size):
        default = getattr(size, each.name)
        if isinstance(default, int):
            drivers[each.name] = row.integer(each.name, 1, 10**9, default)
        else:
            drivers[each.name] = row.number(each.name, 0, 1e18, default)
    row.reject_unknown()
    top.reject_unknown()
    return replace(size, **drivers)
