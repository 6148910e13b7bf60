"""Which members sample which servers, by rank among those that live: rendezvous hashing. No I/O.

Thaler and Ravishankar (1998): each member has a score for each server, the highest look after it. One that
comes or goes changes the places of those behind it only: a change of the fleet moves what it must.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from .member_state import mix

KNOWN_BY = 5  # members of other zones, about, that sample a server (as `FAR_KNOWN` of the module)
PAIRS_MOST = 60_000  # of member and server that are ranked at once, some 50 ms; beyond it nobody is ranked

Placed = tuple[int, int | None]  # a number, and the zone where it is known


def subset_of(live: Sequence[Placed]) -> float:
    """Of the members of a zone, the part that is to sample a server of another one; 1 at the most."""
    zones = len({zone for _, zone in live}) or 1
    afar = len(live) * (zones - 1) / zones  # of a server, on average
    return min(KNOWN_BY / afar, 1.0) if afar else 1.0


class Ranking:
    """By server the own place among the members of the own zone, kept as both come and go.

    Of one zone's members each has another place for a server, evenly from 0 to 1, as the ranks that sidecars
    draw by themselves are on average: servers that are not ranked yet stand neither first nor last.
    """

    def __init__(self, me: int) -> None:
        self.me = me
        self.beside: set[int] = set()  # members of the own zone but this one
        self.before: dict[int, int] = {}  # by server, how many of them come first for it

    def update(self, servers: Sequence[int], zone: int | None, live: Sequence[Placed]) -> dict[int, float]:
        """The places now, as parts of the zone's members: from 0, below 1.

        What has not changed since the last time is not ranked again.

        Args:
            live: number and zone of each member that carries traffic; None where a zone is not known.

        Returns:
            Empty where there is too much to rank, and each goes by ranks of its own.
        """
        beside = {member for member, of in live if of == zone}
        if not beside or len(beside) * len(servers) > PAIRS_MOST:
            self.beside, self.before = set(), {}
            return {}
        size = len(beside)
        beside.discard(self.me)
        came, went = beside - self.beside, self.beside - beside
        if len(came) + len(went) >= len(beside):
            self.before.clear()  # counted anew for less
        known, self.before = self.before, {}
        for server in servers:
            own, before = mix(server, self.me + 1), known.get(server)
            if before is None:
                before = _ahead(server, own, beside)
            elif came or went:
                before += _ahead(server, own, came) - _ahead(server, own, went)
            self.before[server] = before
        self.beside = beside
        return {server: before / size for server, before in self.before.items()}


def _ahead(server: int, own: int, members: Iterable[int]) -> int:
    """How many of these members come before one with this score for a server."""
    return sum(mix(server, member + 1) > own for member in members)
