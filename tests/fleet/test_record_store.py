"""Records merge in any order, age, and are gossiped a limited number of times."""

from __future__ import annotations

from itertools import pairwise, permutations

from hypothesis import given
from hypothesis import strategies as st

from dykefold.fleet.datagrams import (
    Record,
)
from dykefold.fleet.gossip_queue import GossipQueue
from dykefold.fleet.rate_limits import NS_PER_S
from dykefold.fleet.record_store import LIMITS, RecordStore, Topic

records = st.builds(
    Record,
    topic=st.sampled_from(Topic).map(int),
    origin=st.integers(0, 3),
    subject=st.integers(0, 12),
    incarnation=st.integers(1, 3),
    sequence=st.integers(1, 9),
    value=st.just(1),
    age_ns=st.just(0),
)


@given(st.lists(records, max_size=40), st.randoms(use_true_random=False))
def test_records_merge_the_same_in_any_order(given: list[Record], chance) -> None:
    one, other = RecordStore(9), RecordStore(9)
    for record in given:
        one.merge(NS_PER_S, record)
    again = [*given, *given[:7]]
    chance.shuffle(again)
    for record in again:
        other.merge(NS_PER_S, record)
    # Two records of one origin under one number differ in nothing; the drawn ones may.
    numbered = {(r.topic, r.origin, r.incarnation, r.sequence): r.subject for r in given}
    if len(numbered) == len({(*key, r.subject) for r in given for key in [_version_key(r)]}):
        assert one.records == other.records
    for (kind, _), subjects in one.subjects.items():
        assert len(subjects) <= LIMITS[Topic(kind)].max_subjects


def _version_key(record: Record) -> tuple[int, int, int, int]:
    return record.topic, record.origin, record.incarnation, record.sequence


def test_all_orders_of_more_records_than_the_limit_agree() -> None:
    given = [Record(Topic.LIST_VERSION, 1, subject, 1, subject, 0, 0) for subject in range(4)]
    kept = []
    for order in permutations(given):
        store = RecordStore(9)
        for record in order:
            store.merge(NS_PER_S, record)
        kept.append(set(store.records))
    assert all(one == other == {(Topic.LIST_VERSION, 1, 3)} for one, other in pairwise(kept))


def test_expired_records_are_neither_merged_nor_stored() -> None:
    lasts = LIMITS[Topic.ENDPOINT_FAILED].lifetime_ns
    store = RecordStore(9)
    assert not store.merge(NS_PER_S, Record(Topic.ENDPOINT_FAILED, 1, 5, 1, 1, 0, lasts))
    assert not store.merge(NS_PER_S, Record(200, 1, 5, 1, 1, 0, 0))
    assert store.merge(NS_PER_S, Record(Topic.ENDPOINT_FAILED, 1, 5, 1, 1, 0, lasts // 2))
    assert [published_ns for _, published_ns in store.on_subject(NS_PER_S, Topic.ENDPOINT_FAILED, 5)] == [
        NS_PER_S - lasts // 2
    ]
    assert not list(store.on_subject(NS_PER_S, Topic.ENDPOINT_ANSWERED, 5))
    store.expire(NS_PER_S + lasts // 2)
    assert not store.records
    assert not store.subjects


def test_gossip_sends_rarely_sent_items_first_and_each_a_limited_number_of_times() -> None:
    queue: GossipQueue[str] = GossipQueue()
    queue.add("a")
    queue.add("b")
    assert queue.take(1, lambda _: 2) == ["b"]
    assert queue.take(5, lambda _: 2) == ["a", "b"]
    assert queue.take(5, lambda _: 2) == ["a"]
    assert not queue
