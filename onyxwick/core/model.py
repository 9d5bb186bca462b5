"""The types that pass between the core, the fronts before it and the transport behind it. No I/O."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol

from onyxwick.interface import AnswerDetail, AttemptStatus, FillOption


class AnswerStatus(Enum):
    """The final answer to a request, as the client sees it. The values are parts of metric names."""

    SERVED = "served"
    REJECTED = "refused"
    FAILED = "failed"


@dataclass(slots=True)
class ClientRequest:
    """One client request. Its timeout runs from `arrived_us` (steady), when its last byte arrived."""

    request_id: str
    class_name: str
    object_id: str
    part: int
    object_group: int | None
    arrived_us: int
    timeout_us: int
    is_retry: bool = False
    body: bytes = b""
    client_etag: str = ""
    """Tag of the copy that the client holds."""
    idempotency_key: str = ""
    """By which a cache recognises a retry of what it has executed; forwarded unchanged."""
    tenant: str | None = None
    client_site: str | None = None
    connection_id: int = -1
    """Its number at the front, for the logs; -1: no connection of the front."""
    is_wanted: Callable[[], bool] = field(default=lambda: True, compare=False, repr=False)
    """Asked right before an attempt's first byte: does the client still wait, as far as its socket shows?"""


@dataclass(slots=True)
class FinalAnswer:
    """The one final answer to a request; `member` gave it, if any did."""

    status: AnswerStatus
    body: bytes = b""
    etag: str = ""
    not_modified: bool = False
    """The client's own copy is the answer."""
    retry_after_us: int = 0
    member: str = ""


@dataclass(slots=True)
class AttemptSpec:
    """One attempt as the router decided it, for the transport to carry out."""

    request: ClientRequest
    member: str
    timeout_us: int
    """From `created_at_s` on."""
    fill_source: str | None = None
    """Where a miss is filled from; None: it is not filled."""
    retention_rank: int = 0
    max_age_us: int = 0
    fill_options: FillOption = FillOption.NONE
    needs_own_connection: bool = False
    """It must not be executed twice, so that no other attempt may share its connection."""
    is_still_valid: Callable[[], bool] = field(default=lambda: True, compare=False)
    """Asked right before the first byte: drains and purges received since apply to this send too."""
    on_first_byte_sent: Callable[[AttemptSpec], None] = field(default=lambda spec: None, compare=False)
    """Called once its first byte has been sent."""
    created_at_s: float = field(default_factory=time.monotonic, compare=False)
    sent_us: int = 0
    """Steady time at which its first byte was sent, as soon as the transport knows; 0: not sent."""

    def remaining_us(self) -> int:
        """What is left of its timeout now."""
        return self.timeout_us - int((time.monotonic() - self.created_at_s) * 1e6)


@dataclass(slots=True)
class AttemptOutcome:
    """How an attempt ended, with the answer's body and tag where there is one."""

    status: AttemptStatus
    detail: AnswerDetail = AnswerDetail.NONE
    upstream_wait_us: int = 0
    load_report: tuple[float, ...] = ()
    body: bytes = b""
    etag: str = ""
    not_modified: bool = False
    origin_date_us: int = 0
    """Unix time at which the origin served the copy; 0: unknown."""
    unobserved: bool = False
    """Its end was not observed: the router must learn nothing from it."""


class CacheTransport(Protocol):
    """Carries out attempts. Cancelling `run` cancels the attempt."""

    async def run(self, spec: AttemptSpec) -> AttemptOutcome:
        """Carry out one attempt until its end or its timeout."""
        ...
