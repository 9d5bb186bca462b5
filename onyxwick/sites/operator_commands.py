"""Operators' commands for sites: received by the administration API, stored, and applied by the monitor.

A command names a site and a directive, which holds until it is replaced. A failover exercise is a command
that ends by itself: the site is evacuated in steps, stays evacuated for `exercise_us`, and then receives
its traffic again. Overload, or another site that is not steady, ends the exercise early. Times are in
microseconds.
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
ABORT_PRESSURE = 0.35  # share of late and rejected answers of the entire director that ends an exercise
# An exercise ends once the pressure has been above `ABORT_PRESSURE` for this time.
ABORT_AFTER_US = 2 * MICROSECONDS_PER_SECOND
EXERCISE_COMPLETED = "it has stayed away for its time"  # the command line compares this text: do not change
DOCUMENT_FIELDS = frozenset(("word", "reason", "stay_s"))  # of the API document
ROW_FIELDS = frozenset(("site", "word", "reason", "by", "at_us", "stay_us"))  # of the stored row


class SiteCommandError(SitesError, ValueError):
    """A command is invalid. The message states what was found and what is expected."""


@dataclass(frozen=True, slots=True)
class SiteCommand:
    """A directive for one site.

    `exercise_us`: how long the site stays evacuated in an exercise; 0 if the command is no exercise."""

    site: str
    directive: SiteDirective
    reason: str = ""
    issued_by: str = "operator"
    issued_at_us: int = 0
    exercise_us: int = 0

    @property
    def is_exercise(self) -> bool:
        """Return whether the command is a failover exercise, which ends by itself."""
        return self.exercise_us > 0


# ---- conversion from the API document, to and from the stored row ------------------------------------


def parse_command(site: str, document: Mapping[str, Any], now: int) -> SiteCommand:
    """Parse a command from the API document {"word", "reason", "stay_s"}. Raises SiteCommandError if
    invalid."""
    directives = {directive.value: directive for directive in SiteDirective}
    directive = directives.get(str(document.get("word", "")))
    if directive is None:
        raise SiteCommandError(f"'word' is {document.get('word')!r}; expected one of {', '.join(directives)}")
    if unknown := set(document) - DOCUMENT_FIELDS:
        raise SiteCommandError(f"unknown field '{min(unknown)}'; expected only word, reason and stay_s")
    reason = document.get("reason", "")
    if not isinstance(reason, str) or len(reason) > MAX_REASON_LENGTH:
        raise SiteCommandError(f"'reason' is not a string of at most {MAX_REASON_LENGTH} characters")
    exercise_us = _parse_exercise_us(document.get("stay_s", 0), directive)
    return SiteCommand(site, directive, reason, "operator", now, exercise_us)


def _parse_exercise_us(stay_s: object, directive: SiteDirective) -> int:
    if isinstance(stay_s, bool) or not isinstance(stay_s, int | float):
        raise SiteCommandError("'stay_s' is not a number of seconds")
    is_possible = directive is SiteDirective.EVACUATE and MIN_EXERCISE_S <= stay_s <= MAX_EXERCISE_S
    if stay_s and not is_possible:
        raise SiteCommandError(
            "'stay_s' is only allowed with the word evacuate (a failover exercise):"
            f" expected {MIN_EXERCISE_S} to {MAX_EXERCISE_S} seconds"
        )
    return int(stay_s * MICROSECONDS_PER_SECOND)


def command_to_row(command: SiteCommand) -> dict[str, Any]:
    """Return the row that the store holds for a command. Its keys differ from the names in the code."""
    return {
        "site": command.site,
        "word": command.directive.value,
        "reason": command.reason,
        "by": command.issued_by,
        "at_us": command.issued_at_us,
        "stay_us": command.exercise_us,
    }


def command_from_row(row: Mapping[str, Any]) -> SiteCommand:
    """Decode a command that `command_to_row` encoded. Raises SiteCommandError if the row is invalid."""
    if unknown := set(row) - ROW_FIELDS:
        raise SiteCommandError(f"stored site command has the unknown field '{min(unknown)}'")
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
        raise SiteCommandError(f"stored site command is invalid: {error!r}") from None


# ---- active commands ---------------------------------------------------------------------------------


class SiteCommands:
    """The active commands at one director, and the progress of exercises."""

    def __init__(self) -> None:
        self.active: dict[str, SiteCommand] = {}
        self.exercise_end_reasons: dict[str, str] = {}  # by site, why its exercise has ended
        self.overloaded_since_us: dict[str, int] = {}

    def apply(self, command: SiteCommand) -> None:
        """Replace the command for a site; the directive `NONE` withdraws the command."""
        self.overloaded_since_us.pop(command.site, None)
        self.exercise_end_reasons.pop(command.site, None)
        if command.directive is SiteDirective.NONE:
            self.active.pop(command.site, None)
        else:
            self.active[command.site] = command

    def directive_for(self, site: str) -> SiteDirective:
        """Return the present directive for a site; once its exercise has ended, this is `RETURN`."""
        command = self.active.get(site)
        if command is None:
            return SiteDirective.NONE
        return SiteDirective.RETURN if site in self.exercise_end_reasons else command.directive

    def step_exercises(self, now: int, lifecycles: Mapping[str, SiteLifecycle], pressure: float) -> list[str]:
        """Advance the exercises. Returns the sites whose exercise has ended; their commands are removed.

        `pressure`: share of late and rejected answers among the latest answers of the director, 0 to 1."""
        unsteady_sites = [
            site
            for site, lifecycle in lifecycles.items()
            if site not in self.active and lifecycle.phase is not SitePhase.STEADY
        ]
        ended = []
        for site, command in list(self.active.items()):
            if not command.is_exercise or site not in lifecycles:
                continue
            lifecycle = lifecycles[site]
            if site not in self.exercise_end_reasons and not lifecycle.was_unreachable:
                self._check_exercise(now, command, lifecycle, unsteady_sites, pressure)
            elif lifecycle.phase is SitePhase.STEADY or lifecycle.was_unreachable:
                # The exercise is over, or an actual loss supersedes it.
                ended.append(site)
                self.apply(SiteCommand(site, SiteDirective.NONE))
        return ended

    def _check_exercise(
        self,
        now: int,
        command: SiteCommand,
        lifecycle: SiteLifecycle,
        unsteady_sites: list[str],
        pressure: float,
    ) -> None:
        site = command.site
        if unsteady_sites:
            self.exercise_end_reasons[site] = (
                f"site {min(unsteady_sites)} is not steady: the capacity of this site is needed"
            )
        elif pressure > ABORT_PRESSURE:
            overloaded_us = now - self.overloaded_since_us.setdefault(site, now)
            if overloaded_us >= ABORT_AFTER_US:
                self.exercise_end_reasons[site] = f"overload: {pressure:.0%} late or rejected"
        else:
            self.overloaded_since_us.pop(site, None)
        is_away = lifecycle.phase is SitePhase.EVACUATED
        is_complete = is_away and now - lifecycle.phase_started_us >= command.exercise_us
        if site not in self.exercise_end_reasons and is_complete:
            self.exercise_end_reasons[site] = EXERCISE_COMPLETED

    def status(self) -> dict[str, Any]:
        """Return the active commands, with the keys of the administration API."""
        return {
            site: {
                "word": command.directive.value,
                "reason": command.reason,
                "at_us": command.issued_at_us,
                "drill": command.is_exercise,
                "turned": self.exercise_end_reasons.get(site, ""),
            }
            for site, command in sorted(self.active.items())
        }
