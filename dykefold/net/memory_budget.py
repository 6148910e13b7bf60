"""Budget for the memory of buffered messages, from the process's memory limit."""

from __future__ import annotations

KB = 1024
MB = 1024 * KB
# Memory of an open client connection without a message.
CONNECTION_BYTES = 8 * KB
# Memory of a pending request beside its messages: records, its connection to an endpoint, short reads.
REQUEST_BYTES = 16 * KB


class MemoryBudget:
    """Budget for the memory of all buffered requests and responses.

    Args:
        limit_bytes: Maximum memory of the whole process, in bytes.

    Attributes:
        reserved_bytes: Number of bytes that are reserved.
        request_count: Number of requests among them.
        capacity_bytes: Maximum number of reserved bytes.
        max_connections: Number of client connections for which there is memory.
        program_bytes: Memory of the process without any message or client, in bytes.
        PROGRAM_BYTES: Minimum of `program_bytes`, which holds until it is measured.
        FRACTION: Fraction of the remaining memory that messages may use. It is far below 1, since a message
            may be buffered twice, and freed memory is fragmented.
        MIN_BYTES: Minimum capacity, in bytes.
        MAX_BYTES: Maximum capacity, in bytes.
        CONNECTIONS_FRACTION: Fraction of the remaining memory that client connections may use.
        MIN_REQUESTS: Number of requests that are accepted whatever else is reserved.
        MIN_CONNECTIONS: Minimum of `max_connections`.
        HEAD_FRACTION: Fraction of the capacity up to which incomplete heads may reserve memory, so that
            clients and endpoints that do not end their heads leave the rest to complete messages.
        LARGE_BODY_FRACTION: Fraction of the capacity up to which large bodies of requests may reserve memory,
            so that clients that do not end them leave the rest to other requests.
    """

    PROGRAM_BYTES = 20 * MB
    FRACTION = 0.3
    MIN_BYTES = MB
    MAX_BYTES = 48 * MB
    CONNECTIONS_FRACTION = 0.25
    MIN_REQUESTS = 8
    MIN_CONNECTIONS = 32
    HEAD_FRACTION = 0.5
    LARGE_BODY_FRACTION = 0.8

    def __init__(self, limit_bytes: int) -> None:
        self.reserved_bytes = 0
        self.request_count = 0
        self.program_bytes = self.PROGRAM_BYTES
        self.resize(limit_bytes)

    def set_program_bytes(self, program_bytes: int) -> None:
        """Set the measured memory of the process without any message or client."""
        self.program_bytes = max(program_bytes, self.PROGRAM_BYTES)
        self.resize(self.limit_bytes)

    def resize(self, limit_bytes: int) -> None:
        """Apply a changed limit; reserved bytes stay reserved.

        Args:
            limit_bytes: Maximum memory of the whole process, in bytes.
        """
        self.limit_bytes = limit_bytes
        remaining_bytes = limit_bytes - self.program_bytes
        self.capacity_bytes = int(min(max(remaining_bytes * self.FRACTION, self.MIN_BYTES), self.MAX_BYTES))
        self.max_connections = max(
            int(remaining_bytes * self.CONNECTIONS_FRACTION) // CONNECTION_BYTES, self.MIN_CONNECTIONS
        )

    def reserve(self, size: int) -> bool:
        """Reserve this many bytes; return False, and reserve none, if they would exceed the budget."""
        if self.reserved_bytes + size > self.capacity_bytes:
            return False
        self.reserved_bytes += size
        return True

    def reserve_request(self) -> bool:
        """Reserve memory for a request to be accepted; a few find it whatever else is reserved.

        Returns:
            False, and nothing is reserved, if there is no capacity.
        """
        is_one_of_few = self.request_count < self.MIN_REQUESTS
        if not is_one_of_few and self.reserved_bytes + REQUEST_BYTES > self.capacity_bytes:
            return False
        self.request_count += 1
        self.reserved_bytes += REQUEST_BYTES
        return True

    def release_request(self) -> None:
        """Release the memory of a request that has ended."""
        self.request_count -= 1
        self.reserved_bytes -= REQUEST_BYTES

    def reserve_head(self, size: int) -> bool:
        """Reserve bytes for an incomplete head; return False, and reserve none, beyond `HEAD_FRACTION`."""
        return self._reserve_up_to(self.HEAD_FRACTION, size)

    def reserve_large_body(self, size: int) -> bool:
        """Reserve bytes for a large body; return False, and reserve none, beyond `LARGE_BODY_FRACTION`."""
        return self._reserve_up_to(self.LARGE_BODY_FRACTION, size)

    def _reserve_up_to(self, fraction: float, size: int) -> bool:
        if self.reserved_bytes + size > fraction * self.capacity_bytes:
            return False
        self.reserved_bytes += size
        return True

    def charge(self, size: int) -> None:
        """Reserve bytes that are held already, also beyond the budget; others then find no capacity."""
        self.reserved_bytes += size

    def release(self, size: int) -> None:
        """Release bytes that were reserved."""
        self.reserved_bytes -= size
