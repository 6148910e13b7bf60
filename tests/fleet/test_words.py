"""Words, their table, datagrams, records: whatever comes in whatever order."""

from __future__ import annotations

from itertools import pairwise, permutations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from dykefold.fleet import datagrams
from dykefold.fleet.datagrams import (
    MAX_BYTES,
    MAX_DIGESTS,
    MAX_ENTRIES,
    Datagram,
    DigestRange,
    Kind,
    Record,
    fleet_checksum,
)
from dykefold.fleet.gossip_queue import GossipQueue
from dykefold.fleet.member_state import (
    CONCLUSIONS,
    MAX_INCARNATION,
    MemberTable,
    State,
    conclude,
    encode_state,
    state_of,
)
from dykefold.fleet.rate_limits import SECOND, TokenBucket
from dykefold.fleet.record_store import LIMITS, RecordStore, Topic

words = st.builds(
    encode_state, st.integers(0, MAX_INCARNATION), st.sampled_from(State), st.none() | st.integers(0, 40)
)
numbers = st.integers(0, 99)


def test_only_what_the_table_says_may_be_concluded() -> None:
    for before in State:
        for after in State:
            if (before, after) in CONCLUSIONS:
                assert state_of(conclude(encode_state(7, before), after)) is after
                assert conclude(encode_state(7, before), after) > encode_state(7, before)
            else:
                with pytest.raises(ValueError, match="can't be concluded"):
                    conclude(encode_state(7, before), after)


@given(st.lists(st.tuples(numbers, words), max_size=30), st.randoms(use_true_random=False))
def test_tables_agree_whatever_the_order_and_their_sums_say_so(told: list, chance) -> None:
    one, other = MemberTable(100), MemberTable(100)
    for number, said in told:
        one.merge(number, said)
    again = [*told, *told[:5]]
    chance.shuffle(again)
    for number, said in again:
        other.merge(number, said)
    assert one.states == other.states
    assert one.digest(0, 100) == other.digest(0, 100) == sum_slowly(one)
    assert one.counts == [sum(state_of(said) is state for said in one.states) for state in State]
    if other.merge(50, one.states[50] + 1):
        assert one.digest(3, 97) != other.digest(3, 97)
        assert one.digest(51, 100) == other.digest(51, 100)


def sum_slowly(table: MemberTable) -> int:
    total = 0
    for number in range(len(table)):
        total ^= table.digest(number, number + 1)
    return total


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


@given(st.data())
def test_datagrams_are_read_as_they_were_written(data) -> None:
    kind = data.draw(st.sampled_from([kind for kind in Kind if kind is not Kind.DIGESTS]))
    entries = data.draw(st.lists(st.tuples(numbers, words), max_size=MAX_ENTRIES))
    told = data.draw(st.lists(records, max_size=datagrams.record_capacity(len(entries))))
    gram = Datagram(kind, 99, data.draw(words), 7, 8, entries, records=told)
    written = datagrams.encode(gram)
    assert len(written) <= MAX_BYTES
    assert len(written) % 4  # a process without a view takes only multiples of four for its own
    assert datagrams.decode(written) == gram


@given(st.lists(st.integers(0, 2**32 - 1), min_size=1, max_size=MAX_DIGESTS), st.integers(1, 50))
def test_sums_are_read_as_they_were_written(sums: list[int], width: int) -> None:
    gram = Datagram(
        Kind.DIGESTS,
        1,
        encode_state(1, State.ALIVE),
        digest_range=DigestRange(3, 3 + len(sums) * width, width),
        digests=sums,
    )
    written = datagrams.encode(gram)
    assert len(written) <= MAX_BYTES
    assert len(written) % 4
    assert datagrams.decode(written) == gram


@given(st.binary(max_size=300))
def test_noise_is_none(data: bytes) -> None:
    assert datagrams.decode(data) is None


