"""The operations endpoint: readiness, metrics, and the operators' commands to disable caches and to drain.

Loaded only where the configuration gives it an address. See docs/design/operations.md.
"""
