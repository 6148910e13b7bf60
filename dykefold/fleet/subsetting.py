"""Subsetting: which members use which endpoints of other zones, by rendezvous hashing. No I/O.

Thaler and Ravishankar (1998): each member has a hash for each endpoint, and the highest ones use it. A member
that comes or goes changes the ranks of those behind it only: a change of the fleet moves only what it must.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import NamedTuple

from .hashing import hash_pair

MEMBERS_PER_ENDPOINT = 5  # Approximate number of members of other zones that know an endpoint.
MAX_RANKED_PAIRS = 60_000  # Pairs of member and endpoint; ranking takes 50 ms. Beyond it none is ranked.


class PlacedMember(NamedTuple):
    """A member's number, and its zone if that is known."""

    number: int
    zone: int | None


def subset_fraction(members: Sequence[PlacedMember]) -> float:
    """Return the fraction of a zone's members that use an endpoint of another zone, at most 1.

    Args:
        members: Members that carry traffic.
    """
    zones = len({member.zone for member in members}) or 1
    members_elsewhere = len(members) * (zones - 1) / zones  # of an endpoint's zone, on average
    return min(MEMBERS_PER_ENDPOINT / members_elsewhere, 1.0) if members_elsewhere else 1.0


class EndpointRanking:
    """Ranks of this member among the members of its zone, by endpoint; updated as both change.

    The members of a zone have different ranks for an endpoint, evenly from 0 to 1, as the ranks that sidecars
    draw by themselves are on average: endpoints that are not ranked yet are neither first nor last.

    Args:
        own_number: Number of this member.
    """

    def __init__(self, own_number: int) -> None:
        self.own_number = own_number
        self._zone_peers: set[int] = set()  # members of the own zone, without this one
        self._members_ahead: dict[int, int] = {}  # by endpoint

    def update(
        self, endpoints: Sequence[int], zone: int | None, members: Sequence[PlacedMember]
    ) -> dict[int, float]:
        """Return the current ranks; only those that may have changed are computed.

        Args:
            endpoints: A number of each endpoint that is the same at all members.
            zone: Zone of this member.
            members: Members that carry traffic.

        Returns:
            By endpoint, from 0 to below 1. Empty where there is too much to rank, and each member goes by
            ranks of its own.
        """
        zone_peers = {member.number for member in members if member.zone == zone}
        if not zone_peers or len(zone_peers) * len(endpoints) > MAX_RANKED_PAIRS:
            self._zone_peers, self._members_ahead = set(), {}
            return {}
        size = len(zone_peers)
        zone_peers.discard(self.own_number)
        came, went = zone_peers - self._zone_peers, self._zone_peers - zone_peers
        if len(came) + len(went) >= len(zone_peers):
            self._members_ahead.clear()  # it costs less to count anew
        known, self._members_ahead = self._members_ahead, {}
        for endpoint in endpoints:
            own_hash, ahead = hash_pair(endpoint, self.own_number + 1), known.get(endpoint)
            if ahead is None:
                ahead = _count_ahead(endpoint, own_hash, zone_peers)
            elif came or went:
                ahead += _count_ahead(endpoint, own_hash, came) - _count_ahead(endpoint, own_hash, went)
            self._members_ahead[endpoint] = ahead
        self._zone_peers = zone_peers
        return {endpoint: ahead / size for endpoint, ahead in self._members_ahead.items()}


def _count_ahead(endpoint: int, own_hash: int, members: Iterable[int]) -> int:
    """Return the number of these members with a higher hash for an endpoint."""
    return sum(hash_pair(endpoint, member + 1) > own_hash for member in members)
