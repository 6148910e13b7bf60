"""What each purpose may hold of the process's descriptors. No I/O: the edges ask before they open.

A request that is taken has a descriptor for its connection to a server set aside until it is over, also
between two attempts, so that the limit is never met in its middle: at most `upstreams` requests and
probes are claimed, and each needs one connection at a time.
"""

from __future__ import annotations

LOOP = 16  # the event loop, standard streams, the listening socket, peers' datagrams
ACCEPTING = 16  # accepted in one turn of the loop, before the closings that made room take effect
CALLS = 3  # of discovery: a watch, one beside it when it is silent, and a fetch
DISCOVERY = 2 * CALLS  # ... each at the old and at the new address across a change of it
FILES = 3  # the configuration while it is read again, and what the runtime opens now and then
SPARE = 1  # kept open only to be closed when the system has none left
RESERVED = LOOP + ACCEPTING + DISCOVERY + FILES + SPARE
SPARE_CLAIMS = 8  # requests more that connections which are kept may bring
LEAST = 8  # for clients and upstreams together, however low the limit
CLIENTS_PART = 2  # the clients' side gets one in so many of the rest
REQUESTS_PART = 3  # clients hold one in so many of all descriptors for requests at most


class Allowance:
    """How many descriptors one purpose may hold, and holds."""

    __slots__ = ("in_use", "limit")

    def __init__(self, most: int) -> None:
        self.limit = most
        self.in_use = 0

    @property
    def full(self) -> bool:
        """Whether one must be closed before another is opened."""
        return self.in_use >= self.limit


class Budget:
    """All descriptors of the process by purpose; what clients hold is counted by the admission rules."""

    def __init__(self, limit: int, set_aside: int = 0) -> None:
        """Begin with nothing held.

        Args:
            limit: descriptors of the whole process.
            set_aside: of these, for what else the process does.
        """
        self.set_aside = set_aside
        self.upstreams = Allowance(0)
        self.claims = 0  # requests that are open, and attempts and probes that are out beyond these
        self.resize(limit)

    def resize(self, limit: int, whole: int = 0, kept: int = 0) -> None:
        """Take another limit on the descriptors of the process.

        Args:
            whole: of all processes of this sidecar, where there are several.
            kept: connections that clients hold, and that they keep as far as attempts leave room.
        """
        rest = max(limit - RESERVED - self.set_aside, LEAST)
        # Clients need a third for requests. What they may hold beyond that must leave enough to attempts,
        # or silent clients keep every request from its server.
        self.clients = max(rest // CLIENTS_PART, min(kept, rest - self.claims - SPARE_CLAIMS))
        self.usable = max((whole or limit) // REQUESTS_PART, 1)
        self.upstreams.limit = rest - self.clients

    def needed(self, clients: int) -> int:
        """Descriptors that can't be given away with so many connections of clients."""
        return RESERVED + self.set_aside + clients + self.claims + SPARE_CLAIMS

    def reserve(self) -> bool:
        """Set a descriptor aside for a connection to a server; False if all are."""
        if self.claims >= self.upstreams.limit:
            return False
        self.claims += 1
        return True

    def release(self) -> None:
        self.claims -= 1
