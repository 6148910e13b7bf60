"""What members tell one another beside who is there: small records with origin, age and bound. No I/O.

A record's key is its kind, origin and subject. Two records of a key merge to the one of the greater
incarnation and sequence of their origin; of one origin and kind the `most` greatest are kept. Both are
maxima, so the order in which records come makes no difference (a semilattice; a record that is beaten by
`most` others stays beaten, since what replaces any of those is greater still). Age takes no part in that; of
two equal records the older one stands. Only where the table is full may members keep different ones.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, replace
from enum import IntEnum

from .datagrams import Record
from .gossip_queue import GossipQueue
from .rate_limits import SECOND

RECORDS_MOST = 8192  # some MB
SEQUENCE_MOST = (1 << 32) - 1


class Topic(IntEnum):
    """What a record is about."""

    LIST = 2  # subject: none; value: the newest version of the list seen, modulo 2^32
    FAILS = 3  # subject: a server that its origin has ejected, or found silent again
    ANSWERS = 4  # subject: a server that answered its origin after that
    SIGHT = 7  # subject: a zone; value: how its origin sees it (failover/evidence.py)
    AWAY = 8  # subject: the origin's zone; value: the level of the plan that it holds (failover/plan.py)
    USUAL = 6  # subject: a class; value: its usual latency, microseconds
    CALLS = 5  # subject: none; value: over how many ms calls of the list service go; and whether it answers


@dataclass(frozen=True, slots=True)
class Bound:
    """What a topic may take up.

    Attributes:
        lasts_ns: how long a record says anything.
        most: records of one origin.
        passed_on: records on one subject; what more origins say is kept, and not told on. With 0 nothing is
            told unasked.
        tells: of each record by each member. Three reach most of a fleet; what is one record and not one for
            each server may be told until it has reached all.
    """

    lasts_ns: int
    most: int
    passed_on: int
    tells: int = 3


BOUNDS = {
    Topic.LIST: Bound(60 * SECOND, 1, 1000, 7),
    Topic.FAILS: Bound(10 * SECOND, 8, 5),
    Topic.ANSWERS: Bound(10 * SECOND, 8, 5),
    Topic.CALLS: Bound(10 * SECOND, 1, 5, 7),
    Topic.USUAL: Bound(60 * SECOND, 16, 0),
    Topic.SIGHT: Bound(4 * SECOND, 31, 96, 4),
    Topic.AWAY: Bound(4 * SECOND, 1, 96, 4),
}

Key = tuple[int, int, int]  # topic, origin, subject


def _order(record: Record) -> tuple[int, int]:
    return record.incarnation, record.sequence


class Knowledge:
    """The records that a member has heard or made."""

    def __init__(self, me: int) -> None:
        self.me = me
        self.records: dict[Key, tuple[Record, int]] = {}  # with the time at which the origin said it
        self.of: dict[tuple[int, int], set[int]] = {}  # subjects by topic and origin
        self.on: dict[int, dict[int, set[int]]] = {topic: {} for topic in Topic}  # origins, by subject
        self.news: GossipQueue[Key] = GossipQueue()
        self.sequence = 0

    def __len__(self) -> int:
        return len(self.records)

    def say(self, now_ns: int, incarnation: int, topic: Topic, subject: int, value: int) -> None:
        """Make or renew a record of one's own."""
        self.sequence = min(self.sequence + 1, SEQUENCE_MOST)
        value = min(max(value, 0), 0xFFFFFFFF)
        self.merge(now_ns, Record(topic, self.me, subject, incarnation, self.sequence, value, 0))

    def merge(self, now_ns: int, record: Record) -> bool:
        """Take a record; whether it says more than what was known."""
        try:
            bound = BOUNDS[Topic(record.kind)]
        except ValueError:
            return False  # a later version's
        said_ns = now_ns - record.age_ns
        if now_ns - said_ns >= bound.lasts_ns:
            return False
        key = (record.kind, record.origin, record.subject)
        known = self.records.get(key)
        if known is not None:
            if _order(record) <= _order(known[0]):
                if _order(record) == _order(known[0]) and said_ns < known[1]:
                    self.records[key] = (known[0], said_ns)
                return False
        else:
            subjects = self.of.setdefault((record.kind, record.origin), set())
            if len(subjects) >= bound.most:
                least = min(subjects, key=lambda one: _order(self.records[key[0], key[1], one][0]))
                if _order(record) <= _order(self.records[key[0], key[1], least][0]):
                    return False
                self._drop((key[0], key[1], least))
                subjects = self.of.setdefault((record.kind, record.origin), set())
            if len(self.records) >= RECORDS_MOST:
                return False
            subjects.add(record.subject)
            self.on[key[0]].setdefault(key[2], set()).add(key[1])
        self.records[key] = (record, said_ns)
        told_on = record.origin == self.me or len(self.on[key[0]][key[2]]) <= bound.passed_on
        if bound.passed_on and told_on:
            self.news.add(key)
        return True

    def _drop(self, key: Key) -> None:
        del self.records[key]
        self.news.drop(key)
        origins = self.on[key[0]][key[2]]
        origins.discard(key[1])
        if not origins:
            del self.on[key[0]][key[2]]
        subjects = self.of[key[:2]]
        subjects.discard(key[2])
        if not subjects:
            del self.of[key[:2]]

    def expire(self, now_ns: int) -> None:
        """Forget what is too old to say anything."""
        old = [
            key
            for key, (record, said_ns) in self.records.items()
            if now_ns - said_ns >= BOUNDS[Topic(record.kind)].lasts_ns
        ]
        for key in old:
            self._drop(key)

    def told(self, now_ns: int, most: int) -> list[Record]:
        """The next records to tell, with their ages now."""
        keys = self.news.take(most, lambda key: BOUNDS[Topic(key[0])].tells) if most > 0 else []
        return [self._aged(now_ns, *self.records[key]) for key in keys if key in self.records]

    def digest(self, now_ns: int, most: int) -> list[Record]:
        """For one that starts anew: what this member says itself first, then what is youngest."""
        kept = [
            (record.origin != self.me, now_ns - said_ns, record, said_ns)
            for record, said_ns in self.records.values()
            if now_ns - said_ns < BOUNDS[Topic(record.kind)].lasts_ns
            and (record.origin == self.me or record.kind != Topic.USUAL)
        ]
        kept.sort(key=lambda one: one[:2])
        return [self._aged(now_ns, record, said_ns) for _, _, record, said_ns in kept[:most]]

    @staticmethod
    def _aged(now_ns: int, record: Record, said_ns: int) -> Record:
        return replace(record, age_ns=max(now_ns - said_ns, 0))

    def subjects(self, *topics: Topic) -> set[int]:
        """What records of these topics are kept on."""
        return {subject for topic in topics for subject in self.on[topic]}

    def about(self, now_ns: int, topic: Topic, subject: int) -> Iterator[tuple[Record, int]]:
        """Each record on a subject that still says something, and when its origin said it."""
        for origin in self.on[topic].get(subject, ()):
            record, said_ns = self.records[topic, origin, subject]
            if now_ns - said_ns < BOUNDS[topic].lasts_ns:
                yield record, said_ns
