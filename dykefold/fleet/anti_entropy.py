"""Anti-entropy: members compare digests of their tables and exchange the states that differ. No I/O."""

from __future__ import annotations

from collections.abc import Sequence

from .datagrams import (
    DIGEST_MASK,
    MAX_DIGESTS,
    MAX_ENTRIES,
    Datagram,
    DigestRange,
    Kind,
    MemberEntry,
)
from .member_state import LIVE, State
from .membership import Membership
from .outbox import Outbox
from .rate_limits import COMPARISON_PERIODS, COMPARISONS_PER_NOT_LIVE, JOINING_COMPARISON_PERIODS
from .traffic_counters import TrafficCounter

MAX_ANSWER_DATAGRAMS = 4  # In reply to one DIGESTS datagram.
MAX_PARTNER_DRAWS = 8
COMPARISON_JITTER_FACTORS = (0.75, 1.25)  # Multiples of the time between comparisons.


class AntiEntropy:
    """Periodic comparison of this member's table with a random member's.

    Args:
        membership: Membership whose table is compared.
        outbox: Queue of datagrams to send.
        now_ns: Current monotonic time in nanoseconds.

    Attributes:
        next_comparison_ns: Monotonic time in nanoseconds of the next comparison.
    """

    def __init__(self, membership: Membership, outbox: Outbox, now_ns: int) -> None:
        """Start as a joining member."""
        self.membership, self.outbox = membership, outbox
        self.reset(now_ns)

    def reset(self, now_ns: int) -> None:
        """Start again after a change of the address list."""
        max_wait_ns = self.membership.limits.ns(JOINING_COMPARISON_PERIODS)
        self.next_comparison_ns = now_ns + self.membership.rng.randrange(max_wait_ns + 1)

    # Comparisons

    def compare(self, now_ns: int) -> None:
        """Start a comparison if one is due."""
        membership = self.membership
        if self.next_comparison_ns > now_ns or membership.has_no_peers:
            return
        joining = not membership.is_settled(now_ns)
        wait_ns = membership.limits.ns(JOINING_COMPARISON_PERIODS if joining else COMPARISON_PERIODS)
        self.next_comparison_ns = now_ns + int(wait_ns * membership.rng.uniform(*COMPARISON_JITTER_FACTORS))
        membership.records.expire(now_ns)
        partner = self._choose_partner(joining)
        if partner is not None:
            self._send_digests(now_ns, partner, 0, len(membership.addresses), max_digests=1)

    def _choose_partner(self, joining: bool) -> int | None:
        """Return the member to compare with; sometimes one that is not live.

        After a partition so long that each side considers the other gone, the sides would otherwise never
        exchange states again.
        """
        membership = self.membership
        rng = membership.rng
        if not (joining or membership.isolated or rng.randrange(COMPARISONS_PER_NOT_LIVE) == 0):
            return next(iter(membership.random_live_members(1)), None)
        size = len(membership.addresses)
        number = None
        for _ in range(MAX_PARTNER_DRAWS):
            number = (membership.own_number + 1 + rng.randrange(size - 1)) % size
            if joining or membership.table.state(number) not in LIVE:
                return number
        return number

    def _send_digests(
        self, now_ns: int, peer: int, first: int, end: int, max_digests: int = MAX_DIGESTS
    ) -> bool:
        membership = self.membership
        width = max(-(-(end - first) // max_digests), 1)
        digest_range = DigestRange(first, end, width)
        digests = [membership.table.digest(*bounds) for bounds in digest_range.slices()]
        datagram = Datagram(
            Kind.DIGESTS,
            membership.fleet,
            membership.own_state,
            digest_range=digest_range,
            digests=digests,
        )
        return self.outbox.send_prepared(now_ns, peer, datagram)

    def _send_states(self, now_ns: int, peer: int, kind: Kind, entries: Sequence[MemberEntry]) -> bool:
        membership = self.membership
        datagram = Datagram(kind, membership.fleet, membership.own_state, entries=entries)
        return self.outbox.send_prepared(now_ns, peer, datagram)

    # Datagrams

    def on_digests(self, now_ns: int, sender: int, datagram: Datagram) -> None:
        """Reply to a comparison with finer digests, or with states, of the ranges that differ."""
        membership = self.membership
        if datagram.digest_range.end > len(membership.addresses):
            return
        differing = self._differing_slices(datagram)
        if differing:
            membership.counts[TrafficCounter.DIGESTS_DIFFER] += 1
            membership.rng.shuffle(differing)
            self._answer_difference(now_ns, sender, differing)
        elif self._covers_all_states(datagram.digest_range):
            membership.synchronized = True

    def _differing_slices(self, datagram: Datagram) -> list[tuple[int, int]]:
        table = self.membership.table
        return [
            bounds
            for bounds, digest in zip(datagram.digest_range.slices(), datagram.digests, strict=True)
            if table.digest(*bounds) & DIGEST_MASK != digest
        ]

    def _covers_all_states(self, digest_range: DigestRange) -> bool:
        """Return whether equal digests of a range show that this member knows all states.

        The tables of two members that have both just started are equal too, without any state of the others.
        """
        is_full_range = (digest_range.first, digest_range.end) == (0, len(self.membership.addresses))
        return is_full_range and not self.membership.table.counts[State.UNKNOWN]

    def _answer_difference(self, now_ns: int, sender: int, differing: list[tuple[int, int]]) -> None:
        entries: list[MemberEntry] = []
        sent = 0
        for first, end in differing:
            if sent >= MAX_ANSWER_DATAGRAMS:
                return
            if end - first > MAX_ENTRIES:
                sent += self._send_digests(now_ns, sender, first, end)
                continue
            if len(entries) + end - first > MAX_ENTRIES:
                sent += self._send_states(now_ns, sender, Kind.STATES, entries)
                entries = []
            entries += [self.membership.entry(number) for number in range(first, end)]
        if entries and sent < MAX_ANSWER_DATAGRAMS:
            self._send_states(now_ns, sender, Kind.STATES, entries)

    def on_states(self, now_ns: int, sender: int, datagram: Datagram) -> None:
        """Reply to states, which are merged already, with the newer ones that this member knows."""
        states = self.membership.table.states
        newer = [
            MemberEntry(number, states[number])
            for number, encoded in datagram.entries
            if number < len(states) and states[number] > encoded
        ]
        if newer:
            self._send_states(now_ns, sender, Kind.STATES_REPLY, newer)
