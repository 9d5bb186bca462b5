"""Requests, attempts and outcomes. Nothing here knows a wire: fronts and caches come from outside."""

from onyxwick.core.engine import RequestEngine
from onyxwick.core.lifecycles import RequestLifecycle
from onyxwick.core.model import FinalAnswer, AttemptSpec, AttemptOutcome, ClientRequest, CacheTransport, AnswerStatus

__all__ = ["FinalAnswer", "RequestEngine", "AttemptSpec", "AttemptOutcome", "ClientRequest", "RequestLifecycle", "CacheTransport", "AnswerStatus"]
