"""The check that both state machines of a connection, follower and subscriber, make at each transition."""

from __future__ import annotations

from collections.abc import Mapping, Set
from enum import Enum
from typing import TypeVar

from onyxwick.distribution.model import IllegalTransitionError

State = TypeVar("State", bound=Enum)


def check_transition(transitions: Mapping[State, Set[State]], current: State, wanted: State) -> None:
    """IllegalTransitionError where the table does not have the transition."""
    if wanted not in transitions[current]:
        raise IllegalTransitionError(f"from {current.value} to {wanted.value}")
