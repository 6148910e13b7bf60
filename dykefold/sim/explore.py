"""Breadth-first model checker for small models: checks every reachable order of events. No I/O.

A model defines the transitions out of a state and the rule that a state violates; states are hashable
values. For a violation, the search returns the shortest sequence of transitions to it.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Hashable, Iterable
from dataclasses import dataclass, field
from typing import Generic, TypeVar

ModelState = TypeVar("ModelState", bound=Hashable)
MAX_STATES = 5_000_000  # This number takes some GB of memory.


@dataclass(slots=True)
class SearchResult(Generic[ModelState]):
    """The result of a search.

    Attributes:
        states: Number of distinct states that were checked.
        transitions: Number of transitions between states.
        violation: Rule that the first invalid state violates; None if there is none.
        path: Labels of the transitions to that state.
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
) -> SearchResult[ModelState]:
    """Check every reachable state until one violates a rule.

    Args:
        initial_state: Initial state of the model.
        transitions: Yields the transitions that are possible in a state, with the states that they lead to.
        violation: Returns the rule that a state violates; None if there is none.
        max_states: Number of states after which the search stops.
    """
    result: SearchResult[ModelState] = SearchResult()
    reached_by: dict[ModelState, tuple[ModelState, str] | None] = {initial_state: None}
    queue = deque([initial_state])
    while queue:
        state = queue.popleft()
        result.states += 1
        result.violation = violation(state)
        if result.violation is not None:
            while (step := reached_by[state]) is not None:
                state, label = step
                result.path.append(label)
            result.path.reverse()
            return result
        for label, next_state in transitions(state):
            result.transitions += 1
            if next_state not in reached_by:
                if len(reached_by) >= max_states:
                    return result
                reached_by[next_state] = (state, label)
                queue.append(next_state)
    result.complete = True
    return result
