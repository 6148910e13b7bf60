"""The datagrams of the membership protocol, described in docs/design/datagrams.md. No I/O.

Decoding returns None for any other data: noise, corrupted datagrams, kinds of later versions. The length is
never a multiple of four, while that of messages between balancers always is, so that a process without
membership, which reads only balancer messages, ignores these datagrams.
"""

from __future__ import annotations

import struct
import zlib
from collections.abc import Sequence
from dataclasses import dataclass
from enum import IntEnum
from typing import NamedTuple

from .member_state import ENCODED_STATE_BYTES, is_encoded_state

MAX_DATAGRAM_BYTES = 256  # Limit for datagrams between sidecars (PROTOCOL).
BALANCER_MESSAGE_ALIGNMENT = 4  # Lengths of balancer messages are multiples of this; lengths here never are.
MAGIC = 0xD7  # First byte of each datagram of this protocol.
VERSION = 1

HEADER = struct.Struct(
    "<BBIIBHH"
)  # magic, version, checksum, fleet, kind, nonce, subject; then the sender's state
HEADER_BYTES = HEADER.size + ENCODED_STATE_BYTES
CHECKSUM_START = 2
CHECKSUMMED_START = 6  # Offset of the first byte that the checksum covers.
NUMBER_BYTES = 2
ENTRY_BYTES = NUMBER_BYTES + ENCODED_STATE_BYTES
COUNT_BYTES = 1
RANGE = struct.Struct("<HHH")  # First member, one past the last, members per digest.
DIGEST_BYTES = 4
DIGEST_MASK = 0xFFFFFFFF
RECORD = struct.Struct(
    "<BHIIBI"
)  # topic, origin, subject, sequence, age, value; then the origin's incarnation
INCARNATION_BYTES = 6
RECORD_BYTES = RECORD.size + INCARNATION_BYTES
AGE_UNIT_NS = 250_000_000
MAX_AGE_UNITS = 255
MAX_PAYLOAD_BYTES = MAX_DATAGRAM_BYTES - 1  # One byte is left for padding, as the length must not be aligned.
MAX_DIGESTS = (MAX_PAYLOAD_BYTES - HEADER_BYTES - RANGE.size - COUNT_BYTES) // DIGEST_BYTES
MAX_ENTRIES = (MAX_PAYLOAD_BYTES - HEADER_BYTES - 2 * COUNT_BYTES) // ENTRY_BYTES


class Kind(IntEnum):
    """The purpose of a datagram."""

    PING = 1
    ACK = 2
    PROBE_REQUEST = 3  # indirect probe: requests a helper to probe the subject
    NACK = 4  # from a helper: the subject has not answered its probe yet
    GOSSIP = 5
    DIGESTS = 6  # of the states of a range of members
    STATES = 7  # of members whose digests differ; the receiver replies with newer states, if any
    STATES_REPLY = 8
    RECORDS_REQUEST = 9  # from a member that has just started
    RECORDS_REPLY = 10  # not sent by a member without records


KINDS = {kind.value: kind for kind in Kind}


class MemberEntry(NamedTuple):
    """A member's number and encoded state, as the sender knows it."""

    number: int
    encoded: int


class DigestRange(NamedTuple):
    """Members `first` to `end` - 1, in slices of `width` members with one digest each."""

    first: int
    end: int
    width: int

    def slices(self) -> list[tuple[int, int]]:
        """Return the first member, and one past the last, of each slice."""
        return [
            (first, min(first + self.width, self.end)) for first in range(self.first, self.end, self.width)
        ]


NO_RANGE = DigestRange(0, 0, 1)


@dataclass(frozen=True, slots=True)
class Record:
    """A record that one member publishes; see `record_store.py`.

    Attributes:
        topic: A `Topic`, or the number of a topic of a later version.
        origin: Number of the member that published the record.
        subject: Subject of the record; its meaning depends on the topic.
        incarnation: Incarnation of the origin when it published the record.
        sequence: Number of the record among those of its origin.
        value: 32-bit value; its meaning depends on the topic.
        age_ns: Nanoseconds since the origin published the record.
    """

    topic: int
    origin: int
    subject: int
    incarnation: int
    sequence: int
    value: int
    age_ns: int


