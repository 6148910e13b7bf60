"""Encoding and decoding of datagrams; other data is not decoded."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from dykefold.fleet import datagrams
from dykefold.fleet.datagrams import (
    MAX_DATAGRAM_BYTES,
    MAX_DIGESTS,
    MAX_ENTRIES,
    Datagram,
    DigestRange,
    Kind,
    Record,
    fleet_checksum,
)
from dykefold.fleet.member_state import (
    MAX_INCARNATION,
    State,
    encode_state,
)
from dykefold.fleet.record_store import Topic

states = st.builds(
    encode_state, st.integers(0, MAX_INCARNATION), st.sampled_from(State), st.none() | st.integers(0, 40)
)


numbers = st.integers(0, 99)


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
def test_datagrams_are_decoded_as_encoded(data) -> None:
    kind = data.draw(st.sampled_from([kind for kind in Kind if kind is not Kind.DIGESTS]))
    entries = data.draw(st.lists(st.tuples(numbers, states), max_size=MAX_ENTRIES))
    drawn_records = data.draw(st.lists(records, max_size=datagrams.record_capacity(len(entries))))
    datagram = Datagram(kind, 99, data.draw(states), 7, 8, entries, records=drawn_records)
    encoded = datagrams.encode(datagram)
    assert len(encoded) <= MAX_DATAGRAM_BYTES
    assert len(encoded) % 4  # a process without membership reads only multiples of four
    assert datagrams.decode(encoded) == datagram


@given(st.lists(st.integers(0, 2**32 - 1), min_size=1, max_size=MAX_DIGESTS), st.integers(1, 50))
def test_digests_are_decoded_as_encoded(digests: list[int], width: int) -> None:
    datagram = Datagram(
        Kind.DIGESTS,
        1,
        encode_state(1, State.ALIVE),
        digest_range=DigestRange(3, 3 + len(digests) * width, width),
        digests=digests,
    )
    encoded = datagrams.encode(datagram)
    assert len(encoded) <= MAX_DATAGRAM_BYTES
    assert len(encoded) % 4
    assert datagrams.decode(encoded) == datagram


@given(st.binary(max_size=300))
def test_noise_is_not_decoded(data: bytes) -> None:
    assert datagrams.decode(data) is None


@given(st.integers(0, 8 * 60 - 1))
def test_datagram_with_flipped_bit_is_not_decoded(bit: int) -> None:
    datagram = Datagram(
        Kind.GOSSIP,
        5,
        encode_state(3, State.ALIVE),
        entries=[(n, encode_state(n, State.ALIVE)) for n in range(5)],
    )
    data = bytearray(datagrams.encode(datagram))
    bit %= 8 * len(data)
    data[bit // 8] ^= 1 << bit % 8
    decoded = datagrams.decode(bytes(data))
    assert decoded is None or bit // 8 == 1  # byte 1, the version, is not checked


def test_unknown_kind_is_not_decoded_and_oversized_datagram_raises() -> None:
    own = encode_state(1, State.ALIVE)
    data = bytearray(datagrams.encode(Datagram(Kind.GOSSIP, 1, own)))
    data[10] = 200
    data[2:6] = datagrams.zlib.crc32(data[6:]).to_bytes(4, "little")
    assert datagrams.decode(bytes(data)) is None
    with pytest.raises(ValueError, match="256 at most"):
        datagrams.encode(Datagram(Kind.GOSSIP, 1, own, entries=[(1, own)] * 28))
    assert fleet_checksum([("a", 1)]) != fleet_checksum([("a", 2)])
