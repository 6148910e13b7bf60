"""The datagrams of the view: docs/design/datagrams.md says what is in them. No I/O.

Reading gives None for whatever is none of ours: noise, a spoilt one, a later version's kinds. No length is a
multiple of four: the module's own message, which processes without a view send and understand, always is.
"""

from __future__ import annotations

import struct
import zlib
from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import IntEnum

from .member_state import WORD_BYTES, is_word

MOST = 256  # bytes of a datagram between sidecars (PROTOCOL)
MARK = 0xD7  # the kind byte: first of each datagram of the view
VERSION = 1

HEAD = struct.Struct(
    "<BBIIBHH"
)  # mark, version, checksum, roster, kind, nonce, about; the sender's word follows
HEAD_BYTES = HEAD.size + WORD_BYTES
CHECKED_FROM = 6  # bytes: what stands before is not in the checksum
ENTRY_BYTES = 2 + WORD_BYTES
MEMBERS_MOST = 1 << 16
SPAN = struct.Struct("<HHH")  # first member, one past the last, members to a slice
SUM_BYTES = 4
SLICES_MOST = (MOST - HEAD_BYTES - SPAN.size - 2) // SUM_BYTES
RECORD = struct.Struct(
    "<BHIIBI"
)  # kind, origin, subject, sequence, age, value; then the origin's incarnation
INCARNATION_BYTES = 6
RECORD_BYTES = RECORD.size + INCARNATION_BYTES
AGE_UNIT_NS = 250_000_000  # of a record's age on its way


class Kind(IntEnum):
    """What a datagram is for. `about` is the member that ASK asks of; else 0."""

    PING = 1
    ACK = 2
    ASK = 3  # whether another one lives
    NACK = 4  # that one has not answered so far
    NEWS = 5
    SUMS = 6  # of the words on a span of members
    WORDS = 7  # on members whose sums differ; wants what the other one knows beyond that
    TOLD = 8  # the answer to that
    WANT = 9  # of one that starts anew: what do you know
    KNOWN = 10  # the answer to that, where there is anything


CARRIES_SUMS = frozenset((Kind.SUMS,))


@dataclass(frozen=True, slots=True)
class Record:
    """Something that one member knows; see `knowledge.py`.

    Attributes:
        age_ns: since its origin said it.
    """

    kind: int
    origin: int
    subject: int
    incarnation: int
    sequence: int
    value: int
    age_ns: int


@dataclass(frozen=True, slots=True)
class Datagram:
    """What one member tells another.

    Attributes:
        own: the sender's word on itself.
        roster: of what fleet its numbers are (`roster_of`).
        entries: words on members, by number.
        sums: of the words on the members of each slice of `span`.
    """

    kind: Kind
    roster: int
    own: int
    nonce: int = 0
    about: int = 0
    entries: Sequence[tuple[int, int]] = ()
    span: tuple[int, int, int] = (0, 0, 1)
    sums: Sequence[int] = field(default_factory=tuple)
    records: Sequence[Record] = ()


def roster_of(addresses: Sequence[tuple[str, int]]) -> int:
    """A number for a list of members: members with other lists take no numbers from each other."""
    return zlib.crc32("\n".join(f"{host}:{port}" for host, port in addresses).encode())


def room(entries: int) -> int:
    """How many records fit beside so many words."""
    return max((MOST - 1 - HEAD_BYTES - 2 - entries * ENTRY_BYTES) // RECORD_BYTES, 0)


ENTRIES_MOST = (MOST - 1 - HEAD_BYTES - 2) // ENTRY_BYTES


def write(gram: Datagram) -> bytes:
    """The bytes of a datagram; at most 256, never a multiple of four. ValueError where it can't be."""
    parts = [
        HEAD.pack(MARK, VERSION, 0, gram.roster, gram.kind, gram.nonce, gram.about),
        gram.own.to_bytes(WORD_BYTES, "little"),
    ]
    if gram.kind in CARRIES_SUMS:
        parts.append(SPAN.pack(*gram.span))
        parts += [(total & 0xFFFFFFFF).to_bytes(SUM_BYTES, "little") for total in gram.sums]
    else:
        parts.append(bytes((len(gram.entries),)))
        for number, said in gram.entries:
            parts.append(number.to_bytes(2, "little") + said.to_bytes(WORD_BYTES, "little"))
        parts.append(bytes((len(gram.records),)))
        for record in gram.records:
            age = min(-(-record.age_ns // AGE_UNIT_NS), 255)  # never younger than it is
            parts.append(
                RECORD.pack(record.kind, record.origin, record.subject, record.sequence, age, record.value)
            )
            parts.append(record.incarnation.to_bytes(INCARNATION_BYTES, "little"))
    data = bytearray(b"".join(parts))
    if len(data) % 4 == 0:
        data.append(0)
    if len(data) > MOST:
        raise ValueError(f"{len(data)} bytes; a datagram has {MOST} at most")
    data[2:CHECKED_FROM] = zlib.crc32(data[CHECKED_FROM:]).to_bytes(4, "little")
    return bytes(data)


def is_ours(data: bytes) -> bool:
    """Whether this is the view's, not the module's."""
    return len(data) % 4 != 0 and data[0] == MARK


def read(data: bytes) -> Datagram | None:
    """A datagram; None if it is none, or of a kind that a later version has."""
    if not HEAD_BYTES < len(data) <= MOST or not is_ours(data):
        return None
    _, _, check, roster, kind, nonce, about = HEAD.unpack_from(data)
    if zlib.crc32(data[CHECKED_FROM:]) != check or kind not in Kind._value2member_map_:
        return None
    own = int.from_bytes(data[HEAD.size : HEAD_BYTES], "little")
    if not is_word(own):
        return None
    if kind in CARRIES_SUMS:
        return _read_sums(data, Kind(kind), roster, own, nonce)
    entries: list[tuple[int, int]] = []
    at = HEAD_BYTES + 1
    for _ in range(data[HEAD_BYTES]):
        if at + ENTRY_BYTES > len(data):
            return None
        said = int.from_bytes(data[at + 2 : at + ENTRY_BYTES], "little")
        if not is_word(said):
            return None
        entries.append((int.from_bytes(data[at : at + 2], "little"), said))
        at += ENTRY_BYTES
    records: list[Record] = []
    count = data[at] if at < len(data) else 0
    at += 1
    for _ in range(count):
        if at + RECORD_BYTES > len(data):
            return None
        of, origin, subject, sequence, age, value = RECORD.unpack_from(data, at)
        incarnation = int.from_bytes(data[at + RECORD.size : at + RECORD_BYTES], "little")
        records.append(Record(of, origin, subject, incarnation, sequence, value, age * AGE_UNIT_NS))
        at += RECORD_BYTES
    return Datagram(Kind(kind), roster, own, nonce, about, entries, records=records)


def _read_sums(data: bytes, kind: Kind, roster: int, own: int, nonce: int) -> Datagram | None:
    at = HEAD_BYTES + SPAN.size
    if at > len(data):
        return None
    low, high, width = SPAN.unpack_from(data, HEAD_BYTES)
    count = -(-(high - low) // width) if width else 0
    if not 0 < count <= SLICES_MOST or at + count * SUM_BYTES > len(data):
        return None
    sums = [
        int.from_bytes(data[here : here + SUM_BYTES], "little")
        for here in range(at, at + count * SUM_BYTES, SUM_BYTES)
    ]
    return Datagram(kind, roster, own, nonce, span=(low, high, width), sums=sums)
