"""What passes between the core, the fronts before it and the transport behind it."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol

from onyxwick.interface import AnswerDetail, AttemptStatus, FillOption


class AnswerStatus(Enum):
    """The final answer to a request, in the client's eyes."""

    SERVED = "served"
    REJECTED = "refused"
    FAILED = "failed"


@dataclass(slots=True)
class ClientRequest:
    """One client request. Its time runs from `arrived_us`, when its last byte came."""

    request_id: str
    class_name: str
    object_id: str
    part: int
    object_group: int | None
    arrived_us: int
    timeout_us: int
    is_retry: bool = False
    body: bytes = b""
    client_etag: str = ""  # tag of the copy that the client holds
    idempotency_key: str = (
        ""  # by which a cache knows a repeat of what it has already done; passed on unchanged
    )
    tenant: str | None = None
    client_site: str | None = None  # of the client
    connection_id: int = -1  # its number at the front, for the logs; -1: none of the front's
    is_wanted: Callable[[], bool] = field(default=lambda: True, compare=False, repr=False)
    """Asked right before an attempt's first byte: does the client still wait, by what its socket holds?"""


@dataclass(slots=True)
class FinalAnswer:
    """The one final answer to a request; `member` gave it, if any did."""

    status: AnswerStatus
    body: bytes = b""
    etag: str = ""
    not_modified: bool = False  # the client's own copy is the answer
    retry_after_us: int = 0
    member: str = ""


@dataclass(slots=True)
class AttemptSpec:
    """One attempt as the module ordered it. A `source` of None: nothing is filled.
    `timeout_us` runs from `ordered_at`."""

    request: ClientRequest
    member: str
    timeout_us: int
    fill_source: str | None = None
    retention_rank: int = 0
    max_age_us: int = 0
    fill_options: FillOption = FillOption.NONE
    needs_own_connection: bool = False  # must not run twice: it is to share its fate with no other attempt
    is_still_valid: Callable[[], bool] = field(default=lambda: True, compare=False)
    """Asked right before the first byte: drains and purges told of meanwhile hold for this send too."""
    on_first_byte_sent: Callable[[AttemptSpec], None] = field(default=lambda order: None, compare=False)
    """Called as its first byte has gone out, whenever that is."""
    created_at: float = field(default_factory=time.monotonic, compare=False)
    sent_us: int = 0  # steady us at which its first byte went out, once the transport knows; 0: not sent

    def left_us(self) -> int:
        """Of its time-out, at this moment."""
        return self.timeout_us - int((time.monotonic() - self.created_at) * 1e6)


@dataclass(slots=True)
class AttemptOutcome:
    """How an attempt ended, with the answer's body and tag where it brought one."""

    status: AttemptStatus
    detail: AnswerDetail = AnswerDetail.NONE
    upstream_wait_us: int = 0
    load_report: tuple[float, ...] = ()
    body: bytes = b""
    etag: str = ""
    not_modified: bool = False
    origin_date_us: int = 0  # Unix us at which the origin gave the copy out; 0: not told
    unobserved: bool = False  # nobody saw how it ended: the module must learn nothing from it


class CacheTransport(Protocol):
    """Carries out attempts. Cancelling `run` gives the attempt up."""

    async def run(self, order: AttemptSpec) -> AttemptOutcome:
        """Carry out one attempt until its end or its time-out."""
        ...
