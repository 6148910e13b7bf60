"""Records: merge in any order, expiry, and limited gossip."""

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
def test_records_merge_equally_in_any_order(given: list[Record], rng) -> None:
    store, other_store = RecordStore(9), RecordStore(9)
    for record in given:
        store.merge(NS_PER_S, record)
    shuffled_records = [*given, *given[:7]]
    rng.shuffle(shuffled_records)
    for record in shuffled_records:
        other_store.merge(NS_PER_S, record)
    # A real origin never uses a sequence number twice in a topic; skip drawn lists that do.
    subject_by_version = {(r.topic, r.origin, r.incarnation, r.sequence): r.subject for r in given}
    if len(subject_by_version) == len({(*key, r.subject) for r in given for key in [_version_key(r)]}):
        assert store.records == other_store.records
    for (topic, _), subjects in store.subjects.items():
        assert len(subjects) <= LIMITS[Topic(topic)].max_subjects


def _version_key(record: Record) -> tuple[int, int, int, int]:
    return record.topic, record.origin, record.incarnation, record.sequence


def test_records_beyond_max_subjects_are_dropped_equally_in_any_order() -> None:
    given = [Record(Topic.LIST_VERSION, 1, subject, 1, subject, 0, 0) for subject in range(4)]
    kept = []
    for order in permutations(given):
        store = RecordStore(9)
        for record in order:
            store.merge(NS_PER_S, record)
        kept.append(set(store.records))
    assert all(keys == next_keys == {(Topic.LIST_VERSION, 1, 3)} for keys, next_keys in pairwise(kept))


def test_expired_records_are_not_merged_and_are_removed() -> None:
    lifetime_ns = LIMITS[Topic.ENDPOINT_FAILED].lifetime_ns
    store = RecordStore(9)
    assert not store.merge(NS_PER_S, Record(Topic.ENDPOINT_FAILED, 1, 5, 1, 1, 0, lifetime_ns))
    assert not store.merge(NS_PER_S, Record(200, 1, 5, 1, 1, 0, 0))
    assert store.merge(NS_PER_S, Record(Topic.ENDPOINT_FAILED, 1, 5, 1, 1, 0, lifetime_ns // 2))
    assert [published_ns for _, published_ns in store.on_subject(NS_PER_S, Topic.ENDPOINT_FAILED, 5)] == [
        NS_PER_S - lifetime_ns // 2
    ]
    assert not list(store.on_subject(NS_PER_S, Topic.ENDPOINT_ANSWERED, 5))
    store.expire(NS_PER_S + lifetime_ns // 2)
    assert not store.records
    assert not store.subjects


def test_gossip_queue_returns_least_sent_items_first_and_limits_transmissions() -> None:
    queue: GossipQueue[str] = GossipQueue()
    queue.add("a")
    queue.add("b")
    assert queue.take(1, lambda _: 2) == ["b"]
    assert queue.take(5, lambda _: 2) == ["a", "b"]
    assert queue.take(5, lambda _: 2) == ["a"]
    assert not queue
