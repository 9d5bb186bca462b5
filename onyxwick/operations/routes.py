"""The calls of the operators' door, free of I/O: which call a method and path ask for, or why none.

The paths are the platform's own (`GET /ready`, `GET /metrics`, `POST /caches/disable/ID`,
`POST /caches/enable/ID`, `POST /drain`, `POST /undrain`); one call a connection. Anything else is a 4xx
with a short reason.
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from enum import Enum

_ID = re.compile(r"[A-Za-z0-9._:-]{1,128}").fullmatch


class OperatorCallKind(Enum):
    READY = "ready"
    METRICS = "metrics"
    DISABLE = "disable"
    ENABLE = "enable"
    DRAIN = "drain"
    UNDRAIN = "undrain"


@dataclass(frozen=True, slots=True)
class OperatorCall:
    kind: OperatorCallKind
    cache: str = ""  # of DISABLE and ENABLE


class OperatorCallRejectedError(Exception):
    """No call: `status` is the 4xx to answer with, the text its short reason."""

    def __init__(self, status: int, text: str, allow: str = "") -> None:
        super().__init__(text)
        self.status, self.reason, self.allowed_method = status, text, allow


PLAIN = {
    "ready": (OperatorCallKind.READY, "GET"),
    "metrics": (OperatorCallKind.METRICS, "GET"),
    "drain": (OperatorCallKind.DRAIN, "POST"),
}
PLAIN["undrain"] = (OperatorCallKind.UNDRAIN, "POST")
CACHES = {"disable": OperatorCallKind.DISABLE, "enable": OperatorCallKind.ENABLE}


def parse_call(method: str, path: str) -> OperatorCall:
    """The call that `method` and `path` ask for; Refused with 404, 405 or 400 where they ask for none."""
    parts = path.split("/")
    if len(parts) == 2 and parts[0] == "" and parts[1] in PLAIN:
        kind, wanted = PLAIN[parts[1]]
        _method(method, wanted)
        return OperatorCall(kind)
    if len(parts) == 4 and parts[:2] == ["", "caches"] and parts[2] in CACHES:
        _method(method, "POST")
        if not _ID(parts[3]):
            raise OperatorCallRejectedError(400, f"no cache id: {parts[3][:64]!r}")
        return OperatorCall(CACHES[parts[2]], parts[3])
    raise OperatorCallRejectedError(404, f"no such call: {path[:64]!r}")


def _method(method: str, wanted: str) -> None:
    if method != wanted:
        raise OperatorCallRejectedError(
            405, f"{method[:16]!r} is not for this call; it takes {wanted}", allow=wanted
        )
