"""Small records that members publish by gossip beside their states, with limits by topic. No I/O.

The key of a record is its topic, origin and subject. Two records with the same key merge to the one with the
greater incarnation and sequence; of each origin and topic the `max_subjects` greatest records are kept. Both
are maxima, so the result does not depend on the order of arrival (a semilattice: a record that was displaced
by greater ones stays displaced, since any replacement of those is greater still). Age is no part of the
order; of two equal records the earlier publication time is kept. Stores of different members converge unless
one is full.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, replace
from enum import IntEnum
from typing import NamedTuple

from .datagrams import Record
from .gossip_queue import GossipQueue
from .rate_limits import NS_PER_S

MAX_RECORDS = 8192  # These take some MB.
MAX_SEQUENCE = (1 << 32) - 1
MAX_VALUE = (1 << 32) - 1


class Topic(IntEnum):
    """The topic of a record; the values are part of the datagrams."""

    LIST_VERSION = 2  # subject: none; value: the newest version of the endpoint list seen, modulo 2^32
    ENDPOINT_FAILED = 3  # subject: an endpoint that the origin ejected, or that did not answer it again
    ENDPOINT_ANSWERED = 4  # subject: an endpoint that answered the origin after that
    POLL_SPREAD = 5  # subject: none; value: poll spread and result of polls (peer_observations.py)
    TYPICAL_LATENCY = 6  # subject: a request class; value: microseconds
    ZONE_HEALTH = 7  # subject: a zone; value: its health samples (failover/health_samples.py)
    FAILOVER_LEVEL = 8  # subject: the origin's zone; value: its level (failover/traffic_plan.py)


@dataclass(frozen=True, slots=True)
class TopicLimits:
    """Limits on the records of one topic.

    Attributes:
        lifetime_ns: Validity of a record in nanoseconds after its publication.
        max_subjects: Maximum number of records of one origin.
        max_origins: Maximum number of gossiped records per subject; records of further origins are only
            stored. With 0 records are not gossiped, only sent on request.
        transmissions: Number of times that each member sends a record. Three reach most members of a fleet;
            topics with a single record use enough to reach every member.
    """

    lifetime_ns: int
    max_subjects: int
    max_origins: int
    transmissions: int = 3


LIMITS = {
    Topic.LIST_VERSION: TopicLimits(60 * NS_PER_S, 1, 1000, 7),
    Topic.ENDPOINT_FAILED: TopicLimits(10 * NS_PER_S, 8, 5),
    Topic.ENDPOINT_ANSWERED: TopicLimits(10 * NS_PER_S, 8, 5),
    Topic.POLL_SPREAD: TopicLimits(10 * NS_PER_S, 1, 5, 7),
    Topic.TYPICAL_LATENCY: TopicLimits(60 * NS_PER_S, 16, 0),
    Topic.ZONE_HEALTH: TopicLimits(4 * NS_PER_S, 31, 96, 4),
    Topic.FAILOVER_LEVEL: TopicLimits(4 * NS_PER_S, 1, 96, 4),
}
TOPICS = frozenset(Topic)


class RecordKey(NamedTuple):
    """Key of a record; a later record with the same key replaces it."""

    topic: int
    origin: int
    subject: int


class RecordVersion(NamedTuple):
    """Version of a record in the order of its origin's records."""

    incarnation: int
    sequence: int


class StoredRecord(NamedTuple):
    """A record, with its publication time on the monotonic clock of this process."""

    record: Record
    published_ns: int


def version_of(record: Record) -> RecordVersion:
    """Return the version of a record."""
    return RecordVersion(record.incarnation, record.sequence)


