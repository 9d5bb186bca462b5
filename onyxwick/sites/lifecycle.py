"""One site (or hub) as one director sees it: named states, and the share of its objects that is away.

Signs and time in, a share out. Nothing here knows of sockets, lists or other directors; each of those sees
the site at its own time and moves its own clients' requests. The states and their guards:
docs/design/sites.md.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from onyxwick.sites.model import SitePolicy

S = 1_000_000
SILENT_TIMES = 4  # the time that confirms a loss, where boxes take connections and say nothing
FORGOTTEN_US = 10 * S  # a suspicion that nothing feeds for so long is dropped
PRESSED, WELL = (
    0.35,
    0.2,
)  # share of late and refused answers at which a move stands still, under which it goes on
READY = 0.5  # of a site's boxes that the list must name before it is returned to
WHOLE = 0.95  # of its planned capacity at which a site counts as whole
FLAPS_MOST = 5  # doublings of a hold at the most
FLAP_US = 60 * S  # lost again so soon after it came home: a flap
FLAPS_FADE_US = 300 * S  # of a steady site that take one flap away
PAUSED_US = 2 * S  # between two steps: the process was stopped, and what it believed is old
COLD_START = 0.35  # warmth under which a site at a director's start is taken for one that has just returned


class SitePhase(Enum):
    STEADY = "steady"
    SUSPECT = "suspect"
    LOST = "lost"
    EVACUATING = "evacuating"
    EVACUATED = "evacuated"
    RETURNING = "returning"


LEGAL = {
    SitePhase.STEADY: {SitePhase.SUSPECT, SitePhase.EVACUATING, SitePhase.RETURNING},
    SitePhase.SUSPECT: {SitePhase.STEADY, SitePhase.LOST, SitePhase.EVACUATING},
    SitePhase.LOST: {SitePhase.EVACUATING, SitePhase.STEADY},
    SitePhase.EVACUATING: {SitePhase.EVACUATED, SitePhase.RETURNING},
    SitePhase.EVACUATED: {SitePhase.RETURNING},
    SitePhase.RETURNING: {SitePhase.STEADY, SitePhase.LOST, SitePhase.EVACUATING},
}
AWAY = (SitePhase.LOST, SitePhase.EVACUATING, SitePhase.EVACUATED)  # nothing but trials goes there


class IllegalSiteTransitionError(RuntimeError):
    """A step between two states that no rule allows."""


class SiteDirective(Enum):
    """What an operator has ordered for a site."""

    NONE = "auto"
    EVACUATE = "evacuate"
    RETURN = "return"
    HOLD = "hold"


@dataclass(frozen=True, slots=True)
class SiteHealthSignals:
    """What one step looks at. Times in the caller's microseconds, 0 for never."""

    dark: bool = False  # most boxes tried lately are dark and none has answered since
    dark_since: int = 0
    only_silent: bool = False  # what is dark takes connections, and nothing comes of them
    answered_us: int = 0
    outside_us: int = 0  # when anything beside this place was last heard
    cut_off: bool = False
    asked: bool = False  # its clients' requests come here, or it is the own site
    unknown: bool = False  # they come, and nothing of it was heard lately: is it there?
    listed: float = 1.0  # of its boxes that the list names ready, over those it has had
    loaded: bool = True  # a list is known at all
    room: float = 1.0  # planned capacity that its listed boxes have when warm
    warmth: float = 1.0  # and can give now
    well_since: int = 0  # since when trials there are answered without a failure; 0: they are not
    pressure: float = 0.0  # late and refused among the latest answers where its objects go
    cause: str = ""


