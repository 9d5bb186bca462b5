"""What operators have ordered of sites, as data: kept over a restart by the store, read before anything else.

An order names a site and a word (`life.Word`). A drill is an order with an end of its own: it leaves the site
by steps, stays away for a while, and returns; a gate that fails, or a real loss meanwhile, turns it back.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import asdict, dataclass
from typing import Any

from onyxwick.sites.lifecycle import SiteDirective, SiteLifecycle, SitePhase

S = 1_000_000
MOST_REASON = 256
DRILL_LEAST_US, DRILL_MOST_US = 1 * S, 3600 * S
GATE = 0.35  # share of late and refused answers of the whole director at which a drill turns back
GATE_US = 2 * S  # for so long


class SiteCommandError(ValueError):
    """An order that cannot be taken; the text says why."""


@dataclass(frozen=True, slots=True)
class SiteCommand:
    """`stay_us`: of a drill, how long the site stays away; 0: no drill, it holds until it is taken back."""

    site: str
    word: SiteDirective
    reason: str = ""
    by: str = "operator"
    at_us: int = 0
    stay_us: int = 0

    @property
    def drill(self) -> bool:
        return self.stay_us > 0


def read_order(site: str, data: Mapping[str, Any], now: int) -> SiteCommand:
    """An order from the API's form {"word", "reason", "stay_s"}; OrderError tells what is wrong."""
    words = {w.value: w for w in SiteDirective}
    word = words.get(str(data.get("word", "")))
    if word is None:
        raise SiteCommandError(f"'word' is {data.get('word')!r}; it is one of {', '.join(words)}")
    if unknown := set(data) - {"word", "reason", "stay_s"}:
        raise SiteCommandError(f"unknown field '{min(unknown)}'; an order has word, reason and stay_s")
    reason, stay = data.get("reason", ""), data.get("stay_s", 0)
    if not isinstance(reason, str) or len(reason) > MOST_REASON:
        raise SiteCommandError(f"'reason' is no text of at most {MOST_REASON} characters")
    if isinstance(stay, bool) or not isinstance(stay, int | float):
        raise SiteCommandError("'stay_s' is no number of seconds")
    if stay and (word is not SiteDirective.EVACUATE or not DRILL_LEAST_US <= stay * S <= DRILL_MOST_US):
        raise SiteCommandError("'stay_s' belongs to a drill: with the word evacuate, 1 to 3600 seconds")
    return SiteCommand(site, word, reason, "operator", now, int(stay * S))


def to_row(order: SiteCommand) -> dict[str, Any]:
    return {**asdict(order), "word": order.word.value}


def of_row(row: Mapping[str, Any]) -> SiteCommand:
    """An order as `to_row` wrote it; OrderError where it is none."""
    try:
        return SiteCommand(**{**row, "word": SiteDirective(row["word"])})
    except (KeyError, TypeError, ValueError) as error:
        raise SiteCommandError(f"no order: {error!r}") from None


class SiteCommands:
    """All that holds, and the drills' way."""

    def __init__(self) -> None:
        self.held: dict[str, SiteCommand] = {}
        self.turned: dict[str, str] = {}  # drills that were turned back, and why
        self.bad_us: dict[str, int] = {}  # since when a drill's gate fails

    def take(self, order: SiteCommand) -> None:
        self.bad_us.pop(order.site, None)
        self.turned.pop(order.site, None)
        if order.word is SiteDirective.NONE:
            self.held.pop(order.site, None)
        else:
            self.held[order.site] = order

    def word(self, site: str) -> SiteDirective:
        """What is ordered at this instant. A drill that was turned back orders the return."""
        order = self.held.get(site)
        if order is None:
            return SiteDirective.NONE
        return SiteDirective.RETURN if site in self.turned else order.word

    def step(self, now: int, lives: Mapping[str, SiteLifecycle], pressure: float) -> list[str]:
        """Drills go on; the sites whose drill has ended with this step. `pressure`: late and refused among
        all of the director's latest answers."""
        ended = []
        doubted = [s for s, x in lives.items() if s not in self.held and x.phase is not SitePhase.STEADY]
        for site, order in list(self.held.items()):
            if not order.drill or site not in lives:
                continue
            life = lives[site]
            if site not in self.turned and not life.seen_dark:
                self._gate(now, order, life, doubted, pressure)
            elif life.phase is SitePhase.STEADY or life.seen_dark:  # over, or overtaken by the loss itself
                ended.append(site)
                self.take(SiteCommand(site, SiteDirective.NONE))
        return ended

    def _gate(
        self, now: int, order: SiteCommand, life: SiteLifecycle, doubted: list[str], pressure: float
    ) -> None:
        site = order.site
        if doubted:
            self.turned[site] = f"site {min(doubted)} is in doubt: this one's room is wanted"
        elif pressure > GATE:
            begun = self.bad_us.setdefault(site, now)
            if now - begun >= GATE_US:
                self.turned[site] = f"its gate failed: {pressure:.0%} late or refused"
        else:
            self.bad_us.pop(site, None)
        stayed = life.phase is SitePhase.EVACUATED and now - life.since >= order.stay_us
        if site not in self.turned and stayed:
            self.turned[site] = "it has stayed away for its time"

    def shown(self) -> dict[str, Any]:
        return {
            site: {
                "word": order.word.value,
                "reason": order.reason,
                "at_us": order.at_us,
                "drill": order.drill,
                "turned": self.turned.get(site, ""),
            }
            for site, order in sorted(self.held.items())
        }
