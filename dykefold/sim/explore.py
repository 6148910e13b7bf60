"""Every order of events of a small model, breadth first. No I/O.

A model says which transitions lead out of a state and which rule a state violates; states are hashable
values. For a violation, the shortest sequence of transitions to it is returned.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Hashable, Iterable
from dataclasses import dataclass, field
from typing import Generic, TypeVar

ModelState = TypeVar("ModelState", bound=Hashable)
MAX_STATES = 5_000_000  # These take some GB.


@dataclass(slots=True)
class Found(Generic[ModelState]):
    """The result of a search.

    Attributes:
        states: Number of different states that were reached.
        transitions: Number of transitions between states.
        violation: Rule that the first wrong state violates; None if there is none.
        path: Transitions that lead to it.
        complete: Whether every reachable state was checked.
    """

    states: int = 0
    transitions: int = 0
    violation: str | None = None
    path: list[str] = field(default_factory=list)
    complete: bool = False


def explore(
    initial_state: ModelState,
    transitions: Callable[[ModelState], Iterable[tuple[str, ModelState]]],
    violation: Callable[[ModelState], str | None],
    max_states: int = MAX_STATES,
) -> Found[ModelState]:
    """Look at every state that can be reached, until one is wrong.

    Args:
        initial_state: Initial state of the model.
        transitions: Yields the transitions that are possible in a state, with the states that they lead to.
        violation: Returns the rule that a state violates; None if there is none.
        max_states: Number of states after which the search stops.
    """
    found: Found[ModelState] = Found()
    reached_by: dict[ModelState, tuple[ModelState, str] | None] = {initial_state: None}
    waiting = deque([initial_state])
    while waiting:
        state = waiting.popleft()
        found.states += 1
        found.violation = violation(state)
        if found.violation is not None:
            while (step := reached_by[state]) is not None:
                state, label = step
                found.path.append(label)
            found.path.reverse()
            return found
        for label, following in transitions(state):
            found.transitions += 1
            if following not in reached_by:
                if len(reached_by) >= max_states:
                    return found
                reached_by[following] = (state, label)
                waiting.append(following)
    found.complete = True
    return found
