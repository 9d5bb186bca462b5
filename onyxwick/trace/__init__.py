"""Traces: for each request what the director decided and why, and how it ended (docs/design/trace.md).

`decision_tracer.DecisionTracer` writes one, `reader.open_trace` reads one; `cli/trace.py` has the commands.
"""
