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


def sampled_pairs(members: list[int], endpoint_count: int = 60) -> set[tuple[int, int]]:
    """Return pairs of a member and an endpoint of another zone that the member samples."""
    live_members = [PlacedMember(member, member % ZONES) for member in members]
    max_rank = subset_fraction(live_members)
    return {
        (member, endpoint)
        for member, zone in live_members
        for endpoint, rank in EndpointRanking(member)
        .update(range(endpoint_count), zone, live_members)
        .items()
        if rank < max_rank and endpoint % ZONES != zone
    }


def test_each_endpoint_is_used_by_enough_members_of_other_zones() -> None:
    members_by_endpoint = Counter(endpoint for _, endpoint in sampled_pairs(list(range(42))))
    assert sorted(members_by_endpoint) == list(range(60))
    assert min(members_by_endpoint.values()) >= MEMBERS_PER_ENDPOINT
    assert max(members_by_endpoint.values()) <= MEMBERS_PER_ENDPOINT + ZONES


def test_removed_member_changes_only_its_own_subset() -> None:
    all_members = list(range(42))
    before, after = (
        sampled_pairs(all_members),
        sampled_pairs([member for member in all_members if member != 7]),
    )
    removed_pairs = {pair for pair in before if pair[0] == 7}
    assert not before - after - removed_pairs  # the other members keep their subsets
    assert len(after - before) <= 2 * len(removed_pairs) + ZONES


@given(st.lists(st.tuples(st.sets(st.integers(0, 9)), st.sets(st.integers(0, 12))), max_size=6))
def test_incrementally_updated_ranks_equal_recomputed_ranks(steps: list[tuple[set[int], set[int]]]) -> None:
    ranking = EndpointRanking(3)
    for endpoints, members in steps:
        live_members = [PlacedMember(member, member % 2) for member in members]
        assert ranking.update(sorted(endpoints), 1, live_members) == EndpointRanking(3).update(
            sorted(endpoints), 1, live_members
        )


def test_too_many_pairs_are_not_ranked() -> None:
    live_members = [PlacedMember(member, 0) for member in range(MAX_RANKED_PAIRS)]
    assert EndpointRanking(0).update([1, 2], 0, live_members) == {}
    assert EndpointRanking(0).update([1], 1, [PlacedMember(0, None)]) == {}  # no member of the zone is known
