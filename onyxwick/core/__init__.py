"""Requests, attempts and outcomes. Nothing here knows a wire: fronts and caches come from outside."""

from onyxwick.core.engine import Core
from onyxwick.core.lifecycles import RequestLifecycle
from onyxwick.core.model import Answer, Order, Outcome, Request, Transport, Verdict

__all__ = ["Answer", "Core", "Order", "Outcome", "Request", "RequestLifecycle", "Transport", "Verdict"]
