"""Budget of descriptors by purpose. Does no I/O: the budget is checked before a descriptor is opened.

Each accepted request has a descriptor for its connection to an endpoint reserved until its final answer, also
between two attempts, so that the limit is never reached in the middle of a request. There are at most
`upstreams.limit` reservations, each for one request or probe, which uses one connection at a time.
"""

from __future__ import annotations

# Descriptors by purpose.
LOOP_DESCRIPTORS = 16  # Event loop, standard streams, listening socket, datagram sockets for peers.
ACCEPTED_DESCRIPTORS = 16  # Accepted in one loop iteration, before the closes that made room take effect.
DISCOVERY_CONNECTIONS = 3  # A watch, a call beside it while the watch is silent, and a fetch.
DISCOVERY_DESCRIPTORS = 2 * DISCOVERY_CONNECTIONS  # At the old and the new discovery address during a change.
# The configuration file, files that the runtime opens occasionally, and the request ids of two processes.
FILE_DESCRIPTORS = 5
RESERVE_DESCRIPTORS = 1  # See `ReserveDescriptor`.
PROCESS_DESCRIPTORS = (
    LOOP_DESCRIPTORS + ACCEPTED_DESCRIPTORS + DISCOVERY_DESCRIPTORS + FILE_DESCRIPTORS + RESERVE_DESCRIPTORS
)
SPARE_RESERVATIONS = 8  # For more requests on connections that clients keep open.
MIN_SHARED_DESCRIPTORS = 8  # For clients and endpoints together, however low the limit is.
MIN_CLIENTS_DIVISOR = 2  # Clients get at least the shared descriptors divided by this.
MAX_REQUESTS_DIVISOR = 3  # Connections with requests: at most all descriptors divided by this.


class DescriptorAllowance:
    """Descriptor limit and usage of one purpose.

    Args:
        limit: Maximum number of descriptors in use.

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
    """Descriptors of the process, by purpose; those in use by clients are counted by the admission rules.

    Args:
        limit: Number of descriptors that the whole process may open.
        other_descriptors: Number of descriptors that serve neither clients nor endpoints, in addition to
            `PROCESS_DESCRIPTORS`.

    Attributes:
        clients: Maximum number of client connections.
        with_requests: Maximum number of client connections on which a request has been sent.
        upstreams: Allowance of connections to endpoints.
        reservations: Number of descriptors for connections to endpoints, reserved by requests and probes.
    """

    def __init__(self, limit: int, other_descriptors: int = 0) -> None:
        self._process_descriptors = PROCESS_DESCRIPTORS + other_descriptors
        self.upstreams = DescriptorAllowance(0)
        self.reservations = 0
        self.resize(limit)

    def resize(self, limit: int, all_processes: int = 0, open_connections: int = 0) -> None:
        """Apply a new limit.

        Args:
            limit: Number of descriptors that the whole process may open.
            all_processes: Number of descriptors of all processes of this sidecar together; 0 if there is only
                one.
            open_connections: Number of open client connections. They stay open as far as attempts leave
                enough descriptors.
        """
        shared = max(limit - self._process_descriptors, MIN_SHARED_DESCRIPTORS)
        # Clients need a third for requests. Beyond that they must leave enough descriptors for attempts, or
        # idle clients would keep every request from reaching its endpoint.
        self.clients = max(
            shared // MIN_CLIENTS_DIVISOR,
            min(open_connections, shared - self.reservations - SPARE_RESERVATIONS),
        )
        self.with_requests = max((all_processes or limit) // MAX_REQUESTS_DIVISOR, 1)
        self.upstreams.limit = shared - self.clients

    def required(self, clients: int) -> int:
        """Return the number of descriptors required while clients have `clients` connections open."""
        return self._process_descriptors + clients + self.reservations + SPARE_RESERVATIONS

    def reserve(self) -> bool:
        """Reserve a descriptor for a connection to an endpoint; return False if none is left."""
        if self.reservations >= self.upstreams.limit:
            return False
        self.reservations += 1
        return True

    def release(self) -> None:
        """Release a reserved descriptor."""
        self.reservations -= 1
