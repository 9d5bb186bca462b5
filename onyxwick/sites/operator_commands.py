"""Operators' commands on sites: read from the administration API, kept by the store, applied by the monitor.

A command names a site and a directive, which holds until it is replaced. A failover exercise is a command
with an end of its own: the site is left in steps, stays away for `exercise_us`, and is returned to; overload,
or a doubt about another site meanwhile, ends it early. Times are in microseconds.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from onyxwick.sites.lifecycle import SiteDirective, SiteLifecycle, SitePhase
from onyxwick.sites.model import MICROSECONDS_PER_SECOND, SitesError

MAX_REASON_LENGTH = 256
MIN_EXERCISE_S = 1
MAX_EXERCISE_S = 3600
ABORT_PRESSURE = 0.35  # share of late and rejected answers of the whole director that ends an exercise
ABORT_AFTER_US = 2 * MICROSECONDS_PER_SECOND  # of that pressure
DOCUMENT_FIELDS = frozenset(("word", "reason", "stay_s"))  # of the API's form
ROW_FIELDS = frozenset(("site", "word", "reason", "by", "at_us", "stay_us"))  # of the store's form


class SiteCommandError(SitesError, ValueError):
    """A command that cannot be accepted; the message says what was found and what is expected."""


@dataclass(frozen=True, slots=True)
class SiteCommand:
    """A directive for one site. `exercise_us`: of an exercise, how long the site stays away; 0: no
    exercise."""

    site: str
    directive: SiteDirective
    reason: str = ""
    issued_by: str = "operator"
    issued_at_us: int = 0
    exercise_us: int = 0

    @property
    def is_exercise(self) -> bool:
        """Whether the command ends by itself."""
        return self.exercise_us > 0


# ---- the API's form and the store's form ------------------------------------------------------


def parse_command(site: str, document: Mapping[str, Any], now: int) -> SiteCommand:
    """A command from the API's form {"word", "reason", "stay_s"}; SiteCommandError says what is wrong."""
    directives = {directive.value: directive for directive in SiteDirective}
    directive = directives.get(str(document.get("word", "")))
    if directive is None:
        raise SiteCommandError(f"'word' is {document.get('word')!r}; it is one of {', '.join(directives)}")
    if unknown := set(document) - DOCUMENT_FIELDS:
        raise SiteCommandError(f"unknown field '{min(unknown)}'; an order has word, reason and stay_s")
    reason = document.get("reason", "")
    if not isinstance(reason, str) or len(reason) > MAX_REASON_LENGTH:
        raise SiteCommandError(f"'reason' is no text of at most {MAX_REASON_LENGTH} characters")
    exercise_us = _parse_exercise_us(document.get("stay_s", 0), directive)
    return SiteCommand(site, directive, reason, "operator", now, exercise_us)


def _parse_exercise_us(stay_s: object, directive: SiteDirective) -> int:
    if isinstance(stay_s, bool) or not isinstance(stay_s, int | float):
        raise SiteCommandError("'stay_s' is no number of seconds")
    is_possible = directive is SiteDirective.EVACUATE and MIN_EXERCISE_S <= stay_s <= MAX_EXERCISE_S
    if stay_s and not is_possible:
        raise SiteCommandError(
            "'stay_s' belongs to a drill: with the word evacuate,"
            f" {MIN_EXERCISE_S} to {MAX_EXERCISE_S} seconds"
        )
    return int(stay_s * MICROSECONDS_PER_SECOND)


def command_to_row(command: SiteCommand) -> dict[str, Any]:
    """A command as the store keeps it. The keys do not follow the names of the code."""
    return {
        "site": command.site,
        "word": command.directive.value,
        "reason": command.reason,
        "by": command.issued_by,
        "at_us": command.issued_at_us,
        "stay_us": command.exercise_us,
    }


def command_from_row(row: Mapping[str, Any]) -> SiteCommand:
    """A command as `command_to_row` wrote it; SiteCommandError where it is none."""
    if unknown := set(row) - ROW_FIELDS:
        raise SiteCommandError(f"no order: unknown field '{min(unknown)}'")
    try:
        return SiteCommand(
            site=row["site"],
            directive=SiteDirective(row["word"]),
            reason=row.get("reason", ""),
            issued_by=row.get("by", "operator"),
            issued_at_us=row.get("at_us", 0),
            exercise_us=row.get("stay_us", 0),
        )
    except (KeyError, TypeError, ValueError) as error:
        raise SiteCommandError(f"no order: {error!r}") from None


# ---- the commands in force ------------------------------------------------------


class SiteCommands:
    """The commands in force at one director, and the progress of exercises."""

    def __init__(self) -> None:
        self.active: dict[str, SiteCommand] = {}
        self.turned_back: dict[str, str] = {}  # site: why its exercise is over
        self.overloaded_since_us: dict[str, int] = {}

    def apply(self, command: SiteCommand) -> None:
        """Replace the command for a site; the directive `NONE` withdraws it."""
        self.overloaded_since_us.pop(command.site, None)
        self.turned_back.pop(command.site, None)
        if command.directive is SiteDirective.NONE:
            self.active.pop(command.site, None)
        else:
            self.active[command.site] = command

    def directive_for(self, site: str) -> SiteDirective:
        """The directive at this instant; after an exercise it is the return."""
        command = self.active.get(site)
        if command is None:
            return SiteDirective.NONE
        return SiteDirective.RETURN if site in self.turned_back else command.directive

    def step_exercises(self, now: int, lifecycles: Mapping[str, SiteLifecycle], pressure: float) -> list[str]:
        """Step the exercises; the sites whose exercise has ended.

        `pressure`: share of late and rejected among all of the director's latest answers, 0 to 1."""
        doubtful = [
            site
            for site, lifecycle in lifecycles.items()
            if site not in self.active and lifecycle.phase is not SitePhase.STEADY
        ]
        ended = []
        for site, command in list(self.active.items()):
            if not command.is_exercise or site not in lifecycles:
                continue
            lifecycle = lifecycles[site]
            if site not in self.turned_back and not lifecycle.was_unreachable:
                self._check_exercise(now, command, lifecycle, doubtful, pressure)
            elif lifecycle.phase is SitePhase.STEADY or lifecycle.was_unreachable:
                # Over, or an actual loss has taken its place.
                ended.append(site)
                self.apply(SiteCommand(site, SiteDirective.NONE))
        return ended

    def _check_exercise(
        self,
        now: int,
        command: SiteCommand,
        lifecycle: SiteLifecycle,
        doubtful: list[str],
        pressure: float,
    ) -> None:
        site = command.site
        if doubtful:
            self.turned_back[site] = f"site {min(doubtful)} is in doubt: this one's room is wanted"
        elif pressure > ABORT_PRESSURE:
            overloaded_us = now - self.overloaded_since_us.setdefault(site, now)
            if overloaded_us >= ABORT_AFTER_US:
                self.turned_back[site] = f"its gate failed: {pressure:.0%} late or refused"
        else:
            self.overloaded_since_us.pop(site, None)
        is_away = lifecycle.phase is SitePhase.EVACUATED
        is_complete = is_away and now - lifecycle.phase_started_us >= command.exercise_us
        if site not in self.turned_back and is_complete:
            self.turned_back[site] = "it has stayed away for its time"

    def status(self) -> dict[str, Any]:
        """The commands in force, with the keys of the administration API."""
        return {
            site: {
                "word": command.directive.value,
                "reason": command.reason,
                "at_us": command.issued_at_us,
                "drill": command.is_exercise,
                "turned": self.turned_back.get(site, ""),
            }
            for site, command in sorted(self.active.items())
        }
