"""Which members sample which servers, by rank among those that live: rendezvous hashing. No I/O.

Thaler and Ravishankar (1998): each member has a score for each server, the highest look after it. One that
comes or goes changes the places of those behind it only: a change of the fleet moves what it must.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from .words import mix

KNOWN_BY = 5  # members of other zones, about, that sample a server (as `FAR_KNOWN` of the module)
PAIRS_MOST = 60_000  # of member and server that are ranked at once, some 50 ms; beyond it nobody is ranked

Placed = tuple[int, int | None]  # a number, and the zone where it is known


def place(server: int, me: int, members: Iterable[int]) -> int:
    """How many of these members come before this one for a server."""
    own = mix(server, me + 1)
    return sum(mix(server, member + 1) > own for member in members if member != me)


def part(live: Sequence[Placed]) -> float:
    """Of the members of a zone, the part that is to sample a server of another one; 1 at the most."""
    zones = len({zone for _, zone in live}) or 1
    afar = len(live) * (zones - 1) / zones  # of a server, on average
    return min(KNOWN_BY / afar, 1.0) if afar else 1.0


def ranks(servers: Sequence[int], me: int, zone: int | None, live: Sequence[Placed]) -> dict[int, float]:
    """By server the own place among the members of the own zone, as a part of these: from 0, below 1.

    Of one zone's members each has another place for a server, evenly from 0 to 1, as the ranks that sidecars
    draw by themselves are on average: servers that are not ranked yet stand neither first nor last.

    Args:
        live: number and zone of each member that carries traffic; None where a zone is not known.

    Returns:
        Empty where there is too much to rank, and each goes by ranks of its own.
    """
    beside = [member for member, of in live if of == zone]
    if not beside or len(beside) * len(servers) > PAIRS_MOST:
        return {}
    return {server: place(server, me, beside) / len(beside) for server in servers}
