"""Maps an HTTP method and path to a call of the operations endpoint, or rejects them with a reason. No I/O.

The platform defines the paths: `GET /ready`, `GET /metrics`, `POST /caches/disable/ID`,
`POST /caches/enable/ID`, `POST /drain`, `POST /undrain`. Any other request is answered with a 4xx
status and a short reason.
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple

from onyxwick.operations.errors import OperatorCallRejectedError

_is_cache_id = re.compile(r"[A-Za-z0-9._:-]{1,128}").fullmatch
MAX_QUOTED_CHARS = 64
"""Maximum number of characters of a caller's text that a reason quotes."""
MAX_QUOTED_METHOD_CHARS = 16


class OperatorCallKind(Enum):
    """The calls of the operations endpoint. The values appear in log lines."""

    READY = "ready"
    METRICS = "metrics"
    DISABLE = "disable"
    ENABLE = "enable"
    DRAIN = "drain"
    UNDRAIN = "undrain"


@dataclass(frozen=True, slots=True)
class OperatorCall:
    """One call. `cache` is the target of DISABLE and ENABLE, and empty for the other calls."""

    kind: OperatorCallKind
    cache: str = ""


class _Route(NamedTuple):
    kind: OperatorCallKind
    method: str


ROUTES = {
    "ready": _Route(OperatorCallKind.READY, "GET"),
    "metrics": _Route(OperatorCallKind.METRICS, "GET"),
    "drain": _Route(OperatorCallKind.DRAIN, "POST"),
    "undrain": _Route(OperatorCallKind.UNDRAIN, "POST"),
}
CACHE_ROUTES = {
    "disable": _Route(OperatorCallKind.DISABLE, "POST"),
    "enable": _Route(OperatorCallKind.ENABLE, "POST"),
}


def parse_call(method: str, path: str) -> OperatorCall:
    """Return the call that `method` and `path` request.

    Raises OperatorCallRejectedError with status 404, 405 or 400 if they do not request a valid call.
    """
    parts = path.split("/")
    if len(parts) == 2 and parts[0] == "" and parts[1] in ROUTES:
        route = ROUTES[parts[1]]
        _check_method(method, route)
        return OperatorCall(route.kind)
    if len(parts) == 4 and parts[:2] == ["", "caches"] and parts[2] in CACHE_ROUTES:
        route = CACHE_ROUTES[parts[2]]
        cache = parts[3]
        _check_method(method, route)
        if not _is_cache_id(cache):
            raise OperatorCallRejectedError(400, f"no cache id: {cache[:MAX_QUOTED_CHARS]!r}")
        return OperatorCall(route.kind, cache)
    raise OperatorCallRejectedError(404, f"no such call: {path[:MAX_QUOTED_CHARS]!r}")


def _check_method(method: str, route: _Route) -> None:
    if method != route.method:
        quoted = repr(method[:MAX_QUOTED_METHOD_CHARS])
        reason = f"{quoted} is not for this call; it takes {route.method}"
        raise OperatorCallRejectedError(405, reason, allowed_method=route.method)
