"""The types that are passed between the fronts, the core and the transport. No I/O."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol

from onyxwick.interface import AnswerDetail, AttemptStatus, FillOption


class AnswerStatus(Enum):
    """Kind of the final answer that a client receives. The values are parts of metric names."""

    SERVED = "served"
    REJECTED = "refused"
    FAILED = "failed"


@dataclass(slots=True)
class ClientRequest:
    """One client request. Its timeout runs from `arrived_us`, the steady time of arrival of its last byte."""

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
    """Entity tag of the copy that the client holds."""
    idempotency_key: str = ""
    """Key by which a cache recognises a retry of a request that it has executed; forwarded unchanged."""
    tenant: str | None = None
    client_site: str | None = None
    connection_id: int = -1
    """Number of the connection at the front, for the logs; -1 if the request has no connection there."""
    is_client_waiting: Callable[[], bool] = field(default=lambda: True, compare=False, repr=False)
    """Returns whether the client still waits, as far as its socket shows.

    Called right before an attempt's first byte is sent.
    """


@dataclass(slots=True)
class FinalAnswer:
    """The one final answer to a request. `member` is the member that gave it, or empty."""

    status: AnswerStatus
    body: bytes = b""
    etag: str = ""
    not_modified: bool = False
    """The client's copy is still current and serves as the answer."""
    retry_after_us: int = 0
    member: str = ""


@dataclass(slots=True)
class AttemptSpec:
    """One attempt that the router decided and the transport carries out."""

    request: ClientRequest
    member: str
    timeout_us: int
    """Time that the attempt may take, in microseconds, counted from `created_at_s`."""
    fill_source: str | None = None
    """Source from which the member fills a miss; None if it does not fill."""
    retention_rank: int = 0
    max_age_us: int = 0
    fill_options: FillOption = FillOption.NONE
    needs_own_connection: bool = False
    """The attempt must not be executed twice, so no other attempt may share its connection."""
    is_still_valid: Callable[[AttemptSpec], bool] = field(default=lambda spec: True, compare=False)
    """Called right before the first byte, so that drains and purges received since the decision apply too."""
    on_first_byte_sent: Callable[[AttemptSpec], None] = field(default=lambda spec: None, compare=False)
    """Called once the first byte of the attempt has been sent."""
    created_at_s: float = field(default_factory=time.monotonic, compare=False)
    sent_us: int = 0
    """Steady time at which the first byte was sent; 0 until the transport knows it, or if it was not sent."""

    def remaining_us(self) -> int:
        """Return the microseconds left of the timeout; negative after it has passed."""
        return self.timeout_us - int((time.monotonic() - self.created_at_s) * 1e6)


@dataclass(slots=True)
class AttemptOutcome:
    """The end of an attempt, with the body and the entity tag of the answer if there is one."""

    status: AttemptStatus
    detail: AnswerDetail = AnswerDetail.NONE
    upstream_wait_us: int = 0
    load_report: tuple[float, ...] = ()
    body: bytes = b""
    etag: str = ""
    not_modified: bool = False
    origin_date_us: int = 0
    """Unix time in microseconds at which the origin served the copy; 0 if unknown."""
    unobserved: bool = False
    """The end of the attempt was not observed, so the router must learn nothing from it."""


class CacheTransport(Protocol):
    """Carries out attempts. Cancelling `run` cancels the attempt."""

    async def run(self, spec: AttemptSpec) -> AttemptOutcome:
        """Carry out one attempt until it ends or times out, and return its outcome."""
        ...
