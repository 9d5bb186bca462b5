"""The report of an audit: findings by rule, and a verdict on each rule.

The names of the rules and the texts are part of the command's output.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

MAX_FINDINGS = 1000
"""Maximum number of findings stored for each rule."""
ONE_ANSWER = "one answer"
NON_IDEMPOTENT_ONCE = "booking once"
DRAIN = "drain"
NOT_LISTED = "not listed"
PURGE = "purge"
WARM_UP = "cold"
RULES = (ONE_ANSWER, NON_IDEMPOTENT_ONCE, DRAIN, NOT_LISTED, PURGE, WARM_UP)


@dataclass(slots=True)
class AuditReport:
    """The findings of an audit. A rule without findings was followed or could not be checked."""

    broken: list[dict[str, Any]] = field(default_factory=list)
    doubtful: list[dict[str, Any]] = field(default_factory=list)
    """Findings that the uncertainty of the clocks could explain."""
    counts: dict[str, int] = field(default_factory=dict)
    """Number of findings by rule. Doubtful findings are counted under a separate key."""
    looked_at: dict[str, int] = field(default_factory=dict)
    """Number of cases checked, by rule."""
    reasons: dict[str, str] = field(default_factory=dict)
    """By rule, why it cannot be checked."""

    def add(self, rule: str, certain: bool, **proof: Any) -> None:
        """Add a finding with the records that prove it."""
        key = rule if certain else f"{rule} (doubtful)"
        self.counts[key] = self.counts.get(key, 0) + 1
        if self.counts[key] <= MAX_FINDINGS:
            (self.broken if certain else self.doubtful).append({"rule": rule, **proof})

    def count_cases(self, rule: str, cases: int) -> None:
        """Add to the number of cases in which a rule could have been broken."""
        self.looked_at[rule] = self.looked_at.get(rule, 0) + cases

    def verdicts(self) -> dict[str, str]:
        """Return for each rule "kept", "broken", or why this cannot be determined."""
        return {rule: self._verdict(rule) for rule in RULES}

    def _verdict(self, rule: str) -> str:
        if self.counts.get(rule):
            return "broken"
        if self.counts.get(f"{rule} (doubtful)"):
            return "cannot be told, because the clocks' doubt is wider than what was found"
        if rule in self.reasons:
            return f"cannot be told, because {self.reasons[rule]}"
        return "kept"

    def as_document(self) -> dict[str, Any]:
        """Return the complete report as a document for JSON."""
        return {
            "verdicts": self.verdicts(),
            "counts": self.counts,
            "looked_at": self.looked_at,
            "broken": self.broken,
            "doubtful": self.doubtful,
        }
