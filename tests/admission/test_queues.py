"""The queue against a naive one: orders by time and by owner, whatever comes and goes."""

from dataclasses import dataclass

from hypothesis import given, settings
from hypothesis import strategies as st

from dykefold.admission.queues import Queue


@dataclass(eq=False)
class Thing:
    owner: int


def greediest(alive):
    """The owners that have most, of those alive."""
    counts = {}
    for thing in alive:
        counts[thing.owner] = counts.get(thing.owner, 0) + 1
    most = max(counts.values())
    return {owner for owner, count in counts.items() if count == most}


@settings(max_examples=200, derandomize=True)
@given(st.lists(st.tuples(st.booleans(), st.integers(0, 4), st.integers(0, 30)), max_size=80))
def test_it_is_what_a_naive_search_finds(steps):
    queue, alive = Queue(), []
    for now, (adds, owner, place) in enumerate(steps):
        if adds or not alive:
            alive.append(Thing(owner))
            queue.add(alive[-1], float(now))
        else:
            thing = alive.pop(place % len(alive))
            assert queue.discard(thing) and not queue.discard(thing)
        assert len(queue) == len(alive) and list(queue.since) == alive
        assert queue.oldest() is (alive[0] if alive else None)
        oldest, youngest = queue.greediest_oldest(), queue.greediest_youngest()
        if not alive:
            assert oldest is youngest is None
            continue
        assert oldest.owner in greediest(alive) and youngest.owner == oldest.owner
        own = [thing for thing in alive if thing.owner == oldest.owner]
        assert (oldest, youngest) == (own[0], own[-1])
        assert list(queue.until(now / 2)) == [thing for thing in alive if queue.since[thing] <= now / 2]


def test_nothing_is_left_of_what_is_gone():
    queue = Queue()
    things = [Thing(number % 7) for number in range(1000)]
    for thing in things:
        queue.add(thing, 0.0)
    for thing in things:
        queue.discard(thing)
    assert not queue._owned and not queue._levels and not queue.since
