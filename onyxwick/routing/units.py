"""Units of this package: times and durations are microseconds (`_us`), capacities are concurrent
transfers."""

US_PER_S = 1_000_000
