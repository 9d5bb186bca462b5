"""The transition check shared by both state machines of a connection, follower and subscriber."""

from __future__ import annotations

from collections.abc import Mapping, Set
from enum import Enum
from typing import TypeVar

from onyxwick.distribution.model import IllegalTransitionError

State = TypeVar("State", bound=Enum)


def check_transition(transitions: Mapping[State, Set[State]], current: State, target: State) -> None:
    """Raise IllegalTransitionError if `transitions` does not have the transition."""
    if target not in transitions[current]:
        raise IllegalTransitionError(f"illegal transition from {current.value} to {target.value}")
