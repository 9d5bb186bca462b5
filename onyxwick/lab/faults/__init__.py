"""Fault bench of real processes: directors run as processes, every byte between parties passes a relay, and
faults are injected by a script or drawn from a seed."""
