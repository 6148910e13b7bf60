"""How many descriptors each purpose may hold. No I/O: whoever opens a descriptor asks before.

A request that is accepted has a descriptor for its connection to an endpoint reserved until it has its final
answer, also between two attempts, so that the limit is never met in the middle of a request. There are at
most `upstreams.limit` reservations, each for one request or probe, and each needs one connection at a time.
"""

from __future__ import annotations

# Descriptors by purpose.
LOOP_DESCRIPTORS = 16  # The event loop, standard streams, the listening socket, datagrams of peers.
ACCEPTED_DESCRIPTORS = 16  # Accepted in one turn of the loop, before the closes that made room take effect.
DISCOVERY_CONNECTIONS = 3  # A watch, a call beside it when it is silent, and a fetch.
DISCOVERY_DESCRIPTORS = 2 * DISCOVERY_CONNECTIONS  # At the old and the new address while discovery moves.
FILE_DESCRIPTORS = 3  # The configuration file, and what the runtime opens now and then.
RESERVE_DESCRIPTORS = 1  # See `ReserveDescriptor`.
PROCESS_DESCRIPTORS = (
    LOOP_DESCRIPTORS + ACCEPTED_DESCRIPTORS + DISCOVERY_DESCRIPTORS + FILE_DESCRIPTORS + RESERVE_DESCRIPTORS
)
SPARE_RESERVATIONS = 8  # For further requests on connections that clients keep open.
MIN_SHARED_DESCRIPTORS = 8  # For clients and endpoints together, however low the limit.
MIN_CLIENTS_DIVISOR = 2  # Clients get at least the shared descriptors divided by this.
MAX_REQUESTS_DIVISOR = 3  # Clients hold at most all descriptors divided by this for requests.


class DescriptorAllowance:
    """How many descriptors one purpose may hold.

    Attributes:
        limit: Maximum number of descriptors in use.
        in_use: Number of descriptors in use.
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
        limit: Number of descriptors that the whole process may open.
        set_aside: Descriptors of the process that serve neither clients nor endpoints, beyond those listed
            above.

    Attributes:
        clients: Maximum number of client connections.
        with_requests: Maximum number of client connections on which a request has been sent.
        upstreams: Allowance of connections to endpoints.
        reservations: Number of descriptors for connections to endpoints that are reserved by requests and
            probes.
    """

    def __init__(self, limit: int, set_aside: int = 0) -> None:
        self._process = PROCESS_DESCRIPTORS + set_aside
        self.upstreams = DescriptorAllowance(0)
        self.reservations = 0
        self.resize(limit)

    def resize(self, limit: int, all_processes: int = 0, open_connections: int = 0) -> None:
        """Take another limit.

        Args:
            limit: Number of descriptors that the whole process may open.
            all_processes: Number of descriptors of all processes of this sidecar together; 0 if there is only
                one.
            open_connections: Number of open client connections. They stay open as far as the attempts leave
                descriptors.
        """
        shared = max(limit - self._process, MIN_SHARED_DESCRIPTORS)
        # Clients need a third for requests. What they may hold beyond that must leave enough to attempts, or
        # silent clients would keep every request from its endpoint.
        self.clients = max(
            shared // MIN_CLIENTS_DIVISOR,
            min(open_connections, shared - self.reservations - SPARE_RESERVATIONS),
        )
        self.with_requests = max((all_processes or limit) // MAX_REQUESTS_DIVISOR, 1)
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
