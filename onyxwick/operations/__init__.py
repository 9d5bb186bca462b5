"""The operations endpoint: readiness, metrics, and commands to disable caches and to drain the director.

The package is loaded only if the configuration gives the endpoint an address. See docs/design/operations.md.
"""