@given(st.integers(0, 8 * 60 - 1))
def test_a_turned_bit_makes_a_datagram_none(bit: int) -> None:
    gram = Datagram(
        Kind.GOSSIP,
        5,
        encode_state(3, State.ALIVE),
        entries=[(n, encode_state(n, State.ALIVE)) for n in range(5)],
    )
    data = bytearray(datagrams.encode(gram))
    bit %= 8 * len(data)
    data[bit // 8] ^= 1 << bit % 8
    read = datagrams.decode(bytes(data))
    assert read is None or bit // 8 == 1  # the version says nothing of what this one understands


def test_a_later_versions_kind_is_skipped_and_what_does_not_fit_is_said() -> None:
    own = encode_state(1, State.ALIVE)
    data = bytearray(datagrams.encode(Datagram(Kind.GOSSIP, 1, own)))
    data[10] = 200
    data[2:6] = datagrams.zlib.crc32(data[6:]).to_bytes(4, "little")
    assert datagrams.decode(bytes(data)) is None
    with pytest.raises(ValueError, match="256 at most"):
        datagrams.encode(Datagram(Kind.GOSSIP, 1, own, entries=[(1, own)] * 28))
    assert fleet_checksum([("a", 1)]) != fleet_checksum([("a", 2)])


@given(st.lists(records, max_size=40), st.randoms(use_true_random=False))
def test_records_merge_the_same_whatever_their_order(told: list[Record], chance) -> None:
    one, other = RecordStore(9), RecordStore(9)
    for record in told:
        one.merge(SECOND, record)
    again = [*told, *told[:7]]
    chance.shuffle(again)
    for record in again:
        other.merge(SECOND, record)
    # Two records of one origin under one number differ in nothing; the drawn ones may.
    numbered = {(r.topic, r.origin, r.incarnation, r.sequence): r.subject for r in told}
    if len(numbered) == len({(*key, r.subject) for r in told for key in [_number(r)]}):
        assert one.records == other.records
    for (kind, _), subjects in one.subjects.items():
        assert len(subjects) <= LIMITS[Topic(kind)].max_subjects


def _number(record: Record) -> tuple[int, int, int, int]:
    return record.topic, record.origin, record.incarnation, record.sequence


def test_of_four_records_three_orders_of_more_than_may_stand_agree() -> None:
    told = [Record(Topic.LIST_VERSION, 1, subject, 1, subject, 0, 0) for subject in range(4)]
    kept = []
    for order in permutations(told):
        knowledge = RecordStore(9)
        for record in order:
            knowledge.merge(SECOND, record)
        kept.append(set(knowledge.records))
    assert all(one == other == {(Topic.LIST_VERSION, 1, 3)} for one, other in pairwise(kept))


def test_a_record_that_is_too_old_is_not_taken_and_is_forgotten() -> None:
    lasts = LIMITS[Topic.ENDPOINT_FAILED].lifetime_ns
    knowledge = RecordStore(9)
    assert not knowledge.merge(SECOND, Record(Topic.ENDPOINT_FAILED, 1, 5, 1, 1, 0, lasts))
    assert not knowledge.merge(SECOND, Record(200, 1, 5, 1, 1, 0, 0))
    assert knowledge.merge(SECOND, Record(Topic.ENDPOINT_FAILED, 1, 5, 1, 1, 0, lasts // 2))
    assert [said for _, said in knowledge.on_subject(SECOND, Topic.ENDPOINT_FAILED, 5)] == [
        SECOND - lasts // 2
    ]
    assert not list(knowledge.on_subject(SECOND, Topic.ENDPOINT_ANSWERED, 5))
    knowledge.expire(SECOND + lasts // 2)
    assert not knowledge.records
    assert not knowledge.subjects


def test_news_are_told_the_least_told_first_and_so_often() -> None:
    news: GossipQueue[str] = GossipQueue()
    news.add("a")
    news.add("b")
    assert news.take(1, lambda _: 2) == ["b"]
    assert news.take(5, lambda _: 2) == ["a", "b"]
    assert news.take(5, lambda _: 2) == ["a"]
    assert not news


def test_a_bucket_gives_its_rate_and_its_burst() -> None:
    bucket = TokenBucket(10.0, 2.0, 0)
    assert [bucket.take(0) for _ in range(3)] == [True, True, False]
    assert not bucket.take(SECOND // 20)
    assert bucket.take(SECOND // 10)
    assert not bucket.take(2 * SECOND, reserve=1.5)
