"""The administration API: tenants, zones, keys, quotas, counters and health, over HTTP with JSON."""
