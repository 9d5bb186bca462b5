"""Units of this package: times and durations are in microseconds (`_us`), capacities in concurrent
transfers."""

US_PER_S = 1_000_000
