"""The figures that the door's `GET /metrics` shows, free of I/O: from the counters and a few present values.

Each figure is `app_NAME` with its `value`; where it can be told apart, `service` gives it by class of request
and `disposition` by how attempts ended. Counts run from the start of the process; present values are of the
moment the director's loop last took them (`lifecycle.FIGURES_S`).
"""

from __future__ import annotations

from collections.abc import Mapping

PREFIX = "app"


def _by(counts: Mapping[str, int], prefix: str) -> dict[str, int]:
    """Counts whose names begin with `prefix`, by the rest of the name."""
    return {name.removeprefix(prefix): n for name, n in sorted(counts.items()) if name.startswith(prefix)}


def metrics_document(
    counts: Mapping[str, int], open_requests: int, listed_members: int, ejected_members: int
) -> dict[str, dict[str, object]]:
    """The document of `GET /metrics`. `counts`: the director's counters; the rest as they are now."""
    served, refused = _by(counts, "answer.served."), _by(counts, "answer.refused.")
    unplaced = counts.get("answer.overloaded", 0) + counts.get("answer.cell_full", 0)
    ended = _by(counts, "outcome.")
    rows: dict[str, dict[str, object]] = {
        "succeeded": {"value": sum(served.values()), "service": served},
        "declined": {"value": sum(refused.values()) + unplaced, "service": refused},
        "aborted": {"value": counts.get("request.left", 0)},
        "forwards": {"value": counts.get("attempt.sent", 0), "disposition": ended},
        "outstanding": {"value": open_requests},
        "discovered": {"value": listed_members},
        "ejected": {"value": ejected_members},
        "sighup_applied": {"value": counts.get("reload.read", 0)},
        "sighup_rejected": {"value": counts.get("reload.bad", 0)},
    }
    return {f"{PREFIX}_{name}": row for name, row in rows.items()}
