"""Which members sample which servers, by rank among those that live: rendezvous hashing. No I/O.

Thaler and Ravishankar (1998): each member has a score for each server, the highest look after it. One that
comes or goes changes the places of those behind it only: a change of the fleet moves what it must.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Sequence

from .words import mix

KNOWN_BY = 5  # members of other zones, about, that sample a server (as `FAR_KNOWN` of the module)
PAIRS_MOST = 60_000  # of member and server that are ranked at once, some 50 ms; beyond it nobody is ranked

Placed = tuple[int, int | None]  # a number, and the zone where it is known


def place(server: int, me: int, members: Iterable[int]) -> int:
    """How many of these members come before this one for a server."""
    own = mix(server, me + 1)
    return sum(mix(server, member + 1) > own for member in members if member != me)


def ranks(
    servers: Sequence[tuple[int, int]], me: int, zone: int | None, live: Sequence[Placed]
) -> dict[int, float]:
    """By server the own place among the members of the own zone: below 1, it is to be sampled from afar.

    Args:
        servers: number and zone of each.
        live: number and zone of each member that carries traffic; None where a zone is not known.

    Returns:
        By server; empty where there is too much to rank, and each goes by a rank of its own.
    """
    beside = [member for member, of in live if of == zone]
    if not beside or len(beside) * len(servers) > PAIRS_MOST:
        return {}
    found = {}
    counts = Counter(of for _, of in live)
    for server, of in servers:
        afar = max(len(live) - counts[of], 1)
        share = KNOWN_BY * len(beside) / afar  # of those who sample it, from this zone
        found[server] = place(server, me, beside) / share
    return found
