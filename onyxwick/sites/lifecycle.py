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
SILENT_CONFIRMATION_FACTOR = 4  # the time that confirms a loss, where boxes take connections and say nothing
SUSPICION_EXPIRY_US = 10 * S  # a suspicion that nothing feeds for so long is dropped
PRESSED, WELL = (
    0.35,
    0.2,
)  # share of late and refused answers at which a move stands still, under which it goes on
MIN_LISTED_SHARE = 0.5  # of a site's boxes that the list must name before it is returned to
FULL_CAPACITY_SHARE = 0.95  # of its planned capacity at which a site counts as whole
MAX_FLAPS = 5  # doublings of a hold at the most
FLAP_WINDOW_US = 60 * S  # lost again so soon after it came home: a flap
FLAP_DECAY_US = 300 * S  # of a steady site that take one flap away
MAX_STEP_INTERVAL_US = 2 * S  # between two steps: the process was stopped, and what it believed is old
COLD_START_WARM_SHARE = (
    0.35  # warmth under which a site at a director's start is taken for one that has just returned
)


class SitePhase(Enum):
    STEADY = "steady"
    SUSPECT = "suspect"
    LOST = "lost"
    EVACUATING = "evacuating"
    EVACUATED = "evacuated"
    RETURNING = "returning"


LEGAL_TRANSITIONS = {
    SitePhase.STEADY: {SitePhase.SUSPECT, SitePhase.EVACUATING, SitePhase.RETURNING},
    SitePhase.SUSPECT: {SitePhase.STEADY, SitePhase.LOST, SitePhase.EVACUATING},
    SitePhase.LOST: {SitePhase.EVACUATING, SitePhase.STEADY},
    SitePhase.EVACUATING: {SitePhase.EVACUATED, SitePhase.RETURNING},
    SitePhase.EVACUATED: {SitePhase.RETURNING},
    SitePhase.RETURNING: {SitePhase.STEADY, SitePhase.LOST, SitePhase.EVACUATING},
}
AWAY_PHASES = (SitePhase.LOST, SitePhase.EVACUATING, SitePhase.EVACUATED)  # nothing but trials goes there


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

    unreachable: bool = False  # most boxes tried lately are dark and none has answered since
    unreachable_since_us: int = 0
    is_only_silent: bool = False  # what is dark takes connections, and nothing comes of them
    answered_us: int = 0
    outside_heard_us: int = 0  # when anything beside this place was last heard
    cut_off: bool = False
    has_demand: bool = False  # its clients' requests come here, or it is the own site
    is_unobserved: bool = False  # they come, and nothing of it was heard lately: is it there?
    listed_share: float = 1.0  # of its boxes that the list names ready, over those it has had
    list_loaded: bool = True  # a list is known at all
    capacity_share: float = 1.0  # planned capacity that its listed boxes have when warm
    warm_share: float = 1.0  # and can give now
    healthy_since_us: int = 0  # since when trials there are answered without a failure; 0: they are not
    pressure: float = 0.0  # late and refused among the latest answers where its objects go
    cause: str = ""


