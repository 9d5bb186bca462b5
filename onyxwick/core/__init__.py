"""Lifecycles of requests and attempts.

This package knows no wire protocol: fronts and transports are passed in.
"""

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
