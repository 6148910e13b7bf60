"""Every order of events of a small model, breadth first. No I/O.

A model says which moves there are from a state and what is wrong with a state; states are values that can be
hashed. Where something is wrong, the shortest sequence of moves to it is returned.
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
        moves: Number of moves between states.
        wrong: Problem of the first wrong state; None if there is none.
        path: Moves that lead to it.
        whole: Whether every reachable state was checked.
    """

    states: int = 0
    moves: int = 0
    wrong: str | None = None
    path: list[str] = field(default_factory=list)
    whole: bool = False


def explore(
    first: ModelState,
    moves: Callable[[ModelState], Iterable[tuple[str, ModelState]]],
    wrong: Callable[[ModelState], str | None],
    max_states: int = MAX_STATES,
) -> Found[ModelState]:
    """Look at every state that can be reached, until one is wrong.

    Args:
        first: Initial state of the model.
        moves: Yields the moves that are possible in a state, with the states that they lead to.
        wrong: Returns the problem of a state; None if there is none.
        max_states: Number of states after which the search stops.
    """
    found: Found[ModelState] = Found()
    reached_by: dict[ModelState, tuple[ModelState, str] | None] = {first: None}
    waiting = deque([first])
    while waiting:
        state = waiting.popleft()
        found.states += 1
        found.wrong = wrong(state)
        if found.wrong is not None:
            while (step := reached_by[state]) is not None:
                state, label = step
                found.path.append(label)
            found.path.reverse()
            return found
        for label, following in moves(state):
            found.moves += 1
            if following not in reached_by:
                if len(reached_by) >= max_states:
                    return found
                reached_by[following] = (state, label)
                waiting.append(following)
    found.whole = True
    return found
