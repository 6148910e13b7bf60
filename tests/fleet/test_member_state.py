"""States of members and their table, in whatever order they come."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from dykefold.fleet.member_state import (
    CONCLUSIONS,
    MAX_INCARNATION,
    MemberTable,
    State,
    conclude,
    encode_state,
    state_of,
)

states = st.builds(
    encode_state, st.integers(0, MAX_INCARNATION), st.sampled_from(State), st.none() | st.integers(0, 40)
)


numbers = st.integers(0, 99)


def test_only_listed_conclusions_are_allowed() -> None:
    for before in State:
        for after in State:
            if (before, after) in CONCLUSIONS:
                assert state_of(conclude(encode_state(7, before), after)) is after
                assert conclude(encode_state(7, before), after) > encode_state(7, before)
            else:
                with pytest.raises(ValueError, match="can't be concluded"):
                    conclude(encode_state(7, before), after)


@given(st.lists(st.tuples(numbers, states), max_size=30), st.randoms(use_true_random=False))
def test_tables_merge_to_equal_digests_in_any_order(given: list, chance) -> None:
    one, other = MemberTable(100), MemberTable(100)
    for number, said in given:
        one.merge(number, said)
    again = [*given, *given[:5]]
    chance.shuffle(again)
    for number, said in again:
        other.merge(number, said)
    assert one.states == other.states
    assert one.digest(0, 100) == other.digest(0, 100) == digest_by_member(one)
    assert one.counts == [sum(state_of(said) is state for said in one.states) for state in State]
    if other.merge(50, one.states[50] + 1):
        assert one.digest(3, 97) != other.digest(3, 97)
        assert one.digest(51, 100) == other.digest(51, 100)


def digest_by_member(table: MemberTable) -> int:
    total = 0
    for number in range(len(table)):
        total ^= table.digest(number, number + 1)
    return total