class SiteLifecycle:
    """One site's state."""

    def __init__(self, name: str, now: int, policy: SitePolicy) -> None:
        self.name, self.policy = name, policy
        self.phase, self.since, self.at = SitePhase.STEADY, now, now
        self.share = 0.0
        self.why = "nothing has been seen of it yet"
        self.flaps = 0
        self.returned_us = 0  # when it last came home; 0: never
        self.setbacks = 0
        self.moved_us = 0  # of the last step of the share
        self.hold_until = 0
        self.ordered = False  # it was left on an order: evidence does not bring it back
        self.seen_dark = False  # since it was last steady
        self.moves = 0  # changes of state, for the counters

    def _enter(self, phase: SitePhase, now: int, why: str) -> None:
        if phase not in LEGAL[self.phase]:
            raise IllegalSiteTransitionError(f"site '{self.name}': {self.phase.value} to {phase.value}")
        again = self.returned_us and now - self.returned_us < FLAP_US
        if phase is SitePhase.LOST and (again or self.phase is SitePhase.RETURNING):
            self.flaps = min(FLAPS_MOST, self.flaps + 1)
        if phase is SitePhase.STEADY and self.phase is SitePhase.RETURNING:
            self.returned_us = now
        self.phase, self.since, self.why = phase, now, why
        self.moves += 1
        if phase is SitePhase.STEADY:
            self.share, self.setbacks, self.ordered, self.seen_dark = 0.0, 0, False, False
        elif phase is SitePhase.EVACUATED:
            self.share = 1.0
        elif phase is SitePhase.LOST:
            self.seen_dark, self.ordered = True, False  # whatever an order began, this is the loss itself

    @property
    def hold_us(self) -> int:
        """How long a site must be well before it is returned to."""
        return self.policy.hold_us << (self.flaps + min(2, self.setbacks))

    def began(self, now: int, signs: SiteHealthSignals) -> None:
        """The first list of a director that has just started: others may have moved long before."""
        if signs.loaded and signs.listed > 0 and signs.warmth < COLD_START * signs.room:
            self._enter(SitePhase.RETURNING, now, "found cold at the start: its objects are still elsewhere")
            self.share = max(0.0, 1 - signs.warmth)

    def step(self, now: int, signs: SiteHealthSignals, word: SiteDirective = SiteDirective.NONE) -> None:
        """One look. More than one state may be passed in it where nothing has to be waited for."""
        passed, self.at = now - self.at, now
        if passed > PAUSED_US:
            # Stopped and woken: what was believed before counts for nothing until it is seen again.
            self.moved_us = now
            if self.phase is SitePhase.SUSPECT:
                self._enter(SitePhase.STEADY, now, "the process was stopped: seen anew")
            return
        for _ in range(3):
            before = self.phase
            self._look(now, signs, word)
            if self.phase is before:
                return

    def _look(self, now: int, signs: SiteHealthSignals, word: SiteDirective) -> None:
        match self.phase:
            case SitePhase.STEADY:
                self._steady(now, signs, word)
            case SitePhase.SUSPECT:
                self._suspect(now, signs, word)
            case SitePhase.LOST:
                self._lost(now, signs, word)
            case SitePhase.EVACUATING:
                self._leave(now, signs, word)
            case SitePhase.EVACUATED:
                self._away(now, signs, word)
            case SitePhase.RETURNING:
                self._return(now, signs, word)

    # ---- each state -------------------------------------------------------------------------------------

    def _steady(self, now: int, signs: SiteHealthSignals, word: SiteDirective) -> None:
        if word is SiteDirective.EVACUATE:
            self._ordered(now)
        elif self._off_list(signs):
            self._enter(SitePhase.SUSPECT, now, "the list names none of its boxes")
        elif signs.dark and not signs.cut_off:
            self._enter(SitePhase.SUSPECT, now, f"its boxes are dark: {signs.cause}")
        elif signs.unknown and not signs.cut_off:
            self._enter(SitePhase.SUSPECT, now, "its clients come here, and none of its boxes was heard")
        elif self.flaps and now - self.since > FLAPS_FADE_US:
            self.flaps, self.since = self.flaps - 1, now

    def _ordered(self, now: int) -> None:
        self.ordered = True
        self._enter(SitePhase.EVACUATING, now, "an operator's order")

    def _off_list(self, signs: SiteHealthSignals) -> bool:
        return signs.loaded and signs.listed == 0.0

    def _suspect(self, now: int, signs: SiteHealthSignals, word: SiteDirective) -> None:
        if word is SiteDirective.EVACUATE:
            return self._ordered(now)
        if self._off_list(signs):
            return self._enter(SitePhase.LOST, now, "the list names none of its boxes")
        if signs.cut_off:
            self.since, self.why = now, "nothing outside answers: our own cut, not its loss"
            return None
        if not signs.dark:
            if signs.answered_us >= self.since:
                self._enter(SitePhase.STEADY, now, "its boxes answer")
            elif now - self.since > FORGOTTEN_US:
                self._enter(SitePhase.STEADY, now, "nothing more was seen against it")
            return None
        silent = now - max(self.since, signs.dark_since)
        if silent < self._confirm_us(signs) or signs.outside_us <= signs.dark_since:
            return None
        if not signs.asked:
            # One link, perhaps cut one way: nobody asks for it here, so nothing need be decided.
            self.why = f"not reached from here, and its clients do not come: {signs.cause}"
            return None
        return self._enter(SitePhase.LOST, now, f"no box of it answers, the outside does: {signs.cause}")

    def _confirm_us(self, signs: SiteHealthSignals) -> int:
        """Slow boxes are silent for long, too: more of it is wanted where nothing else speaks of a loss."""
        return self.policy.confirm_us * (SILENT_TIMES if signs.only_silent else 1)

    def _lost(self, now: int, signs: SiteHealthSignals, word: SiteDirective) -> None:
        if word is SiteDirective.EVACUATE:
            self._ordered(now)
        elif word is SiteDirective.HOLD:
            return
        elif self.policy.auto:
            self._enter(SitePhase.EVACUATING, now, self.why)
        elif not self._off_list(signs) and not signs.dark and signs.answered_us >= self.since:
            self._enter(SitePhase.STEADY, now, "its boxes answer, and nothing has moved")

    def _called_back(self, signs: SiteHealthSignals, word: SiteDirective) -> bool:
        """Is it to be returned to by an order, to boxes that the list names?"""
        back = word is SiteDirective.RETURN or (self.ordered and word is SiteDirective.NONE)
        return back and not self._off_list(signs)

    def _leave(self, now: int, signs: SiteHealthSignals, word: SiteDirective) -> None:
        if self._called_back(signs, word):
            return self._enter(SitePhase.RETURNING, now, "ordered back, or the order was taken back")
        if word is SiteDirective.HOLD or signs.cut_off or now - self.moved_us < self.policy.step_us:
            return None
        if signs.pressure > PRESSED and self.share > 0:
            self.why = f"stands still: {signs.pressure:.0%} late or refused where its objects go"
            self.moved_us = now
            return None
        self.moved_us = now
        self.share = min(1.0, self.share + 1 / self.policy.steps)
        if self.share >= 1.0 - 1e-9:
            self._enter(SitePhase.EVACUATED, now, self.why)
        return None

    def _away(self, now: int, signs: SiteHealthSignals, word: SiteDirective) -> None:
        if self._called_back(signs, word):
            return self._enter(SitePhase.RETURNING, now, "ordered back, or the order was taken back")
        if word in (SiteDirective.HOLD, SiteDirective.EVACUATE) or signs.cut_off or self._off_list(signs):
            return None
        # Where its objects are is not enough room: any box that answers is more.
        hold = self.policy.confirm_us if signs.pressure > WELL and not self.flaps else self.hold_us
        well = signs.well_since and now - max(signs.well_since, self.since) >= hold
        if signs.listed >= READY and well and not signs.dark:
            self._enter(SitePhase.RETURNING, now, "its boxes are listed and answer")
        return None

    def _return(self, now: int, signs: SiteHealthSignals, word: SiteDirective) -> None:
        if word is SiteDirective.EVACUATE:
            return self._ordered(now)
        if self._off_list(signs):
            return self._enter(SitePhase.LOST, now, "the list names none of its boxes again")
        doubted = signs.dark and not signs.cut_off and word is not SiteDirective.RETURN
        if doubted and now - signs.dark_since >= self._confirm_us(signs) // 2:
            return self._enter(SitePhase.LOST, now, f"dark again: {signs.cause}")
        if word is SiteDirective.HOLD or signs.cut_off or now - self.moved_us < self.policy.step_us:
            return None
        self.moved_us = now
        if signs.pressure > PRESSED:
            if now >= self.hold_until:  # one step back for one bad look at what it was given
                self.share = min(1.0, self.share + 1 / self.policy.back_steps)
                self.setbacks += 1
            self.hold_until = now + (self.policy.hold_us // 2 << min(2, self.setbacks))
            self.why = f"a step back: {signs.pressure:.0%} late or refused there"
            return None
        if now < self.hold_until or signs.pressure > WELL:
            return None
        self._step_home(now, signs)
        return None

    def _step_home(self, now: int, signs: SiteHealthSignals) -> None:
        """As much as its boxes bear now: cold ones little, fewer ones never all."""
        whole = signs.room >= WHOLE
        bears = 1.0 if whole and signs.warmth >= WHOLE else signs.warmth
        step = 1 / self.policy.back_steps
        self.share = min(max(1 - bears, self.share - step, 0.0), self.share + step, 1.0)
        if self.share <= 1e-9:
            self._enter(SitePhase.STEADY, now, "all of its objects are home")
        elif not whole and self.share <= 1 - signs.room + 1e-9:
            self.why = f"it came back smaller: {1 - signs.room:.0%} of its objects stay away"
