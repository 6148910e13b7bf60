"""Gossip between a few members, in every order: a small model on the membership's own rules. No I/O.

Time is left out: whoever could doubt a member may do so at any moment, and any two may exchange states at any
moment. From every state that can be reached, faults over, a fair exchange must bring all to one membership,
the true one.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple

from ..fleet.member_state import LIVE, State, conclude, encode_state, is_trusted, refutation, state_of

States = tuple[int, ...]  # as one member has them encoded, by the number of whom they are of
MAX_INCARNATION = 5  # Without it suspicions and refutations would make the model infinite.
MAX_ROUNDS = 24


class Fleet(NamedTuple):
    """All members, each with its states.

    Attributes:
        states: State of each member; None for a member that does not run.
        cut: Pairs of sender and receiver between which nothing passes.
        faults: Number of faults that may still occur.
    """

    states: tuple[States | None, ...]
    cut: frozenset[tuple[int, int]]
    faults: int


def initial_state(members: int, faults: int) -> Fleet:
    """Return a fleet in which all run and know one another."""
    sent = tuple(encode_state(1, State.ALIVE) for _ in range(members))
    return Fleet((sent,) * members, frozenset(), faults)


def tell(fleet: Fleet, one: int, other: int) -> Fleet:
    """Return the fleet after one member has sent all its states to another."""
    sent, known = fleet.states[one], fleet.states[other]
    assert sent is not None
    assert known is not None
    states = list(known)
    states[one] = max(states[one], sent[one])
    trusted = is_trusted(state_of(states[one]))
    for number, encoded in enumerate(sent):
        if number == other:
            denied = refutation(states[other], encoded)
            states[other] = max(states[other], denied if denied is not None else 0)
        elif trusted:
            states[number] = max(states[number], encoded)
    return _with(fleet, other, tuple(states))


def _with(fleet: Fleet, number: int, states: States | None) -> Fleet:
    return fleet._replace(states=(*fleet.states[:number], states, *fleet.states[number + 1 :]))


def _running(fleet: Fleet) -> list[int]:
    return [number for number, states in enumerate(fleet.states) if states is not None]


def transitions(fleet: Fleet) -> Iterator[tuple[str, Fleet]]:
    """Yield what may happen next."""
    running = _running(fleet)
    for one in running:
        for other in running:
            if one != other and (one, other) not in fleet.cut:
                yield f"{one} tells {other}", tell(fleet, one, other)
        yield from _doubts(fleet, one)
    if not fleet.faults:
        return
    left = fleet._replace(faults=fleet.faults - 1)
    for one in running:
        yield f"{one} dies", _with(left, one, None)
        others = [other for other in range(len(fleet.states)) if other != one]
        yield f"{one} is not heard", left._replace(cut=fleet.cut | {(one, other) for other in others})
        yield f"{one} hears nobody", left._replace(cut=fleet.cut | {(other, one) for other in others})
    for one, states in enumerate(fleet.states):
        if states is None:
            # Its clock is set back: the state that it begins with is one that the others have heard before.
            fresh = tuple(
                encode_state(1, State.ALIVE) if one == other else 0 for other in range(len(fleet.states))
            )
            yield f"{one} starts", _with(left, one, fresh)
    if fleet.cut:
        yield "the ways are whole", left._replace(cut=frozenset())


def _doubts(fleet: Fleet, one: int) -> Iterator[tuple[str, Fleet]]:
    states = fleet.states[one]
    assert states is not None
    for other, encoded in enumerate(states):
        if other == one or encoded >> 8 >= MAX_INCARNATION:
            continue
        state = state_of(encoded)
        unheard = fleet.states[other] is None or (other, one) in fleet.cut
        if state in (State.ALIVE, State.UNKNOWN) and unheard:
            doubted = (*states[:other], conclude(encoded, State.SUSPECT), *states[other + 1 :])
            yield f"{one} doubts {other}", _with(fleet, one, doubted)
        elif state is State.SUSPECT:
            buried = (*states[:other], conclude(encoded, State.GONE), *states[other + 1 :])
            yield f"{one} counts {other} as gone", _with(fleet, one, buried)


def settled(fleet: Fleet) -> Fleet:
    """Return the fleet after rounds without faults: all exchange states and doubt who does not run."""
    fleet = fleet._replace(cut=frozenset(), faults=0)
    running = _running(fleet)
    for _ in range(MAX_ROUNDS):
        before = fleet
        for one in running:
            for other in running:
                if one != other:
                    fleet = tell(fleet, one, other)
        for one in running:
            states = fleet.states[one]
            assert states is not None
            for other, encoded in enumerate(states):
                if fleet.states[other] is None and state_of(encoded) in (*LIVE, State.UNKNOWN):
                    after = State.GONE if state_of(encoded) is State.SUSPECT else State.SUSPECT
                    states = (*states[:other], conclude(encoded, after), *states[other + 1 :])
            fleet = _with(fleet, one, states)
        if fleet == before:
            break
    return fleet


def violation(fleet: Fleet) -> str | None:
    """Return what does not hold of a state, or of what it settles to; None if all does."""
    for number in _running(fleet):
        states = fleet.states[number]
        assert states is not None
        if state_of(states[number]) is not State.ALIVE:
            return f"{number} runs and does not say so"
    end = settled(fleet)
    memberships = {states for states in end.states if states is not None}
    if len(memberships) > 1:
        return f"views stay apart: {sorted(memberships)}"
    for membership in memberships:
        for number, encoded in enumerate(membership):
            if (end.states[number] is not None) != (state_of(encoded) in LIVE):
                return f"{number} is {state_of(encoded).name} for all"
    return None