@dataclass(frozen=True, slots=True)
class Datagram:
    """One message between two members.

    Attributes:
        kind: Purpose of the datagram.
        fleet: Checksum of the sender's address list (`fleet_checksum`), to which its member numbers refer.
        sender_state: Encoded state of the sender.
        nonce: Number that matches an ACK or NACK to its probe.
        subject: Number of the probed member in a PROBE_REQUEST or NACK; 0 otherwise.
        entries: Encoded states of members.
        digest_range: Members that the digests of a DIGESTS datagram cover.
        digests: Digest of each slice of the range.
        records: Published records with their age.
    """

    kind: Kind
    fleet: int
    sender_state: int
    nonce: int = 0
    subject: int = 0
    entries: Sequence[MemberEntry] = ()
    digest_range: DigestRange = NO_RANGE
    digests: Sequence[int] = ()
    records: Sequence[Record] = ()


class DatagramTooLargeError(ValueError):
    """The content of a datagram exceeds its maximum size.

    Args:
        size: Size of the encoded datagram in bytes.
    """

    def __init__(self, size: int) -> None:
        super().__init__(f"{size} bytes; a datagram has {MAX_DATAGRAM_BYTES} at most")


def fleet_checksum(addresses: Sequence[tuple[str, int]]) -> int:
    """Return the checksum of an address list; members whose lists differ ignore each other's numbers."""
    return zlib.crc32("\n".join(f"{host}:{port}" for host, port in addresses).encode())


