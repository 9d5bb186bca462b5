"""The state machine of one site or hub at one director, and the share of its objects that other sites serve.

Takes health signals, operators' directives and the time (microseconds), and determines the phase and the
moved share, 0 to 1. Every director runs its own state machines. Directors enter a phase at different
times, and each moves the requests of its own clients. States and guards: docs/design/sites.md.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from onyxwick.errors import OnyxwickError
from onyxwick.sites.model import MICROSECONDS_PER_SECOND, SitePolicy

SILENT_CONFIRMATION_FACTOR = 4  # multiplies `confirm_us` if caches accept connections but do not answer
# A suspicion is dropped after this time without a further failure.
SUSPICION_EXPIRY_US = 10 * MICROSECONDS_PER_SECOND
PAUSE_PRESSURE = 0.35  # share of late and rejected answers above which a move pauses
# A share of late and rejected answers. Up to it, a return that has started takes its next step. Above it, the
# serving sites lack capacity, so a return that has not started may start before the hold time is over.
RESUME_PRESSURE = 0.2
MIN_LISTED_SHARE = 0.5  # share of a site's caches that must be listed before traffic returns to it
FULL_CAPACITY_SHARE = 0.95  # a site with this share of its planned capacity or more counts as complete
MAX_FLAPS = 5  # highest flap count; each flap doubles the hold time
MAX_SETBACK_DOUBLINGS = 2
FLAP_WINDOW_US = 60 * MICROSECONDS_PER_SECOND  # a loss this soon after a return counts as a flap
# The flap count decreases by one after this time in the steady phase.
FLAP_DECAY_US = 300 * MICROSECONDS_PER_SECOND
# Longest interval between two steps; a longer one means that the process was paused and its state is stale.
MAX_STEP_INTERVAL_US = 2 * MICROSECONDS_PER_SECOND
# A site whose warm share is below this part of its listed capacity at a director's start is taken to be
# returning.
COLD_START_WARM_SHARE = 0.35
MAX_TRANSITIONS_PER_STEP = 3
SHARE_TOLERANCE = 1e-9
NOT_LISTED = "none of its caches is listed as ready"


class SitePhase(Enum):
    """The states of a site. The values appear in metrics, logs and the administration API."""

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
# The phases from the loss or evacuation of a site until its traffic starts to return.
AWAY_PHASES = (SitePhase.LOST, SitePhase.EVACUATING, SitePhase.EVACUATED)


class IllegalSiteTransitionError(OnyxwickError, RuntimeError):
    """A transition between two phases that `LEGAL_TRANSITIONS` does not allow."""

    def __init__(self, site: str, phase: SitePhase, requested: SitePhase) -> None:
        expected = ", ".join(sorted(legal.value for legal in LEGAL_TRANSITIONS[phase]))
        super().__init__(f"site '{site}': {phase.value} to {requested.value}, expected one of: {expected}")
        self.site = site
        self.phase = phase
        self.requested = requested


class SiteDirective(Enum):
    """A directive of an operator for a site. The administration API and the store use the values."""

    NONE = "auto"
    EVACUATE = "evacuate"
    RETURN = "return"
    HOLD = "hold"


@dataclass(frozen=True, slots=True)
class SiteHealthSignals:
    """The health of a site at one step. Times are in microseconds, 0 means never; shares are 0 to 1."""

    # At least two thirds of the recently tried caches are unreachable, and none has answered since.
    unreachable: bool = False
    unreachable_since_us: int = 0
    is_only_silent: bool = False  # the unreachable caches accept connections but do not answer
    answered_us: int = 0
    # When something was last received from outside this place and the local site.
    outside_received_us: int = 0
    cut_off: bool = False  # this director is isolated: it receives nothing from outside its own site
    has_demand: bool = False  # requests of its clients arrive here, or it is a hub or the local site
    is_unobserved: bool = False  # its clients' requests arrive here, but it has not answered recently
    listed_share: float = 1.0  # share of its caches that are listed as ready
    list_loaded: bool = True  # an endpoint list has been received
    capacity_share: float = 1.0  # share of its planned capacity that the listed caches have when warm
    warm_share: float = 1.0  # share of its planned capacity that the listed caches can provide now
    # Since when all trials (requests sent to it although it may be unreachable) have been answered; 0: they
    # are not answered.
    healthy_since_us: int = 0
    pressure: float = 0.0  # share of late and rejected answers at the sites that serve its objects
    cause: str = ""


class SiteLifecycle:
    """The state machine of one site or hub at one director."""

    def __init__(self, name: str, now: int, policy: SitePolicy) -> None:
        self.name = name
        self.policy = policy
        self.phase = SitePhase.STEADY
        self.phase_started_us = now
        self.stepped_us = now
        self.moved_share = 0.0  # share of its objects that other sites serve
        self.reason = "not observed yet"
        self.flaps = 0
        self.returned_us = 0  # when it last became steady after a loss; 0: never
        self.setbacks = 0  # increases of the moved share during the present return
        self.share_changed_us = 0
        self.hold_until_us = 0
        self.evacuated_by_command = False  # if set, health alone does not bring traffic back
        self.was_unreachable = False  # whether it was lost since it was last steady
        self.transition_count = 0

    def _transition(self, phase: SitePhase, now: int, reason: str) -> None:
        if phase not in LEGAL_TRANSITIONS[self.phase]:
            raise IllegalSiteTransitionError(self.name, self.phase, phase)
        returned_recently = self.returned_us and now - self.returned_us < FLAP_WINDOW_US
        if phase is SitePhase.LOST and (returned_recently or self.phase is SitePhase.RETURNING):
            self.flaps = min(MAX_FLAPS, self.flaps + 1)
        if phase is SitePhase.STEADY and self.phase is SitePhase.RETURNING:
            self.returned_us = now
        self.phase = phase
        self.phase_started_us = now
        self.reason = reason
        self.transition_count += 1
        if phase is SitePhase.STEADY:
            self._reset()
        elif phase is SitePhase.EVACUATED:
            self.moved_share = 1.0
        elif phase is SitePhase.LOST:
            self.was_unreachable = True
            self.evacuated_by_command = False  # an actual loss supersedes the command

    def _reset(self) -> None:
        self.moved_share = 0.0
        self.setbacks = 0
        self.evacuated_by_command = False
        self.was_unreachable = False

    @property
    def hold_us(self) -> int:
        """Return how long a site must be healthy before traffic returns to it; doubled by each flap and
        setback."""
        return self.policy.hold_us << (self.flaps + min(MAX_SETBACK_DOUBLINGS, self.setbacks))

    def start(self, now: int, signals: SiteHealthSignals) -> None:
        """Set the initial phase from the first endpoint list after a director's start.

        A cold site is taken to be returning, as other directors may have evacuated it earlier."""
        is_cold = signals.warm_share < COLD_START_WARM_SHARE * signals.capacity_share
        if signals.list_loaded and signals.listed_share > 0 and is_cold:
            reason = "found cold at start: its objects are still served elsewhere"
            self._transition(SitePhase.RETURNING, now, reason)
            self.moved_share = max(0.0, 1 - signals.warm_share)

    def step(
        self, now: int, signals: SiteHealthSignals, directive: SiteDirective = SiteDirective.NONE
    ) -> None:
        """Apply the signals of one instant. May pass through several phases if none of them has to wait."""
        passed_us = now - self.stepped_us
        self.stepped_us = now
        if passed_us > MAX_STEP_INTERVAL_US:
            self._resume_after_pause(now)
            return
        for _ in range(MAX_TRANSITIONS_PER_STEP):
            before = self.phase
            self._step_phase(now, signals, directive)
            if self.phase is before:
                return

    def _resume_after_pause(self, now: int) -> None:
        """Drop a suspicion that arose before a pause of this process; the failures must be observed again."""
        self.share_changed_us = now
        if self.phase is SitePhase.SUSPECT:
            self._transition(SitePhase.STEADY, now, "process was paused: observing again")

    def _step_phase(self, now: int, signals: SiteHealthSignals, directive: SiteDirective) -> None:
        match self.phase:
            case SitePhase.STEADY:
                self._step_steady(now, signals, directive)
            case SitePhase.SUSPECT:
                self._step_suspect(now, signals, directive)
            case SitePhase.LOST:
                self._step_lost(now, signals, directive)
            case SitePhase.EVACUATING:
                self._step_evacuating(now, signals, directive)
            case SitePhase.EVACUATED:
                self._step_evacuated(now, signals, directive)
            case SitePhase.RETURNING:
                self._step_returning(now, signals, directive)

    # ---- steady, suspect, lost -----------------------------------------------------------------------

    def _step_steady(self, now: int, signals: SiteHealthSignals, directive: SiteDirective) -> None:
        if directive is SiteDirective.EVACUATE:
            self._evacuate_by_command(now)
        elif self._is_unlisted(signals):
            self._transition(SitePhase.SUSPECT, now, NOT_LISTED)
        elif signals.unreachable and not signals.cut_off:
            self._transition(SitePhase.SUSPECT, now, f"its caches are unreachable: {signals.cause}")
        elif signals.is_unobserved and not signals.cut_off:
            reason = "its clients connect here, and none of its caches has answered"
            self._transition(SitePhase.SUSPECT, now, reason)
        elif self.flaps and now - self.phase_started_us > FLAP_DECAY_US:
            self.flaps -= 1
            self.phase_started_us = now

    def _evacuate_by_command(self, now: int) -> None:
        self.evacuated_by_command = True
        self._transition(SitePhase.EVACUATING, now, "operator command")

    def _is_unlisted(self, signals: SiteHealthSignals) -> bool:
        return signals.list_loaded and signals.listed_share == 0.0

    def _step_suspect(self, now: int, signals: SiteHealthSignals, directive: SiteDirective) -> None:
        if directive is SiteDirective.EVACUATE:
            self._evacuate_by_command(now)
        elif self._is_unlisted(signals):
            self._transition(SitePhase.LOST, now, NOT_LISTED)
        elif signals.cut_off:
            self.phase_started_us = now
            self.reason = "nothing outside this site answers: this director is isolated"
        elif not signals.unreachable:
            self._clear_suspicion(now, signals)
        elif self._loss_is_confirmed(now, signals):
            if signals.has_demand:
                reason = f"none of its caches answers while others do: {signals.cause}"
                self._transition(SitePhase.LOST, now, reason)
            else:
                # A single link may have failed in one direction; without demand no decision is needed here.
                self.reason = f"unreachable from here, and without demand from its clients: {signals.cause}"

    def _clear_suspicion(self, now: int, signals: SiteHealthSignals) -> None:
        if signals.answered_us >= self.phase_started_us:
            self._transition(SitePhase.STEADY, now, "its caches answer")
        elif now - self.phase_started_us > SUSPICION_EXPIRY_US:
            self._transition(SitePhase.STEADY, now, "no further failures")

    def _loss_is_confirmed(self, now: int, signals: SiteHealthSignals) -> bool:
        """Return whether the site was unreachable for long enough while something was received from
        elsewhere."""
        silent_us = now - max(self.phase_started_us, signals.unreachable_since_us)
        received_from_others = signals.outside_received_us > signals.unreachable_since_us
        return silent_us >= self._confirm_us(signals) and received_from_others

    def _confirm_us(self, signals: SiteHealthSignals) -> int:
        """Return the time without an answer that confirms a loss.

        Longer if silence is the only evidence, as slow caches are also silent for some time."""
        return self.policy.confirm_us * (SILENT_CONFIRMATION_FACTOR if signals.is_only_silent else 1)

    def _step_lost(self, now: int, signals: SiteHealthSignals, directive: SiteDirective) -> None:
        if directive is SiteDirective.EVACUATE:
            self._evacuate_by_command(now)
        elif directive is SiteDirective.HOLD:
            return
        elif self.policy.automatic:
            self._transition(SitePhase.EVACUATING, now, self.reason)
        else:
            answers = not signals.unreachable and signals.answered_us >= self.phase_started_us
            if answers and not self._is_unlisted(signals):
                self._transition(SitePhase.STEADY, now, "its caches answer, and nothing has been moved")

    # ---- evacuating, evacuated -----------------------------------------------------------------------

    def _is_recalled(self, signals: SiteHealthSignals, directive: SiteDirective) -> bool:
        """Return whether an operator wants traffic back, by a return command or by withdrawing the evacuation
        command, and caches of the site are listed."""
        withdrawn = self.evacuated_by_command and directive is SiteDirective.NONE
        return (directive is SiteDirective.RETURN or withdrawn) and not self._is_unlisted(signals)

    def _return_by_command(self, now: int) -> None:
        self._transition(SitePhase.RETURNING, now, "returned by operator command")

    def _must_wait(self, now: int, signals: SiteHealthSignals, directive: SiteDirective) -> bool:
        """Return whether the moved share must not change now: on hold, isolated, or changed too recently."""
        too_soon = now - self.share_changed_us < self.policy.step_interval_us
        return directive is SiteDirective.HOLD or signals.cut_off or too_soon

    def _step_evacuating(self, now: int, signals: SiteHealthSignals, directive: SiteDirective) -> None:
        if self._is_recalled(signals, directive):
            self._return_by_command(now)
            return
        if self._must_wait(now, signals, directive):
            return
        self.share_changed_us = now
        if signals.pressure > PAUSE_PRESSURE and self.moved_share > 0:
            self.reason = f"paused: {signals.pressure:.0%} late or rejected where its objects are served"
            return
        self.moved_share = min(1.0, self.moved_share + 1 / self.policy.evacuation_steps)
        if self.moved_share >= 1.0 - SHARE_TOLERANCE:
            self._transition(SitePhase.EVACUATED, now, self.reason)

    def _step_evacuated(self, now: int, signals: SiteHealthSignals, directive: SiteDirective) -> None:
        if self._is_recalled(signals, directive):
            self._return_by_command(now)
            return
        stays = directive in (SiteDirective.HOLD, SiteDirective.EVACUATE)
        if stays or signals.cut_off or self._is_unlisted(signals):
            return
        # If the sites that serve its objects lack capacity, every answering cache adds some: return early.
        lacks_capacity = signals.pressure > RESUME_PRESSURE and not self.flaps
        hold_us = self.policy.confirm_us if lacks_capacity else self.hold_us
        healthy_us = now - max(signals.healthy_since_us, self.phase_started_us)
        is_healthy = signals.healthy_since_us and healthy_us >= hold_us and not signals.unreachable
        if signals.listed_share >= MIN_LISTED_SHARE and is_healthy:
            self._transition(SitePhase.RETURNING, now, "its caches are listed and answer")

    # ---- returning -----------------------------------------------------------------------------------

    def _step_returning(self, now: int, signals: SiteHealthSignals, directive: SiteDirective) -> None:
        if directive is SiteDirective.EVACUATE:
            self._evacuate_by_command(now)
        elif self._is_unlisted(signals):
            self._transition(SitePhase.LOST, now, f"{NOT_LISTED} again")
        elif self._is_lost_again(now, signals, directive):
            self._transition(SitePhase.LOST, now, f"unreachable again: {signals.cause}")
        elif not self._must_wait(now, signals, directive):
            self._adapt_returned_share(now, signals)

    def _is_lost_again(self, now: int, signals: SiteHealthSignals, directive: SiteDirective) -> bool:
        if not signals.unreachable or signals.cut_off or directive is SiteDirective.RETURN:
            return False
        return now - signals.unreachable_since_us >= self._confirm_us(signals) // 2

    def _adapt_returned_share(self, now: int, signals: SiteHealthSignals) -> None:
        self.share_changed_us = now
        if signals.pressure > PAUSE_PRESSURE:
            self._step_back(now, signals)
        elif now >= self.hold_until_us and signals.pressure <= RESUME_PRESSURE:
            self._step_forward(now, signals)

    def _step_back(self, now: int, signals: SiteHealthSignals) -> None:
        if now >= self.hold_until_us:  # at most one step back in each hold time
            self.moved_share = min(1.0, self.moved_share + 1 / self.policy.return_steps)
            self.setbacks += 1
        doublings = min(MAX_SETBACK_DOUBLINGS, self.setbacks)
        self.hold_until_us = now + (self.policy.hold_us // 2 << doublings)
        self.reason = f"return stepped back: {signals.pressure:.0%} late or rejected at the site"

    def _step_forward(self, now: int, signals: SiteHealthSignals) -> None:
        """Return as much traffic as the site's caches can serve now.

        Cold caches receive little, and an incomplete set of caches never receives all of it."""
        is_complete = signals.capacity_share >= FULL_CAPACITY_SHARE
        is_warm = is_complete and signals.warm_share >= FULL_CAPACITY_SHARE
        servable_share = 1.0 if is_warm else signals.warm_share
        step = 1 / self.policy.return_steps
        lowest = max(1 - servable_share, self.moved_share - step, 0.0)
        self.moved_share = min(lowest, self.moved_share + step, 1.0)
        if self.moved_share <= SHARE_TOLERANCE:
            self._transition(SitePhase.STEADY, now, "all of its objects have returned")
        elif not is_complete and self.moved_share <= 1 - signals.capacity_share + SHARE_TOLERANCE:
            missing_share = 1 - signals.capacity_share
            self.reason = (
                f"returned with less capacity: {missing_share:.0%} of its objects stay at other sites"
            )
