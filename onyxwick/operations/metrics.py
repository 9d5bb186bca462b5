"""The document of `GET /metrics`, built from the director's counters and a few gauges. No I/O.

Each metric is named `app_NAME` and has a `value`. `service` breaks it down by request class, `disposition` by
how attempts ended, `kind` by what memory is held for. Counters start at 0 when the process starts; gauges are
as of the last snapshot (`endpoint.METRICS_INTERVAL_S`). The platform defines the names.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from onyxwick.core.feed_freshness import FeedGauges

METRIC_PREFIX = "app"


@dataclass(frozen=True, slots=True)
class MetricsSnapshot:
    """The director's counters and gauges at one moment."""

    counts: Mapping[str, int] = field(default_factory=dict)
    open_requests: int = 0
    listed_members: int = 0
    ejected_members: int = 0
    held_bytes: Mapping[str, int] = field(default_factory=dict)
    """Bytes accounted by the memory account, by kind."""
    held_limit_bytes: int = 0
    anonymous_bytes: int = 0
    """Memory that the process has allocated, at the last look of the memory monitor."""
    feed: FeedGauges = field(default_factory=FeedGauges)


def _by_suffix(counts: Mapping[str, int], prefix: str) -> dict[str, int]:
    """Return the counts whose names start with `prefix`, keyed by the rest of the name."""
    return {
        name.removeprefix(prefix): count for name, count in sorted(counts.items()) if name.startswith(prefix)
    }


def _by_kind(counts: Mapping[str, int], prefix: str) -> dict[str, object]:
    kinds = _by_suffix(counts, prefix)
    return {"value": sum(kinds.values()), "kind": kinds}


def metrics_document(snapshot: MetricsSnapshot) -> dict[str, dict[str, object]]:
    """Return the document of `GET /metrics`."""
    counts = snapshot.counts
    served = _by_suffix(counts, "answer.served.")
    rejected = _by_suffix(counts, "answer.refused.")
    not_admitted = counts.get("answer.overloaded", 0) + counts.get("answer.cell_full", 0)
    outcomes = _by_suffix(counts, "outcome.")
    rows: dict[str, dict[str, object]] = {
        "succeeded": {"value": sum(served.values()), "service": served},
        "declined": {"value": sum(rejected.values()) + not_admitted, "service": rejected},
        "aborted": {"value": counts.get("request.left", 0)},
        "forwards": {"value": counts.get("attempt.sent", 0), "disposition": outcomes},
        "outstanding": {"value": snapshot.open_requests},
        "discovered": {"value": snapshot.listed_members},
        "ejected": {"value": snapshot.ejected_members},
        "held_bytes": {"value": sum(snapshot.held_bytes.values()), "kind": dict(snapshot.held_bytes)},
        "held_limit_bytes": {"value": snapshot.held_limit_bytes},
        "memory_bytes": {"value": snapshot.anonymous_bytes},
        "memory_released": _by_kind(counts, "memory.released."),
        "memory_refused": {"value": counts.get("refused.memory", 0) + counts.get("answer.dropped", 0)},
        "feed_index": {"value": snapshot.feed.index},
        "feed_announced": {"value": snapshot.feed.announced_index},
        "feed_age_ms": {"value": snapshot.feed.age_ms},
        "feed_states": _by_kind(counts, "feed.state."),
        "feed_waited": {"value": counts.get("feed.waited", 0)},
        "feed_unconfirmed_sends": {"value": counts.get("feed.unconfirmed_send", 0)},
        "feed_copy_age_limited": {"value": counts.get("feed.copy_age_limited", 0)},
        "feed_suspected": {"value": counts.get("feed.suspected", 0)},
        "sighup_applied": {"value": counts.get("reload.read", 0)},
        "sighup_rejected": {"value": counts.get("reload.bad", 0)},
    }
    return {f"{METRIC_PREFIX}_{name}": row for name, row in rows.items()}