class SiteLifecycle:
    """One site's state."""

    def __init__(self, name: str, now: int, policy: SitePolicy) -> None:
        self.name, self.policy = name, policy
        self.phase, self.phase_started_us, self.stepped_us = SitePhase.STEADY, now, now
        self.moved_share = 0.0
        self.reason = "nothing has been seen of it yet"
        self.flaps = 0
        self.returned_us = 0  # when it last came home; 0: never
        self.setbacks = 0
        self.share_changed_us = 0  # of the last step of the share
        self.hold_until_us = 0
        self.left_by_command = False  # it was left on an order: evidence does not bring it back
        self.was_unreachable = False  # since it was last steady
        self.transition_count = 0  # changes of state, for the counters

    def _transition(self, phase: SitePhase, now: int, why: str) -> None:
        if phase not in LEGAL_TRANSITIONS[self.phase]:
            raise IllegalSiteTransitionError(f"site '{self.name}': {self.phase.value} to {phase.value}")
        again = self.returned_us and now - self.returned_us < FLAP_WINDOW_US
        if phase is SitePhase.LOST and (again or self.phase is SitePhase.RETURNING):
            self.flaps = min(MAX_FLAPS, self.flaps + 1)
        if phase is SitePhase.STEADY and self.phase is SitePhase.RETURNING:
            self.returned_us = now
        self.phase, self.phase_started_us, self.reason = phase, now, why
        self.transition_count += 1
        if phase is SitePhase.STEADY:
            self.moved_share, self.setbacks, self.left_by_command, self.was_unreachable = 0.0, 0, False, False
        elif phase is SitePhase.EVACUATED:
            self.moved_share = 1.0
        elif phase is SitePhase.LOST:
            self.was_unreachable, self.left_by_command = (
                True,
                False,
            )  # whatever an order began, this is the loss itself

    @property
    def hold_us(self) -> int:
        """How long a site must be well before it is returned to."""
        return self.policy.hold_us << (self.flaps + min(2, self.setbacks))

    def start(self, now: int, signs: SiteHealthSignals) -> None:
        """The first list of a director that has just started: others may have moved long before."""
        if (
            signs.list_loaded
            and signs.listed_share > 0
            and signs.warm_share < COLD_START_WARM_SHARE * signs.capacity_share
        ):
            self._transition(
                SitePhase.RETURNING, now, "found cold at the start: its objects are still elsewhere"
            )
            self.moved_share = max(0.0, 1 - signs.warm_share)

    def step(self, now: int, signs: SiteHealthSignals, word: SiteDirective = SiteDirective.NONE) -> None:
        """One look. More than one state may be passed in it where nothing has to be waited for."""
        passed, self.stepped_us = now - self.stepped_us, now
        if passed > MAX_STEP_INTERVAL_US:
            # Stopped and woken: what was believed before counts for nothing until it is seen again.
            self.share_changed_us = now
            if self.phase is SitePhase.SUSPECT:
                self._transition(SitePhase.STEADY, now, "the process was stopped: seen anew")
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
            self._transition(SitePhase.SUSPECT, now, "the list names none of its boxes")
        elif signs.unreachable and not signs.cut_off:
            self._transition(SitePhase.SUSPECT, now, f"its boxes are dark: {signs.cause}")
        elif signs.is_unobserved and not signs.cut_off:
            self._transition(SitePhase.SUSPECT, now, "its clients come here, and none of its boxes was heard")
        elif self.flaps and now - self.phase_started_us > FLAP_DECAY_US:
            self.flaps, self.phase_started_us = self.flaps - 1, now

    def _ordered(self, now: int) -> None:
        self.left_by_command = True
        self._transition(SitePhase.EVACUATING, now, "an operator's order")

    def _off_list(self, signs: SiteHealthSignals) -> bool:
        return signs.list_loaded and signs.listed_share == 0.0

    def _suspect(self, now: int, signs: SiteHealthSignals, word: SiteDirective) -> None:
        if word is SiteDirective.EVACUATE:
            return self._ordered(now)
        if self._off_list(signs):
            return self._transition(SitePhase.LOST, now, "the list names none of its boxes")
        if signs.cut_off:
            self.phase_started_us, self.reason = now, "nothing outside answers: our own cut, not its loss"
            return None
        if not signs.unreachable:
            if signs.answered_us >= self.phase_started_us:
                self._transition(SitePhase.STEADY, now, "its boxes answer")
            elif now - self.phase_started_us > SUSPICION_EXPIRY_US:
                self._transition(SitePhase.STEADY, now, "nothing more was seen against it")
            return None
        silent = now - max(self.phase_started_us, signs.unreachable_since_us)
        if silent < self._confirm_us(signs) or signs.outside_heard_us <= signs.unreachable_since_us:
            return None
        if not signs.has_demand:
            # One link, perhaps cut one way: nobody asks for it here, so nothing need be decided.
            self.reason = f"not reached from here, and its clients do not come: {signs.cause}"
            return None
        return self._transition(SitePhase.LOST, now, f"no box of it answers, the outside does: {signs.cause}")

    def _confirm_us(self, signs: SiteHealthSignals) -> int:
        """Slow boxes are silent for long, too: more of it is wanted where nothing else speaks of a loss."""
        return self.policy.confirm_us * (SILENT_CONFIRMATION_FACTOR if signs.is_only_silent else 1)

    def _lost(self, now: int, signs: SiteHealthSignals, word: SiteDirective) -> None:
        if word is SiteDirective.EVACUATE:
            self._ordered(now)
        elif word is SiteDirective.HOLD:
            return
        elif self.policy.automatic:
            self._transition(SitePhase.EVACUATING, now, self.reason)
        elif (
            not self._off_list(signs) and not signs.unreachable and signs.answered_us >= self.phase_started_us
        ):
            self._transition(SitePhase.STEADY, now, "its boxes answer, and nothing has moved")

    def _called_back(self, signs: SiteHealthSignals, word: SiteDirective) -> bool:
        """Is it to be returned to by an order, to boxes that the list names?"""
        back = word is SiteDirective.RETURN or (self.left_by_command and word is SiteDirective.NONE)
        return back and not self._off_list(signs)

    def _leave(self, now: int, signs: SiteHealthSignals, word: SiteDirective) -> None:
        if self._called_back(signs, word):
            return self._transition(SitePhase.RETURNING, now, "ordered back, or the order was taken back")
        if (
            word is SiteDirective.HOLD
            or signs.cut_off
            or now - self.share_changed_us < self.policy.step_interval_us
        ):
            return None
        if signs.pressure > PRESSED and self.moved_share > 0:
            self.reason = f"stands still: {signs.pressure:.0%} late or refused where its objects go"
            self.share_changed_us = now
            return None
        self.share_changed_us = now
        self.moved_share = min(1.0, self.moved_share + 1 / self.policy.evacuation_steps)
        if self.moved_share >= 1.0 - 1e-9:
            self._transition(SitePhase.EVACUATED, now, self.reason)
        return None

    def _away(self, now: int, signs: SiteHealthSignals, word: SiteDirective) -> None:
        if self._called_back(signs, word):
            return self._transition(SitePhase.RETURNING, now, "ordered back, or the order was taken back")
        if word in (SiteDirective.HOLD, SiteDirective.EVACUATE) or signs.cut_off or self._off_list(signs):
            return None
        # Where its objects are is not enough room: any box that answers is more.
        hold = self.policy.confirm_us if signs.pressure > WELL and not self.flaps else self.hold_us
        well = signs.healthy_since_us and now - max(signs.healthy_since_us, self.phase_started_us) >= hold
        if signs.listed_share >= MIN_LISTED_SHARE and well and not signs.unreachable:
            self._transition(SitePhase.RETURNING, now, "its boxes are listed and answer")
        return None

    def _return(self, now: int, signs: SiteHealthSignals, word: SiteDirective) -> None:
        if word is SiteDirective.EVACUATE:
            return self._ordered(now)
        if self._off_list(signs):
            return self._transition(SitePhase.LOST, now, "the list names none of its boxes again")
        doubted = signs.unreachable and not signs.cut_off and word is not SiteDirective.RETURN
        if doubted and now - signs.unreachable_since_us >= self._confirm_us(signs) // 2:
            return self._transition(SitePhase.LOST, now, f"dark again: {signs.cause}")
        if (
            word is SiteDirective.HOLD
            or signs.cut_off
            or now - self.share_changed_us < self.policy.step_interval_us
        ):
            return None
        self.share_changed_us = now
        if signs.pressure > PRESSED:
            if now >= self.hold_until_us:  # one step back for one bad look at what it was given
                self.moved_share = min(1.0, self.moved_share + 1 / self.policy.return_steps)
                self.setbacks += 1
            self.hold_until_us = now + (self.policy.hold_us // 2 << min(2, self.setbacks))
            self.reason = f"a step back: {signs.pressure:.0%} late or refused there"
            return None
        if now < self.hold_until_us or signs.pressure > WELL:
            return None
        self._step_home(now, signs)
        return None

    def _step_home(self, now: int, signs: SiteHealthSignals) -> None:
        """As much as its boxes bear now: cold ones little, fewer ones never all."""
        whole = signs.capacity_share >= FULL_CAPACITY_SHARE
        bears = 1.0 if whole and signs.warm_share >= FULL_CAPACITY_SHARE else signs.warm_share
        step = 1 / self.policy.return_steps
        self.moved_share = min(max(1 - bears, self.moved_share - step, 0.0), self.moved_share + step, 1.0)
        if self.moved_share <= 1e-9:
            self._transition(SitePhase.STEADY, now, "all of its objects are home")
        elif not whole and self.moved_share <= 1 - signs.capacity_share + 1e-9:
            self.reason = f"it came back smaller: {1 - signs.capacity_share:.0%} of its objects stay away"
