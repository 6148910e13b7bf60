"""Model of the gossip between a few members, to be explored in all orders; the rules are the program's own.

The model has no time: a member that could suspect another may do so at any moment, and any two may exchange
states at any moment. From every reachable state, once faults are over, a fair exchange must bring all members
to the same membership, the true one. No I/O.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple

from ..fleet.member_state import LIVE, State, conclude, encode_state, is_trusted, refutation, state_of

States = tuple[int, ...]  # Encoded states as one member has them, by member number.
MAX_INCARNATION = 5  # Bounds the model: suspicions and refutations could alternate for ever.
MAX_ROUNDS = 24


class Fleet(NamedTuple):
    """All members, each with its states.

    Attributes:
        states: State of each member; None for a member that does not run.
        cut: Pairs of sender and receiver between which all datagrams are lost.
        faults: Number of faults that may still occur.
    """

    states: tuple[States | None, ...]
    cut: frozenset[tuple[int, int]]
    faults: int


def initial_state(members: int, faults: int) -> Fleet:
    """Return a fleet in which all members run and know each other as alive."""
    sent = tuple(encode_state(1, State.ALIVE) for _ in range(members))
    return Fleet((sent,) * members, frozenset(), faults)


def send_states(fleet: Fleet, sender: int, receiver: int) -> Fleet:
    """Return the fleet after one member has sent all its states to another."""
    sent, known = fleet.states[sender], fleet.states[receiver]
    assert sent is not None
    assert known is not None
    states = list(known)
    states[sender] = max(states[sender], sent[sender])
    trusted = is_trusted(state_of(states[sender]))
    for number, encoded in enumerate(sent):
        if number == receiver:
            refuted = refutation(states[receiver], encoded)
            states[receiver] = max(states[receiver], refuted if refuted is not None else 0)
        elif trusted:
            states[number] = max(states[number], encoded)
    return _with(fleet, receiver, tuple(states))


def _with(fleet: Fleet, number: int, states: States | None) -> Fleet:
    return fleet._replace(states=(*fleet.states[:number], states, *fleet.states[number + 1 :]))


def _running(fleet: Fleet) -> list[int]:
    return [number for number, states in enumerate(fleet.states) if states is not None]


def transitions(fleet: Fleet) -> Iterator[tuple[str, Fleet]]:
    """Yield each possible next event with the fleet after it."""
    running = _running(fleet)
    for member in running:
        for other in running:
            if member != other and (member, other) not in fleet.cut:
                yield f"{member} sends its states to {other}", send_states(fleet, member, other)
        yield from _suspicions(fleet, member)
    if not fleet.faults:
        return
    after_fault = fleet._replace(faults=fleet.faults - 1)
    for member in running:
        yield f"{member} dies", _with(after_fault, member, None)
        others = [other for other in range(len(fleet.states)) if other != member]
        yield (
            f"datagrams of {member} are lost",
            after_fault._replace(cut=fleet.cut | {(member, other) for other in others}),
        )
        yield (
            f"datagrams to {member} are lost",
            after_fault._replace(cut=fleet.cut | {(other, member) for other in others}),
        )
    for member, states in enumerate(fleet.states):
        if states is None:
            # Its clock was set back: the others have received its first state from an earlier start.
            initial = tuple(
                encode_state(1, State.ALIVE) if member == other else 0 for other in range(len(fleet.states))
            )
            yield f"{member} starts", _with(after_fault, member, initial)
    if fleet.cut:
        yield "the network is repaired", after_fault._replace(cut=frozenset())


def _suspicions(fleet: Fleet, member: int) -> Iterator[tuple[str, Fleet]]:
    states = fleet.states[member]
    assert states is not None
    for other, encoded in enumerate(states):
        if other == member or encoded >> 8 >= MAX_INCARNATION:
            continue
        state = state_of(encoded)
        unreachable = fleet.states[other] is None or (other, member) in fleet.cut
        if state in (State.ALIVE, State.UNKNOWN) and unreachable:
            suspected = (*states[:other], conclude(encoded, State.SUSPECT), *states[other + 1 :])
            yield f"{member} suspects {other}", _with(fleet, member, suspected)
        elif state is State.SUSPECT:
            declared_gone = (*states[:other], conclude(encoded, State.GONE), *states[other + 1 :])
            yield f"{member} counts {other} as gone", _with(fleet, member, declared_gone)


def settled(fleet: Fleet) -> Fleet:
    """Return the fleet after rounds without faults, in which all exchange states and suspect the dead."""
    fleet = fleet._replace(cut=frozenset(), faults=0)
    running = _running(fleet)
    for _ in range(MAX_ROUNDS):
        before = fleet
        for member in running:
            for other in running:
                if member != other:
                    fleet = send_states(fleet, member, other)
        for member in running:
            states = fleet.states[member]
            assert states is not None
            for other, encoded in enumerate(states):
                if fleet.states[other] is None and state_of(encoded) in (*LIVE, State.UNKNOWN):
                    after = State.GONE if state_of(encoded) is State.SUSPECT else State.SUSPECT
                    states = (*states[:other], conclude(encoded, after), *states[other + 1 :])
            fleet = _with(fleet, member, states)
        if fleet == before:
            break
    return fleet


def violation(fleet: Fleet) -> str | None:
    """Return which property a fleet, or the fleet it settles to, violates; None if none."""
    for number in _running(fleet):
        states = fleet.states[number]
        assert states is not None
        if state_of(states[number]) is not State.ALIVE:
            return f"member {number} runs, but its own state is not ALIVE"
    final = settled(fleet)
    memberships = {states for states in final.states if states is not None}
    if len(memberships) > 1:
        return f"memberships differ after settling: {sorted(memberships)}"
    for membership in memberships:
        for number, encoded in enumerate(membership):
            if (final.states[number] is not None) != (state_of(encoded) in LIVE):
                return f"member {number} is {state_of(encoded).name} for all, which is not true"
    return None