def record_capacity(entries: int) -> int:
    """Return the number of records that fit in a datagram with a number of member states."""
    used = HEADER_BYTES + 2 * COUNT_BYTES + entries * ENTRY_BYTES
    return max((MAX_PAYLOAD_BYTES - used) // RECORD_BYTES, 0)


def is_membership_datagram(data: bytes) -> bool:
    """Return whether data is a datagram of this protocol, not a balancer's message."""
    return len(data) % BALANCER_MESSAGE_ALIGNMENT != 0 and data[0] == MAGIC


def encode(datagram: Datagram) -> bytes:
    """Return the bytes of a datagram: at most 256, never a multiple of four.

    Raises:
        DatagramTooLargeError: The content exceeds the maximum size.
    """
    header = HEADER.pack(MAGIC, VERSION, 0, datagram.fleet, datagram.kind, datagram.nonce, datagram.subject)
    data = bytearray(header)
    data += datagram.sender_state.to_bytes(ENCODED_STATE_BYTES, "little")
    if datagram.kind is Kind.DIGESTS:
        _append_digests(data, datagram)
    else:
        _append_entries(data, datagram.entries)
        _append_records(data, datagram.records)
    if len(data) % BALANCER_MESSAGE_ALIGNMENT == 0:
        data.append(0)  # padding
    if len(data) > MAX_DATAGRAM_BYTES:
        raise DatagramTooLargeError(len(data))
    data[CHECKSUM_START:CHECKSUMMED_START] = zlib.crc32(data[CHECKSUMMED_START:]).to_bytes(4, "little")
    return bytes(data)


def _append_digests(data: bytearray, datagram: Datagram) -> None:
    data += RANGE.pack(*datagram.digest_range)
    for digest in datagram.digests:
        data += (digest & DIGEST_MASK).to_bytes(DIGEST_BYTES, "little")


def _append_entries(data: bytearray, entries: Sequence[MemberEntry]) -> None:
    data.append(len(entries))
    for number, encoded in entries:
        data += number.to_bytes(NUMBER_BYTES, "little")
        data += encoded.to_bytes(ENCODED_STATE_BYTES, "little")


def _append_records(data: bytearray, records: Sequence[Record]) -> None:
    data.append(len(records))
    for record in records:
        age = min(-(-record.age_ns // AGE_UNIT_NS), MAX_AGE_UNITS)  # rounded up: never too young
        data += RECORD.pack(record.topic, record.origin, record.subject, record.sequence, age, record.value)
        data += record.incarnation.to_bytes(INCARNATION_BYTES, "little")


def decode(data: bytes) -> Datagram | None:
    """Decode a datagram; return None if it is malformed, corrupted or of an unknown kind."""
    header = _decode_header(data)
    if header is None:
        return None
    return _decode_digests(data, header) if header.kind is Kind.DIGESTS else _decode_gossip(data, header)


class _Header(NamedTuple):
    """Fields common to all kinds of datagrams, as in `Datagram`."""

    kind: Kind
    fleet: int
    sender_state: int
    nonce: int
    subject: int


def _decode_header(data: bytes) -> _Header | None:
    if not HEADER_BYTES < len(data) <= MAX_DATAGRAM_BYTES or not is_membership_datagram(data):
        return None
    _, _, checksum, fleet, kind, nonce, subject = HEADER.unpack_from(data)
    if zlib.crc32(data[CHECKSUMMED_START:]) != checksum or kind not in KINDS:
        return None
    sender_state = int.from_bytes(data[HEADER.size : HEADER_BYTES], "little")
    if not is_encoded_state(sender_state):
        return None
    return _Header(KINDS[kind], fleet, sender_state, nonce, subject)


def _decode_gossip(data: bytes, header: _Header) -> Datagram | None:
    entries = _decode_entries(data)
    if entries is None:
        return None
    records = _decode_records(data, HEADER_BYTES + COUNT_BYTES + len(entries) * ENTRY_BYTES)
    if records is None:
        return None
    return Datagram(*header, entries, records=records)


def _decode_digests(data: bytes, header: _Header) -> Datagram | None:
    start = HEADER_BYTES + RANGE.size
    if start > len(data):
        return None
    first, end, width = RANGE.unpack_from(data, HEADER_BYTES)
    count = -(-(end - first) // width) if width else 0
    if not 0 < count <= MAX_DIGESTS or start + count * DIGEST_BYTES > len(data):
        return None
    digests = [
        int.from_bytes(data[offset : offset + DIGEST_BYTES], "little")
        for offset in range(start, start + count * DIGEST_BYTES, DIGEST_BYTES)
    ]
    return Datagram(
        header.kind,
        header.fleet,
        header.sender_state,
        header.nonce,
        digest_range=DigestRange(first, end, width),
        digests=digests,
    )


def _decode_entries(data: bytes) -> list[MemberEntry] | None:
    start = HEADER_BYTES + COUNT_BYTES
    end = start + data[HEADER_BYTES] * ENTRY_BYTES
    if end > len(data):
        return None
    entries: list[MemberEntry] = []
    for offset in range(start, end, ENTRY_BYTES):
        state_offset = offset + NUMBER_BYTES
        encoded = int.from_bytes(data[state_offset : offset + ENTRY_BYTES], "little")
        if not is_encoded_state(encoded):
            return None
        entries.append(MemberEntry(int.from_bytes(data[offset:state_offset], "little"), encoded))
    return entries


def _decode_records(data: bytes, count_offset: int) -> list[Record] | None:
    count = data[count_offset] if count_offset < len(data) else 0
    start = count_offset + COUNT_BYTES
    if start + count * RECORD_BYTES > len(data) and count:
        return None
    return [_decode_record(data, start + index * RECORD_BYTES) for index in range(count)]


def _decode_record(data: bytes, offset: int) -> Record:
    topic, origin, subject, sequence, age, value = RECORD.unpack_from(data, offset)
    incarnation = int.from_bytes(data[offset + RECORD.size : offset + RECORD_BYTES], "little")
    return Record(topic, origin, subject, incarnation, sequence, value, age * AGE_UNIT_NS)
