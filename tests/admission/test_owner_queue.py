"""`OwnerQueue` against a naive search: order by time and by owner, under random adds and discards."""

from dataclasses import dataclass

from hypothesis import given, settings
from hypothesis import strategies as st

from dykefold.admission.owner_queue import OwnerQueue


@dataclass(eq=False)
class Item:
    owner: int


def largest_owners(queued):
    """Return the owners with the most of the queued items."""
    counts = {}
    for item in queued:
        counts[item.owner] = counts.get(item.owner, 0) + 1
    max_count = max(counts.values())
    return {owner for owner, count in counts.items() if count == max_count}


@settings(max_examples=200, derandomize=True)
@given(st.lists(st.tuples(st.booleans(), st.integers(0, 4), st.integers(0, 30)), max_size=80))
def test_queue_operations_match_naive_search(steps):
    queue, queued = OwnerQueue(), []
    for now_s, (is_add, owner, index) in enumerate(steps):
        if is_add or not queued:
            queued.append(Item(owner))
            queue.add(queued[-1], float(now_s))
        else:
            item = queued.pop(index % len(queued))
            assert queue.discard(item)
            assert not queue.discard(item)
        assert len(queue) == len(queued)
        assert list(queue.added_at_s) == queued
        assert queue.oldest() is (queued[0] if queued else None)
        oldest, youngest = queue.oldest_of_largest_owner(), queue.youngest_of_largest_owner()
        if not queued:
            assert oldest is youngest is None
            continue
        assert oldest.owner in largest_owners(queued)
        assert youngest.owner == oldest.owner
        owner_items = [item for item in queued if item.owner == oldest.owner]
        assert (oldest, youngest) == (owner_items[0], owner_items[-1])
        assert list(queue.added_until(now_s / 2)) == [
            item for item in queued if queue.added_at_s[item] <= now_s / 2
        ]


def test_discarded_items_leave_no_index_entries():
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
