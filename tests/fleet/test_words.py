"""Words, their table, datagrams, records: whatever comes in whatever order."""

from __future__ import annotations

from itertools import pairwise, permutations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from dykefold.fleet import datagrams
from dykefold.fleet.datagrams import ENTRIES_MOST, MOST, SLICES_MOST, Datagram, Kind, Record, roster_of
from dykefold.fleet.gossip_queue import GossipQueue
from dykefold.fleet.knowledge import BOUNDS, Knowledge, Topic
from dykefold.fleet.member_state import CONCLUDES, INCARNATION_MOST, State, Table, conclude, state_of, word
from dykefold.fleet.rate_limits import SECOND, TokenBucket

words = st.builds(
    word, st.integers(0, INCARNATION_MOST), st.sampled_from(State), st.none() | st.integers(0, 40)
)
numbers = st.integers(0, 99)


def test_only_what_the_table_says_may_be_concluded() -> None:
    for before in State:
        for after in State:
            if (before, after) in CONCLUDES:
                assert state_of(conclude(word(7, before), after)) is after
                assert conclude(word(7, before), after) > word(7, before)
            else:
                with pytest.raises(ValueError, match="nobody concludes"):
                    conclude(word(7, before), after)


@given(st.lists(st.tuples(numbers, words), max_size=30), st.randoms(use_true_random=False))
def test_tables_agree_whatever_the_order_and_their_sums_say_so(told: list, chance) -> None:
    one, other = Table(100), Table(100)
    for number, said in told:
        one.merge(number, said)
    again = [*told, *told[:5]]
    chance.shuffle(again)
    for number, said in again:
        other.merge(number, said)
    assert one.words == other.words
    assert one.sum(0, 100) == other.sum(0, 100) == sum_slowly(one)
    assert one.counts == [sum(state_of(said) is state for said in one.words) for state in State]
    if other.merge(50, one.words[50] + 1):
        assert one.sum(3, 97) != other.sum(3, 97)
        assert one.sum(51, 100) == other.sum(51, 100)


def sum_slowly(table: Table) -> int:
    total = 0
    for number in range(len(table)):
        total ^= table.sum(number, number + 1)
    return total


records = st.builds(
    Record,
    kind=st.sampled_from(Topic).map(int),
    origin=st.integers(0, 3),
    subject=st.integers(0, 12),
    incarnation=st.integers(1, 3),
    sequence=st.integers(1, 9),
    value=st.just(1),
    age_ns=st.just(0),
)


@given(st.data())
def test_datagrams_are_read_as_they_were_written(data) -> None:
    kind = data.draw(st.sampled_from([kind for kind in Kind if kind is not Kind.SUMS]))
    entries = data.draw(st.lists(st.tuples(numbers, words), max_size=ENTRIES_MOST))
    told = data.draw(st.lists(records, max_size=datagrams.room(len(entries))))
    gram = Datagram(kind, 99, data.draw(words), 7, 8, entries, records=told)
    written = datagrams.write(gram)
    assert len(written) <= MOST
    assert len(written) % 4  # a process without a view takes only multiples of four for its own
    assert datagrams.read(written) == gram


@given(st.lists(st.integers(0, 2**32 - 1), min_size=1, max_size=SLICES_MOST), st.integers(1, 50))
def test_sums_are_read_as_they_were_written(sums: list[int], width: int) -> None:
    gram = Datagram(Kind.SUMS, 1, word(1, State.ALIVE), span=(3, 3 + len(sums) * width, width), sums=sums)
    written = datagrams.write(gram)
    assert len(written) <= MOST
    assert len(written) % 4
    assert datagrams.read(written) == gram


@given(st.binary(max_size=300))
def test_noise_is_none(data: bytes) -> None:
    assert datagrams.read(data) is None


@given(st.integers(0, 8 * 60 - 1))
def test_a_turned_bit_makes_a_datagram_none(bit: int) -> None:
    gram = Datagram(Kind.NEWS, 5, word(3, State.ALIVE), entries=[(n, word(n, State.ALIVE)) for n in range(5)])
    data = bytearray(datagrams.write(gram))
    bit %= 8 * len(data)
    data[bit // 8] ^= 1 << bit % 8
    read = datagrams.read(bytes(data))
    assert read is None or bit // 8 == 1  # the version says nothing of what this one understands


def test_a_later_versions_kind_is_skipped_and_what_does_not_fit_is_said() -> None:
    own = word(1, State.ALIVE)
    data = bytearray(datagrams.write(Datagram(Kind.NEWS, 1, own)))
    data[10] = 200
    data[2:6] = datagrams.zlib.crc32(data[6:]).to_bytes(4, "little")
    assert datagrams.read(bytes(data)) is None
    with pytest.raises(ValueError, match="256 at most"):
        datagrams.write(Datagram(Kind.NEWS, 1, own, entries=[(1, own)] * 28))
    assert roster_of([("a", 1)]) != roster_of([("a", 2)])


@given(st.lists(records, max_size=40), st.randoms(use_true_random=False))
def test_records_merge_the_same_whatever_their_order(told: list[Record], chance) -> None:
    one, other = Knowledge(9), Knowledge(9)
    for record in told:
        one.merge(SECOND, record)
    again = [*told, *told[:7]]
    chance.shuffle(again)
    for record in again:
        other.merge(SECOND, record)
    # Two records of one origin under one number differ in nothing; the drawn ones may.
    numbered = {(r.kind, r.origin, r.incarnation, r.sequence): r.subject for r in told}
    if len(numbered) == len({(*key, r.subject) for r in told for key in [_number(r)]}):
        assert one.records == other.records
    for (kind, _), subjects in one.of.items():
        assert len(subjects) <= BOUNDS[Topic(kind)].most


def _number(record: Record) -> tuple[int, int, int, int]:
    return record.kind, record.origin, record.incarnation, record.sequence


def test_of_four_records_three_orders_of_more_than_may_stand_agree() -> None:
    told = [Record(Topic.LIST, 1, subject, 1, subject, 0, 0) for subject in range(4)]
    kept = []
    for order in permutations(told):
        knowledge = Knowledge(9)
        for record in order:
            knowledge.merge(SECOND, record)
        kept.append(set(knowledge.records))
    assert all(one == other == {(Topic.LIST, 1, 3)} for one, other in pairwise(kept))


def test_a_record_that_is_too_old_is_not_taken_and_is_forgotten() -> None:
    lasts = BOUNDS[Topic.FAILS].lasts_ns
    knowledge = Knowledge(9)
    assert not knowledge.merge(SECOND, Record(Topic.FAILS, 1, 5, 1, 1, 0, lasts))
    assert not knowledge.merge(SECOND, Record(200, 1, 5, 1, 1, 0, 0))
    assert knowledge.merge(SECOND, Record(Topic.FAILS, 1, 5, 1, 1, 0, lasts // 2))
    assert [said for _, said in knowledge.about(SECOND, Topic.FAILS, 5)] == [SECOND - lasts // 2]
    assert not list(knowledge.about(SECOND, Topic.ANSWERS, 5))
    knowledge.expire(SECOND + lasts // 2)
    assert not knowledge.records
    assert not knowledge.of


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
    assert not bucket.take(2 * SECOND, kept=1.5)
