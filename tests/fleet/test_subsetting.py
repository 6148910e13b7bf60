"""Which members use which endpoints of other zones."""

from __future__ import annotations

from collections import Counter

from hypothesis import given
from hypothesis import strategies as st

from dykefold.fleet.subsetting import (
    MAX_RANKED_PAIRS,
    MEMBERS_PER_ENDPOINT,
    EndpointRanking,
    PlacedMember,
    subset_fraction,
)

ZONES = 3


def afar(members: list[int], servers: int = 60) -> set[tuple[int, int]]:
    """Members with the servers of other zones that they sample."""
    live = [PlacedMember(member, member % ZONES) for member in members]
    least = subset_fraction(live)
    return {
        (member, server)
        for member, zone in live
        for server, rank in EndpointRanking(member).update(range(servers), zone, live).items()
        if rank < least and server % ZONES != zone
    }


def test_each_endpoint_is_used_by_enough_members_of_other_zones() -> None:
    known = Counter(server for _, server in afar(list(range(42))))
    assert sorted(known) == list(range(60))
    assert min(known.values()) >= MEMBERS_PER_ENDPOINT
    assert max(known.values()) <= MEMBERS_PER_ENDPOINT + ZONES


def test_a_member_that_goes_moves_only_its_own_subset() -> None:
    everyone = list(range(42))
    before, after = afar(everyone), afar([member for member in everyone if member != 7])
    its = {pair for pair in before if pair[0] == 7}
    assert not before - after - its  # all others keep theirs
    assert len(after - before) <= 2 * len(its) + ZONES


@given(st.lists(st.tuples(st.sets(st.integers(0, 9)), st.sets(st.integers(0, 12))), max_size=6))
def test_incrementally_updated_ranks_equal_recomputed_ranks(steps: list[tuple[set[int], set[int]]]) -> None:
    kept = EndpointRanking(3)
    for servers, members in steps:
        live = [PlacedMember(member, member % 2) for member in members]
        assert kept.update(sorted(servers), 1, live) == EndpointRanking(3).update(sorted(servers), 1, live)


def test_too_many_pairs_are_not_ranked() -> None:
    live = [PlacedMember(member, 0) for member in range(MAX_RANKED_PAIRS)]
    assert EndpointRanking(0).update([1, 2], 0, live) == {}
    assert EndpointRanking(0).update([1], 1, [PlacedMember(0, None)]) == {}  # nobody of the own zone is known
