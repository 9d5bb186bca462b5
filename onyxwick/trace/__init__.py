"""Traces: for each request what the director decided and why, and how it ended. See docs/design/trace.md.

`decision_tracer.DecisionTracer` writes one, `reader.open_trace` reads one; the command line is `cli/trace.py`.
"""
