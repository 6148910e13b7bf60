"""How many descriptors each purpose may hold. No I/O: whoever opens a descriptor asks before.

A request that is accepted has a descriptor for its connection to an endpoint reserved until it has its final
answer, also between two attempts, so that the limit is never met in the middle of a request. There are at
most `upstreams.limit` reservations, each for one request or probe, and each needs one connection at a time.
"""

from __future__ import annotations

LOOP = 16  # the event loop, standard streams, the listening socket, datagrams of peers
ACCEPTING = 16  # accepted in one turn of the loop, before the closes that made room take effect
DISCOVERY_CONNECTIONS = 3  # a watch, one beside it when it is silent, and a fetch
DISCOVERY = 2 * DISCOVERY_CONNECTIONS  # at the old and at the new address, while it changes
FILES = 3  # the configuration while it is read again, and what the runtime opens now and then
RESERVE = 1  # kept open only to be closed when the system has none left
PROCESS = LOOP + ACCEPTING + DISCOVERY + FILES + RESERVE
SPARE_RESERVATIONS = 8  # for further requests on connections that clients keep
MIN_SHARED = 8  # for clients and endpoints together, however low the limit
CLIENTS_DIVISOR = 2  # clients get one in so many of the descriptors that are left
REQUESTS_DIVISOR = 3  # clients hold at most one in so many of all descriptors for requests


class DescriptorAllowance:
    """How many descriptors one purpose may hold.

    Attributes:
        limit: that it may hold.
        in_use: that it holds.
    """

    __slots__ = ("in_use", "limit")

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.in_use = 0

    @property
    def full(self) -> bool:
        """Whether one must be closed before another is opened."""
        return self.in_use >= self.limit


class DescriptorBudget:
    """All descriptors of the process, by purpose; the admission rules count what clients hold.

    Args:
        limit: descriptors of the whole process.
        set_aside: of these, for what else the process does.

    Attributes:
        clients: that clients may hold.
        with_requests: of these, how many clients can hold that have sent a request.
        upstreams: connections to endpoints.
        reservations: descriptors for connections to endpoints that are reserved for requests and probes.
    """

    def __init__(self, limit: int, set_aside: int = 0) -> None:
        self._process = PROCESS + set_aside
        self.upstreams = DescriptorAllowance(0)
        self.reservations = 0
        self.resize(limit)

    def resize(self, limit: int, all_processes: int = 0, kept: int = 0) -> None:
        """Take another limit.

        Args:
            limit: descriptors of the whole process.
            all_processes: descriptors of all processes of this sidecar, where there are several; else 0.
            kept: connections that clients hold, and that they keep as far as attempts have room.
        """
        shared = max(limit - self._process, MIN_SHARED)
        # Clients need a third for requests. What they may hold beyond that must leave enough to attempts, or
        # silent clients would keep every request from its endpoint.
        self.clients = max(
            shared // CLIENTS_DIVISOR, min(kept, shared - self.reservations - SPARE_RESERVATIONS)
        )
        self.with_requests = max((all_processes or limit) // REQUESTS_DIVISOR, 1)
        self.upstreams.limit = shared - self.clients

    def required(self, clients: int) -> int:
        """Return how many descriptors can't be given away while clients hold that many connections."""
        return self._process + clients + self.reservations + SPARE_RESERVATIONS

    def reserve(self) -> bool:
        """Reserve a descriptor for a connection to an endpoint; return False if all are."""
        if self.reservations >= self.upstreams.limit:
            return False
        self.reservations += 1
        return True

    def release(self) -> None:
        """Release a descriptor that was reserved."""
        self.reservations -= 1
