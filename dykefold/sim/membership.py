"""Words between a few members, in every order: a small model on the view's own table and rules. No I/O.

Time is left out: whoever could doubt a member may do so at any moment, and any two may exchange words at any
moment. From every state that can be reached, faults over, a fair exchange must bring all to one view, the
true one.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple

from ..fleet.member_state import LIVE, State, conclude, encode_state, is_trusted, refutation, state_of

Words = tuple[int, ...]  # of one member, by the number of whom they are about
INCARNATION_MOST = 5  # a model that goes on doubting and denying would have no end
ROUNDS = 24


class Fleet(NamedTuple):
    """All members. `cut` has the pairs between which nothing passes that way."""

    words: tuple[Words | None, ...]  # None: it does not run
    cut: frozenset[tuple[int, int]]
    faults: int  # that may still come


def first(members: int, faults: int) -> Fleet:
    """All run and know one another."""
    told = tuple(encode_state(1, State.ALIVE) for _ in range(members))
    return Fleet((told,) * members, frozenset(), faults)


def tell(fleet: Fleet, one: int, other: int) -> Fleet:
    """All words of one reach another."""
    told, known = fleet.words[one], fleet.words[other]
    assert told is not None and known is not None
    words = list(known)
    words[one] = max(words[one], told[one])
    trusted = is_trusted(state_of(words[one]))
    for number, said in enumerate(told):
        if number == other:
            denied = refutation(words[other], said)
            words[other] = max(words[other], denied if denied is not None else 0)
        elif trusted:
            words[number] = max(words[number], said)
    return _with(fleet, other, tuple(words))


def _with(fleet: Fleet, number: int, words: Words | None) -> Fleet:
    return fleet._replace(words=(*fleet.words[:number], words, *fleet.words[number + 1 :]))


def _running(fleet: Fleet) -> list[int]:
    return [number for number, words in enumerate(fleet.words) if words is not None]


def moves(fleet: Fleet) -> Iterator[tuple[str, Fleet]]:
    """What may happen next."""
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
        others = [other for other in range(len(fleet.words)) if other != one]
        yield f"{one} is not heard", left._replace(cut=fleet.cut | {(one, other) for other in others})
        yield f"{one} hears nobody", left._replace(cut=fleet.cut | {(other, one) for other in others})
    for one, words in enumerate(fleet.words):
        if words is None:
            # Its clock is set back: the word that it begins with is one that the others have heard before.
            fresh = tuple(
                encode_state(1, State.ALIVE) if one == other else 0 for other in range(len(fleet.words))
            )
            yield f"{one} starts", _with(left, one, fresh)
    if fleet.cut:
        yield "the ways are whole", left._replace(cut=frozenset())


def _doubts(fleet: Fleet, one: int) -> Iterator[tuple[str, Fleet]]:
    words = fleet.words[one]
    assert words is not None
    for other, said in enumerate(words):
        if other == one or said >> 8 >= INCARNATION_MOST:
            continue
        state = state_of(said)
        unheard = fleet.words[other] is None or (other, one) in fleet.cut
        if state in (State.ALIVE, State.UNKNOWN) and unheard:
            doubted = (*words[:other], conclude(said, State.SUSPECT), *words[other + 1 :])
            yield f"{one} doubts {other}", _with(fleet, one, doubted)
        elif state is State.SUSPECT:
            buried = (*words[:other], conclude(said, State.GONE), *words[other + 1 :])
            yield f"{one} counts {other} as gone", _with(fleet, one, buried)


def settled(fleet: Fleet) -> Fleet:
    """The faults are over, and all that run exchange words and doubt those that don't, round after round."""
    fleet = fleet._replace(cut=frozenset(), faults=0)
    running = _running(fleet)
    for _ in range(ROUNDS):
        before = fleet
        for one in running:
            for other in running:
                if one != other:
                    fleet = tell(fleet, one, other)
        for one in running:
            words = fleet.words[one]
            assert words is not None
            for other, said in enumerate(words):
                if fleet.words[other] is None and state_of(said) in (*LIVE, State.UNKNOWN):
                    after = State.GONE if state_of(said) is State.SUSPECT else State.SUSPECT
                    words = (*words[:other], conclude(said, after), *words[other + 1 :])
            fleet = _with(fleet, one, words)
        if fleet == before:
            break
    return fleet


def wrong(fleet: Fleet) -> str | None:
    """What does not hold of a state, or of what it settles to."""
    for number in _running(fleet):
        words = fleet.words[number]
        assert words is not None
        if state_of(words[number]) is not State.ALIVE:
            return f"{number} runs and does not say so"
    end = settled(fleet)
    views = {words for words in end.words if words is not None}
    if len(views) > 1:
        return f"views stay apart: {sorted(views)}"
    for view in views:
        for number, said in enumerate(view):
            if (end.words[number] is not None) != (state_of(said) in LIVE):
                return f"{number} is {state_of(said).name} for all"
    return None
