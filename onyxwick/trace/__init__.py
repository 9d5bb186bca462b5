"""Traces record for each request the director's decisions, their reasons and the outcome.

The design is in docs/design/trace.md. `decision_tracer.DecisionTracer` writes a trace, `reader.open_trace`
reads a trace, and `cli/trace.py` has the commands.
"""
