"""Outgoing datagrams within the send limit, with gossip piggybacked on them. No I/O."""

from __future__ import annotations

from typing import NamedTuple

from .datagrams import MAX_ENTRIES, Datagram, Kind, MemberEntry, Record, encode, record_capacity
from .member_state import State, state_of
from .membership import Membership
from .rate_limits import EXTRA_TRANSMISSIONS, SEND_LIMIT_PER_S, TokenBucket
from .traffic_counters import SENT_BY_KIND, TrafficCounter

PROBE_RESERVE_DATAGRAMS = 10.0  # Tokens of the send limit reserved for probes and answers.


class OutgoingDatagram(NamedTuple):
    """An encoded datagram, and the number of its receiver."""

    member: int
    data: bytes


class Outbox:
    """Queue of datagrams that the driver has not sent yet.

    Args:
        membership: Membership whose states and records are sent.
        now_ns: Current monotonic time in nanoseconds.

    Attributes:
        pending: Datagrams in the order in which they are to be sent.
    """

    def __init__(self, membership: Membership, now_ns: int) -> None:
        self.membership = membership
        self.pending: list[OutgoingDatagram] = []
        self._limit = TokenBucket(SEND_LIMIT_PER_S, 2 * SEND_LIMIT_PER_S, now_ns)

    def take(self) -> list[OutgoingDatagram]:
        """Remove and return the pending datagrams."""
        pending, self.pending = self.pending, []
        return pending

    def send(self, now_ns: int, peer: int, kind: Kind, nonce: int = 0, subject: int = 0) -> bool:
        """Queue a datagram with piggybacked gossip; return whether the send limit allowed it."""
        return self._allows(now_ns, reserve=0.0) and self._put_with_gossip(now_ns, peer, kind, nonce, subject)

    def send_gossip(self, now_ns: int, peer: int) -> bool:
        """Queue a GOSSIP datagram; return whether the send limit allowed it."""
        return self._allows(now_ns, PROBE_RESERVE_DATAGRAMS) and self._put_with_gossip(
            now_ns, peer, Kind.GOSSIP, 0, 0
        )

    def send_prepared(self, now_ns: int, peer: int, datagram: Datagram) -> bool:
        """Queue a prepared datagram without gossip; return whether the send limit allowed it."""
        if not self._allows(now_ns, PROBE_RESERVE_DATAGRAMS):
            return False
        self._put(peer, datagram)
        return True

    def _allows(self, now_ns: int, reserve: float) -> bool:
        if self._limit.take(now_ns, reserve):
            return True
        self.membership.counts[TrafficCounter.OVER_SEND_LIMIT] += 1
        return False

    def _put_with_gossip(self, now_ns: int, peer: int, kind: Kind, nonce: int, subject: int) -> bool:
        membership = self.membership
        entries = self._claims_about(peer)
        records: list[Record] = []
        if not membership.isolated:
            numbers = membership.gossip.take(MAX_ENTRIES - len(entries), self._max_transmissions)
            entries += [membership.entry(number) for number in numbers if number != peer]
            records = membership.records.take_gossip(now_ns, record_capacity(len(entries)))
        own_state = membership.own_state
        datagram = Datagram(kind, membership.fleet, own_state, nonce, subject, entries, records=records)
        self._put(peer, datagram)
        return True

    def _claims_about(self, peer: int) -> list[MemberEntry]:
        """Return the state of the peer that it may have to refute, if any."""
        membership = self.membership
        entry = membership.entry(peer)
        is_outdated = peer in membership.outdated_members
        membership.outdated_members.pop(peer, None)
        return [entry] if is_outdated or state_of(entry.encoded) is State.SUSPECT else []

    def _max_transmissions(self, _number: int) -> int:
        return len(self.membership.addresses).bit_length() + EXTRA_TRANSMISSIONS

    def _put(self, peer: int, datagram: Datagram) -> None:
        data = encode(datagram)
        counts = self.membership.counts
        counts[TrafficCounter.SENT] += 1
        counts[SENT_BY_KIND[datagram.kind]] += 1
        counts[TrafficCounter.SENT_BYTES] += len(data)
        self.pending.append(OutgoingDatagram(peer, data))
