"""Requests, attempts and outcomes. Nothing here knows a wire: fronts and caches come from outside."""

from onyxwick.core.engine import RequestEngine
from onyxwick.core.model import (
    AnswerStatus,
    AttemptOutcome,
    AttemptSpec,
    CacheTransport,
    ClientRequest,
    FinalAnswer,
)
from onyxwick.core.request_lifecycle import RequestLifecycle

__all__ = [
    "AnswerStatus",
    "AttemptOutcome",
    "AttemptSpec",
    "CacheTransport",
    "ClientRequest",
    "FinalAnswer",
    "RequestEngine",
    "RequestLifecycle",
]