class RecordStore:
    """The records that a member has received or published.

    Attributes:
        own_number: Number of the member.
        records: Records by key.
        subjects: Subjects of the stored records, by topic and origin.
        origins: Origins of the stored records, by topic and subject.
        gossip: Keys of records still to be gossiped.
    """

    def __init__(self, own_number: int) -> None:
        self.own_number = own_number
        self.records: dict[RecordKey, StoredRecord] = {}
        self.subjects: dict[tuple[int, int], set[int]] = {}
        self.origins: dict[int, dict[int, set[int]]] = {topic: {} for topic in Topic}
        self.gossip: GossipQueue[RecordKey] = GossipQueue()
        self._sequence = 0

    def __len__(self) -> int:
        """Return the number of records."""
        return len(self.records)

    def publish(self, now_ns: int, incarnation: int, key: RecordKey, value: int) -> None:
        """Create or renew a record of this member.

        Args:
            now_ns: Current monotonic time in nanoseconds.
            incarnation: Incarnation of the member.
            key: Key of the record; its origin is the member.
            value: Value of the record, limited to 32 bits.
        """
        self._sequence = min(self._sequence + 1, MAX_SEQUENCE)
        value = min(max(value, 0), MAX_VALUE)
        record = Record(*key, incarnation, self._sequence, value, age_ns=0)
        self.merge(now_ns, record)

    def merge(self, now_ns: int, record: Record) -> bool:
        """Merge a record; return whether it is newer than the known one."""
        if record.topic not in TOPICS:
            return False  # topic of a later version
        published_ns = now_ns - record.age_ns
        if now_ns - published_ns >= LIMITS[Topic(record.topic)].lifetime_ns:
            return False
        key = RecordKey(record.topic, record.origin, record.subject)
        known = self.records.get(key)
        if known is not None:
            if version_of(record) <= version_of(known.record):
                self._keep_earlier_publication(key, record, published_ns)
                return False
        elif not self._make_room(key, record):
            return False
        self.records[key] = StoredRecord(record, published_ns)
        self._queue_gossip(key)
        return True

    def _keep_earlier_publication(self, key: RecordKey, record: Record, published_ns: int) -> None:
        known = self.records[key]
        if version_of(record) == version_of(known.record) and published_ns < known.published_ns:
            self.records[key] = StoredRecord(known.record, published_ns)

    def _make_room(self, key: RecordKey, record: Record) -> bool:
        """Make room for a record with a new key, dropping the oldest if need be; return whether it fits."""
        topic, origin, subject = key
        subjects = self.subjects.get((topic, origin), set())
        if len(subjects) >= LIMITS[Topic(topic)].max_subjects:
            oldest = min(
                (RecordKey(topic, origin, kept) for kept in subjects),
                key=lambda kept: version_of(self.records[kept].record),
            )
            if version_of(record) <= version_of(self.records[oldest].record):
                return False
            self._drop(oldest)
        if len(self.records) >= MAX_RECORDS:
            return False
        self.subjects.setdefault((topic, origin), set()).add(subject)
        self.origins[topic].setdefault(subject, set()).add(origin)
        return True

    def _queue_gossip(self, key: RecordKey) -> None:
        max_origins = LIMITS[Topic(key.topic)].max_origins
        is_own = key.origin == self.own_number
        if max_origins and (is_own or len(self.origins[key.topic][key.subject]) <= max_origins):
            self.gossip.add(key)

    def _drop(self, key: RecordKey) -> None:
        topic, origin, subject = key
        del self.records[key]
        self.gossip.discard(key)
        origins = self.origins[topic][subject]
        origins.discard(origin)
        if not origins:
            del self.origins[topic][subject]
        subjects = self.subjects[topic, origin]
        subjects.discard(subject)
        if not subjects:
            del self.subjects[topic, origin]

    def expire(self, now_ns: int) -> None:
        """Remove expired records."""
        expired = [key for key, stored in self.records.items() if not _is_valid(stored, now_ns)]
        for key in expired:
            self._drop(key)

    def take_gossip(self, now_ns: int, max_count: int) -> list[Record]:
        """Return the next records to gossip, with their ages now."""
        if max_count <= 0:
            return []
        keys = self.gossip.take(max_count, lambda key: LIMITS[Topic(key.topic)].transmissions)
        return [_with_current_age(self.records[key], now_ns) for key in keys if key in self.records]

    def for_joining_member(self, now_ns: int, max_count: int) -> list[Record]:
        """Return records for a joining member: this member's first, then others by age."""
        kept = [
            (stored.record.origin != self.own_number, now_ns - stored.published_ns, stored)
            for stored in self.records.values()
            if _is_valid(stored, now_ns)
            and (stored.record.origin == self.own_number or stored.record.topic != Topic.TYPICAL_LATENCY)
        ]
        kept.sort(key=lambda item: item[:2])
        return [_with_current_age(stored, now_ns) for _, _, stored in kept[:max_count]]

    def subjects_of(self, *topics: Topic) -> set[int]:
        """Return the subjects of all stored records of these topics."""
        return {subject for topic in topics for subject in self.origins[topic]}

    def on_subject(self, now_ns: int, topic: Topic, subject: int) -> Iterator[StoredRecord]:
        """Iterate over the valid records of a subject."""
        for origin in self.origins[topic].get(subject, ()):
            stored = self.records[RecordKey(topic, origin, subject)]
            if _is_valid(stored, now_ns):
                yield stored


def _is_valid(stored: StoredRecord, now_ns: int) -> bool:
    return now_ns - stored.published_ns < LIMITS[Topic(stored.record.topic)].lifetime_ns


def _with_current_age(stored: StoredRecord, now_ns: int) -> Record:
    return replace(stored.record, age_ns=max(now_ns - stored.published_ns, 0))
