"""What operators have ordered of sites, as data: kept over a restart by the store, read before anything else.

An order names a site and a word (`life.Word`). A drill is an order with an end of its own: it leaves the site
by steps, stays away for a while, and returns; a gate that fails, or a real loss meanwhile, turns it back.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from onyxwick.sites.lifecycle import SiteDirective, SiteLifecycle, SitePhase

S = 1_000_000
MAX_REASON_LENGTH = 256
MIN_EXERCISE_US, MAX_EXERCISE_US = 1 * S, 3600 * S
ABORT_PRESSURE = 0.35  # share of late and refused answers of the whole director at which a drill turns back
ABORT_AFTER_US = 2 * S  # for so long


class SiteCommandError(ValueError):
    """An order that cannot be taken; the text says why."""


@dataclass(frozen=True, slots=True)
class SiteCommand:
    """`stay_us`: of a drill, how long the site stays away; 0: no drill, it holds until it is taken back."""

    site: str
    directive: SiteDirective
    reason: str = ""
    issued_by: str = "operator"
    issued_at_us: int = 0
    exercise_us: int = 0

    @property
    def is_exercise(self) -> bool:
        return self.exercise_us > 0


def parse_command(site: str, data: Mapping[str, Any], now: int) -> SiteCommand:
    """An order from the API's form {"word", "reason", "stay_s"}; OrderError tells what is wrong."""
    words = {w.value: w for w in SiteDirective}
    word = words.get(str(data.get("word", "")))
    if word is None:
        raise SiteCommandError(f"'word' is {data.get('word')!r}; it is one of {', '.join(words)}")
    if unknown := set(data) - {"word", "reason", "stay_s"}:
        raise SiteCommandError(f"unknown field '{min(unknown)}'; an order has word, reason and stay_s")
    reason, stay = data.get("reason", ""), data.get("stay_s", 0)
    if not isinstance(reason, str) or len(reason) > MAX_REASON_LENGTH:
        raise SiteCommandError(f"'reason' is no text of at most {MAX_REASON_LENGTH} characters")
    if isinstance(stay, bool) or not isinstance(stay, int | float):
        raise SiteCommandError("'stay_s' is no number of seconds")
    if stay and (word is not SiteDirective.EVACUATE or not MIN_EXERCISE_US <= stay * S <= MAX_EXERCISE_US):
        raise SiteCommandError("'stay_s' belongs to a drill: with the word evacuate, 1 to 3600 seconds")
    return SiteCommand(site, word, reason, "operator", now, int(stay * S))


ROW_FIELDS = frozenset(("site", "word", "reason", "by", "at_us", "stay_us"))


def command_to_row(order: SiteCommand) -> dict[str, Any]:
    """A command as the store keeps it."""
    return {
        "site": order.site,
        "word": order.directive.value,
        "reason": order.reason,
        "by": order.issued_by,
        "at_us": order.issued_at_us,
        "stay_us": order.exercise_us,
    }


def command_from_row(row: Mapping[str, Any]) -> SiteCommand:
    """An order as `to_row` wrote it; OrderError where it is none."""
    try:
        if unknown := set(row) - ROW_FIELDS:
            raise SiteCommandError(f"unknown field '{min(unknown)}' in a stored command")
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


class SiteCommands:
    """All that holds, and the drills' way."""

    def __init__(self) -> None:
        self.active: dict[str, SiteCommand] = {}
        self.turned_back: dict[str, str] = {}  # drills that were turned back, and why
        self.overloaded_since_us: dict[str, int] = {}  # since when a drill's gate fails

    def apply(self, order: SiteCommand) -> None:
        self.overloaded_since_us.pop(order.site, None)
        self.turned_back.pop(order.site, None)
        if order.directive is SiteDirective.NONE:
            self.active.pop(order.site, None)
        else:
            self.active[order.site] = order

    def directive_for(self, site: str) -> SiteDirective:
        """What is ordered at this instant. A drill that was turned back orders the return."""
        order = self.active.get(site)
        if order is None:
            return SiteDirective.NONE
        return SiteDirective.RETURN if site in self.turned_back else order.directive

    def step_exercises(self, now: int, lives: Mapping[str, SiteLifecycle], pressure: float) -> list[str]:
        """Drills go on; the sites whose drill has ended with this step. `pressure`: late and refused among
        all of the director's latest answers."""
        ended = []
        doubted = [s for s, x in lives.items() if s not in self.active and x.phase is not SitePhase.STEADY]
        for site, order in list(self.active.items()):
            if not order.is_exercise or site not in lives:
                continue
            life = lives[site]
            if site not in self.turned_back and not life.was_unreachable:
                self._check_exercise(now, order, life, doubted, pressure)
            elif (
                life.phase is SitePhase.STEADY or life.was_unreachable
            ):  # over, or overtaken by the loss itself
                ended.append(site)
                self.apply(SiteCommand(site, SiteDirective.NONE))
        return ended

    def _check_exercise(
        self, now: int, order: SiteCommand, life: SiteLifecycle, doubted: list[str], pressure: float
    ) -> None:
        site = order.site
        if doubted:
            self.turned_back[site] = f"site {min(doubted)} is in doubt: this one's room is wanted"
        elif pressure > ABORT_PRESSURE:
            begun = self.overloaded_since_us.setdefault(site, now)
            if now - begun >= ABORT_AFTER_US:
                self.turned_back[site] = f"its gate failed: {pressure:.0%} late or refused"
        else:
            self.overloaded_since_us.pop(site, None)
        stayed = life.phase is SitePhase.EVACUATED and now - life.phase_started_us >= order.exercise_us
        if site not in self.turned_back and stayed:
            self.turned_back[site] = "it has stayed away for its time"

    def status(self) -> dict[str, Any]:
        return {
            site: {
                "word": order.directive.value,
                "reason": order.reason,
                "at_us": order.issued_at_us,
                "drill": order.is_exercise,
                "turned": self.turned_back.get(site, ""),
            }
            for site, order in sorted(self.active.items())
        }
