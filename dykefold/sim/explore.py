"""Every order of events of a small model, breadth first. No I/O.

A model says which moves there are from a state and what is wrong with a state; states are values that can be
hashed. Where something is wrong, the shortest sequence of moves to it is told.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Hashable, Iterable
from dataclasses import dataclass, field
from typing import Generic, TypeVar

S = TypeVar("S", bound=Hashable)
STATES_MOST = 5_000_000  # some GB; a model that has more is not small


@dataclass(slots=True)
class Found(Generic[S]):
    """What a search has shown.

    Attributes:
        states: different ones that were reached.
        moves: taken from one to another: each order of events that the model tells apart.
        wrong: what is wrong with the first state that is; None if none is.
        path: the moves that lead there.
        whole: every state that can be reached was looked at.
    """

    states: int = 0
    moves: int = 0
    wrong: str | None = None
    path: list[str] = field(default_factory=list)
    whole: bool = False


def explore(
    first: S,
    moves: Callable[[S], Iterable[tuple[str, S]]],
    wrong: Callable[[S], str | None],
    states_most: int = STATES_MOST,
) -> Found[S]:
    """Look at every state that can be reached, until one is wrong."""
    found: Found[S] = Found()
    came: dict[S, tuple[S, str] | None] = {first: None}
    waiting = deque([first])
    while waiting:
        state = waiting.popleft()
        found.states += 1
        found.wrong = wrong(state)
        if found.wrong is not None:
            while (step := came[state]) is not None:
                state, label = step
                found.path.append(label)
            found.path.reverse()
            return found
        for label, following in moves(state):
            found.moves += 1
            if following not in came:
                if len(came) >= states_most:
                    return found
                came[following] = (state, label)
                waiting.append(following)
    found.whole = True
    return found
