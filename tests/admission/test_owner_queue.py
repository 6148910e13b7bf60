"""The queue against a naive one: orders by time and by owner, whatever comes and goes."""

from dataclasses import dataclass

from hypothesis import given, settings
from hypothesis import strategies as st

from dykefold.admission.owner_queue import OwnerQueue


@dataclass(eq=False)
class Item:
    owner: int


def largest_owners(alive):
    """The owners that have most, of those alive."""
    counts = {}
    for item in alive:
        counts[item.owner] = counts.get(item.owner, 0) + 1
    highest = max(counts.values())
    return {owner for owner, count in counts.items() if count == highest}


@settings(max_examples=200, derandomize=True)
@given(st.lists(st.tuples(st.booleans(), st.integers(0, 4), st.integers(0, 30)), max_size=80))
def test_the_queue_finds_what_a_naive_search_finds(steps):
    queue, alive = OwnerQueue(), []
    for now, (adds, owner, place) in enumerate(steps):
        if adds or not alive:
            alive.append(Item(owner))
            queue.add(alive[-1], float(now))
        else:
            item = alive.pop(place % len(alive))
            assert queue.discard(item)
            assert not queue.discard(item)
        assert len(queue) == len(alive)
        assert list(queue.added_at_s) == alive
        assert queue.oldest() is (alive[0] if alive else None)
        oldest, youngest = queue.oldest_of_largest_owner(), queue.youngest_of_largest_owner()
        if not alive:
            assert oldest is youngest is None
            continue
        assert oldest.owner in largest_owners(alive)
        assert youngest.owner == oldest.owner
        own = [item for item in alive if item.owner == oldest.owner]
        assert (oldest, youngest) == (own[0], own[-1])
        assert list(queue.added_until(now / 2)) == [
            item for item in alive if queue.added_at_s[item] <= now / 2
        ]


def test_nothing_is_left_of_discarded_items():
    queue = OwnerQueue()
    items = [Item(number % 7) for number in range(1000)]
    for item in items:
        queue.add(item, 0.0)
    for item in items:
        queue.discard(item)
    assert not queue._by_owner
    assert not queue._owners_by_count
    assert not queue._not_indexed
    assert not queue.added_at_s
