"""Encoded states of members, and their merge in any order."""

from __future__ import annotations

from random import Random

import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from dykefold.fleet.member_state import (
    CONCLUSIONS,
    MAX_INCARNATION,
    STATE_BITS,
    ZONE_BITS,
    MemberTable,
    State,
    conclude,
    encode_state,
    is_encoded_state,
    state_of,
)

states = st.builds(
    encode_state, st.integers(0, MAX_INCARNATION), st.sampled_from(State), st.none() | st.integers(0, 40)
)
numbers = st.integers(0, 99)


def test_only_listed_conclusions_are_accepted() -> None:
    for before in State:
        for after in State:
            if (before, after) in CONCLUSIONS:
                assert state_of(conclude(encode_state(7, before), after)) is after
                assert conclude(encode_state(7, before), after) > encode_state(7, before)
            else:
                with pytest.raises(ValueError, match="can't be concluded"):
                    conclude(encode_state(7, before), after)


@example([(50, encode_state(0, State.LEFT, 40))], Random(1))  # the next integer is not an encoded state
@given(st.lists(st.tuples(numbers, states), max_size=30), st.randoms(use_true_random=False))
def test_tables_merge_to_equal_digests_in_any_order(updates: list, rng) -> None:
    table, other_table = MemberTable(100), MemberTable(100)
    for number, encoded in updates:
        table.merge(number, encoded)
    shuffled_updates = [*updates, *updates[:5]]
    rng.shuffle(shuffled_updates)
    for number, encoded in shuffled_updates:
        other_table.merge(number, encoded)
    assert table.states == other_table.states
    assert table.digest(0, 100) == other_table.digest(0, 100) == digest_by_member(table)
    assert table.counts == [sum(state_of(encoded) is state for encoded in table.states) for state in State]
    newer = next_state(table.states[50])
    if newer is not None:
        assert other_table.merge(50, newer)
        assert table.digest(3, 97) != other_table.digest(3, 97)
        assert table.digest(51, 100) == other_table.digest(51, 100)


def next_state(encoded: int) -> int | None:
    """Return the least greater state; None after the greatest one."""
    unused = (2**STATE_BITS - len(State)) << ZONE_BITS  # unused status values before the next incarnation
    return next(filter(is_encoded_state, range(encoded + 1, encoded + unused + 2)), None)


def digest_by_member(table: MemberTable) -> int:
    total = 0
    for number in range(len(table)):
        total ^= table.digest(number, number + 1)
    return total
