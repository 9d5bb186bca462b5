"""The administration API for tenants, zones, keys, quotas, counters and health: JSON over HTTP."""
