"""Subsetting: which members use which endpoints of other zones, by rendezvous hashing. No I/O.

Thaler and Ravishankar (1998): each pair of member and endpoint has a hash, and the members with the highest
hashes use the endpoint. A member that joins or departs changes only the ranks of the members behind it, so a
change of the fleet changes as few subsets as possible.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import NamedTuple

from .hashing import hash_pair

MEMBERS_PER_ENDPOINT = 5  # Approximate number of members of other zones that know an endpoint.
MAX_RANKED_PAIRS = 60_000  # Ranking this many pairs of member and endpoint takes 50 ms; more are not ranked.


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
    """Rank of this member among the members of its zone for each endpoint, updated incrementally.

    The members of a zone have distinct ranks for an endpoint, evenly spaced from 0 to 1. Ranks that a sidecar
    draws at random have the same distribution, so an endpoint without a rank yet is at no disadvantage.

    Args:
        own_number: Number of this member.
    """

    def __init__(self, own_number: int) -> None:
        self.own_number = own_number
        self._zone_peers: set[int] = set()  # other members of this zone
        self._members_ahead: dict[int, int] = {}  # by endpoint

    def update(
        self, endpoints: Sequence[int], zone: int | None, members: Sequence[PlacedMember]
    ) -> dict[int, float]:
        """Return the current ranks; only those that may have changed are computed.

        Args:
            endpoints: Identifier of each endpoint, the same for all members.
            zone: Zone of this member.
            members: Members that carry traffic.

        Returns:
            Rank by endpoint, from 0 to below 1. Empty above `MAX_RANKED_PAIRS`; each member then uses
            random ranks.
        """
        zone_peers = {member.number for member in members if member.zone == zone}
        if not zone_peers or len(zone_peers) * len(endpoints) > MAX_RANKED_PAIRS:
            self._zone_peers, self._members_ahead = set(), {}
            return {}
        size = len(zone_peers)
        zone_peers.discard(self.own_number)
        added, removed = zone_peers - self._zone_peers, self._zone_peers - zone_peers
        if len(added) + len(removed) >= len(zone_peers):
            self._members_ahead.clear()  # a full count is cheaper
        known, self._members_ahead = self._members_ahead, {}
        for endpoint in endpoints:
            own_hash, ahead = hash_pair(endpoint, self.own_number + 1), known.get(endpoint)
            if ahead is None:
                ahead = _count_ahead(endpoint, own_hash, zone_peers)
            elif added or removed:
                ahead += _count_ahead(endpoint, own_hash, added) - _count_ahead(endpoint, own_hash, removed)
            self._members_ahead[endpoint] = ahead
        self._zone_peers = zone_peers
        return {endpoint: ahead / size for endpoint, ahead in self._members_ahead.items()}


def _count_ahead(endpoint: int, own_hash: int, members: Iterable[int]) -> int:
    """Return the number of these members with a higher hash for an endpoint."""
    return sum(hash_pair(endpoint, member + 1) > own_hash for member in members)
